//! The times at which refused callers are asked to retry.
//!
//! Each refused request of an organisation gets a later time than the one before, at the rate at
//! which the organisation's share of memory becomes free. Refusals of one organisation don't delay
//! the times of others. A caller can't be recognised beyond its organisation, so a request that
//! comes at or after such a time takes the place of the oldest refused one, whichever caller sent
//! it.

use {
    crate::placement::MIN_RETRY_AFTER,
    sardinerelay::id::Organisation,
    std::{
        collections::{HashMap, VecDeque},
        time::{Duration, Instant},
    },
};

/// Longest time after which a refused caller is asked to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(8);
/// Time after its slot within which a retry still takes the place of the refused request.
const SLOT_LIFETIME: Duration = Duration::from_secs(2);
/// Largest number of organisations and priorities with slots. Others get times, but no places.
const MAX_FLOWS: usize = 1_024;
/// Largest number of slots of one organisation and priority.
const MAX_SLOTS: usize = 64;

/// The slots of one service.
#[derive(Debug, Default)]
pub(super) struct Slots {
    flows: HashMap<(u8, Organisation), Flow>,
}

/// The slots of one organisation and priority.
#[derive(Debug)]
struct Flow {
    /// Earliest time of the next slot.
    next: Instant,
    slots: VecDeque<Slot>,
}

/// A time at which a refused caller was asked to retry.
#[derive(Debug, Clone, Copy)]
struct Slot {
    at: Instant,
    refused: Instant,
}

impl Slots {
    /// Returns the time after which the caller of a refused request should retry. `expected` is the
    /// time at which room for it is expected, `per_request` the time in which room for one more
    /// like it becomes free.
    pub(super) fn assign(
        &mut self,
        flow: (u8, &Organisation),
        (expected, per_request): (Duration, Duration),
        now: Instant,
    ) -> Duration {
        self.expire(now);
        let earliest = now + expected.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        let key = (flow.0, flow.1.clone());
        let is_known = self.flows.contains_key(&key);
        if !is_known && self.flows.len() >= MAX_FLOWS {
            return earliest - now;
        }
        // The organisations that were refused share the room.
        let interval = per_request * (self.flows.len() + usize::from(!is_known)) as u32;
        let flow = self.flows.entry(key).or_insert_with(|| Flow {
            next: earliest,
            slots: VecDeque::new(),
        });
        let mut at = flow.next.max(earliest);
        if at > now + MAX_RETRY_AFTER {
            at = earliest;
        }
        flow.next = at + interval.min(MAX_RETRY_AFTER);
        if flow.slots.len() < MAX_SLOTS {
            flow.slots.push_back(Slot { at, refused: now });
        }
        at - now
    }

    /// Returns when the request was refused whose place a new one takes. `None` if no slot of its
    /// organisation and priority is due.
    pub(super) fn redeem(&mut self, flow: (u8, &Organisation), now: Instant) -> Option<Instant> {
        let flow = self.flows.get_mut(&(flow.0, flow.1.clone()))?;
        let due = flow.slots.iter().position(|slot| {
            slot.at <= now && now.saturating_duration_since(slot.at) <= SLOT_LIFETIME
        })?;
        flow.slots.remove(due).map(|slot| slot.refused)
    }

    /// Forgets slots that were not used.
    fn expire(&mut self, now: Instant) {
        let is_open = |slot: &Slot| now.saturating_duration_since(slot.at) <= SLOT_LIFETIME;
        self.flows.retain(|_, flow| {
            flow.slots.retain(is_open);
            !flow.slots.is_empty()
        });
    }
}
