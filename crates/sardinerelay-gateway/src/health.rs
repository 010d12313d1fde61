//! How often this host's requests to a target have failed recently.
//!
//! A target may fail part of its requests while its health check passes, or the reverse. Only the
//! outcome of requests counts, so that a wrong health check doesn't move any traffic.

use std::time::{Duration, Instant};

/// Time after which an outcome counts half.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Time for which a target that refused a connection gets no new work.
const DOWN_DURATION: Duration = Duration::from_millis(800);
/// Number of successes that the failure rate counts in addition to the recorded ones, so that a few
/// failures among few requests weigh little. A weight of failures below half of it is ignored.
const ASSUMED_SUCCESSES: f64 = 1.5;

/// Failures and successes of one target, weighted by their age.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    failures: f64,
    successes: f64,
    updated: Option<Instant>,
    down_until: Option<Instant>,
}

impl Health {
    /// Records a request that succeeded.
    pub fn record_success(&mut self, now: Instant) {
        self.decay(now);
        self.successes += 1.0;
        self.down_until = None;
    }

    /// Records a request that failed.
    pub fn record_failure(&mut self, now: Instant) {
        self.decay(now);
        self.failures += 1.0;
    }

    /// Records that the target can't be reached. This also counts as a failure.
    pub fn record_unreachable(&mut self, now: Instant) {
        self.record_failure(now);
        self.down_until = Some(now + DOWN_DURATION);
    }

    /// Whether the target gets no work at all for now, because it refused a connection.
    pub fn is_down(&self, now: Instant) -> bool {
        self.down_until.is_some_and(|until| now < until)
    }

    /// Returns the share of requests that failed recently, from 0 to 1, lowered if there were few
    /// requests.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let factor = self.decay_factor(now);
        let failures = self.failures * factor;
        let total = failures + self.successes * factor;
        if failures < ASSUMED_SUCCESSES / 2.0 {
            return 0.0;
        }
        failures / (total + ASSUMED_SUCCESSES)
    }

    fn decay(&mut self, now: Instant) {
        let factor = self.decay_factor(now);
        self.failures *= factor;
        self.successes *= factor;
        self.updated = Some(now);
    }

    /// Returns the present weight of the outcomes that were recorded up to the last update.
    fn decay_factor(&self, now: Instant) -> f64 {
        let Some(updated) = self.updated else {
            return 1.0;
        };
        let age = now.saturating_duration_since(updated).as_secs_f64();
        0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
