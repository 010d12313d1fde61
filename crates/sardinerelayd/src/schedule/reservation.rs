//! A request's reservation on a target, from the admission queue to the end of the answer.

use {
    super::Scheduler,
    crate::{filter::End, request_stats::Guard},
    compact_str::CompactString,
    sardinerelay::{id::Generation, scheduler::Outcome},
    std::{net::SocketAddr, sync::Arc, time::Instant},
};

/// Memory reserved on a target for one attempt. Dropping it frees the memory and reports how the
/// attempt ended.
#[derive(Debug)]
pub struct Reservation {
    pub(super) scheduler: Arc<Scheduler>,
    /// Identifies the attempt; each attempt of a request is a new generation.
    pub generation: Generation,
    pub target: CompactString,
    pub address: SocketAddr,
    /// How the attempt ends if the reservation is dropped now.
    pub(super) outcome: Outcome,
    /// Number of the attempt, from 1.
    pub(super) attempt: u32,
    /// Counts the request in the statistics for operators.
    pub(super) _stats_guard: Guard,
}

/// Reports the tokens of one generation to the scheduler.
#[derive(Debug)]
pub struct Progress {
    pub(super) scheduler: Arc<Scheduler>,
    pub(super) generation: Generation,
}

/// Withdraws a queued request when dropped while armed, which means that its caller disconnected.
pub(super) struct WithdrawGuard<'a> {
    pub(super) scheduler: &'a Scheduler,
    pub(super) generation: Generation,
    pub(super) is_armed: bool,
}

impl Reservation {
    /// Reports that the first token arrived.
    pub fn record_first_token(&self) {
        let now = Instant::now();
        self.scheduler
            .lock()
            .scheduler
            .record_first_token(self.generation, now);
    }

    /// Returns a handle that reports the further tokens.
    pub fn progress(&self) -> Progress {
        Progress {
            scheduler: self.scheduler.clone(),
            generation: self.generation,
        }
    }

    /// Frees the reservation and reports how the answer ended.
    pub fn finish(mut self, end: End) {
        self.outcome = match end {
            End {
                is_complete: true, ..
            } => Outcome::Complete,
            End { is_lost: true, .. } => Outcome::Failed,
            End { .. } => Outcome::Cancelled,
        };
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.scheduler.finish(self.generation, self.outcome);
    }
}

impl Progress {
    /// Reports that the token with this index arrived; the first token has index 0.
    pub fn record_token(&self, index: u64) {
        let now = Instant::now();
        self.scheduler
            .lock()
            .scheduler
            .record_progress(self.generation, index + 1, now);
    }
}

impl Drop for WithdrawGuard<'_> {
    fn drop(&mut self) {
        if !self.is_armed {
            return;
        }
        let mut inner = self.scheduler.lock();
        inner.waiters.remove(&self.generation);
        let withdrawn = inner.scheduler.withdraw(self.generation);
        drop(inner);
        if !withdrawn {
            // The request was dispatched just before its caller disconnected.
            self.scheduler.finish(self.generation, Outcome::Cancelled);
        }
    }
}
