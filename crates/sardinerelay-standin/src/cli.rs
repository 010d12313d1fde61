//! Command line of the stand-in program.

use {
    anyhow::{Context, Result, bail},
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    compact_str::CompactString,
    sardinerelay_standin::{batch, cache, engine, hosts, orders::Fencing, proxy, service},
    std::{any::Any, fs, net::SocketAddr, path::PathBuf, time::Duration},
};

/// The parsed command line.
#[derive(Debug)]
pub struct Config {
    /// Address of the HTTP port.
    pub listen: SocketAddr,
    /// The stand-in to run, with its settings.
    pub stand_in: StandIn,
}

/// Stand-ins that the program can run.
#[derive(Debug)]
pub enum StandIn {
    /// A model engine.
    Engine(Box<engine::Config>),
    /// A plain HTTP service.
    Service(service::Config),
    /// The platform's host list: initial content, and lag until a change is visible.
    Hosts(hosts::List, Duration),
    /// A fault-injecting proxy: routes, and seed of the jitter.
    Proxy(Vec<proxy::Spec>, u64),
}

/// Parses the command line. Prints a message and exits if clap rejects it.
///
/// # Errors
///
/// Returns an error if a value is invalid in a way that clap does not check, or if a file cannot be
/// read.
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
        .arg(listen_arg())
        .arg(name_arg("engine"))
        .arg(
            Arg::new("model")
                .long("model")
                .action(ArgAction::Append)
                .default_value("bend-planner")
                .help("Model or model:adapter loaded at the start; may be repeated")
                .value_parser(value_parser!(CompactString)),
        )
        .arg(
            Arg::new("check-adapters")
                .long("check-adapters")
                .action(ArgAction::SetTrue)
                .help("Refuse requests for adapters that are not loaded"),
        )
        .arg(number_arg(
            "memory-tokens",
            "60000",
            "Key-value memory in tokens",
        ))
        .arg(number_arg(
            "max-running",
            "64",
            "Maximum number of sequences that run at the same time",
        ))
        .arg(number_arg(
            "prefill-tokens",
            "4096",
            "Maximum number of prompt tokens computed per iteration",
        ))
        .arg(duration_arg(
            "step",
            "20ms",
            "Duration of one decode iteration",
        ))
        .arg(duration_arg(
            "report-lag",
            "500ms",
            "Age of the load reports",
        ))
        .arg(duration_arg(
            "orphan-window",
            "10s",
            "Time after which a running generation without a reader is cancelled",
        ))
        .arg(duration_arg(
            "retention",
            "10s",
            "Time for which a finished generation can be resumed",
        ))
        .arg(number_arg(
            "cache-tokens",
            "20000",
            "Capacity of the prefix cache in tokens; 0 disables it",
        ))
        .arg(duration_arg(
            "cache-lag",
            "500ms",
            "Time after which cache events become visible",
        ))
        .arg(share_arg(
            "cache-loss",
            "Share of cache events that are lost, from 0 to 1",
        ))
        .arg(
            Arg::new("fencing")
                .long("fencing")
                .default_value("checked")
                .help("Whether an order with an old fencing token is refused")
                .value_parser(["checked", "ignored"]),
        )
        .arg(duration_arg(
            "load-time",
            "2s",
            "Time taken to load a model or adapter",
        ))
        .arg(number_arg(
            "record-limit",
            "65536",
            "Maximum number of generations in the record",
        ))
        .arg(
            Arg::new("incarnation")
                .long("incarnation")
                .help("Name of this start, a higher number for a later one [default: start time]")
                .value_parser(value_parser!(CompactString)),
        )
        .arg(number_arg(
            "seed",
            "1",
            "Seed of the output lengths and of the choice of lost cache events",
        ))
        .arg(number_arg(
            "mean-tokens",
            "60",
            "Mean output length in tokens",
        ))
        .arg(
            Arg::new("mark-generations")
                .long("mark-generations")
                .action(ArgAction::SetTrue)
                .help("Append the id of the generation to the text of each token"),
        )
}

fn service_command() -> Command {
    Command::new("service")
        .about("A plain service that counts the executions of each idempotency key")
        .arg(listen_arg())
        .arg(name_arg("service"))
        .arg(duration_arg(
            "delay-before",
            "0ms",
            "Delay between the arrival of a call and its execution",
        ))
        .arg(duration_arg(
            "delay-after",
            "0ms",
            "Delay between the execution and the response",
        ))
        .arg(share_arg(
            "lose-answers",
            "Share of calls that are executed but get no response, from 0 to 1",
        ))
        .arg(number_arg(
            "record-limit",
            "65536",
            "Maximum number of keys in the record",
        ))
        .arg(number_arg(
            "seed",
            "1",
            "Seed of the choice of lost responses",
        ))
}

fn hosts_command() -> Command {
    Command::new("hosts")
        .about("The platform's lagging list of live and leaving hosts and targets")
        .arg(listen_arg())
        .arg(duration_arg(
            "lag",
            "2s",
            "Time after which a change becomes visible",
        ))
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
        .arg(listen_arg().help("Address of the HTTP control port"))
        .arg(
            Arg::new("route")
                .long("route")
                .action(ArgAction::Append)
                .required(true)
                .value_name("LISTEN=TARGET,name=NAME[,group=GROUP]...")
                .help("Route; may be repeated")
                .value_parser(value_parser!(proxy::Spec)),
        )
        .arg(number_arg("seed", "1", "Seed of the jitter"))
}

fn listen_arg() -> Arg {
    Arg::new("listen")
        .long("listen")
        .default_value("127.0.0.1:0")
        .help("Address to listen on; port 0 selects a free port")
        .value_parser(value_parser!(SocketAddr))
}

fn name_arg(default: &'static str) -> Arg {
    Arg::new("name")
        .long("name")
        .default_value(default)
        .value_parser(value_parser!(CompactString))
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .help(help)
        .value_parser(value_parser!(u64))
}

fn share_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value("0")
        .help(help)
        .value_parser(value_parser!(f64))
}

fn duration_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
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

fn share_value(matches: &ArgMatches, name: &str) -> Result<f64> {
    let share: f64 = value(matches, name);
    if !(0.0..=1.0).contains(&share) {
        bail!("--{name} is {share}; it must be between 0 and 1");
    }
    Ok(share)
}

fn engine_config(matches: &ArgMatches) -> Result<engine::Config> {
    let step: Duration = value(matches, "step");
    if step.is_zero() {
        bail!("--step is 0; it must be greater than 0");
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
            loss_share: share_value(matches, "cache-loss")?,
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
        lost_answer_share: share_value(matches, "lose-answers")?,
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
