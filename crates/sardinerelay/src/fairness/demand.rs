//! The memory that arriving requests need, by priority.

use {
    super::{Cost, expected_duration},
    std::{collections::BTreeMap, time::Instant},
};

/// Time constant of the moving averages, in seconds. It is about the time in which a long generation
/// frees its memory.
const WINDOW_SECONDS: f64 = 4.0;
/// Memory that is left for urgent requests, as a multiple of what they hold on average. Long
/// generations that end free memory too, and each part that is left costs the place of a long one.
const MARGIN: f64 = 0.3;
/// Demand below which no memory is left, in tokens. It is what remains of a single request after
/// some time constants.
const MIN_DEMAND_TOKENS: f64 = 16.0;

/// Moving averages of the demand of each priority.
#[derive(Debug, Default)]
pub struct Demand {
    priorities: BTreeMap<u8, Arrivals>,
}

/// Memory that is to be left free for more urgent requests, in sum over the engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Headroom {
    /// Tokens to leave free.
    pub tokens: u64,
    /// Tokens that one request needs on its engine. Less than that is of no use.
    pub unit: u64,
}

/// Moving averages of arrivals, per second.
#[derive(Debug)]
struct Arrivals {
    /// Token-seconds, which is the memory that they hold on average.
    cost: f64,
    tokens: f64,
    requests: f64,
    updated: Instant,
}

impl Demand {
    /// Records the arrival of a request.
    pub fn record(&mut self, priority: u8, (prompt, output): (u64, u64), now: Instant) {
        let arrivals = self.priorities.entry(priority).or_insert(Arrivals {
            cost: 0.0,
            tokens: 0.0,
            requests: 0.0,
            updated: now,
        });
        let decay = arrivals.decay(now);
        let tokens = (prompt + output) as f64;
        let add = |average: &mut f64, sample: f64| {
            *average = *average * decay + sample / WINDOW_SECONDS;
        };
        let seconds = expected_duration(prompt, output).as_secs_f64();
        add(&mut arrivals.cost, tokens * seconds);
        add(&mut arrivals.tokens, tokens);
        add(&mut arrivals.requests, 1.0);
        arrivals.updated = now;
    }

    /// Returns the memory to leave for requests that are more urgent than `priority`, `None` if
    /// there were none lately.
    pub fn headroom(&self, priority: u8, now: Instant) -> Option<Headroom> {
        let mut held = Cost::default();
        let mut unit = 0.0_f64;
        for arrivals in self.priorities.range(..priority).map(|(_, found)| found) {
            let cost = arrivals.cost * arrivals.decay(now);
            if cost >= MIN_DEMAND_TOKENS {
                held.0 += cost;
                unit = unit.max(arrivals.tokens / arrivals.requests);
            }
        }
        (unit > 0.0).then(|| Headroom {
            tokens: (held.0 * MARGIN).max(unit) as u64,
            unit: unit.ceil() as u64,
        })
    }
}

impl Arrivals {
    /// Returns the factor by which the averages have decayed since the last arrival.
    fn decay(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated);
        (-age.as_secs_f64() / WINDOW_SECONDS).exp()
    }
}

impl Headroom {
    /// Returns how much of an engine's free memory counts. What exceeds `max_units` requests does
    /// not, so that room is spread over the engines.
    pub fn usable(&self, free: u64, max_units: u64) -> u64 {
        (free / self.unit.max(1)).min(max_units) * self.unit
    }
}
