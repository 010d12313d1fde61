//! Zones whose targets get no attempts by order of an operator, and what is presumed of their targets
//! afterwards.

use {
    super::{State, Targets},
    crate::group::evacuation::{Evacuations, ZoneOrder},
    sardinerelay::id::Zone,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Time after the end of an evacuation from which a list is believed that was read then. The list lags by up to
/// 0.8 s, and the end becomes known to hosts some time after the operator's order.
const LIST_DISTRUST_DURATION: Duration = Duration::from_secs(2);

/// The orders that a host obeys.
#[derive(Debug, Default)]
pub(super) struct Orders {
    evacuations: Evacuations,
    /// Zones whose evacuation has ended and whose targets are presumed cold, and when the host learned of
    /// the end.
    restored: BTreeMap<Zone, Instant>,
}

impl Orders {
    /// Whether the targets of a zone are presumed cold.
    pub(super) fn is_presumed_cold(&self, zone: &str) -> bool {
        self.restored.contains_key(zone)
    }

    /// Ends the presumptions that a list makes needless which was not read before `read`.
    pub(super) fn record_list(&mut self, read: Instant) {
        self.restored
            .retain(|_, at| read < *at + LIST_DISTRUST_DURATION);
    }
}

impl Targets {
    /// Obeys these orders unless newer ones are known. Returns the orders that are new to this host.
    ///
    /// The targets of a zone whose evacuation has ended are presumed cold, as are those of each zone that a
    /// host which has just started learns to have been evacuated once: it doesn't know when that ended.
    pub fn set_evacuations(
        &mut self,
        evacuations: &Evacuations,
        now: Instant,
    ) -> Vec<(Zone, ZoneOrder)> {
        let known = &self.orders.evacuations;
        if evacuations.revision <= known.revision {
            return Vec::new();
        }
        let is_new = |(zone, order): &(&Zone, &ZoneOrder)| known.zones.get(*zone) != Some(order);
        let new = evacuations.zones.iter().filter(is_new);
        let new: Vec<(Zone, ZoneOrder)> = new.map(|(zone, order)| (zone.clone(), *order)).collect();
        for (zone, order) in &new {
            match order.is_evacuated {
                true => self.orders.restored.remove(zone),
                false => self.orders.restored.insert(zone.clone(), now),
            };
        }
        self.orders.evacuations = evacuations.clone();
        for state in self.states.values_mut() {
            state.is_presumed_cold = self.orders.is_presumed_cold(&state.instance.zone);
        }
        new
    }

    /// Returns the orders that this host obeys.
    pub fn evacuations(&self) -> &Evacuations {
        &self.orders.evacuations
    }

    /// Whether a target lies in an evacuated zone.
    pub fn is_evacuated(&self, state: &State) -> bool {
        self.orders.evacuations.is_evacuated(&state.instance.zone)
    }

    /// Whether a target neither leaves nor lies in an evacuated zone.
    pub fn is_staying(&self, state: &State, now: Instant) -> bool {
        !self.is_evacuated(state) && state.leaving_since(now).is_none()
    }

    /// Whether all targets of a service that don't leave lie in evacuated zones, so that no request to it has a
    /// chance. Returns false if none is known.
    pub fn is_service_evacuated(&self, service: &str, now: Instant) -> bool {
        if self.orders.evacuations.evacuated().next().is_none() {
            return false;
        }
        let targets = self.of_service(service);
        let targets = targets.filter(|state| state.leaving_since(now).is_none());
        let mut targets = targets.peekable();
        targets.peek().is_some() && targets.all(|state| self.is_evacuated(state))
    }

    /// Whether a target is known and lies in an evacuated zone.
    pub fn is_target_evacuated(&self, target: &str) -> bool {
        self.get(target)
            .is_some_and(|state| self.is_evacuated(state))
    }
}
