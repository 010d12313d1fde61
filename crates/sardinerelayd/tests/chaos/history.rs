//! What callers, operators and targets saw during a run.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Instant,
};

/// Begin and end of an operation, in microseconds since the start of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    /// When it was called.
    pub begin: u64,
    /// When its answer was complete.
    pub end: u64,
}

/// What kind of call an attempt belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A call with an idempotency key.
    Keyed,
    /// A call without a key that may be repeated.
    Repeatable,
    /// A call without a key that must not be repeated.
    NonRepeatable,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered. The service's own answer names the call that it ran.
    Acknowledged {
        /// Key or request identifier in the answer.
        key: String,
        /// SHA-256 of the body that the service ran.
        digest: String,
        /// The whole answer.
        text: String,
    },
    /// It was refused as not run, with this code.
    NotRun(String),
    /// It was refused with an unknown outcome.
    Unknown(String),
    /// No answer arrived.
    Lost,
    /// The answer is none that a caller may get.
    Unexpected(String),
}

/// One attempt of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// Key, or the request identifier of a call without a key.
    pub key: String,
    /// The kind of call.
    pub kind: CallKind,
    /// The host that it was sent to.
    pub host: u64,
    /// SHA-256 of its body.
    pub digest: String,
    /// When it was made.
    pub span: Span,
    /// How it ended.
    pub outcome: Outcome,
}

/// How one connection of a stream ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// With `[DONE]`.
    Done,
    /// With a typed error event.
    Error(String),
    /// The connection ended without either.
    Closed,
    /// The caller stopped waiting.
    Abandoned,
    /// The request was refused before the stream began.
    Refused {
        /// Whether the refusal states that nothing ran.
        not_run: bool,
        /// The code.
        code: String,
    },
}

/// One connection of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Connection {
    /// The request identifier.
    pub request: String,
    /// The host that served it.
    pub host: u64,
    /// When it was open.
    pub span: Span,
    /// Text of the tokens in the order of arrival.
    pub tokens: Vec<String>,
    /// How it ended.
    pub end: ConnectionEnd,
}

/// One answer to one caller, with all its connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stream {
    /// The fingerprint of the prompt, eight hexadecimal digits.
    pub fingerprint: String,
    /// Tokens that were asked for.
    pub requested_tokens: usize,
    /// The connections. All but the first are resumed.
    pub connections: Vec<Connection>,
}

/// A sheet as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SheetId {
    /// Its number.
    pub number: u64,
    /// Its digest.
    pub digest: String,
}

/// The result of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Accepted at this position.
    Accepted(u64),
    /// Another sheet holds the number.
    Conflict(SheetId),
    /// A higher sheet is in force.
    Outdated(SheetId),
    /// Certainly not committed.
    NotCommitted,
    /// No result.
    Lost,
}

/// One submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Submission {
    /// The sheet.
    pub sheet: SheetId,
    /// When it was submitted.
    pub span: Span,
    /// The result.
    pub verdict: Verdict,
}

/// What a host showed as the sheet in force. Observations of one host are made one by one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SheetObservation {
    /// The host.
    pub host: u64,
    /// When it was asked.
    pub span: Span,
    /// The number.
    pub number: u64,
}

/// A call in the service's record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRecord {
    /// Key or request identifier.
    pub key: String,
    /// How often it ran.
    pub count: u64,
    /// Runs that were not the same call as the first.
    pub differing: u64,
    /// SHA-256 of the first run's body.
    pub digest: String,
}

/// A generation in an engine's record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Generation {
    /// Its identifier, 32 hexadecimal digits.
    pub id: String,
    /// The request identifier.
    pub request: String,
    /// The engine that ran it.
    pub engine: usize,
    /// When the engine took it on, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// How often the engine preempted it.
    pub preemptions: u64,
}

/// A planned stop of an engine that was reported as confirmed by every host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfirmedStop {
    /// The engine.
    pub engine: usize,
    /// Before the stop was planned, in milliseconds since the Unix epoch.
    pub planned_ms: u64,
    /// When the confirmation arrived, in milliseconds since the Unix epoch.
    pub confirmed_ms: u64,
    /// When this run of the engine ended.
    pub ended_ms: u64,
}

/// A time in which a host's process was killed or away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outage {
    /// The host.
    pub host: u64,
    /// From the kill to the restart.
    pub span: Span,
}

/// Everything that one run recorded.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Calls to the plain service.
    pub attempts: Vec<Attempt>,
    /// Streams.
    pub streams: Vec<Stream>,
    /// Submissions of sheets.
    pub submissions: Vec<Submission>,
    /// Sheets that hosts showed.
    pub observations: Vec<SheetObservation>,
    /// Sheets that the hosts still in the system showed after the last heal.
    pub final_sheets: Vec<(u64, Option<u64>)>,
    /// The service's record after the run.
    pub call_records: Vec<CallRecord>,
    /// The engines' records.
    pub generations: Vec<Generation>,
    /// Confirmed stops of engines.
    pub confirmed_stops: Vec<ConfirmedStop>,
    /// Hosts that ended although nothing ended them, with their status.
    pub crashes: Vec<(u64, String)>,
    /// Kills of hosts.
    pub outages: Vec<Outage>,
}

/// Collects a history from many tasks.
#[derive(Debug)]
pub struct Recorder {
    start: Instant,
    history: Mutex<History>,
}

impl Recorder {
    /// An empty recorder; time counts from now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            history: Mutex::default(),
        }
    }

    /// Microseconds since the start.
    pub fn now_us(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    /// The span from `begin` to now.
    pub fn span_since(&self, begin: u64) -> Span {
        Span {
            begin,
            end: self.now_us(),
        }
    }

    /// The history so far.
    pub fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
