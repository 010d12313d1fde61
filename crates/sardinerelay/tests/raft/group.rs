//! A group of replicas with simulated time, disks and network, whose invariants are checked after
//! every step.

mod check;
mod machine;

pub use self::machine::Machine;

use {
    bytes::Bytes,
    rand::{Rng, SeedableRng, rngs::StdRng},
    sardinerelay::{
        id::{Host, Index, Term},
        raft::{
            Body, Config, DurableState, Entry, Message, Payload, Persist, Position, Ready, Replica,
            RequestError, Role, Snapshot, Status,
        },
    },
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::{Duration, Instant},
    },
};

/// Simulated time of one step.
pub const STEP_DURATION: Duration = Duration::from_millis(1);
/// Limit of the bytes in an append, which the network checks.
const APPEND_BYTES: usize = 600;

/// Rates and bounds of simulated faults.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Share of messages that are lost.
    pub loss_rate: f64,
    /// Share of messages that are sent twice.
    pub duplicate_rate: f64,
    /// Largest additional delay of a message. Messages overtake each other within it.
    pub max_delay_ms: u64,
    /// Longest time that a write takes.
    pub max_disk_ms: u64,
    /// Largest relative difference between the speed of a host's clock and true time.
    pub max_clock_drift: f64,
}

/// A host with its disk. `replica` is `None` while its process is not running.
#[derive(Debug)]
pub struct Node {
    pub replica: Option<Replica>,
    pub disk: DurableState,
    pub machine: Machine,
    /// Writes that are not on disk yet, with the time at which each will be.
    writes: VecDeque<(u64, Persist)>,
    /// Speed of the host's clock relative to true time.
    clock_rate: f64,
    /// Time until which the process is frozen.
    frozen_until_ms: u64,
    /// How often the process was started; each start gets another seed.
    start_count: u64,
}

#[derive(Debug)]
struct InFlightMessage {
    due: u64,
    from: Host,
    to: Host,
    message: Message,
}

#[derive(Debug)]
pub struct Group {
    pub nodes: BTreeMap<Host, Node>,
    pub rng: StdRng,
    pub faults: Faults,
    /// Directed links, as sender and receiver, that drop every message.
    pub cut_links: BTreeSet<(Host, Host)>,
    /// Entries that any replica has applied.
    pub committed: Vec<Entry>,
    /// Answered reads: token and outcome.
    pub reads: BTreeMap<u64, Result<Index, RequestError>>,
    /// Simulated time since the start.
    pub now_ms: u64,
    /// Number of appends that were refused.
    pub rejected_appends: u64,
    start: Instant,
    seed: u64,
    network: Vec<InFlightMessage>,
    /// Every leader seen so far.
    leader_by_term: BTreeMap<Term, Host>,
    /// Term and end of the last lease of each host, also after it crashed, because an order that
    /// it gave under the lease may be running until then.
    leases: BTreeMap<Host, (Term, Instant)>,
    /// Lowest index that the answer to each read has to reflect, by token.
    min_read_index: BTreeMap<u64, Index>,
}

impl Group {
    pub fn new(seed: u64, voters: u64, faults: Faults) -> Self {
        let mut group = Self {
            nodes: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
            faults,
            cut_links: BTreeSet::new(),
            committed: Vec::new(),
            reads: BTreeMap::new(),
            now_ms: 0,
            start: Instant::now(),
            seed,
            network: Vec::new(),
            leader_by_term: BTreeMap::new(),
            leases: BTreeMap::new(),
            rejected_appends: 0,
            min_read_index: BTreeMap::new(),
        };
        for host in 1..=voters {
            group.add(host, DurableState::bootstrap(1..=voters));
        }
        group
    }

    /// Adds and starts a host.
    pub fn add(&mut self, host: Host, disk: DurableState) {
        let drift = self.faults.max_clock_drift;
        let clock_rate = 1.0 + drift * self.rng.random_range(-1.0..=1.0);
        let node = Node {
            replica: None,
            disk,
            machine: Machine::default(),
            writes: VecDeque::new(),
            clock_rate,
            frozen_until_ms: 0,
            start_count: 0,
        };
        self.nodes.insert(host, node);
        self.start(host);
    }

    pub fn start(&mut self, host: Host) {
        let now = self.clock(host);
        let node = self.nodes.get_mut(&host).unwrap();
        node.start_count += 1;
        let seed = self.seed ^ (host << 32) ^ (node.start_count << 48);
        let config = Config {
            chunk_bytes: 1000,
            chunk_inflight_bytes: 3000,
            append_bytes: APPEND_BYTES,
            inflight_bytes: 2000,
            trailing_bytes: 1000,
            ..Config::new(host, seed)
        };
        node.machine = Machine::default();
        node.replica = Some(Replica::new(config, node.disk.clone(), now).unwrap());
    }

    /// Kills a process. A random prefix of its unacknowledged writes reaches the disk.
    pub fn crash(&mut self, host: Host) {
        let node = self.nodes.get_mut(&host).unwrap();
        node.replica = None;
        node.frozen_until_ms = 0;
        let written = self.rng.random_range(0..=node.writes.len());
        for (_, persist) in node.writes.drain(..).take(written) {
            apply_write(&mut node.disk, persist);
        }
    }

    /// Pauses a process for `duration_ms`. It neither receives messages nor finishes writes.
    pub fn freeze(&mut self, host: Host, duration_ms: u64) {
        self.nodes.get_mut(&host).unwrap().frozen_until_ms = self.now_ms + duration_ms;
    }

    /// Cuts a host off from all others.
    pub fn isolate(&mut self, host: Host) {
        let others: Vec<Host> = self.nodes.keys().copied().collect();
        for other in others {
            self.cut_links.insert((host, other));
            self.cut_links.insert((other, host));
        }
    }

    /// Current time of a host's clock.
    pub fn clock(&self, host: Host) -> Instant {
        let clock_rate = self.nodes.get(&host).map_or(1.0, |node| node.clock_rate);
        self.start + (STEP_DURATION * self.now_ms as u32).mul_f64(clock_rate)
    }

    pub fn replica(&mut self, host: Host) -> &mut Replica {
        self.nodes.get_mut(&host).unwrap().replica.as_mut().unwrap()
    }

    pub fn status(&self, host: Host) -> Option<Status> {
        Some(self.nodes[&host].replica.as_ref()?.status())
    }

    /// Hosts whose process is running.
    pub fn alive(&self) -> Vec<Host> {
        let running = |(host, node): (&Host, &Node)| node.replica.is_some().then_some(*host);
        self.nodes.iter().filter_map(running).collect()
    }

    /// The running leader with the highest term.
    pub fn leader(&self) -> Option<Host> {
        let statuses = self.alive().into_iter().filter_map(|host| {
            let status = self.status(host)?;
            (status.role == Role::Leader).then_some((status.term, host))
        });
        statuses.max().map(|(_, host)| host)
    }

    /// Proposes a command to the leader. `None` if there is none or it refuses.
    pub fn propose(&mut self, text: &str) -> Option<Position> {
        let leader = self.leader()?;
        let data = Bytes::copy_from_slice(text.as_bytes());
        self.replica(leader).propose(data).ok()
    }

    /// Starts a read at `host`, whose answer has to reflect everything committed so far. Returns
    /// whether it was accepted.
    pub fn read(&mut self, host: Host, token: u64) -> bool {
        let min_index = self.committed.len() as u64;
        self.min_read_index.insert(token, min_index);
        self.replica(host).read(token).is_ok()
    }

    pub fn run(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms {
            self.step();
        }
    }

    /// Runs until `done` returns `true`; panics after `limit_ms`.
    pub fn run_until<Done>(&mut self, limit_ms: u64, what: &str, done: Done)
    where
        Done: Fn(&Self) -> bool,
    {
        let end = self.now_ms + limit_ms;
        while !done(self) {
            assert!(self.now_ms < end, "seed {}: not reached: {what}", self.seed);
            self.step();
        }
    }

    /// Runs until an entry proposed from now on is applied on every running host, and checks that
    /// machines with the same last entry are equal. Panics after `limit_ms`.
    pub fn converge(&mut self, limit_ms: u64) {
        let end = self.now_ms + limit_ms;
        let mut wanted = None;
        while wanted.is_none_or(|wanted| !self.is_applied(wanted)) {
            assert!(self.now_ms < end, "seed {}: no convergence", self.seed);
            if self.now_ms.is_multiple_of(500) {
                wanted = self.propose("converge").or(wanted);
            }
            self.step();
        }
        let machines = self
            .alive()
            .into_iter()
            .map(|host| self.nodes[&host].machine);
        let digests: BTreeMap<Index, u64> = machines
            .clone()
            .map(|machine| (machine.applied, machine.digest))
            .collect();
        for machine in machines {
            let digest = digests[&machine.applied];
            assert_eq!(digest, machine.digest, "seed {}", self.seed);
        }
    }

    fn is_applied(&self, wanted: Position) -> bool {
        let applied = |host: Host| self.nodes[&host].machine.applied >= wanted.index;
        self.alive().into_iter().all(applied)
    }

    /// Advances time by one step.
    pub fn step(&mut self) {
        self.now_ms += 1;
        self.deliver();
        for host in self.alive() {
            if self.nodes[&host].frozen_until_ms <= self.now_ms {
                self.finish_writes(host);
                self.run_replica(host);
            }
        }
        self.check_leaders();
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let nodes = &self.nodes;
        let is_frozen = |host: &Host| {
            nodes
                .get(host)
                .is_some_and(|node| node.frozen_until_ms > now_ms)
        };
        let due: Vec<InFlightMessage> = self
            .network
            .extract_if(.., |sent| sent.due <= now_ms && !is_frozen(&sent.to))
            .collect();
        for delivered in due {
            let now = self.clock(delivered.to);
            let node = self.nodes.get_mut(&delivered.to);
            if let Some(replica) = node.and_then(|node| node.replica.as_mut()) {
                replica.step(delivered.from, delivered.message, now);
            }
        }
    }

    fn finish_writes(&mut self, host: Host) {
        let node = self.nodes.get_mut(&host).unwrap();
        while node
            .writes
            .front()
            .is_some_and(|(due, _)| *due <= self.now_ms)
        {
            let (_, persist) = node.writes.pop_front().unwrap();
            let sequence = persist.sequence;
            apply_write(&mut node.disk, persist);
            node.replica.as_mut().unwrap().persisted(sequence);
        }
    }

    fn run_replica(&mut self, host: Host) {
        let now = self.clock(host);
        let replica = self.replica(host);
        if replica.deadline() <= now {
            replica.tick(now);
        }
        loop {
            let ready = self.replica(host).ready();
            if ready.is_empty() {
                return;
            }
            self.handle_ready(host, ready);
        }
    }

    fn handle_ready(&mut self, host: Host, ready: Ready) {
        if let Some(persist) = ready.persist {
            let due = self.now_ms + self.rng.random_range(0..=self.faults.max_disk_ms);
            let node = self.nodes.get_mut(&host).unwrap();
            let due = node.writes.back().map_or(due, |(last, _)| due.max(*last));
            node.writes.push_back((due, persist));
        }
        for envelope in ready.messages {
            self.transmit(host, envelope.to, envelope.message);
        }
        let node = self.nodes.get_mut(&host).unwrap();
        if let Some(snapshot) = ready.snapshot {
            node.machine = Machine::restore(&snapshot.data);
            assert_eq!(node.machine.applied, snapshot.meta.last.index);
        }
        for entry in ready.committed {
            let stored = node.disk.entries.last().map(|last| last.position.index);
            assert!(
                stored >= Some(entry.position.index),
                "applied before it is stored"
            );
            node.machine.apply(&entry);
            let offset = entry.position.index as usize - 1;
            match self.committed.get(offset) {
                Some(known) => assert_eq!(*known, entry, "seed {}: forked", self.seed),
                None => self.committed.push(entry),
            }
        }
        for read in ready.reads {
            if let Ok(index) = read.outcome {
                let min_index = self.min_read_index[&read.token];
                assert!(index >= min_index, "seed {}: stale read", self.seed);
                assert!(node.machine.applied >= index);
            }
            self.reads.insert(read.token, read.outcome);
        }
    }

    fn transmit(&mut self, from: Host, to: Host, message: Message) {
        if self.cut_links.contains(&(from, to)) {
            return;
        }
        self.rejected_appends += u64::from(matches!(message.body, Body::Rejected(_)));
        if let Body::Append(append) = &message.body {
            let data = |entry: &Entry| match &entry.payload {
                Payload::Data(data) => data.len(),
                _ => 0,
            };
            let bytes: usize = append.entries.iter().map(data).sum();
            assert!(append.entries.len() <= 1 || bytes <= APPEND_BYTES);
        }
        // Every message is encoded and decoded as on the wire.
        let wire = postcard::to_stdvec(&message).unwrap();
        let message: Message = postcard::from_bytes(&wire).unwrap();
        let copies = 1 + usize::from(self.rng.random_bool(self.faults.duplicate_rate));
        for _ in 0..copies {
            if !self.rng.random_bool(self.faults.loss_rate) {
                let due = self.now_ms + 1 + self.rng.random_range(0..=self.faults.max_delay_ms);
                let message = message.clone();
                self.network.push(InFlightMessage {
                    due,
                    from,
                    to,
                    message,
                });
            }
        }
    }

    /// Takes a snapshot of a host's state machine and compacts its log.
    pub fn compact(&mut self, host: Host) {
        let node = self.nodes.get_mut(&host).unwrap();
        let Some(replica) = &mut node.replica else {
            return;
        };
        let Some(meta) = replica.snapshot_meta(node.machine.applied) else {
            return;
        };
        let data = node.machine.save(host);
        let snapshot = Snapshot { meta, data };
        let last = snapshot.meta.last.index;
        node.disk
            .entries
            .retain(|entry| entry.position.index > last);
        node.disk.snapshot = snapshot.clone();
        replica.compact(snapshot);
    }
}

/// Applies a write to the state on disk.
fn apply_write(disk: &mut DurableState, persist: Persist) {
    if let Some(snapshot) = persist.snapshot {
        disk.snapshot = snapshot;
        disk.entries.clear();
    }
    if let Some(from) = persist.truncate {
        disk.entries.retain(|entry| entry.position.index < from);
    }
    let last = disk.snapshot.meta.last.index;
    let newer = |entry: &Entry| entry.position.index > last;
    disk.entries
        .extend(persist.entries.into_iter().filter(newer));
    disk.hard_state = persist.hard_state.unwrap_or(disk.hard_state);
}

/// Number of committed commands.
pub fn committed_commands(group: &Group) -> usize {
    let data = |entry: &&Entry| matches!(entry.payload, Payload::Data(_));
    group.committed.iter().filter(data).count()
}
