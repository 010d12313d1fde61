//! Moving average of a rate.

/// Seconds over which a rate is averaged.
const WINDOW_SECONDS: f64 = 10.0;
/// Shortest time over which one sample of a rate is taken, in seconds.
const MIN_SAMPLE_SECONDS: f64 = 0.5;

/// Moving average of an amount per second.
#[derive(Debug, Default)]
pub struct Average {
    value: Option<f64>,
    amount: f64,
    seconds: f64,
}

impl Average {
    /// Returns the average, `None` before the first sample.
    pub fn value(&self) -> Option<f64> {
        self.value
    }

    /// Adds an amount to the present sample.
    pub fn add(&mut self, amount: f64) {
        self.amount += amount;
    }

    /// Adds elapsed time, and takes a sample once enough of it has passed.
    pub fn advance(&mut self, seconds: f64) {
        self.seconds += seconds;
        if self.seconds < MIN_SAMPLE_SECONDS {
            return;
        }
        let sample = self.amount / self.seconds;
        let weight = (self.seconds / WINDOW_SECONDS).min(1.0);
        let old = self.value.unwrap_or(sample);
        self.value = Some(old + weight * (sample - old));
        self.amount = 0.0;
        self.seconds = 0.0;
    }
}
