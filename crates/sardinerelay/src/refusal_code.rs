//! Refusal codes, which tell callers why a request was refused.
//!
//! [`TABLE`] defines them for the daemon, which returns them, and for `sardinectl explain`, which
//! describes them. `docs/REFUSALS.md` documents them for callers.

use {
    serde::{Deserialize, Serialize},
    std::fmt::{self, Display, Formatter},
};

/// Whether a refused request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Run {
    /// The request certainly did not run.
    NotRun,
    /// The request may have run, completely or in part.
    Unknown,
}

impl Run {
    /// Returns the value of the error object's `run` member.
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

/// Whether repeating a refused request can succeed.
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
    /// Returns the name that JSON output uses.
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
    /// The organisation's rate limit is exhausted.
    RateLimited,
    /// The admission queue is full.
    QueueFull,
    /// The predicted wait is too long for the class, or the request has waited for the class's
    /// longest permitted time.
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
    /// The call was sent to a target and its outcome is unknown.
    OutcomeUnknown,
    /// The generation ended before it was complete.
    GenerationLost,
    /// The stream can't be resumed.
    ResumeRefused,
    /// The engine refused the request.
    EngineRefused,
    /// The request's deadline passed after it was sent to a target.
    DeadlineExceeded,
}

impl Code {
    /// Returns the code's row in [`TABLE`].
    pub fn entry(self) -> &'static Entry {
        &TABLE[self as usize]
    }

    /// Returns the code as callers see it.
    pub fn as_str(self) -> &'static str {
        self.entry().text
    }

    /// Returns the HTTP status of the refusal.
    pub fn status(self) -> u16 {
        self.entry().status
    }

    /// Whether the request may have run.
    pub fn run(self) -> Run {
        self.entry().run
    }

    /// Whether repeating the request can succeed.
    pub fn retry(self) -> Retry {
        self.entry().retry
    }

    /// Returns the code that callers see under this name.
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

/// What a code means to callers and operators: one row of [`TABLE`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// The code, whose discriminant is the row's index in [`TABLE`].
    #[serde(skip)]
    pub code: Code,
    /// The code as callers see it.
    #[serde(rename = "code")]
    pub text: &'static str,
    /// HTTP status. A stream that has begun carries the code in its last event instead.
    pub status: u16,
    /// Whether the request may have run.
    pub run: Run,
    /// Whether repeating the request can succeed.
    pub retry: Retry,
    /// What happened, as `sardinectl explain` prints it.
    pub meaning: &'static str,
    /// What the caller or operator can do about it.
    pub advice: &'static str,
}

mod table;

pub use table::TABLE;
