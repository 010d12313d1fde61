//! Tests of the scheduler with its queue, router and length estimate.

use {
    rand::{Rng, SeedableRng, rngs::StdRng},
    rstest::rstest,
    sardinerelay::{
        admission::Objective,
        fleet::{Entry, Listed},
        router::{Description, LoadReport},
        scheduler::{Decision, Outcome, Policy, Request, Scheduler, Settings},
    },
    std::time::{Duration, Instant},
    uuid::Uuid,
};

fn scheduler(policy: Policy, now: Instant) -> Scheduler {
    let settings = Settings {
        zone: "zone".into(),
        hosts: 1,
        policy,
        objective: Objective::Stall,
        queue_limit: 100,
    };
    let mut scheduler = Scheduler::new(settings, now);
    for name in ["engine-0", "engine-1", "engine-2"] {
        let description = Description {
            name: name.into(),
            zone: "zone".into(),
            memory_tokens: 20_000,
            models: vec!["model".into()],
        };
        scheduler.upsert_target(description, now);
        scheduler.fleet_mut().join(&name.into(), 1);
    }
    scheduler
}

fn request(id: u128) -> Request {
    Request {
        generation: Uuid::from_u128(id),
        organisation: "organisation".into(),
        model: "model".into(),
        class: "class".into(),
        priority: 0,
        max_wait: Duration::from_secs(10),
        prompt_tokens: 500,
        max_tokens: 1_000,
        prefixes: Vec::new(),
    }
}

/// Guards against requests for a target that has left, even if the platform's list still shows it
/// as live.
#[rstest]
fn leaving_target_gets_no_request(
    #[values(Policy::Adaptive, Policy::RoundRobin, Policy::LeastInFlight)] policy: Policy,
) {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let mut scheduler = scheduler(policy, now);
    scheduler.fleet_mut().leave(&"engine-1".into(), 1);
    let list = [Entry {
        target: "engine-1".into(),
        incarnation: 1,
        listed: Listed::Live,
    }];
    scheduler.fleet_mut().merge_list(&list);
    for id in 0..20 {
        for decision in scheduler.offer(request(id), &mut rng, now) {
            if let Decision::Dispatch { pick, .. } = decision {
                assert_ne!(pick.target, "engine-1");
            }
        }
    }
}

/// Guards against requests that are lost, dispatched twice, or both dispatched and refused when
/// events arrive in random order.
#[rstest]
fn every_request_is_decided_once(#[values(1, 2, 3)] seed: u64) {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut scheduler = scheduler(Policy::Adaptive, start);
    let mut undecided = Vec::new();
    let mut running = Vec::new();
    let mut counts = [0_u32; 3];
    for id in 0..3_000 {
        let now = start + Duration::from_millis(20) * id as u32;
        let mut decisions = Vec::new();
        undecided.push(Uuid::from_u128(id));
        decisions.extend(scheduler.offer(request(id), &mut rng, now));
        if rng.random_bool(0.05) {
            let at = rng.random_range(0..undecided.len());
            if scheduler.withdraw(undecided[at]) {
                undecided.swap_remove(at);
                counts[2] += 1;
            }
        }
        if !running.is_empty() && rng.random_bool(0.6) {
            let ended = running.swap_remove(rng.random_range(0..running.len()));
            scheduler.record_first_token(ended, now);
            scheduler.record_progress(ended, rng.random_range(1..900), now);
            decisions.extend(scheduler.record_finish(ended, Outcome::Complete, &mut rng, now));
        }
        if id % 5 == 0 {
            decisions.extend(scheduler.tick(&mut rng, now));
            let report = LoadReport {
                used_tokens: 1_000,
                running: 1,
                waiting: 0,
                preemptions: 0,
                age: Duration::from_millis(100),
            };
            decisions.extend(scheduler.apply_report("engine-2", report, &mut rng, now));
        }
        for decision in decisions {
            let generation = match decision {
                Decision::Dispatch { generation, .. } => {
                    counts[0] += 1;
                    running.push(generation);
                    generation
                }
                Decision::Refuse { generation, .. } => {
                    counts[1] += 1;
                    generation
                }
            };
            let at = undecided.iter().position(|id| *id == generation);
            undecided.swap_remove(at.expect("a request that was not decided before"));
        }
        assert_eq!(scheduler.waiting(), undecided.len());
        assert_eq!(scheduler.in_flight(), running.len());
    }
    println!("seed {seed}: {counts:?} dispatched, refused, withdrawn");
    assert!(counts.iter().all(|count| *count > 0));
}

/// Guards against a target that fails every request at once and therefore looks idle and attracts
/// more and more of them.
#[rstest]
fn failing_target_is_ejected() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let mut scheduler = scheduler(Policy::Adaptive, now);
    let mut failed = 0;
    for id in 0..200 {
        for decision in scheduler.offer(request(id), &mut rng, now) {
            let Decision::Dispatch { generation, pick } = decision else {
                continue;
            };
            let ending = if pick.target == "engine-0" {
                failed += 1;
                Outcome::Failed
            } else {
                Outcome::Complete
            };
            scheduler.record_finish(generation, ending, &mut rng, now);
        }
    }
    assert_eq!(failed, 3);
}
