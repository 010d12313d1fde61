//! How fast targets are, from the requests that they have served.

use {
    super::Targets,
    crate::pace::Pace,
    sardinerelay::{estimate::Typical, id::Service},
    std::time::{Duration, Instant},
};

/// Relative growth of an engine's time for a token from idle to full, which is assumed when paces at
/// different occupancies are compared.
const FULL_SLOWDOWN: f64 = 0.5;
/// Largest number of services whose typical rate is kept.
const MAX_SERVICES: usize = 1_024;

impl Targets {
    /// Records how fast an engine decoded a generation, with as many others as it has now.
    pub fn record_pace(&mut self, pace: &Pace, now: Instant) {
        let Some(state) = self.states.get_mut(&pace.target) else {
            return;
        };
        if state.instance.incarnation != pace.incarnation {
            return;
        }
        let rate = f64::from(pace.tokens_per_second) * slowdown(state.occupancy(0, now));
        state.speed.record(rate, now);
        let service = state.instance.service.clone();
        self.record_typical(service, rate);
    }

    /// Records how long a target of a plain service needed for a call.
    pub fn record_service_time(&mut self, target: &str, took: Duration, now: Instant) {
        let Some(state) = self.states.get_mut(target) else {
            return;
        };
        let rate = 1.0 / took.as_secs_f64();
        state.speed.record(rate, now);
        let service = state.instance.service.clone();
        self.record_typical(service, rate);
    }

    /// Returns the typical rate of a service's targets: for engines the tokens per second of one
    /// generation on an idle engine, for others calls per second.
    pub fn typical_rate(&self, service: &str) -> Typical {
        self.typical_rates.get(service).copied().unwrap_or_default()
    }

    fn record_typical(&mut self, service: Service, rate: f64) {
        if self.typical_rates.len() >= MAX_SERVICES && !self.typical_rates.contains_key(&service) {
            self.typical_rates.clear();
        }
        self.typical_rates.entry(service).or_default().record(rate);
    }
}

/// Returns the factor by which a token takes longer on an engine of this occupancy than on an idle
/// one.
pub fn slowdown(occupancy: f64) -> f64 {
    1.0 + FULL_SLOWDOWN * occupancy
}
