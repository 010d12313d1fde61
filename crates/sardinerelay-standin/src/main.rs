//! The stand-ins as one program with a subcommand for each.

use {
    anyhow::{Context, Result},
    clap::{Arg, ArgMatches, Command, value_parser},
    compact_str::CompactString,
    sardinerelay_standin::{
        batch::Size,
        engine::{self, Config},
    },
    std::net::SocketAddr,
};

#[tokio::main]
async fn main() -> Result<()> {
    logging()?;
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("engine", matches)) => run_engine(matches).await,
        _ => unreachable!("clap requires a known subcommand"),
    }
}

fn command() -> Command {
    Command::new("sardinerelay-standin")
        .about("Stand-ins for the systems around sardinerelay")
        .subcommand_required(true)
        .subcommand(
            Command::new("engine")
                .about("A model engine with continuous batching and bounded memory")
                .arg(listen())
                .arg(
                    Arg::new("name")
                        .long("name")
                        .default_value("engine")
                        .value_parser(value_parser!(CompactString)),
                )
                .arg(
                    Arg::new("model")
                        .long("model")
                        .action(clap::ArgAction::Append)
                        .default_value("bend-planner")
                        .value_parser(value_parser!(CompactString)),
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
                .arg(number("seed", "1", "Seed of the output lengths"))
                .arg(number("mean-tokens", "60", "Mean output length in tokens")),
        )
}

fn listen() -> Arg {
    Arg::new("listen")
        .long("listen")
        .required(true)
        .help("Address to serve on")
        .value_parser(value_parser!(SocketAddr))
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .help(help)
        .value_parser(value_parser!(u64))
}

fn duration(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .help(help)
        .value_parser(humantime::parse_duration)
}

async fn run_engine(matches: &ArgMatches) -> Result<()> {
    let get = |name| {
        *matches
            .get_one::<u64>(name)
            .expect("the argument has a default")
    };
    let time = |name| *matches.get_one(name).expect("the argument has a default");
    let address = *matches
        .get_one::<SocketAddr>("listen")
        .expect("the argument is required");
    let config = Config {
        name: matches
            .get_one::<CompactString>("name")
            .expect("the argument has a default")
            .clone(),
        models: matches
            .get_many("model")
            .expect("the argument has a default")
            .cloned()
            .collect(),
        size: Size {
            memory_tokens: get("memory-tokens"),
            max_running: get("max-running") as usize,
            prefill_tokens_per_step: get("prefill-tokens"),
        },
        step: time("step"),
        report_lag: time("report-lag"),
        orphan_window: time("orphan-window"),
        seed: get("seed"),
        mean_tokens: get("mean-tokens"),
    };
    engine::serve(config, address)
        .await
        .with_context(|| format!("serving the engine on {address}"))
}

fn logging() -> Result<(), fern::InitError> {
    fern::Dispatch::new()
        .format(|out, message, record| {
            out.finish(format_args!(
                "{} {} {message}",
                humantime::format_rfc3339_millis(std::time::SystemTime::now()),
                record.level()
            ));
        })
        .level(log::LevelFilter::Info)
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}
