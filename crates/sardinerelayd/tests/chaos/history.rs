//! The history of a run: what callers, operators and targets observed.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Instant,
};

/// Begin and end of an operation, in microseconds since the start of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    /// When the operation was called.
    pub begin: u64,
    /// When its response was complete.
    pub end: u64,
}

/// Whether a call has an idempotency key and whether it may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A call with an idempotency key, which must run at most once.
    Keyed,
    /// A call without a key that may be repeated.
    Repeatable,
    /// A call without a key that must not be repeated.
    NonRepeatable,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The service answered. Its answer names the call that it ran.
    Acknowledged {
        /// Idempotency key or request ID in the answer.
        key: String,
        /// SHA-256 of the body that the service received.
        digest: String,
        /// The body of the answer.
        text: String,
    },
    /// The call was refused as not run, with this error code.
    NotRun(String),
    /// The call was refused with an unknown outcome, with this error code.
    Unknown(String),
    /// No response arrived.
    Lost,
    /// The response, with its status, is none that a caller may get.
    Unexpected(String),
}

/// One attempt of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// The idempotency key, or the request ID of a call without one.
    pub key: String,
    /// The kind of the call.
    pub kind: CallKind,
    /// The host to which the attempt was sent.
    pub host: u64,
    /// SHA-256 of the call's body.
    pub digest: String,
    /// From the request to the end of the response.
    pub span: Span,
    /// The result of the attempt.
    pub outcome: Outcome,
}

/// How one connection of a stream ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// With `[DONE]`.
    Done,
    /// With an error event of this code.
    Error(String),
    /// The connection ended without `[DONE]` or an error event.
    Closed,
    /// The caller timed out while it waited for an event.
    Abandoned,
    /// The request was refused before the stream began.
    Refused {
        /// Whether the refusal states that nothing ran.
        not_run: bool,
        /// The error code.
        code: String,
    },
}

/// One connection of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Connection {
    /// The request ID, or `resumed` for a connection that resumes a stream.
    pub request: String,
    /// The host that served it.
    pub host: u64,
    /// From the request to the end of the connection.
    pub span: Span,
    /// The tokens' texts in order of arrival.
    pub tokens: Vec<String>,
    /// How the connection ended.
    pub end: ConnectionEnd,
}

/// A streamed answer with all connections over which it was received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stream {
    /// The prompt's fingerprint in eight hexadecimal digits, with which its tokens begin.
    pub fingerprint: String,
    /// The number of tokens that the caller requested.
    pub requested_tokens: usize,
    /// The connections in order. All but the first resume the stream.
    pub connections: Vec<Connection>,
}

/// Identifies a sheet.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SheetId {
    /// The sheet's number.
    pub number: u64,
    /// The digest of its content.
    pub digest: String,
}

/// The result of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The sheet was accepted as this version, its position among accepted sheets.
    Accepted(u64),
    /// This other sheet was accepted under the number.
    Conflict(SheetId),
    /// This sheet with a higher number is the newest.
    Outdated(SheetId),
    /// The sheet was certainly not accepted.
    NotCommitted,
    /// No result arrived. The sheet may have been accepted, or may still be.
    Lost,
}

/// A submission of a sheet by an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Submission {
    /// The submitted sheet.
    pub sheet: SheetId,
    /// From the submission to its result.
    pub span: Span,
    /// The result of the submission.
    pub verdict: Verdict,
}

/// The sheet that a host reported as in force. Observations of one host do not overlap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SheetObservation {
    /// The observed host.
    pub host: u64,
    /// From the request to the response.
    pub span: Span,
    /// The sheet's number.
    pub number: u64,
}

/// A call in the service's record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRecord {
    /// The idempotency key, or the request ID of a call without one.
    pub key: String,
    /// How often the call ran.
    pub count: u64,
    /// Runs whose call differed from that of the first run.
    pub differing: u64,
    /// SHA-256 of the body of the first run.
    pub digest: String,
}

/// A generation in an engine's record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Generation {
    /// The generation's ID in 32 hexadecimal digits.
    pub id: String,
    /// The ID of the request that it answers.
    pub request: String,
    /// The position of the engine that ran it.
    pub engine: usize,
    /// When the engine accepted it, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// How often the engine preempted it to free memory.
    pub preemptions: u64,
}

/// A planned stop of an engine that, as an operator was told, every host had confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfirmedStop {
    /// The position of the engine.
    pub engine: usize,
    /// A time just before the stop was planned, in milliseconds since the Unix epoch.
    pub planned_ms: u64,
    /// When the operator learnt of the confirmation, in milliseconds since the Unix epoch.
    pub confirmed_ms: u64,
    /// When the engine's process ended, in milliseconds since the Unix epoch. `u64::MAX` while it
    /// runs.
    pub ended_ms: u64,
}

/// A time during which a host was down because it had been killed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outage {
    /// The host's number.
    pub host: u64,
    /// From the kill to the restart.
    pub span: Span,
}

/// Everything that was recorded in one run.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Attempts of calls to the plain service.
    pub attempts: Vec<Attempt>,
    /// Streamed answers.
    pub streams: Vec<Stream>,
    /// Submissions of sheets.
    pub submissions: Vec<Submission>,
    /// The sheets that hosts reported as in force, in order for each host.
    pub observations: Vec<SheetObservation>,
    /// For each host that was not removed, the number of its sheet in force after all faults ended.
    pub final_sheets: Vec<(u64, Option<u64>)>,
    /// The service's record after the run.
    pub call_records: Vec<CallRecord>,
    /// The engines' records.
    pub generations: Vec<Generation>,
    /// Stops of engines that every host confirmed.
    pub confirmed_stops: Vec<ConfirmedStop>,
    /// Hosts whose process ended although the schedule had not ended it, with the exit status.
    pub crashes: Vec<(u64, String)>,
    /// Times during which hosts were down after a kill.
    pub outages: Vec<Outage>,
}

/// Collects the history from all tasks of a run.
#[derive(Debug)]
pub struct Recorder {
    start: Instant,
    history: Mutex<History>,
}

impl Recorder {
    /// An empty recorder. Spans count from now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            history: Mutex::default(),
        }
    }

    /// Microseconds since the start of the run.
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

    /// Locks the history to add to it or read it.
    pub fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
