//! The seeded schedule of faults. Two lanes run it, so that faults meet.

use {
    crate::{
        client,
        harness::{Process, operate},
        history::Drained,
        scene::{ENGINES, HOSTS, Scene, VOTERS, World, read_generations, unix_ms},
    },
    futures::future::join_all,
    http::Method,
    rand::{Rng, rngs::StdRng},
    sardinerelay::operator::{HEALTH, STOP_PLAN, STOP_WATCH},
    serde_json::{Value, json},
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::Mutex,
        time::{sleep, timeout},
    },
    uuid::Uuid,
};

/// Availability zones of the harness.
const ZONES: [&str; 3] = ["lakes-a", "lakes-b", "lakes-c"];

/// Longest time of most faults, in milliseconds.
const SHORT: u64 = 2_000;

/// Longest time of the other faults, in milliseconds: long enough for leases, elections and calls
/// to run out.
const LONG: u64 = 8_000;

/// Share of the longer faults.
const LONG_SHARE: f64 = 0.25;

/// How long an operator waits for an answer.
const PATIENCE: Duration = Duration::from_secs(6);

/// Looks at the progress of a planned stop.
const LOOKS: u32 = 20;

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(200);

/// One fault.
#[derive(Debug, Clone, PartialEq)]
enum Fault {
    /// Ends a host without warning, and starts it later.
    Kill(usize),
    /// Stops a host gracefully, and starts it later.
    Stop(usize),
    /// Stops a host's process from running for a while.
    Freeze(usize),
    /// Ends a host without a disk for good.
    Remove(usize),
    /// Sets a fault on all links of an availability zone for a while.
    Cut(&'static str, &'static str),
    /// Makes the engine's open connections silent for good.
    Silence(usize),
    /// Pauses an engine's decoding.
    Stall(usize),
    /// Ends an engine, and starts it later.
    KillEngine(usize),
    /// An operator plans the stop of an engine, which is replaced later.
    PlanStop(usize),
    /// The platform reclaims an engine at short notice, and starts another later.
    Reclaim(usize),
}

impl Fault {
    fn random(random: &mut StdRng) -> Self {
        let host = random.random_range(0..HOSTS as usize);
        let engine = random.random_range(0..ENGINES);
        let zone = ZONES[random.random_range(0..ZONES.len())];
        match random.random_range(0..22) {
            0..=3 => Self::Kill(host),
            4..=5 => Self::Stop(host),
            6..=8 => Self::Freeze(host),
            9 => Self::Remove(random.random_range(VOTERS..HOSTS) as usize),
            10..=11 => Self::Cut(zone, "cut"),
            12..=13 => Self::Cut(zone, "black_hole"),
            14 => Self::Cut(zone, "silent"),
            15 => Self::Silence(engine),
            16 => Self::Stall(engine),
            17..=18 => Self::KillEngine(engine),
            19..=20 => Self::PlanStop(engine),
            _ => Self::Reclaim(engine),
        }
    }
}

impl Fault {
    /// Whether it isolates a host, which may still believe that it leads.
    fn isolates(&self) -> bool {
        matches!(self, Self::Freeze(_) | Self::Cut(_, "black_hole"))
    }

    /// The same fault of the voter at this position.
    fn aimed_at(self, host: usize) -> Self {
        match self {
            Self::Freeze(_) => Self::Freeze(host),
            Self::Cut(_, mode) => Self::Cut(ZONES[host % ZONES.len()], mode),
            other => other,
        }
    }
}

/// The position of the host that says that it leads, in the highest term.
async fn leader(scene: &Scene) -> Option<usize> {
    let looks = scene.hosts.iter().take(VOTERS as usize).map(|host| {
        timeout(
            Duration::from_millis(500),
            operate(host.operator, HEALTH, Value::Null),
        )
    });
    let answers = join_all(looks).await.into_iter().enumerate();
    answers
        .filter_map(|(position, answer)| Some((answer.ok()?.ok()?, position)))
        .filter(|(health, _)| health["role"] == "leader")
        .max_by_key(|(health, _)| health["term"].as_u64())
        .map(|(_, position)| position)
}

/// Injects one fault after the other until the run ends.
pub async fn inject(scene: Arc<Scene>, world: Arc<Mutex<World>>, task: u64) {
    let mut random = scene.random(task);
    while scene.is_running() {
        let mut fault = Fault::random(&mut random);
        let longest = if random.random_bool(LONG_SHARE) {
            LONG
        } else {
            SHORT
        };
        let hold = Duration::from_millis(random.random_range(100..longest));
        let aimed = random.random_bool(0.5);
        let leader = leader(&scene).await.filter(|_| fault.isolates());
        if let Some(leader) = leader.filter(|_| aimed) {
            fault = fault.aimed_at(leader);
        }
        let hit = match leader.is_some_and(|leader| fault == fault.clone().aimed_at(leader)) {
            true => " of the leader",
            false => "",
        };
        eprintln!("{:>9} {fault:?} for {hold:?}{hit}", scene.recorder.now());
        let stopping = begin(&scene, &mut *world.lock().await, &fault).await;
        sleep(hold).await;
        if let Fault::PlanStop(engine) = fault {
            plan_stop(&scene, &world, engine, &mut random).await;
        }
        if let (Fault::Stop(host), Some(id)) = (&fault, stopping) {
            await_stop(&world, *host, id).await;
        }
        end(&scene, &mut *world.lock().await, &fault).await;
        sleep(Duration::from_millis(random.random_range(50..1_000))).await;
    }
}

/// Returns the id of the process that was told to stop.
async fn begin(scene: &Scene, world: &mut World, fault: &Fault) -> Option<u32> {
    world.note_crashes(scene);
    match fault {
        Fault::Kill(host) => world.kill_host(scene, *host),
        Fault::Stop(host) => {
            world.signal(*host, "TERM");
            let process = world.system.hosts[*host].process.as_ref();
            let id = process.map(Process::id);
            world.told_to_stop.extend(id);
            return id;
        }
        Fault::Freeze(host) => world.signal(*host, "STOP"),
        Fault::Remove(host) if world.removed.is_none() => {
            world.kill_host(scene, *host);
            world.removed = Some(*host);
        }
        Fault::Remove(_) | Fault::PlanStop(_) => {}
        Fault::Cut(zone, mode) => world.wires.fault(zone, mode).await,
        Fault::Silence(engine) => tell(scene, *engine, "faults", r#"{"silent":true}"#).await,
        Fault::Stall(engine) => tell(scene, *engine, "faults", r#"{"stall_ms":1500}"#).await,
        Fault::KillEngine(engine) => world.kill_engine(scene, *engine).await,
        Fault::Reclaim(engine) => {
            tell(scene, *engine, "leave", r#"{"kill_after_ms":600}"#).await;
            // The last look at its record: it refuses new generations from now on.
            read_generations(scene, *engine).await;
        }
    }
    None
}

async fn end(scene: &Scene, world: &mut World, fault: &Fault) {
    match fault {
        Fault::Kill(host) | Fault::Stop(host) => world.revive_host(scene, *host),
        Fault::Freeze(host) => world.signal(*host, "CONT"),
        Fault::Cut(zone, _) => world.wires.heal(zone).await,
        Fault::KillEngine(engine) => world.revive_engine(scene, *engine),
        Fault::PlanStop(engine) => {
            world.kill_engine(scene, *engine).await;
            world.revive_engine(scene, *engine);
        }
        Fault::Reclaim(engine) => {
            sleep(Duration::from_millis(700)).await;
            world.revive_engine(scene, *engine);
        }
        Fault::Remove(_) | Fault::Silence(_) | Fault::Stall(_) => {}
    }
}

/// Waits until the process that was told to stop has ended. One that the other lane froze ends
/// later.
async fn await_stop(world: &Mutex<World>, host: usize, id: u32) {
    loop {
        let mut world = world.lock().await;
        let process = &mut world.system.hosts[host].process;
        let Some(stopping) = process.as_mut().filter(|stopping| stopping.id() == id) else {
            return;
        };
        if stopping.ended().is_some() {
            *process = None;
            return;
        }
        drop(world);
        sleep(Duration::from_millis(50)).await;
    }
}

/// Plans the stop of an engine through any host and watches until all hosts have confirmed it.
/// The attempt is given up if the engine is replaced meanwhile.
async fn plan_stop(scene: &Scene, world: &Mutex<World>, engine: usize, random: &mut StdRng) {
    let run = world.lock().await.engine_runs[engine];
    let name = format!("engine-{engine}");
    let subject = json!({ "kind": "target", "name": name });
    let planned_ms = unix_ms();
    let proposal = Uuid::from_u128(random.random());
    let plan = json!({ "subject": subject, "proposal": proposal });
    let planned = operate(scene.pick(random).operator, STOP_PLAN, plan);
    if !matches!(timeout(PATIENCE, planned).await, Ok(Ok(_))) {
        return;
    }
    for _ in 0..LOOKS {
        sleep(LOOK).await;
        let watch = json!({ "subject": subject, "seen": null, "wait_ms": 100 });
        let told = operate(scene.pick(random).operator, STOP_WATCH, watch);
        let Ok(Ok(progress)) = timeout(PATIENCE, told).await else {
            continue;
        };
        // An older stop of the same name may still be told.
        let current = progress["planned_at_ms"].as_u64() >= Some(planned_ms);
        if !current || progress["stage"] == "planned" {
            continue;
        }
        let from_ms = unix_ms();
        let mut world = world.lock().await;
        if world.engine_runs[engine] == run && world.engines[engine].is_some() {
            world.drained.push(Drained {
                engine,
                planned_ms,
                from_ms,
                until_ms: u64::MAX,
            });
        }
        // Time in which new work would arrive.
        drop(world);
        sleep(Duration::from_secs(1)).await;
        return;
    }
}

async fn tell(scene: &Scene, engine: usize, path: &str, body: &str) {
    let headers = [("content-type", "application/json")];
    let path = format!("/v1/{path}");
    client::send(scene.engines[engine], Method::POST, &path, &headers, body).await;
}

/// Ends every fault and starts every process that is away, but for a removed host.
pub async fn heal(scene: &Scene, world: &mut World) {
    world.note_crashes(scene);
    for zone in ZONES {
        world.wires.heal(zone).await;
    }
    for host in 0..HOSTS as usize {
        world.signal(host, "CONT");
        let process = &mut world.system.hosts[host].process;
        if process
            .as_mut()
            .is_some_and(|process| process.ended().is_some())
        {
            *process = None;
        }
        world.revive_host(scene, host);
        world.end_outage(scene, host);
    }
    for engine in 0..ENGINES {
        world.revive_engine(scene, engine);
    }
}
