//! The bound on the targets that one decision compares, and the indexes that it uses.

use {
    super::fixtures::{SERVICE, instance, need, observations, targets},
    rand::{SeedableRng as _, rngs::StdRng},
    sardinerelay_gateway::{
        allocator::{Scope, claim},
        placement::{Choice, choose},
        targets::{MAX_CANDIDATES, Targets},
    },
    std::{
        collections::HashSet,
        time::{Duration, Instant},
    },
};

fn candidate_count(targets: &Targets, seed: u64, now: Instant) -> usize {
    let mut rng = StdRng::seed_from_u64(seed);
    targets.candidates(SERVICE, Some(seed), &mut rng, now).len()
}

/// Walking thousands of engines in each decision would hold the allocator's lock for milliseconds.
#[test]
fn a_decision_compares_a_bounded_number_of_engines() {
    let now = Instant::now();
    for (engines, most) in [
        (3, 3),
        (MAX_CANDIDATES, MAX_CANDIDATES),
        (3_000, MAX_CANDIDATES),
    ] {
        let targets = targets(&vec![0; engines], now);
        let counts: Vec<usize> = (0..20)
            .map(|seed| candidate_count(&targets, seed, now))
            .collect();
        assert!(
            counts
                .iter()
                .all(|count| *count <= most && *count > most / 2),
            "{counts:?}"
        );
    }
}

/// The only engines with room among thousands must be found, although a sample would miss them.
#[test]
fn the_least_loaded_engines_are_always_candidates() {
    let now = Instant::now();
    let mut used = vec![29_900; 2_000];
    used[1_234] = 100;
    let mut full = observations(1, &used);
    for report in &mut full.loads {
        report.load.running = 30;
    }
    let mut targets = Targets::default();
    targets.merge(&full, now);
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let choice = choose(&targets, &need(), (Scope::Group, &[]), &mut rng, now).expect("room");
        assert_eq!(choice.target, instance(1_234).target);
    }
}

/// Requests with the same prefix must meet on few engines, or each engine reads it anew.
#[test]
fn requests_with_a_prefix_meet_on_few_of_many_engines() {
    let now = Instant::now();
    let mut targets = targets(&vec![1_000; 2_000], now);
    let mut need = need();
    need.shared_tokens = need.prompt_tokens;
    need.shared_parts = vec![7];
    let mut rng = StdRng::seed_from_u64(1);
    let mut chosen = HashSet::new();
    for run in 0..40 {
        let at = now + Duration::from_millis(run * 50);
        let choice = choose(&targets, &need, (Scope::Group, &[]), &mut rng, at).expect("room");
        claim(&mut targets, run, &need, &choice, at);
        targets.release_everywhere(run);
        chosen.insert(choice.target);
    }
    assert!(chosen.len() <= 2, "{chosen:?}");
}

/// A claim that stays after its request would keep memory from others for a minute.
#[test]
fn a_request_is_released_at_all_of_its_engines() {
    let now = Instant::now();
    let mut targets = targets(&[0; 5], now);
    let choice = Choice {
        target: instance(1).target,
        copy: Some(instance(3).target),
    };
    claim(&mut targets, 7, &need(), &choice, now);
    targets.record_sent(&choice.target, 7, 3_000, now);
    // Its move is about to go to another engine, and has failed at a third one.
    for number in [2, 4] {
        let choice = Choice {
            target: instance(number).target,
            copy: None,
        };
        claim(&mut targets, 7, &need(), &choice, now);
    }
    targets.release(&instance(4).target, 7);
    assert!(targets.release_everywhere(7));
    assert!(targets.all().all(|state| !state.has_run(7)));
    assert!(!targets.release_everywhere(7));
}

/// Claims expire without a call for their request. The index must not grow with them, and must still
/// know those that last.
#[test]
fn the_index_of_requests_survives_expired_claims() {
    let start = Instant::now();
    let mut targets = targets(&[0; 5], start);
    let choice = Choice {
        target: instance(1).target,
        copy: None,
    };
    let lifetime = Duration::from_secs(1);
    for run in 0..10_000 {
        let now = start + Duration::from_millis(run * 10);
        claim(&mut targets, run, &need(), &choice, now);
        targets.expire(lifetime, now);
    }
    let last = (0..10_000)
        .filter(|run| targets.release_everywhere(*run))
        .count();
    assert_eq!(last, 101, "those of the last second");
    assert!(targets.all().all(|state| state.claims.is_empty()));
}
