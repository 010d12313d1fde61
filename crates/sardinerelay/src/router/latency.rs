//! Token latencies of targets, and detection of targets that are much slower than their peers.

use std::time::{Duration, Instant};

/// Minimum weight of one sample in the moving average.
const MIN_SAMPLE_WEIGHT: f64 = 0.1;
/// Minimum number of samples from which an average is used.
const MIN_SAMPLES: u32 = 5;
/// A target is slow if its latency exceeds the median of all targets by this factor.
const SLOW_FACTOR: f64 = 3.0;
/// A time to the first token up to this many seconds never counts as slow, because ratios of short
/// times are noise.
const MIN_SLOW_FIRST_TOKEN_SECONDS: f64 = 0.5;
/// A time between tokens up to this many seconds never counts as slow.
const MIN_SLOW_INTER_TOKEN_SECONDS: f64 = 0.05;
/// Time for which a slow target gets no requests.
const SLOW_DURATION: Duration = Duration::from_secs(10);
/// Minimum number of targets with enough samples for a median.
const MIN_PEERS: usize = 3;

/// Moving average of a latency.
#[derive(Debug, Clone, Copy, Default)]
struct Average {
    seconds: f64,
    samples: u32,
}

impl Average {
    fn add(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64();
        self.samples = self.samples.saturating_add(1);
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.seconds += weight * (sample - self.seconds);
    }

    fn value(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.seconds)
    }
}

/// A target's average time to the first token and between tokens.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Latency {
    first_token: Average,
    inter_token: Average,
    /// End of the time for which the target counts as slow.
    slow_until: Option<Instant>,
}

/// Median latencies of all targets, in seconds.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Medians {
    first_token: Option<f64>,
    inter_token: Option<f64>,
}

impl Latency {
    pub(super) fn record_first_token(&mut self, took: Duration) {
        self.first_token.add(took);
    }

    pub(super) fn record_inter_token(&mut self, gap: Duration) {
        self.inter_token.add(gap);
    }

    /// Returns the average seconds between two tokens, if there are enough samples.
    pub(super) fn inter_token_seconds(&self) -> Option<f64> {
        self.inter_token.value()
    }

    /// Marks the target as slow for [`SLOW_DURATION`] if it is much slower than the median, and
    /// discards its averages, so that it is measured anew afterwards.
    pub(super) fn detect_slow(&mut self, medians: &Medians, now: Instant) {
        if self.is_slow(now) {
            return;
        }
        let first = exceeds(
            self.first_token,
            medians.first_token,
            MIN_SLOW_FIRST_TOKEN_SECONDS,
        );
        let inter_token = exceeds(
            self.inter_token,
            medians.inter_token,
            MIN_SLOW_INTER_TOKEN_SECONDS,
        );
        if first || inter_token {
            *self = Self {
                slow_until: Some(now + SLOW_DURATION),
                ..Self::default()
            };
        }
    }

    pub(super) fn is_slow(&self, now: Instant) -> bool {
        self.slow_until.is_some_and(|until| now < until)
    }
}

impl Medians {
    pub(super) fn of<'a, I>(latencies: I) -> Self
    where
        I: Iterator<Item = &'a Latency> + Clone,
    {
        Self {
            first_token: median(
                latencies
                    .clone()
                    .filter_map(|latency| latency.first_token.value()),
            ),
            inter_token: median(latencies.filter_map(|latency| latency.inter_token.value())),
        }
    }
}

fn exceeds(average: Average, median: Option<f64>, min_slow: f64) -> bool {
    match (average.value(), median) {
        (Some(own), Some(median)) => own > min_slow && own > SLOW_FACTOR * median,
        _ => false,
    }
}

fn median<I>(values: I) -> Option<f64>
where
    I: Iterator<Item = f64>,
{
    let mut values: Vec<f64> = values.collect();
    if values.len() < MIN_PEERS {
        return None;
    }
    values.sort_by(f64::total_cmp);
    // The lower median, so that slow targets are detected even if they are half of all.
    Some(values[(values.len() - 1) / 2])
}
