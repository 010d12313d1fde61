//! Adaptive quantile at which memory is reserved.

use std::time::Duration;

/// What the operator weighs highest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Objective {
    /// Stall time of started streams.
    Stall,
    /// Number of preemptions.
    Preemption,
}

/// What happened during one interval.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Seen {
    /// Time in which started streams were stalled.
    pub stall: Duration,
    /// Time that started streams were open, summed over streams.
    pub stream_time: Duration,
    /// Preemptions on all targets in use.
    pub preemptions: u64,
    /// Time that sequences ran on these targets, summed over sequences.
    pub running_time: Duration,
}

/// The reservation quantile, raised after stall or preemptions and lowered while there are none.
#[derive(Debug, Clone)]
pub struct Quantile {
    objective: Objective,
    logit: f64,
}

/// Lowest and highest quantile as log-odds: 0.5 and 0.9995.
const LOGIT_RANGE: (f64, f64) = (0.0, 7.6);
/// Log-odds at the start: 0.9.
const LOGIT_START: f64 = 2.2;
/// Largest rise in one interval.
const MAX_RISE: f64 = 1.0;
/// Fall in an interval without any cost.
const FALL: f64 = 0.02;

impl Objective {
    /// Tolerated share of stream time that is stalled.
    fn stall_share(self) -> f64 {
        match self {
            Self::Stall => 0.0005,
            Self::Preemption => 0.004,
        }
    }

    /// Tolerated preemptions per second of running time.
    fn preemption_rate(self) -> f64 {
        match self {
            Self::Stall => 0.002,
            Self::Preemption => 0.0005,
        }
    }
}

impl Quantile {
    /// A quantile that adapts to the objective.
    pub fn new(objective: Objective) -> Self {
        Self {
            objective,
            logit: LOGIT_START,
        }
    }

    /// The quantile, from 0.5 to just below 1.
    pub fn value(&self) -> f64 {
        1.0 / (1.0 + (-self.logit).exp())
    }

    /// The quantile in standard deviations of a normal distribution (logistic approximation).
    pub fn margin(&self) -> f64 {
        self.logit / 1.702
    }

    /// Learns from one interval. Costs above the tolerated rate raise the quantile at once; below
    /// it, the quantile falls slowly, because a preemption shows up only long after the dispatch
    /// that caused it.
    pub fn adapt(&mut self, seen: &Seen) {
        let stall = share(seen.stall.as_secs_f64(), seen.stream_time);
        let preemptions = share(seen.preemptions as f64, seen.running_time);
        let cost =
            stall / self.objective.stall_share() + preemptions / self.objective.preemption_rate();
        let step = if cost > 1.0 {
            (0.1 * cost).min(MAX_RISE)
        } else {
            -FALL * (1.0 - cost)
        };
        self.logit = (self.logit + step).clamp(LOGIT_RANGE.0, LOGIT_RANGE.1);
    }
}

fn share(amount: f64, of: Duration) -> f64 {
    if amount <= 0.0 {
        return 0.0;
    }
    amount / of.as_secs_f64().max(1.0)
}
