//! Rate limits that targets state for all hosts together.

use {
    super::fixtures::{instance, need, observations, targets},
    rand::{Rng as _, SeedableRng as _, rngs::StdRng},
    rstest::rstest,
    sardinerelay_gateway::{
        allocator::Scope,
        limit::{
            Limit, Rate, Statement,
            permit::{Change, Known, Published, Reply, Request},
        },
        observations::Observations,
        placement,
        targets::Targets,
    },
    serde::Serialize,
    std::time::{Duration, Instant},
};

const WINDOW: Duration = Duration::from_secs(4);
const SECOND: Duration = Duration::from_secs(1);

fn rate(requests: f64) -> Rate {
    Rate::per_second(requests).expect("a rate")
}

fn limited(requests: f64, now: Instant) -> Limit {
    let mut limit = Limit::default();
    assert!(limit.record(Statement::Limited(rate(requests)), now, now));
    limit
}

fn known(number: usize, requests: Option<f64>) -> Known {
    Known {
        target: instance(number).target,
        incarnation: 1,
        rate: requests.map(rate),
    }
}

fn request(number: usize, requests: f64) -> Request {
    Request {
        targets: vec![known(number, Some(requests))],
        max_wait: Duration::ZERO,
        cold: Vec::new(),
    }
}

/// Largest number of events in one window.
fn most_in_a_window(events: &[Instant]) -> usize {
    let in_window = |start: &Instant| {
        let window = *start..*start + WINDOW;
        events.iter().filter(|at| window.contains(at)).count()
    };
    events.iter().map(in_window).max().unwrap_or(0)
}

/// Requests that a target may get in one window.
fn allowed(requests: f64) -> f64 {
    requests * WINDOW.as_secs_f64() * 1.5 + 5.0
}

#[rstest]
#[case(0.0)]
#[case(0.4)]
#[case(8.0)]
#[case(300.0)]
fn a_bucket_keeps_to_its_limit_under_any_demand(
    #[case] requests: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut now = Instant::now();
    let mut limit = limited(requests, now);
    let mut sent = Vec::new();
    for _ in 0..4_000 {
        let longest = if random.random_bool(0.01) { 3.0 } else { 0.02 };
        let pause = random.random_range(0.0..longest);
        now += Duration::try_from_secs_f64(pause).expect("a time");
        let max_wait = Duration::from_millis(random.random_range(0..75));
        if let Ok(wait) = limit.take(1.0, max_wait, now) {
            assert!(wait <= max_wait);
            sent.push(now + wait);
        }
    }
    let most = most_in_a_window(&sent) as f64;
    assert!(most <= allowed(requests), "{most}");
    assert!(!sent.is_empty(), "its end would never be noticed");
}

#[test]
fn refused_callers_are_asked_to_return_one_after_another() {
    let now = Instant::now();
    let mut limit = limited(10.0, now);
    let refused = (0..20).map(|_| {
        let taken = limit.take(1.0, Duration::ZERO, now);
        taken.expect_err("the bucket is empty").retry_after
    });
    let refused: Vec<Duration> = refused.collect();
    let (first, last) = (refused[0], refused[refused.len() - 1]);
    assert!(first < Duration::from_millis(250), "{first:?}");
    assert!(last > first + Duration::from_millis(1700), "{last:?}");
}

#[test]
fn a_response_that_was_on_its_way_does_not_end_a_limit() {
    let now = Instant::now();
    let mut limit = Limit::default();
    limit.record(Statement::Limited(rate(8.0)), now, now + SECOND);
    assert!(!limit.record(Statement::Unlimited, now, now + 2 * SECOND));
    assert!(!limit.record(Statement::Limited(rate(9.0)), now, now + 2 * SECOND));
    assert!(!limit.record(Statement::Invalid, now + 2 * SECOND, now + 3 * SECOND));
    assert_eq!(limit.rate(), Some(rate(8.0)));
    // A lower limit holds at once.
    assert!(limit.record(Statement::Limited(rate(3.0)), now, now + 3 * SECOND));
    assert!(limit.record(Statement::Unlimited, now + 4 * SECOND, now + 5 * SECOND));
    assert_eq!(limit.rate(), None);
}

#[test]
fn requests_return_step_by_step_after_a_limit_ends() {
    let now = Instant::now();
    let mut limit = limited(5.0, now);
    let ended = now + 10 * SECOND;
    limit.record(Statement::Unlimited, ended, ended);
    let step = Duration::from_millis(10);
    let taken = |limit: &mut Limit, from: Duration, steps: u32| {
        let times = (0..steps).map(|count| ended + from + step * count);
        times
            .filter(|at| limit.take(1.0, Duration::ZERO, *at).is_ok())
            .count()
    };
    let first = taken(&mut limit, Duration::ZERO, 100);
    assert!((5..=14).contains(&first), "{first} in the first second");
    let unlimited = taken(&mut limit, 2 * SECOND, 100);
    assert_eq!(unlimited, 100);
}

#[test]
fn the_newer_of_two_hosts_statements_holds() {
    let now = Instant::now();
    let mut host = targets(&[0, 0], now);
    let published = |requests: Option<f64>, age: Duration| {
        [Published {
            known: known(0, requests),
            age,
        }]
    };
    let limit = |host: &Targets| host.get("e0").expect("it is listed").limit.rate();
    assert!(
        host.adopt_limits(&published(Some(4.0), SECOND), now)
            .is_empty()
    );
    assert_eq!(limit(&host), Some(rate(4.0)));
    // The target has told this host something else since, which the allocating host must learn.
    let state = host.get_mut("e0").expect("it is listed");
    state
        .limit
        .record(Statement::Limited(rate(2.0)), now, now + SECOND);
    let changes = host.adopt_limits(&published(Some(4.0), 3 * SECOND), now + 2 * SECOND);
    let expected = Change {
        known: known(0, Some(2.0)),
        before: Some(rate(4.0)),
    };
    assert_eq!(changes.first(), Some(&expected));
    assert_eq!(changes.len(), 1);
    let mut allocating = targets(&[0, 0], now);
    allocating.apply_limit(
        &Change {
            known: known(0, Some(4.0)),
            before: None,
        },
        now,
    );
    allocating.apply_limit(&expected, now + SECOND);
    assert_eq!(limit(&allocating), Some(rate(2.0)));
    // A report that was overtaken doesn't raise it again.
    let overtaken = Change {
        known: known(0, None),
        before: Some(rate(4.0)),
    };
    allocating.apply_limit(&overtaken, now + 2 * SECOND);
    assert_eq!(limit(&allocating), Some(rate(2.0)));
    // What is published later than the target told this host holds again.
    host.adopt_limits(&published(None, Duration::ZERO), now + 3 * SECOND);
    assert_eq!(limit(&host), None);
}

#[test]
fn a_host_that_begins_to_allocate_learns_of_limits_from_requests_for_permits() {
    let now = Instant::now();
    let mut allocating = targets(&[0], now);
    let mut granted = 0;
    for step in 0..400 {
        let at = now + Duration::from_millis(10) * step;
        let reply = allocating.grant(&request(0, 5.0), Scope::Group, at);
        granted += usize::from(matches!(reply, Reply::Granted(..)));
    }
    assert!((18..=24).contains(&granted), "{granted} in 4 s");
    let reply = allocating.grant(&request(7, 5.0), Scope::Group, now);
    assert_eq!(reply, Reply::Unknown);
}

#[test]
fn a_new_incarnation_has_no_limit() {
    let now = Instant::now();
    let mut host = targets(&[0], now);
    let state = host.get_mut("e0").expect("it is listed");
    state.limit = limited(1.0, now);
    let mut listed = observations(2, &[0]);
    listed.instances[0].incarnation = 2;
    host.merge(&listed, now + SECOND);
    let state = host.get("e0").expect("it is listed");
    assert_eq!(state.limit.rate(), None);
}

#[test]
fn generations_avoid_engines_that_have_reached_their_limits() {
    let now = Instant::now();
    let mut host = targets(&[0, 0], now);
    host.get_mut("e0").expect("it is listed").limit = limited(1.0, now);
    let mut random = StdRng::seed_from_u64(1);
    for _ in 0..20 {
        let choice = placement::choose(&host, &need(), (Scope::Group, &[]), &mut random, now);
        assert_eq!(choice.expect("an engine").target, "e1");
    }
    host.get_mut("e1").expect("it is listed").limit = limited(1.0, now);
    let choice = placement::choose(&host, &need(), (Scope::Group, &[]), &mut random, now);
    assert_eq!(choice, None);
}

/// How hosts share a limit in [`simulate`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sharing {
    /// Each host keeps the whole limit for itself.
    Alone,
    /// Each host keeps an equal part.
    EqualParts,
    /// The allocating host gives permits.
    Permits,
}

/// Number of hosts in [`simulate`].
const SIMULATED_HOSTS: usize = 76;
/// Length of [`simulate`].
const SIMULATED_TIME: Duration = Duration::from_secs(30);

/// Simulates hosts with unequal demand before one limited target. Returns the largest number of
/// requests in a window, and the share of the limit that is used.
fn simulate(sharing: Sharing, requests: f64, demand: f64, seed: u64) -> (usize, f64) {
    let mut random = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let weights: Vec<f64> = (1..=SIMULATED_HOSTS)
        .map(|rank| 1.0 / rank as f64)
        .collect();
    let total: f64 = weights.iter().sum();
    let share = match sharing {
        Sharing::EqualParts => 1.0 / SIMULATED_HOSTS as f64,
        Sharing::Alone | Sharing::Permits => 1.0,
    };
    let mut limits = vec![limited(requests, start); SIMULATED_HOSTS];
    let mut denied = vec![start; SIMULATED_HOSTS];
    let step = Duration::from_millis(2);
    let mut sent = Vec::new();
    let mut now = start;
    while now < start + SIMULATED_TIME {
        now += step;
        for host in 0..SIMULATED_HOSTS {
            let probability = demand * weights[host] / total * step.as_secs_f64();
            if !random.random_bool(probability) || now < denied[host] {
                continue;
            }
            let bucket = if sharing == Sharing::Permits { 0 } else { host };
            match limits[bucket].take(share, Duration::ZERO, now) {
                Ok(_) => sent.push(now),
                Err(reached) if sharing == Sharing::Permits => {
                    denied[host] = now + reached.retry_after
                }
                Err(_) => {}
            }
        }
    }
    let used = sent.len() as f64 / SIMULATED_TIME.as_secs_f64() / requests;
    (most_in_a_window(&sent), used)
}

/// The ways of sharing that were weighed, on the same load. `docs/design/target-limits.md` has the
/// figures.
#[rstest]
#[case(8.0, 60.0)]
#[case(8.0, 10.0)]
#[case(30.0, 60.0)]
fn permits_use_a_limit_in_full_and_keep_it(#[case] requests: f64, #[case] demand: f64) {
    for seed in 1..=3 {
        let ways = [Sharing::Alone, Sharing::EqualParts, Sharing::Permits];
        let [alone, equal, permits] = ways.map(|way| simulate(way, requests, demand, seed));
        println!(
            "limit {requests}, demand {demand}, seed {seed}: (most in 4 s, share used) alone \
             {alone:.2?}, equal parts {equal:.2?}, permits {permits:.2?}, allowed {}",
            allowed(requests)
        );
        assert!(permits.0 as f64 <= allowed(requests));
        assert!(permits.1 > 0.85, "{permits:?}");
        assert!(permits.1 >= equal.1, "{equal:?} {permits:?}");
    }
}

/// The observations of hosts of the version before, which had no limits.
#[derive(Debug, Serialize)]
struct EarlierObservations {
    stamp: u64,
    instances: Vec<sardinerelay_gateway::observations::Instance>,
    list_age_ms: u64,
    loads: Vec<sardinerelay_gateway::observations::LoadReport>,
    entry_hosts: u32,
    refused_parts: Vec<sardinerelay_gateway::quarantine::Refused>,
}

#[test]
fn hosts_of_two_versions_understand_each_others_observations() {
    let mut sent = observations(3, &[5, 7]);
    sent.limits = vec![Published {
        known: known(1, Some(2.5)),
        age: SECOND,
    }];
    let bytes = postcard::to_stdvec(&sent).expect("it can be encoded");
    let received: Observations = postcard::from_bytes(&bytes).expect("it can be parsed");
    assert_eq!(received, sent);
    let earlier = EarlierObservations {
        stamp: sent.stamp,
        instances: sent.instances.clone(),
        list_age_ms: sent.list_age_ms,
        loads: sent.loads.clone(),
        entry_hosts: sent.entry_hosts,
        refused_parts: Vec::new(),
    };
    let earlier = postcard::to_stdvec(&earlier).expect("it can be encoded");
    // An earlier host ignores what follows the fields that it knows.
    assert!(bytes.starts_with(&earlier));
    let received: Observations = postcard::from_bytes(&earlier).expect("it can be parsed");
    let expected = Observations {
        limits: Vec::new(),
        ..sent
    };
    assert_eq!(received, expected);
}
