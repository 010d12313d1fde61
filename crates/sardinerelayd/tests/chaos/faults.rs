//! Injects random faults from a seed. Two tasks do so at the same time, so that faults overlap.

use {
    crate::{
        client,
        harness::{Process, call_operator},
        history::ConfirmedStop,
        testbed::{
            Context, ENGINE_COUNT, HOST_COUNT, Processes, VOTER_COUNT, record_generations, unix_ms,
        },
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

/// The availability zones of the harness. The voter at each position is in the zone at the same
/// one.
const ZONES: [&str; 3] = ["lakes-a", "lakes-b", "lakes-c"];

/// Longest duration of a short fault, in milliseconds.
const MAX_SHORT_FAULT_MS: u64 = 2_000;

/// Longest duration of a long fault, in milliseconds. It is long enough for leases, elections and
/// calls to time out.
const MAX_LONG_FAULT_MS: u64 = 8_000;

/// Probability that a fault is a long one.
const LONG_FAULT_PROBABILITY: f64 = 0.25;

/// How long an operator waits for an answer.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(6);

/// How often an operator asks whether a planned stop is confirmed before giving up.
const MAX_STOP_POLLS: u32 = 20;

/// Time between two such questions.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// A fault of a host or an engine, which it names by its position, or of an availability zone.
#[derive(Debug, Clone, PartialEq)]
enum Fault {
    /// Kills a host and restarts it later.
    KillHost(usize),
    /// Stops a host with SIGTERM and restarts it later.
    StopHost(usize),
    /// Freezes a host's process with SIGSTOP for a while.
    FreezeHost(usize),
    /// Kills a host without a disk for good. Only one host of a run is removed.
    RemoveHost(usize),
    /// Sets this fault mode of the proxy on all links of an availability zone for a while.
    BreakLinks(&'static str, &'static str),
    /// Makes an engine's open connections silent for good. New connections work.
    SilenceEngine(usize),
    /// Pauses an engine's decoding for a while.
    StallEngine(usize),
    /// Kills an engine and restarts it later.
    KillEngine(usize),
    /// An operator plans the stop of an engine, which is then killed and restarted.
    PlanEngineStop(usize),
    /// The platform reclaims an engine at short notice and later starts another at its address.
    ReclaimEngine(usize),
}

impl Fault {
    /// Picks a fault. The ranges set how often each one occurs.
    fn random(rng: &mut StdRng) -> Self {
        let host = rng.random_range(0..HOST_COUNT as usize);
        let engine = rng.random_range(0..ENGINE_COUNT);
        let zone = ZONES[rng.random_range(0..ZONES.len())];
        match rng.random_range(0..22) {
            0..=3 => Self::KillHost(host),
            4..=5 => Self::StopHost(host),
            6..=8 => Self::FreezeHost(host),
            9 => Self::RemoveHost(rng.random_range(VOTER_COUNT..HOST_COUNT) as usize),
            10..=11 => Self::BreakLinks(zone, "cut"),
            12..=13 => Self::BreakLinks(zone, "black_hole"),
            14 => Self::BreakLinks(zone, "silent"),
            15 => Self::SilenceEngine(engine),
            16 => Self::StallEngine(engine),
            17..=18 => Self::KillEngine(engine),
            19..=20 => Self::PlanEngineStop(engine),
            _ => Self::ReclaimEngine(engine),
        }
    }
}

impl Fault {
    /// Whether the fault isolates a host which, if it is the leader, goes on as one for a while.
    fn isolates_host(&self) -> bool {
        matches!(
            self,
            Self::FreezeHost(_) | Self::BreakLinks(_, "black_hole")
        )
    }

    /// The same fault, but of the voter at this position or of its availability zone.
    fn retargeted(self, host: usize) -> Self {
        match self {
            Self::FreezeHost(_) => Self::FreezeHost(host),
            Self::BreakLinks(_, mode) => Self::BreakLinks(ZONES[host % ZONES.len()], mode),
            other => other,
        }
    }
}

/// The position of the voter that reports to be leader, in the highest term if several do. `None`
/// if none does.
async fn find_leader(context: &Context) -> Option<usize> {
    let requests = context.hosts.iter().take(VOTER_COUNT as usize).map(|host| {
        timeout(
            Duration::from_millis(500),
            call_operator(host.operator, HEALTH, Value::Null),
        )
    });
    let answers = join_all(requests).await.into_iter().enumerate();
    answers
        .filter_map(|(position, answer)| Some((answer.ok()?.ok()?, position)))
        .filter(|(health, _)| health["role"] == "leader")
        .max_by_key(|(health, _)| health["term"].as_u64())
        .map(|(_, position)| position)
}

/// Injects one fault after the other until the run ends. Half of the faults that can isolate a host
/// are aimed at the leader, if there is one.
pub async fn inject_faults(context: Arc<Context>, processes: Arc<Mutex<Processes>>, task: u64) {
    let mut rng = context.task_rng(task);
    while context.is_running() {
        let mut fault = Fault::random(&mut rng);
        let longest = if rng.random_bool(LONG_FAULT_PROBABILITY) {
            MAX_LONG_FAULT_MS
        } else {
            MAX_SHORT_FAULT_MS
        };
        let duration = Duration::from_millis(rng.random_range(100..longest));
        let aimed = rng.random_bool(0.5);
        let leader = find_leader(&context)
            .await
            .filter(|_| fault.isolates_host());
        if let Some(leader) = leader.filter(|_| aimed) {
            fault = fault.retargeted(leader);
        }
        let of_leader = match leader.is_some_and(|leader| fault == fault.clone().retargeted(leader))
        {
            true => " of the leader",
            false => "",
        };
        eprintln!(
            "{:>9} {fault:?} for {duration:?}{of_leader}",
            context.recorder.now_us()
        );
        let stopping_pid = begin_fault(&context, &mut *processes.lock().await, &fault).await;
        sleep(duration).await;
        if let Fault::PlanEngineStop(engine) = fault {
            plan_stop(&context, &processes, engine, &mut rng).await;
        }
        if let (Fault::StopHost(host), Some(pid)) = (&fault, stopping_pid) {
            wait_for_exit(&processes, *host, pid).await;
        }
        end_fault(&context, &mut *processes.lock().await, &fault).await;
        sleep(Duration::from_millis(rng.random_range(50..1_000))).await;
    }
}

/// Begins a fault. Returns the ID of the process if it got SIGTERM.
async fn begin_fault(context: &Context, processes: &mut Processes, fault: &Fault) -> Option<u32> {
    processes.record_crashes(context);
    match fault {
        Fault::KillHost(host) => processes.kill_host(context, *host),
        Fault::StopHost(host) => {
            processes.signal(*host, "TERM");
            let process = processes.cluster.hosts[*host].process.as_ref();
            let pid = process.map(Process::id);
            processes.stopping_pids.extend(pid);
            return pid;
        }
        Fault::FreezeHost(host) => processes.signal(*host, "STOP"),
        Fault::RemoveHost(host) if processes.removed_host.is_none() => {
            processes.kill_host(context, *host);
            processes.removed_host = Some(*host);
        }
        Fault::RemoveHost(_) | Fault::PlanEngineStop(_) => {}
        Fault::BreakLinks(zone, mode) => processes.links.inject_fault(zone, mode).await,
        Fault::SilenceEngine(engine) => {
            post_to_engine(context, *engine, "faults", r#"{"silent":true}"#).await
        }
        Fault::StallEngine(engine) => {
            post_to_engine(context, *engine, "faults", r#"{"stall_ms":1500}"#).await
        }
        Fault::KillEngine(engine) => processes.kill_engine(context, *engine).await,
        Fault::ReclaimEngine(engine) => {
            post_to_engine(context, *engine, "leave", r#"{"kill_after_ms":600}"#).await;
            // From now on the engine refuses new generations, so its record is complete.
            record_generations(context, *engine).await;
        }
    }
    None
}

/// Ends a fault. A process that it ended is restarted, except for a removed host.
async fn end_fault(context: &Context, processes: &mut Processes, fault: &Fault) {
    match fault {
        Fault::KillHost(host) | Fault::StopHost(host) => processes.restart_host(context, *host),
        Fault::FreezeHost(host) => processes.signal(*host, "CONT"),
        Fault::BreakLinks(zone, _) => processes.links.heal(zone).await,
        Fault::KillEngine(engine) => processes.restart_engine(context, *engine),
        Fault::PlanEngineStop(engine) => {
            processes.kill_engine(context, *engine).await;
            processes.restart_engine(context, *engine);
        }
        Fault::ReclaimEngine(engine) => {
            sleep(Duration::from_millis(700)).await;
            processes.restart_engine(context, *engine);
        }
        Fault::RemoveHost(_) | Fault::SilenceEngine(_) | Fault::StallEngine(_) => {}
    }
}

/// Waits until the process that got SIGTERM has ended, or another one runs in its place. If the
/// other fault task has frozen it, it ends only after it is resumed.
async fn wait_for_exit(processes: &Mutex<Processes>, host: usize, pid: u32) {
    loop {
        let mut processes = processes.lock().await;
        let process = &mut processes.cluster.hosts[host].process;
        let Some(stopping) = process.as_mut().filter(|stopping| stopping.id() == pid) else {
            return;
        };
        if stopping.try_wait().is_some() {
            *process = None;
            return;
        }
        drop(processes);
        sleep(Duration::from_millis(50)).await;
    }
}

/// Plans the stop of an engine through any host, and records it once every host has confirmed it.
/// Gives up if the plan fails or is not confirmed in time, and records nothing if the engine was
/// restarted meanwhile.
async fn plan_stop(
    context: &Context,
    processes: &Mutex<Processes>,
    engine: usize,
    rng: &mut StdRng,
) {
    let start_number = processes.lock().await.engine_starts[engine];
    let name = format!("engine-{engine}");
    let subject = json!({ "kind": "target", "name": name });
    let planned_ms = unix_ms();
    let proposal = Uuid::from_u128(rng.random());
    let plan = json!({ "subject": subject, "proposal": proposal });
    let planned = call_operator(context.random_host(rng).operator, STOP_PLAN, plan);
    if !matches!(timeout(OPERATOR_TIMEOUT, planned).await, Ok(Ok(_))) {
        return;
    }
    for _ in 0..MAX_STOP_POLLS {
        sleep(STOP_POLL_INTERVAL).await;
        let watch = json!({ "subject": subject, "seen": null, "wait_ms": 100 });
        let watched = call_operator(context.random_host(rng).operator, STOP_WATCH, watch);
        let Ok(Ok(progress)) = timeout(OPERATOR_TIMEOUT, watched).await else {
            continue;
        };
        // The report may still be that of an earlier stop of this engine.
        let current = progress["planned_at_ms"].as_u64() >= Some(planned_ms);
        if !current || progress["stage"] == "planned" {
            continue;
        }
        let confirmed_ms = unix_ms();
        let mut processes = processes.lock().await;
        if processes.engine_starts[engine] == start_number && processes.engines[engine].is_some() {
            processes.confirmed_stops.push(ConfirmedStop {
                engine,
                planned_ms,
                confirmed_ms,
                ended_ms: u64::MAX,
            });
        }
        // Wrongly assigned work would arrive in this time.
        drop(processes);
        sleep(Duration::from_secs(1)).await;
        return;
    }
}

/// Posts to the control interface of a stand-in engine, `/v1/<path>`.
async fn post_to_engine(context: &Context, engine: usize, path: &str, body: &str) {
    let headers = [("content-type", "application/json")];
    let path = format!("/v1/{path}");
    client::send(context.engines[engine], Method::POST, &path, &headers, body).await;
}

/// Ends every fault, resumes every frozen process and restarts every process that is down, except
/// for a removed host.
pub async fn heal_all(context: &Context, processes: &mut Processes) {
    processes.record_crashes(context);
    for zone in ZONES {
        processes.links.heal(zone).await;
    }
    for host in 0..HOST_COUNT as usize {
        processes.signal(host, "CONT");
        let process = &mut processes.cluster.hosts[host].process;
        if process
            .as_mut()
            .is_some_and(|process| process.try_wait().is_some())
        {
            *process = None;
        }
        processes.restart_host(context, host);
        processes.record_outage(context, host);
    }
    for engine in 0..ENGINE_COUNT {
        processes.restart_engine(context, engine);
    }
}
