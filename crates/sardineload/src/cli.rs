//! Command line of the load tool.

use {
    anyhow::{Context, Result, bail},
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    compact_str::{CompactString, format_compact},
    sardineload::{
        config::{Config, Organisation},
        workload::Workload,
    },
    std::{any::Any, fs, net::SocketAddr, path::PathBuf, time::Duration},
};

/// Reads the command line; exits with a message if clap refuses it.
///
/// # Errors
///
/// Returns what is wrong with a value that clap doesn't check, or with the key file.
pub fn parse() -> Result<Config> {
    let matches = command().get_matches();
    let workload = match get::<String>(&matches, "workload").as_str() {
        "brakeline" => Workload::Brakeline,
        _ => Workload::Harakeke,
    };
    let model = matches.get_one::<CompactString>("model").cloned();
    let config = Config {
        servers: list(&matches, "server"),
        plain_servers: list(&matches, "plain-server"),
        engines: list(&matches, "engine"),
        services: list(&matches, "service"),
        model: model.unwrap_or_else(|| workload.model().into()),
        workload,
        rate: get(&matches, "rate"),
        duration: get(&matches, "duration"),
        timeout: get(&matches, "timeout"),
        seed: get(&matches, "seed"),
        organisations: organisations(&matches)?,
        skew: get(&matches, "skew"),
        leave_share: share(&matches, "leave-share")?,
        slow_share: share(&matches, "slow-share")?,
        slow_pause: get(&matches, "slow-pause"),
        plain_share: match matches.contains_id("plain-share") {
            true => Some(share(&matches, "plain-share")?),
            false => None,
        },
        json: matches.get_one::<PathBuf>("json").cloned(),
        svg: matches.get_one::<PathBuf>("svg").cloned(),
        threads: get::<u64>(&matches, "threads") as usize,
    };
    check(&config)?;
    Ok(config)
}

fn command() -> Command {
    Command::new("sardineload")
        .about("Load tool for the OpenAI-compatible HTTP API; see docs/LOAD.md")
        .arg(servers("server", "Server; several are used in rotation").required(true))
        .arg(servers(
            "plain-server",
            "Server for plain calls, if it is another one",
        ))
        .arg(servers(
            "engine",
            "Stand-in engine whose record is checked after the run",
        ))
        .arg(servers(
            "service",
            "Stand-in service whose record is checked after the run",
        ))
        .arg(
            Arg::new("workload")
                .long("workload")
                .default_value("brakeline")
                .help("Mix of requests")
                .value_parser(["brakeline", "harakeke"]),
        )
        .arg(
            Arg::new("model")
                .long("model")
                .help("Model to ask for [default: bend-planner or offcuts]")
                .value_parser(value_parser!(CompactString)),
        )
        .arg(value("rate", "10", "Mean arrivals per second").value_parser(value_parser!(f64)))
        .arg(
            value("duration", "30s", "Time during which requests arrive")
                .value_parser(humantime::parse_duration),
        )
        .arg(
            value("timeout", "180s", "Time after which a request is given up")
                .value_parser(humantime::parse_duration),
        )
        .arg(value("seed", "1", "Seed of the run").value_parser(value_parser!(u64)))
        .arg(
            Arg::new("key")
                .long("key")
                .help("File with a line `ORGANISATION KEY` for each, the largest share first")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            value(
                "organisations",
                "10",
                "Number of organisations without a key file",
            )
            .value_parser(value_parser!(u64).range(1..)),
        )
        .arg(
            value(
                "skew",
                "1",
                "Exponent of the organisations' shares; 0 makes them equal",
            )
            .value_parser(value_parser!(f64)),
        )
        .arg(
            value("leave-share", "0.1", "Share of callers that leave early")
                .value_parser(value_parser!(f64)),
        )
        .arg(
            value("slow-share", "0.02", "Share of callers that read slowly")
                .value_parser(value_parser!(f64)),
        )
        .arg(
            value(
                "slow-pause",
                "40ms",
                "Pause of a slow reader after each chunk",
            )
            .value_parser(humantime::parse_duration),
        )
        .arg(
            Arg::new("plain-share")
                .long("plain-share")
                .help("Share of plain calls [default: as in the workload]")
                .value_parser(value_parser!(f64)),
        )
        .arg(file("json", "File for the report as JSON"))
        .arg(file("svg", "File for the report as SVG"))
        .arg(value("threads", "2", "Worker threads").value_parser(value_parser!(u64).range(1..)))
}

fn servers(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::Append)
        .value_name("ADDRESS")
        .help(help)
        .value_parser(address)
}

fn value(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).help(help)
}

fn file(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .value_parser(value_parser!(PathBuf))
}

/// Accepts `IP:PORT` and `http://IP:PORT`.
fn address(text: &str) -> Result<SocketAddr, std::net::AddrParseError> {
    let bare = text.strip_prefix("http://").unwrap_or(text);
    bare.trim_end_matches('/').parse()
}

fn get<T>(matches: &ArgMatches, name: &str) -> T
where
    T: Any + Clone + Send + Sync,
{
    matches
        .get_one::<T>(name)
        .expect("the argument has a default")
        .clone()
}

fn list(matches: &ArgMatches, name: &str) -> Vec<SocketAddr> {
    let values = matches.get_many(name).unwrap_or_default();
    values.copied().collect()
}

fn share(matches: &ArgMatches, name: &str) -> Result<f64> {
    let share: f64 = get(matches, name);
    if !(0.0..=1.0).contains(&share) {
        bail!("--{name} is {share}; allowed are values from 0 to 1");
    }
    Ok(share)
}

fn check(config: &Config) -> Result<()> {
    if !(config.rate.is_finite() && config.rate > 0.0) {
        bail!("--rate is {}; allowed are values above 0", config.rate);
    }
    if !config.skew.is_finite() {
        bail!("--skew is {}; allowed are finite values", config.skew);
    }
    if config.leave_share + config.slow_share > 1.0 {
        bail!("--leave-share and --slow-share add up to more than 1");
    }
    if config.duration == Duration::ZERO {
        bail!("--duration is 0; allowed are durations above 0");
    }
    Ok(())
}

fn organisations(matches: &ArgMatches) -> Result<Vec<Organisation>> {
    let Some(path) = matches.get_one::<PathBuf>("key") else {
        let number = get::<u64>(matches, "organisations");
        let without_key = |index| Organisation {
            name: format_compact!("org-{index}"),
            key: None,
        };
        return Ok((1..=number).map(without_key).collect());
    };
    let text = fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))?;
    let mut organisations = Vec::new();
    for (number, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let Some((name, key)) = line.split_once(char::is_whitespace) else {
            bail!(
                "{}:{}: expected ORGANISATION KEY",
                path.display(),
                number + 1
            );
        };
        organisations.push(Organisation {
            name: name.into(),
            key: Some(key.trim().to_owned()),
        });
    }
    if organisations.is_empty() {
        bail!("{} names no organisation", path.display());
    }
    Ok(organisations)
}
