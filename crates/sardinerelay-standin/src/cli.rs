//! Command line of the stand-ins.

use {
    anyhow::{Context, Result, bail},
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    compact_str::CompactString,
    sardinerelay_standin::{batch, cache, engine, hosts, orders::Fencing, proxy, service},
    std::{any::Any, fs, net::SocketAddr, path::PathBuf, time::Duration},
};

/// What to run.
#[derive(Debug)]
pub struct Config {
    /// Address of the stand-in's HTTP port.
    pub listen: SocketAddr,
    /// The stand-in with its settings.
    pub stand_in: StandIn,
}

/// One of the stand-ins.
#[derive(Debug)]
pub enum StandIn {
    /// A model engine.
    Engine(Box<engine::Config>),
    /// A plain service.
    Service(service::Config),
    /// The platform's list: initial content and lag.
    Hosts(hosts::List, Duration),
    /// A proxy: routes and seed.
    Proxy(Vec<proxy::Spec>, u64),
}

/// Reads the command line; exits with a message if clap refuses it.
///
/// # Errors
///
/// Returns what is wrong with a value that clap doesn't check, or with a file.
pub fn parse() -> Result<Config> {
    let matches = command().get_matches();
    let (name, matches) = matches
        .subcommand()
        .expect("clap requires a known subcommand");
    let stand_in = match name {
        "engine" => StandIn::Engine(Box::new(engine_config(matches)?)),
        "service" => StandIn::Service(service_config(matches)?),
        "hosts" => StandIn::Hosts(initial_list(matches)?, value(matches, "lag")),
        _ => StandIn::Proxy(values(matches, "route"), value(matches, "seed")),
    };
    Ok(Config {
        listen: value(matches, "listen"),
        stand_in,
    })
}

fn command() -> Command {
    Command::new("sardinerelay-standin")
        .about("Stand-ins for the systems around sardinerelay")
        .subcommand_required(true)
        .subcommand(engine_command())
        .subcommand(service_command())
        .subcommand(hosts_command())
        .subcommand(proxy_command())
}

fn engine_command() -> Command {
    Command::new("engine")
        .about("A model engine with continuous batching and bounded memory")
        .arg(listen())
        .arg(name("engine"))
        .arg(
            Arg::new("model")
                .long("model")
                .action(ArgAction::Append)
                .default_value("bend-planner")
                .help("Model, or model:adapter, that is loaded from the start")
                .value_parser(value_parser!(CompactString)),
        )
        .arg(
            Arg::new("check-adapters")
                .long("check-adapters")
                .action(ArgAction::SetTrue)
                .help("Refuse requests for adapters that are not loaded"),
        )
        .arg(number(
            "memory-tokens",
            "60000",
            "Key-value memory in tokens",
        ))
        .arg(number(
            "max-running",
            "64",
            "Sequences that decode at the same time",
        ))
        .arg(number(
            "prefill-tokens",
            "4096",
            "Prompt tokens an iteration can compute",
        ))
        .arg(duration("step", "20ms", "Duration of one decode iteration"))
        .arg(duration("report-lag", "500ms", "Age of the load reports"))
        .arg(duration(
            "orphan-window",
            "10s",
            "How long a generation goes on unread",
        ))
        .arg(duration(
            "retention",
            "10s",
            "How long a finished generation can be resumed",
        ))
        .arg(number(
            "cache-tokens",
            "20000",
            "Memory of the prefix cache in tokens; 0 is off",
        ))
        .arg(duration(
            "cache-lag",
            "500ms",
            "Age at which cache events become visible",
        ))
        .arg(share(
            "cache-loss",
            "Share of cache events that are never visible, 0 to 1",
        ))
        .arg(
            Arg::new("fencing")
                .long("fencing")
                .default_value("checked")
                .help("What happens to an order with an old fencing token")
                .value_parser(["checked", "ignored"]),
        )
        .arg(duration(
            "load-time",
            "2s",
            "Time that loading a model or adapter takes",
        ))
        .arg(number(
            "record-limit",
            "65536",
            "Generations that the record holds",
        ))
        .arg(
            Arg::new("incarnation")
                .long("incarnation")
                .help("Number of this start, higher for a later one; the time of the start by default")
                .value_parser(value_parser!(CompactString)),
        )
        .arg(number(
            "seed",
            "1",
            "Seed of the output lengths and of lost cache events",
        ))
        .arg(number("mean-tokens", "60", "Mean output length in tokens"))
        .arg(
            Arg::new("mark-generations")
                .long("mark-generations")
                .action(ArgAction::SetTrue)
                .help("End the text of each token with its generation"),
        )
}

fn service_command() -> Command {
    Command::new("service")
        .about("A plain service that counts how often each idempotency key ran")
        .arg(listen())
        .arg(name("service"))
        .arg(duration(
            "delay-before",
            "0ms",
            "Wait between the arrival of a call and its run",
        ))
        .arg(duration(
            "delay-after",
            "0ms",
            "Wait between the run and the answer",
        ))
        .arg(share(
            "lose-answers",
            "Share of calls that run and lose their answer, 0 to 1",
        ))
        .arg(number(
            "record-limit",
            "65536",
            "Keys that the record holds",
        ))
        .arg(number(
            "seed",
            "1",
            "Seed of the choice which answers are lost",
        ))
}

fn hosts_command() -> Command {
    Command::new("hosts")
        .about("The platform's lagging list of live and leaving hosts and targets")
        .arg(listen())
        .arg(duration("lag", "2s", "Time until readers see a change"))
        .arg(
            Arg::new("list")
                .long("list")
                .help("JSON file with the initial list, in the form {hosts, targets}")
                .value_parser(value_parser!(PathBuf)),
        )
}

fn proxy_command() -> Command {
    Command::new("proxy")
        .about("A TCP proxy that injects faults")
        .arg(listen().help("Address of the HTTP control port"))
        .arg(
            Arg::new("route")
                .long("route")
                .action(ArgAction::Append)
                .required(true)
                .value_name("LISTEN=TARGET,name=NAME[,group=GROUP]...")
                .help("Route; may be given several times")
                .value_parser(value_parser!(proxy::Spec)),
        )
        .arg(number("seed", "1", "Seed of the jitter"))
}

fn listen() -> Arg {
    Arg::new("listen")
        .long("listen")
        .default_value("127.0.0.1:0")
        .help("Address to serve on; port 0 takes a free one")
        .value_parser(value_parser!(SocketAddr))
}

fn name(default: &'static str) -> Arg {
    Arg::new("name")
        .long("name")
        .default_value(default)
        .value_parser(value_parser!(CompactString))
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .help(help)
        .value_parser(value_parser!(u64))
}

fn share(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value("0")
        .help(help)
        .value_parser(value_parser!(f64))
}

fn duration(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .help(help)
        .value_parser(humantime::parse_duration)
}

fn value<T>(matches: &ArgMatches, name: &str) -> T
where
    T: Any + Clone + Send + Sync,
{
    matches
        .get_one::<T>(name)
        .expect("the argument has a default or is required")
        .clone()
}

fn values<T>(matches: &ArgMatches, name: &str) -> Vec<T>
where
    T: Any + Clone + Send + Sync,
{
    matches
        .get_many::<T>(name)
        .expect("the argument has a default or is required")
        .cloned()
        .collect()
}

fn fraction(matches: &ArgMatches, name: &str) -> Result<f64> {
    let share: f64 = value(matches, name);
    if !(0.0..=1.0).contains(&share) {
        bail!("--{name} is {share}; allowed are values from 0 to 1");
    }
    Ok(share)
}

fn engine_config(matches: &ArgMatches) -> Result<engine::Config> {
    let step: Duration = value(matches, "step");
    if step.is_zero() {
        bail!("--step is 0; allowed are durations above 0");
    }
    let fencing = match value::<String>(matches, "fencing").as_str() {
        "checked" => Fencing::Checked,
        _ => Fencing::Ignored,
    };
    Ok(engine::Config {
        name: value(matches, "name"),
        models: values(matches, "model"),
        check_adapters: matches.get_flag("check-adapters"),
        limits: batch::Limits {
            memory_tokens: value(matches, "memory-tokens"),
            max_running: value::<u64>(matches, "max-running") as usize,
            prefill_tokens_per_step: value(matches, "prefill-tokens"),
        },
        step_interval: step,
        report_lag: value(matches, "report-lag"),
        orphan_window: value(matches, "orphan-window"),
        retention: value(matches, "retention"),
        cache: cache::Config {
            capacity_tokens: value(matches, "cache-tokens"),
            lag: value(matches, "cache-lag"),
            loss_share: fraction(matches, "cache-loss")?,
        },
        fencing,
        load_time: value(matches, "load-time"),
        record_limit: value::<u64>(matches, "record-limit") as usize,
        incarnation: matches.get_one("incarnation").cloned(),
        seed: value(matches, "seed"),
        mean_tokens: value(matches, "mean-tokens"),
        mark_generations: matches.get_flag("mark-generations"),
    })
}

fn service_config(matches: &ArgMatches) -> Result<service::Config> {
    Ok(service::Config {
        name: value(matches, "name"),
        delay_before: value(matches, "delay-before"),
        delay_after: value(matches, "delay-after"),
        lost_answer_share: fraction(matches, "lose-answers")?,
        seed: value(matches, "seed"),
        record_limit: value::<u64>(matches, "record-limit") as usize,
    })
}

fn initial_list(matches: &ArgMatches) -> Result<hosts::List> {
    let Some(path) = matches.get_one::<PathBuf>("list") else {
        return Ok(hosts::List::default());
    };
    let text = fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))?;
    serde_json::from_str(&text).with_context(|| format!("reading {}", path.display()))
}
