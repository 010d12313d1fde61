//! Fair shares of memory among organisations.
//!
//! A request's [`Cost`] is the memory that it holds, multiplied by the time for which it holds it.
//! [`Clock`] orders the organisations of a priority by start-time fair queueing (Goyal, Vin and
//! Cheng, 1996): each has a virtual time that advances by cost / weight with each request placed.
//! [`Guarantee`] lets less urgent priorities have a small share while they wait, and [`Demand`]
//! measures how much memory the requests of each priority need.

mod clock;
mod demand;
mod guarantee;

pub use self::{
    clock::Clock,
    demand::{Demand, Headroom},
    guarantee::Guarantee,
};

use {crate::bound, std::time::Duration};

/// Prompt tokens that an engine reads per second.
const READ_TOKENS_PER_SECOND: f64 = 14_000.0;
/// Tokens of output that a running generation produces per second.
pub const OUTPUT_TOKENS_PER_SECOND: f64 = 80.0;

/// Memory held over time, in token-seconds.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Default)]
pub struct Cost(pub f64);

impl Cost {
    /// Returns the cost of a generation that is expected to produce `output` tokens.
    pub fn expected(prompt: u64, output: u64) -> Self {
        Self::held(prompt, output, expected_duration(prompt, output))
    }

    /// Returns the cost of a generation that has run for `elapsed` and was expected to produce
    /// `output` tokens. Its output grows evenly over that time.
    pub fn held(prompt: u64, output: u64, elapsed: Duration) -> Self {
        let seconds = elapsed.as_secs_f64();
        let written = (seconds * OUTPUT_TOKENS_PER_SECOND).min(output as f64);
        Self((prompt as f64 + written / 2.0) * seconds)
    }
}

/// Returns the time for which a generation is expected to run.
pub fn expected_duration(prompt: u64, output: u64) -> Duration {
    let seconds = prompt as f64 / READ_TOKENS_PER_SECOND + output as f64 / OUTPUT_TOKENS_PER_SECOND;
    bound::estimate(seconds)
}
