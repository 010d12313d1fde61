//! Entries, snapshots and the messages between replicas.

use {
    super::membership::Membership,
    crate::id::{Host, Index, Term},
    bytes::Bytes,
    serde::{Deserialize, Serialize},
};

/// Place of an entry in the log. The derived order, term before index, is the one that decides
/// which of two logs is more up to date (Raft, section 5.4.1).
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Position {
    /// Term in which a leader created the entry.
    pub term: Term,
    /// Index of the entry; 0 is the place before the first entry.
    pub index: Index,
}

/// Content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing. A new leader appends it to commit the entries of earlier terms.
    Empty,
    /// A command for the state machine.
    Data(Bytes),
    /// The whole membership that holds from this entry on. It is not a difference, so that a
    /// learner without earlier entries knows every voter.
    Membership(Membership),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Place in the log.
    pub position: Position,
    /// Content.
    pub payload: Payload,
}

/// State that must be on disk before any reply that depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// Candidate that got this replica's vote in `term`.
    pub vote: Option<Host>,
}

/// What a snapshot stands for.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// Place of the last entry that the snapshot contains.
    pub last: Position,
    /// Membership at that place.
    pub membership: Membership,
}

/// A snapshot of the state machine.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// What the snapshot stands for.
    pub meta: SnapshotMeta,
    /// The state machine's own encoding.
    pub data: Bytes,
}

/// Everything a replica starts from.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct DurableState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Latest snapshot; empty at index 0 for a new replica.
    pub snapshot: Snapshot,
    /// Entries after the snapshot, without a gap.
    pub entries: Vec<Entry>,
}

impl DurableState {
    /// State of a founding voter. It is written to disk before the replica is started, and only
    /// once in the life of a group: a replica that lost its disk uses [`DurableState::default`]
    /// under a new id.
    pub fn bootstrap<Hosts>(voters: Hosts) -> Self
    where
        Hosts: IntoIterator<Item = Host>,
    {
        let mut durable = Self::default();
        durable.snapshot.meta.membership = Membership::new(voters);
        durable
    }
}

/// A message with its receiver.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Receiver.
    pub to: Host,
    /// Message.
    pub message: Message,
}

/// A message between replicas. The caller supplies the sender, from the connection, to
/// [`Replica::step`](super::Replica::step).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Sender's term. In [`Body::PreVote`] it is the term that the sender would campaign in.
    pub term: Term,
    /// Content.
    pub body: Body,
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether a campaign could succeed; changes no state (thesis, 9.6).
    PreVote {
        /// Last entry of the sender's log.
        last: Position,
    },
    /// Answers [`Body::PreVote`].
    PreVoteReply {
        /// The term that was asked for.
        campaign: Term,
        /// Whether the receiver would vote for the candidate.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// Last entry of the sender's log.
        last: Position,
        /// Whether the leader asked for this campaign and has given up its lease, so that
        /// voters need not wait for their election timeout.
        transfer: bool,
    },
    /// Answers [`Body::Vote`].
    VoteReply {
        /// Whether the vote was given.
        granted: bool,
    },
    /// Replicates entries.
    Append(Append),
    /// Says that the log matches the leader's, and is on disk, up to an index.
    Appended {
        /// The index.
        matched: Index,
    },
    /// Refuses an append.
    Rejected(Conflict),
    /// Asserts leadership.
    Heartbeat {
        /// Number of the round within the leader's term.
        round: u64,
        /// Commit index, at most what the receiver is known to have.
        commit: Index,
    },
    /// Answers [`Body::Heartbeat`].
    HeartbeatReply {
        /// Number of the answered round.
        round: u64,
    },
    /// Carries a part of a snapshot.
    Chunk(Chunk),
    /// Answers [`Body::Chunk`] until the snapshot is complete; [`Body::Appended`] follows then.
    ChunkReply {
        /// Last entry of the snapshot.
        last: Position,
        /// Bytes received without a gap.
        received: u64,
        /// Whether the sender must continue from `received`.
        rewind: bool,
    },
    /// Tells a follower to campaign at once (thesis, 3.10).
    TimeoutNow,
}

/// Entries with the place they follow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// Place of the entry before the first one.
    pub previous: Position,
    /// Entries without a gap.
    pub entries: Vec<Entry>,
    /// Leader's commit index.
    pub commit: Index,
}

/// Why an append was refused, with a hint that skips whole terms (Raft, section 5.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The refused [`Append::previous`].
    pub rejected: Index,
    /// A place in the receiver's log at or before which the two logs may match.
    pub hint: Position,
}

/// A part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// What the snapshot stands for.
    pub meta: SnapshotMeta,
    /// Length of the whole snapshot in bytes.
    pub total: u64,
    /// Place of the first byte.
    pub offset: u64,
    /// The bytes.
    pub data: Bytes,
}
