//! Failures and the exit codes they lead to.

use {
    crate::exit_code::ExitCode,
    sardinerelay::{
        operator::{ErrorCode, Finding, ProposalId},
        refusal_code::Run,
        sheet,
    },
    std::{
        fmt::{self, Display, Formatter},
        io,
        path::PathBuf,
        time::Duration,
    },
};

/// One server that did not answer a call.
#[derive(Debug)]
pub struct Attempt {
    /// Its address.
    pub server: String,
    /// Why.
    pub cause: Cause,
}

impl Display for Attempt {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.server, self.cause)
    }
}

/// Why a server did not answer a call.
#[derive(Debug, thiserror::Error)]
pub enum Cause {
    /// No connection was made, so that the call was not sent.
    #[error("{0}")]
    Connect(String),
    /// No connection was made in time.
    #[error("no connection within {}", humantime::format_duration(*.0))]
    ConnectTimeout(Duration),
    /// The server refused the connection's secret.
    #[error("the shared secret is missing or wrong (HTTP status {0})")]
    Unauthorized(u16),
    /// The call was sent, but its answer was lost.
    #[error("the answer was lost: {0}")]
    Lost(String),
    /// The call was sent, but not answered in time.
    #[error("no answer within {}", humantime::format_duration(*.0))]
    Timeout(Duration),
    /// The server refused the call.
    #[error("{0}")]
    Refused(Refusal),
}

impl Cause {
    /// Whether the call may have run.
    pub fn run(&self) -> Run {
        match self {
            Self::Connect(_) | Self::ConnectTimeout(_) | Self::Unauthorized(_) => Run::NotRun,
            Self::Lost(_) | Self::Timeout(_) => Run::Unknown,
            Self::Refused(refusal) => refusal.run,
        }
    }

    fn is_refusal(&self) -> bool {
        matches!(self, Self::Unauthorized(_) | Self::Refused(_))
    }
}

/// A call that a server answered with an error.
#[derive(Debug, thiserror::Error)]
#[error("{message}")]
pub struct Refusal {
    /// The error's kind; absent for errors of the protocol itself.
    pub code: Option<ErrorCode>,
    /// The server's message.
    pub message: String,
    /// Whether the call may have run.
    pub run: Run,
    /// The sheet's errors, if that is the reason.
    pub faults: Vec<Finding>,
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A command that needs a server was given none.
    #[error("no server given: use --server or SARDINECTL_SERVER")]
    NoServer,
    /// The server's address is malformed.
    #[error("--server {value:?}: expected HOST:PORT or ws://HOST:PORT")]
    Server {
        /// The address as given.
        value: String,
    },
    /// The secret can't be sent.
    #[error("--secret-file {}: expected one line of printable ASCII characters", file.display())]
    Secret {
        /// The file.
        file: PathBuf,
    },
    /// A file can't be read.
    #[error("can't read {}: {source}", file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// The reason.
        source: io::Error,
    },
    /// The sheet is not text.
    #[error("{} is not UTF-8 text", file.display())]
    Encoding {
        /// The file.
        file: PathBuf,
    },
    /// The sheet has errors.
    #[error("{} has {}", file.display(), count(faults.len(), "error"))]
    InvalidSheet {
        /// The file.
        file: PathBuf,
        /// The errors.
        faults: Vec<sheet::Error>,
    },
    /// The key can't be sent in a header.
    #[error("expected an API key of printable ASCII characters on standard input")]
    Key,
    /// No server answered a call.
    #[error("no server answered {method}{}", list(attempts))]
    NoAnswer {
        /// The method.
        method: &'static str,
        /// The servers tried.
        attempts: Vec<Attempt>,
    },
    /// A change was sent and its outcome is unknown.
    #[error(
        "the outcome of {method} is unknown; resend it with --proposal {proposal} to learn it{}",
        list(attempts)
    )]
    OutcomeUnknown {
        /// The method.
        method: &'static str,
        /// The id to resend it under.
        proposal: ProposalId,
        /// The servers tried.
        attempts: Vec<Attempt>,
    },
    /// A server refused a call for a reason that other servers share.
    #[error("{server} refused {method}: {refusal}")]
    Refused {
        /// The server.
        server: String,
        /// The method.
        method: &'static str,
        /// The reason.
        refusal: Refusal,
    },
    /// The change is accepted, but could not be watched to its end.
    #[error("{change} is accepted, but {reason}")]
    Incomplete {
        /// What was changed.
        change: String,
        /// Why its end was not seen.
        reason: String,
    },
    /// Output can't be written.
    #[error("can't write the output: {0}")]
    Output(#[from] io::Error),
}

impl Error {
    /// The exit code that this failure leads to.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::NoServer | Self::Server { .. } => ExitCode::Usage,
            Self::InvalidSheet { .. } | Self::Encoding { .. } => ExitCode::InvalidSheet,
            Self::NoAnswer { attempts, .. } => match attempts.iter().any(is_refusal) {
                true => ExitCode::Refused,
                false => ExitCode::Unreachable,
            },
            Self::OutcomeUnknown { .. } => ExitCode::OutcomeUnknown,
            Self::Refused { refusal, .. } => refusal_exit_code(refusal),
            Self::Incomplete { .. } => ExitCode::Incomplete,
            Self::Secret { .. } | Self::Read { .. } | Self::Key | Self::Output(_) => {
                ExitCode::General
            }
        }
    }

    /// The sheet's errors, if they are the reason.
    pub fn faults(&self) -> Vec<Finding> {
        match self {
            Self::InvalidSheet { faults, .. } => faults.iter().map(Finding::from).collect(),
            Self::Refused { refusal, .. } => refusal.faults.clone(),
            _ => Vec::new(),
        }
    }

    /// Whether the reader of the output went away, as in `sardinectl targets | head -1`.
    pub fn is_broken_pipe(&self) -> bool {
        matches!(self, Self::Output(error) if error.kind() == io::ErrorKind::BrokenPipe)
    }
}

fn is_refusal(attempt: &Attempt) -> bool {
    attempt.cause.is_refusal()
}

fn refusal_exit_code(refusal: &Refusal) -> ExitCode {
    match refusal.code {
        Some(ErrorCode::InvalidSheet) => ExitCode::InvalidSheet,
        Some(ErrorCode::ProposalReused) => ExitCode::Conflict,
        _ if refusal.run == Run::NotRun => ExitCode::Refused,
        _ => ExitCode::General,
    }
}

/// A number with its noun.
pub fn count(number: usize, noun: &str) -> String {
    match number {
        1 => format!("1 {noun}"),
        _ => format!("{number} {noun}s"),
    }
}

fn list(attempts: &[Attempt]) -> String {
    attempts
        .iter()
        .map(|attempt| format!("\n  {attempt}"))
        .collect()
}
