//! Measures what a decision of the queue costs, for `docs/CAPACITY.md`.

use {
    rand::rng,
    sardinerelay_gateway::{
        admission::{Queue, Waiter},
        allocator::{Scope, place},
        homes::Homes,
        observations::{Instance, Load, LoadReport, Observations},
        placement::Need,
        targets::Targets,
    },
    std::{
        hint::black_box,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

const ORGANISATIONS: u64 = 760;
const TARGETS: [usize; 3] = [45, 1_200, 12_000];
/// Requests that wait, half of the longest queue.
const WAITING: u64 = 128;
/// Number of decisions that are measured for each number of targets.
const DECISIONS: u32 = 50;
const ENGINE_TOKENS: u64 = 26_860;

/// Engines that are full.
fn targets(count: usize, now: Instant) -> Targets {
    let instances: Vec<Instance> = (0..count)
        .map(|number| Instance {
            target: format!("i-{number:010x}").into(),
            incarnation: 1,
            service: "engines".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 8000)),
            zone: "a".into(),
            slots: 24,
            leaving: false,
            cold_ms: 0,
            build: "v1".into(),
        })
        .collect();
    let loads = instances.iter().map(|instance| LoadReport {
        target: instance.target.clone(),
        incarnation: 1,
        load: Load {
            used: ENGINE_TOKENS,
            total: ENGINE_TOKENS,
            running: 7,
            ..Load::default()
        },
        age_ms: 0,
        closing_ms: None,
    });
    let observations = Observations {
        stamp: 1,
        loads: loads.collect(),
        instances,
        ..Observations::default()
    };
    let mut targets = Targets::default();
    targets.merge(&observations, now);
    targets
}

fn need(number: u64) -> Need {
    Need {
        service: "engines".into(),
        organisation: format!("o{}", number % ORGANISATIONS).into(),
        zone: "a".into(),
        engine_memory_tokens: ENGINE_TOKENS,
        prompt_tokens: 7_000 + number * 977 % 1_000,
        output_tokens: 750,
        priority: (number % 3) as u8,
        shared_tokens: 0,
        wants_copy: false,
        shared_parts: Vec::new(),
        build: None,
        homes: Homes::default(),
    }
}

fn main() {
    for count in TARGETS {
        let now = Instant::now();
        let targets = targets(count, now);
        let mut queue = Queue::default();
        let mut run = 0;
        // All organisations have running requests.
        for number in 0..ORGANISATIONS {
            offer(&mut queue, run, need(number), now);
            run += 1;
            queue.decide(now, |_, _| {
                Ok(sardinerelay_gateway::placement::Choice {
                    target: "i-0".into(),
                    copy: None,
                })
            });
        }
        while queue.len() < WAITING as usize && run < 100_000 {
            offer(&mut queue, run, need(run), now);
            run += 1;
        }
        let began = Instant::now();
        for _ in 0..DECISIONS {
            let decisions = queue.decide(now, |waiter, room| {
                place(&targets, waiter, (room, Scope::Group), &mut rng(), now)
            });
            black_box(decisions);
        }
        println!(
            "{count} targets, {} waiting: {:.3} ms a decision in which nothing finds room",
            queue.len(),
            began.elapsed().as_secs_f64() * 1e3 / f64::from(DECISIONS)
        );
    }
}

fn offer(queue: &mut Queue, run: u64, need: Need, now: Instant) {
    let waiter = Waiter {
        run,
        need,
        arrived: now,
        deadline: now + Duration::from_secs(60),
    };
    // Some are refused, which doesn't matter here.
    let _ = queue.offer(waiter, now);
}
