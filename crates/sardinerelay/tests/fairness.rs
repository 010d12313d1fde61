//! Fair shares: the bound of start-time fair queueing, credit, settlement and the guarantee.

use {
    proptest::prelude::*,
    sardinerelay::{
        fairness::{Clock, Cost, Demand, Guarantee},
        id::Organisation,
    },
    std::{
        collections::{HashMap, VecDeque},
        time::{Duration, Instant},
    },
};

const PRIORITY: u8 = 1;

fn name(number: usize) -> Organisation {
    format!("o{number}").into()
}

proptest! {
    /// A clock that lets an organisation run ahead of its weighted share. In each period in which
    /// two organisations wait, their services per weight must differ by at most one largest request
    /// of each, plus the credit for having been idle.
    #[test]
    fn service_differs_from_the_weighted_share_by_one_largest_request(
        weights in prop::collection::vec(1_u8..6, 2..6),
        arrivals in prop::collection::vec((0_usize..6, 1_u32..60_000), 1..300),
        rounds in 1_usize..4,
    ) {
        let now = Instant::now();
        let mut clock = Clock::default();
        let weight = |number: usize| f64::from(weights[number]);
        clock.set_weights((0..weights.len()).map(|number| (name(number), weight(number))).collect());
        let mut queues = vec![VecDeque::new(); weights.len()];
        let mut largest = vec![0.0_f64; weights.len()];
        let mut served = vec![0.0_f64; weights.len()];
        // Services of a pair at the time since which both wait.
        let mut since: HashMap<(usize, usize), (f64, f64)> = HashMap::new();
        let mut pending = arrivals.iter();
        loop {
            for (number, cost) in pending.by_ref().take(rounds) {
                let number = number % weights.len();
                queues[number].push_back(f64::from(*cost));
                largest[number] = largest[number].max(f64::from(*cost) / weight(number));
                clock.join(PRIORITY, &name(number), now);
            }
            let waiting = (0..weights.len()).filter(|number| !queues[*number].is_empty());
            let waiting: Vec<usize> = waiting.collect();
            since.retain(|(left, right), _| waiting.contains(left) && waiting.contains(right));
            for left in &waiting {
                for right in &waiting {
                    let start = (served[*left], served[*right]);
                    let (left_start, right_start) = *since.entry((*left, *right)).or_insert(start);
                    let lead = (served[*left] - left_start) - (served[*right] - right_start);
                    let bound = largest[*left] + largest[*right] + Clock::MAX_CREDIT;
                    prop_assert!(lead <= bound + 1e-6, "{lead} above {bound}");
                }
            }
            let start = |number: &usize| clock.next_start(PRIORITY, &name(*number));
            let next = waiting.iter().min_by(|left, right| start(left).total_cmp(&start(right)));
            let Some(next) = next.copied() else { break };
            let cost = queues[next].pop_front().expect("it waits");
            clock.leave(PRIORITY, &name(next));
            clock.charge(PRIORITY, &name(next), Cost(cost), now);
            served[next] += cost / weight(next);
        }
    }
}

/// An organisation that was idle for long must not lock out the others when it returns, and a new
/// one must not go before those that were idle.
#[test]
fn credit_for_idle_time_is_bounded() {
    let now = Instant::now();
    let mut clock = Clock::default();
    clock.charge(PRIORITY, &name(0), Cost(10.0), now);
    for _ in 0..1_000 {
        clock.charge(PRIORITY, &name(1), Cost(10_000.0), now);
    }
    clock.join(PRIORITY, &name(0), now);
    let lead = -clock.debt(PRIORITY, &name(0));
    assert!((lead - Clock::MAX_CREDIT).abs() < 1e-6, "{lead}");
    assert!(clock.debt(PRIORITY, &name(2)).abs() < 1e-6);
}

/// Waiting for room that others use must not cost an organisation its turn.
#[test]
fn an_organisation_keeps_its_turn_while_it_waits() {
    let now = Instant::now();
    let mut clock = Clock::default();
    clock.join(PRIORITY, &name(0), now);
    for _ in 0..1_000 {
        clock.charge(PRIORITY, &name(1), Cost(10_000.0), now);
    }
    clock.join(PRIORITY, &name(0), now);
    assert!(clock.next_start(PRIORITY, &name(0)).abs() < 1e-6);
}

#[test]
fn a_request_that_ended_early_is_charged_what_it_held() {
    let now = Instant::now();
    let mut clock = Clock::default();
    let expected = Cost::expected(3_000, 750);
    let held = Cost::held(3_000, 750, Duration::from_secs(1));
    clock.charge(PRIORITY, &name(0), expected, now);
    clock.settle(PRIORITY, &name(0), (expected, held));
    assert!((clock.debt(PRIORITY, &name(0)) - held.0).abs() < 1e-6);
    assert!(held < expected);
}

/// The table must stay bounded, and evicting must not reset an organisation that waits.
#[test]
fn the_oldest_idle_organisations_are_evicted_first() {
    let now = Instant::now();
    let mut clock = Clock::default();
    clock.join(PRIORITY, &name(0), now);
    clock.charge(PRIORITY, &name(0), Cost(5_000.0), now);
    for number in 1..2 * Clock::MAX_FLOWS {
        let at = now + Duration::from_millis(number as u64);
        clock.charge(PRIORITY, &name(number), Cost(1.0), at);
    }
    assert_eq!(clock.len(), Clock::MAX_FLOWS);
    assert!((clock.next_start(PRIORITY, &name(0)) - 5_000.0).abs() < 1e-6);
}

/// A less urgent priority that waits must get its share, and none for the time before it waited.
#[test]
fn less_urgent_priorities_are_owed_a_tenth_while_they_wait() {
    let mut guarantee = Guarantee::default();
    for _ in 0..100 {
        guarantee.record(0, Cost(1_000.0), &[0]);
    }
    assert!(!guarantee.covers(2, Cost(100.0)));
    let mut placed = 0.0;
    for _ in 0..100 {
        guarantee.record(0, Cost(1_000.0), &[0, 2]);
        while guarantee.covers(2, Cost(500.0)) {
            guarantee.record(2, Cost(500.0), &[0, 2]);
            placed += 500.0;
        }
    }
    assert!((9_000.0..=10_000.0).contains(&placed), "{placed}");
}

/// Memory is left for urgent requests according to what they hold, and no longer when they cease.
#[test]
fn headroom_follows_the_demand_of_more_urgent_requests() {
    let start = Instant::now();
    let mut demand = Demand::default();
    let at = |millis: u64| start + Duration::from_millis(millis);
    for number in 0..720 {
        demand.record(0, (2_200, 10), at(number * 1_000 / 36));
    }
    let headroom = demand
        .headroom(2, at(20_000))
        .expect("urgent requests arrive");
    // 36 a second hold 2,210 tokens for 0.28 s each: 22,400 tokens. A part of it is left.
    assert!((6_000..8_000).contains(&headroom.tokens), "{headroom:?}");
    assert_eq!(headroom.unit, 2_210);
    assert_eq!(demand.headroom(0, at(20_000)), None);
    assert_eq!(demand.headroom(2, at(60_000)), None);
    assert_eq!(headroom.usable(2_209, 2), 0);
    assert_eq!(headroom.usable(9_000, 2), 4_420);
}
