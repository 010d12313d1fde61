//! What a request is, independent of its wire format.

use {
    crate::{origin::StreamId, statement::Statement},
    compact_str::CompactString,
    sardinerelay::id::{Incarnation, Model, Zone},
    std::{net::SocketAddr, time::Duration},
};

/// Number of an event within a stream.
pub type EventId = u64;

/// The parts of a caller's request that decide what happens to it.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// ID that the caller drew for this attempt.
    pub id: CompactString,
    /// Host name that the request is for, without a port.
    pub host: CompactString,
    /// Time for which the caller waits, counted from the request's arrival.
    pub time_limit: Option<Duration>,
    /// API key, if the request has one.
    pub key: Option<CompactString>,
    /// Last event that the caller has, if it continues a stream.
    pub last_event: Option<EventId>,
    /// The attempt that brought the first event of the stream that the caller continues, if it names
    /// it.
    pub stream: Option<StreamId>,
    /// The generation, if the request is for a model.
    pub generation: Option<Generation>,
}

impl Call {
    /// Returns the stream that the caller continues, empty if it names none.
    pub fn stream(&self) -> &str {
        self.stream.as_deref().unwrap_or_default()
    }
}

/// The model and lengths of a requested generation.
#[derive(Debug, Clone, PartialEq)]
pub struct Generation {
    pub model: Model,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// The caller's limit for the output, in tokens.
    pub max_output_tokens: u64,
    /// Parts of the prompt, in order. The last one never counts as shared with other requests.
    pub prompt_parts: Vec<Part>,
    /// The caller's estimate of the output, in tokens. 0 counts as no estimate.
    pub output_hint: Option<u64>,
}

/// ID of a part's content. Equal parts have equal IDs.
pub type PartId = u64;

/// A part of a prompt, which several requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    pub id: PartId,
    pub tokens: u64,
}

/// What the relay adds to a request that it sends to a target.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Forward {
    /// Target that should run the request. Another one that now listens at its address must not.
    pub target: CompactString,
    /// Time that the target has for the request; `None` if the caller stated no deadline.
    pub remaining: Option<Duration>,
    /// Organisation that holds the caller's key; `None` if no keys are configured, or on a public
    /// route without a known key.
    pub organisation: Option<CompactString>,
    /// Urgency at the target; 0 is the most urgent. `None` for plain calls.
    pub urgency: Option<u8>,
    /// Address of the engine that receives a copy of the generation's memory as it grows.
    pub copy_to: Option<SocketAddr>,
    /// Last event that the caller has; the stream continues after it.
    pub last_event: Option<EventId>,
    /// Copy from which the generation continues; none if it starts anew.
    pub copy_from: Option<MemoryCopy>,
    /// Name of the reservation of memory at the target.
    pub reservation: Option<CompactString>,
}

/// A copy of a generation's memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemoryCopy {
    /// Address of the engine that has the copy.
    pub address: SocketAddr,
    /// Name of the copy at that engine.
    pub name: CompactString,
}

/// The parts of a target's response head that decide how the response is treated.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// ID of the attempt that the response is for; `None` if its header is missing or malformed.
    pub id: Option<CompactString>,
    /// Whether the response bears the target's signature.
    pub is_signed: bool,
    /// Whether the target says that it did not run the request.
    pub not_run: bool,
    /// Whether the body has a content encoding, which targets never use.
    pub is_encoded: bool,
    /// What the target says of itself.
    pub statement: Statement,
}

/// What an operator's request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorCall {
    /// Stores a configuration.
    Submit,
    /// Reads the newest configuration.
    Read,
    /// Evacuates a zone: its targets get no further attempts.
    Evacuate(Zone),
    /// Ends a zone's evacuation.
    Restore(Zone),
}

/// A request to an engine to copy a running generation's memory to another engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transfer {
    /// ID of the attempt that runs at the engine.
    pub attempt_id: CompactString,
    /// Address of the engine that receives the memory.
    pub to: SocketAddr,
    /// Whether the generation stops before the copy is made, so that it can continue elsewhere from
    /// that copy.
    pub stops_run: bool,
}

/// What an engine reports of the attempts that it works on. Its values may be some hundred milliseconds old.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RunReport {
    /// The incarnation that reports, none if it doesn't say.
    pub incarnation: Option<Incarnation>,
    /// IDs of the attempts that run, none if the report doesn't list them.
    pub runs: Option<Vec<CompactString>>,
    /// Number of attempts that run.
    pub running: u32,
    /// Number of attempts that wait.
    pub waiting: u32,
}

/// An engine's response to a [`Transfer`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransferOutcome {
    /// The copy is complete and has this name at the source.
    Done(CompactString),
    /// The receiving engine has no room or can't be reached. If the generation was stopped, the
    /// source keeps its memory under this name.
    NoRoom(Option<CompactString>),
    /// The engine runs no such generation.
    Unknown,
    /// Another transfer of this generation is in progress.
    Busy,
}

/// A request to an engine to reserve memory for a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReservationRequest {
    /// Tokens of memory to reserve.
    pub tokens: u64,
    /// Time after which an unused reservation ends.
    pub lifetime: Duration,
}
