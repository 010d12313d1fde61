//! Tests of the admission queue and the reservation quantile.

use {
    rstest::rstest,
    sardinerelay::admission::{Objective, Observation, Offer, Quantile, Queue, Refusal, Request},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    uuid::Uuid,
};

fn request(id: u128, organisation: &str, reserved: u64) -> Request {
    Request {
        generation: Uuid::from_u128(id),
        organisation: organisation.into(),
        model: "model".into(),
        priority: 1,
        max_wait: Duration::from_secs(30),
        reserved_tokens: reserved,
        cost: (reserved * reserved) as f64,
    }
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards against an organisation that starves others by the number or size of its requests.
#[rstest]
fn organisations_share_by_tokens() {
    let now = Instant::now();
    let mut queue = Queue::new(1_000, now);
    for id in 0..200 {
        queue.offer(request(id, "large", 4_000), now);
        queue.offer(request(1_000 + id, "small", 1_000), now);
    }
    queue.offer(request(5_000, "rare", 1_000), now);
    let mut served = BTreeMap::<_, u64>::new();
    for _ in 0..100 {
        let (request, ()) = queue.next(now, |_| Some(())).unwrap();
        *served.entry(request.organisation.to_string()).or_default() += request.reserved_tokens;
    }
    println!("{served:?}");
    assert_eq!(served["rare"], 1_000);
    assert!(served["large"].abs_diff(served["small"]) <= 6_000);
}

/// Guards against long requests that starve behind a steady stream of short ones, and against
/// short requests that wait behind long ones.
#[rstest]
fn short_requests_go_first_but_long_ones_are_served() {
    let start = Instant::now();
    let mut queue = Queue::new(1_000, start);
    queue.offer(request(0, "organisation", 9_000), start);
    let mut long_served = None;
    for id in 1..400 {
        let now = start + Duration::from_millis(100) * id as u32;
        queue.offer(request(id, "organisation", 200), now);
        queue.offer(request(1_000 + id, "organisation", 200), now);
        let (request, ()) = queue.next(now, |_| Some(())).unwrap();
        if request.reserved_tokens == 9_000 {
            long_served = Some(now - start);
            break;
        }
    }
    let waited = long_served.expect("the long request was not served");
    println!("the long request waited {waited:?}");
    assert!(waited > seconds(2) && waited <= seconds(23));
}

/// Guards against small requests that keep taking the memory that an overdue large request of the
/// same model waits for.
#[rstest]
fn overdue_request_is_not_overtaken() {
    let start = Instant::now();
    let mut queue = Queue::new(1_000, start);
    let with_long_wait = |id, organisation, model: &str| Request {
        model: model.into(),
        max_wait: seconds(60),
        ..request(id, organisation, 100)
    };
    queue.offer(request(0, "a", 1_500), start);
    queue.offer(with_long_wait(1, "b", "model"), start);
    queue.offer(with_long_wait(2, "c", "other"), start);
    let late = start + seconds(25);
    let small = |request: &Request| (request.reserved_tokens < 1_000).then_some(());
    let served: Vec<_> = (0..10)
        .filter_map(|_| queue.next(late, small))
        .map(|(request, ())| request.organisation.to_string())
        .collect();
    // Requests of another model are not blocked.
    assert_eq!(served, ["c"]);
    assert_eq!(
        queue.next(late, |_| Some(())).unwrap().0.reserved_tokens,
        1_500
    );
}

/// Guards against requests that wait although they can't be served in time: if the predicted wait
/// is too long, a request is refused at once with the time after which to retry.
#[rstest]
fn long_predicted_wait_is_refused_early() {
    let start = Instant::now();
    let mut queue = Queue::new(10_000, start);
    let mut refused = None;
    let mut id = 0;
    // Each second, requests of 1,000 tokens are served and requests of 2,000 tokens are offered.
    for second in 0..120 {
        let now = start + seconds(second);
        for _ in 0..2 {
            id += 1;
            if let Offer::Refused(Refusal::WaitTooLong { retry_after }) =
                queue.offer(request(id, "organisation", 1_000), now)
            {
                refused.get_or_insert((second, retry_after));
            }
        }
        queue.next(now, |_| Some(()));
        queue.tick(now);
    }
    let (second, retry_after) = refused.expect("no request was refused for its predicted wait");
    println!("first refused after {second} s, retry after {retry_after:?}");
    assert!(second >= 10);
    assert!(retry_after >= seconds(1) && retry_after <= seconds(120));
    assert!(queue.len() <= 32);
}

/// Guards against a queue without a limit, requests that stay beyond their longest wait, and
/// requests that stay after their callers have disconnected.
#[rstest]
fn queue_is_bounded_in_length_and_time() {
    let start = Instant::now();
    let mut queue = Queue::new(3, start);
    for id in 0..3 {
        assert_eq!(
            queue.offer(request(id, "organisation", 10), start),
            Offer::Queued
        );
    }
    let full = queue.offer(request(3, "organisation", 10), start);
    assert!(matches!(full, Offer::Refused(Refusal::QueueFull { .. })));
    assert!(queue.withdraw(Uuid::from_u128(1)));
    assert!(!queue.withdraw(Uuid::from_u128(1)));
    assert!(queue.tick(start + seconds(29)).is_empty());
    assert_eq!(queue.tick(start + seconds(30)).len(), 2);
    assert!(queue.is_empty());
}

/// Guards against a quantile that ignores the operator's objective or doesn't fall again once there
/// are no more preemptions.
#[rstest]
fn quantile_follows_the_objective() {
    let preemptions = Observation {
        preemptions: 20,
        running_time: seconds(1_000),
        stream_time: seconds(1_000),
        ..Observation::default()
    };
    let mut stall = Quantile::new(Objective::Stall);
    let mut preemption = Quantile::new(Objective::Preemption);
    let start = stall.value();
    for _ in 0..300 {
        stall.adapt(&preemptions);
        preemption.adapt(&preemptions);
    }
    assert!(stall.value() < start && start < preemption.value());
    let raised = preemption.value();
    for _ in 0..300 {
        preemption.adapt(&Observation::default());
    }
    assert!(preemption.value() < raised);
    let stalled = Observation {
        stall_time: seconds(100),
        stream_time: seconds(1_000),
        ..Observation::default()
    };
    for _ in 0..600 {
        stall.adapt(&stalled);
    }
    assert!(stall.value() > 0.9);
}
