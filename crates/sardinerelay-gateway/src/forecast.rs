//! How long a generation will be, for the memory that it needs.
//!
//! Lengths are spread over orders of magnitude, so the estimate is made in logarithms: what a
//! route's generations were so far, and the caller's hint, each weighted by how little it
//! scatters. The caller's limit is only a cap.

use std::collections::HashMap;

/// Scatter of a hint around the truth, as the standard deviation of the logarithm. Callers' hints
/// are right at the median and often off by a factor of three.
const HINT_DEVIATION: f64 = 1.2;
/// Scatter that is assumed before lengths were seen.
const FIRST_DEVIATION: f64 = 1.0;
/// Share of the caller's limit that is assumed before lengths were seen.
const FIRST_SHARE: f64 = 0.35;
/// Weight of a new length in the running mean.
const WEIGHT: f64 = 0.04;

#[derive(Debug, Clone, Copy)]
struct Seen {
    mean: f64,
    variance: f64,
}

/// Lengths by route.
#[derive(Debug, Default)]
pub struct Forecast {
    routes: HashMap<compact_str::CompactString, Seen>,
}

impl Forecast {
    /// Tokens of output that a generation probably doesn't exceed: the estimate plus `margin`
    /// standard deviations.
    pub fn output_tokens(&self, route: &str, most: u64, hint: Option<u64>, margin: f64) -> u64 {
        let seen = self.routes.get(route);
        let (mean, variance) = match seen {
            Some(seen) => (seen.mean, seen.variance),
            None => {
                let first = (most as f64 * FIRST_SHARE).max(1.0);
                (first.ln(), FIRST_DEVIATION.powi(2))
            }
        };
        let (mean, variance) = match hint.filter(|hint| *hint > 0) {
            None => (mean, variance),
            Some(hint) => {
                let noise = HINT_DEVIATION.powi(2);
                let weight = variance / (variance + noise);
                let combined = mean + weight * ((hint as f64).ln() - mean);
                (combined, variance * (1.0 - weight))
            }
        };
        let tokens = (mean + margin * variance.sqrt()).exp();
        (tokens as u64).clamp(1, most.max(1))
    }

    /// Learns from a generation that ended by itself.
    pub fn record_length(&mut self, route: &str, tokens: u64) {
        let value = (tokens.max(1) as f64).ln();
        let Some(seen) = self.routes.get_mut(route) else {
            let variance = FIRST_DEVIATION.powi(2);
            let seen = Seen {
                mean: value,
                variance,
            };
            self.routes.insert(route.into(), seen);
            return;
        };
        let off = value - seen.mean;
        seen.mean += WEIGHT * off;
        seen.variance = (1.0 - WEIGHT) * (seen.variance + WEIGHT * off * off);
    }
}
