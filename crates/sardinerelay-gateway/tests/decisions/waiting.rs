//! The queue, retry budgets, forecasts, prompt backlogs and health.

use {
    super::fixtures::need,
    sardinerelay_gateway::{
        admission::{Decision, Queue, RefusalReason, Waiter},
        backlog::Backlog,
        budget::{Budget, Limit},
        forecast::Forecast,
        health::Health,
        placement::{Choice, Need},
    },
    std::time::{Duration, Instant},
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn waiter(run: u64, need: Need, arrived: Instant) -> Waiter {
    Waiter {
        run,
        need,
        arrived,
        deadline: arrived + ms(1_000),
    }
}

fn choice() -> Choice {
    Choice {
        target: "e0".into(),
        copy: None,
    }
}

fn placed(decisions: &[(u64, Decision)]) -> Vec<u64> {
    let placed = |decision: &Decision| matches!(decision, Decision::Placed(_));
    let placed = decisions.iter().filter(|(_, decision)| placed(decision));
    placed.map(|(run, _)| *run).collect()
}

#[test]
fn requests_are_placed_by_priority_and_then_by_arrival() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let urgent = Need {
        priority: 0,
        ..need()
    };
    for (run, need) in [(1, need()), (2, need()), (3, urgent)] {
        queue
            .offer(waiter(run, need, now + ms(run)), now)
            .expect("queued");
    }
    let decisions = queue.decide(now + ms(10), |_| Some(choice()));
    assert_eq!(placed(&decisions), [3, 1, 2]);
}

/// One organisation sends a burst. A request of another one must be placed before the rest of it.
#[test]
fn an_organisation_with_less_running_goes_first() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let of = |organisation: &str| Need {
        organisation: organisation.into(),
        ..need()
    };
    queue
        .offer(waiter(1, of("large"), now), now)
        .expect("queued");
    queue.decide(now, |_| Some(choice()));
    queue
        .offer(waiter(2, of("large"), now), now)
        .expect("queued");
    queue
        .offer(waiter(3, of("small"), now + ms(5)), now)
        .expect("queued");
    let mut room = 1;
    let decisions = queue.decide(now + ms(10), |_| {
        room -= 1;
        (room >= 0).then(choice)
    });
    assert_eq!(placed(&decisions), [3]);
}

/// Small requests that keep arriving must not starve a large one that waits for room.
#[test]
fn a_large_request_is_not_overtaken_by_smaller_ones_of_its_priority() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let small = Need {
        prompt_tokens: 100,
        ..need()
    };
    queue.offer(waiter(1, need(), now), now).expect("queued");
    queue
        .offer(waiter(2, small, now + ms(1)), now)
        .expect("queued");
    let decisions = queue.decide(now + ms(5), |waiter| {
        (waiter.need.prompt_tokens <= 100).then(choice)
    });
    assert!(placed(&decisions).is_empty());
}

#[test]
fn a_request_is_refused_at_its_deadline() {
    let now = Instant::now();
    let mut queue = Queue::default();
    queue.offer(waiter(1, need(), now), now).expect("queued");
    assert!(queue.decide(now + ms(999), |_| None).is_empty());
    let decisions = queue.decide(now + ms(1_000), |_| None);
    assert!(matches!(
        decisions[..],
        [(1, Decision::Refused(RefusalReason::Expired, _))]
    ));
    assert!(queue.is_empty());
}

/// In a burst far beyond the rate of placements, requests that can't be placed before their
/// deadline are refused at once, with a time after which a retry makes sense.
#[test]
fn requests_that_cannot_be_placed_in_time_are_refused_at_once() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let mut refused = 0;
    for run in 0..100 {
        match queue.offer(waiter(run, need(), now), now) {
            Ok(()) => {}
            Err((reason, retry_after)) => {
                assert_eq!(reason, RefusalReason::Overloaded);
                assert!(retry_after >= ms(300), "{retry_after:?}");
                refused += 1;
            }
        }
    }
    assert!(queue.len() < 20, "{} queued", queue.len());
    assert_eq!(queue.len() + refused, 100);
}

#[test]
fn a_withdrawn_request_gets_no_decision() {
    let now = Instant::now();
    let mut queue = Queue::default();
    queue.offer(waiter(1, need(), now), now).expect("queued");
    queue.withdraw(1);
    assert!(queue.decide(now, |_| Some(choice())).is_empty());
}

const LIMIT: Limit = Limit {
    retry_ratio: 0.2,
    base_retries: 58.0,
    window: Duration::from_secs(10),
};

/// Every request to a service fails on every host, and each host would retry all of them. The
/// retries of all hosts together may not exceed the limit in any window.
#[test]
fn all_hosts_together_stay_within_the_retry_budget() {
    const HOSTS: u32 = 9;
    let start = Instant::now();
    let mut budgets: Vec<Budget> = (0..HOSTS).map(|_| Budget::new(LIMIT, start)).collect();
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for step in 0..3_000_u64 {
        let now = start + ms(step * 10);
        // The load is uneven: only some of the hosts get requests.
        let host = ((step * step) % u64::from(HOSTS)) as usize;
        budgets[host].record_request(now);
        requests.push(now);
        if budgets[host].try_take_retry(HOSTS, now) {
            retries.push(now);
        }
    }
    let within = |times: &[Instant], end: Instant| {
        let window = times
            .iter()
            .filter(|at| **at <= end && **at + LIMIT.window > end);
        window.count() as f64
    };
    for end in &retries {
        let max_retries = LIMIT.base_retries + LIMIT.retry_ratio * within(&requests, *end);
        assert!(within(&retries, *end) <= max_retries);
    }
    assert!(retries.len() > 100, "{} retries", retries.len());
}

#[test]
fn a_budget_recovers_after_its_window() {
    let start = Instant::now();
    let mut budget = Budget::new(LIMIT, start);
    let mut taken = 0;
    while budget.try_take_retry(1, start) {
        taken += 1;
    }
    assert!(taken > 0);
    assert!(!budget.try_take_retry(1, start + ms(5_000)));
    assert!(budget.try_take_retry(1, start + ms(11_000)));
}

#[test]
fn a_forecast_follows_past_lengths_and_a_little_the_hint() {
    let mut forecast = Forecast::default();
    for _ in 0..300 {
        forecast.record_length("plans", 450);
        forecast.record_length("plans", 1_800);
    }
    let without = forecast.output_tokens("plans", 2_200, None, 0.0);
    assert!((800..=1_000).contains(&without), "{without}");
    let short = forecast.output_tokens("plans", 2_200, Some(100), 0.0);
    let long = forecast.output_tokens("plans", 2_200, Some(9_000), 0.0);
    assert!(
        short < without && without < long,
        "{short} {without} {long}"
    );
    assert!(forecast.output_tokens("plans", 500, None, 3.0) <= 500);
}

/// Several prompts arrive at one engine at once. The wait must grow with each, shrink as they are
/// read, and not shrink while the engine is stalled.
#[test]
fn a_backlog_holds_until_prompts_are_read() {
    let now = Instant::now();
    let mut backlog = Backlog::default();
    let single_wait = backlog.estimated_wait(3_000, now);
    for run in 0..3 {
        backlog.record_sent(run, 3_000, now);
    }
    let queued_wait = backlog.estimated_wait(3_000, now);
    assert!(queued_wait > single_wait * 3);
    let stalled = backlog.estimated_wait(3_000, now + ms(3_000));
    assert!(
        stalled > single_wait * 3,
        "{stalled:?} while the engine is stalled"
    );
    backlog.record_prompt_read(0, now + ms(3_000));
    backlog.record_prompt_read(1, now + ms(3_300));
    backlog.remove(2);
    assert!(backlog.estimated_wait(3_000, now + ms(3_300)) < queued_wait);
}

#[test]
fn prompts_of_other_hosts_are_read_at_a_steady_rate() {
    let now = Instant::now();
    let mut backlog = Backlog::default();
    backlog.record_remote_send(7_000, now);
    let first = backlog.estimated_wait(0, now);
    assert!(backlog.estimated_wait(0, now + first / 2) < first);
    assert_eq!(backlog.estimated_wait(0, now + first * 2), Duration::ZERO);
}

/// A target may fail part of its requests while its health check passes.
#[test]
fn failures_raise_the_failure_rate_and_decay() {
    let now = Instant::now();
    let mut health = Health::default();
    health.record_failure(now);
    let after_one = health.failure_rate(now);
    for _ in 0..4 {
        health.record_failure(now);
        health.record_success(now);
    }
    assert!(health.failure_rate(now) > 0.3);
    assert!(after_one < 0.5);
    assert!(health.failure_rate(now + ms(60_000)) < 0.01);
}

#[test]
fn a_target_that_refused_a_connection_is_down_for_a_moment() {
    let now = Instant::now();
    let mut health = Health::default();
    health.record_unreachable(now);
    assert!(health.is_down(now + ms(500)));
    assert!(!health.is_down(now + ms(1_000)));
}
