//! The processes of a run, and what all its tasks share.

use {
    crate::{
        client,
        harness::{PATIENCE, Process, System, free_address, standin},
        history::{Drained, Generation, Outage, Recorder, Run},
        wires::Wires,
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

/// Hosts of the system. The first three vote, the last two have no disk.
pub const HOSTS: u64 = 5;

/// Hosts that vote, one in each availability zone.
pub const VOTERS: u64 = 3;

/// Engines of the system.
pub const ENGINES: usize = 2;

/// Memory of an engine, far below what the sheet states, so that it fills up while decoding.
const MEMORY_TOKENS: &str = "700";

/// How a host is reached.
#[derive(Debug, Clone, Copy)]
pub struct Entry {
    /// Its number.
    pub id: u64,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
}

/// What the tasks of a run share.
#[derive(Debug)]
pub struct Scene {
    /// The seed.
    pub seed: u64,
    /// What was seen.
    pub recorder: Recorder,
    /// The hosts.
    pub hosts: Vec<Entry>,
    /// The engines, by address.
    pub engines: Vec<SocketAddr>,
    /// The plain service.
    pub service: SocketAddr,
    /// The highest number that an operator submitted.
    pub number: AtomicU64,
    /// Whether callers and faults go on.
    pub running: AtomicBool,
}

impl Scene {
    /// Whether callers and faults go on.
    pub fn is_running(&self) -> bool {
        self.running.load(Ordering::Relaxed)
    }

    /// A random sequence of its own for each task.
    pub fn random(&self, task: u64) -> StdRng {
        StdRng::seed_from_u64(self.seed.wrapping_mul(1_000_003).wrapping_add(task))
    }

    /// Any host.
    pub fn pick<R>(&self, random: &mut R) -> Entry
    where
        R: Rng,
    {
        *self.hosts.choose(random).expect("there are hosts")
    }
}

/// The processes of a run.
#[derive(Debug)]
pub struct World {
    /// The hosts.
    pub system: System,
    /// The links between availability zones.
    pub wires: Wires,
    /// The engines; one that is away is absent.
    pub engines: Vec<Option<Process>>,
    /// A host that was removed for good.
    pub removed: Option<usize>,
    /// Confirmed stops of the engines that run now.
    pub drained: Vec<Drained>,
    /// Number of the current run of each engine.
    pub engine_runs: [u64; ENGINES],
    /// Processes that were told to stop.
    pub told_to_stop: BTreeSet<u32>,
    /// When each host that is away was killed.
    pub killed_at: BTreeMap<usize, u64>,
    /// The plain service, which ends with the world.
    _service: Process,
}

impl World {
    /// Starts everything.
    pub fn start(seed: u64) -> (Self, Scene) {
        let settings = [
            "--bootstrap",
            "--token-gap",
            "400ms",
            "--engine-loss",
            "1500ms",
        ];
        let mut system = System::new(HOSTS, VOTERS, &settings);
        let wires = Wires::lay(&mut system, VOTERS);
        let mut hosts = Vec::new();
        for host in &mut system.hosts {
            let listen = free_address();
            let flag = host.arguments.iter().position(|flag| flag == "--listen");
            host.arguments[flag.expect("the harness sets it") + 1] = listen.to_string();
            hosts.push(Entry {
                id: host.id,
                listen,
                operator: host.operator,
            });
        }
        let addresses: Vec<SocketAddr> = (0..ENGINES).map(|_| free_address()).collect();
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
        let service = standin(&service);
        system.start();
        let scene = Scene {
            seed,
            recorder: Recorder::new(),
            hosts,
            engines: addresses.clone(),
            service: service.address,
            number: AtomicU64::new(0),
            running: AtomicBool::new(true),
        };
        let engines = addresses.iter().enumerate();
        let engines = engines.map(|(position, address)| Some(engine(position, *address)));
        let world = Self {
            engines: engines.collect(),
            system,
            wires,
            _service: service,
            removed: None,
            told_to_stop: BTreeSet::new(),
            drained: Vec::new(),
            engine_runs: [0; ENGINES],
            killed_at: BTreeMap::new(),
        };
        (world, scene)
    }

    /// Kills a host if it runs.
    pub fn kill_host(&mut self, scene: &Scene, position: usize) {
        if self.system.hosts[position].process.is_some() {
            self.killed_at.insert(position, scene.recorder.now());
            self.system.kill(position);
        }
    }

    /// Starts a host that is away, unless it was removed.
    pub fn revive_host(&mut self, scene: &Scene, position: usize) {
        let runs = self.system.hosts[position].process.is_some();
        if runs || self.removed == Some(position) {
            return;
        }
        self.end_outage(scene, position);
        let host = &self.system.hosts[position];
        let listen = scene.hosts[position].listen;
        for address in [host.peer, host.operator, listen] {
            await_free(address);
        }
        self.system.start_host(position);
    }

    /// Notes the outage of a host that was killed.
    pub fn end_outage(&mut self, scene: &Scene, position: usize) {
        if let Some(begin) = self.killed_at.remove(&position) {
            let outage = Outage {
                host: self.system.hosts[position].id,
                span: scene.recorder.since(begin),
            };
            scene.recorder.history().outages.push(outage);
        }
    }

    /// Sends a signal to a host if it runs.
    pub fn signal(&self, position: usize, name: &str) {
        if let Some(process) = &self.system.hosts[position].process {
            process.signal(name);
        }
    }

    /// Notes the hosts that ended although nothing ended them.
    pub fn note_crashes(&mut self, scene: &Scene) {
        for host in &mut self.system.hosts {
            let Some(process) = &mut host.process else {
                continue;
            };
            let Some(status) = process.ended() else {
                continue;
            };
            if !self.told_to_stop.contains(&process.id()) {
                let crash = (host.id, status.to_string());
                scene.recorder.history().crashes.push(crash);
                host.process = None;
            }
        }
    }

    /// Kills an engine if it runs, after reading its record.
    pub async fn kill_engine(&mut self, scene: &Scene, position: usize) {
        if self.engines[position].is_some() {
            read_generations(scene, position).await;
            self.end_drained(scene, position);
            self.engines[position] = None;
        }
    }

    /// Starts an engine that is away.
    pub fn revive_engine(&mut self, scene: &Scene, position: usize) {
        let ended = self.engines[position]
            .as_mut()
            .is_none_or(|process| process.ended().is_some());
        if ended {
            self.end_drained(scene, position);
            self.engine_runs[position] += 1;
            self.engines[position] = Some(engine(position, scene.engines[position]));
        }
    }

    /// Notes that a run of an engine ended whose stop was confirmed.
    pub fn end_drained(&mut self, scene: &Scene, position: usize) {
        let ended = self
            .drained
            .extract_if(.., |stop| stop.engine == position)
            .map(|stop| Drained {
                until_ms: unix_ms(),
                ..stop
            });
        scene.recorder.history().drained.extend(ended);
    }
}

/// Milliseconds since the Unix epoch, as the stand-ins record them.
pub fn unix_ms() -> u64 {
    let elapsed = UNIX_EPOCH.elapsed().unwrap_or_default();
    elapsed.as_millis() as u64
}

/// Waits until an address is free that another test process took while its owner was away.
fn await_free(address: SocketAddr) {
    let since = Instant::now();
    while TcpListener::bind(address).is_err() {
        assert!(since.elapsed() < PATIENCE, "{address} stays in use");
        thread::sleep(Duration::from_millis(50));
    }
}

fn engine(position: usize, address: SocketAddr) -> Process {
    await_free(address);
    standin(&[
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
        MEMORY_TOKENS,
        "--mark-generations",
    ])
}

/// Adds an engine's record to the history.
pub async fn read_generations(scene: &Scene, position: usize) {
    let answer = client::get(scene.engines[position], "/v1/record");
    let Ok((200, text)) = timeout(Duration::from_secs(2), answer).await else {
        return;
    };
    let rows: Vec<Value> = serde_json::from_str(&text).expect("the record is a list");
    let mut history = scene.recorder.history();
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

/// Adds the service's record to the history.
pub async fn read_runs(scene: &Scene) {
    let (status, text) = client::get(scene.service, "/v1/record").await;
    assert_eq!(status, 200, "{text}");
    let rows: Vec<Value> = serde_json::from_str(&text).expect("the record is a list");
    let runs = rows.iter().map(|row| Run {
        key: row["key"].as_str().unwrap_or_default().to_owned(),
        count: row["count"].as_u64().unwrap_or_default(),
        differing: row["differing"].as_u64().unwrap_or_default(),
        digest: row["digest"].as_str().unwrap_or_default().to_owned(),
    });
    scene.recorder.history().runs = runs.collect();
}
