//! Runs under combined faults.

use {
    crate::{
        calls,
        check::violations,
        faults,
        harness::{eventually, in_force},
        history::{End, History, Outcome, Verdict},
        operators::{self, FIRST, salted},
        scene::{ENGINES, Scene, World, read_generations, read_runs},
        streams,
    },
    std::{
        env,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{sync::Mutex, task::JoinSet, time::sleep},
    uuid::Uuid,
};

/// Seed of the run in CI.
const SEED: u64 = 7;

/// How long faults are injected in CI.
const SECONDS: u64 = 9;

/// Time after the last heal in which calls that hosts had begun come to their end.
const SETTLE: Duration = Duration::from_secs(4);

/// Callers of each kind.
const CALLERS: u64 = 6;

/// Guards against every guarantee that breaks when faults meet: kills, planned stops, freezes, cut
/// and silent links, silent engine connections, lost engines, a lost diskless host, and operators
/// that race (G1, G2, G3, G4, G6, G7).
///
/// `SARDINERELAY_CHAOS_SEED` sets the first seed, `SARDINERELAY_CHAOS_ROUNDS` the number of seeds
/// and `SARDINERELAY_CHAOS_SECONDS` the time of faults for each.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn guarantees_hold_under_combined_faults() {
    let first = setting("SARDINERELAY_CHAOS_SEED", SEED);
    let rounds = setting("SARDINERELAY_CHAOS_ROUNDS", 1);
    let seconds = setting("SARDINERELAY_CHAOS_SECONDS", SECONDS);
    let mut broken = Vec::new();
    for seed in first..first + rounds {
        println!("seed {seed}");
        let history = record(seed, Duration::from_secs(seconds)).await;
        let found = violations(&history);
        println!("seed {seed}: {}", summary(&history));
        for violation in &found {
            println!("seed {seed}: {violation:#?}");
        }
        broken.extend(found);
    }
    assert!(broken.is_empty(), "{} violations", broken.len());
}

fn setting(name: &str, default: u64) -> u64 {
    env::var(name).map_or(default, |text| {
        text.parse().expect("the setting is a number")
    })
}

async fn record(seed: u64, time: Duration) -> History {
    let (world, scene) = World::start(seed);
    let scene = Arc::new(scene);
    put_first(&scene, &world).await;
    let world = Arc::new(Mutex::new(world));
    let mut tasks = JoinSet::new();
    for task in 0..CALLERS {
        tasks.spawn(calls::order(scene.clone(), 100 + task));
        tasks.spawn(streams::read(scene.clone(), 300 + task));
    }
    tasks.spawn(calls::ask(scene.clone(), 200));
    tasks.spawn(calls::ask(scene.clone(), 201));
    for task in 0..2 {
        tasks.spawn(operators::operate(scene.clone(), 400 + task));
        tasks.spawn(faults::inject(scene.clone(), world.clone(), 500 + task));
    }
    for host in scene.hosts.clone() {
        tasks.spawn(operators::watch(scene.clone(), host));
    }
    sleep(time).await;
    scene.running.store(false, Ordering::Relaxed);
    while let Some(ended) = tasks.join_next().await {
        ended.expect("no task panics");
    }
    let mut world = world.lock().await;
    faults::heal(&scene, &mut world).await;
    settle(&scene, &world).await;
    for engine in 0..ENGINES {
        world.end_drained(&scene, engine);
    }
    scene.recorder.history().clone()
}

/// Puts the first sheet in force on all hosts.
async fn put_first(scene: &Scene, world: &World) {
    scene.number.store(FIRST, Ordering::Relaxed);
    let sheet = salted(scene, FIRST, 0);
    let proposal = Uuid::new_v4();
    let accepted = async || {
        let verdict = operators::put(scene, scene.hosts[0], &sheet, proposal).await;
        matches!(verdict, Verdict::Accepted(_))
    };
    eventually("the first sheet is accepted", accepted).await;
    for host in &world.system.hosts {
        let shown = async || in_force(host.operator).await == Some(FIRST);
        eventually("the first sheet is in force", shown).await;
    }
}

/// Submits a last sheet, waits until it is in force on all hosts that are left, and reads the
/// targets' records.
async fn settle(scene: &Scene, world: &World) {
    let number = scene.number.load(Ordering::Relaxed) + 1;
    let sheet = salted(scene, number, 0);
    let proposal = Uuid::new_v4();
    let accepted = async || {
        let verdict = operators::put(scene, scene.hosts[1], &sheet, proposal).await;
        matches!(verdict, Verdict::Accepted(_))
    };
    eventually("a last sheet is accepted", accepted).await;
    for (position, host) in world.system.hosts.iter().enumerate() {
        if world.removed == Some(position) {
            continue;
        }
        let shown = async || in_force(host.operator).await == Some(number);
        eventually("the last sheet is in force", shown).await;
        let shown = in_force(host.operator).await;
        scene.recorder.history().settled.push((host.id, shown));
    }
    sleep(SETTLE).await;
    read_runs(scene).await;
    for engine in 0..ENGINES {
        read_generations(scene, engine).await;
    }
}

fn summary(history: &History) -> String {
    let attempts = |wanted: fn(&Outcome) -> bool| {
        let matching = history.attempts.iter();
        matching.filter(|attempt| wanted(&attempt.outcome)).count()
    };
    let ends = |wanted: fn(&End) -> bool| {
        let parts = history.deliveries.iter().flat_map(|stream| &stream.parts);
        parts.filter(|part| wanted(&part.end)).count()
    };
    let verdicts = |wanted: fn(&Verdict) -> bool| {
        let matching = history.submissions.iter();
        matching
            .filter(|submission| wanted(&submission.verdict))
            .count()
    };
    let preempted = history.generations.iter().map(|ran| ran.preemptions);
    format!(
        "{} attempts ({} acknowledged, {} not run, {} unknown, {} lost); {} streams, {} \
         connections ({} whole, {} errors, {} closed, {} abandoned, {} refused), {} preemptions; {} \
         submissions ({} accepted, {} not committed, {} lost), {} sheets shown; {} kills; {} confirmed stops, last new work {:?} ms after the plan",
        history.attempts.len(),
        attempts(|outcome| matches!(outcome, Outcome::Acknowledged { .. })),
        attempts(|outcome| matches!(outcome, Outcome::NotRun(_))),
        attempts(|outcome| matches!(outcome, Outcome::Unknown(_))),
        attempts(|outcome| *outcome == Outcome::Lost),
        history.deliveries.len(),
        ends(|_| true),
        ends(|end| *end == End::Done),
        ends(|end| matches!(end, End::Error(_))),
        ends(|end| *end == End::Closed),
        ends(|end| *end == End::Abandoned),
        ends(|end| matches!(end, End::Refused { .. })),
        preempted.sum::<u64>(),
        history.submissions.len(),
        verdicts(|verdict| matches!(verdict, Verdict::Accepted(_))),
        verdicts(|verdict| *verdict == Verdict::NotCommitted),
        verdicts(|verdict| *verdict == Verdict::Lost),
        history.shown.len(),
        history.outages.len(),
        history.drained.len(),
        last_work(history),
    )
}

/// The longest time between the plan of a confirmed stop and new work on the engine.
fn last_work(history: &History) -> Option<u64> {
    let times = history.drained.iter().flat_map(|stop| {
        let started = history.generations.iter().filter(|generation| {
            generation.engine == stop.engine
                && (stop.planned_ms..stop.until_ms).contains(&generation.started_ms)
        });
        started.map(|generation| generation.started_ms - stop.planned_ms)
    });
    times.max()
}
