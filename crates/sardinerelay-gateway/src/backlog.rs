//! How long an engine is busy with reading prompts that were sent to it.
//!
//! Load pattern that it answers: generations arrive in clumps, and an engine reads prompts one
//! after another, a few thousand tokens in a few hundred milliseconds. A load report shows this
//! only when it is over. Every host therefore counts the prompts that all hosts send, and assumes
//! that an engine works them off at a steady rate.

use std::time::{Duration, Instant};

/// Tokens that an engine reads in a second before that was measured.
const FIRST_RATE: f64 = 7_000.0;
/// Least and highest rate that is believed.
const RATES: [f64; 2] = [1_000.0, 40_000.0];
/// Weight of a new measurement.
const WEIGHT: f64 = 0.05;

/// Tokens that wait to be read by one engine.
#[derive(Debug, Clone, Copy, Default)]
pub struct Backlog {
    tokens: f64,
    at: Option<Instant>,
}

/// The rate at which engines read, measured from first events.
#[derive(Debug, Clone, Copy)]
pub struct Rate(f64);

impl Default for Rate {
    fn default() -> Self {
        Self(FIRST_RATE)
    }
}

impl Rate {
    /// Learns from a first event that came `took` after `tokens` had to be read.
    pub fn learn(&mut self, tokens: f64, took: Duration) {
        let seconds = took.as_secs_f64();
        if seconds <= 0.0 || tokens <= 0.0 {
            return;
        }
        let measured = (tokens / seconds).clamp(RATES[0], RATES[1]);
        self.0 += WEIGHT * (measured - self.0);
    }

    /// Tokens in a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl Backlog {
    /// Adds a prompt.
    pub fn add(&mut self, prompt: u64, rate: Rate, now: Instant) {
        self.tokens = self.tokens(rate, now) + prompt as f64;
        self.at = Some(now);
    }

    /// Tokens that are still to be read.
    pub fn tokens(&self, rate: Rate, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let since = now.saturating_duration_since(at).as_secs_f64();
        (self.tokens - rate.per_second() * since).max(0.0)
    }

    /// Time until a prompt that is sent now is read.
    pub fn wait(&self, prompt: u64, rate: Rate, now: Instant) -> Duration {
        let tokens = self.tokens(rate, now) + prompt as f64;
        Duration::from_secs_f64(tokens / rate.per_second())
    }
}
