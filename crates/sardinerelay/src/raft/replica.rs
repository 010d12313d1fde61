//! The replica and its public operations.

use {
    super::{
        config::{Config, ConfigError},
        membership::{Change, Membership},
        message::{Durable, Message, Position, Snapshot, SnapshotMeta},
        ready::Ready,
    },
    crate::{
        id::{Host, Index, Term},
        lease::Lease,
    },
    bytes::Bytes,
    std::time::Instant,
    thiserror::Error,
};

/// Role of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one. Learners stay in this role.
    Follower,
    /// Asks voters whether a campaign could succeed.
    PreCandidate,
    /// Asks voters for their vote.
    Candidate,
    /// Appends entries.
    Leader,
}

/// Why a request was refused. Nothing was done, except where a variant says otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Refusal {
    /// This replica is not the leader. For a read that had been accepted, it stopped being one.
    #[error("not the leader")]
    NotLeader {
        /// The leader, if known.
        leader: Option<Host>,
    },
    /// Leadership is being transferred.
    #[error("leadership is being transferred to replica {to}")]
    Transferring {
        /// The replica that takes over.
        to: Host,
    },
    /// Too many bytes wait for their commit.
    #[error("too many uncommitted bytes")]
    Busy,
    /// The proposal exceeds the size limit.
    #[error("proposal of {bytes} bytes exceeds the limit of {most}")]
    TooLarge {
        /// Size of the proposal in bytes.
        bytes: usize,
        /// Limit in bytes.
        most: usize,
    },
    /// A membership change is not committed yet.
    #[error("membership change at index {index} is not committed yet")]
    ChangePending {
        /// Index of the pending change.
        index: Index,
    },
    /// The leader has not committed an entry in its term yet.
    #[error("the leader has not committed an entry in its term yet")]
    TermNotCommitted,
    /// The change does not apply to the current membership.
    #[error("the change does not apply to the current membership")]
    NotApplicable,
    /// The leader cannot remove itself; it has to transfer leadership first.
    #[error("the leader cannot remove itself; transfer leadership first")]
    RemovesLeader,
    /// The learner lacks too many entries to become a voter, or the voter to become leader.
    #[error("replica {host} lacks {entries} entries")]
    Behind {
        /// The replica.
        host: Host,
        /// Number of entries it is not known to have.
        entries: u64,
    },
}

/// State of a replica for health checks and metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Role.
    pub role: Role,
    /// Known leader.
    pub leader: Option<Host>,
    /// Term.
    pub term: Term,
    /// Last entry of the log.
    pub last: Position,
    /// Last entry on the local disk.
    pub persisted: Index,
    /// Commit index.
    pub commit: Index,
    /// Last entry handed out for applying.
    pub applied: Index,
    /// Last entry of the latest snapshot.
    pub snapshot: Index,
    /// Bytes of entries in memory.
    pub log_bytes: usize,
    /// Current membership, committed or not.
    pub membership: Membership,
    /// On the leader, the last entry that each other member is known to have on disk.
    pub matched: Vec<(Host, Index)>,
}

/// A replica of the group.
#[derive(Debug)]
pub struct Replica {
    config: Config,
}

impl Replica {
    /// Starts a replica from what its disk holds, as a follower. It neither votes nor campaigns
    /// within one election timeout, because it may have promised a leader's lease before it
    /// was restarted.
    pub fn new(config: Config, durable: Durable, now: Instant) -> Result<Self, ConfigError> {
        let _ = (durable, now);
        config.check()?;
        Ok(Self { config })
    }

    /// This replica's id.
    pub fn id(&self) -> Host {
        self.config.id
    }

    /// When [`Replica::tick`] has to be called next at the latest.
    pub fn deadline(&self) -> Instant {
        Instant::now()
    }

    /// Acts on elapsed time. `now` never goes back; an earlier value counts as the latest one.
    pub fn tick(&mut self, now: Instant) {
        let _ = now;
    }

    /// Handles a message from another replica.
    pub fn step(&mut self, from: Host, message: Message, now: Instant) {
        let _ = (from, message, now);
    }

    /// Appends a command to the leader's log. It is committed if the entry with the returned
    /// position is handed out for applying, and lost if another entry is at its index. Until
    /// then its outcome is unknown, also after this replica stops being the leader.
    pub fn propose(&mut self, data: Bytes) -> Result<Position, Refusal> {
        let _ = data;
        Err(Refusal::NotLeader { leader: None })
    }

    /// Starts a read. The outcome follows in [`Ready::reads`] with the same token, once a quorum
    /// has confirmed that this replica was the leader after the read was accepted.
    pub fn read(&mut self, token: u64) -> Result<(), Refusal> {
        let _ = token;
        Err(Refusal::NotLeader { leader: None })
    }

    /// Appends a membership change. It takes effect at once and is committed like a command.
    pub fn change(&mut self, change: Change) -> Result<Position, Refusal> {
        let _ = change;
        Err(Refusal::NotLeader { leader: None })
    }

    /// Transfers leadership, for a planned stop. Proposals are refused from here on. If `to`
    /// has not taken over within an election timeout, this replica steps down. `None` picks the
    /// voter with the most entries.
    pub fn transfer(&mut self, to: Option<Host>) -> Result<Host, Refusal> {
        let _ = to;
        Err(Refusal::NotLeader { leader: None })
    }

    /// Takes the work that has to be done next; see [`Ready`] for its order.
    pub fn ready(&mut self) -> Ready {
        Ready::default()
    }

    /// Says that every [`Persist`](super::Persist) up to `sequence` is on disk.
    pub fn persisted(&mut self, sequence: u64) {
        let _ = sequence;
    }

    /// What a snapshot of the state machine stands for that is taken at `applied`, an index
    /// that was handed out for applying. `None` if the index is not above the latest snapshot
    /// or was not handed out yet.
    pub fn snapshot_meta(&self, applied: Index) -> Option<SnapshotMeta> {
        let _ = applied;
        None
    }

    /// Takes over a snapshot that the caller has saved to disk, and drops the entries that it
    /// contains, except for some that slow followers may still need.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let _ = snapshot;
    }

    /// The leader's lease: held while no other leader can exist. `None` unless this replica is
    /// the leader and has committed an entry in its term.
    pub fn lease(&self) -> Option<Lease> {
        None
    }

    /// State for health checks and metrics.
    pub fn status(&self) -> Status {
        Status {
            role: Role::Follower,
            leader: None,
            term: 0,
            last: Position::default(),
            persisted: 0,
            commit: 0,
            applied: 0,
            snapshot: 0,
            log_bytes: 0,
            membership: Membership::default(),
            matched: Vec::new(),
        }
    }
}
