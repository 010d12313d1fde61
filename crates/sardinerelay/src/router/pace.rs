//! Targets that are slow but not dead, found by comparison with their peers.

use std::time::{Duration, Instant};

/// Weight of one sample in the moving average.
const WEIGHT: f64 = 0.1;
/// Samples before an average is compared.
const ENOUGH_SAMPLES: u32 = 5;
/// A target this many times slower than the median of its peers is slow.
const SLOW_FACTOR: f64 = 3.0;
/// Times to the first token below this are never slow: their ratio is noise.
const FIRST_TOKEN_FLOOR: f64 = 0.5;
/// Gaps between tokens below this are never slow.
const BETWEEN_FLOOR: f64 = 0.05;
/// A slow target receives new work again after this time, and is measured afresh.
const RETRY_AFTER: Duration = Duration::from_secs(10);
/// Fewest targets with samples from which a median is taken.
const ENOUGH_PEERS: usize = 3;

#[derive(Debug, Clone, Copy, Default)]
struct Average {
    seconds: f64,
    samples: u32,
}

impl Average {
    fn add(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64();
        self.samples = self.samples.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.samples));
        self.seconds += weight * (sample - self.seconds);
    }

    fn known(&self) -> Option<f64> {
        (self.samples >= ENOUGH_SAMPLES).then_some(self.seconds)
    }
}

/// A target's time to first token and between tokens.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Pace {
    first_token: Average,
    between: Average,
    slow_until: Option<Instant>,
}

/// Medians of all targets.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Medians {
    first_token: Option<f64>,
    between: Option<f64>,
}

impl Pace {
    pub(super) fn first_token(&mut self, took: Duration) {
        self.first_token.add(took);
    }

    pub(super) fn between(&mut self, gap: Duration) {
        self.between.add(gap);
    }

    /// Seconds between two tokens, if known.
    pub(super) fn gap_seconds(&self) -> Option<f64> {
        self.between.known()
    }

    /// Compares with the peers and marks the target for a while if it is slow.
    pub(super) fn judge(&mut self, medians: &Medians, now: Instant) {
        if self.slow(now) {
            return;
        }
        let first = exceeds(self.first_token, medians.first_token, FIRST_TOKEN_FLOOR);
        let between = exceeds(self.between, medians.between, BETWEEN_FLOOR);
        if first || between {
            *self = Self {
                slow_until: Some(now + RETRY_AFTER),
                ..Self::default()
            };
        }
    }

    pub(super) fn slow(&self, now: Instant) -> bool {
        self.slow_until.is_some_and(|until| now < until)
    }
}

impl Medians {
    pub(super) fn of<'a, I>(paces: I) -> Self
    where
        I: Iterator<Item = &'a Pace> + Clone,
    {
        Self {
            first_token: median(paces.clone().filter_map(|pace| pace.first_token.known())),
            between: median(paces.filter_map(|pace| pace.between.known())),
        }
    }
}

fn exceeds(average: Average, median: Option<f64>, floor: f64) -> bool {
    match (average.known(), median) {
        (Some(own), Some(median)) => own > floor && own > SLOW_FACTOR * median,
        _ => false,
    }
}

fn median<I>(values: I) -> Option<f64>
where
    I: Iterator<Item = f64>,
{
    let mut values: Vec<f64> = values.collect();
    if values.len() < ENOUGH_PEERS {
        return None;
    }
    values.sort_by(f64::total_cmp);
    // The lower median, so that half of the targets being slow still counts as slow.
    Some(values[(values.len() - 1) / 2])
}
