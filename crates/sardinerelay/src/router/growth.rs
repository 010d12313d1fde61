//! Forecast of the memory that running streams will hold.
//!
//! A stream holds the memory of its prompt and output until it ends. The sum over many streams is
//! forecast as mean and variance at a few horizons. This is more accurate than a sum of
//! per-stream quantiles, because not all streams reach their own quantile at the same time.

/// Number of horizons of a forecast.
pub const HORIZON_COUNT: usize = 12;
/// Horizons of a forecast, in tokens that each stream generates from now on.
pub const HORIZON_TOKENS: [u64; HORIZON_COUNT] = [
    0, 16, 32, 64, 128, 256, 512, 1_024, 2_048, 4_096, 8_192, 16_384,
];

/// Forecast of one stream's memory, in tokens, at each horizon.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Curve {
    mean: [f32; HORIZON_COUNT],
    variance: [f32; HORIZON_COUNT],
    /// Probability that the stream is still running.
    alive: [f32; HORIZON_COUNT],
}

impl Curve {
    /// Creates the curve of a stream that holds `held` tokens and still runs at each horizon with
    /// the given probability.
    pub fn new(held: u64, survival: [f64; HORIZON_COUNT]) -> Self {
        let held_tokens = |horizon: usize| (held + HORIZON_TOKENS[horizon]) as f64;
        Self {
            mean: std::array::from_fn(|h| (survival[h] * held_tokens(h)) as f32),
            variance: std::array::from_fn(|h| {
                (survival[h] * (1.0 - survival[h]) * held_tokens(h) * held_tokens(h)) as f32
            }),
            alive: survival.map(|probability| probability as f32),
        }
    }
}

/// The sum of the curves of several streams.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct CurveSum {
    pub(super) mean: [f64; HORIZON_COUNT],
    pub(super) variance: [f64; HORIZON_COUNT],
    pub(super) alive: [f64; HORIZON_COUNT],
}

impl CurveSum {
    pub(super) fn add(&mut self, curve: &Curve) {
        self.apply(curve, 1.0);
    }

    pub(super) fn remove(&mut self, curve: &Curve) {
        self.apply(curve, -1.0);
    }

    pub(super) fn merge(&mut self, other: &Self) {
        for h in 0..HORIZON_COUNT {
            self.mean[h] += other.mean[h];
            self.variance[h] += other.variance[h];
            self.alive[h] += other.alive[h];
        }
    }

    fn apply(&mut self, curve: &Curve, sign: f64) {
        for h in 0..HORIZON_COUNT {
            self.mean[h] += sign * f64::from(curve.mean[h]);
            self.variance[h] += sign * f64::from(curve.variance[h]);
            self.alive[h] += sign * f64::from(curve.alive[h]);
        }
    }
}

/// How the memory of the average stream develops. Other hosts' streams are assumed to develop like
/// this host's, because the load balancer spreads callers over hosts at random.
#[derive(Debug, Clone, Copy)]
pub(super) struct Profile {
    /// Share of the memory held now that is still held at each horizon.
    held: [f64; HORIZON_COUNT],
    /// Share of the streams that still run at each horizon.
    alive: [f64; HORIZON_COUNT],
    /// Variance per stream.
    variance: [f64; HORIZON_COUNT],
    /// Samples so far, each counted by its weight. The assumed profile counts as five.
    samples: f64,
}

/// Tokens after which half of the streams are assumed to have ended, until there are samples.
const ASSUMED_MEDIAN_TOKENS: f64 = 512.0;
/// Minimum weight of one tick's sample in the profile, which averages over about a minute at ten
/// ticks a second. A host's own streams are a small sample. If the profile followed them closely,
/// a host whose last streams were long could get no requests through any more.
const MIN_PROFILE_WEIGHT: f64 = 0.002;
/// Number of own streams that make a full sample.
const FULL_SAMPLE_STREAMS: f64 = 8.0;

impl Default for Profile {
    fn default() -> Self {
        let alive = HORIZON_TOKENS
            .map(|ahead| ASSUMED_MEDIAN_TOKENS / (ASSUMED_MEDIAN_TOKENS + ahead as f64));
        Self {
            held: alive,
            alive,
            variance: std::array::from_fn(|h| {
                alive[h]
                    * (1.0 - alive[h])
                    * (ASSUMED_MEDIAN_TOKENS + HORIZON_TOKENS[h] as f64).powi(2)
            }),
            samples: 5.0,
        }
    }
}

impl Profile {
    /// Updates the profile from the sum of this host's streams.
    pub(super) fn update(&mut self, own: &CurveSum) {
        let streams = own.alive[0];
        let held = own.mean[0];
        if streams < 1.0 || held < 1.0 {
            return;
        }
        // A few streams say little about the average one.
        let sample = (streams / FULL_SAMPLE_STREAMS).min(1.0);
        self.samples += sample;
        let weight = sample * f64::max(1.0 / self.samples, MIN_PROFILE_WEIGHT);
        let mix = |old: &mut f64, new: f64| *old += weight * (new - *old);
        for (h, ahead) in HORIZON_TOKENS.into_iter().enumerate() {
            let kept = own.mean[h] - ahead as f64 * own.alive[h];
            mix(&mut self.held[h], (kept / held).clamp(0.0, 1.0));
            mix(&mut self.alive[h], own.alive[h] / streams);
            mix(&mut self.variance[h], own.variance[h] / streams);
        }
    }

    /// Returns the forecast of `streams` streams of other hosts that together hold `held` tokens.
    pub(super) fn extrapolate(&self, held: f64, streams: f64) -> CurveSum {
        CurveSum {
            mean: std::array::from_fn(|h| {
                held * self.held[h] + streams * self.alive[h] * HORIZON_TOKENS[h] as f64
            }),
            variance: self.variance.map(|variance| variance * streams),
            alive: self.alive.map(|alive| alive * streams),
        }
    }
}
