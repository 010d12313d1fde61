//! The daemon's flags. Each one can be given by the environment variable that `--help` names.

use {
    clap::{Arg, ArgAction, Command},
    std::ffi::OsString,
};

/// Builds the command. Values stay text here; `config` checks them and names what is allowed.
pub fn command() -> Command {
    Command::new("sardinerelayd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Entry host of sardinerelay: serves model generations of unknown length")
        .after_help(EXAMPLES)
        .args(identity())
        .args(control())
        .args(traffic())
        .args(stops())
        .args(store())
        .args(output())
        .arg(switch(
            "bootstrap",
            "Found a new group on an empty data directory; only for the very first start of the voters",
        ))
        .arg(switch(
            "learner",
            "Join as a replica that catches up and may be made a voter",
        ))
        .arg(switch(
            "dev",
            "Start a whole one-host system with a stand-in engine on loopback",
        ))
}

/// Parses the arguments, or ends the process with clap's own message.
pub fn parse<I, T>(arguments: I) -> clap::ArgMatches
where
    I: IntoIterator<Item = T>,
    T: Into<OsString> + Clone,
{
    command().get_matches_from(arguments)
}

const EXAMPLES: &str = "Examples:
  sardinerelayd --dev
      A whole one-host system with a stand-in engine, for trying it out.
  sardinerelayd --host-id 1 --zone lakes-a --listen 10.0.1.1:8080 --data-dir data \\
      --peer-listen 10.0.1.1:7000 --secret-file secret \\
      --voter 1,lakes-a,10.0.1.1:7000 --voter 2,lakes-b,10.0.2.1:7000 --voter 3,lakes-c,10.0.3.1:7000
      One of three voters. docs/OPERATIONS.md has the whole set for nine hosts.";

fn identity() -> [Arg; 3] {
    [
        setting(
            "host-id",
            "ID",
            "1",
            "Number of this host, unique and never reused after a lost disk",
        ),
        setting("zone", "NAME", "zone-a", "Availability zone of this host"),
        optional(
            "data-dir",
            "PATH",
            "Directory for durable state; a voter needs one",
        ),
    ]
}

fn control() -> [Arg; 6] {
    [
        setting(
            "peer-listen",
            "ADDRESS",
            "127.0.0.1:7000",
            "Address for the other hosts",
        ),
        setting(
            "operator-listen",
            "ADDRESS",
            "127.0.0.1:7001",
            "Address for sardinectl",
        ),
        list(
            "voter",
            "ID,ZONE,ADDRESS",
            "A host that votes, with its peer address; repeat for each",
        ),
        list(
            "host",
            "ID,ZONE,ADDRESS",
            "Any other host, with its peer address; repeat for each",
        ),
        optional(
            "secret-file",
            "PATH",
            "File of shared secrets, one a line; the first is sent, all are accepted",
        ),
        optional(
            "hosts-url",
            "URL",
            "The platform's list of live and leaving hosts",
        ),
    ]
}

fn traffic() -> [Arg; 10] {
    [
        setting("listen", "ADDRESS", "127.0.0.1:8080", "Address for callers"),
        setting(
            "traffic-threads",
            "COUNT",
            "2",
            "Threads that serve traffic",
        ),
        setting(
            "policy",
            "NAME",
            "adaptive",
            "Scheduling: adaptive, round-robin or least-in-flight",
        ),
        setting(
            "objective",
            "NAME",
            "stall",
            "What admission keeps low first: stall or preemption",
        ),
        setting("max-body", "BYTES", "1048576", "Largest request body"),
        setting("max-headers", "BYTES", "16384", "Largest request head"),
        setting(
            "header-timeout",
            "DURATION",
            "10s",
            "Time a caller has to send its request head",
        ),
        setting(
            "token-gap",
            "DURATION",
            "1s",
            "Silence on an engine's connection after which it is probed on a new one",
        ),
        setting(
            "engine-loss",
            "DURATION",
            "3s",
            "Time without an answer to probes after which an engine's streams are lost",
        ),
        setting(
            "slow-reader",
            "DURATION",
            "30s",
            "Time a caller may leave its stream unread before it is cancelled",
        ),
    ]
}

fn stops() -> [Arg; 2] {
    [
        setting(
            "drain-delay",
            "DURATION",
            "2s",
            "Wait between not ready and refusing new requests on a planned stop",
        ),
        setting(
            "drain-deadline",
            "DURATION",
            "10m",
            "Time that open streams have to finish on a planned stop",
        ),
    ]
}

fn store() -> [Arg; 3] {
    [
        setting(
            "store-concurrent",
            "COUNT",
            "2",
            "Loads from the weight store that may run at the same time, over all engines",
        ),
        setting(
            "store-interval",
            "DURATION",
            "500ms",
            "Least time between the starts of two loads from the weight store",
        ),
        optional(
            "order-pause",
            "DURATION",
            "Pause between deciding on an order and sending it, for tests of failover",
        )
        .hide(true),
    ]
}

fn output() -> [Arg; 2] {
    [
        setting(
            "log-level",
            "LEVEL",
            "info",
            "error, warn, info, debug or trace",
        ),
        setting("log-format", "FORMAT", "human", "human or json"),
    ]
}

fn setting(
    name: &'static str,
    value: &'static str,
    default: &'static str,
    help: &'static str,
) -> Arg {
    optional(name, value, help).default_value(default)
}

fn optional(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name(value)
        .env(variable(name))
        .help(help)
}

fn list(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    optional(name, value, help)
        .action(ArgAction::Append)
        .value_delimiter(';')
}

fn switch(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::SetTrue)
        .env(variable(name))
        .help(help)
}

/// The environment variable of a flag: `--host-id` is `SARDINERELAY_HOST_ID`.
fn variable(flag: &str) -> clap::builder::OsStr {
    format!("SARDINERELAY_{}", flag.replace('-', "_").to_uppercase()).into()
}
