//! Tests of the retry budget, the backoff and the ejection of targets.

use {
    rand::{Rng, SeedableRng, rngs::StdRng},
    rstest::rstest,
    sardinerelay::retry::{Budget, Ejector, Failure, backoff},
    std::time::{Duration, Instant},
};

/// Sends 2,000 requests to targets of which the first third is dead. Returns the total number of
/// attempts.
fn attempts(budget: Option<u64>, targets: usize) -> u32 {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let mut budget = budget.map(|percent| Budget::new(percent, 0, start));
    let mut attempts = 0;
    for _ in 0..2_000 {
        if let Some(budget) = &mut budget {
            budget.deposit();
        }
        // Every caller retries up to five times.
        for _ in 0..6 {
            attempts += 1;
            let dead = rng.random_range(0..targets) < targets / 3;
            if !dead || !budget.as_mut().is_none_or(|budget| budget.withdraw(start)) {
                break;
            }
        }
    }
    attempts
}

/// Guards against retries that multiply the load when a third of the targets are dead.
#[rstest]
fn budget_bounds_a_retry_storm() {
    let without = attempts(None, 12);
    let with = attempts(Some(10), 12);
    println!("{without} attempts without and {with} with a budget for 2000 requests");
    assert!(without > 2_900);
    assert!(with <= 2_000 + 200 + 20);
}

/// Guards against retrying a call that may have run or whose output was partly delivered.
#[rstest]
#[case(Failure::NotRun, true)]
#[case(Failure::Generation { delivered: 0 }, true)]
#[case(Failure::Generation { delivered: 1 }, false)]
#[case(Failure::Unknown, false)]
fn only_safe_failures_are_retried(#[case] failure: Failure, #[case] expected: bool) {
    assert_eq!(failure.is_retryable(), expected);
}

/// Guards against synchronised retries of many callers, and against a delay without a limit.
#[rstest]
fn backoff_is_spread_and_bounded() {
    let mut rng = StdRng::seed_from_u64(2);
    let delays: Vec<_> = (0..200).map(|_| backoff(3, &mut rng)).collect();
    let early = delays
        .iter()
        .filter(|delay| **delay < Duration::from_millis(160))
        .count();
    assert!((70..130).contains(&early));
    assert!(backoff(u32::MAX, &mut rng) <= Duration::from_secs(2));
}

/// Guards against ejecting so many targets that the remaining ones are overloaded.
#[rstest]
fn ejections_are_capped() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(3);
    let mut ejector = Ejector::new(34);
    let names: Vec<_> = (0..9).map(|at| format!("engine-{at}").into()).collect();
    for name in &names {
        ejector.add(name);
    }
    for name in names.iter().cycle().take(90) {
        ejector.record_failure(name, &mut rng, now);
    }
    assert_eq!(ejector.ejected_count(), 3);
}

/// Guards against an ejected target that gets full traffic before a probe has succeeded, or that
/// never gets requests again.
#[rstest]
fn ejected_target_returns_by_one_probe() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(4);
    let mut ejector = Ejector::new(100);
    let name = "engine".into();
    for _ in 0..3 {
        assert!(ejector.is_allowed("engine", now));
        ejector.record_failure(&name, &mut rng, now);
    }
    assert!(!ejector.is_allowed("engine", now));
    let later = now + Duration::from_secs(3);
    assert!(ejector.is_allowed("engine", later));
    ejector.record_sent("engine", later);
    assert!(!ejector.is_allowed("engine", later));
    assert!(ejector.record_failure(&name, &mut rng, later));
    assert!(!ejector.is_allowed("engine", later + Duration::from_secs(2)));
    let much_later = later + Duration::from_secs(6);
    ejector.record_sent("engine", much_later);
    ejector.record_success("engine");
    assert!(ejector.is_allowed("engine", much_later));
    assert_eq!(ejector.ejected_count(), 0);
}
