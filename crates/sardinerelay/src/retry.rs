//! Retry budget, backoff, and ejection of failing targets.
//!
//! When a third of the targets die, unbounded retries multiply the load on the rest. Retries are
//! therefore limited by a budget, which is a share of the traffic, and delayed by a backoff with
//! jitter. Only an attempt that is known not to have run, or a generation of which no token was
//! delivered, is retried at all.

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
    /// A generation was interrupted.
    Generation {
        /// Tokens that were delivered to the caller before.
        delivered: u64,
    },
    /// A call of a plain service was interrupted and may have run.
    Unknown,
}

impl Failure {
    /// Whether another attempt is safe: the caller can't see any effect twice.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::NotRun | Self::Generation { delivered: 0 })
    }
}

/// A retry budget: a token bucket that first attempts refill.
#[derive(Debug)]
pub struct Budget {
    /// Thousandths of a retry that each first attempt adds.
    per_request: u64,
    /// Thousandths of a retry that are added each second, independent of traffic.
    per_second: u64,
    /// Largest balance, in thousandths of a retry.
    capacity: u64,
    /// Thousandths of a retry that are available.
    balance: u64,
    refilled_at: Instant,
}

/// Cost of one retry, in the budget's unit of a thousandth.
const RETRY_COST: u64 = 1_000;
/// Maximum number of retries that may be sent at once.
const MAX_BURST_RETRIES: u64 = 20;

impl Budget {
    /// Creates a budget of `percent` retries for each hundred requests and of `per_second` further
    /// retries a second, so that a host with little traffic can retry too.
    pub fn new(percent: u64, per_second: u64, now: Instant) -> Self {
        let capacity = MAX_BURST_RETRIES * RETRY_COST;
        Self {
            per_request: percent * RETRY_COST / 100,
            per_second: per_second * RETRY_COST,
            capacity,
            balance: capacity / 2,
            refilled_at: now,
        }
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.per_request).min(self.capacity);
    }

    /// Takes one retry. Returns false if the budget is exhausted; the failure is then returned to
    /// the caller.
    pub fn withdraw(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let whole = Duration::from_millis(elapsed.as_millis() as u64);
        let added = self.per_second * whole.as_millis() as u64 / 1_000;
        if added > 0 {
            self.refilled_at += whole;
            self.balance = (self.balance + added).min(self.capacity);
        }
        if self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }
}

/// Mean delay before the first retry.
const BASE_BACKOFF: Duration = Duration::from_millis(20);
/// Longest delay before a retry.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Returns the delay before a retry; the first one has number 0. The delay is uniform between zero
/// and an exponentially growing limit, which spreads the retries of requests that failed together.
pub fn backoff<R>(retry: u32, rng: &mut R) -> Duration
where
    R: Rng + ?Sized,
{
    let limit = BASE_BACKOFF
        .saturating_mul(2_u32.saturating_pow(retry.saturating_add(1)))
        .min(MAX_BACKOFF);
    limit.mul_f64(rng.random::<f64>())
}
