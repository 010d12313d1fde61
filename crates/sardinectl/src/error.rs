//! Errors and their exit codes.

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

/// A failed attempt to call a server.
#[derive(Debug)]
pub struct Attempt {
    /// The server's address, as `host:port`.
    pub server: String,
    /// Why the attempt failed.
    pub error: AttemptError,
}

impl Display for Attempt {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.server, self.error)
    }
}

/// Why an attempt to call a server failed.
#[derive(Debug, thiserror::Error)]
pub enum AttemptError {
    /// The connection failed, so the call was not sent.
    #[error("{0}")]
    Connect(String),
    /// The connection timed out, so the call was not sent.
    #[error("no connection within {}", humantime::format_duration(*.0))]
    ConnectTimeout(Duration),
    /// The server rejected the shared secret, so the call was not sent.
    #[error("the shared secret is missing or wrong (HTTP status {0})")]
    Unauthorized(u16),
    /// The call was sent, but the connection failed before the answer arrived.
    #[error("the answer was lost: {0}")]
    Lost(String),
    /// The call was sent, but the answer timed out.
    #[error("no answer within {}", humantime::format_duration(*.0))]
    Timeout(Duration),
    /// The server answered with an error.
    #[error("{0}")]
    Refused(Refusal),
}

impl AttemptError {
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

/// An error with which a server answered a call.
#[derive(Debug, thiserror::Error)]
#[error("{message}")]
pub struct Refusal {
    /// The error code. Absent for errors of the JSON-RPC protocol itself.
    pub code: Option<ErrorCode>,
    /// The server's error message.
    pub message: String,
    /// Whether the call may have run.
    pub run: Run,
    /// The errors in the sheet, if they are the reason.
    pub faults: Vec<Finding>,
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command needs a server and none was given.
    #[error("no server given: use --server or SARDINECTL_SERVER")]
    NoServer,
    /// A server's address is malformed.
    #[error("--server {value:?}: expected HOST:PORT or ws://HOST:PORT")]
    InvalidServer {
        /// The address that was given.
        value: String,
    },
    /// The secret can't be sent in a header.
    #[error("--secret-file {}: expected one line of printable ASCII characters", file.display())]
    InvalidSecret {
        /// The file given with `--secret-file`.
        file: PathBuf,
    },
    /// A file can't be read.
    #[error("can't read {}: {source}", file.display())]
    Read {
        /// Path of the sheet or of the secret file.
        file: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The sheet is not UTF-8 text.
    #[error("{} is not UTF-8 text", file.display())]
    NotUtf8 {
        /// Path of the sheet, or `-` for standard input.
        file: PathBuf,
    },
    /// The sheet has errors.
    #[error("{} has {}", file.display(), count(faults.len(), "error"))]
    InvalidSheet {
        /// Path of the sheet, or `-` for standard input.
        file: PathBuf,
        /// The errors in it.
        faults: Vec<sheet::Error>,
    },
    /// Standard input has no API key that can be sent in a header.
    #[error("expected an API key of printable ASCII characters on standard input")]
    InvalidKey,
    /// No server answered a call.
    #[error("no server answered {method}{}", list_attempts(attempts))]
    NoAnswer {
        /// Name of the JSON-RPC method.
        method: &'static str,
        /// The failed attempts, in the order in which the servers were tried.
        attempts: Vec<Attempt>,
    },
    /// A change may or may not have been made, because no answer arrived after it was sent.
    #[error(
        "the outcome of {method} is unknown; resend it with --proposal {proposal} to find out{}",
        list_attempts(attempts)
    )]
    OutcomeUnknown {
        /// Name of the JSON-RPC method.
        method: &'static str,
        /// The id under which it can be resent, with `--proposal`.
        proposal: ProposalId,
        /// The failed attempts, in the order in which the servers were tried.
        attempts: Vec<Attempt>,
    },
    /// A server refused a call for a reason that holds for the other servers too.
    #[error("{server} refused {method}: {refusal}")]
    Refused {
        /// Address of the server that refused the call, as `host:port`.
        server: String,
        /// Name of the JSON-RPC method.
        method: &'static str,
        /// The error in its answer.
        refusal: Refusal,
    },
    /// The change is accepted, but was not seen to complete.
    #[error("{change} is accepted, but {reason}")]
    Incomplete {
        /// Noun phrase for the change, which begins the message.
        change: String,
        /// Its last known state, or why that could not be read.
        reason: String,
    },
    /// Standard output can't be written.
    #[error("can't write the output: {0}")]
    Output(#[from] io::Error),
}

impl Error {
    /// The exit code of the process for this error.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::NoServer | Self::InvalidServer { .. } => ExitCode::Usage,
            Self::InvalidSheet { .. } | Self::NotUtf8 { .. } => ExitCode::InvalidSheet,
            Self::NoAnswer { attempts, .. } => match attempts.iter().any(is_refusal) {
                true => ExitCode::Refused,
                false => ExitCode::Unreachable,
            },
            Self::OutcomeUnknown { .. } => ExitCode::OutcomeUnknown,
            Self::Refused { refusal, .. } => refusal_exit_code(refusal),
            Self::Incomplete { .. } => ExitCode::Incomplete,
            Self::InvalidSecret { .. } | Self::Read { .. } | Self::InvalidKey | Self::Output(_) => {
                ExitCode::General
            }
        }
    }

    /// The errors in the sheet, if they are the reason.
    pub fn faults(&self) -> Vec<Finding> {
        match self {
            Self::InvalidSheet { faults, .. } => faults.iter().map(Finding::from).collect(),
            Self::Refused { refusal, .. } => refusal.faults.clone(),
            _ => Vec::new(),
        }
    }

    /// Whether the reader of the output has closed it, as in `sardinectl targets | head -1`.
    pub fn is_broken_pipe(&self) -> bool {
        matches!(self, Self::Output(error) if error.kind() == io::ErrorKind::BrokenPipe)
    }
}

fn is_refusal(attempt: &Attempt) -> bool {
    attempt.error.is_refusal()
}

fn refusal_exit_code(refusal: &Refusal) -> ExitCode {
    match refusal.code {
        Some(ErrorCode::InvalidSheet) => ExitCode::InvalidSheet,
        Some(ErrorCode::ProposalReused) => ExitCode::Conflict,
        _ if refusal.run == Run::NotRun => ExitCode::Refused,
        _ => ExitCode::General,
    }
}

/// Formats a number with its noun, in the plural unless the number is 1.
pub fn count(number: usize, noun: &str) -> String {
    match number {
        1 => format!("1 {noun}"),
        _ => format!("{number} {noun}s"),
    }
}

fn list_attempts(attempts: &[Attempt]) -> String {
    attempts
        .iter()
        .map(|attempt| format!("\n  {attempt}"))
        .collect()
}
