//! What an engine's score in a placement consists of. The lowest score is chosen.

use {
    super::{COLD_START_LOAD, FAILURE_LOAD, Need, OTHER_ZONE_LOAD},
    crate::targets::{State, slowdown},
    sardinerelay::{
        estimate::{Typical, choice::expected_delay},
        id::Zone,
    },
    serde::Serialize,
    std::time::{Duration, Instant},
};

/// Load added for each second until the prompt would be read.
const LOAD_PER_WAIT_SECOND: f64 = 2.0;
/// Load added for each second by which a generation would end later than on an idle engine of typical
/// speed. It holds its memory until then.
const LOAD_PER_FINISH_SECOND: f64 = 0.1;
/// Largest load that is added or subtracted for the time to finish. Fast engines are thereby filled
/// further, but slow ones get work before those are full.
const MAX_FINISH_LOAD: f64 = 0.4;

/// Assumed ratio of all requests on a plain target to this host's own, since a host doesn't see the
/// requests of others.
const HOST_LOAD_FACTOR: f64 = 3.0;
/// Delay added for a plain target in another availability zone than the host, as a multiple of that of
/// an idle target of typical speed.
const PLAIN_OTHER_ZONE_DELAY: f64 = 0.8;
/// Factor by which the delay of a plain target that fails all calls is raised. A failed call is sent
/// again, and its caller has waited for nothing.
const PLAIN_FAILURE_FACTOR: f64 = 10.0;

/// The terms of an engine's score. All are shares of its memory or count as such.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Terms {
    /// Memory that is expected to be used, this generation included.
    pub memory: f64,
    /// Time until its prompt would be read.
    pub reading: f64,
    /// Time by which it would end later or, if negative, earlier than is typical.
    pub finishing: f64,
    /// Recent failures.
    pub failures: f64,
    /// Another availability zone.
    pub zone: f64,
    /// Recent start.
    pub cold: f64,
    /// Rate limit that has been reached.
    pub limit: f64,
    /// Parts of the prompt that the engine has probably cached. Negative.
    pub cached: f64,
}

impl Terms {
    /// Returns the terms that don't depend on the generation's length.
    pub(super) fn of(state: &State, zone: &Zone, now: Instant) -> Self {
        Self {
            failures: FAILURE_LOAD * state.health.failure_rate(now),
            zone: f64::from(state.instance.zone != *zone) * OTHER_ZONE_LOAD,
            cold: f64::from(state.is_cold(now)) * COLD_START_LOAD,
            ..Self::default()
        }
    }

    /// Returns the sum of the terms.
    pub fn total(&self) -> f64 {
        self.memory
            + self.reading
            + self.finishing
            + self.failures
            + self.zone
            + self.cold
            + self.limit
            + self.cached
    }
}

/// Returns the load for the time until a prompt is read.
pub(super) fn reading(wait: Duration) -> f64 {
    LOAD_PER_WAIT_SECOND * wait.as_secs_f64()
}

/// Returns the load for the time in which the engine would decode the generation beside its present
/// ones; 0 while no engine's pace is known.
pub(super) fn finishing(state: &State, need: &Need, typical: &Typical, now: Instant) -> f64 {
    let Some(rate) = typical.rate() else {
        return 0.0;
    };
    let idle = need.output_tokens as f64 / rate;
    let factor = slowdown(state.occupancy(1, now)) / state.speed.relative(typical, now);
    (LOAD_PER_FINISH_SECOND * idle * (factor - 1.0)).clamp(-MAX_FINISH_LOAD, MAX_FINISH_LOAD)
}

/// Returns the expected delay of a call at a plain target, as a multiple of that at an idle one of
/// typical speed.
pub(super) fn plain(state: &State, zone: &Zone, typical: &Typical, now: Instant) -> f64 {
    let slots = f64::from(state.instance.slots.max(1));
    let occupancy = state.claims.len() as f64 / slots * HOST_LOAD_FACTOR;
    let delay = expected_delay(occupancy, state.speed.relative(typical, now))
        + f64::from(state.instance.zone != *zone) * PLAIN_OTHER_ZONE_DELAY
        + f64::from(state.is_cold(now)) * COLD_START_LOAD;
    delay * (1.0 + PLAIN_FAILURE_FACTOR * state.health.failure_rate(now))
}
