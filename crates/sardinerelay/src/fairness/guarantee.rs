//! The share that less urgent priorities have while they wait.

use {super::Cost, std::collections::BTreeMap};

/// Largest cost that a priority may be owed, in token-seconds. It covers the largest generations
/// that engines can run, and a priority that found no room for long gets no burst from it.
const MAX_OWED: f64 = 200_000.0;

/// What less urgent priorities are owed while more urgent ones are placed.
#[derive(Debug, Default)]
pub struct Guarantee {
    owed: BTreeMap<u8, f64>,
}

impl Guarantee {
    /// Share of the cost of more urgent placements that less urgent priorities may place too.
    pub const SHARE: f64 = 0.1;

    /// Records a placement. `waiting` are the priorities of waiting requests; the less urgent ones
    /// share a part of the cost equally. A priority that doesn't wait is owed nothing.
    pub fn record(&mut self, priority: u8, cost: Cost, waiting: &[u8]) {
        self.owed.retain(|owed, _| waiting.contains(owed));
        if let Some(owed) = self.owed.get_mut(&priority) {
            *owed = (*owed - cost.0).max(0.0);
        }
        let less_urgent = waiting.iter().filter(|waiting| **waiting > priority);
        let count = less_urgent.clone().count().max(1) as f64;
        for waiting in less_urgent {
            let owed = self.owed.entry(*waiting).or_default();
            *owed = (*owed + cost.0 * Self::SHARE / count).min(MAX_OWED);
        }
    }

    /// Whether a priority is owed a request of this cost.
    pub fn covers(&self, priority: u8, cost: Cost) -> bool {
        let owed = self.owed.get(&priority).copied().unwrap_or_default();
        owed > 0.0 && owed >= cost.0.min(MAX_OWED)
    }
}
