//! Weights of organisations, and running requests that a host takes over when it begins to allocate.

use {
    super::Allocator,
    crate::group::RunningRequest,
    sardinerelay::id::Organisation,
    std::{collections::HashMap, time::Instant},
};

impl Allocator {
    /// Sets the weights of organisations. The weight of others is 1.
    pub fn set_weights(&self, weights: &HashMap<Organisation, f64>) {
        self.state().queue.set_weights(weights.clone());
    }

    /// Charges organisations for running requests that another host placed.
    pub fn adopt_running(&self, reports: &[RunningRequest]) {
        let now = Instant::now();
        let mut state = self.state();
        for report in reports {
            state.queue.adopt(report, now);
        }
    }
}
