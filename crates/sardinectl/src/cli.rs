//! The command line: subcommands, flags and arguments.

use {
    clap::{
        Arg, ArgAction, ArgGroup, ArgMatches, Command, builder::PossibleValuesParser, value_parser,
    },
    clap_complete::Shell,
    compact_str::CompactString,
    sardinerelay::{id::Host, operator::ProposalId, refusal_code::TABLE},
    std::path::PathBuf,
};

const EXIT_CODES: &str = "\
Exit codes:
  0    done
  1    general failure; for `health`, a host is not ready
  2    wrong flags or arguments
  3    the sheet has errors
  4    conflict: the sheet's number or the proposal id is taken
  5    no server answered
  6    refused, not run
  7    outcome unknown: resend with the printed --proposal
  8    accepted, but not seen to complete within --wait
  130  interrupted";

const EXAMPLES: &str = "\
Examples:
  sardinectl sheet check morning.toml
  sardinectl --server 10.20.1.5:7100,10.20.2.5:7100 sheet submit morning.toml
  sardinectl --json targets";

/// Builds the command line of `sardinectl`.
pub fn command() -> Command {
    Command::new("sardinectl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates sardinerelay: submits the sheet, shows the state, plans stops")
        .after_help(EXAMPLES)
        .after_long_help(format!("{EXAMPLES}\n\n{EXIT_CODES}"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_args())
        .subcommand(sheet())
        .subcommand(simple(
            "hosts",
            "Lists the entry hosts and the sheet each has in force",
        ))
        .subcommand(simple(
            "targets",
            "Lists engines and plain-service servers with their load",
        ))
        .subcommand(simple(
            "organisations",
            "Lists organisations with limits and use",
        ))
        .subcommand(simple("queues", "Lists the admission queues of all hosts"))
        .subcommand(voters())
        .subcommand(stop())
        .subcommand(explain())
        .subcommand(key())
        .subcommand(simple("health", "Asks each given server for its own state"))
        .subcommand(completions())
}

/// A subcommand without arguments of its own.
fn simple(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about)
}

fn global_args() -> [Arg; 5] {
    [
        Arg::new("server")
            .long("server")
            .env("SARDINECTL_SERVER")
            .global(true)
            .value_name("HOST:PORT")
            .value_delimiter(',')
            .action(ArgAction::Append)
            .help("Operator port of an entry host; several are tried in order"),
        Arg::new("timeout")
            .long("timeout")
            .env("SARDINECTL_TIMEOUT")
            .global(true)
            .value_name("DURATION")
            .default_value("5s")
            .value_parser(humantime::parse_duration)
            .help("Timeout for each server"),
        Arg::new("secret-file")
            .long("secret-file")
            .env("SARDINECTL_SECRET_FILE")
            .global(true)
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .help("File with the operators' shared secret"),
        Arg::new("json")
            .long("json")
            .global(true)
            .action(ArgAction::SetTrue)
            .help("Prints one JSON document for programs"),
        Arg::new("verbose")
            .long("verbose")
            .short('v')
            .global(true)
            .action(ArgAction::SetTrue)
            .help("Logs each attempt to reach a server"),
    ]
}

fn sheet() -> Command {
    Command::new("sheet")
        .about("Checks, submits and shows the configuration sheet")
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Reports every error in a sheet, without a server")
                .after_help(
                    "Examples:\n  sardinectl sheet check morning.toml\n  \
                     sardinectl --server 10.20.1.5:7100 sheet check --against morning.toml",
                )
                .arg(file())
                .arg(
                    Arg::new("against")
                        .long("against")
                        .action(ArgAction::SetTrue)
                        .help("Also lists what changes from the server's current sheet"),
                ),
        )
        .subcommand(
            Command::new("submit")
                .about("Submits a sheet and waits until every reachable host has it in force")
                .after_help(
                    "If the answer is lost, resend with the printed proposal id:\n  \
                     sardinectl sheet submit --proposal 0197… morning.toml",
                )
                .arg(file())
                .arg(proposal())
                .arg(wait("30s"))
                .arg(no_wait()),
        )
        .subcommand(
            Command::new("show")
                .about("Prints the last accepted sheet")
                .after_help("Example:\n  sardinectl sheet show > current.toml"),
        )
}

fn file() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The sheet; `-` reads standard input")
}

fn proposal() -> Arg {
    Arg::new("proposal")
        .long("proposal")
        .value_name("ID")
        .value_parser(value_parser!(ProposalId))
        .help("Resends a change under its former id (a UUID)")
}

fn wait(default: &'static str) -> Arg {
    Arg::new("wait")
        .long("wait")
        .value_name("DURATION")
        .default_value(default)
        .value_parser(humantime::parse_duration)
        .help("How long to wait until the change is complete")
}

fn no_wait() -> Arg {
    Arg::new("no-wait")
        .long("no-wait")
        .action(ArgAction::SetTrue)
        .help("Returns as soon as the change is accepted")
}

fn stop() -> Command {
    Command::new("stop")
        .about("Plans a graceful stop and waits until it is drained")
        .after_help(
            "Examples:\n  sardinectl stop host 4\n  sardinectl stop target engine-a1 --wait 1h",
        )
        .subcommand_required(true)
        .subcommand(stop_subject(
            "host",
            Arg::new("name")
                .value_name("NUMBER")
                .required(true)
                .value_parser(value_parser!(Host))
                .help("The host's number, as `sardinectl hosts` lists it"),
        ))
        .subcommand(stop_subject(
            "target",
            Arg::new("name")
                .value_name("NAME")
                .required(true)
                .value_parser(value_parser!(CompactString))
                .help("The target's name in the sheet"),
        ))
}

fn stop_subject(name: &'static str, subject: Arg) -> Command {
    Command::new(name)
        .about(format!("Plans a graceful stop of a {name}"))
        .arg(subject)
        .arg(proposal())
        .arg(wait("15m"))
        .arg(no_wait())
}

fn voters() -> Command {
    let host = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .value_name(name.to_uppercase())
            .required(true)
            .value_parser(value_parser!(Host))
            .help(help)
    };
    Command::new("voters")
        .about("Lists the members of the consensus group, or replaces one")
        .after_help("Examples:\n  sardinectl voters\n  sardinectl voters replace 3 4")
        .subcommand(
            Command::new("replace")
                .about("Makes a learner a voter in place of a voter, one committed step at a time")
                .after_help("If the answer is lost, run the same command again; it continues.")
                .arg(host("old", "The voter to remove"))
                .arg(host(
                    "new",
                    "The host that runs with --learner under a new number",
                ))
                .arg(wait("15m")),
        )
}

fn explain() -> Command {
    Command::new("explain")
        .about("Explains a refusal code that a caller received")
        .after_help("Examples:\n  sardinectl explain queue_full\n  sardinectl explain --all")
        .arg(
            Arg::new("code")
                .value_name("CODE")
                .value_parser(PossibleValuesParser::new(TABLE.map(|entry| entry.text)))
                .help("The `code` in the error object of the response"),
        )
        .arg(
            Arg::new("all")
                .long("all")
                .action(ArgAction::SetTrue)
                .help("Explains every code"),
        )
        .group(ArgGroup::new("which").args(["code", "all"]).required(true))
}

fn key() -> Command {
    Command::new("key")
        .about("Prepares API keys for the sheet")
        .subcommand_required(true)
        .subcommand(
            Command::new("hash")
                .about("Reads an API key from standard input and prints its SHA-256 digest")
                .after_help("Example:\n  sardinectl key hash < key.txt"),
        )
}

fn completions() -> Command {
    Command::new("completions")
        .about("Prints the shell's completion script")
        .after_help("Example:\n  sardinectl completions bash > /etc/bash_completion.d/sardinectl")
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .required(true)
                .value_parser(value_parser!(Shell)),
        )
}

/// Returns the value of an argument that is required or has a default.
///
/// # Panics
///
/// If the argument has neither.
pub fn get<T>(matches: &ArgMatches, name: &str) -> T
where
    T: Clone + Send + Sync + 'static,
{
    matches
        .get_one::<T>(name)
        .expect("the argument is required or has a default")
        .clone()
}
