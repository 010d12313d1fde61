//! The queue, retry budgets, forecasts, prompt backlogs and health.

use {
    super::fixtures::need,
    sardinerelay_gateway::{
        admission::{Decision, Queue, RefusalReason, Reserved, Waiter},
        backlog::Backlog,
        budget::{Budget, Limit},
        forecast::Forecast,
        group::RunningRequest,
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
    let decisions = queue.decide(now + ms(10), |_, _| Ok(choice()));
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
    queue.decide(now, |_, _| Ok(choice()));
    queue
        .offer(waiter(2, of("large"), now), now)
        .expect("queued");
    queue
        .offer(waiter(3, of("small"), now + ms(5)), now)
        .expect("queued");
    let mut room = 1;
    let decisions = queue.decide(now + ms(10), |_, _| {
        room -= 1;
        (room >= 0).then(choice).ok_or_else(Vec::new)
    });
    assert_eq!(placed(&decisions), [3]);
}

/// A large request without room must not stop smaller ones. Small ones that keep arriving must not
/// starve it: once half of its waiting time has passed, they leave the engine to it that will have
/// room first, and the large one gets it.
#[test]
fn a_large_request_is_overtaken_only_for_half_of_its_waiting_time() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let small = || Need {
        prompt_tokens: 100,
        ..need()
    };
    // The only engine, which has room for small requests until 700 ms.
    let place = |now: Instant, start: Instant| {
        move |waiter: &Waiter, reserved: &Reserved| {
            let is_kept = reserved.kept.contains(&choice().target);
            let fits = waiter.need.prompt_tokens <= 100 || now >= start + ms(700);
            let engines = vec![choice().target; reserved.keep.min(1)];
            (fits && !is_kept).then(choice).ok_or(engines)
        }
    };
    queue.offer(waiter(1, need(), now), now).expect("queued");
    for run in 2..9 {
        let at = now + ms(run * 100 - 100);
        queue.offer(waiter(run, small(), at), at).expect("queued");
        let expected = match run {
            2..=5 => vec![run],
            6 | 7 => vec![],
            _ => vec![1, 6, 7, 8],
        };
        assert_eq!(placed(&queue.decide(at, place(at, now))), expected);
    }
}

/// Less urgent requests that fit everywhere must not take the room piecemeal that a more urgent one
/// waits for, but may use engines that will have room for it later.
#[test]
fn a_less_urgent_request_leaves_the_nearest_engine_to_a_more_urgent_one() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let less_urgent = Need {
        prompt_tokens: 100,
        ..need()
    };
    let urgent = Need {
        priority: 0,
        ..need()
    };
    for (run, need) in [(1, urgent), (2, less_urgent)] {
        queue.offer(waiter(run, need, now), now).expect("queued");
    }
    let mut kept = Vec::new();
    queue.decide(now, |waiter, reserved| {
        if waiter.run == 1 {
            return Err(vec!["e7".into(); reserved.keep]);
        }
        kept.clone_from(&reserved.kept);
        Err(Vec::new())
    });
    assert_eq!(kept, ["e7"]);
}

/// A less urgent request must not starve while more urgent ones keep arriving, and gets no more than
/// its share either.
#[test]
fn a_less_urgent_priority_keeps_a_tenth() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let less_urgent = Need {
        priority: 2,
        ..need()
    };
    let urgent = Need {
        priority: 0,
        ..need()
    };
    let mut less_urgent_placed = 0;
    for step in 0..200 {
        let at = now + ms(step * 100);
        // Some are refused, because there is room for one at a time.
        for (run, need) in [(2 * step, &urgent), (2 * step + 1, &less_urgent)] {
            let _ = queue.offer(waiter(run, need.clone(), at), at);
        }
        let mut room = 1;
        let decisions = queue.decide(at, |_, _| {
            room -= 1;
            (room >= 0).then(choice).ok_or_else(Vec::new)
        });
        for run in placed(&decisions) {
            queue.record_end(run, at);
            less_urgent_placed += run % 2;
        }
    }
    assert!(
        (15..=20).contains(&less_urgent_placed),
        "{less_urgent_placed}"
    );
}

/// Callers that were refused at the same moment must not all come back at the same moment.
#[test]
fn refused_callers_are_asked_to_retry_one_after_the_other() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let mut times = Vec::new();
    for run in 0..40 {
        if let Err((_, after)) = queue.offer(waiter(run, need(), now), now) {
            times.push(after);
        }
    }
    assert!(times.len() > 20);
    assert!(
        times
            .iter()
            .all(|after| (ms(300)..=ms(8_000)).contains(after))
    );
    assert!(times.windows(2).all(|pair| pair[0] < pair[1]), "{times:?}");
}

/// An organisation that retries at once must be refused, and must not push back the times that
/// others are told, nor their requests.
#[test]
fn an_organisation_that_retries_at_once_is_the_one_refused() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let of = |organisation: &str| Need {
        organisation: organisation.into(),
        ..need()
    };
    let mut refused = 0;
    for run in 0..500 {
        let at = now + ms(run);
        refused += usize::from(queue.offer(waiter(run, of("herd"), at), at).is_err());
    }
    assert!(refused > 450, "{refused}");
    let at = now + ms(500);
    let deadline = at + ms(1_000);
    let patient = Waiter {
        deadline,
        ..waiter(1_000, of("patient"), at)
    };
    queue.offer(patient, at).expect("it is within its share");
    let mut room = 2;
    let decisions = queue.decide(at, |_, _| {
        room -= 1;
        (room >= 0).then(choice).ok_or_else(Vec::new)
    });
    assert!(placed(&decisions).contains(&1_000), "{decisions:?}");
}

/// A caller that was refused and waited for the stated time must go before requests of its
/// organisation that came in the meantime.
#[test]
fn a_retry_at_the_stated_time_goes_before_newer_requests() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let mut after = None;
    for run in 0..40 {
        after = after.or(queue.offer(waiter(run, need(), now), now).err());
    }
    let (_, after) = after.expect("some are refused");
    queue.decide(now, |_, _| Ok(choice()));
    let retried = now + after;
    let newer = waiter(100, need(), retried - ms(100));
    queue.offer(newer, retried - ms(100)).expect("queued");
    queue
        .offer(waiter(101, need(), retried), retried)
        .expect("queued");
    let decisions = queue.decide(retried, |_, _| Ok(choice()));
    assert_eq!(placed(&decisions), [101, 100]);
}

/// A host that begins to allocate must know what organisations hold, so that the order is kept. Two
/// allocators for a moment, or reports that come twice, must not double it.
#[test]
fn shares_are_kept_over_a_failover_and_not_doubled() {
    let now = Instant::now();
    let report = |run: u64| RunningRequest {
        run,
        service: need().service,
        organisation: "large".into(),
        priority: 1,
        prompt_tokens: 3_000,
        output_tokens: 800,
        age_ms: 2_000,
    };
    let of = |organisation: &str| Need {
        organisation: organisation.into(),
        ..need()
    };
    let mut queues = [Queue::default(), Queue::default()];
    // The request was placed by the first allocator, and is reported to both, to one of them twice.
    queues[0]
        .offer(waiter(1, of("large"), now), now)
        .expect("queued");
    queues[0].decide(now, |_, _| Ok(choice()));
    for (queue, times) in queues.iter_mut().zip([1, 2]) {
        for _ in 0..times {
            queue.adopt(&report(1), now);
        }
    }
    let cost = queues[0].running_cost("large");
    assert!(cost > 0.0 && cost == queues[1].running_cost("large"));
    for queue in &mut queues {
        for (run, organisation) in [(2, "large"), (3, "small")] {
            queue
                .offer(waiter(run, of(organisation), now), now)
                .expect("queued");
        }
        let decisions = queue.decide(now, |_, _| Ok(choice()));
        assert_eq!(placed(&decisions), [3, 2]);
    }
    queues[1].record_end(1, now);
    queues[1].record_end(2, now);
    assert_eq!(queues[1].running_cost("large"), 0.0);
}

#[test]
fn a_request_is_refused_at_its_deadline() {
    let now = Instant::now();
    let mut queue = Queue::default();
    queue.offer(waiter(1, need(), now), now).expect("queued");
    assert!(
        queue
            .decide(now + ms(999), |_, _| Err(Vec::new()))
            .is_empty()
    );
    let decisions = queue.decide(now + ms(1_000), |_, _| Err(Vec::new()));
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
    assert!(queue.decide(now, |_, _| Ok(choice())).is_empty());
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
