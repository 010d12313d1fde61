//! Learns how fast a target is, relative to the other targets of its service.
//!
//! Samples are rates in any unit: tokens read or decoded per second, or the requests per second that a
//! target completes if it gets one at a time. Of each target only the last few samples count. Their
//! interquartile mean ignores a single slow request, and all of them weigh less with age, so that a
//! target that gets little load because it was slow is tried again.

pub mod choice;

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Time after which a sample counts half.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Number of samples of one target that count. More than half of them must agree before a changed
/// speed is believed, so more would delay that.
const MAX_SAMPLES: usize = 6;
/// Weight of the assumption that a target is as fast as is typical, as a number of samples.
const ASSUMED_SAMPLES: f64 = 2.0;
/// Largest factor by which a sample counts as faster or slower than is typical.
const MAX_FACTOR: f64 = 4.0;
/// Smallest and largest step of the typical rate for one sample, of its logarithm.
const STEP_RANGE: [f64; 2] = [0.02, 0.5];

/// The median rate of all targets of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Typical {
    log_rate: f64,
    samples: u32,
}

impl Typical {
    /// Records a rate of any target. Rates that aren't positive are ignored.
    pub fn record(&mut self, rate: f64) {
        let log_rate = rate.ln();
        if !log_rate.is_finite() {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.log_rate = log_rate;
            return;
        }
        // Equal steps up and down lead to the median, to which one outlier adds only one step.
        let step = (1.0 / f64::from(self.samples)).clamp(STEP_RANGE[0], STEP_RANGE[1]);
        let difference = log_rate - self.log_rate;
        self.log_rate += difference.clamp(-step, step);
    }

    /// Returns the rate, or none if there was no sample.
    pub fn rate(&self) -> Option<f64> {
        (self.samples > 0).then(|| self.log_rate.exp())
    }
}

/// The last rates of one target.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Speed {
    /// Logarithms of rates, and when they were measured.
    samples: VecDeque<(f64, Instant)>,
}

impl Speed {
    /// Records a measured rate. Rates that aren't positive are ignored.
    pub fn record(&mut self, rate: f64, now: Instant) {
        let log_rate = rate.ln();
        if !log_rate.is_finite() {
            return;
        }
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((log_rate, now));
    }

    /// Returns the target's speed as a multiple of what is typical; 1 if nothing is known.
    pub fn relative(&self, typical: &Typical, now: Instant) -> f64 {
        if typical.samples == 0 || self.samples.is_empty() {
            return 1.0;
        }
        let max = MAX_FACTOR.ln();
        let weighted = self.samples.iter().map(|(log_rate, at)| {
            let relative = (log_rate - typical.log_rate).clamp(-max, max);
            (relative, weight(now.saturating_duration_since(*at)))
        });
        let mut weighted: Vec<(f64, f64)> = weighted.collect();
        weighted.push((0.0, ASSUMED_SAMPLES));
        weighted.sort_unstable_by(|left, right| left.0.total_cmp(&right.0));
        interquartile_mean(&weighted).exp()
    }

    /// Age of the newest sample, or none if there is none.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let (_, at) = self.samples.back()?;
        Some(now.saturating_duration_since(*at))
    }
}

/// Returns the weight of a sample of this age.
fn weight(age: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
}

/// Returns the mean of the middle half of values that are sorted, each with its weight.
fn interquartile_mean(weighted: &[(f64, f64)]) -> f64 {
    let total: f64 = weighted.iter().map(|(_, weight)| weight).sum();
    let (low, high) = (total / 4.0, total * 3.0 / 4.0);
    let mut below = 0.0;
    let mut sum = 0.0;
    for (value, weight) in weighted {
        let (from, to) = (below, below + weight);
        sum += value * (to.min(high) - from.max(low)).max(0.0);
        below = to;
    }
    sum / (high - low)
}
