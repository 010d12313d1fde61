//! Drives the replica: persists its log, sends its messages and applies committed entries.
//!
//! One task owns the replica, the replicated register and the thread that writes the log. The
//! replica itself holds back whatever depends on a write that is not synced yet, so the task never
//! waits for the disk.

mod status;

use {
    super::{
        channels::{Input, Outcome, Published},
        links::Links,
        member,
        register::{Command, Document, Register},
        repair::{self, GroupState, JoinRequest, Step},
    },
    crate::distribution::Publisher,
    bytes::Bytes,
    log::{debug, info},
    sardinerelay::{
        id::{Host, Index},
        raft::{
            self, DurableState, Payload, Position, Ready, Replica, RequestError, Role, Snapshot,
        },
        state,
        wal::Store,
    },
    sardinerelayd::control::{
        FatalError,
        disk::{Disk, SnapshotThreshold},
        proposals::Proposals,
        reads::Reads,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::Ipv4Addr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{mpsc::Receiver, oneshot::Sender},
        time::{Instant as TokioInstant, sleep_until},
    },
};

/// Largest number of inputs that are handled before the replica's output is processed, so that one
/// sync covers many of them.
const MAX_INPUT_BATCH: usize = 64;
/// Growth of the log after which a snapshot is taken. The disk has room for some tens of times as
/// many bytes.
const SNAPSHOT_THRESHOLD: SnapshotThreshold = SnapshotThreshold {
    entries: 4096,
    bytes: 4 << 20,
};
/// Interval at which the leader checks whether the membership needs a repair.
const REPAIR_INTERVAL: Duration = Duration::from_millis(250);
/// The same while a repair is under way: it bears no further loss before it has ended.
const REPAIR_STEP_INTERVAL: Duration = Duration::from_millis(20);

/// The task that owns the replica.
#[derive(Debug)]
pub(super) struct Driver {
    replica: Replica,
    register: Register,
    /// Index of the last entry that was applied.
    applied: Index,
    /// Whether the register has been as new as the leader's since this process started.
    has_caught_up: bool,
    published: Published,
    /// Distributes the newest configuration to entry hosts.
    publisher: Arc<Publisher>,
    links: Links,
    disk: Disk,
    proposals: Proposals<Outcome>,
    reads: Reads<Outcome>,
    join_requests: BTreeMap<Ipv4Addr, JoinRequest>,
    /// When messages from each member last arrived.
    last_heard: BTreeMap<Host, Instant>,
    /// When each voter last said that it is about to end.
    leaving: BTreeMap<Host, Instant>,
    /// Since when this replica has been the leader, none if it is not.
    leader_since: Option<Instant>,
    /// The last leader on another host.
    last_leader: Option<Host>,
    next_repair: Instant,
}

impl Driver {
    pub(super) fn new(
        config: raft::Config,
        (store, durable): (Store, DurableState),
        links: Links,
        publisher: Arc<Publisher>,
        published: Published,
    ) -> Result<Self, FatalError> {
        let register = decode_register(&durable.snapshot.data)?;
        register
            .newest
            .iter()
            .for_each(|newest| publisher.record(newest));
        published
            .exclusions
            .send_replace(register.exclusions.clone());
        let applied = durable.snapshot.meta.last.index;
        let snapshot_bytes = durable.snapshot.data.len();
        let replica = Replica::new(config, durable, Instant::now())?;
        let disk = Disk::start(store, snapshot_bytes)?;
        Ok(Self {
            replica,
            register,
            applied,
            has_caught_up: false,
            published,
            publisher,
            links,
            disk,
            proposals: Proposals::default(),
            reads: Reads::default(),
            join_requests: BTreeMap::new(),
            last_heard: BTreeMap::new(),
            leaving: BTreeMap::new(),
            leader_since: None,
            last_leader: None,
            next_repair: Instant::now(),
        })
    }

    /// Runs until all senders of inputs are gone or a write fails.
    pub(super) async fn run(mut self, mut inputs: Receiver<Input>) -> Result<(), FatalError> {
        self.process_output()?;
        loop {
            let wake_up = self.replica.deadline().min(self.next_repair);
            let wake_up = TokioInstant::from_std(wake_up);
            tokio::select! {
                biased;
                completion = self.disk.next_completion() => match completion {
                    Some(completion) => self.disk.handle_completion(completion, &mut self.replica)?,
                    // Nothing would be written any more, and a leader would still send heartbeats.
                    None => return Err(FatalError::Panic),
                },
                input = inputs.recv() => match input {
                    Some(input) => self.handle_inputs(input, &mut inputs),
                    None => return Ok(()),
                },
                () = sleep_until(wake_up) => {}
            }
            let now = Instant::now();
            self.replica.tick(now);
            if now >= self.next_repair {
                let is_under_way = self.repair(now);
                self.publish_heard(now);
                self.next_repair = now
                    + match is_under_way {
                        true => REPAIR_STEP_INTERVAL,
                        false => REPAIR_INTERVAL,
                    };
            }
            self.process_output()?;
        }
    }

    fn handle_inputs(&mut self, first: Input, inputs: &mut Receiver<Input>) {
        self.handle_input(first);
        for _ in 1..MAX_INPUT_BATCH {
            match inputs.try_recv() {
                Ok(input) => self.handle_input(input),
                Err(_) => return,
            }
        }
    }

    /// Handles an input. A reply is dropped if the requester has given up.
    fn handle_input(&mut self, input: Input) {
        let now = Instant::now();
        match input {
            Input::Step(from, messages) => {
                self.last_heard.insert(from, now);
                for message in messages {
                    self.replica.step(from, message, now);
                }
            }
            Input::Submit(document, reply) => self.submit(document, reply),
            Input::Confirm(reply) => self.reads.start(&mut self.replica, reply),
            Input::Join(host, is_founding, reply) => {
                self.join_requests.insert(
                    member::address(host),
                    JoinRequest {
                        host,
                        received_at: now,
                        is_founding,
                    },
                );
                let _ = reply.send(self.status_of(host));
            }
            Input::Status(host, reply) => {
                let _ = reply.send(self.status_of(host));
            }
            Input::Leave(host, reply) => {
                if self.leaving.insert(host, now).is_none() {
                    info!(host = host, address:% = member::address(host); "a voter is about to end");
                }
                self.next_repair = now;
                let _ = reply.send(self.status_of(host));
            }
            Input::Exclude(exclusions) => {
                if let Err(error) = self.propose(Command::Exclude(exclusions)) {
                    debug!("exclusions can't be proposed now: {error}");
                }
            }
            Input::Order(order, reply) => match self.propose(Command::Order(order)) {
                Ok(position) => self.proposals.insert(position, reply),
                Err(error) => {
                    let _ = reply.send(error.into());
                }
            },
            Input::Transfer => match self.replica.transfer(None) {
                Ok(to) => info!(to = to; "transferring leadership"),
                Err(error) => debug!("leadership can't be transferred: {error}"),
            },
        }
    }

    fn submit(&mut self, document: Document, reply: Sender<Outcome>) {
        if document.version <= self.register.version() {
            // The register holds only what was applied, and only committed entries are applied. So
            // this answer is right even if this replica is no longer the leader.
            let _ = reply.send(Outcome::Done(self.register.version()));
            return;
        }
        match self.propose(Command::Submit(document)) {
            Ok(position) => self.proposals.insert(position, reply),
            Err(error) => {
                let _ = reply.send(error.into());
            }
        }
    }

    fn propose(&mut self, command: Command) -> Result<Position, RequestError> {
        // This never fails, because integers and bytes can always be encoded.
        let data = command.encode().map_err(|_| RequestError::NotApplicable)?;
        self.replica.propose(Bytes::from(data))
    }

    /// Processes the replica's output until there is none, then takes a snapshot if one is due.
    fn process_output(&mut self) -> Result<(), FatalError> {
        loop {
            let ready = self.replica.ready();
            if ready.is_empty() {
                break;
            }
            self.handle_ready(ready)?;
        }
        self.compact();
        Ok(())
    }

    fn handle_ready(&mut self, ready: Ready) -> Result<(), FatalError> {
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
        if !self.has_caught_up && self.replica.is_caught_up() {
            self.has_caught_up = true;
            info!(version = self.register.version(), index = self.applied; "caught up with the leader");
            self.publish();
        }
        for read in ready.reads {
            if let Some(reply) = self.reads.take(read.token) {
                let outcome = match read.outcome {
                    Ok(_) => Outcome::Done(self.register.version()),
                    Err(error) => error.into(),
                };
                let _ = reply.send(outcome);
            }
        }
        if let Some(soft_state) = ready.soft_state {
            self.update_leadership(soft_state);
        }
        Ok(())
    }

    /// Publishes a change of the leader or of this replica's role. Proposals that are pending when
    /// this replica loses the leadership end with an unknown outcome.
    fn update_leadership(&mut self, soft_state: raft::SoftState) {
        let now = Instant::now();
        let is_leader = soft_state.role == Role::Leader;
        if is_leader && self.leader_since.is_none() {
            self.leader_since = Some(now);
            // A follower hears only from the leader, so this is all that it knows of the others.
            let last_leader = self.last_leader;
            self.last_heard.retain(|host, _| Some(*host) == last_leader);
        }
        if !is_leader && soft_state.leader.is_some() {
            self.last_leader = soft_state.leader;
        }
        if !is_leader {
            self.leader_since = None;
            // The next leader may commit these entries or overwrite them.
            self.proposals.end_all();
        }
        self.published.leadership.send_replace(soft_state);
        let status = self.replica.status();
        info!(
            term = soft_state.term, leader = soft_state.leader.unwrap_or_default(), leads = is_leader,
            last = status.last.index, commit = status.commit, voters = status.membership.voters.len();
            "leadership changed"
        );
        let own = self.replica.id();
        self.published.status.send_replace(self.status_of(own));
    }

    /// Replaces the register by a snapshot from the leader.
    fn restore(&mut self, snapshot: &Snapshot) -> Result<(), FatalError> {
        self.register = decode_register(&snapshot.data)?;
        self.applied = snapshot.meta.last.index;
        self.disk.reset_to_snapshot(snapshot);
        info!(version = self.register.version(), index = self.applied; "restored a snapshot");
        self.proposals.end_through(self.applied);
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
        let reply = self.proposals.take_committed(entry.position);
        match entry.payload {
            Payload::Data(data) => {
                let command = Command::decode(&data).map_err(state::Error::from)?;
                let order = match &command {
                    Command::Order(order) => Some(order.clone()),
                    _ => None,
                };
                let version = self.register.apply(command);
                info!(index = index, version = version; "applied a command");
                self.publish();
                if let Some(reply) = reply {
                    let evacuations = &self.register.evacuations;
                    let done = order.map_or(version, |order| evacuations.revision_in_force(&order));
                    let _ = reply.send(Outcome::Done(done));
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
                self.links.retain_members(&members);
                let own = self.replica.id();
                self.published.status.send_replace(self.status_of(own));
            }
            Payload::Empty => {}
        }
        Ok(())
    }

    /// Publishes what is refused, the orders for zones and the newest configuration. The last two aren't
    /// published if newer ones may have been accepted before this process started.
    fn publish(&self) {
        self.published.exclusions.send_if_modified(|known| {
            let is_new = *known != self.register.exclusions;
            if is_new {
                known.clone_from(&self.register.exclusions);
            }
            is_new
        });
        if let Some(newest) = &self.register.newest {
            self.publisher.record(newest);
        }
        if !self.has_caught_up {
            return;
        }
        self.published.evacuations.send_if_modified(|known| {
            let is_new = known.as_deref() != Some(&self.register.evacuations);
            if is_new {
                *known = Some(Arc::new(self.register.evacuations.clone()));
            }
            is_new
        });
        let published = self
            .published
            .newest
            .borrow()
            .as_ref()
            .map_or(0, |document| document.version);
        if self.register.version() > published {
            let newest = self.register.newest.clone().map(Arc::new);
            self.published.newest.send_replace(newest);
            self.publisher.offer();
        }
    }

    /// Takes the next step towards the desired membership, if this replica is the leader and the
    /// previous step is committed. Returns whether further steps may follow.
    fn repair(&mut self, now: Instant) -> bool {
        let Some(since) = self.leader_since else {
            return false;
        };
        let status = self.replica.status();
        repair::drop_expired_requests(&mut self.join_requests, &status.membership, now);
        if status.membership_index > status.commit || self.replica.lease().is_none() {
            return true;
        }
        for host in status.membership.hosts() {
            self.last_heard.entry(host).or_insert(since);
        }
        let desired_voters = (self.register.desired_voters as usize).max(MIN_VOTERS);
        let promotable = self.promotable(&status.membership);
        let state = GroupState {
            membership: &status.membership,
            leader: self.replica.id(),
            desired_voters,
            last_heard: &self.last_heard,
            leaving: &self.leaving,
            promotable: &promotable,
            join_requests: &self.join_requests,
        };
        let Some(step) = state.next_step(now) else {
            return false;
        };
        let proposed = match step {
            Step::Change(change) => self.replica.change(change).map(|_| ()),
            Step::Grow(voters) => self.propose(Command::Grow(voters as u32)).map(|_| ()),
        };
        match proposed {
            Ok(()) => info!(step:? = step; "repairing the membership"),
            Err(error) => debug!("the repair step {step:?} has to wait: {error}"),
        }
        true
    }

    /// Takes a snapshot of the register if the log has grown enough.
    fn compact(&mut self) {
        if !self.disk.is_snapshot_due(SNAPSHOT_THRESHOLD) {
            return;
        }
        let register = self.register.clone();
        let encode = Box::new(move || Ok(postcard::to_stdvec(&register)?));
        self.disk.save_snapshot(&self.replica, self.applied, encode);
    }
}

/// Smallest number of voters that the leader aims for. A group is founded with as many.
pub const MIN_VOTERS: usize = 3;

/// Decodes the register in a snapshot, which is empty in a new group.
fn decode_register(data: &Bytes) -> Result<Register, FatalError> {
    if data.is_empty() {
        return Ok(Register::default());
    }
    Ok(postcard::from_bytes(data).map_err(state::Error::from)?)
}
