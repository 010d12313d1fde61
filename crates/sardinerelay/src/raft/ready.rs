//! What the caller has to do for a replica.

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
/// The replica enforces the order. A message that depends on a write, such as a vote or an
/// acknowledgement, is only handed out in a `Ready` that follows the
/// [`persisted`](super::Replica::persisted) call for that write. The leader's appends and
/// heartbeats depend on no write of their own and are handed out at once; the leader's copy
/// counts for a commit after `persisted`. Messages may therefore be sent while the write is
/// under way, so that leader and followers sync at the same time. An entry is handed out for applying once it is
/// committed and on the local disk.
#[derive(Debug, Default)]
pub struct Ready {
    /// To be written and synced first.
    pub persist: Option<Persist>,
    /// To be sent next. Messages may be lost, repeated or reordered.
    pub messages: Vec<Envelope>,
    /// A snapshot that replaces the state machine's state before `committed` is applied. It has
    /// been persisted already.
    pub snapshot: Option<Snapshot>,
    /// Entries to apply, in order and without a gap.
    pub committed: Vec<Entry>,
    /// Reads to answer from the state machine, after `committed` was applied.
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
    /// Number for [`persisted`](super::Replica::persisted). Acknowledging a number
    /// acknowledges all lower ones.
    pub sequence: u64,
    /// Term and vote, if changed. They come first, so that no entry is on disk without its term.
    pub hard_state: Option<HardState>,
    /// A snapshot from the leader. The log on disk is to be dropped and continues after it,
    /// with `entries`.
    pub snapshot: Option<Snapshot>,
    /// Drops the entries from this index on.
    pub truncate: Option<Index>,
    /// Entries to append after truncation.
    pub entries: Vec<Entry>,
}

/// Outcome of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Read {
    /// Token given to [`read`](super::Replica::read).
    pub token: u64,
    /// The index that the answer reflects at least, or why there must be no answer.
    pub outcome: Result<Index, RequestError>,
}

/// Role of a replica as seen by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SoftState {
    /// Role.
    pub role: Role,
    /// Known leader.
    pub leader: Option<Host>,
    /// Term.
    pub term: Term,
}
