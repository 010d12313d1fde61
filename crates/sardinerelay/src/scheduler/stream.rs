//! What the scheduler keeps of a dispatched request.

use {
    super::{Request, STALL_THRESHOLD},
    crate::length::Key,
    std::time::{Duration, Instant},
};

/// Where a dispatched request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// No token has arrived.
    Waiting,
    /// The last token arrived at this time.
    Started(Instant),
}

#[derive(Debug)]
pub(super) struct Stream {
    pub(super) key: Key,
    pub(super) prompt_tokens: u64,
    pub(super) max_tokens: u64,
    pub(super) generated: u64,
    /// Tokens and time of the last forecast.
    pub(super) forecast_at: u64,
    pub(super) forecast_time: Instant,
    phase: Phase,
    /// Time up to which the stream's duration was accounted for.
    accounted: Instant,
    /// Time up to which the present stall was accounted for.
    stalled_until: Instant,
}

impl Stream {
    pub(super) fn new(request: Request, now: Instant) -> Self {
        Self {
            key: request.key(),
            prompt_tokens: request.prompt_tokens,
            max_tokens: request.max_tokens,
            generated: 0,
            forecast_at: 0,
            forecast_time: now,
            phase: Phase::Waiting,
            accounted: now,
            stalled_until: now,
        }
    }

    /// Records progress and returns the stall that it ended, as far as not accounted for.
    pub(super) fn token(&mut self, generated: u64, now: Instant) -> Duration {
        let stall = self.stalled(now);
        if self.phase == Phase::Waiting {
            self.accounted = now;
            self.forecast_time = now;
            self.forecast_at = generated;
        }
        self.phase = Phase::Started(now);
        self.stalled_until = now;
        self.generated = self.generated.max(generated);
        stall
    }

    /// The stall since the last call or token.
    pub(super) fn stalled(&mut self, now: Instant) -> Duration {
        let Phase::Started(last) = self.phase else {
            return Duration::ZERO;
        };
        let from = self.stalled_until.max(last + STALL_THRESHOLD);
        self.stalled_until = self.stalled_until.max(now);
        now.saturating_duration_since(from)
    }

    /// The time since the last call in which the stream was open after its first token.
    pub(super) fn account(&mut self, now: Instant) -> Duration {
        if self.phase == Phase::Waiting {
            return Duration::ZERO;
        }
        let open = now.saturating_duration_since(self.accounted);
        self.accounted = now;
        open
    }
}
