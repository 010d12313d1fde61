//! Work that a replica asks its caller to do.

use {
    super::{
        RequestError,
        message::{Entry, Envelope, HardState, Snapshot},
        replica::Role,
    },
    crate::id::{Host, Index, Term},
};

/// Work for the caller, in the order of the fields: persist first, then send, then apply.
///
/// The replica enforces this order. A message that depends on a write, such as a vote or an
/// acknowledgement, is only handed out in a `Ready` that follows the
/// [`persisted`](super::Replica::persisted) call for that write. The leader's appends and
/// heartbeats depend on no write of their own and are handed out at once; the leader's copy
/// counts for a commit after `persisted`. Messages may therefore be sent while the write is
/// running, so that leader and followers sync at the same time. An entry is handed out for
/// applying once it is committed and on the local disk.
#[derive(Debug, Default)]
pub struct Ready {
    /// Changes to write and sync first.
    pub persist: Option<Persist>,
    /// Messages to send next. The network may lose, repeat or reorder them.
    pub messages: Vec<Envelope>,
    /// A snapshot to restore the state machine from before `committed` is applied. It is on disk
    /// already.
    pub snapshot: Option<Snapshot>,
    /// Entries to apply, in order and without a gap.
    pub committed: Vec<Entry>,
    /// Outcomes of reads, to be answered from the state machine after `committed` was applied.
    pub reads: Vec<Read>,
    /// The new role, leader or term, if one of them changed.
    pub soft_state: Option<SoftState>,
}

impl Ready {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.persist.is_none()
            && self.messages.is_empty()
            && self.snapshot.is_none()
            && self.committed.is_empty()
            && self.reads.is_empty()
            && self.soft_state.is_none()
    }
}

/// Changes to durable state, to be written in the order of the fields and then synced.
/// `wal::Store::persist` does so.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Persist {
    /// Number of the write, to be passed to [`persisted`](super::Replica::persisted).
    /// Acknowledging a number acknowledges all lower ones.
    pub sequence: u64,
    /// Term and vote, if changed. They come first, so that no entry is on disk without its term.
    pub hard_state: Option<HardState>,
    /// A snapshot from the leader. The log on disk has to be dropped; it continues after the
    /// snapshot with `entries`.
    pub snapshot: Option<Snapshot>,
    /// Index from which on the entries on disk have to be dropped.
    pub truncate: Option<Index>,
    /// Entries to append after truncation.
    pub entries: Vec<Entry>,
}

/// Outcome of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Read {
    /// Token given to [`read`](super::Replica::read).
    pub token: u64,
    /// The lowest index that the answer has to reflect, or why the read must not be answered.
    pub outcome: Result<Index, RequestError>,
}

/// Role, leader and term as the replica knows them. Unlike [`HardState`], it is never written to
/// disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SoftState {
    /// Role of this replica.
    pub role: Role,
    /// Leader of the term, if known.
    pub leader: Option<Host>,
    /// Highest term that the replica has seen.
    pub term: Term,
}
