//! Converts the parsed command line to a [`Config`].

use {
    crate::{cli, error::Error},
    clap::ArgMatches,
    clap_complete::Shell,
    compact_str::CompactString,
    jsonrpsee::ws_client::HeaderValue,
    sardinerelay::{
        operator::{ProposalId, ReplaceRequest, Subject},
        refusal_code::Code,
    },
    std::{
        fs,
        path::{Path, PathBuf},
        time::Duration,
    },
    uuid::Uuid,
};

/// The settings of one run of the tool.
#[derive(Debug)]
pub struct Config {
    /// The subcommand to run.
    pub action: Action,
    /// How to connect to the servers.
    pub client: ClientConfig,
    /// Whether to print JSON instead of text.
    pub json: bool,
    /// Whether to log each attempt to call a server.
    pub verbose: bool,
}

/// How to connect to the servers.
#[derive(Debug, Clone)]
pub struct ClientConfig {
    /// Host names or IP addresses with port, tried in order.
    pub servers: Vec<String>,
    /// Timeout for each server, which covers connecting and the call.
    pub timeout: Duration,
    /// Value of the `authorization` header, if there is a shared secret.
    pub authorization: Option<HeaderValue>,
}

/// The subcommand to run, with its arguments.
#[derive(Debug)]
pub enum Action {
    /// Validate a sheet.
    SheetCheck {
        /// Path of the sheet, or `-` for standard input.
        file: PathBuf,
        /// Whether to compare it with the server's current sheet.
        compare: bool,
    },
    /// Submit a sheet.
    SheetSubmit {
        /// Path of the sheet, or `-` for standard input.
        file: PathBuf,
        /// How to propose it and wait for it.
        change: ChangeOptions,
    },
    /// Print the last accepted sheet.
    SheetShow,
    /// List hosts.
    Hosts,
    /// List targets.
    Targets,
    /// List organisations.
    Organisations,
    /// List admission queues.
    Queues,
    /// List the members of the consensus group.
    Voters,
    /// Replace a voter.
    VotersReplace {
        /// The voter to remove and the host that replaces it.
        request: ReplaceRequest,
        /// How long to continue until it is complete.
        wait: Duration,
    },
    /// Plan a graceful stop.
    Stop {
        /// The host or target to stop.
        subject: Subject,
        /// How to propose it and wait for it.
        change: ChangeOptions,
    },
    /// Explain a refusal code, or all of them if absent.
    Explain(Option<Code>),
    /// Print the digest of an API key.
    KeyHash,
    /// Show the health of each server.
    Health,
    /// Print a completion script.
    Completions(Shell),
}

/// How to propose a change and wait for it.
#[derive(Debug, Clone, Copy)]
pub struct ChangeOptions {
    /// The id under which the change can be resent with the same result.
    pub proposal: ProposalId,
    /// How long to wait until it is complete. Absent to return as soon as it is accepted.
    pub wait: Option<Duration>,
}

impl Config {
    /// Converts the parsed command line and reads the shared secret.
    ///
    /// # Errors
    ///
    /// If the command needs a server and none is given, if a server's address is malformed, or if
    /// the secret can't be read or sent.
    pub fn from_matches(matches: &ArgMatches) -> Result<Self, Error> {
        let action = action(matches);
        Ok(Self {
            client: client_config(matches, action.needs_server())?,
            action,
            json: matches.get_flag("json"),
            verbose: matches.get_flag("verbose"),
        })
    }
}

impl Action {
    fn needs_server(&self) -> bool {
        match self {
            Self::SheetCheck { compare, .. } => *compare,
            Self::Explain(_) | Self::KeyHash | Self::Completions(_) => false,
            _ => true,
        }
    }
}

fn client_config(matches: &ArgMatches, needs_server: bool) -> Result<ClientConfig, Error> {
    let mut config = ClientConfig {
        servers: Vec::new(),
        timeout: cli::get(matches, "timeout"),
        authorization: None,
    };
    if !needs_server {
        return Ok(config);
    }
    for server in matches.get_many::<String>("server").unwrap_or_default() {
        config.servers.push(parse_address(server)?);
    }
    if config.servers.is_empty() {
        return Err(Error::NoServer);
    }
    if let Some(file) = matches.get_one::<PathBuf>("secret-file") {
        config.authorization = Some(read_authorization(file)?);
    }
    Ok(config)
}

/// Validates `HOST:PORT` with an optional `ws://` in front, and returns it without the latter.
fn parse_address(server: &str) -> Result<String, Error> {
    let malformed = || Error::InvalidServer {
        value: server.to_owned(),
    };
    let authority = server.strip_prefix("ws://").unwrap_or(server);
    let (host, port) = authority.rsplit_once(':').ok_or_else(malformed)?;
    let in_host = |character: char| {
        character.is_ascii_alphanumeric() || matches!(character, '.' | '-' | '[' | ']' | ':')
    };
    let port: u16 = port.parse().map_err(|_| malformed())?;
    if host.is_empty() || port == 0 || !host.chars().all(in_host) {
        return Err(malformed());
    }
    Ok(format!("{host}:{port}"))
}

/// Reads the shared secret and returns the `authorization` header with it.
fn read_authorization(file: &Path) -> Result<HeaderValue, Error> {
    let text = fs::read_to_string(file).map_err(|source| Error::Read {
        file: file.to_owned(),
        source,
    })?;
    // The daemon accepts any secret of the same file, one per line. The tool sends the first.
    let secret = text.lines().map(str::trim).find(|line| !line.is_empty());
    let secret = secret.unwrap_or_default();
    let malformed = || Error::InvalidSecret {
        file: file.to_owned(),
    };
    if secret.is_empty()
        || !secret
            .bytes()
            .all(|byte| byte == b' ' || byte.is_ascii_graphic())
    {
        return Err(malformed());
    }
    let mut value = HeaderValue::try_from(format!("Bearer {secret}")).map_err(|_| malformed())?;
    value.set_sensitive(true);
    Ok(value)
}

fn action(matches: &ArgMatches) -> Action {
    match subcommand(matches) {
        ("sheet", matches) => sheet_action(matches),
        ("hosts", _) => Action::Hosts,
        ("targets", _) => Action::Targets,
        ("organisations", _) => Action::Organisations,
        ("queues", _) => Action::Queues,
        ("voters", matches) => voters_action(matches),
        ("stop", matches) => stop_action(matches),
        ("explain", matches) => Action::Explain(refusal_code(matches)),
        ("key", _) => Action::KeyHash,
        ("health", _) => Action::Health,
        ("completions", matches) => Action::Completions(cli::get(matches, "shell")),
        (name, _) => unreachable!("clap accepts only known subcommands, not {name}"),
    }
}

fn subcommand(matches: &ArgMatches) -> (&str, &ArgMatches) {
    matches.subcommand().expect("clap requires a subcommand")
}

fn sheet_action(matches: &ArgMatches) -> Action {
    match subcommand(matches) {
        ("check", matches) => Action::SheetCheck {
            file: cli::get(matches, "file"),
            compare: matches.get_flag("against"),
        },
        ("submit", matches) => Action::SheetSubmit {
            file: cli::get(matches, "file"),
            change: change_options(matches),
        },
        _ => Action::SheetShow,
    }
}

fn voters_action(matches: &ArgMatches) -> Action {
    match matches.subcommand() {
        Some((_, matches)) => Action::VotersReplace {
            request: ReplaceRequest {
                old: cli::get(matches, "old"),
                new: cli::get(matches, "new"),
            },
            wait: cli::get(matches, "wait"),
        },
        None => Action::Voters,
    }
}

fn stop_action(matches: &ArgMatches) -> Action {
    let (kind, matches) = subcommand(matches);
    let subject = match kind {
        "host" => Subject::Host(cli::get(matches, "name")),
        _ => Subject::Target(cli::get::<CompactString>(matches, "name")),
    };
    Action::Stop {
        subject,
        change: change_options(matches),
    }
}

fn change_options(matches: &ArgMatches) -> ChangeOptions {
    let given = matches.get_one::<ProposalId>("proposal").copied();
    let wait = match matches.get_flag("no-wait") {
        true => None,
        false => Some(cli::get(matches, "wait")),
    };
    ChangeOptions {
        proposal: given.unwrap_or_else(Uuid::now_v7),
        wait,
    }
}

fn refusal_code(matches: &ArgMatches) -> Option<Code> {
    let text = matches.get_one::<String>("code")?;
    Some(Code::from_name(text).expect("clap accepts only codes of the table"))
}
