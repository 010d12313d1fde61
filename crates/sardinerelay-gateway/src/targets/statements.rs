//! What targets have said of themselves to this host, apart from their limits.

use {
    super::Targets,
    std::time::{Duration, Instant},
};

impl Targets {
    /// Records that a target has said to this host that it is about to stop, for as long as this
    /// incarnation of it lasts. Returns whether it had not said so before.
    pub fn mark_leaving(&mut self, target: &str, now: Instant) -> bool {
        let Some(state) = self.states.get_mut(target) else {
            return false;
        };
        state.known_leaving_since.get_or_insert(now);
        let key = (target.into(), state.instance.incarnation);
        self.left_incarnations.insert(key, now);
        !std::mem::replace(&mut state.has_said_to_leave, true)
    }

    /// Records that a target wants no requests from this host for this long. Returns whether it had not
    /// said so before.
    pub fn record_rest(&mut self, target: &str, duration: Duration, now: Instant) -> bool {
        let Some(state) = self.states.get_mut(target) else {
            return false;
        };
        let was_resting = state.is_resting(now);
        state.rests_until = state.rests_until.max(Some(now + duration));
        !was_resting
    }

    /// Returns the time until the first target of a service takes work again, if those that could take it
    /// now all want no requests.
    pub fn rest_of_all(&self, service: &str, now: Instant) -> Option<Duration> {
        if self.usable(service, now).next().is_some() {
            return None;
        }
        let staying = self.of_service(service);
        let staying = staying.filter(|state| self.is_staying(state, now));
        let ends = staying.filter_map(|state| state.rests_until);
        let rests = ends.map(|end| end.saturating_duration_since(now));
        rests.filter(|rest| !rest.is_zero()).min()
    }
}
