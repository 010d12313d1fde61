//! Forecast of the memory that running streams will hold.
//!
//! A stream holds its prompt and its output until it ends. The sum over many streams is forecast
//! at a few horizons, as mean and variance, which is closer than a sum of per-stream quantiles:
//! streams don't all reach their own quantile at the same time.

/// Number of horizons.
pub const HORIZON_COUNT: usize = 12;
/// Horizons of the forecast, in tokens generated per stream from now on.
pub const HORIZON_TOKENS: [u64; HORIZON_COUNT] = [
    0, 16, 32, 64, 128, 256, 512, 1_024, 2_048, 4_096, 8_192, 16_384,
];

/// The expected memory of one stream at each horizon.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Curve {
    mean: [f32; HORIZON_COUNT],
    variance: [f32; HORIZON_COUNT],
    alive: [f32; HORIZON_COUNT],
}

impl Curve {
    /// The curve of a stream that holds `held` tokens and survives each horizon with the given
    /// probability.
    pub fn new(held: u64, survival: [f64; HORIZON_COUNT]) -> Self {
        let at = |horizon: usize| (held + HORIZON_TOKENS[horizon]) as f64;
        Self {
            mean: std::array::from_fn(|h| (survival[h] * at(h)) as f32),
            variance: std::array::from_fn(|h| {
                (survival[h] * (1.0 - survival[h]) * at(h) * at(h)) as f32
            }),
            alive: survival.map(|probability| probability as f32),
        }
    }
}

/// A sum of curves.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Sum {
    pub(super) mean: [f64; HORIZON_COUNT],
    pub(super) variance: [f64; HORIZON_COUNT],
    pub(super) alive: [f64; HORIZON_COUNT],
}

impl Sum {
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

/// How the average stream develops. Other hosts' streams are assumed to develop like the own
/// ones, because the load balancer spreads callers over hosts at random.
#[derive(Debug, Clone, Copy)]
pub(super) struct Profile {
    held: [f64; HORIZON_COUNT],
    alive: [f64; HORIZON_COUNT],
    variance: [f64; HORIZON_COUNT],
    samples: f64,
}

/// Tokens after which half of the streams have ended, before anything is known.
const ASSUMED_MEDIAN: f64 = 512.0;
/// Least weight of one tick's own streams in the profile: about a minute of ten ticks a second.
/// A host's own streams are a small sample, and a profile that follows them closely can shut out
/// a host whose last streams were long.
const PROFILE_WEIGHT: f64 = 0.002;
/// Own streams that make a full sample.
const PROFILE_SAMPLE: f64 = 8.0;

impl Default for Profile {
    fn default() -> Self {
        let alive = HORIZON_TOKENS.map(|ahead| ASSUMED_MEDIAN / (ASSUMED_MEDIAN + ahead as f64));
        Self {
            held: alive,
            alive,
            variance: std::array::from_fn(|h| {
                alive[h] * (1.0 - alive[h]) * (ASSUMED_MEDIAN + HORIZON_TOKENS[h] as f64).powi(2)
            }),
            samples: 5.0,
        }
    }
}

impl Profile {
    /// Learns from the sum of all own streams.
    pub(super) fn learn(&mut self, own: &Sum) {
        let streams = own.alive[0];
        let held = own.mean[0];
        if streams < 1.0 || held < 1.0 {
            return;
        }
        // Few own streams say little about the average one.
        let sample = (streams / PROFILE_SAMPLE).min(1.0);
        self.samples += sample;
        let weight = sample * f64::max(1.0 / self.samples, PROFILE_WEIGHT);
        let mix = |old: &mut f64, new: f64| *old += weight * (new - *old);
        for (h, ahead) in HORIZON_TOKENS.into_iter().enumerate() {
            let kept = own.mean[h] - ahead as f64 * own.alive[h];
            mix(&mut self.held[h], (kept / held).clamp(0.0, 1.0));
            mix(&mut self.alive[h], own.alive[h] / streams);
            mix(&mut self.variance[h], own.variance[h] / streams);
        }
    }

    /// The forecast of `streams` unknown streams that hold `held` tokens together.
    pub(super) fn extrapolate(&self, held: f64, streams: f64) -> Sum {
        Sum {
            mean: std::array::from_fn(|h| {
                held * self.held[h] + streams * self.alive[h] * HORIZON_TOKENS[h] as f64
            }),
            variance: self.variance.map(|variance| variance * streams),
            alive: self.alive.map(|alive| alive * streams),
        }
    }
}
