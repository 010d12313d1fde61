//! Replicas in memory with simulated time, disks and network, checked after every step.

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

pub const STEP: Duration = Duration::from_millis(1);
const APPEND_BYTES: usize = 600;

/// Rates of faults.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    pub loss: f64,
    pub duplicate: f64,
    pub delay_ms: u64,
    pub disk_ms: u64,
    /// Largest relative difference of a host's clock from true time.
    pub drift: f64,
}

#[derive(Debug)]
pub struct Node {
    pub replica: Option<Replica>,
    pub disk: DurableState,
    pub machine: Machine,
    writes: VecDeque<(u64, Persist)>,
    rate: f64,
    /// Step until which the process is frozen.
    frozen: u64,
    restarts: u64,
}

#[derive(Debug)]
struct Flight {
    due: u64,
    from: Host,
    to: Host,
    message: Message,
}

#[derive(Debug)]
pub struct Group {
    pub nodes: BTreeMap<Host, Node>,
    pub random: StdRng,
    pub faults: Faults,
    /// Directed links that drop everything.
    pub cut: BTreeSet<(Host, Host)>,
    pub committed: Vec<Entry>,
    /// Answered reads: token and outcome.
    pub reads: BTreeMap<u64, Result<Index, RequestError>>,
    pub millis: u64,
    /// Number of appends that were refused.
    pub rejected: u64,
    start: Instant,
    seed: u64,
    network: Vec<Flight>,
    leaders: BTreeMap<Term, Host>,
    /// Until when each host was promised to be the only leader, also after it crashed. An order
    /// that it gave may be running until then.
    leases: BTreeMap<Host, (Term, Instant)>,
    /// Lowest index that each read has to reflect.
    read_floor: BTreeMap<u64, Index>,
}

impl Group {
    pub fn new(seed: u64, voters: u64, faults: Faults) -> Self {
        let mut group = Self {
            nodes: BTreeMap::new(),
            random: StdRng::seed_from_u64(seed),
            faults,
            cut: BTreeSet::new(),
            committed: Vec::new(),
            reads: BTreeMap::new(),
            millis: 0,
            start: Instant::now(),
            seed,
            network: Vec::new(),
            leaders: BTreeMap::new(),
            leases: BTreeMap::new(),
            rejected: 0,
            read_floor: BTreeMap::new(),
        };
        for host in 1..=voters {
            group.add(host, DurableState::bootstrap(1..=voters));
        }
        group
    }

    /// Adds and starts a host.
    pub fn add(&mut self, host: Host, disk: DurableState) {
        let drift = self.faults.drift;
        let rate = 1.0 + drift * self.random.random_range(-1.0..=1.0);
        let node = Node {
            replica: None,
            disk,
            machine: Machine::default(),
            writes: VecDeque::new(),
            rate,
            frozen: 0,
            restarts: 0,
        };
        self.nodes.insert(host, node);
        self.start(host);
    }

    pub fn start(&mut self, host: Host) {
        let now = self.clock(host);
        let node = self.nodes.get_mut(&host).unwrap();
        node.restarts += 1;
        let seed = self.seed ^ (host << 32) ^ (node.restarts << 48);
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
        node.frozen = 0;
        let written = self.random.random_range(0..=node.writes.len());
        for (_, persist) in node.writes.drain(..).take(written) {
            write(&mut node.disk, persist);
        }
    }

    /// Stops a process for a while without killing it.
    pub fn freeze(&mut self, host: Host, millis: u64) {
        self.nodes.get_mut(&host).unwrap().frozen = self.millis + millis;
    }

    /// Cuts a host off from all others.
    pub fn isolate(&mut self, host: Host) {
        let others: Vec<Host> = self.nodes.keys().copied().collect();
        for other in others {
            self.cut.insert((host, other));
            self.cut.insert((other, host));
        }
    }

    pub fn clock(&self, host: Host) -> Instant {
        let rate = self.nodes.get(&host).map_or(1.0, |node| node.rate);
        self.start + (STEP * self.millis as u32).mul_f64(rate)
    }

    pub fn replica(&mut self, host: Host) -> &mut Replica {
        self.nodes.get_mut(&host).unwrap().replica.as_mut().unwrap()
    }

    pub fn status(&self, host: Host) -> Option<Status> {
        Some(self.nodes[&host].replica.as_ref()?.status())
    }

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

    pub fn propose(&mut self, text: &str) -> Option<Position> {
        let leader = self.leader()?;
        let data = Bytes::copy_from_slice(text.as_bytes());
        self.replica(leader).propose(data).ok()
    }

    /// Starts a read at `host`, which must reflect everything committed so far.
    pub fn read(&mut self, host: Host, token: u64) -> bool {
        let floor = self.committed.len() as u64;
        self.read_floor.insert(token, floor);
        self.replica(host).read(token).is_ok()
    }

    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis {
            self.step();
        }
    }

    /// Runs until `done`; panics after `limit` milliseconds.
    pub fn run_until<Done>(&mut self, limit: u64, what: &str, done: Done)
    where
        Done: Fn(&Self) -> bool,
    {
        let end = self.millis + limit;
        while !done(self) {
            assert!(self.millis < end, "seed {}: not reached: {what}", self.seed);
            self.step();
        }
    }

    /// Runs until an entry proposed now is committed on every running host.
    pub fn converge(&mut self, limit: u64) {
        let end = self.millis + limit;
        let mut wanted = None;
        while wanted.is_none_or(|wanted| !self.is_applied(wanted)) {
            assert!(self.millis < end, "seed {}: no convergence", self.seed);
            if self.millis.is_multiple_of(500) {
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

    pub fn step(&mut self) {
        self.millis += 1;
        self.deliver();
        for host in self.alive() {
            if self.nodes[&host].frozen <= self.millis {
                self.finish_writes(host);
                self.drive(host);
            }
        }
        self.check_leaders();
    }

    fn deliver(&mut self) {
        let millis = self.millis;
        let nodes = &self.nodes;
        let frozen = |host: &Host| nodes.get(host).is_some_and(|node| node.frozen > millis);
        let due: Vec<Flight> = self
            .network
            .extract_if(.., |flight| flight.due <= millis && !frozen(&flight.to))
            .collect();
        for flight in due {
            let now = self.clock(flight.to);
            let node = self.nodes.get_mut(&flight.to);
            if let Some(replica) = node.and_then(|node| node.replica.as_mut()) {
                replica.step(flight.from, flight.message, now);
            }
        }
    }

    fn finish_writes(&mut self, host: Host) {
        let node = self.nodes.get_mut(&host).unwrap();
        while node
            .writes
            .front()
            .is_some_and(|(due, _)| *due <= self.millis)
        {
            let (_, persist) = node.writes.pop_front().unwrap();
            let sequence = persist.sequence;
            write(&mut node.disk, persist);
            node.replica.as_mut().unwrap().persisted(sequence);
        }
    }

    fn drive(&mut self, host: Host) {
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
            self.handle(host, ready);
        }
    }

    fn handle(&mut self, host: Host, ready: Ready) {
        if let Some(persist) = ready.persist {
            let due = self.millis + self.random.random_range(0..=self.faults.disk_ms);
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
            let place = entry.position.index as usize - 1;
            match self.committed.get(place) {
                Some(known) => assert_eq!(*known, entry, "seed {}: forked", self.seed),
                None => self.committed.push(entry),
            }
        }
        for read in ready.reads {
            if let Ok(index) = read.outcome {
                let floor = self.read_floor[&read.token];
                assert!(index >= floor, "seed {}: stale read", self.seed);
                assert!(node.machine.applied >= index);
            }
            self.reads.insert(read.token, read.outcome);
        }
    }

    fn transmit(&mut self, from: Host, to: Host, message: Message) {
        if self.cut.contains(&(from, to)) {
            return;
        }
        self.rejected += u64::from(matches!(message.body, Body::Rejected(_)));
        if let Body::Append(append) = &message.body {
            let data = |entry: &Entry| match &entry.payload {
                Payload::Data(data) => data.len(),
                _ => 0,
            };
            let bytes: usize = append.entries.iter().map(data).sum();
            assert!(append.entries.len() <= 1 || bytes <= APPEND_BYTES);
        }
        // Every message takes the way over the wire format.
        let wire = postcard::to_stdvec(&message).unwrap();
        let message: Message = postcard::from_bytes(&wire).unwrap();
        let copies = 1 + usize::from(self.random.random_bool(self.faults.duplicate));
        for _ in 0..copies {
            if !self.random.random_bool(self.faults.loss) {
                let due = self.millis + 1 + self.random.random_range(0..=self.faults.delay_ms);
                let message = message.clone();
                self.network.push(Flight {
                    due,
                    from,
                    to,
                    message,
                });
            }
        }
    }

    /// Takes a snapshot of the machine and compacts the log.
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

fn write(disk: &mut DurableState, persist: Persist) {
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
pub fn commands(group: &Group) -> usize {
    let data = |entry: &&Entry| matches!(entry.payload, Payload::Data(_));
    group.committed.iter().filter(data).count()
}
