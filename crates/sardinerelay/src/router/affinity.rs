//! Content of a target's prefix cache, as known from its cache events.
//!
//! Events arrive late and with gaps. A missing event may have been a removal, so a gap halves the
//! trust in all entries stored before it, and entries that no event confirms expire.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

/// A hash of the prompt from its start to the end of a block. The hash of a longer prefix covers
/// all blocks before it.
pub type Prefix = u64;

/// Maximum number of entries that are kept for each target.
const MAX_ENTRIES: usize = 4_096;
/// Time after which an entry is dropped unless an event confirms it again.
const ENTRY_LIFETIME: Duration = Duration::from_secs(120);
/// Factor by which each gap lowers the trust in older entries.
const GAP_TRUST_FACTOR: f64 = 0.5;
/// Trust below which an entry is dropped.
const MIN_TRUST: f64 = 0.3;

/// A change of a target's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheEvent {
    /// Position in the target's sequence of events, starting at 0 with each incarnation.
    pub sequence: u64,
    /// Whether a prefix was stored or removed, or the cache was emptied.
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

/// A prefix that the cache holds, as far as is known.
#[derive(Debug, Clone, Copy)]
struct Entry {
    confirmed_at: Instant,
    /// Number of gaps in the events before the entry was confirmed.
    epoch: u32,
}

/// The known content of one target's prefix cache.
#[derive(Debug, Default)]
pub(super) struct PrefixIndex {
    entries: HashMap<Prefix, Entry>,
    /// Confirmations of entries, oldest first. Those of entries that were removed or confirmed
    /// again since are skipped.
    confirmations: VecDeque<(Prefix, Instant)>,
    /// Sequence of the next event if none is missing.
    next_sequence: u64,
    /// Number of gaps in the events so far.
    epoch: u32,
}

impl PrefixIndex {
    pub(super) fn apply(&mut self, event: CacheEvent, now: Instant) {
        if event.sequence < self.next_sequence {
            return;
        }
        if event.sequence > self.next_sequence {
            self.epoch += 1;
        }
        self.next_sequence = event.sequence + 1;
        match event.change {
            CacheChange::Stored(prefix) => self.store(prefix, now),
            CacheChange::Removed(prefix) => {
                self.entries.remove(&prefix);
            }
            CacheChange::Cleared => self.entries.clear(),
        }
        self.expire(now);
    }

    /// Removes all entries, for a new incarnation whose sequence starts again.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Drops entries that are too old, of too little trust or beyond the limit.
    pub(super) fn expire(&mut self, now: Instant) {
        while let Some(&(prefix, confirmed_at)) = self.confirmations.front() {
            let current = self
                .entries
                .get(&prefix)
                .filter(|entry| entry.confirmed_at == confirmed_at);
            let keep = current.is_some_and(|entry| self.trust(entry, now) >= MIN_TRUST);
            if keep && self.entries.len() <= MAX_ENTRIES {
                break;
            }
            if current.is_some() {
                self.entries.remove(&prefix);
            }
            self.confirmations.pop_front();
        }
    }

    /// Returns the share of the blocks that the cache holds, from 0 to 1, weighted by trust.
    /// `prefixes` are ordered from short to long.
    pub(super) fn overlap(&self, prefixes: &[Prefix], now: Instant) -> f64 {
        let found = prefixes
            .iter()
            .enumerate()
            .rev()
            .find_map(|(index, prefix)| {
                let entry = self.entries.get(prefix)?;
                Some((index + 1, self.trust(entry, now)))
            });
        found.map_or(0.0, |(blocks, trust)| {
            if trust < MIN_TRUST {
                return 0.0;
            }
            trust * blocks as f64 / prefixes.len() as f64
        })
    }

    fn store(&mut self, prefix: Prefix, now: Instant) {
        let entry = Entry {
            confirmed_at: now,
            epoch: self.epoch,
        };
        self.entries.insert(prefix, entry);
        self.confirmations.push_back((prefix, now));
    }

    fn trust(&self, entry: &Entry, now: Instant) -> f64 {
        if now.saturating_duration_since(entry.confirmed_at) > ENTRY_LIFETIME {
            return 0.0;
        }
        GAP_TRUST_FACTOR.powi((self.epoch - entry.epoch).min(16) as i32)
    }
}
