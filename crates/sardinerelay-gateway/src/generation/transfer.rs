//! Transfers a running generation's memory to another engine before its own engine stops.
//!
//! The memory is copied twice: first while the generation runs, then after its engine has stopped
//! it. The second copy transfers only what is new, so that the caller sees a short pause.

use {
    crate::{
        call::{self, Transfer, TransferOutcome},
        entry::EntryHost,
        observations::Instance,
        pool::{Purpose, SendError},
    },
    compact_str::CompactString,
    log::info,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    thiserror::Error,
};

/// Timeout of each of the two copies. An engine that is reclaimed has about two seconds left.
const COPY_TIMEOUT: Duration = Duration::from_millis(1500);

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

/// Transfers the memory of the generation `run` from one engine to another, and logs the outcome.
pub(super) async fn run(
    entry: Arc<EntryHost>,
    run: CompactString,
    (from, to): (Instance, Instance),
) -> Result<Moved, TransferError> {
    let began = Instant::now();
    let engines = (&from, &to);
    let moved = transfer(&entry, &run, engines).await;
    let outcome = match &moved {
        Ok(Moved::AtDestination(_)) => "done".to_owned(),
        Ok(Moved::AtSource(_)) => "stopped".to_owned(),
        Err(error) => error.to_string(),
    };
    info!(
        request = run.as_str(), target_id = from.target.as_str(), to_id = to.target.as_str(),
        outcome = outcome.as_str(),
        took_ms = began.elapsed().as_millis() as u64;
        "generation moved"
    );
    moved
}

/// Copies the memory while the generation runs, and again after its engine has stopped it.
async fn transfer(
    entry: &EntryHost,
    run: &CompactString,
    engines: (&Instance, &Instance),
) -> Result<Moved, TransferError> {
    copy_memory(entry, run, engines, false).await?;
    copy_memory(entry, run, engines, true).await
}

/// Asks the engine `from` to copy the memory to `to`. With `is_last` it stops the generation first.
async fn copy_memory(
    entry: &EntryHost,
    run: &CompactString,
    (from, to): (&Instance, &Instance),
    is_last: bool,
) -> Result<Moved, TransferError> {
    let transfer = Transfer {
        attempt_id: run.clone(),
        to: to.address,
        stops_run: is_last,
    };
    let request = (entry.codec.transfer_request)(from.address, &transfer);
    let outgoing = (request, Purpose::Command("transfer"));
    let response = entry.pool.call(from, outgoing, COPY_TIMEOUT).await?;
    let source_copy = |name: CompactString| call::MemoryCopy {
        address: from.address,
        name,
    };
    match (entry.codec.parse_transfer)(response.status(), response.body())? {
        TransferOutcome::Done(handle) => Ok(Moved::AtDestination(source_copy(handle))),
        TransferOutcome::NoRoom(Some(handle)) if is_last => {
            Ok(Moved::AtSource(source_copy(handle)))
        }
        TransferOutcome::NoRoom(_) => Err(TransferError::NoRoom),
        TransferOutcome::Unknown => Err(TransferError::Unknown),
        TransferOutcome::Busy => Err(TransferError::Busy),
    }
}
