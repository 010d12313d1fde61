//! Estimates the output length of generations, on which the memory that they need depends, and how long
//! requests of a route take.
//!
//! Lengths spread over orders of magnitude, so the estimate works on their logarithms. It combines
//! the recorded lengths of a route with the caller's hint, each weighted by how little it scatters.
//! The caller's limit only caps the estimate.

use {
    compact_str::CompactString,
    std::{collections::HashMap, time::Duration},
};

/// Standard deviation of the difference between the logarithms of a hint and of the true length.
/// Callers' hints are right at the median and often off by a factor of three.
const HINT_LOG_DEVIATION: f64 = 1.2;
/// Standard deviation of the logarithm of lengths that is assumed until a route's lengths are
/// known.
const INITIAL_LOG_DEVIATION: f64 = 1.0;
/// Length that is assumed until a route's lengths are known, as a share of the caller's limit.
const INITIAL_LIMIT_SHARE: f64 = 0.35;
/// Largest number of routes whose statistics are kept. Routes come and go with configurations.
const MAX_ROUTES: usize = 4_096;
/// Weight of a new duration in the running mean.
const DURATION_WEIGHT: f64 = 0.1;
/// Weight of a new length in the running mean and variance.
const LENGTH_WEIGHT: f64 = 0.04;

/// Mean and variance of the logarithms of lengths.
#[derive(Debug, Clone, Copy)]
struct LengthStats {
    mean: f64,
    variance: f64,
}

/// Statistics of past requests, by route.
#[derive(Debug, Default)]
pub struct Forecast {
    routes: HashMap<CompactString, LengthStats>,
    /// Running means of the times that successful requests took.
    durations: HashMap<CompactString, Duration>,
}

impl Forecast {
    /// Returns the tokens of output that a generation probably doesn't exceed: the estimate plus
    /// `margin` standard deviations, from 1 to the caller's `limit`.
    pub fn output_tokens(&self, route: &str, limit: u64, hint: Option<u64>, margin: f64) -> u64 {
        let stats = self.routes.get(route);
        let (mean, variance) = match stats {
            Some(stats) => (stats.mean, stats.variance),
            None => {
                let first = (limit as f64 * INITIAL_LIMIT_SHARE).max(1.0);
                (first.ln(), INITIAL_LOG_DEVIATION.powi(2))
            }
        };
        let (mean, variance) = match hint.filter(|hint| *hint > 0) {
            None => (mean, variance),
            Some(hint) => {
                let hint_variance = HINT_LOG_DEVIATION.powi(2);
                let weight = variance / (variance + hint_variance);
                let combined = mean + weight * ((hint as f64).ln() - mean);
                (combined, variance * (1.0 - weight))
            }
        };
        let tokens = (mean + margin * variance.sqrt()).exp();
        (tokens as u64).clamp(1, limit.max(1))
    }

    /// Returns how long requests of the route took lately on average; none if there were none.
    pub fn duration(&self, route: &str) -> Option<Duration> {
        self.durations.get(route).copied()
    }

    /// Records how long a request took that ended with success.
    pub fn record_duration(&mut self, route: &str, took: Duration) {
        match self.durations.get_mut(route) {
            Some(mean) => {
                *mean = mean.mul_f64(1.0 - DURATION_WEIGHT) + took.mul_f64(DURATION_WEIGHT);
            }
            None => insert_bounded(&mut self.durations, route, took),
        }
    }

    /// Records the length in tokens of a generation that ended by itself.
    pub fn record_length(&mut self, route: &str, tokens: u64) {
        let log_length = (tokens.max(1) as f64).ln();
        let Some(stats) = self.routes.get_mut(route) else {
            let variance = INITIAL_LOG_DEVIATION.powi(2);
            let stats = LengthStats {
                mean: log_length,
                variance,
            };
            insert_bounded(&mut self.routes, route, stats);
            return;
        };
        let deviation = log_length - stats.mean;
        stats.mean += LENGTH_WEIGHT * deviation;
        stats.variance =
            (1.0 - LENGTH_WEIGHT) * (stats.variance + LENGTH_WEIGHT * deviation * deviation);
    }
}

/// Inserts the statistics of a route. Forgets those of all others first if there are too many.
fn insert_bounded<Stats>(routes: &mut HashMap<CompactString, Stats>, route: &str, stats: Stats) {
    if routes.len() >= MAX_ROUTES {
        routes.clear();
    }
    routes.insert(route.into(), stats);
}
