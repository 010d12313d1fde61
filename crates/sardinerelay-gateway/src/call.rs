//! What a request is, independent of how it is written on the wire.

use {
    compact_str::CompactString,
    sardinerelay::id::Model,
    std::{net::SocketAddr, time::Duration},
};

/// Number of an event within a stream.
pub type EventId = u64;

/// The facts of a caller's request that decide what happens to it.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// The attempt's id, drawn by the caller.
    pub id: CompactString,
    /// The host that the caller names, without a port.
    pub host: CompactString,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The API key.
    pub key: Option<CompactString>,
    /// The last event that the caller has of this stream.
    pub last_event: Option<EventId>,
    /// What is to be generated.
    pub generation: Option<Generation>,
}

/// What is to be generated.
#[derive(Debug, Clone, PartialEq)]
pub struct Generation {
    /// The model.
    pub model: Model,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens of output.
    pub max_output_tokens: u64,
    /// Parts of the prompt, from the first one on.
    pub prompt_parts: Vec<Part>,
    /// The caller's estimate of the tokens of output.
    pub output_hint: Option<u64>,
}

/// A part of a prompt. Requests share parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Its id.
    pub id: u64,
    /// Its tokens.
    pub tokens: u64,
}

/// What the relay adds to a request that goes to a target.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Forward {
    /// The target that is meant; another one at its address must not run the request.
    pub target: CompactString,
    /// Time that the target has.
    pub time_left: Option<Duration>,
    /// The organisation that holds the caller's key.
    pub organisation: Option<CompactString>,
    /// Urgency at the target; 0 comes first.
    pub urgency: Option<u8>,
    /// An engine that receives a copy of the generation's memory as it grows.
    pub backup: Option<SocketAddr>,
    /// The last event that the caller has.
    pub last_event: Option<EventId>,
    /// The copy that the generation goes on from.
    pub copy: Option<MemoryCopy>,
    /// Room that was reserved at the target.
    pub reservation: Option<CompactString>,
}

/// A copy of a generation's memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemoryCopy {
    /// The engine by whose address the copy is named.
    pub address: SocketAddr,
    /// The copy's name there.
    pub name: CompactString,
}

/// The facts of a target's answer head.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// The id of the attempt that it answers.
    pub id: Option<CompactString>,
    /// Whether it bears the target's signature.
    pub is_signed: bool,
    /// Whether the target says that it did not run the request.
    pub not_run: bool,
    /// Whether the body is encoded, which targets never do.
    pub is_encoded: bool,
}

/// What an operator asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OperatorCall {
    /// Store a configuration.
    Submit,
    /// Read the newest configuration.
    Read,
}

/// Asks an engine to copy a running generation's memory to another engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transfer {
    /// The attempt's id.
    pub attempt_id: CompactString,
    /// The engine that receives the memory.
    pub to: SocketAddr,
    /// Whether the run stops first, so that it can go on elsewhere.
    pub stops_run: bool,
}

/// What an engine answers to a [`Transfer`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransferOutcome {
    /// The copy is complete; its name at the source.
    Done(CompactString),
    /// There is no room, or the other engine can't be reached. The source keeps the memory under
    /// this name if the run was stopped.
    NoRoom(Option<CompactString>),
    /// The engine runs no such generation.
    Unknown,
    /// A transfer of this generation is under way.
    Busy,
}

/// Asks an engine to reserve room for a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReservationRequest {
    /// Tokens of memory.
    pub tokens: u64,
    /// How long the reservation lasts if it isn't used.
    pub lifetime: Duration,
}
