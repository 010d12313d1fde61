//! The log in memory: the latest snapshot and the entries that follow.

use {
    super::{
        membership::Membership,
        message::{Conflict, DurableState, Entry, Payload, Position, Snapshot},
    },
    crate::id::{Index, Term},
    std::collections::VecDeque,
};

/// Bytes that each entry counts in addition to its data, so that limits in bytes also bound the
/// number of entries.
const ENTRY_OVERHEAD_BYTES: usize = 64;

/// The replicated log as far as it is in memory.
#[derive(Debug)]
pub(super) struct Log {
    pub(super) snapshot: Snapshot,
    /// Position before the first entry in memory, at or below that of the snapshot.
    base: Position,
    entries: VecDeque<Entry>,
    bytes: usize,
    /// Memberships with the index from which each is in effect. The first one is in effect at
    /// `snapshot`.
    memberships: VecDeque<(Index, Membership)>,
}

impl Entry {
    /// Bytes that the entry counts towards the limits.
    pub(super) fn size(&self) -> usize {
        let content = match &self.payload {
            Payload::Empty => 0,
            Payload::Data(data) => data.len(),
            Payload::Membership(membership) => membership.hosts().count() * size_of::<u64>(),
        };
        ENTRY_OVERHEAD_BYTES + content
    }
}

impl Log {
    /// Builds the log from recovered state, whose entries follow the snapshot without a gap.
    pub(super) fn new(durable: DurableState) -> Self {
        let meta = &durable.snapshot.meta;
        let mut log = Self {
            base: meta.last,
            entries: VecDeque::new(),
            bytes: 0,
            memberships: VecDeque::from([(meta.last.index, meta.membership.clone())]),
            snapshot: durable.snapshot,
        };
        durable
            .entries
            .into_iter()
            .for_each(|entry| log.append(entry));
        log
    }

    pub(super) fn last(&self) -> Position {
        self.entries
            .back()
            .map_or(self.base, |entry| entry.position)
    }

    /// Lowest index whose term is known. Entries after it can be read.
    pub(super) fn base(&self) -> Index {
        self.base.index
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Term of the entry at `index`; `None` if it is not in memory.
    pub(super) fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        Some(self.entry(index)?.position.term)
    }

    /// Whether the log holds an entry of the same term at the position.
    pub(super) fn matches(&self, position: Position) -> bool {
        self.term_at(position.index) == Some(position.term)
    }

    /// The membership in effect, committed or not.
    pub(super) fn membership(&self) -> &Membership {
        &self.memberships[self.memberships.len() - 1].1
    }

    /// Index from which [`Log::membership`] is in effect.
    pub(super) fn membership_index(&self) -> Index {
        self.memberships[self.memberships.len() - 1].0
    }

    /// The membership in effect at `index`, which must be at or above the snapshot.
    pub(super) fn membership_at(&self, index: Index) -> &Membership {
        let later = self.memberships.iter().rev();
        let mut in_effect = later.skip_while(|(from, _)| *from > index);
        in_effect
            .next()
            .map_or(&self.memberships[0].1, |(_, membership)| membership)
    }

    pub(super) fn append(&mut self, entry: Entry) {
        debug_assert_eq!(entry.position.index, self.last().index + 1);
        if let Payload::Membership(membership) = &entry.payload {
            let from = entry.position.index;
            self.memberships.push_back((from, membership.clone()));
        }
        self.bytes += entry.size();
        self.entries.push_back(entry);
    }

    /// Drops the entries from `from` on.
    pub(super) fn truncate(&mut self, from: Index) {
        let keep = from.saturating_sub(self.base.index + 1) as usize;
        let dropped = self.entries.split_off(keep.min(self.entries.len()));
        self.bytes -= dropped.iter().map(Entry::size).sum::<usize>();
        while self.memberships.len() > 1 && self.membership_index() >= from {
            self.memberships.pop_back();
        }
    }

    /// Entries from `from` to `to` inclusive, up to `max_bytes` but at least one if there is one.
    pub(super) fn slice(&self, from: Index, to: Index, max_bytes: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let fits = |entry: &&Entry| {
            let first = bytes == 0;
            bytes += entry.size();
            first || bytes <= max_bytes
        };
        self.range(from, to).take_while(fits).cloned().collect()
    }

    /// Bytes of the entries from `from` to `to` inclusive.
    pub(super) fn size_of(&self, from: Index, to: Index) -> usize {
        self.range(from, to).map(Entry::size).sum()
    }

    /// The answer to an append whose previous entry does not match. Its hint skips every entry of a
    /// higher term than that entry.
    pub(super) fn conflict(&self, refused: Position) -> Conflict {
        Conflict {
            rejected: refused.index,
            hint: self.last_not_above(Position {
                term: refused.term,
                index: refused.index.min(self.last().index),
            }),
        }
    }

    /// The last position of this log whose index and term are not above the given ones. Its term is
    /// 0 if it is below the entries in memory.
    pub(super) fn last_not_above(&self, position: Position) -> Position {
        let mut index = position.index.min(self.last().index);
        loop {
            match self.term_at(index) {
                Some(term) if term > position.term && index > 0 => index -= 1,
                Some(term) => return Position { term, index },
                None => return Position { term: 0, index },
            }
        }
    }

    /// Replaces the snapshot by a newer one of this replica's state machine. Entries that the
    /// snapshot contains stay in memory up to `trailing_bytes`.
    pub(super) fn compact(&mut self, snapshot: Snapshot, trailing_bytes: usize) {
        let last = snapshot.meta.last;
        let mut bytes = self.size_of(self.base.index + 1, last.index);
        while bytes > trailing_bytes {
            let Some(entry) = self.entries.pop_front() else {
                break;
            };
            bytes -= entry.size();
            self.bytes -= entry.size();
            self.base = entry.position;
        }
        while self
            .memberships
            .get(1)
            .is_some_and(|(from, _)| *from <= last.index)
        {
            self.memberships.pop_front();
        }
        self.snapshot = snapshot;
    }

    /// Replaces the whole log by a snapshot from the leader.
    pub(super) fn install(&mut self, snapshot: Snapshot) {
        let meta = snapshot.meta.clone();
        self.entries.clear();
        self.bytes = 0;
        self.base = meta.last;
        self.memberships = VecDeque::from([(meta.last.index, meta.membership)]);
        self.snapshot = snapshot;
    }

    fn range(&self, from: Index, to: Index) -> impl Iterator<Item = &Entry> {
        let length = self.entries.len();
        let offset =
            |index: Index| (index.saturating_sub(self.base.index + 1) as usize).min(length);
        let end = offset(to + 1);
        self.entries.range(offset(from).min(end)..end)
    }

    fn entry(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(offset as usize)
    }
}
