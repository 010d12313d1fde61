//! Bounded retries, and targets taken out of use after failures.
//!
//! When a third of the targets die, unbounded retries multiply the load on the rest. Retries are
//! therefore paid from a budget that is a share of the traffic, and back off with jitter. Only an
//! attempt that is known not to have run, or a generation without a delivered token, is retried
//! at all.

mod ejector;

pub use ejector::Ejector;

use {
    rand::Rng,
    std::time::{Duration, Instant},
};

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No byte reached the target, or the target says that the request did not run.
    NotRun,
    /// A generation broke off after this many tokens were delivered to the caller.
    Generation {
        /// Tokens delivered.
        delivered: u64,
    },
    /// A call of a plain service broke off; it may have run.
    Unknown,
}

impl Failure {
    /// Whether another attempt may be made without running anything twice that a caller sees.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::NotRun | Self::Generation { delivered: 0 })
    }
}

/// Retries that may be made, as a share of the requests.
#[derive(Debug)]
pub struct Budget {
    /// Thousandths of a retry that each request adds.
    per_request: u64,
    /// Thousandths of a retry that are added each second without traffic.
    per_second: u64,
    capacity: u64,
    level: u64,
    filled: Instant,
}

/// One retry in the units of the budget.
const RETRY: u64 = 1_000;
/// Retries that may be made at once.
const BURST_RETRIES: u64 = 20;

impl Budget {
    /// A budget of `percent` retries for each hundred requests, and `per_second` retries a second
    /// beside it, so that a host with little traffic can retry too.
    pub fn new(percent: u64, per_second: u64, now: Instant) -> Self {
        let capacity = BURST_RETRIES * RETRY;
        Self {
            per_request: percent * RETRY / 100,
            per_second: per_second * RETRY,
            capacity,
            level: capacity / 2,
            filled: now,
        }
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.level = (self.level + self.per_request).min(self.capacity);
    }

    /// Takes one retry. Returns false if the budget is exhausted; the failure then goes to the
    /// caller.
    pub fn withdraw(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.filled);
        let whole = Duration::from_millis(elapsed.as_millis() as u64);
        let added = self.per_second * whole.as_millis() as u64 / 1_000;
        if added > 0 {
            self.filled += whole;
            self.level = (self.level + added).min(self.capacity);
        }
        if self.level < RETRY {
            return false;
        }
        self.level -= RETRY;
        true
    }
}

/// Shortest mean delay before a retry.
const BACKOFF_BASE: Duration = Duration::from_millis(20);
/// Longest delay before a retry.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// The delay before the n-th retry, counted from 0: uniform between zero and an exponentially
/// growing limit, which spreads the retries of many callers that failed at the same time.
pub fn backoff<R>(retry: u32, rng: &mut R) -> Duration
where
    R: Rng + ?Sized,
{
    let limit = BACKOFF_BASE
        .saturating_mul(2_u32.saturating_pow(retry.saturating_add(1)))
        .min(BACKOFF_MAX);
    limit.mul_f64(rng.random::<f64>())
}
