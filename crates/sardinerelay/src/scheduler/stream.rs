//! State of a dispatched request.

use {
    super::{Request, STALL_THRESHOLD},
    crate::length::Key,
    std::time::{Duration, Instant},
};

/// Whether a dispatched request has produced a token yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// No token has arrived.
    NotStarted,
    /// The last token arrived at this time.
    Started(Instant),
}

/// A dispatched request that has not ended.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) key: Key,
    pub(super) prompt_tokens: u64,
    pub(super) max_tokens: u64,
    pub(super) generated: u64,
    /// Generated tokens at the last forecast.
    pub(super) forecast_tokens: u64,
    /// Time of the last forecast.
    pub(super) forecast_at: Instant,
    phase: Phase,
    /// Time up to which the stream's open time was counted.
    open_counted_until: Instant,
    /// Time up to which the current stall was counted.
    stall_counted_until: Instant,
}

impl Stream {
    pub(super) fn new(request: Request, now: Instant) -> Self {
        Self {
            key: request.key(),
            prompt_tokens: request.prompt_tokens,
            max_tokens: request.max_tokens,
            generated: 0,
            forecast_tokens: 0,
            forecast_at: now,
            phase: Phase::NotStarted,
            open_counted_until: now,
            stall_counted_until: now,
        }
    }

    /// Records that `generated` tokens exist and returns the not yet counted part of the stall
    /// that ends with them.
    pub(super) fn record_tokens(&mut self, generated: u64, now: Instant) -> Duration {
        let stall = self.take_stall(now);
        if self.phase == Phase::NotStarted {
            self.open_counted_until = now;
            self.forecast_at = now;
            self.forecast_tokens = generated;
        }
        self.phase = Phase::Started(now);
        self.stall_counted_until = now;
        self.generated = self.generated.max(generated);
        stall
    }

    /// Counts and returns the stall since the last call or token.
    pub(super) fn take_stall(&mut self, now: Instant) -> Duration {
        let Phase::Started(last) = self.phase else {
            return Duration::ZERO;
        };
        let from = self.stall_counted_until.max(last + STALL_THRESHOLD);
        self.stall_counted_until = self.stall_counted_until.max(now);
        now.saturating_duration_since(from)
    }

    /// Counts and returns the time since the last call during which the stream was open after its
    /// first token.
    pub(super) fn take_open_time(&mut self, now: Instant) -> Duration {
        if self.phase == Phase::NotStarted {
            return Duration::ZERO;
        }
        let open = now.saturating_duration_since(self.open_counted_until);
        self.open_counted_until = now;
        open
    }
}
