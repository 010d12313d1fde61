//! Obeys operators' orders that no attempt goes to the targets of a zone.

use {
    super::EntryHost,
    crate::{
        group::evacuation::{Evacuations, Revision},
        observations::Instance,
    },
};

impl EntryHost {
    /// Obeys these orders unless newer ones are known.
    pub fn adopt_evacuations(&self, evacuations: &Evacuations) {
        self.allocator.set_evacuations(evacuations);
        let state = self.state();
        let known = state.targets.evacuations();
        self.metrics.record_evacuations(known);
        let revision = known.revision;
        drop(state);
        self.evacuations
            .send_if_modified(|known| known.replace(revision) != Some(revision));
    }

    /// Returns the highest revision of the orders that this host knows, none if it knows none yet.
    pub fn known_evacuations(&self) -> Option<Revision> {
        *self.evacuations.borrow()
    }

    /// Waits until this host has learned the orders for the first time. Until then it must send nothing to
    /// targets.
    pub async fn learn_evacuations(&self) {
        let mut evacuations = self.evacuations.subscribe();
        // The sender is part of this host and isn't dropped before.
        let _ = evacuations.wait_for(Option::is_some).await;
    }

    /// Returns what the platform lists for a target that may get a request of a caller, none if it isn't listed
    /// or its zone is evacuated. Each send asks, because the zone may have been evacuated after the target was
    /// chosen.
    pub fn sendable_instance(&self, target: &str) -> Option<Instance> {
        let state = self.state();
        let known = state.targets.get(target)?;
        (!state.targets.is_evacuated(known)).then(|| known.instance.clone())
    }
}
