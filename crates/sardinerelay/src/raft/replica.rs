//! The replica and its public operations.

use {
    super::{
        config::{Config, ConfigError},
        disk::Disk,
        leader::Leader,
        log::Log,
        membership::{Change, Membership},
        message::{
            Body, DurableState, Entry, Envelope, HardState, Message, Position, Snapshot,
            SnapshotMeta,
        },
        ready::{Read, Ready, SoftState},
        transfer::Incoming,
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
    /// Appends entries.
    Leader,
}

/// Why a request was refused. Nothing was done, except where a variant says otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RequestError {
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
    #[error("proposal of {bytes} bytes exceeds the limit of {limit}")]
    TooLarge {
        /// Size of the proposal in bytes.
        bytes: usize,
        /// Limit in bytes.
        limit: usize,
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
    /// The learner lacks too many entries to become a voter.
    #[error("replica {host} lacks {entries} entries")]
    Lagging {
        /// The replica.
        host: Host,
        /// Number of entries it is not known to have.
        entries: u64,
    },
    /// The replica that would become a voter or the leader has not answered lately.
    #[error("replica {host} has not answered within the election timeout")]
    Unresponsive {
        /// The replica.
        host: Host,
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
    /// Entry that holds the current membership. It is committed if this is at most the commit
    /// index.
    pub membership_index: Index,
    /// On the leader, the last entry that each other member is known to have on disk.
    pub matched: Vec<(Host, Index)>,
}

/// What a replica keeps for its role.
#[derive(Debug)]
pub(super) enum State {
    Follower,
    PreCandidate { granted: BTreeSet<Host> },
    Candidate { granted: BTreeSet<Host> },
    Leader(Box<Leader>),
}

/// A message that may be sent once a write is done.
#[derive(Debug)]
pub(super) struct Held {
    /// Sequence of the write; 0 if the message depends on none.
    pub(super) gate: u64,
    pub(super) envelope: Envelope,
}

/// A replica of the group.
///
/// # Panics
///
/// [`Replica::step`] panics if a leader contradicts a committed entry or if two replicas lead in
/// one term. The group's safety is lost then, and going on would spread the damage.
#[derive(Debug)]
pub struct Replica {
    pub(super) config: Config,
    pub(super) random: StdRng,
    pub(super) now: Instant,
    pub(super) hard: HardState,
    pub(super) log: Log,
    pub(super) disk: Disk,
    pub(super) state: State,
    pub(super) leader: Option<Host>,
    /// When a leader was heard last, or this replica was restarted. Votes are refused for the
    /// election timeout after it.
    pub(super) heard: Option<Instant>,
    pub(super) election: Instant,
    pub(super) commit: Index,
    pub(super) applied: Index,
    pub(super) incoming: Option<Incoming>,
    /// An installed snapshot that was not handed out for restoring yet.
    pub(super) restore: Option<Snapshot>,
    pub(super) outbox: Vec<Held>,
    /// Decided reads, in the order of their index.
    pub(super) reads: Vec<Read>,
    soft: SoftState,
}

impl Replica {
    /// Starts a replica from what its disk holds, as a follower. Unless it is new, it neither
    /// votes nor campaigns within one election timeout, because it may have answered a leader
    /// whose lease relies on that before it was restarted.
    pub fn new(config: Config, durable: DurableState, now: Instant) -> Result<Self, ConfigError> {
        config.validate()?;
        check_entries(&durable)?;
        let hard = durable.hard_state;
        let log = Log::new(durable);
        let applied = log.base();
        let restore = (applied > 0).then(|| log.snapshot.clone());
        let soft = SoftState {
            role: Role::Follower,
            leader: None,
            term: hard.term,
        };
        let mut replica = Self {
            random: StdRng::seed_from_u64(config.seed),
            now,
            hard,
            disk: Disk::new(log.last().index),
            log,
            state: State::Follower,
            leader: None,
            heard: (hard.term > 0).then_some(now),
            election: now,
            commit: applied,
            applied,
            incoming: None,
            restore,
            outbox: Vec::new(),
            reads: Vec::new(),
            soft,
            config,
        };
        replica.reset_election();
        Ok(replica)
    }

    /// This replica's id.
    pub fn id(&self) -> Host {
        self.config.id
    }

    /// When [`Replica::tick`] has to be called next at the latest.
    pub fn deadline(&self) -> Instant {
        match &self.state {
            State::Leader(leader) => leader.next_heartbeat,
            _ => self.election,
        }
    }

    /// Acts on elapsed time. `now` never goes back; an earlier value counts as the latest one.
    pub fn tick(&mut self, now: Instant) {
        self.now = self.now.max(now);
        match self.state {
            State::Leader(_) => self.tick_leader(),
            _ if self.now >= self.election => self.election_timeout(),
            _ => {}
        }
    }

    /// Appends a command to the leader's log. It is committed if the entry with the returned
    /// position is handed out for applying, and lost if another entry is at its index. Until
    /// then its outcome is unknown, also after this replica stops being the leader.
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
        let refusal = self.not_leader();
        let State::Leader(leader) = &mut self.state else {
            return Err(refusal);
        };
        leader.waiting_reads.push(token);
        Ok(())
    }

    /// Appends a membership change. It takes effect at once and is committed like a command.
    pub fn change(&mut self, change: Change) -> Result<Position, RequestError> {
        self.append_change(change)
    }

    /// Transfers leadership, for a planned stop. The lease is given up and proposals are refused
    /// from here on. If `to` has not taken over within an election timeout, this replica steps
    /// down. `None` picks the voter with the most entries among those that have answered
    /// lately.
    pub fn transfer(&mut self, to: Option<Host>) -> Result<Host, RequestError> {
        self.start_transfer(to)
    }

    /// Takes the work that has to be done next; see [`Ready`] for its order.
    pub fn ready(&mut self) -> Ready {
        self.start_reads();
        self.replicate();
        let persist = self.disk.take(&self.log);
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
            soft_state: self.take_soft(),
        }
    }

    /// Says that every [`Persist`](super::Persist) up to `sequence` is on disk.
    pub fn persisted(&mut self, sequence: u64) {
        self.disk.acknowledge(sequence);
        let done = self.disk.done();
        let id = self.config.id;
        let own = self
            .outbox
            .extract_if(.., |held| held.gate <= done && held.envelope.to == id);
        let own: Vec<Held> = own.collect();
        for held in own {
            self.step(id, held.envelope.message, self.now);
        }
        self.advance_commit();
    }

    /// What a snapshot of the state machine stands for that is taken at `applied`, an index
    /// that was handed out for applying. `None` if the index is not above the latest snapshot
    /// or was not handed out yet.
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

    /// Takes over a snapshot that the caller has saved to disk, and drops the entries that it
    /// contains, except for some that slow followers may still need. A snapshot whose meta is
    /// not what [`Replica::snapshot_meta`] returns is ignored; a newer one was installed then.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let expected = self.snapshot_meta(snapshot.meta.last.index);
        if expected.as_ref() == Some(&snapshot.meta) {
            self.log.compact(snapshot, self.config.trailing_bytes);
        }
    }

    /// The leader's lease: held while no other leader can exist. `None` unless this replica is
    /// the leader, has committed an entry in its term, and is not transferring leadership.
    pub fn lease(&self) -> Option<Lease> {
        match &self.state {
            State::Leader(leader) if leader.transfer.is_none() => {
                (self.commit >= leader.first).then_some(leader.lease)
            }
            _ => None,
        }
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
            term: self.hard.term,
            last: self.log.last(),
            persisted: self.disk.persisted(),
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

    /// Queues a message that waits for the write `gate`.
    pub(super) fn send(&mut self, to: Host, body: Body, gate: u64) {
        let message = Message {
            term: self.hard.term,
            body,
        };
        self.outbox.push(Held {
            gate,
            envelope: Envelope { to, message },
        });
    }

    /// Sends after everything that the replica holds now is on disk.
    pub(super) fn send_persisted(&mut self, to: Host, body: Body) {
        let gate = self.disk.gate(self.log.last().index);
        self.send(to, body, gate);
    }

    /// Sends after the term and vote are on disk.
    pub(super) fn send_in_term(&mut self, to: Host, body: Body) {
        let gate = self.disk.hard_gate();
        self.send(to, body, gate);
    }

    pub(super) fn set_hard_state(&mut self, term: Term, vote: Option<Host>) {
        self.hard = HardState { term, vote };
        self.disk.set_hard_state(self.hard);
    }

    /// Raises the commit index.
    pub(super) fn commit_to(&mut self, index: Index) {
        self.commit = self.commit.max(index.min(self.log.last().index));
    }

    fn take_messages(&mut self) -> Vec<Envelope> {
        let done = self.disk.done();
        let id = self.config.id;
        let sendable = self
            .outbox
            .extract_if(.., |held| held.gate <= done && held.envelope.to != id);
        sendable.map(|held| held.envelope).collect()
    }

    fn take_restore(&mut self) -> Option<Snapshot> {
        let index = self.restore.as_ref()?.meta.last.index;
        if self.disk.persisted() < index {
            return None;
        }
        self.applied = index;
        self.restore.take()
    }

    fn take_committed(&mut self) -> Vec<Entry> {
        let to = self.commit.min(self.disk.persisted());
        if self.restore.is_some() || to <= self.applied {
            return Vec::new();
        }
        let most = self.config.inflight_bytes;
        let entries = self.log.slice(self.applied + 1, to, most);
        self.applied += entries.len() as u64;
        entries
    }

    fn take_reads(&mut self) -> Vec<Read> {
        let applied = self.applied;
        let due = |read: &mut Read| !read.outcome.is_ok_and(|index| index > applied);
        self.reads.extract_if(.., due).collect()
    }

    fn take_soft(&mut self) -> Option<SoftState> {
        let soft = SoftState {
            role: self.role(),
            leader: self.leader,
            term: self.hard.term,
        };
        let changed = soft != self.soft;
        self.soft = soft;
        changed.then_some(soft)
    }
}

fn check_entries(durable: &DurableState) -> Result<(), ConfigError> {
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
