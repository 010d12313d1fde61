//! What the queue knows of one service.

use {
    super::slots::Slots,
    crate::placement::Need,
    sardinerelay::{
        bound,
        fairness::{Demand, Guarantee},
        rate::Average,
    },
    std::time::{Duration, Instant},
};

/// Rate at which memory is assumed to become free until it is measured, in tokens per second. It is
/// that of ten long generations per second.
const INITIAL_RATE: f64 = 38_000.0;
/// Lower limit of that rate, two long generations per second. Engines may be full of long ones for
/// a moment.
const MIN_RATE: f64 = 7_600.0;

/// State of one service.
#[derive(Debug, Default)]
pub(super) struct Service {
    /// What less urgent priorities are owed.
    pub(super) guarantee: Guarantee,
    /// The memory that arriving requests need.
    pub(super) demand: Demand,
    /// The times at which refused callers were asked to retry.
    pub(super) slots: Slots,
    /// Tokens of placed requests per second while requests wait. It is the rate at which memory
    /// becomes free, unless what waits can't use it.
    placed: Average,
    /// Tokens of ended requests per second, which is a lower bound of that rate.
    released: Average,
    updated: Option<Instant>,
    /// Since when requests wait without a break, or when the rate was updated after that.
    waiting_since: Option<Instant>,
}

impl Service {
    /// Adds the time since the last call to the rates.
    pub(super) fn update_rate(&mut self, now: Instant) {
        let last = self.updated.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(last);
        self.released.advance(elapsed.as_secs_f64());
        if let Some(since) = &mut self.waiting_since {
            let elapsed = now.saturating_duration_since(*since);
            *since = now;
            self.placed.advance(elapsed.as_secs_f64());
        }
    }

    /// Records a placement. Memory that was free before requests waited doesn't count.
    pub(super) fn record_placement(&mut self, need: &Need) {
        if self.waiting_since.is_some() {
            self.placed.add(need.total_tokens() as f64);
        }
    }

    /// Records the end of a request that was to hold this many tokens. `ran` is the part of its
    /// cost that it used. One that its engine refused has freed no memory and took none.
    pub(super) fn record_end(&mut self, tokens: u64, ran: f64) {
        self.released.add(tokens as f64 * ran);
        if self.waiting_since.is_some() {
            self.placed.add(-(tokens as f64) * (1.0 - ran));
        }
    }

    /// Sets whether requests wait.
    pub(super) fn set_waiting(&mut self, is_waiting: bool, now: Instant) {
        match is_waiting {
            true => self.waiting_since = self.waiting_since.or(Some(now)),
            false => self.waiting_since = None,
        }
    }

    /// Returns the wait of a request that goes after others which need `ahead` tokens, those of its
    /// own priority among them `ahead_of_priority`.
    pub(super) fn expected_wait(&self, ahead: u64, ahead_of_priority: u64) -> Duration {
        let by_order = self.time_to_free(ahead);
        let by_guarantee = self
            .time_to_free(ahead_of_priority)
            .div_f64(Guarantee::SHARE);
        by_order.min(by_guarantee)
    }

    /// Returns the time in which this many tokens of memory become free.
    pub(super) fn time_to_free(&self, tokens: u64) -> Duration {
        let placed = self.placed.value().unwrap_or(INITIAL_RATE);
        let released = self.released.value().unwrap_or_default();
        let rate = placed.max(released).max(MIN_RATE);
        bound::estimate(tokens as f64 / rate)
    }
}
