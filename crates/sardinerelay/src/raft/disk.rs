//! What is on disk, and what was handed out to be written.

use {
    super::{
        log::Log,
        message::{HardState, Snapshot},
        ready::Persist,
    },
    crate::id::Index,
    std::collections::VecDeque,
};

/// A write that was handed out and not acknowledged.
#[derive(Debug)]
struct Write {
    sequence: u64,
    /// The last entry on disk once the write is done. Lowered when entries are truncated
    /// meanwhile, because the write then puts entries on disk that the log no longer holds.
    last: Index,
}

/// Tracks writes. Sequences are acknowledged in order, so disk content is always a state that
/// the replica has been in.
#[derive(Debug)]
pub(super) struct Disk {
    issued: u64,
    done: u64,
    writes: VecDeque<Write>,
    persisted: Index,
    /// Last entry that was handed out.
    handed: Index,
    truncate: Option<Index>,
    hard_state: Option<HardState>,
    snapshot: Option<Snapshot>,
    /// Sequence that writes the current hard state.
    hard_sequence: u64,
}

impl Disk {
    /// Everything up to `last` was read from disk.
    pub(super) fn new(last: Index) -> Self {
        Self {
            issued: 0,
            done: 0,
            writes: VecDeque::new(),
            persisted: last,
            handed: last,
            truncate: None,
            hard_state: None,
            snapshot: None,
            hard_sequence: 0,
        }
    }

    /// The last entry of the log that is on disk.
    pub(super) fn persisted(&self) -> Index {
        self.persisted
    }

    /// The highest acknowledged sequence.
    pub(super) fn done(&self) -> u64 {
        self.done
    }

    /// The sequence after which everything that the replica holds now is on disk.
    pub(super) fn gate(&self, last: Index) -> u64 {
        self.issued + u64::from(self.is_dirty(last))
    }

    /// The sequence after which the term and vote are on disk.
    pub(super) fn hard_gate(&self) -> u64 {
        self.hard_sequence
    }

    pub(super) fn set_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = Some(hard_state);
        self.hard_sequence = self.issued + 1;
    }

    /// The log dropped its entries from `from` on.
    pub(super) fn truncated(&mut self, from: Index) {
        let last = from - 1;
        self.persisted = self.persisted.min(last);
        for write in &mut self.writes {
            write.last = write.last.min(last);
        }
        if self.handed >= from {
            self.handed = last;
            self.truncate = Some(from);
        }
    }

    /// The log was replaced by a snapshot.
    pub(super) fn installed(&mut self, snapshot: Snapshot) {
        self.handed = snapshot.meta.last.index;
        self.persisted = 0;
        for write in &mut self.writes {
            write.last = 0;
        }
        self.truncate = None;
        self.snapshot = Some(snapshot);
    }

    /// Takes the changes that were not handed out yet.
    pub(super) fn take(&mut self, log: &Log) -> Option<Persist> {
        let last = log.last().index;
        if !self.is_dirty(last) {
            return None;
        }
        self.issued += 1;
        let entries = log.slice(self.handed + 1, last, usize::MAX);
        self.handed = last;
        self.writes.push_back(Write {
            sequence: self.issued,
            last,
        });
        Some(Persist {
            sequence: self.issued,
            hard_state: self.hard_state.take(),
            snapshot: self.snapshot.take(),
            truncate: self.truncate.take(),
            entries,
        })
    }

    /// Acknowledges all writes up to `sequence`.
    pub(super) fn acknowledge(&mut self, sequence: u64) {
        self.done = self.done.max(sequence.min(self.issued));
        while let Some(write) = self.writes.front() {
            if write.sequence > self.done {
                break;
            }
            self.persisted = self.persisted.max(write.last);
            self.writes.pop_front();
        }
    }

    fn is_dirty(&self, last: Index) -> bool {
        self.hard_state.is_some()
            || self.snapshot.is_some()
            || self.truncate.is_some()
            || last > self.handed
    }
}
