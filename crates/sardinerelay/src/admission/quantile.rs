//! Adaptive quantile of the output length, for which memory is reserved.

use std::time::Duration;

/// The cost of overload that is kept lower at the expense of the other one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Objective {
    /// Share of the time of started streams that they are stalled.
    Stall,
    /// Preemptions per second of running time.
    Preemption,
}

/// Stall and preemptions during one interval.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Observation {
    /// Time that started streams were stalled, summed over streams.
    pub stall_time: Duration,
    /// Time that started streams were open, summed over streams.
    pub stream_time: Duration,
    /// Preemptions on all targets that send load reports.
    pub preemptions: u64,
    /// Time that sequences ran on these targets, summed over sequences.
    pub running_time: Duration,
}

/// The reservation quantile, raised after stall or preemptions and lowered while there are none.
#[derive(Debug, Clone)]
pub struct Quantile {
    objective: Objective,
    /// The quantile as log-odds.
    logit: f64,
    /// Moving average of the cost; 1 is the tolerated cost.
    cost: f64,
}

/// Lowest and highest quantile as log-odds: 0.15 and 0.9995.
const LOGIT_RANGE: (f64, f64) = (-1.7, 7.6);
/// Log-odds of the initial quantile, 0.77.
const INITIAL_LOGIT: f64 = 1.2;
/// Weight of one interval in the averaged cost. Preemptions come in bursts, and a single burst must
/// not move the quantile much.
const INTERVAL_WEIGHT: f64 = 0.05;
/// Change of the log-odds per interval for each unit of cost above or below the tolerated cost.
const LOGIT_GAIN: f64 = 0.02;
/// Largest excess over the tolerated cost that one adjustment takes into account.
const MAX_EXCESS_COST: f64 = 3.0;

impl Objective {
    /// Tolerated share of stream time that is stalled.
    fn tolerated_stall_share(self) -> f64 {
        match self {
            Self::Stall => 0.027,
            Self::Preemption => 0.05,
        }
    }

    /// Tolerated preemptions per second of running time.
    fn tolerated_preemption_rate(self) -> f64 {
        match self {
            Self::Stall => 0.05,
            Self::Preemption => 0.014,
        }
    }
}

impl Quantile {
    /// Creates a quantile that adapts to the objective.
    pub fn new(objective: Objective) -> Self {
        Self {
            objective,
            logit: INITIAL_LOGIT,
            cost: 1.0,
        }
    }

    /// Returns the quantile, from 0.15 to just below 1.
    pub fn value(&self) -> f64 {
        1.0 / (1.0 + (-self.logit).exp())
    }

    /// Returns the quantile in standard deviations of a normal distribution, by the logistic
    /// approximation.
    pub fn margin(&self) -> f64 {
        self.logit / 1.702
    }

    /// Adapts to one interval. Above the tolerated cost the quantile rises; below it the quantile
    /// falls and more requests are admitted. The averaged cost thus settles at the tolerated one.
    pub fn adapt(&mut self, observation: &Observation) {
        let stall = ratio(
            observation.stall_time.as_secs_f64(),
            observation.stream_time,
        );
        let preemptions = ratio(observation.preemptions as f64, observation.running_time);
        let cost = stall / self.objective.tolerated_stall_share()
            + preemptions / self.objective.tolerated_preemption_rate();
        self.cost += INTERVAL_WEIGHT * (cost - self.cost);
        let step = LOGIT_GAIN * (self.cost - 1.0).min(MAX_EXCESS_COST);
        self.logit = (self.logit + step).clamp(LOGIT_RANGE.0, LOGIT_RANGE.1);
    }
}

/// Returns `amount` per second of `time`. A time below one second counts as one, so that a short
/// sample does not give an extreme ratio.
fn ratio(amount: f64, time: Duration) -> f64 {
    if amount <= 0.0 {
        return 0.0;
    }
    amount / time.as_secs_f64().max(1.0)
}
