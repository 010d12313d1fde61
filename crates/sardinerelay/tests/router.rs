//! Tests of the router.

use {
    rand::{SeedableRng, rngs::StdRng},
    rstest::rstest,
    sardinerelay::{
        fleet::Fleet,
        router::{
            CacheChange, CacheEvent, Curve, Description, HORIZON_TOKENS, LoadReport, Pick, Refusal,
            Request, Router,
        },
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    uuid::Uuid,
};

const MEMORY: u64 = 60_000;

/// A router in `zone-0` with targets in the given zones.
fn router(zones: &[&str], hosts: usize, now: Instant) -> (Router, Fleet) {
    let mut router = Router::new("zone-0".into(), hosts);
    let mut fleet = Fleet::new();
    for (at, zone) in zones.iter().enumerate() {
        let name = format!("engine-{at}");
        fleet.join(&name.as_str().into(), 1);
        let description = Description {
            name: name.into(),
            zone: (*zone).into(),
            memory_tokens: MEMORY,
            models: vec!["model".into()],
        };
        router.upsert_target(description, now);
    }
    (router, fleet)
}

fn request(prompt: u64, prefixes: &[u64]) -> Request {
    let survival = HORIZON_TOKENS.map(|ahead| if ahead < 1_000 { 1.0 } else { 0.0 });
    Request {
        model: "model".into(),
        prompt_tokens: prompt,
        reserved_tokens: prompt + 1_000,
        curve: Curve::new(prompt, survival),
        priority: 1,
        prefixes: prefixes.to_vec(),
    }
}

fn report(used_tokens: u64, running: usize) -> LoadReport {
    LoadReport {
        used_tokens,
        running,
        waiting: 0,
        preemptions: 0,
        age: Duration::from_millis(200),
    }
}

fn pick(
    router: &Router,
    fleet: &Fleet,
    request: &Request,
    rng: &mut StdRng,
    now: Instant,
) -> Result<Pick, Refusal> {
    router.pick(request, fleet, |_| true, rng, now)
}

/// Guards against a thundering herd: nine hosts see the same stale report of one target with free
/// memory among full ones, and all of them send it their waiting requests.
#[rstest]
fn hosts_with_a_stale_report_share_the_room(#[values(1, 2, 3, 4)] seed: u64) {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut sent = 0;
    for _ in 0..9 {
        let (mut router, fleet) = router(&["zone-0"; 3], 9, now);
        let later = now + Duration::from_secs(1);
        router.apply_report("engine-0", report(45_000, 30), &mut rng, later);
        router.apply_report("engine-1", report(59_900, 40), &mut rng, later);
        router.apply_report("engine-2", report(59_900, 40), &mut rng, later);
        // Each host has ten requests of 1,500 tokens waiting.
        for _ in 0..10 {
            let request = request(500, &[]);
            let Ok(pick) = pick(&router, &fleet, &request, &mut rng, later) else {
                break;
            };
            assert_eq!(pick.target, "engine-0");
            router.record_dispatch(Uuid::from_u128(sent), &pick.target, &request, later);
            sent += 1;
        }
    }
    println!("seed {seed}: {sent} of 90 requests sent to free memory for at most 30 prompts");
    assert!(sent <= 30);
}

/// Guards against a load report that removes the correction for dispatches that it doesn't include
/// yet.
#[rstest]
fn dispatches_after_a_report_still_count() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let (mut router, fleet) = router(&["zone-0"], 1, now);
    let mut sent = 0;
    for at in 0..200 {
        let now = now + Duration::from_millis(at);
        // Every report is 200 ms old and shows an empty target.
        router.apply_report("engine-0", report(0, 0), &mut rng, now);
        let request = request(500, &[]);
        if let Ok(pick) = pick(&router, &fleet, &request, &mut rng, now) {
            router.record_dispatch(Uuid::from_u128(sent), &pick.target, &request, now);
            sent += 1;
        }
    }
    assert!((25..=60).contains(&sent), "{sent}");
}

/// Guards against load that concentrates on few targets, and against unnecessary traffic between
/// availability zones.
#[rstest]
fn own_zone_comes_first_and_spills_over() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let (mut router, fleet) = router(&["zone-0", "zone-0", "zone-1"], 1, now);
    let mut targets = BTreeMap::<_, u32>::new();
    for at in 0..400 {
        let request = request(500, &[]);
        let Ok(pick) = pick(&router, &fleet, &request, &mut rng, now) else {
            break;
        };
        assert_eq!(pick.spilled, pick.target == "engine-2");
        if pick.spilled {
            assert!(targets["engine-0"] >= 20 && targets["engine-1"] >= 20);
        }
        *targets.entry(pick.target.to_string()).or_default() += 1;
        router.record_dispatch(Uuid::from_u128(at), &pick.target, &request, now);
    }
    println!("{targets:?}");
    assert_eq!(targets.len(), 3);
    let refused = pick(&router, &fleet, &request(500, &[]), &mut rng, now);
    assert_eq!(refused.unwrap_err(), Refusal::Full);
}

/// Guards against refusals that don't distinguish whether waiting can help.
#[rstest]
fn full_differs_from_too_large_and_no_target() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let (router, mut fleet) = router(&["zone-0"], 1, now);
    let large = pick(&router, &fleet, &request(MEMORY, &[]), &mut rng, now);
    assert_eq!(large.unwrap_err(), Refusal::TooLarge);
    fleet.leave(&"engine-0".into(), 1);
    let refused = pick(&router, &fleet, &request(500, &[]), &mut rng, now);
    assert_eq!(refused.unwrap_err(), Refusal::NoTarget);
}

/// Guards against requests that are sent to a target for a prefix that it has dropped since, either
/// because the event was lost or because the last confirmation is too old.
#[rstest]
fn gaps_and_age_lower_the_overlap() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let (mut router, fleet) = router(&["zone-0"; 4], 1, now);
    let wanted = request(500, &[11, 12, 13]);
    let stored = |sequence, prefix| CacheEvent {
        sequence,
        change: CacheChange::Stored(prefix),
    };
    let overlap = |router: &Router, rng: &mut StdRng, now| {
        let picks = (0..20).map(|_| pick(router, &fleet, &wanted, rng, now));
        picks.flatten().map(|pick| pick.overlap).fold(0.0, f64::max)
    };
    for (sequence, prefix) in [11, 12, 13].into_iter().enumerate() {
        router.apply_cache_event("engine-3", stored(sequence as u64, prefix), now);
    }
    assert_eq!(overlap(&router, &mut rng, now), 1.0);
    // Events 3 and 5 are lost. Each of them may have been the removal.
    router.apply_cache_event("engine-3", stored(4, 99), now);
    assert_eq!(overlap(&router, &mut rng, now), 0.5);
    router.apply_cache_event("engine-3", stored(6, 98), now);
    assert_eq!(overlap(&router, &mut rng, now), 0.0);
    // The prefix is confirmed again, and then no event arrives until it expires.
    router.apply_cache_event("engine-3", stored(7, 13), now);
    assert_eq!(overlap(&router, &mut rng, now), 1.0);
    let late = now + Duration::from_secs(121);
    assert_eq!(overlap(&router, &mut rng, late), 0.0);
}

/// Guards against prefix affinity that overloads the only target that holds a common prefix.
#[rstest]
fn affinity_is_bounded_by_load() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let (mut router, fleet) = router(&["zone-0"; 4], 1, now);
    let stored = CacheEvent {
        sequence: 0,
        change: CacheChange::Stored(11),
    };
    router.apply_cache_event("engine-3", stored, now);
    let mut matched = 0;
    for at in 0..60 {
        let request = request(500, &[11]);
        let pick = pick(&router, &fleet, &request, &mut rng, now).unwrap();
        matched += u32::from(pick.target == "engine-3");
        router.record_dispatch(Uuid::from_u128(at), &pick.target, &request, now);
    }
    println!("{matched} of 60 went to the target with the prefix");
    assert!((17..=30).contains(&matched));
}

/// Guards against a target that keeps getting requests although it is ten times slower than its
/// peers, and against one that never gets requests again.
#[rstest]
fn slow_target_is_detected_and_used_again() {
    let now = Instant::now();
    let (mut router, _) = router(&["zone-0"; 4], 1, now);
    for at in 0..40 {
        let target = at % 4;
        let id = Uuid::from_u128(at);
        router.record_dispatch(id, &format!("engine-{target}"), &request(100, &[]), now);
        let gap = if target == 2 { 300 } else { 30 };
        let curve = request(100, &[]).curve;
        router.record_first_token(id, now + Duration::from_millis(gap));
        router.record_progress(id, 16, Duration::from_millis(gap), curve);
    }
    router.tick(now);
    assert!(router.is_slow("engine-2", now));
    assert!(!router.is_slow("engine-1", now));
    assert!(!router.is_slow("engine-2", now + Duration::from_secs(11)));
}
