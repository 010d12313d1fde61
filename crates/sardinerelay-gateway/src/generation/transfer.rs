//! Transfers a running generation's memory to another engine before its own engine stops.
//!
//! The memory is copied twice: first while the generation runs, then after its engine has stopped
//! it. The second copy transfers only what is new, so that the caller sees a short pause.

use {
    crate::{
        call::{self, TransferOutcome},
        entry::EntryHost,
        observations::Instance,
        pool::{Purpose, SendError},
        stop_order::Outcome,
    },
    compact_str::CompactString,
    log::info,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    thiserror::Error,
};

/// Timeout of the first copy. An engine that is reclaimed has about two seconds left.
const FIRST_COPY_TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout of the last copy. Giving it up costs the generation, because its engine may have stopped it, so this
/// is nearly as long as callers bear a pause.
const LAST_COPY_TIMEOUT: Duration = Duration::from_millis(4500);

/// Largest answer to a request for a copy, in bytes. It names the copy.
const MAX_ANSWER_BYTES: usize = 16 << 10;

/// Where the generation can continue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Moved {
    /// On the destination, from this copy.
    AtDestination(call::MemoryCopy),
    /// On its present engine, which has stopped it and keeps its memory.
    AtSource(call::MemoryCopy),
}

/// Why a generation was not moved.
#[derive(Debug, Error)]
pub(super) enum TransferError {
    #[error("the engine did not answer: {0}")]
    Call(#[from] SendError),
    #[error("the other engine has no room")]
    NoRoom,
    #[error("the engine does not run the generation")]
    Unknown,
    #[error("the engine is already moving the generation")]
    Busy,
    #[error("the response can't be parsed: {0}")]
    Malformed(#[from] crate::codec::ParseError),
}

/// A transfer of a generation's memory from one engine to another.
#[derive(Debug)]
pub(super) struct Transfer {
    pub(super) entry: Arc<EntryHost>,
    /// The ID of the caller's attempt.
    pub(super) run: CompactString,
    pub(super) from: Instance,
    pub(super) to: Instance,
    pub(super) since: Instant,
}

impl Transfer {
    /// Copies what the destination doesn't have yet. With `is_last` the engine stops the generation first.
    pub(super) async fn copy(self: Arc<Self>, is_last: bool) -> Result<Moved, TransferError> {
        let transfer = call::Transfer {
            attempt_id: self.run.clone(),
            to: self.to.address,
            stops_run: is_last,
        };
        let codec = &self.entry.codec;
        let request = (codec.transfer_request)(self.from.address, &transfer);
        let outgoing = (request, Purpose::Command("transfer"));
        let time_limit = match is_last {
            true => LAST_COPY_TIMEOUT,
            false => FIRST_COPY_TIMEOUT,
        };
        let response = self
            .entry
            .pool
            .call_within(&self.from, outgoing, (time_limit, MAX_ANSWER_BYTES))
            .await?;
        let source_copy = |name: CompactString| call::MemoryCopy {
            address: self.from.address,
            name,
        };
        match (codec.parse_transfer)(response.status(), response.body())? {
            TransferOutcome::Done(handle) => Ok(Moved::AtDestination(source_copy(handle))),
            TransferOutcome::NoRoom(Some(handle)) if is_last => {
                Ok(Moved::AtSource(source_copy(handle)))
            }
            TransferOutcome::NoRoom(_) => Err(TransferError::NoRoom),
            TransferOutcome::Unknown => Err(TransferError::Unknown),
            TransferOutcome::Busy => Err(TransferError::Busy),
        }
    }

    /// Logs the outcome of the transfer, and whether the engine may still stop the generation for it.
    pub(super) fn log(&self, moved: &Result<Moved, TransferError>, stop: Outcome) {
        let outcome = match moved {
            Ok(Moved::AtDestination(_)) => "done".to_owned(),
            Ok(Moved::AtSource(_)) => "stopped".to_owned(),
            Err(error) => error.to_string(),
        };
        info!(
            request = self.run.as_str(), target_id = self.from.target.as_str(),
            to_id = self.to.target.as_str(), outcome = outcome.as_str(),
            may_stop = stop == Outcome::Unknown, took_ms = self.since.elapsed().as_millis() as u64;
            "generation moved"
        );
    }
}

/// Returns what is known about the stop order of a last copy that ended like this.
pub(super) fn stop_outcome(moved: &Result<Moved, TransferError>) -> Outcome {
    match moved {
        Ok(_) | Err(TransferError::Call(SendError::NotSent(_))) => Outcome::Settled,
        // These answers say that the engine has not begun a last copy for this order.
        Err(TransferError::Unknown | TransferError::Busy) => Outcome::Settled,
        // An engine that stopped the generation names its memory. This one didn't, and may have stopped it.
        Err(TransferError::NoRoom) => Outcome::Unknown,
        Err(TransferError::Call(SendError::NoResponse(_)) | TransferError::Malformed(_)) => {
            Outcome::Unknown
        }
    }
}
