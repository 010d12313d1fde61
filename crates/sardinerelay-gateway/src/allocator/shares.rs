//! Running requests that a host takes over when it begins to allocate.

use {super::Allocator, crate::group::ShareReport, std::time::Instant};

impl Allocator {
    /// Charges organisations for running requests that another host placed.
    pub fn adopt_shares(&self, reports: &[ShareReport]) {
        let now = Instant::now();
        let mut state = self.state();
        for report in reports {
            state.queue.adopt(report, now);
        }
    }
}
