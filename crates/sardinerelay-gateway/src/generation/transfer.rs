//! Moves a running generation to another engine before its own one ends.
//!
//! The memory is copied while the generation goes on, and then once more, which copies only what
//! is new, so that the caller sees a short pause.

use {
    crate::{
        call::{self, Transfer, TransferOutcome},
        entry::EntryHost,
        observations::Instance,
        pool::SendError,
    },
    compact_str::CompactString,
    log::info,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    thiserror::Error,
};

/// Deadline of one copy. Engines that are reclaimed have about two seconds left.
const DEADLINE: Duration = Duration::from_millis(1500);

/// Where the generation can go on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Moved {
    /// At the other engine.
    There(call::MemoryCopy),
    /// At its own engine, which has stopped it and keeps its memory.
    Here(call::MemoryCopy),
}

/// Why a generation was not moved.
#[derive(Debug, Error)]
pub(super) enum Failure {
    #[error("the engine did not answer: {0}")]
    Call(#[from] SendError),
    #[error("the other engine has no room")]
    NoRoom,
    #[error("the engine does not run it")]
    Unknown,
    #[error("the engine moves it already")]
    Busy,
    #[error("the answer can't be read: {0}")]
    Malformed(#[from] crate::codec::ParseError),
}

/// Moves the generation `run` from one engine to another.
pub(super) async fn run(
    entry: Arc<EntryHost>,
    run: CompactString,
    (from, to): (Instance, Instance),
) -> Result<Moved, Failure> {
    let began = Instant::now();
    let engines = (&from, &to);
    let moved = both_copies(&entry, &run, engines).await;
    let outcome = match &moved {
        Ok(Moved::There(_)) => "done".to_owned(),
        Ok(Moved::Here(_)) => "stopped".to_owned(),
        Err(failure) => failure.to_string(),
    };
    info!(
        request = run.as_str(), target_id = from.target.as_str(), to_id = to.target.as_str(),
        outcome = outcome.as_str(),
        took_ms = began.elapsed().as_millis() as u64;
        "generation moved"
    );
    moved
}

async fn both_copies(
    entry: &EntryHost,
    run: &CompactString,
    engines: (&Instance, &Instance),
) -> Result<Moved, Failure> {
    copy(entry, run, engines, false).await?;
    copy(entry, run, engines, true).await
}

async fn copy(
    entry: &EntryHost,
    run: &CompactString,
    (from, to): (&Instance, &Instance),
    last: bool,
) -> Result<Moved, Failure> {
    let transfer = Transfer {
        attempt_id: run.clone(),
        to: to.address,
        stops_run: last,
    };
    let request = (entry.codec.transfer_request)(from.address, &transfer);
    let answer = entry.pool.call(from, request, DEADLINE).await?;
    let name = |name: CompactString| call::MemoryCopy {
        address: from.address,
        name,
    };
    match (entry.codec.parse_transfer)(answer.status(), answer.body())? {
        TransferOutcome::Done(handle) => Ok(Moved::There(name(handle))),
        TransferOutcome::NoRoom(Some(handle)) if last => Ok(Moved::Here(name(handle))),
        TransferOutcome::NoRoom(_) => Err(Failure::NoRoom),
        TransferOutcome::Unknown => Err(Failure::Unknown),
        TransferOutcome::Busy => Err(Failure::Busy),
    }
}
