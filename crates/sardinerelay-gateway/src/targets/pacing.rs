//! Which cold targets may get a request now. See `docs/design/cold-targets.md`.

use {
    super::{State, Targets},
    crate::{allocator::Scope, observations::Instance, table},
    compact_str::CompactString,
    sardinerelay::{
        id::{Incarnation, Service, Target},
        pacing::{Shares, Tolerance},
    },
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Longest time for which a target's own statement lets it count as cold, for services that state none.
const MAX_STATED_COLD: Duration = Duration::from_secs(120);

/// What bounds the requests to cold targets.
#[derive(Debug, Default)]
pub struct Pacing {
    /// This host's name.
    pub host: CompactString,
    /// How far beyond their rate cold targets may be loaded.
    pub tolerance: Tolerance,
    services: HashMap<Service, PacedService>,
}

/// A service that states how many requests a cold target can handle.
#[derive(Debug, Clone, Copy)]
struct PacedService {
    bound: u32,
    shares: Shares,
    is_engine: bool,
    /// Longest time for which a target says that it is cold.
    max_cold: Duration,
}

/// A target that turned a request away because another one was meant.
pub type Misdirected = (Target, Incarnation);

impl Targets {
    /// Sets which services state a rate for cold targets, from the configuration in force.
    pub fn set_paced_services(&mut self, services: &[table::Service]) {
        let hosts = self.sharing_hosts();
        let tolerance = self.pacing.tolerance;
        let paced = services.iter().filter_map(|service| {
            let bound = tolerance.bound(service.cold_rate?);
            let paced = PacedService {
                bound,
                shares: Shares::new(bound, hosts),
                is_engine: service.engine.is_some(),
                max_cold: service.cold_start.unwrap_or(MAX_STATED_COLD),
            };
            Some((service.name.clone(), paced))
        });
        self.pacing.services = paced.collect();
    }

    /// Divides the bounds again after the number of hosts has changed.
    pub(super) fn divide_bounds(&mut self) {
        let hosts = self.sharing_hosts();
        for paced in self.pacing.services.values_mut() {
            paced.shares = Shares::new(paced.bound, hosts);
        }
    }

    /// Returns the largest number of requests in a second that a host with this scope may send to the target;
    /// none if it is unlimited. The allocating host paces engines at all times, since one may have become cold
    /// without the list having said so.
    fn cold_bound(&self, state: &State, scope: Scope, now: Instant) -> Option<u32> {
        let paced = self.pacing.services.get(&state.instance.service)?;
        let is_precaution = paced.is_engine && scope == Scope::Group;
        if !state.is_cold(now) && !is_precaution {
            return None;
        }
        Some(self.bound_share(state, paced, scope))
    }

    fn bound_share(&self, state: &State, paced: &PacedService, scope: Scope) -> u32 {
        let Instance {
            target,
            incarnation,
            ..
        } = &state.instance;
        match scope {
            Scope::Group => paced.shares.group,
            Scope::Local => {
                let host = self.pacing.host.as_str();
                u32::from(paced.shares.is_chosen(host, target, *incarnation))
            }
        }
    }

    /// Whether a host with this scope may send a request to the target now, as far as it is cold.
    pub fn is_within_cold_bound(&self, state: &State, scope: Scope, now: Instant) -> bool {
        self.cold_bound(state, scope, now)
            .is_none_or(|bound| state.recent_requests.has_room(bound, now))
    }

    /// Whether the target is cold, and its service states how many requests it can handle.
    pub fn is_paced(&self, state: &State, now: Instant) -> bool {
        state.is_cold(now) && self.pacing.services.contains_key(&state.instance.service)
    }

    /// Counts a request to a target that is cold, or that the asking host knows to be cold.
    ///
    /// # Errors
    ///
    /// Returns the time after which there may be room.
    pub(crate) fn try_count_request(
        &mut self,
        target: &str,
        (scope, is_known_cold): (Scope, bool),
        now: Instant,
    ) -> Result<(), Duration> {
        let Some(state) = self.states.get(target) else {
            return Ok(());
        };
        let paced = self.pacing.services.get(&state.instance.service);
        let Some(paced) = paced.filter(|_| is_known_cold || state.is_cold(now)) else {
            return Ok(());
        };
        let bound = self.bound_share(state, paced, scope);
        if !state.recent_requests.has_room(bound, now) {
            return Err(state.recent_requests.wait(bound, now));
        }
        self.count_request(target, now);
        Ok(())
    }

    /// Counts a request that is sent to a target of a paced service.
    pub(crate) fn count_request(&mut self, target: &str, now: Instant) {
        if let Some(state) = self.states.get_mut(target)
            && self.pacing.services.contains_key(&state.instance.service)
        {
            state.recent_requests.charge(now);
        }
    }

    /// Gives a request back that a target didn't get.
    pub fn give_back(&mut self, (target, incarnation): &Misdirected, now: Instant) {
        let state = self.states.get_mut(target);
        if let Some(state) = state.filter(|state| state.instance.incarnation == *incarnation) {
            state.recent_requests.give_back(now);
        }
    }

    /// Gives a request back that an engine didn't get, in whichever incarnation it is.
    pub(crate) fn give_back_any(&mut self, target: &str, now: Instant) {
        if let Some(state) = self.states.get_mut(target) {
            state.recent_requests.give_back(now);
        }
    }

    /// Records that a target says that it is cold for this long.
    pub fn record_cold(&mut self, target: &str, left: Duration, now: Instant) {
        let Some(state) = self.states.get_mut(target) else {
            return;
        };
        let paced = self.pacing.services.get(&state.instance.service);
        let max = paced.map_or(MAX_STATED_COLD, |paced| paced.max_cold);
        state.stated_cold_until = state.stated_cold_until.max(Some(now + left.min(max)));
    }
}
