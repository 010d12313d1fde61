//! The place of one request on a target, from the queue to its end.

use {
    super::Scheduler,
    crate::{filter::End, request_stats::Guard},
    compact_str::CompactString,
    sardinerelay::{id::Generation, scheduler::Outcome},
    std::{net::SocketAddr, sync::Arc, time::Instant},
};

/// A place on a target, held until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    pub(super) scheduler: Arc<Scheduler>,
    /// The attempt.
    pub generation: Generation,
    /// The target's name.
    pub target: CompactString,
    /// The target's address.
    pub address: SocketAddr,
    pub(super) ending: Outcome,
    pub(super) attempt: u32,
    pub(super) _stats_guard: Guard,
}

/// Reports the progress of one generation.
#[derive(Debug)]
pub struct Progress {
    pub(super) scheduler: Arc<Scheduler>,
    pub(super) generation: Generation,
}

/// Withdraws a request whose caller leaves while it waits.
pub(super) struct Waiting<'a> {
    pub(super) scheduler: &'a Scheduler,
    pub(super) generation: Generation,
    pub(super) armed: bool,
}

impl Reservation {
    /// Reports the first token.
    pub fn first_token(&self) {
        let now = Instant::now();
        self.scheduler
            .lock()
            .scheduler
            .record_first_token(self.generation, now);
    }

    /// A reporter of further tokens.
    pub fn progress(&self) -> Progress {
        Progress {
            scheduler: self.scheduler.clone(),
            generation: self.generation,
        }
    }

    /// Reports the end.
    pub fn finish(mut self, end: End) {
        self.ending = match end {
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
        self.scheduler.finish(self.generation, self.ending);
    }
}

impl Progress {
    /// Reports that the token with this index arrived.
    pub fn token(&self, index: u64) {
        let now = Instant::now();
        self.scheduler
            .lock()
            .scheduler
            .record_progress(self.generation, index + 1, now);
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let mut inner = self.scheduler.lock();
        inner.waiters.remove(&self.generation);
        let withdrawn = inner.scheduler.withdraw(self.generation);
        drop(inner);
        if !withdrawn {
            // The request was dispatched at the moment its caller left.
            self.scheduler.finish(self.generation, Outcome::Cancelled);
        }
    }
}
