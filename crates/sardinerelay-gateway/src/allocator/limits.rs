//! Permits for targets that state a rate limit, and what the allocating host learns of limits.

use {
    super::Allocator,
    crate::{
        limit::{Described, Rate, Statement, permit},
        observations::Instance,
    },
    log::info,
    sardinerelay::id::Target,
    std::time::Instant,
};

impl Allocator {
    /// Records what an engine's load report states about its rate limit.
    pub fn record_limit(&self, engine: &Instance, statement: Statement, sent: Instant) {
        let now = Instant::now();
        let mut state = self.state();
        let known = state.targets.get_mut(&engine.target);
        let Some(known) = known.filter(|known| known.instance.incarnation == engine.incarnation)
        else {
            return;
        };
        let before = known.limit.rate();
        if known.limit.record(statement, sent, now) {
            log_limit(&engine.target, before, known.limit.rate());
            self.decide(&mut state, now);
        }
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

/// Logs that a target states another rate limit than before.
pub fn log_limit(target: &Target, before: Option<Rate>, rate: Option<Rate>) {
    info!(
        target_id = target.as_str(), limit:% = Described(rate), before:% = Described(before);
        "a target states another rate limit"
    );
}
