//! The replica and its public methods.

use {
    super::{
        config::{Config, ConfigError},
        leader::Leader,
        log::Log,
        membership::{Change, Membership},
        message::{
            Body, DurableState, Entry, Envelope, HardState, Message, Position, Snapshot,
            SnapshotMeta,
        },
        ready::{Read, Ready, SoftState},
        snapshot::IncomingSnapshot,
        writes::WriteTracker,
    },
    crate::{
        id::{Host, Index, Term},
        lease::Lease,
    },
    bytes::Bytes,
    rand::{SeedableRng, rngs::StdRng},
    std::{collections::BTreeSet, time::Instant},
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
    /// Appends entries to the log and replicates them.
    Leader,
}

/// Why a request was refused. The request had no effect, except where a variant says otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RequestError {
    /// This replica is not the leader. A read that had been accepted fails with it when the
    /// replica stops being the leader.
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
    /// Too many bytes of proposals are not committed yet.
    #[error("too many uncommitted bytes")]
    Busy,
    /// The proposal exceeds the size limit.
    #[error("proposal of {bytes} bytes exceeds the limit of {limit}")]
    TooLarge {
        /// Size of the proposal in bytes.
        bytes: usize,
        /// The configured [`Config::proposal_bytes`].
        limit: usize,
    },
    /// A membership change is not committed yet.
    #[error("membership change at index {index} is not committed yet")]
    ChangePending {
        /// Index of the uncommitted change.
        index: Index,
    },
    /// The leader has not committed an entry in its term yet, so it may not know the last
    /// committed membership change.
    #[error("the leader has not committed an entry in its term yet")]
    TermNotCommitted,
    /// The change or transfer does not apply to the current membership.
    #[error("the change does not apply to the current membership")]
    NotApplicable,
    /// The leader cannot remove itself; it has to transfer leadership first.
    #[error("the leader cannot remove itself; transfer leadership first")]
    RemovesLeader,
    /// The learner lacks too many entries to become a voter.
    #[error("replica {host} lacks {entries} entries")]
    Lagging {
        /// The learner that was to be promoted.
        host: Host,
        /// Number of entries that it is not known to have.
        entries: u64,
    },
    /// The replica that would become a voter or the leader has not answered within the election
    /// timeout.
    #[error("replica {host} has not answered within the election timeout")]
    Unresponsive {
        /// The replica that was to be promoted or to take over.
        host: Host,
    },
}

/// State of a replica for health checks and metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Role of the replica.
    pub role: Role,
    /// Leader of the term, if known.
    pub leader: Option<Host>,
    /// Highest term that the replica has seen.
    pub term: Term,
    /// Position of the last entry of the log.
    pub last: Position,
    /// Index of the last entry on the local disk.
    pub persisted: Index,
    /// Index of the last entry that is known to be committed.
    pub commit: Index,
    /// Index of the last entry that was handed out for applying.
    pub applied: Index,
    /// Index of the last entry that the latest snapshot contains.
    pub snapshot: Index,
    /// Bytes of entries in memory.
    pub log_bytes: usize,
    /// Current membership, committed or not.
    pub membership: Membership,
    /// Index from which the current membership is in effect. The membership is committed if this
    /// is at most `commit`.
    pub membership_index: Index,
    /// On the leader, the index of the last entry that each other member is known to have on
    /// disk; empty on other replicas.
    pub matched: Vec<(Host, Index)>,
}

/// Role of a replica, with the data that belongs to it.
#[derive(Debug)]
pub(super) enum State {
    Follower,
    PreCandidate { granted: BTreeSet<Host> },
    Candidate { granted: BTreeSet<Host> },
    Leader(Box<Leader>),
}

/// An outgoing message that may be sent once a write is done.
#[derive(Debug)]
pub(super) struct PendingMessage {
    /// Sequence of the write; 0 if the message depends on none.
    pub(super) after_write: u64,
    pub(super) envelope: Envelope,
}

/// A replica of the group.
///
/// # Panics
///
/// [`Replica::step`] panics if a leader contradicts a committed entry or if two replicas lead in
/// one term. The replicas have diverged then, and continuing could make them diverge further.
#[derive(Debug)]
pub struct Replica {
    pub(super) config: Config,
    pub(super) rng: StdRng,
    pub(super) now: Instant,
    pub(super) hard_state: HardState,
    pub(super) log: Log,
    pub(super) writes: WriteTracker,
    pub(super) state: State,
    pub(super) leader: Option<Host>,
    /// When this replica last heard from a leader, was the leader with a quorum, or was
    /// restarted. Votes are refused for one election timeout after it.
    pub(super) last_leader_contact: Option<Instant>,
    /// When this replica campaigns unless it hears from a leader before.
    pub(super) election_deadline: Instant,
    pub(super) commit: Index,
    pub(super) applied: Index,
    /// The snapshot that is being received from the leader.
    pub(super) incoming_snapshot: Option<IncomingSnapshot>,
    /// A snapshot, installed or read at the start, that was not handed out for restoring yet.
    pub(super) pending_restore: Option<Snapshot>,
    pub(super) outbox: Vec<PendingMessage>,
    /// Outcomes of reads that were not handed out yet, in the order of their index.
    pub(super) reads: Vec<Read>,
    soft_state: SoftState,
}

impl Replica {
    /// Starts a replica as a follower from the state that was read from its disk. Unless it is
    /// new, it neither votes nor campaigns within one election timeout, because before its
    /// restart it may have answered a leader whose lease relies on that.
    pub fn new(config: Config, durable: DurableState, now: Instant) -> Result<Self, ConfigError> {
        config.validate()?;
        check_contiguous(&durable)?;
        let hard_state = durable.hard_state;
        let log = Log::new(durable);
        let applied = log.base();
        let pending_restore = (applied > 0).then(|| log.snapshot.clone());
        let soft_state = SoftState {
            role: Role::Follower,
            leader: None,
            term: hard_state.term,
        };
        let mut replica = Self {
            rng: StdRng::seed_from_u64(config.seed),
            now,
            hard_state,
            writes: WriteTracker::new(log.last().index),
            log,
            state: State::Follower,
            leader: None,
            last_leader_contact: (hard_state.term > 0).then_some(now),
            election_deadline: now,
            commit: applied,
            applied,
            incoming_snapshot: None,
            pending_restore,
            outbox: Vec::new(),
            reads: Vec::new(),
            soft_state,
            config,
        };
        replica.reset_election_deadline();
        Ok(replica)
    }

    /// This replica's host number, from its configuration.
    pub fn id(&self) -> Host {
        self.config.id
    }

    /// When [`Replica::tick`] has to be called next, at the latest.
    pub fn deadline(&self) -> Instant {
        match &self.state {
            State::Leader(leader) => leader.next_heartbeat,
            _ => self.election_deadline,
        }
    }

    /// Does what has become due by `now`: heartbeats, retransmissions, or an election. A value
    /// that is earlier than a previous one counts as the previous one.
    pub fn tick(&mut self, now: Instant) {
        self.now = self.now.max(now);
        match self.state {
            State::Leader(_) => self.tick_leader(),
            _ if self.now >= self.election_deadline => self.on_election_timeout(),
            _ => {}
        }
    }

    /// Appends a command to the leader's log. The command is committed if the entry with the
    /// returned position is handed out for applying, and lost if an entry with the same index and
    /// another term is. Until then its outcome is unknown, also after this replica stops being
    /// the leader.
    pub fn propose(&mut self, data: Bytes) -> Result<Position, RequestError> {
        if data.len() > self.config.proposal_bytes {
            return Err(RequestError::TooLarge {
                bytes: data.len(),
                limit: self.config.proposal_bytes,
            });
        }
        self.append_proposal(data)
    }

    /// Starts a read. The outcome follows in [`Ready::reads`] with the same token, once a quorum
    /// has confirmed that this replica was the leader after the read was accepted.
    pub fn read(&mut self, token: u64) -> Result<(), RequestError> {
        let error = self.not_leader();
        let State::Leader(leader) = &mut self.state else {
            return Err(error);
        };
        leader.waiting_reads.push(token);
        Ok(())
    }

    /// Appends a membership change. It takes effect when it is appended, and is committed like a
    /// command.
    pub fn change(&mut self, change: Change) -> Result<Position, RequestError> {
        self.append_change(change)
    }

    /// Transfers leadership, for a planned stop, and returns the replica that takes over. The
    /// lease is given up, and proposals are refused from now on. If `to` has not taken over within
    /// an election timeout, this replica steps down. `None` picks the voter with the most entries
    /// among those that have answered within an election timeout.
    pub fn transfer(&mut self, to: Option<Host>) -> Result<Host, RequestError> {
        self.start_transfer(to)
    }

    /// Takes the work that the caller has to do next; see [`Ready`] for its order.
    pub fn ready(&mut self) -> Ready {
        self.start_reads();
        self.replicate();
        let persist = self.writes.take_persist(&self.log);
        let messages = self.take_messages();
        let snapshot = self.take_restore();
        let committed = self.take_committed();
        let reads = self.take_reads();
        Ready {
            persist,
            messages,
            snapshot,
            committed,
            reads,
            soft_state: self.take_soft_state(),
        }
    }

    /// Acknowledges that every [`Persist`](super::Persist) up to `sequence` is on disk.
    pub fn persisted(&mut self, sequence: u64) {
        self.writes.acknowledge(sequence);
        let acknowledged = self.writes.acknowledged();
        let id = self.config.id;
        let to_self = self.outbox.extract_if(.., |pending| {
            pending.after_write <= acknowledged && pending.envelope.to == id
        });
        let to_self: Vec<PendingMessage> = to_self.collect();
        for pending in to_self {
            self.step(id, pending.envelope.message, self.now);
        }
        self.advance_commit();
    }

    /// Metadata for a snapshot of the state machine at the index `applied`. `None` if the index is
    /// not above that of the latest snapshot or was not handed out for applying yet.
    pub fn snapshot_meta(&self, applied: Index) -> Option<SnapshotMeta> {
        if applied <= self.log.snapshot.meta.last.index || applied > self.applied {
            return None;
        }
        Some(SnapshotMeta {
            last: Position {
                term: self.log.term_at(applied)?,
                index: applied,
            },
            membership: self.log.membership_at(applied).clone(),
        })
    }

    /// Replaces the latest snapshot by one that the caller has saved to disk, and drops the
    /// entries that it contains, except for some that slow followers may still need. The snapshot
    /// is ignored if its metadata is not what [`Replica::snapshot_meta`] returns, because a newer
    /// one was installed then.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let expected = self.snapshot_meta(snapshot.meta.last.index);
        if expected.as_ref() == Some(&snapshot.meta) {
            self.log.compact(snapshot, self.config.trailing_bytes);
        }
    }

    /// The leader's lease, which is held while no other leader can exist. `None` unless this
    /// replica is the leader, has committed an entry in its term, and is not transferring
    /// leadership.
    pub fn lease(&self) -> Option<Lease> {
        match &self.state {
            State::Leader(leader) if leader.transfer.is_none() => {
                (self.commit >= leader.first_index).then_some(leader.lease)
            }
            _ => None,
        }
    }

    /// Whether this replica knows the leader and has applied an entry of its term, and thereby
    /// everything that was committed in earlier terms. False after a restart until the leader makes
    /// contact, because entries that follow the snapshot may be committed.
    pub fn is_caught_up(&self) -> bool {
        self.leader.is_some() && self.log.term_at(self.applied) == Some(self.hard_state.term)
    }

    /// State for health checks and metrics.
    pub fn status(&self) -> Status {
        let matched = match &self.state {
            State::Leader(leader) => leader
                .progress
                .iter()
                .map(|(&host, progress)| (host, progress.matched))
                .collect(),
            _ => Vec::new(),
        };
        Status {
            role: self.role(),
            leader: self.leader,
            term: self.hard_state.term,
            last: self.log.last(),
            persisted: self.writes.persisted(),
            commit: self.commit,
            applied: self.applied,
            snapshot: self.log.snapshot.meta.last.index,
            log_bytes: self.log.bytes(),
            membership: self.log.membership().clone(),
            membership_index: self.log.membership_index(),
            matched,
        }
    }

    pub(super) fn role(&self) -> Role {
        match self.state {
            State::Follower => Role::Follower,
            State::PreCandidate { .. } => Role::PreCandidate,
            State::Candidate { .. } => Role::Candidate,
            State::Leader(_) => Role::Leader,
        }
    }

    pub(super) fn not_leader(&self) -> RequestError {
        RequestError::NotLeader {
            leader: self.leader.filter(|&leader| leader != self.config.id),
        }
    }

    /// Queues a message that is sent once the write `after_write` is acknowledged; 0 waits for no
    /// write.
    pub(super) fn send(&mut self, to: Host, body: Body, after_write: u64) {
        let message = Message {
            term: self.hard_state.term,
            body,
        };
        self.outbox.push(PendingMessage {
            after_write,
            envelope: Envelope { to, message },
        });
    }

    /// Queues a message that is sent once the whole current state is on disk.
    pub(super) fn send_after_persist(&mut self, to: Host, body: Body) {
        let after_write = self.writes.full_state_sequence(self.log.last().index);
        self.send(to, body, after_write);
    }

    /// Queues a message that is sent once the current term and vote are on disk.
    pub(super) fn send_after_hard_state(&mut self, to: Host, body: Body) {
        let after_write = self.writes.hard_state_sequence();
        self.send(to, body, after_write);
    }

    pub(super) fn set_hard_state(&mut self, term: Term, vote: Option<Host>) {
        self.hard_state = HardState { term, vote };
        self.writes.set_hard_state(self.hard_state);
    }

    /// Raises the commit index to `index`, but not beyond the end of the log.
    pub(super) fn commit_to(&mut self, index: Index) {
        self.commit = self.commit.max(index.min(self.log.last().index));
    }

    fn take_messages(&mut self) -> Vec<Envelope> {
        let acknowledged = self.writes.acknowledged();
        let id = self.config.id;
        let sendable = self.outbox.extract_if(.., |pending| {
            pending.after_write <= acknowledged && pending.envelope.to != id
        });
        sendable.map(|pending| pending.envelope).collect()
    }

    fn take_restore(&mut self) -> Option<Snapshot> {
        let index = self.pending_restore.as_ref()?.meta.last.index;
        if self.writes.persisted() < index {
            return None;
        }
        self.applied = index;
        self.pending_restore.take()
    }

    fn take_committed(&mut self) -> Vec<Entry> {
        let to = self.commit.min(self.writes.persisted());
        if self.pending_restore.is_some() || to <= self.applied {
            return Vec::new();
        }
        let max_bytes = self.config.inflight_bytes;
        let entries = self.log.slice(self.applied + 1, to, max_bytes);
        self.applied += entries.len() as u64;
        entries
    }

    fn take_reads(&mut self) -> Vec<Read> {
        let applied = self.applied;
        let due = |read: &mut Read| !read.outcome.is_ok_and(|index| index > applied);
        self.reads.extract_if(.., due).collect()
    }

    fn take_soft_state(&mut self) -> Option<SoftState> {
        let soft_state = SoftState {
            role: self.role(),
            leader: self.leader,
            term: self.hard_state.term,
        };
        let changed = soft_state != self.soft_state;
        self.soft_state = soft_state;
        changed.then_some(soft_state)
    }
}

fn check_contiguous(durable: &DurableState) -> Result<(), ConfigError> {
    let mut previous = durable.snapshot.meta.last.index;
    for entry in &durable.entries {
        let found = entry.position.index;
        if found != previous + 1 {
            return Err(ConfigError::Gap { found, previous });
        }
        previous = found;
    }
    Ok(())
}
