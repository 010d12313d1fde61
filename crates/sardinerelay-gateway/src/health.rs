//! How often requests to a target failed lately, as this host sees it.
//!
//! Load pattern that it answers: a target fails a part of its requests while its health check is
//! good, or the reverse. Requests are the only judge, so that a false health answer moves nothing.

use std::time::{Duration, Instant};

/// Time in which a failure loses half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Time for which a target that refused a connection gets no new work.
const DOWN: Duration = Duration::from_millis(800);
/// Weight of failures above which a target counts as suspect.
const SUSPECT: f64 = 1.5;

/// Failures of one target, weighted by their age.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    failures: f64,
    successes: f64,
    updated: Option<Instant>,
    down_until: Option<Instant>,
}

impl Health {
    /// Records a request that ended well.
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

    /// Records that the target can't be reached.
    pub fn record_unreachable(&mut self, now: Instant) {
        self.record_failure(now);
        self.down_until = Some(now + DOWN);
    }

    /// Whether it gets no work at all for now.
    pub fn is_down(&self, now: Instant) -> bool {
        self.down_until.is_some_and(|until| now < until)
    }

    /// Share of its requests that failed lately, from 0 to 1. A few failures among few requests
    /// say little and count for less.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let kept = self.kept(now);
        let failures = self.failures * kept;
        let all = failures + self.successes * kept;
        if failures < SUSPECT / 2.0 {
            return 0.0;
        }
        failures / (all + SUSPECT)
    }

    fn decay(&mut self, now: Instant) {
        let kept = self.kept(now);
        self.failures *= kept;
        self.successes *= kept;
        self.updated = Some(now);
    }

    fn kept(&self, now: Instant) -> f64 {
        let Some(updated) = self.updated else {
            return 1.0;
        };
        let age = now.saturating_duration_since(updated).as_secs_f64();
        0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
