//! Entries, snapshots and the messages between replicas.

use {
    super::membership::Membership,
    crate::id::{Host, Index, Term},
    bytes::Bytes,
    serde::{Deserialize, Serialize},
};

/// Position of an entry in the log. The derived order compares the term before the index, as
/// needed to decide which of two logs is more up to date (Raft, section 5.4.1).
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Position {
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Index of the entry, starting at 1; 0 is the position before the first entry.
    pub index: Index,
}

/// Content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No command. A new leader appends such an entry to commit those of earlier terms.
    Empty,
    /// A command for the state machine.
    Data(Bytes),
    /// The membership in effect from this entry on. It is stated in full rather than as a change,
    /// so that a learner without earlier entries knows every voter.
    Membership(Membership),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term and index of the entry.
    pub position: Position,
    /// What the entry does.
    pub payload: Payload,
}

/// Term and vote. They must be on disk before a message that depends on them is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// Candidate that got this replica's vote in `term`.
    pub vote: Option<Host>,
}

/// Metadata of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// Position of the last entry that the snapshot contains.
    pub last: Position,
    /// Membership in effect at that position.
    pub membership: Membership,
}

/// A snapshot of the state machine.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position and membership of the snapshot.
    pub meta: SnapshotMeta,
    /// State in the state machine's own encoding.
    pub data: Bytes,
}

/// The durable state that a replica starts from.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct DurableState {
    /// Last term and vote that were written.
    pub hard_state: HardState,
    /// Latest snapshot; empty at index 0 for a new replica.
    pub snapshot: Snapshot,
    /// Entries after the snapshot, without a gap.
    pub entries: Vec<Entry>,
}

impl DurableState {
    /// State of a voter of a new group. It is written to disk before the replica is started, and
    /// only once in the life of a group: a replica that lost its disk starts from
    /// [`DurableState::default`] under a new id.
    pub fn bootstrap<Hosts>(voters: Hosts) -> Self
    where
        Hosts: IntoIterator<Item = Host>,
    {
        let mut durable = Self::default();
        durable.snapshot.meta.membership = Membership::new(voters);
        durable
    }
}

/// A message to be sent, with its receiver.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Replica that the message is for.
    pub to: Host,
    /// The message, which itself names neither sender nor receiver.
    pub message: Message,
}

/// A message between replicas. It does not name its sender; the receiver's caller knows it from
/// the connection and passes it to [`Replica::step`](super::Replica::step).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Sender's term. In [`Body::PreVote`] it is the term that the sender would campaign in.
    pub term: Term,
    /// Request or reply.
    pub body: Body,
}

/// Body of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether a campaign could succeed. It changes no state of the receiver (thesis, 9.6).
    PreVote {
        /// Last entry of the sender's log.
        last: Position,
    },
    /// Answers [`Body::PreVote`].
    PreVoteReply {
        /// The term of the campaign that was asked about.
        campaign: Term,
        /// Whether the receiver would vote for the candidate.
        granted: bool,
    },
    /// Asks for a vote in the sender's term.
    Vote {
        /// Last entry of the sender's log.
        last: Position,
        /// Whether the leader asked for this campaign and has given up its lease, so that voters
        /// need not wait for their election timeout.
        transfer: bool,
    },
    /// Answers [`Body::Vote`].
    VoteReply {
        /// Whether the receiver voted for the candidate.
        granted: bool,
    },
    /// Carries entries, a probe or a commit index to a follower.
    Append(Append),
    /// Acknowledges that the log matches the leader's, and is on disk, up to an index.
    Appended {
        /// Last index up to which this holds.
        matched: Index,
    },
    /// Refuses an append whose previous entry the receiver does not have.
    Rejected(Conflict),
    /// Asserts leadership and resets the election timeout of followers.
    Heartbeat {
        /// Number of the round within the leader's term.
        round: u64,
        /// Commit index of the leader, but at most the last entry that the receiver is known to
        /// have.
        commit: Index,
    },
    /// Answers [`Body::Heartbeat`].
    HeartbeatReply {
        /// Number of the answered round.
        round: u64,
    },
    /// Carries a part of a snapshot.
    Chunk(Chunk),
    /// Answers [`Body::Chunk`] until the snapshot is complete, which [`Body::Appended`] answers.
    ChunkReply {
        /// Last entry of the snapshot.
        last: Position,
        /// Number of bytes received without a gap.
        received: u64,
        /// Whether the sender must continue from `received`.
        rewind: bool,
    },
    /// Tells a follower to campaign at once (thesis, 3.10).
    TimeoutNow,
}

/// Entries to append, with the position that they follow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// Position of the entry before the first one.
    pub previous: Position,
    /// Consecutive entries; none if the append only probes or carries a commit index.
    pub entries: Vec<Entry>,
    /// Commit index of the leader.
    pub commit: Index,
}

/// Why an append was refused, with a hint that skips whole terms (Raft, section 5.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The refused [`Append::previous`].
    pub rejected: Index,
    /// A position in the receiver's log at or before which the two logs may match.
    pub hint: Position,
}

/// A part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Metadata of the whole snapshot.
    pub meta: SnapshotMeta,
    /// Length of the whole snapshot in bytes.
    pub total: u64,
    /// Offset of the first byte of `data` in the snapshot.
    pub offset: u64,
    /// Bytes of the snapshot from `offset` on.
    pub data: Bytes,
}
