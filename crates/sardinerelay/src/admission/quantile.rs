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
pub struct Observation {
    /// Time in which started streams were stalled.
    pub stall_time: Duration,
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
    cost: f64,
}

/// Lowest and highest quantile as log-odds: 0.15 and 0.9995.
const LOGIT_RANGE: (f64, f64) = (-1.7, 7.6);
/// Log-odds at the start: 0.77.
const LOGIT_START: f64 = 1.2;
/// Weight of one interval in the averaged cost. Preemptions come in bursts, and a burst must not
/// move the quantile by itself.
const COST_WEIGHT: f64 = 0.05;
/// Change of the log-odds for each unit of cost above or below the tolerated one.
const GAIN: f64 = 0.02;
/// Largest excess of cost that counts.
const MAX_EXCESS: f64 = 3.0;

impl Objective {
    /// Tolerated share of stream time that is stalled.
    fn stall_share(self) -> f64 {
        match self {
            Self::Stall => 0.027,
            Self::Preemption => 0.05,
        }
    }

    /// Tolerated preemptions per second of running time.
    fn preemption_rate(self) -> f64 {
        match self {
            Self::Stall => 0.05,
            Self::Preemption => 0.014,
        }
    }
}

impl Quantile {
    /// A quantile that adapts to the objective.
    pub fn new(objective: Objective) -> Self {
        Self {
            objective,
            logit: LOGIT_START,
            cost: 1.0,
        }
    }

    /// The quantile, from 0.15 to just below 1.
    pub fn value(&self) -> f64 {
        1.0 / (1.0 + (-self.logit).exp())
    }

    /// The quantile in standard deviations of a normal distribution (logistic approximation).
    pub fn margin(&self) -> f64 {
        self.logit / 1.702
    }

    /// Learns from one interval. The averaged cost settles at the tolerated one: above it the
    /// quantile rises, below it the quantile falls and more requests are admitted.
    pub fn adapt(&mut self, observation: &Observation) {
        let stall = share(
            observation.stall_time.as_secs_f64(),
            observation.stream_time,
        );
        let preemptions = share(observation.preemptions as f64, observation.running_time);
        let cost =
            stall / self.objective.stall_share() + preemptions / self.objective.preemption_rate();
        self.cost += COST_WEIGHT * (cost - self.cost);
        let step = GAIN * (self.cost - 1.0).min(MAX_EXCESS);
        self.logit = (self.logit + step).clamp(LOGIT_RANGE.0, LOGIT_RANGE.1);
    }
}

fn share(amount: f64, of: Duration) -> f64 {
    if amount <= 0.0 {
        return 0.0;
    }
    amount / of.as_secs_f64().max(1.0)
}
