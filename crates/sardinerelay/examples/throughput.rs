//! Measures the throughput and latency of a group of three replicas in one process. Each replica
//! has its own thread and its own store, which it syncs to disk.
//!
//! `cargo run --release -p sardinerelay --example throughput -- DIRECTORY [SECONDS]`
//!
//! The directory must not exist and should be on the disk to be measured. For each number of
//! proposals in flight, it prints the proposals per second and the time from proposing to applying
//! on the leader. With 1 in flight, each proposal is written and synced alone; with more, proposals
//! that arrive during a sync share the next one. At the end, it prints the resident memory per log
//! entry.

use {
    bytes::Bytes,
    sardinerelay::{
        id::Host,
        raft::{Config, DurableState, Message, Payload, Ready, Replica, Role},
        wal::{self, Identity, Store},
    },
    std::{
        collections::{BTreeMap, VecDeque},
        env, fs,
        fs::File,
        io::Write,
        path::{Path, PathBuf},
        sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel},
        thread,
        time::{Duration, Instant},
    },
    uuid::Uuid,
};

const VOTERS: [Host; 3] = [1, 2, 3];
const DATA_BYTES: usize = 128;
const IN_FLIGHT: [usize; 5] = [1, 8, 64, 512, 4096];
const MEMORY_TEST_ENTRIES: u64 = 1_000_000;
const PAGE_BYTES: u64 = 4096;
const SYNC_PROBES: u32 = 200;

/// Input to the thread of a replica.
enum Input {
    Message(Host, Message),
    Propose(usize),
    Stop,
}

/// Report from the thread of a replica.
enum Event {
    Leader(Host),
    Committed(usize),
}

/// A replica with its store and the connections to the other replicas.
struct Server {
    replica: Replica,
    store: Store,
    peers: BTreeMap<Host, Sender<Input>>,
    events: Sender<Event>,
}

fn main() -> Result<(), wal::Error> {
    let mut arguments = env::args_os().skip(1);
    let directory = PathBuf::from(arguments.next().expect("usage: DIRECTORY [SECONDS]"));
    let seconds = arguments
        .next()
        .and_then(|text| text.to_str()?.parse().ok());
    let duration = Duration::from_secs(seconds.unwrap_or(5));
    probe_sync(&directory);
    for in_flight in IN_FLIGHT {
        let path = directory.join(in_flight.to_string());
        measure(&path, in_flight, duration)?;
    }
    measure_memory();
    Ok(())
}

/// Prints how long one synced append of a small record takes without a replica.
fn probe_sync(directory: &Path) {
    fs::create_dir_all(directory).expect("directory");
    let mut file = File::create(directory.join("probe")).expect("probe file");
    let start = Instant::now();
    for _ in 0..SYNC_PROBES {
        file.write_all(&[1; DATA_BYTES]).expect("write");
        file.sync_data().expect("sync");
    }
    println!(
        "plain append and fdatasync: {:?}",
        start.elapsed() / SYNC_PROBES
    );
}

fn measure(directory: &Path, in_flight: usize, duration: Duration) -> Result<(), wal::Error> {
    let (events, reports) = channel();
    let mut senders = BTreeMap::new();
    let mut receivers = BTreeMap::new();
    for host in VOTERS {
        let (sender, receiver) = channel();
        senders.insert(host, sender);
        receivers.insert(host, receiver);
    }
    let mut threads = Vec::new();
    for (host, inbox) in receivers {
        let server = start(directory, host, senders.clone(), events.clone())?;
        threads.push(thread::spawn(move || server.run(&inbox)));
    }
    let latencies = keep_in_flight(&senders, &reports, in_flight, duration);
    for sender in senders.values() {
        let _ = sender.send(Input::Stop);
    }
    for thread in threads {
        thread.join().expect("replica thread");
    }
    print_latencies(in_flight, duration, latencies);
    Ok(())
}

fn start(
    directory: &Path,
    host: Host,
    peers: BTreeMap<Host, Sender<Input>>,
    events: Sender<Event>,
) -> Result<Server, wal::Error> {
    let path = directory.join(host.to_string());
    let cluster = Uuid::from_u128(1);
    let identity = Identity {
        cluster,
        replica: host,
    };
    Store::create(&path, identity, &DurableState::bootstrap(VOTERS))?;
    let (store, recovered) = Store::open(&path)?;
    let config = Config::new(host, host);
    let replica = Replica::new(config, recovered.state, Instant::now());
    Ok(Server {
        replica: replica.expect("valid settings"),
        store,
        peers,
        events,
    })
}

/// Keeps `in_flight` proposals in flight and returns the latency of each.
fn keep_in_flight(
    senders: &BTreeMap<Host, Sender<Input>>,
    reports: &Receiver<Event>,
    in_flight: usize,
    duration: Duration,
) -> Vec<Duration> {
    let leader = loop {
        if let Ok(Event::Leader(leader)) = reports.recv() {
            break leader;
        }
    };
    let propose = |count| {
        senders[&leader]
            .send(Input::Propose(count))
            .expect("leader runs")
    };
    let start = Instant::now();
    let mut proposed = VecDeque::from(vec![start; in_flight]);
    let mut latencies = Vec::new();
    propose(in_flight);
    while start.elapsed() < duration {
        if let Ok(Event::Committed(count)) = reports.recv() {
            let now = Instant::now();
            latencies.extend(proposed.drain(..count).map(|at| now - at));
            proposed.extend(vec![now; count]);
            propose(count);
        }
    }
    latencies
}

fn print_latencies(in_flight: usize, duration: Duration, mut latencies: Vec<Duration>) {
    latencies.sort_unstable();
    let at = |share: f64| latencies[(latencies.len() as f64 * share) as usize];
    let rate = latencies.len() as f64 / duration.as_secs_f64();
    println!(
        "{in_flight:>5} in flight: {rate:>9.0} proposals/s, median {:?}, 99th percentile {:?}",
        at(0.5),
        at(0.99)
    );
}

impl Server {
    fn run(mut self, inbox: &Receiver<Input>) {
        loop {
            let wait = self
                .replica
                .deadline()
                .saturating_duration_since(Instant::now());
            match inbox.recv_timeout(wait) {
                Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(input) => self.handle(input),
                Err(RecvTimeoutError::Timeout) => {}
            }
            for input in inbox.try_iter() {
                match input {
                    Input::Stop => return,
                    input => self.handle(input),
                }
            }
            let now = Instant::now();
            if now >= self.replica.deadline() {
                self.replica.tick(now);
            }
            self.process_ready();
        }
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Message(from, message) => self.replica.step(from, message, Instant::now()),
            Input::Propose(count) => (0..count).for_each(|_| {
                let data = Bytes::from(vec![7; DATA_BYTES]);
                self.replica.propose(data).expect("stays the leader");
            }),
            Input::Stop => {}
        }
    }

    /// Does all work that the replica has ready. Messages that depend on no write are sent before
    /// the write, so that the followers sync at the same time as the leader.
    fn process_ready(&mut self) {
        loop {
            let ready = self.replica.ready();
            if ready.is_empty() {
                return;
            }
            let persist = self.send_and_report(ready);
            if let Some(persist) = persist {
                self.store.persist(&persist).expect("disk works");
                self.replica.persisted(persist.sequence);
            }
        }
    }

    fn send_and_report(&mut self, ready: Ready) -> Option<sardinerelay::raft::Persist> {
        let own = self.replica.id();
        for envelope in ready.messages {
            let _ = self.peers[&envelope.to].send(Input::Message(own, envelope.message));
        }
        let is_leader = self.replica.status().role == Role::Leader;
        let data = ready.committed.iter();
        let count = data
            .filter(|entry| matches!(entry.payload, Payload::Data(_)))
            .count();
        if is_leader && count > 0 {
            let _ = self.events.send(Event::Committed(count));
        }
        if is_leader && count < ready.committed.len() {
            let _ = self.events.send(Event::Leader(own));
        }
        ready.persist
    }
}

/// Prints the resident memory that a log entry takes until it is compacted.
fn measure_memory() {
    let config = Config {
        uncommitted_bytes: usize::MAX,
        ..Config::new(1, 1)
    };
    let now = Instant::now();
    let mut replica =
        Replica::new(config, DurableState::bootstrap([1]), now).expect("valid settings");
    replica.tick(replica.deadline());
    persist_all(&mut replica);
    let before = resident_bytes();
    for _ in 0..MEMORY_TEST_ENTRIES {
        let data = Bytes::from(vec![7; DATA_BYTES]);
        replica.propose(data).expect("leads");
        if replica.status().last.index.is_multiple_of(1000) {
            persist_all(&mut replica);
        }
    }
    persist_all(&mut replica);
    let used = (resident_bytes() - before) / MEMORY_TEST_ENTRIES;
    println!("memory per entry of {DATA_BYTES} bytes of data: {used} bytes");
}

fn persist_all(replica: &mut Replica) {
    loop {
        let ready = replica.ready();
        if ready.is_empty() {
            return;
        }
        if let Some(persist) = ready.persist {
            replica.persisted(persist.sequence);
        }
    }
}

fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").expect("statm");
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.expect("resident pages") * PAGE_BYTES
}
