//! Codes of the refusals that callers receive.
//!
//! The daemon answers with these codes and `sardinectl explain` describes them, both from
//! [`TABLE`]. Callers see them as `docs/REFUSALS.md` describes.

use {
    serde::{Deserialize, Serialize},
    std::fmt::{self, Display, Formatter},
};

/// Whether a refused request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Run {
    /// The request was certainly not run.
    NotRun,
    /// The request may have run, wholly or in part.
    Unknown,
}

impl Run {
    /// The text in the error object's `run` member.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

impl Display for Run {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.pad(self.as_str())
    }
}

/// Whether repeating a refused request makes sense.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Retry {
    /// The same request is refused again until it is changed.
    No,
    /// The same request can succeed after a delay.
    Later,
    /// The same request can succeed at once on another entry host.
    Elsewhere,
    /// The same request with the same idempotency key returns the outcome once it is known.
    SameKey,
}

impl Retry {
    /// The name used in JSON output.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Later => "later",
            Self::Elsewhere => "elsewhere",
            Self::SameKey => "same_key",
        }
    }
}

impl Display for Retry {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.pad(self.as_str())
    }
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is malformed.
    InvalidRequest,
    /// The API key is missing or unknown.
    Unauthorized,
    /// No sheet names the model.
    UnknownModel,
    /// The sheet names the model, but no engine has loaded it yet.
    ModelNotInForce,
    /// The body exceeds the limit.
    BodyTooLarge,
    /// The headers exceed the limit.
    HeadersTooLarge,
    /// The organisation's limit is used up.
    RateLimited,
    /// The admission queue is full.
    QueueFull,
    /// The request waited for the class's longest permitted time.
    WaitTooLong,
    /// No target can take the request.
    NoTarget,
    /// The host can't reach a quorum, which the request needs.
    NoQuorum,
    /// The host has no confirmed sheet yet.
    NotReady,
    /// The host is draining.
    Stopping,
    /// The idempotency key was used for a different request.
    KeyConflict,
    /// The first request with this idempotency key is still running.
    KeyInProgress,
    /// The idempotency key is too old to be checked.
    KeyExpired,
    /// The organisation has too many idempotency keys on record.
    KeyQuota,
    /// The call was handed to a target and its outcome is unknown.
    OutcomeUnknown,
    /// The generation ended before it was complete.
    GenerationLost,
    /// The stream can't be resumed.
    ResumeRefused,
    /// The engine refused the request.
    EngineRefused,
    /// The request's deadline passed after it was handed to a target.
    DeadlineExceeded,
}

impl Code {
    /// The code's line in the table.
    pub fn entry(self) -> &'static Entry {
        &TABLE[self as usize]
    }

    /// The code that callers see.
    pub fn as_str(self) -> &'static str {
        self.entry().text
    }

    /// The HTTP status.
    pub fn status(self) -> u16 {
        self.entry().status
    }

    /// Whether the request may have run.
    pub fn run(self) -> Run {
        self.entry().run
    }

    /// Whether repeating the request makes sense.
    pub fn retry(self) -> Retry {
        self.entry().retry
    }

    /// The code with this text.
    pub fn from_name(text: &str) -> Option<Self> {
        TABLE
            .iter()
            .find(|entry| entry.text == text)
            .map(|entry| entry.code)
    }
}

impl Display for Code {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.pad(self.as_str())
    }
}

/// What is known about one code.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// The code.
    #[serde(skip)]
    pub code: Code,
    /// The code as callers see it.
    #[serde(rename = "code")]
    pub text: &'static str,
    /// HTTP status. A stream that has begun carries the code in its last event instead.
    pub status: u16,
    /// Whether the request may have run.
    pub run: Run,
    /// Whether repeating the request makes sense.
    pub retry: Retry,
    /// What happened.
    pub meaning: &'static str,
    /// What to do about it.
    pub advice: &'static str,
}

mod table;

pub use table::TABLE;
