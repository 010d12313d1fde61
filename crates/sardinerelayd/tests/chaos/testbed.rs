//! The processes of a run and the context that its tasks share.

use {
    crate::{
        client,
        harness::{Cluster, Process, WAIT_TIMEOUT, free_address, start_standin},
        history::{CallRecord, ConfirmedStop, Generation, Outage, Recorder},
        links::ZoneLinks,
    },
    rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom},
    serde_json::Value,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::{SocketAddr, TcpListener},
        sync::atomic::{AtomicBool, AtomicU64, Ordering},
        thread,
        time::{Duration, Instant, UNIX_EPOCH},
    },
    tokio::time::timeout,
};

/// Number of hosts. The first [`VOTER_COUNT`] are voters, the others have no disk.
pub const HOST_COUNT: u64 = 5;

/// Number of voters, one in each availability zone.
pub const VOTER_COUNT: u64 = 3;

/// Number of engines.
pub const ENGINE_COUNT: usize = 2;

/// Memory of an engine. It is far below what the sheet states, so that it fills up during decoding
/// and the engine has to preempt generations.
const ENGINE_MEMORY_TOKENS: &str = "700";

/// The addresses of a host. They stay the same when it restarts.
#[derive(Debug, Clone, Copy)]
pub struct HostAddresses {
    /// The host's number.
    pub id: u64,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
}

/// The context that the tasks of a run share.
#[derive(Debug)]
pub struct Context {
    /// The seed of the run.
    pub seed: u64,
    /// Records the history.
    pub recorder: Recorder,
    /// The hosts' addresses by position.
    pub hosts: Vec<HostAddresses>,
    /// The engines' addresses by position.
    pub engines: Vec<SocketAddr>,
    /// The address of the plain service.
    pub service: SocketAddr,
    /// The highest sheet number that an operator has used.
    pub highest_number: AtomicU64,
    /// Cleared when callers, operators and faults have to end.
    pub running: AtomicBool,
}

impl Context {
    /// Whether callers, operators and faults go on.
    pub fn is_running(&self) -> bool {
        self.running.load(Ordering::Relaxed)
    }

    /// A random number generator for one task, seeded with the run's seed and the task's number.
    pub fn task_rng(&self, task: u64) -> StdRng {
        StdRng::seed_from_u64(self.seed.wrapping_mul(1_000_003).wrapping_add(task))
    }

    /// Picks a host at random.
    pub fn random_host<R>(&self, rng: &mut R) -> HostAddresses
    where
        R: Rng,
    {
        *self.hosts.choose(rng).expect("there are hosts")
    }
}

/// The processes of a run.
#[derive(Debug)]
pub struct Processes {
    /// The entry hosts.
    pub cluster: Cluster,
    /// The links between availability zones.
    pub links: ZoneLinks,
    /// The engines by position, `None` while one is down.
    pub engines: Vec<Option<Process>>,
    /// The position of the host that was removed for good, if any.
    pub removed_host: Option<usize>,
    /// Confirmed stops of the engine processes that run now.
    pub confirmed_stops: Vec<ConfirmedStop>,
    /// How often each engine was restarted.
    pub engine_starts: [u64; ENGINE_COUNT],
    /// IDs of the host processes that got SIGTERM.
    pub stopping_pids: BTreeSet<u32>,
    /// When each killed host was killed, in microseconds since the start of the run.
    pub killed_at_us: BTreeMap<usize, u64>,
    /// The plain service, which ends with this value.
    _service: Process,
}

impl Processes {
    /// Starts all processes and waits until they listen. Hosts and engines have fixed addresses.
    pub fn start(seed: u64) -> (Self, Context) {
        let arguments = [
            "--bootstrap",
            "--token-gap",
            "400ms",
            "--engine-loss",
            "1500ms",
        ];
        let mut cluster = Cluster::new(HOST_COUNT, VOTER_COUNT, &arguments);
        let links = ZoneLinks::install(&mut cluster, VOTER_COUNT);
        let mut hosts = Vec::new();
        for host in &mut cluster.hosts {
            let listen = free_address();
            let flag = host.arguments.iter().position(|flag| flag == "--listen");
            host.arguments[flag.expect("the harness sets it") + 1] = listen.to_string();
            hosts.push(HostAddresses {
                id: host.id,
                listen,
                operator: host.operator,
            });
        }
        let addresses: Vec<SocketAddr> = (0..ENGINE_COUNT).map(|_| free_address()).collect();
        let seed_text = seed.to_string();
        let service = [
            "service",
            "--delay-before",
            "5ms",
            "--delay-after",
            "20ms",
            "--lose-answers",
            "0.03",
            "--seed",
            &seed_text,
        ];
        let service = start_standin(&service);
        cluster.start();
        let context = Context {
            seed,
            recorder: Recorder::new(),
            hosts,
            engines: addresses.clone(),
            service: service.address,
            highest_number: AtomicU64::new(0),
            running: AtomicBool::new(true),
        };
        let engines = addresses.iter().enumerate();
        let engines = engines.map(|(position, address)| Some(start_engine(position, *address)));
        let processes = Self {
            engines: engines.collect(),
            cluster,
            links,
            _service: service,
            removed_host: None,
            stopping_pids: BTreeSet::new(),
            confirmed_stops: Vec::new(),
            engine_starts: [0; ENGINE_COUNT],
            killed_at_us: BTreeMap::new(),
        };
        (processes, context)
    }

    /// Kills a host if it runs.
    pub fn kill_host(&mut self, context: &Context, position: usize) {
        if self.cluster.hosts[position].process.is_some() {
            self.killed_at_us
                .insert(position, context.recorder.now_us());
            self.cluster.kill(position);
        }
    }

    /// Starts a host if it is down, unless it was removed.
    pub fn restart_host(&mut self, context: &Context, position: usize) {
        let is_running = self.cluster.hosts[position].process.is_some();
        if is_running || self.removed_host == Some(position) {
            return;
        }
        self.record_outage(context, position);
        let host = &self.cluster.hosts[position];
        let listen = context.hosts[position].listen;
        for address in [host.peer, host.operator, listen] {
            wait_until_free(address);
        }
        self.cluster.start_host(position);
    }

    /// Adds the outage of a host to the history if it was killed. The outage ends now.
    pub fn record_outage(&mut self, context: &Context, position: usize) {
        if let Some(begin) = self.killed_at_us.remove(&position) {
            let outage = Outage {
                host: self.cluster.hosts[position].id,
                span: context.recorder.span_since(begin),
            };
            context.recorder.history().outages.push(outage);
        }
    }

    /// Sends a signal to a host if it runs.
    pub fn signal(&self, position: usize, name: &str) {
        if let Some(process) = &self.cluster.hosts[position].process {
            process.signal(name);
        }
    }

    /// Adds the hosts to the history that ended although they were neither killed nor got SIGTERM.
    pub fn record_crashes(&mut self, context: &Context) {
        for host in &mut self.cluster.hosts {
            let Some(process) = &mut host.process else {
                continue;
            };
            let Some(status) = process.try_wait() else {
                continue;
            };
            if !self.stopping_pids.contains(&process.id()) {
                let crash = (host.id, status.to_string());
                context.recorder.history().crashes.push(crash);
                host.process = None;
            }
        }
    }

    /// Adds an engine's record to the history and kills the engine, if it runs.
    pub async fn kill_engine(&mut self, context: &Context, position: usize) {
        if self.engines[position].is_some() {
            record_generations(context, position).await;
            self.record_stop_ends(context, position);
            self.engines[position] = None;
        }
    }

    /// Starts an engine if it is down.
    pub fn restart_engine(&mut self, context: &Context, position: usize) {
        let ended = self.engines[position]
            .as_mut()
            .is_none_or(|process| process.try_wait().is_some());
        if ended {
            self.record_stop_ends(context, position);
            self.engine_starts[position] += 1;
            self.engines[position] = Some(start_engine(position, context.engines[position]));
        }
    }

    /// Adds the confirmed stops of an engine to the history. They end now, with its process.
    pub fn record_stop_ends(&mut self, context: &Context, position: usize) {
        let ended = self
            .confirmed_stops
            .extract_if(.., |stop| stop.engine == position)
            .map(|stop| ConfirmedStop {
                ended_ms: unix_ms(),
                ..stop
            });
        context.recorder.history().confirmed_stops.extend(ended);
    }
}

/// Milliseconds since the Unix epoch, as the stand-ins record them.
pub fn unix_ms() -> u64 {
    let elapsed = UNIX_EPOCH.elapsed().unwrap_or_default();
    elapsed.as_millis() as u64
}

/// Waits until an address is free. Another test process may have taken it while its owner was down.
fn wait_until_free(address: SocketAddr) {
    let start = Instant::now();
    while TcpListener::bind(address).is_err() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "{address} stays in use");
        thread::sleep(Duration::from_millis(50));
    }
}

/// Starts the engine at this position, whose tokens name their generation.
fn start_engine(position: usize, address: SocketAddr) -> Process {
    wait_until_free(address);
    start_standin(&[
        "engine",
        "--name",
        &format!("engine-{position}"),
        "--listen",
        &address.to_string(),
        "--step",
        "4ms",
        "--report-lag",
        "100ms",
        "--memory-tokens",
        ENGINE_MEMORY_TOKENS,
        "--mark-generations",
    ])
}

/// Adds the generations in an engine's record to the history. Adds none if the engine does not
/// respond.
pub async fn record_generations(context: &Context, position: usize) {
    let answer = client::get(context.engines[position], "/v1/record");
    let Ok((200, text)) = timeout(Duration::from_secs(2), answer).await else {
        return;
    };
    let rows: Vec<Value> = serde_json::from_str(&text).expect("the record is a list");
    let mut history = context.recorder.history();
    for row in rows {
        let id = row["generation"].as_str().unwrap_or_default();
        history.generations.push(Generation {
            id: id.replace('-', ""),
            request: row["request"].as_str().unwrap_or_default().to_owned(),
            engine: position,
            started_ms: row["started_ms"].as_u64().unwrap_or_default(),
            preemptions: row["preemptions"].as_u64().unwrap_or_default(),
        });
    }
}

/// Adds the service's record of its calls to the history.
pub async fn record_call_records(context: &Context) {
    let (status, text) = client::get(context.service, "/v1/record").await;
    assert_eq!(status, 200, "{text}");
    let rows: Vec<Value> = serde_json::from_str(&text).expect("the record is a list");
    let records = rows.iter().map(|row| CallRecord {
        key: row["key"].as_str().unwrap_or_default().to_owned(),
        count: row["count"].as_u64().unwrap_or_default(),
        differing: row["differing"].as_u64().unwrap_or_default(),
        digest: row["digest"].as_str().unwrap_or_default().to_owned(),
    });
    context.recorder.history().call_records = records.collect();
}
