//! What entry hosts tell the allocating host.
//!
//! It knows the places that it gave; what becomes of them, and the places that hosts took without
//! it, it has to be told. Load reports of engines show the same half a second later.

use {
    crate::targets::RunId,
    sardinerelay::id::Target,
    serde::{Deserialize, Serialize},
};

/// A generation that an entry host sent to an engine of its own choice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocalAllocation {
    /// The engine.
    pub target: Target,
    /// Tokens of the prompt that the engine has to read; 0 if it has a copy.
    #[serde(rename = "prompt")]
    pub prompt_tokens: u32,
    /// Tokens of memory that the generation is expected to take.
    #[serde(rename = "memory")]
    pub memory_tokens: u32,
}

/// What became of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AllocationReport {
    /// It was sent without having been given that place.
    Sent(LocalAllocation),
    /// An engine has no room for it.
    Full(Target),
    /// Its prompt was read.
    Started(RunId),
    /// It has ended, or takes another place.
    Ended(RunId),
    /// It arrived at the engine to which it was to move, or it can't be moved there.
    Moved(RunId, bool),
}
