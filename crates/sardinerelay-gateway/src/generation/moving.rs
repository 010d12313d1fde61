//! Moves a stream's generation off an engine that is about to stop.

use {
    super::{
        is_resumable,
        transfer::{self, Moved, Transfer, TransferError},
    },
    crate::{
        allocation::Allocation,
        request::Job,
        stop_order::{Ledger, Outcome},
    },
    futures::future::BoxFuture,
    log::info,
    sardinerelay::id::Target,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Pause before the next attempt after a move has failed or no destination was found.
const MOVE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The same pause if the engine is still busy with an earlier transfer of the generation. Each attempt takes a turn
/// from the other generations on the engine.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Time for which no further move to an engine is tried after one has failed. Other generations may
/// end there in the meantime.
const FAILED_ENGINE_COOLDOWN: Duration = Duration::from_millis(400);

/// A pending request for an engine to move to.
struct DestinationRequest {
    /// Resolves to the engine and the number of the host that allocated it, or to none if there is
    /// no engine.
    destination: BoxFuture<'static, Option<(Target, u32)>>,
    since: Instant,
}

/// A running transfer.
struct TransferTask {
    transfer: Arc<Transfer>,
    /// The copy that is being made.
    copy: BoxFuture<'static, Result<Moved, TransferError>>,
    /// Whether this copy stops the generation.
    is_last: bool,
}

/// Moves one stream's generation off one engine: requests a destination, transfers the memory, and
/// tries again elsewhere if that fails.
pub(super) struct Mover {
    request: Option<DestinationRequest>,
    transfer: Option<TransferTask>,
    /// Engines to which a move has failed, because they had no memory or could not be reached, and
    /// when.
    failed: Vec<(Target, Instant)>,
    /// When the next destination may be requested. It is put off after a failed attempt.
    not_before: Instant,
    done: Option<(Moved, Target)>,
}

impl Mover {
    pub(super) fn new() -> Self {
        Self {
            request: None,
            transfer: None,
            failed: Vec::new(),
            not_before: Instant::now(),
            done: None,
        }
    }

    /// Whether a transfer is running.
    pub(super) fn is_transferring(&self) -> bool {
        self.transfer.is_some()
    }

    /// Whether a transfer has succeeded and [`Self::take_result`] has not returned it yet.
    pub(super) fn is_done(&self) -> bool {
        self.done.is_some()
    }

    /// Takes the result of a successful transfer: where the generation can continue, and the
    /// destination of the move.
    pub(super) fn take_result(&mut self) -> Option<(Moved, Target)> {
        self.done.take()
    }

    /// Runs until the pending request or transfer ends. Never returns if there is none.
    ///
    /// Dropping the future loses nothing, so it may be polled in `select!`. Stop orders whose outcome isn't
    /// known stay in `stops`.
    pub(super) async fn step(
        &mut self,
        job: &Job,
        allocation: &mut Allocation,
        stops: &mut Ledger,
    ) {
        if let Some(request) = &mut self.request {
            let destination = request.destination.as_mut().await;
            let waited = request.since.elapsed();
            self.request = None;
            match destination {
                Some(destination) => self.start_transfer(job, allocation, (destination, waited)),
                None => self.not_before = Instant::now() + MOVE_RETRY_DELAY,
            }
            return;
        }
        let Some(task) = &mut self.transfer else {
            return std::future::pending().await;
        };
        let copied = task.copy.as_mut().await;
        if copied.is_ok() && !task.is_last {
            // Recorded first, because this future may be dropped once the order is sent.
            stops.record_sent(&allocation.choice.target);
            task.copy = Box::pin(Arc::clone(&task.transfer).copy(true));
            task.is_last = true;
            return;
        }
        self.end_transfer(job, (allocation, stops), copied);
    }

    /// Records the end of the transfer: its success, or that its destination isn't needed.
    fn end_transfer(
        &mut self,
        job: &Job,
        (allocation, stops): (&mut Allocation, &mut Ledger),
        moved: Result<Moved, TransferError>,
    ) {
        let Some(task) = self.transfer.take() else {
            return;
        };
        let mut stop = Outcome::Settled;
        if task.is_last {
            stop = transfer::stop_outcome(&moved);
            stops.record_outcome(&allocation.choice.target, stop);
        }
        task.transfer.log(&moved, stop);
        record_evacuation(job, &allocation.choice.target, &moved);
        let to = task.transfer.to.target.clone();
        match moved {
            Ok(moved) => self.done = Some((moved, to)),
            Err(error) => {
                let retry_delay = match error {
                    TransferError::Busy => BUSY_RETRY_DELAY,
                    _ => MOVE_RETRY_DELAY,
                };
                match error {
                    TransferError::NoRoom => allocation.refuse_destination(),
                    _ => allocation.release_destination(),
                }
                self.not_before = Instant::now() + retry_delay;
                self.failed.push((to, Instant::now()));
            }
        }
    }

    /// Requests a destination if the engine is leaving or its zone is evacuated. Does nothing if an engine that
    /// stays has a copy, if the service doesn't support moves, or while an earlier attempt is pending.
    pub(super) fn request_if_due(&mut self, job: &Job, allocation: &Allocation) {
        let (stays, copy_stays) = allocation.engines_stay();
        let is_early = Instant::now() < self.not_before;
        let is_busy = self.request.is_some() || self.is_transferring();
        if stays || copy_stays || is_early || is_busy || !can_move(job) {
            return;
        }
        self.failed
            .retain(|(_, at)| at.elapsed() < FAILED_ENGINE_COOLDOWN);
        let avoid: Vec<Target> = self.failed.iter().map(|(to, _)| to.clone()).collect();
        if let Some(departure) = allocation.departure(&avoid) {
            self.request = Some(DestinationRequest {
                destination: Box::pin(Arc::clone(&job.entry).relocate(departure)),
                since: Instant::now(),
            });
        }
    }

    /// Starts the transfer to `to`.
    fn start_transfer(
        &mut self,
        job: &Job,
        allocation: &mut Allocation,
        ((to, allocated_by), waited): ((Target, u32), Duration),
    ) {
        info!(
            request = job.call.id.as_str(), target_id = allocation.choice.target.as_str(),
            to_id = to.as_str(), by = allocated_by, waited_ms = waited.as_millis() as u64;
            "move planned"
        );
        allocation.set_destination((to.clone(), allocated_by));
        let from = job.entry.instance(&allocation.choice.target);
        let engines = from.zip(job.entry.instance(&to));
        // A host of an earlier version doesn't know the builds.
        let engines = engines.filter(|(from, to)| from.build == to.build);
        let Some((from, to)) = engines else {
            allocation.release_destination();
            return;
        };
        let transfer = Arc::new(Transfer {
            entry: Arc::clone(&job.entry),
            run: job.call.id.clone(),
            from,
            to,
            since: Instant::now(),
        });
        self.transfer = Some(TransferTask {
            copy: Box::pin(Arc::clone(&transfer).copy(false)),
            transfer,
            is_last: false,
        });
    }
}

/// Records the end of an attempt to move a generation out of an evacuated zone.
fn record_evacuation(job: &Job, from: &Target, result: &Result<Moved, TransferError>) {
    if !job.entry.state().targets.is_target_evacuated(from) {
        return;
    }
    job.entry.metrics.record_evacuation_move(match result {
        Ok(Moved::AtDestination(_)) => "moved",
        Ok(Moved::AtSource(_)) => "stopped",
        Err(_) => "failed",
    });
}

/// Whether the service's engines can move the generation. A resumable one is restarted instead.
fn can_move(job: &Job) -> bool {
    job.engine().is_some_and(|engine| engine.supports_moves) && !is_resumable(job)
}
