//! Reports of entry hosts to the allocating host.
//!
//! The allocating host knows which engines it allocated. Entry hosts report what became of these
//! allocations, and which engines they chose themselves. The load reports of engines show the same,
//! but half a second later.

use {
    crate::{
        quarantine::{Crash, Refused, Subject},
        targets::RunId,
    },
    sardinerelay::id::{Incarnation, Organisation, Service, Target},
    serde::{Deserialize, Serialize},
};

/// A generation that an entry host sent to an engine of its own choice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocalAllocation {
    /// The engine that was chosen.
    pub target: Target,
    /// Prompt tokens that the engine has to read, 0 if it has a copy of the generation's memory.
    #[serde(rename = "prompt")]
    pub prompt_tokens: u32,
    /// Memory that the generation is expected to use, in tokens.
    #[serde(rename = "memory")]
    pub memory_tokens: u32,
}

/// A crash of a target while it had a request that may come again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCrash {
    /// The request's [`crate::fingerprint`].
    pub request: Subject,
    /// The number of the attempt.
    pub run: RunId,
    pub target: Target,
    /// The incarnation that crashed.
    pub incarnation: Incarnation,
}

/// What is known of requests that may make targets crash.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestReport {
    /// A target crashed before it answered a request.
    Crashed(RequestCrash),
    /// A suspect request was answered.
    Answered(Subject),
    /// A request was refused, which the allocating host may not know of.
    Refused(Vec<Refused>),
}

/// What became of a request. Reports are sent by position, so the order of the variants must not
/// change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AllocationReport {
    /// It was sent to an engine that the allocating host did not allocate to it.
    Sent(LocalAllocation),
    /// The engine refused it for lack of memory.
    Full(Target),
    /// Its engine has read the prompt and begun to answer it.
    Started(RunId),
    /// It has ended, or was reassigned to another engine.
    Ended(RunId),
    /// Its move to another engine has ended. The flag says whether it succeeded.
    Moved(RunId, bool),
    /// Its engine crashed before it began to answer it.
    Crashed(Crash),
    /// It was refused because of these parts of its prompt, which the allocating host may not know.
    Refused(Vec<Refused>),
}

/// A running request, which a host that begins to allocate doesn't know. Its cost so far and its
/// expected one follow from the tokens and the time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningRequest {
    /// The number of the request.
    pub run: RunId,
    pub service: Service,
    pub organisation: Organisation,
    pub priority: u8,
    pub prompt_tokens: u64,
    /// Output that is expected in total.
    pub output_tokens: u64,
    /// Milliseconds for which it has run.
    pub age_ms: u64,
}
