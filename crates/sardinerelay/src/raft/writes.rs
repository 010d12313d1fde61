//! Tracks which changes of durable state were handed to the caller and which are on disk.

use {
    super::{
        log::Log,
        message::{HardState, Snapshot},
        ready::Persist,
    },
    crate::id::Index,
    std::collections::VecDeque,
};

/// A write that was handed to the caller and not acknowledged yet.
#[derive(Debug)]
struct PendingWrite {
    sequence: u64,
    /// The last entry on disk once the write is done. It is lowered if entries are truncated
    /// meanwhile, because the write then puts entries on disk that the log no longer holds.
    last: Index,
}

/// Collects changes that have to be written, numbers the writes, and tracks which are on disk.
/// Writes are acknowledged in order, so the disk always holds a state that the replica has been
/// in. The tracker does no I/O; the caller does the writes.
#[derive(Debug)]
pub(super) struct WriteTracker {
    issued_sequence: u64,
    acknowledged_sequence: u64,
    pending: VecDeque<PendingWrite>,
    persisted: Index,
    /// Last entry that was handed to the caller.
    last_issued: Index,
    truncate: Option<Index>,
    hard_state: Option<HardState>,
    snapshot: Option<Snapshot>,
    /// Sequence of the write that contains the current hard state.
    hard_state_sequence: u64,
}

impl WriteTracker {
    /// Starts with a log that was read from disk and ends with entry `last`.
    pub(super) fn new(last: Index) -> Self {
        Self {
            issued_sequence: 0,
            acknowledged_sequence: 0,
            pending: VecDeque::new(),
            persisted: last,
            last_issued: last,
            truncate: None,
            hard_state: None,
            snapshot: None,
            hard_state_sequence: 0,
        }
    }

    /// The last entry of the log that is on disk.
    pub(super) fn persisted(&self) -> Index {
        self.persisted
    }

    /// Sequence of the last acknowledged write.
    pub(super) fn acknowledged(&self) -> u64 {
        self.acknowledged_sequence
    }

    /// Sequence of the write after which the whole current state is on disk, with a log that ends
    /// with entry `last`.
    pub(super) fn full_state_sequence(&self, last: Index) -> u64 {
        self.issued_sequence + u64::from(self.is_dirty(last))
    }

    /// Sequence of the write after which the current term and vote are on disk.
    pub(super) fn hard_state_sequence(&self) -> u64 {
        self.hard_state_sequence
    }

    pub(super) fn set_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = Some(hard_state);
        self.hard_state_sequence = self.issued_sequence + 1;
    }

    /// Records that the log dropped its entries from `from` on.
    pub(super) fn on_truncate(&mut self, from: Index) {
        let last = from - 1;
        self.persisted = self.persisted.min(last);
        for write in &mut self.pending {
            write.last = write.last.min(last);
        }
        if self.last_issued >= from {
            self.last_issued = last;
            self.truncate = Some(from);
        }
    }

    /// Records that the log was replaced by a snapshot.
    pub(super) fn on_install(&mut self, snapshot: Snapshot) {
        self.last_issued = snapshot.meta.last.index;
        self.persisted = 0;
        for write in &mut self.pending {
            write.last = 0;
        }
        self.truncate = None;
        self.snapshot = Some(snapshot);
    }

    /// Takes the changes that were not handed to the caller yet, as the next write.
    pub(super) fn take_persist(&mut self, log: &Log) -> Option<Persist> {
        let last = log.last().index;
        if !self.is_dirty(last) {
            return None;
        }
        self.issued_sequence += 1;
        let entries = log.slice(self.last_issued + 1, last, usize::MAX);
        self.last_issued = last;
        self.pending.push_back(PendingWrite {
            sequence: self.issued_sequence,
            last,
        });
        Some(Persist {
            sequence: self.issued_sequence,
            hard_state: self.hard_state.take(),
            snapshot: self.snapshot.take(),
            truncate: self.truncate.take(),
            entries,
        })
    }

    /// Acknowledges all writes up to `sequence`.
    pub(super) fn acknowledge(&mut self, sequence: u64) {
        self.acknowledged_sequence = self
            .acknowledged_sequence
            .max(sequence.min(self.issued_sequence));
        while let Some(write) = self.pending.front() {
            if write.sequence > self.acknowledged_sequence {
                break;
            }
            self.persisted = self.persisted.max(write.last);
            self.pending.pop_front();
        }
    }

    fn is_dirty(&self, last: Index) -> bool {
        self.hard_state.is_some()
            || self.snapshot.is_some()
            || self.truncate.is_some()
            || last > self.last_issued
    }
}
