//! Permits for targets that state a rate limit, and what the allocating host learns of limits.

use {
    super::Allocator,
    crate::{limit::permit, observations::Instance, statement, table},
    std::time::Instant,
};

impl Allocator {
    /// Records what an engine's load report states of the engine itself.
    pub fn record_statement(
        &self,
        engine: &Instance,
        statement: &statement::Statement,
        sent: Instant,
    ) {
        let now = Instant::now();
        let mut state = self.state();
        let known = state.targets.get(&engine.target);
        if known.is_none_or(|known| known.instance.incarnation != engine.incarnation) {
            return;
        }
        let target = &engine.target;
        if let Some(left) = statement.cold {
            state.targets.record_cold(target, left, now);
        }
        let change = state
            .targets
            .record_limit(target, statement.limit, sent, now);
        if change.is_some() {
            self.decide(&mut state, now);
        }
    }

    /// Sets which services state how many requests a cold target can handle.
    pub fn set_services(&self, services: &[table::Service]) {
        self.state().targets.set_paced_services(services);
    }

    /// Grants a permit to send a call to a target that states a rate limit.
    pub fn grant(&self, request: &permit::Request) -> permit::Reply {
        let mut state = self.state();
        state.targets.grant(request, self.scope, Instant::now())
    }

    /// Records another host's report that a target has stated another rate limit.
    pub fn apply_limit(&self, change: &permit::Change) {
        self.state().targets.apply_limit(change, Instant::now());
        self.changed.notify_one();
    }
}
