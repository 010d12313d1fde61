//! The test that runs a cluster under combined faults and checks the history.

use {
    crate::{
        calls,
        check::violations,
        faults,
        harness::{eventually, sheet_number_in_force},
        history::{ConnectionEnd, History, Outcome, Verdict},
        operators::{self, FIRST_NUMBER, salted_sheet},
        streams,
        testbed::{Context, ENGINE_COUNT, Processes, record_call_records, record_generations},
    },
    std::{
        env,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{sync::Mutex, task::JoinSet, time::sleep},
    uuid::Uuid,
};

/// First seed if `SARDINERELAY_CHAOS_SEED` is not set, as in CI.
const DEFAULT_SEED: u64 = 7;

/// How long faults are injected if `SARDINERELAY_CHAOS_SECONDS` is not set, as in CI.
const DEFAULT_FAULT_SECONDS: u64 = 9;

/// Time for calls that hosts had begun to end after all faults have ended.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Number of callers that send keyed calls, and of callers that read streams.
const CALLERS_PER_KIND: u64 = 6;

/// Guards against guarantees that break when faults coincide: kills, planned stops, frozen
/// processes, cut and silent links, silent engine connections, lost engines, a lost host without a
/// disk, and operators that submit sheets concurrently (G1, G2, G3, G4, G6, G7).
///
/// `SARDINERELAY_CHAOS_SEED` sets the first seed, `SARDINERELAY_CHAOS_ROUNDS` the number of
/// consecutive seeds and `SARDINERELAY_CHAOS_SECONDS` how long faults are injected for each.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn guarantees_hold_under_combined_faults() {
    let first = env_number("SARDINERELAY_CHAOS_SEED", DEFAULT_SEED);
    let rounds = env_number("SARDINERELAY_CHAOS_ROUNDS", 1);
    let seconds = env_number("SARDINERELAY_CHAOS_SECONDS", DEFAULT_FAULT_SECONDS);
    let mut violations_found = Vec::new();
    for seed in first..first + rounds {
        println!("seed {seed}");
        let history = run_seed(seed, Duration::from_secs(seconds)).await;
        let found = violations(&history);
        println!("seed {seed}: {}", summary(&history));
        for violation in &found {
            println!("seed {seed}: {violation:#?}");
        }
        violations_found.extend(found);
    }
    assert!(
        violations_found.is_empty(),
        "{} violations",
        violations_found.len()
    );
}

/// The number in an environment variable, or the default if it is not set.
fn env_number(name: &str, default: u64) -> u64 {
    env::var(name).map_or(default, |text| {
        text.parse().expect("the setting is a number")
    })
}

/// Runs a cluster under faults for this time and returns the history. Each task gets a number of
/// its own, with which its random numbers are seeded.
async fn run_seed(seed: u64, fault_time: Duration) -> History {
    let (processes, context) = Processes::start(seed);
    let context = Arc::new(context);
    put_first_sheet_in_force(&context, &processes).await;
    let processes = Arc::new(Mutex::new(processes));
    let mut tasks = JoinSet::new();
    for task in 0..CALLERS_PER_KIND {
        tasks.spawn(calls::place_orders(context.clone(), 100 + task));
        tasks.spawn(streams::open_streams(context.clone(), 300 + task));
    }
    tasks.spawn(calls::make_unkeyed_calls(context.clone(), 200));
    tasks.spawn(calls::make_unkeyed_calls(context.clone(), 201));
    for task in 0..2 {
        tasks.spawn(operators::submit_sheets(context.clone(), 400 + task));
        tasks.spawn(faults::inject_faults(
            context.clone(),
            processes.clone(),
            500 + task,
        ));
    }
    for host in context.hosts.clone() {
        tasks.spawn(operators::watch_sheet(context.clone(), host));
    }
    sleep(fault_time).await;
    context.running.store(false, Ordering::Relaxed);
    while let Some(ended) = tasks.join_next().await {
        ended.expect("no task panics");
    }
    let mut processes = processes.lock().await;
    faults::heal_all(&context, &mut processes).await;
    finish_run(&context, &processes).await;
    for engine in 0..ENGINE_COUNT {
        processes.record_stop_ends(&context, engine);
    }
    context.recorder.history().clone()
}

/// Puts the first sheet in force on all hosts.
async fn put_first_sheet_in_force(context: &Context, processes: &Processes) {
    context
        .highest_number
        .store(FIRST_NUMBER, Ordering::Relaxed);
    let sheet = salted_sheet(context, FIRST_NUMBER, 0);
    let proposal = Uuid::new_v4();
    let accepted = async || {
        let verdict = operators::submit(context, context.hosts[0], &sheet, proposal).await;
        matches!(verdict, Verdict::Accepted(_))
    };
    eventually("the first sheet is accepted", accepted).await;
    for host in &processes.cluster.hosts {
        let is_in_force = async || sheet_number_in_force(host.operator).await == Some(FIRST_NUMBER);
        eventually("the first sheet is in force", is_in_force).await;
    }
}

/// Submits a last sheet, waits until it is in force on every host that was not removed, and adds
/// the targets' records to the history.
async fn finish_run(context: &Context, processes: &Processes) {
    let number = context.highest_number.load(Ordering::Relaxed) + 1;
    let sheet = salted_sheet(context, number, 0);
    let proposal = Uuid::new_v4();
    let accepted = async || {
        let verdict = operators::submit(context, context.hosts[1], &sheet, proposal).await;
        matches!(verdict, Verdict::Accepted(_))
    };
    eventually("a last sheet is accepted", accepted).await;
    for (position, host) in processes.cluster.hosts.iter().enumerate() {
        if processes.removed_host == Some(position) {
            continue;
        }
        let is_in_force = async || sheet_number_in_force(host.operator).await == Some(number);
        eventually("the last sheet is in force", is_in_force).await;
        let shown = sheet_number_in_force(host.operator).await;
        context
            .recorder
            .history()
            .final_sheets
            .push((host.id, shown));
    }
    sleep(SETTLE_TIME).await;
    record_call_records(context).await;
    for engine in 0..ENGINE_COUNT {
        record_generations(context, engine).await;
    }
}

/// Counts of what the history contains, in one line.
fn summary(history: &History) -> String {
    let attempts = |predicate: fn(&Outcome) -> bool| {
        let matching = history.attempts.iter();
        matching
            .filter(|attempt| predicate(&attempt.outcome))
            .count()
    };
    let ends = |predicate: fn(&ConnectionEnd) -> bool| {
        let connections = history
            .streams
            .iter()
            .flat_map(|stream| &stream.connections);
        connections
            .filter(|connection| predicate(&connection.end))
            .count()
    };
    let verdicts = |predicate: fn(&Verdict) -> bool| {
        let matching = history.submissions.iter();
        matching
            .filter(|submission| predicate(&submission.verdict))
            .count()
    };
    let preemptions = history.generations.iter().map(|ran| ran.preemptions);
    format!(
        "{} attempts ({} acknowledged, {} not run, {} unknown, {} lost); {} streams, {} \
         connections ({} complete, {} errors, {} closed, {} abandoned, {} refused), {} preemptions; {} \
         submissions ({} accepted, {} not committed, {} lost), {} observations of sheets; {} kills; {} confirmed stops, latest new work {:?} ms after the plan",
        history.attempts.len(),
        attempts(|outcome| matches!(outcome, Outcome::Acknowledged { .. })),
        attempts(|outcome| matches!(outcome, Outcome::NotRun(_))),
        attempts(|outcome| matches!(outcome, Outcome::Unknown(_))),
        attempts(|outcome| *outcome == Outcome::Lost),
        history.streams.len(),
        ends(|_| true),
        ends(|end| *end == ConnectionEnd::Done),
        ends(|end| matches!(end, ConnectionEnd::Error(_))),
        ends(|end| *end == ConnectionEnd::Closed),
        ends(|end| *end == ConnectionEnd::Abandoned),
        ends(|end| matches!(end, ConnectionEnd::Refused { .. })),
        preemptions.sum::<u64>(),
        history.submissions.len(),
        verdicts(|verdict| matches!(verdict, Verdict::Accepted(_))),
        verdicts(|verdict| *verdict == Verdict::NotCommitted),
        verdicts(|verdict| *verdict == Verdict::Lost),
        history.observations.len(),
        history.outages.len(),
        history.confirmed_stops.len(),
        latest_work_ms(history),
    )
}

/// The longest time from the plan of a confirmed stop to new work on the engine, in milliseconds.
/// `None` if there was no such work.
fn latest_work_ms(history: &History) -> Option<u64> {
    let times = history.confirmed_stops.iter().flat_map(|stop| {
        let started = history.generations.iter().filter(|generation| {
            generation.engine == stop.engine
                && (stop.planned_ms..stop.ended_ms).contains(&generation.started_ms)
        });
        started.map(|generation| generation.started_ms - stop.planned_ms)
    });
    times.max()
}
