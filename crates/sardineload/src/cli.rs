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

/// Parses the command line. Prints a message and exits if clap rejects it.
///
/// # Errors
///
/// Returns an error if a value is invalid in a way that clap does not check, or if the key file
/// cannot be read.
pub fn parse() -> Result<Config> {
    let matches = command().get_matches();
    let workload = match value::<String>(&matches, "workload").as_str() {
        "brakeline" => Workload::Brakeline,
        _ => Workload::Harakeke,
    };
    let model = matches.get_one::<CompactString>("model").cloned();
    let config = Config {
        servers: addresses(&matches, "server"),
        plain_servers: addresses(&matches, "plain-server"),
        engines: addresses(&matches, "engine"),
        services: addresses(&matches, "service"),
        model: model.unwrap_or_else(|| workload.model().into()),
        workload,
        rate: value(&matches, "rate"),
        duration: value(&matches, "duration"),
        timeout: value(&matches, "timeout"),
        seed: value(&matches, "seed"),
        organisations: organisations(&matches)?,
        skew: value(&matches, "skew"),
        leave_share: share_value(&matches, "leave-share")?,
        slow_share: share_value(&matches, "slow-share")?,
        slow_pause: value(&matches, "slow-pause"),
        plain_share: match matches.contains_id("plain-share") {
            true => Some(share_value(&matches, "plain-share")?),
            false => None,
        },
        json: matches.get_one::<PathBuf>("json").cloned(),
        svg: matches.get_one::<PathBuf>("svg").cloned(),
        threads: value::<u64>(&matches, "threads") as usize,
    };
    validate(&config)?;
    Ok(config)
}

fn command() -> Command {
    Command::new("sardineload")
        .about("Load tool for the OpenAI-compatible HTTP API; see docs/LOAD.md")
        .arg(
            servers_arg(
                "server",
                "Server to send requests to; if repeated, servers are used in turn",
            )
            .required(true),
        )
        .arg(servers_arg(
            "plain-server",
            "Server to send plain calls to [default: as for --server]",
        ))
        .arg(servers_arg(
            "engine",
            "Stand-in engine whose record is verified after the run",
        ))
        .arg(servers_arg(
            "service",
            "Stand-in service whose record is verified after the run",
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
                .help("Model to request [default: bend-planner or offcuts, by workload]")
                .value_parser(value_parser!(CompactString)),
        )
        .arg(
            value_arg("rate", "10", "Mean number of arrivals per second")
                .value_parser(value_parser!(f64)),
        )
        .arg(
            value_arg("duration", "30s", "Length of the arrival window")
                .value_parser(humantime::parse_duration),
        )
        .arg(
            value_arg("timeout", "180s", "Time after which a request is abandoned")
                .value_parser(humantime::parse_duration),
        )
        .arg(value_arg("seed", "1", "Seed of the run").value_parser(value_parser!(u64)))
        .arg(
            Arg::new("key")
                .long("key")
                .help("File with lines `ORGANISATION KEY`, in descending order of shares")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            value_arg(
                "organisations",
                "10",
                "Number of organisations, if there is no key file",
            )
            .value_parser(value_parser!(u64).range(1..)),
        )
        .arg(
            value_arg(
                "skew",
                "1",
                "Exponent of the organisations' shares; 0 makes them equal",
            )
            .value_parser(value_parser!(f64)),
        )
        .arg(
            value_arg(
                "leave-share",
                "0.1",
                "Share of callers that disconnect early, from 0 to 1",
            )
            .value_parser(value_parser!(f64)),
        )
        .arg(
            value_arg(
                "slow-share",
                "0.02",
                "Share of callers that read slowly, from 0 to 1",
            )
            .value_parser(value_parser!(f64)),
        )
        .arg(
            value_arg(
                "slow-pause",
                "40ms",
                "Pause of a slow reader after each chunk",
            )
            .value_parser(humantime::parse_duration),
        )
        .arg(
            Arg::new("plain-share")
                .long("plain-share")
                .help("Share of plain calls, from 0 to 1 [default: that of the workload]")
                .value_parser(value_parser!(f64)),
        )
        .arg(file_arg("json", "File to write the report to as JSON"))
        .arg(file_arg("svg", "File to write the report to as SVG"))
        .arg(
            value_arg("threads", "2", "Number of worker threads")
                .value_parser(value_parser!(u64).range(1..)),
        )
}

fn servers_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::Append)
        .value_name("ADDRESS")
        .help(help)
        .value_parser(parse_address)
}

fn value_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).help(help)
}

fn file_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .value_parser(value_parser!(PathBuf))
}

/// Parses `IP:PORT` or `http://IP:PORT`.
fn parse_address(text: &str) -> Result<SocketAddr, std::net::AddrParseError> {
    let bare = text.strip_prefix("http://").unwrap_or(text);
    bare.trim_end_matches('/').parse()
}

fn value<T>(matches: &ArgMatches, name: &str) -> T
where
    T: Any + Clone + Send + Sync,
{
    matches
        .get_one::<T>(name)
        .expect("the argument has a default")
        .clone()
}

fn addresses(matches: &ArgMatches, name: &str) -> Vec<SocketAddr> {
    let values = matches.get_many(name).unwrap_or_default();
    values.copied().collect()
}

fn share_value(matches: &ArgMatches, name: &str) -> Result<f64> {
    let share: f64 = value(matches, name);
    if !(0.0..=1.0).contains(&share) {
        bail!("--{name} is {share}; it must be between 0 and 1");
    }
    Ok(share)
}

fn validate(config: &Config) -> Result<()> {
    if !(config.rate.is_finite() && config.rate > 0.0) {
        bail!("--rate is {}; it must be greater than 0", config.rate);
    }
    if !config.skew.is_finite() {
        bail!("--skew is {}; it must be finite", config.skew);
    }
    if config.leave_share + config.slow_share > 1.0 {
        bail!("--leave-share and --slow-share must not add up to more than 1");
    }
    if config.duration == Duration::ZERO {
        bail!("--duration is 0; it must be greater than 0");
    }
    Ok(())
}

fn organisations(matches: &ArgMatches) -> Result<Vec<Organisation>> {
    let Some(path) = matches.get_one::<PathBuf>("key") else {
        let number = value::<u64>(matches, "organisations");
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
        bail!("{} contains no organisation", path.display());
    }
    Ok(organisations)
}
