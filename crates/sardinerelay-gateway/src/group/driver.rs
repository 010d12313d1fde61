//! Drives the replica: persist, then send, then apply.
//!
//! One task owns the replica, the register and the thread that writes the log. The replica itself
//! holds back whatever depends on a write that is not synced yet, so the task never waits for the
//! disk.

use {
    super::{
        links::Links,
        register::{Command, Document, Register},
        repair::{self, Joiner, Seen, Step},
    },
    bytes::Bytes,
    log::{debug, info, warn},
    sardinerelay::{
        id::{Host, Index, Version},
        raft::{
            self, DurableState, Message, Payload, Position, Ready, Replica, RequestError, Role,
            Snapshot,
        },
        state,
        wal::Store,
    },
    sardinerelayd::control::{
        FatalError,
        disk::{Disk, SnapshotThreshold},
        reads::Reads,
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{mpsc::Receiver, oneshot::Sender, watch},
        time::{Instant as Deadline, sleep_until},
    },
};

/// Inputs that are handled before the replica's work is done, so that one sync covers many.
const GROUP: usize = 64;
/// When a snapshot is taken. The disk holds some tens of times as many bytes.
const SNAPSHOT_THRESHOLD: SnapshotThreshold = SnapshotThreshold {
    entries: 4096,
    bytes: 4 << 20,
};
/// Interval between looks at the membership.
const REPAIR_EVERY: Duration = Duration::from_millis(250);

/// What became of a request to the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Done; the version held by then.
    Done(Version),
    /// This replica does not lead.
    NotLeader(Option<Host>),
    /// It may have been done or not.
    Unknown,
}

/// A request to the driver.
#[derive(Debug)]
pub(super) enum Input {
    Step(Host, Vec<Message>),
    Submit(Document, Sender<Outcome>),
    /// Asks for the version that a quorum confirms as the newest committed one.
    Confirm(Sender<Outcome>),
    Join(Host, bool, Sender<Standing>),
    Standing(Host, Sender<Standing>),
    Transfer,
}

/// What a replica says of the group and of one host.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// The leader, if known.
    pub leader: Option<Host>,
    /// Whether the answering replica leads with a quorum.
    pub leads: bool,
    /// Whether the host is a member.
    pub member: bool,
    /// Whether the host votes.
    pub votes: bool,
    /// All members.
    pub members: Vec<Host>,
}

#[derive(Debug)]
pub(super) struct Driver {
    replica: Replica,
    register: Register,
    applied: Index,
    newest: watch::Sender<Option<Arc<Document>>>,
    standing: watch::Sender<Standing>,
    lead: watch::Sender<raft::SoftState>,
    links: Links,
    disk: Disk,
    pending: BTreeMap<Index, Sender<Outcome>>,
    reads: Reads<Outcome>,
    joiners: BTreeMap<Host, Joiner>,
    heard: BTreeMap<Host, Instant>,
    led_since: Option<Instant>,
    looked: Instant,
}

impl Driver {
    pub(super) fn new(
        config: raft::Config,
        (store, durable): (Store, DurableState),
        links: Links,
        (newest, standing, lead): (
            watch::Sender<Option<Arc<Document>>>,
            watch::Sender<Standing>,
            watch::Sender<raft::SoftState>,
        ),
    ) -> Result<Self, FatalError> {
        let register = decode(&durable.snapshot.data)?;
        let applied = durable.snapshot.meta.last.index;
        let snapshot_bytes = durable.snapshot.data.len();
        let replica = Replica::new(config, durable, Instant::now())?;
        let disk = Disk::start(store, snapshot_bytes)?;
        let driver = Self {
            replica,
            register,
            applied,
            newest,
            standing,
            lead,
            links,
            disk,
            pending: BTreeMap::new(),
            reads: Reads::default(),
            joiners: BTreeMap::new(),
            heard: BTreeMap::new(),
            led_since: None,
            looked: Instant::now(),
        };
        driver.publish();
        Ok(driver)
    }

    /// Runs until the input ends or a write fails.
    pub(super) async fn run(mut self, mut inputs: Receiver<Input>) -> Result<(), FatalError> {
        self.work()?;
        loop {
            let look = self.looked + REPAIR_EVERY;
            let deadline = Deadline::from_std(self.replica.deadline().min(look));
            tokio::select! {
                biased;
                Some(completion) = self.disk.next_completion() => self.disk.handle_completion(completion, &mut self.replica)?,
                input = inputs.recv() => match input {
                    Some(input) => self.inputs(input, &mut inputs),
                    None => return Ok(()),
                },
                () = sleep_until(deadline) => {}
            }
            let now = Instant::now();
            self.replica.tick(now);
            if now >= look {
                self.looked = now;
                self.repair(now);
            }
            self.work()?;
        }
    }

    fn inputs(&mut self, first: Input, inputs: &mut Receiver<Input>) {
        self.input(first);
        for _ in 1..GROUP {
            match inputs.try_recv() {
                Ok(input) => self.input(input),
                Err(_) => return,
            }
        }
    }

    /// Whoever asked may have given up meanwhile; answers to nobody are dropped.
    fn input(&mut self, input: Input) {
        let now = Instant::now();
        match input {
            Input::Step(from, messages) => {
                self.heard.insert(from, now);
                for message in messages {
                    self.replica.step(from, message, now);
                }
            }
            Input::Submit(document, reply) => self.submit(document, reply),
            Input::Confirm(reply) => self.reads.start(&mut self.replica, reply),
            Input::Join(host, founding, reply) => {
                self.joiners.insert(
                    host,
                    Joiner {
                        asked: now,
                        founding,
                    },
                );
                let _ = reply.send(self.standing_of(host));
            }
            Input::Standing(host, reply) => {
                let _ = reply.send(self.standing_of(host));
            }
            Input::Transfer => match self.replica.transfer(None) {
                Ok(to) => info!(to = to; "leadership is being transferred"),
                Err(refusal) => debug!("leadership is not transferred: {refusal}"),
            },
        }
    }

    fn submit(&mut self, document: Document, reply: Sender<Outcome>) {
        if document.version <= self.register.version() {
            // The version held may be uncommitted knowledge of an old leader only if this replica
            // applied it, and what is applied is committed.
            let _ = reply.send(Outcome::Done(self.register.version()));
            return;
        }
        match self.propose(&Command::Submit(document)) {
            Ok(Position { index, .. }) => {
                if let Some(lost) = self.pending.insert(index, reply) {
                    let _ = lost.send(Outcome::Unknown);
                }
            }
            Err(refusal) => {
                let _ = reply.send(refusal.into());
            }
        }
    }

    fn propose(&mut self, command: &Command) -> Result<Position, RequestError> {
        // The command consists of integers and bytes, which always encode.
        let data = postcard::to_stdvec(command).map_err(|_| RequestError::NotApplicable)?;
        self.replica.propose(Bytes::from(data))
    }

    fn standing_of(&self, host: Host) -> Standing {
        let status = self.replica.status();
        Standing {
            leader: status.leader,
            leads: status.role == Role::Leader && self.replica.lease().is_some(),
            member: status.membership.contains(host),
            votes: status.membership.voters.contains(&host),
            members: status.membership.hosts().collect(),
        }
    }

    fn work(&mut self) -> Result<(), FatalError> {
        loop {
            let ready = self.replica.ready();
            if ready.is_empty() {
                break;
            }
            self.handle(ready)?;
        }
        self.compact();
        Ok(())
    }

    fn handle(&mut self, ready: Ready) -> Result<(), FatalError> {
        if let Some(persist) = ready.persist {
            self.disk.persist(persist);
        }
        for envelope in ready.messages {
            self.links.send(envelope.to, envelope.message);
        }
        if let Some(snapshot) = ready.snapshot {
            self.restore(&snapshot)?;
        }
        for entry in ready.committed {
            self.apply(entry)?;
        }
        for read in ready.reads {
            if let Some(reply) = self.reads.take(read.token) {
                let outcome = match read.outcome {
                    Ok(_) => Outcome::Done(self.register.version()),
                    Err(refusal) => refusal.into(),
                };
                let _ = reply.send(outcome);
            }
        }
        if let Some(soft) = ready.soft_state {
            self.led(soft);
        }
        Ok(())
    }

    fn led(&mut self, soft: raft::SoftState) {
        let now = Instant::now();
        let leads = soft.role == Role::Leader;
        if leads && self.led_since.is_none() {
            self.led_since = Some(now);
            self.heard.clear();
        }
        if !leads {
            self.led_since = None;
            // An entry that another leader may drop or commit has no certain outcome.
            for (_, reply) in std::mem::take(&mut self.pending) {
                let _ = reply.send(Outcome::Unknown);
            }
        }
        self.lead.send_replace(soft);
        info!(
            term = soft.term, leader = soft.leader.unwrap_or_default(), leads = leads;
            "leadership changed"
        );
        let own = self.replica.id();
        self.standing.send_replace(self.standing_of(own));
    }

    fn restore(&mut self, snapshot: &Snapshot) -> Result<(), FatalError> {
        self.register = decode(&snapshot.data)?;
        self.applied = snapshot.meta.last.index;
        self.disk.reset_to_snapshot(snapshot);
        info!(version = self.register.version(), index = self.applied; "snapshot restored");
        let later = self.pending.split_off(&(self.applied + 1));
        for (_, reply) in std::mem::replace(&mut self.pending, later) {
            let _ = reply.send(Outcome::Unknown);
        }
        self.publish();
        Ok(())
    }

    fn apply(&mut self, entry: raft::Entry) -> Result<(), FatalError> {
        let index = entry.position.index;
        let bytes = match &entry.payload {
            Payload::Data(data) => data.len(),
            _ => 0,
        };
        self.disk.count_applied(bytes);
        self.applied = index;
        match entry.payload {
            Payload::Data(data) => {
                let command = postcard::from_bytes(&data).map_err(state::Error::from)?;
                let held = self.register.apply(command);
                info!(index = index, version = held; "command applied");
                self.publish();
                if let Some(reply) = self.pending.remove(&index) {
                    let _ = reply.send(Outcome::Done(held));
                }
            }
            Payload::Membership(membership) => {
                info!(
                    index = index,
                    voters = membership.voters.len(),
                    learners = membership.learners.len();
                    "membership changed"
                );
                let members: BTreeSet<Host> = membership.hosts().collect();
                self.links.keep(&members);
                let own = self.replica.id();
                self.standing.send_replace(self.standing_of(own));
            }
            Payload::Empty => {}
        }
        Ok(())
    }

    fn publish(&self) {
        let shown = self
            .newest
            .borrow()
            .as_ref()
            .map_or(0, |shown| shown.version);
        if self.register.version() > shown {
            let newest = self.register.newest.clone().map(Arc::new);
            self.newest.send_replace(newest);
        }
    }

    /// Takes the next step towards the wanted membership, if this replica leads and the step
    /// before is committed.
    fn repair(&mut self, now: Instant) {
        let Some(since) = self.led_since else {
            return;
        };
        let status = self.replica.status();
        repair::expire(&mut self.joiners, &status.membership, now);
        if status.membership_index > status.commit || self.replica.lease().is_none() {
            return;
        }
        for host in status.membership.hosts() {
            self.heard.entry(host).or_insert(since);
        }
        let wanted = (self.register.voters as usize).max(FOUNDERS);
        let seen = Seen {
            membership: &status.membership,
            leader: self.replica.id(),
            wanted,
            heard: &self.heard,
            joiners: &self.joiners,
        };
        let Some(step) = seen.next(now) else {
            return;
        };
        let done = match step {
            Step::Change(change) => self.replica.change(change).map(|_| ()),
            Step::Grow(voters) => self.propose(&Command::Grow(voters as u32)).map(|_| ()),
        };
        match done {
            Ok(()) => info!(step:? = step; "repairing the membership"),
            Err(refusal) => debug!("{step:?} has to wait: {refusal}"),
        }
    }

    fn compact(&mut self) {
        if !self.disk.is_snapshot_due(SNAPSHOT_THRESHOLD) {
            return;
        }
        let register = self.register.clone();
        let encode = Box::new(move || Ok(postcard::to_stdvec(&register)?));
        self.disk.save_snapshot(&self.replica, self.applied, encode);
    }
}

/// Voters that found the group, and the least that it is to have.
pub const FOUNDERS: usize = 3;

fn decode(data: &Bytes) -> Result<Register, FatalError> {
    if data.is_empty() {
        return Ok(Register::default());
    }
    Ok(postcard::from_bytes(data).map_err(state::Error::from)?)
}

impl From<RequestError> for Outcome {
    fn from(refusal: RequestError) -> Self {
        match refusal {
            RequestError::NotLeader { leader } => Self::NotLeader(leader),
            refusal => {
                warn!(reason:% = refusal; "the request to the leader is not taken");
                Self::NotLeader(None)
            }
        }
    }
}
