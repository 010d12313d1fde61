//! How fast targets are, from the requests that they have served.

use {
    super::Targets,
    crate::pace::Pace,
    sardinerelay::{estimate::Typical, id::Service},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Relative growth of an engine's time for a token from idle to full, which is assumed when paces at
/// different occupancies are compared.
const FULL_SLOWDOWN: f64 = 0.5;
/// Largest number of services whose typical rate is kept.
const MAX_SERVICES: usize = 1_024;

/// How evenly the usable targets of a service are loaded, and how their speeds differ.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Balance {
    /// Expected work of the busiest target as a multiple of the mean; 1 if none has work.
    pub spread: f64,
    /// Speed of the slowest target.
    pub slowest: f64,
    /// Speed of the fastest target.
    pub fastest: f64,
}

impl Targets {
    /// Returns the balance of each service. It walks all targets, so it is for metrics only.
    pub fn balances(&self, now: Instant) -> BTreeMap<Service, Balance> {
        let mut targets: BTreeMap<Service, Vec<(f64, f64)>> = BTreeMap::new();
        let usable = self
            .states
            .values()
            .filter(|state| self.is_usable(state, now));
        for state in usable {
            let service = &state.instance.service;
            let speed = state.speed.relative(&self.typical_rate(service), now);
            let work = match state.load {
                Some(_) => state.committed_tokens(0, now) as f64,
                None => state.claims.len() as f64,
            };
            let of_service = targets.entry(service.clone()).or_default();
            of_service.push((work / speed, speed));
        }
        let balances = targets
            .into_iter()
            .map(|(service, targets)| (service, balance(&targets)));
        balances.collect()
    }

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

/// Returns the balance of targets with this expected work and speed.
fn balance(targets: &[(f64, f64)]) -> Balance {
    let mean = targets.iter().map(|(work, _)| work).sum::<f64>() / targets.len() as f64;
    let busiest = targets.iter().map(|(work, _)| *work).fold(0.0, f64::max);
    let speeds = || targets.iter().map(|(_, speed)| *speed);
    Balance {
        spread: if mean > 0.0 { busiest / mean } else { 1.0 },
        slowest: speeds().fold(f64::INFINITY, f64::min),
        fastest: speeds().fold(0.0, f64::max),
    }
}

/// Returns the factor by which a token takes longer on an engine of this occupancy than on an idle
/// one.
pub fn slowdown(occupancy: f64) -> f64 {
    1.0 + FULL_SLOWDOWN * occupancy
}
