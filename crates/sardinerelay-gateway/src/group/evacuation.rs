//! Orders of operators that no attempt goes to the targets of an availability zone.
//!
//! The orders are part of the replicated register. See `docs/design/evacuation.md`.

use {
    super::Handle,
    crate::{allocator::Allocator, metrics::Metrics},
    sardinerelay::id::Zone,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// Largest number of zones for which orders are kept. Operators can name only zones that the
/// settings list, so more are an error.
const MAX_ZONES: usize = 256;
/// First bytes of a stored order. They are no valid length, so a replica of an earlier version can't
/// decode an order as exclusions and ignores it.
const STORED_PREFIX: [u8; 10] = [0xff; 10];

/// Number of an order. Each order that takes effect gets a higher one than all before.
pub type Revision = u64;

/// The last order for a zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneOrder {
    /// Whether no attempt may go to the targets of the zone.
    pub is_evacuated: bool,
    /// Revision at which the order took effect.
    pub revision: Revision,
}

/// The last order for each zone that ever had one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Highest revision of all orders, 0 if there are none.
    pub revision: Revision,
    /// Zones whose evacuation has ended keep their entry, because their revision is still needed.
    pub zones: BTreeMap<Zone, ZoneOrder>,
}

/// An order that evacuates a zone, or ends its evacuation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    pub zone: Zone,
    pub is_evacuated: bool,
    /// The zone's revision when the operator's request was received. If another order has taken effect
    /// since, this one is out of date.
    pub base: Revision,
}

impl Evacuations {
    /// Whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|order| order.is_evacuated)
    }

    /// Iterates over the evacuated zones.
    pub fn evacuated(&self) -> impl Iterator<Item = &Zone> {
        let orders = self.zones.iter().filter(|(_, order)| order.is_evacuated);
        orders.map(|(zone, _)| zone)
    }

    /// Returns the revision of the last order for a zone, 0 if it never had one.
    pub fn revision_of(&self, zone: &str) -> Revision {
        self.zones.get(zone).map_or(0, |order| order.revision)
    }

    /// Applies an order, unless it is out of date.
    ///
    /// An order for the state that the zone is already in gets a revision too. Otherwise an earlier order
    /// that was delayed could still take effect after the later one was acknowledged.
    pub fn apply(&mut self, order: &Order) {
        let is_new = !self.zones.contains_key(&order.zone);
        let is_current = self.revision_of(&order.zone) == order.base;
        if is_current && !(is_new && self.zones.len() >= MAX_ZONES) {
            self.revision += 1;
            let applied = ZoneOrder {
                is_evacuated: order.is_evacuated,
                revision: self.revision,
            };
            self.zones.insert(order.zone.clone(), applied);
        }
    }

    /// Returns the revision of a zone if it is in the state that is ordered, 0 if it isn't.
    pub fn revision_in_force(&self, order: &Order) -> Revision {
        let known = self.zones.get(&order.zone);
        let known = known.filter(|known| known.is_evacuated == order.is_evacuated);
        known.map_or(0, |known| known.revision)
    }
}

impl Order {
    /// Encodes the order as the body of a stored document.
    pub(super) fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_extend(self, STORED_PREFIX.to_vec())
    }

    /// Decodes the body of a stored document, none if it isn't an order.
    pub(super) fn decode(body: &[u8]) -> Option<Result<Self, postcard::Error>> {
        let order = body.strip_prefix(&STORED_PREFIX)?;
        Some(postcard::from_bytes(order))
    }
}

/// Lets the allocator of this host obey the orders. Ends when the replica's driver has ended.
pub(super) async fn run(handle: Handle, allocator: Arc<Allocator>, metrics: Arc<Metrics>) {
    let mut evacuations = handle.evacuations;
    loop {
        let known = evacuations.borrow_and_update().clone();
        if let Some(known) = known {
            metrics.record_evacuations(&known);
            allocator.set_evacuations(&known);
        }
        if evacuations.changed().await.is_err() {
            return;
        }
    }
}
