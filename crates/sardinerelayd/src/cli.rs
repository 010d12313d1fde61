//! Command-line flags of the daemon. Each flag can also be set by the environment variable that
//! `--help` lists.

use {
    clap::{Arg, ArgAction, Command},
    std::ffi::OsString,
};

/// Builds the command. Values remain text here; `config` validates them.
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
            "Bootstrap a new group if the data directory is empty; only for the first start of the voters",
        ))
        .arg(switch(
            "learner",
            "Join the group as a learner: a replica without a vote, which may be promoted to a voter",
        ))
        .arg(switch(
            "dev",
            "Start a complete system of one host with a stand-in engine on loopback",
        ))
}

/// Parses the arguments. If they are invalid, prints clap's message and exits.
pub fn parse<I, T>(arguments: I) -> clap::ArgMatches
where
    I: IntoIterator<Item = T>,
    T: Into<OsString> + Clone,
{
    command().get_matches_from(arguments)
}

const EXAMPLES: &str = "Examples:
  sardinerelayd --dev
      A complete system of one host with a stand-in engine, for trying it out.
  sardinerelayd --host-id 1 --zone lakes-a --listen 10.0.1.1:8080 --data-dir data \\
      --peer-listen 10.0.1.1:7000 --secret-file secret \\
      --voter 1,lakes-a,10.0.1.1:7000 --voter 2,lakes-b,10.0.2.1:7000 --voter 3,lakes-c,10.0.3.1:7000
      One of three voters. docs/OPERATIONS.md has the commands for nine hosts.";

fn identity() -> [Arg; 3] {
    [
        setting(
            "host-id",
            "ID",
            "1",
            "Id of this host, a number; unique, and not to be reused after its disk is lost",
        ),
        setting("zone", "NAME", "zone-a", "Availability zone of this host"),
        optional(
            "data-dir",
            "PATH",
            "Directory for durable state; required for voters",
        ),
    ]
}

fn control() -> [Arg; 6] {
    [
        setting(
            "peer-listen",
            "ADDRESS",
            "127.0.0.1:7000",
            "Address to listen on for other hosts",
        ),
        setting(
            "operator-listen",
            "ADDRESS",
            "127.0.0.1:7001",
            "Address to listen on for sardinectl",
        ),
        list(
            "voter",
            "ID,ZONE,ADDRESS",
            "A voter, with its address for other hosts; repeat the flag for each",
        ),
        list(
            "host",
            "ID,ZONE,ADDRESS",
            "Any other host, with its address for other hosts; repeat the flag for each",
        ),
        optional(
            "secret-file",
            "PATH",
            "File with the secrets that the hosts share, one per line; the first is sent, all are accepted",
        ),
        optional(
            "hosts-url",
            "URL",
            "URL of the platform's list of live and leaving targets",
        ),
    ]
}

fn traffic() -> [Arg; 10] {
    [
        setting(
            "listen",
            "ADDRESS",
            "127.0.0.1:8080",
            "Address to listen on for callers",
        ),
        setting(
            "traffic-threads",
            "COUNT",
            "2",
            "Number of threads that serve requests",
        ),
        setting(
            "policy",
            "NAME",
            "adaptive",
            "Scheduling policy: adaptive, round-robin or least-in-flight",
        ),
        setting(
            "objective",
            "NAME",
            "stall",
            "What admission minimizes first: stall or preemption",
        ),
        setting("max-body", "BYTES", "1048576", "Largest request body"),
        setting("max-headers", "BYTES", "16384", "Largest request head"),
        setting(
            "header-timeout",
            "DURATION",
            "10s",
            "Time for a caller to send its request head",
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
            "Time for which a caller may leave its stream unread before the stream is cancelled",
        ),
    ]
}

fn stops() -> [Arg; 2] {
    [
        setting(
            "drain-delay",
            "DURATION",
            "2s",
            "On a planned stop, how long the host is not ready but still accepts new requests",
        ),
        setting(
            "drain-deadline",
            "DURATION",
            "10m",
            "On a planned stop, time for open streams to finish",
        ),
    ]
}

fn store() -> [Arg; 3] {
    [
        setting(
            "store-concurrent",
            "COUNT",
            "2",
            "Maximum number of concurrent loads from the weight store, over all engines",
        ),
        setting(
            "store-interval",
            "DURATION",
            "500ms",
            "Minimum time between the starts of two loads from the weight store",
        ),
        optional(
            "order-pause",
            "DURATION",
            "Delay between the decision on an order and its sending, for tests of failover",
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

/// A flag with a default value.
fn setting(
    name: &'static str,
    value_name: &'static str,
    default: &'static str,
    help: &'static str,
) -> Arg {
    optional(name, value_name, help).default_value(default)
}

fn optional(name: &'static str, value_name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name(value_name)
        .env(environment_variable(name))
        .help(help)
}

/// A flag that can be given several times. The environment variable separates values by `;`.
fn list(name: &'static str, value_name: &'static str, help: &'static str) -> Arg {
    optional(name, value_name, help)
        .action(ArgAction::Append)
        .value_delimiter(';')
}

fn switch(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::SetTrue)
        .env(environment_variable(name))
        .help(help)
}

/// The environment variable of a flag: `--host-id` is `SARDINERELAY_HOST_ID`.
fn environment_variable(flag: &str) -> clap::builder::OsStr {
    format!("SARDINERELAY_{}", flag.replace('-', "_").to_uppercase()).into()
}
