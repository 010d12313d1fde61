//! Resolves the command line into one [`Config`].

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
    std::{fs, path::Path, path::PathBuf, time::Duration},
    uuid::Uuid,
};

/// Everything a run needs to know.
#[derive(Debug)]
pub struct Config {
    /// What to do.
    pub task: Task,
    /// How to reach the servers.
    pub access: Access,
    /// Whether to print JSON.
    pub json: bool,
    /// Whether to log attempts.
    pub verbose: bool,
}

/// How to reach the servers.
#[derive(Debug, Clone)]
pub struct Access {
    /// Names or addresses with port, tried in order.
    pub servers: Vec<String>,
    /// Deadline for each server.
    pub timeout: Duration,
    /// Value of the `authorization` header.
    pub authorization: Option<HeaderValue>,
}

/// What to do.
#[derive(Debug)]
pub enum Task {
    /// Check a sheet.
    SheetCheck {
        /// The sheet.
        file: PathBuf,
        /// Whether to compare it with the server's.
        against: bool,
    },
    /// Submit a sheet.
    SheetSubmit {
        /// The sheet.
        file: PathBuf,
        /// How to propose and watch it.
        change: Change,
    },
    /// Print the current sheet.
    SheetShow,
    /// List hosts.
    Hosts,
    /// List targets.
    Targets,
    /// List organisations.
    Organisations,
    /// List queues.
    Queues,
    /// List the members of the consensus group.
    Voters,
    /// Replace a voter.
    VotersReplace {
        /// Which host by which.
        request: ReplaceRequest,
        /// How long to go on.
        wait: Duration,
    },
    /// Plan a stop.
    Stop {
        /// What to stop.
        subject: Subject,
        /// How to propose and watch it.
        change: Change,
    },
    /// Explain a refusal code, or all of them.
    Explain(Option<Code>),
    /// Print the digest of an API key.
    KeyHash,
    /// Show the state of each server.
    Health,
    /// Print a completion script.
    Completions(Shell),
}

/// How to propose and watch a change.
#[derive(Debug, Clone, Copy)]
pub struct Change {
    /// The id under which a resend gets the same answer.
    pub proposal: ProposalId,
    /// How long to watch it; not at all if absent.
    pub wait: Option<Duration>,
}

impl Config {
    /// Resolves the command line.
    ///
    /// # Errors
    ///
    /// If a server's address is malformed, or the secret can't be read or sent.
    pub fn resolve(matches: &ArgMatches) -> Result<Self, Error> {
        let task = task(matches);
        Ok(Self {
            access: access(matches, task.needs_server())?,
            task,
            json: matches.get_flag("json"),
            verbose: matches.get_flag("verbose"),
        })
    }
}

impl Task {
    fn needs_server(&self) -> bool {
        match self {
            Self::SheetCheck { against, .. } => *against,
            Self::Explain(_) | Self::KeyHash | Self::Completions(_) => false,
            _ => true,
        }
    }
}

fn access(matches: &ArgMatches, needed: bool) -> Result<Access, Error> {
    let mut access = Access {
        servers: Vec::new(),
        timeout: cli::get(matches, "timeout"),
        authorization: None,
    };
    if !needed {
        return Ok(access);
    }
    for server in matches.get_many::<String>("server").unwrap_or_default() {
        access.servers.push(address(server)?);
    }
    if access.servers.is_empty() {
        return Err(Error::NoServer);
    }
    if let Some(file) = matches.get_one::<PathBuf>("secret-file") {
        access.authorization = Some(authorization(file)?);
    }
    Ok(access)
}

fn address(server: &str) -> Result<String, Error> {
    let malformed = || Error::Server {
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

fn authorization(file: &Path) -> Result<HeaderValue, Error> {
    let text = fs::read_to_string(file).map_err(|source| Error::Read {
        file: file.to_owned(),
        source,
    })?;
    // The daemon reads the same file: one secret a line, of which the first is sent.
    let secret = text.lines().map(str::trim).find(|line| !line.is_empty());
    let secret = secret.unwrap_or_default();
    let malformed = || Error::Secret {
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

fn task(matches: &ArgMatches) -> Task {
    match subcommand(matches) {
        ("sheet", matches) => sheet_task(matches),
        ("hosts", _) => Task::Hosts,
        ("targets", _) => Task::Targets,
        ("organisations", _) => Task::Organisations,
        ("queues", _) => Task::Queues,
        ("voters", matches) => voters_task(matches),
        ("stop", matches) => stop_task(matches),
        ("explain", matches) => Task::Explain(refusal_code(matches)),
        ("key", _) => Task::KeyHash,
        ("health", _) => Task::Health,
        ("completions", matches) => Task::Completions(cli::get(matches, "shell")),
        (name, _) => unreachable!("clap accepts only known subcommands, not {name}"),
    }
}

fn subcommand(matches: &ArgMatches) -> (&str, &ArgMatches) {
    matches.subcommand().expect("clap requires a subcommand")
}

fn sheet_task(matches: &ArgMatches) -> Task {
    match subcommand(matches) {
        ("check", matches) => Task::SheetCheck {
            file: cli::get(matches, "file"),
            against: matches.get_flag("against"),
        },
        ("submit", matches) => Task::SheetSubmit {
            file: cli::get(matches, "file"),
            change: change(matches),
        },
        _ => Task::SheetShow,
    }
}

fn voters_task(matches: &ArgMatches) -> Task {
    match matches.subcommand() {
        Some((_, matches)) => Task::VotersReplace {
            request: ReplaceRequest {
                old: cli::get(matches, "old"),
                new: cli::get(matches, "new"),
            },
            wait: cli::get(matches, "wait"),
        },
        None => Task::Voters,
    }
}

fn stop_task(matches: &ArgMatches) -> Task {
    let (kind, matches) = subcommand(matches);
    let subject = match kind {
        "host" => Subject::Host(cli::get(matches, "name")),
        _ => Subject::Target(cli::get::<CompactString>(matches, "name")),
    };
    Task::Stop {
        subject,
        change: change(matches),
    }
}

fn change(matches: &ArgMatches) -> Change {
    let given = matches.get_one::<ProposalId>("proposal").copied();
    let wait = match matches.get_flag("no-wait") {
        true => None,
        false => Some(cli::get(matches, "wait")),
    };
    Change {
        proposal: given.unwrap_or_else(Uuid::now_v7),
        wait,
    }
}

fn refusal_code(matches: &ArgMatches) -> Option<Code> {
    let text = matches.get_one::<String>("code")?;
    Some(Code::from_text(text).expect("clap accepts only codes of the table"))
}
