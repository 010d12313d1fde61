//! Input and output types of the scheduler.

use {
    crate::{
        admission::{self, Objective},
        id::{Class, Generation, Model, Organisation, Zone},
        length::Key,
        router::{self, Pick, Prefix},
    },
    std::time::Duration,
};

/// How targets are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Admission by forecast memory, fair queueing and load-aware target selection.
    Adaptive,
    /// Baseline: eligible targets in turn, without admission control.
    RoundRobin,
    /// Baseline: the target with the fewest of this host's requests in flight, without admission
    /// control.
    LeastInFlight,
}

/// Configuration of a [`Scheduler`](super::Scheduler).
#[derive(Debug, Clone)]
pub struct Settings {
    /// This host's availability zone.
    pub zone: Zone,
    /// Number of entry hosts, including this one, until
    /// [`Scheduler::set_hosts`](super::Scheduler::set_hosts) changes it.
    pub hosts: usize,
    /// How targets are chosen.
    pub policy: Policy,
    /// Which cost of overload the reservation quantile keeps lower, stall or preemptions.
    pub objective: Objective,
    /// Maximum number of requests that wait on this host.
    pub queue_limit: usize,
}

/// A request for the scheduler. Each attempt has its own generation, so a retry is a new request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Identifies the attempt; a retry is a new request with its own generation.
    pub generation: Generation,
    /// The calling organisation.
    pub organisation: Organisation,
    /// The model name as the caller sent it.
    pub model: Model,
    /// The request class, by its name in the sheet.
    pub class: Class,
    /// Priority of the class; 0 comes first.
    pub priority: u8,
    /// The longest time that the request may wait in the queue.
    pub max_wait: Duration,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// The caller's upper bound on output tokens.
    pub max_tokens: u64,
    /// Hashes of the prompt's prefixes at block boundaries, from short to long. May be empty.
    pub prefixes: Vec<Prefix>,
}

/// What the caller of the scheduler has to do with a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Send the request to the target. The scheduler already counts it as in flight.
    Dispatch {
        /// Generation of the request to send.
        generation: Generation,
        /// The target to send it to, with the memory reserved there.
        pick: Pick,
    },
    /// Refuse the request. It did not run.
    Refuse {
        /// Generation of the refused request.
        generation: Generation,
        /// Why it is refused.
        refusal: Refusal,
    },
}

/// Why a request was refused before it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The admission queue is full or the wait is too long.
    #[error(transparent)]
    Admission(#[from] admission::Refusal),
    /// No target can serve it.
    #[error(transparent)]
    Router(#[from] router::Refusal),
}

/// How a dispatched request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The model ended the output.
    Complete,
    /// The caller cancelled the request, or its token limit was reached.
    Cancelled,
    /// The target failed or refused the request.
    Failed,
}

/// Counters since the scheduler was created.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests dispatched to a target.
    pub dispatched: u64,
    /// Requests dispatched to a target of another availability zone.
    pub spilled: u64,
    /// Requests refused before they ran, by the admission queue or for lack of a target.
    pub refused: u64,
    /// Preemptions of this host's streams.
    pub preempted: u64,
}

impl Request {
    pub(super) fn key(&self) -> Key {
        Key {
            organisation: self.organisation.clone(),
            model: self.model.clone(),
            class: self.class.clone(),
        }
    }
}
