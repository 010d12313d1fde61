//! What a target's prefix cache holds, as far as its cache events tell.
//!
//! Events arrive late and with gaps. A missing event may have been a removal, so a gap halves the
//! trust in everything learned before it, and entries that nothing confirms expire.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

/// A hash of the prompt from its start to the end of a block. The hash of a longer prefix covers
/// all blocks before it.
pub type Prefix = u64;

/// Entries kept for each target.
const MAX_ENTRIES: usize = 4_096;
/// An entry that no event confirmed for this long is dropped.
const EXPIRY: Duration = Duration::from_secs(120);
/// Factor on the trust in older entries after a gap.
const GAP_TRUST: f64 = 0.5;
/// Entries with less trust than this are dropped.
const LEAST_TRUST: f64 = 0.3;

/// A change of a target's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheEvent {
    /// Position in the target's sequence of events, starting at 0 with each incarnation.
    pub sequence: u64,
    /// What changed.
    pub change: CacheChange,
}

/// Kind of a [`CacheEvent`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// The cache now holds the prefix.
    Stored(Prefix),
    /// The cache no longer holds the prefix.
    Removed(Prefix),
    /// The cache was emptied.
    Cleared,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    confirmed: Instant,
    /// Gaps seen before the entry was confirmed.
    epoch: u32,
}

/// The known content of one target's prefix cache.
#[derive(Debug, Default)]
pub(super) struct Map {
    entries: HashMap<Prefix, Entry>,
    order: VecDeque<(Prefix, Instant)>,
    next: u64,
    epoch: u32,
}

impl Map {
    pub(super) fn apply(&mut self, event: CacheEvent, now: Instant) {
        if event.sequence < self.next {
            return;
        }
        if event.sequence > self.next {
            self.epoch += 1;
        }
        self.next = event.sequence + 1;
        match event.change {
            CacheChange::Stored(prefix) => self.store(prefix, now),
            CacheChange::Removed(prefix) => {
                self.entries.remove(&prefix);
            }
            CacheChange::Cleared => self.entries.clear(),
        }
        self.expire(now);
    }

    /// Forgets everything, for a new incarnation whose sequence starts again.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Drops entries that are too old or too doubtful.
    pub(super) fn expire(&mut self, now: Instant) {
        while let Some(&(prefix, stored)) = self.order.front() {
            let current = self
                .entries
                .get(&prefix)
                .filter(|entry| entry.confirmed == stored);
            let keep = current.is_some_and(|entry| self.trust(entry, now) >= LEAST_TRUST);
            if keep && self.entries.len() <= MAX_ENTRIES {
                break;
            }
            if current.is_some() {
                self.entries.remove(&prefix);
            }
            self.order.pop_front();
        }
    }

    /// The share of the blocks that the cache probably holds, from 0 to 1, weighted by trust.
    /// `prefixes` are ordered from short to long.
    pub(super) fn overlap(&self, prefixes: &[Prefix], now: Instant) -> f64 {
        let found = prefixes.iter().enumerate().rev().find_map(|(at, prefix)| {
            let entry = self.entries.get(prefix)?;
            Some((at + 1, self.trust(entry, now)))
        });
        found.map_or(0.0, |(blocks, trust)| {
            if trust < LEAST_TRUST {
                return 0.0;
            }
            trust * blocks as f64 / prefixes.len() as f64
        })
    }

    fn store(&mut self, prefix: Prefix, now: Instant) {
        let entry = Entry {
            confirmed: now,
            epoch: self.epoch,
        };
        self.entries.insert(prefix, entry);
        self.order.push_back((prefix, now));
    }

    fn trust(&self, entry: &Entry, now: Instant) -> f64 {
        if now.saturating_duration_since(entry.confirmed) > EXPIRY {
            return 0.0;
        }
        GAP_TRUST.powi((self.epoch - entry.epoch).min(16) as i32)
    }
}
