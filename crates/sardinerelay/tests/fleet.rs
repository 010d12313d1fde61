//! Tests of the membership of targets and hosts.

use {
    proptest::prelude::*,
    rstest::rstest,
    sardinerelay::fleet::{Entry, Fleet, Listed},
    std::time::{Duration, Instant},
};

fn entry(incarnation: u64, listed: Listed) -> Entry {
    Entry {
        target: "engine".into(),
        incarnation,
        listed,
    }
}

/// Guards against a lagging list that makes a target eligible again after it has announced that it
/// leaves.
#[rstest]
fn list_never_reverts_a_leave() {
    let mut fleet = Fleet::new();
    fleet.merge_list(&[entry(1, Listed::Live)]);
    fleet.leave(&"engine".into(), 1);
    for _ in 0..3 {
        fleet.merge_list(&[entry(1, Listed::Live)]);
        assert!(!fleet.is_eligible("engine"));
    }
    fleet.merge_list(&[entry(2, Listed::Live)]);
    assert!(fleet.is_eligible("engine"));
}

/// Guards against a late leave of an old incarnation that also applies to its replacement.
#[rstest]
fn late_leave_does_not_affect_the_next_incarnation() {
    let mut fleet = Fleet::new();
    fleet.join(&"engine".into(), 2);
    fleet.leave(&"engine".into(), 1);
    fleet.merge_list(&[entry(1, Listed::Leaving)]);
    assert!(fleet.is_eligible("engine"));
}

/// Guards against hosts that count as live although they have been silent.
#[rstest]
fn silent_hosts_are_not_counted() {
    let now = Instant::now();
    let mut fleet = Fleet::new();
    fleet.record_host(1, now);
    fleet.record_host(2, now + Duration::from_secs(8));
    assert_eq!(fleet.live_hosts(now + Duration::from_secs(9)), 2);
    assert_eq!(fleet.live_hosts(now + Duration::from_secs(12)), 1);
}

proptest! {
    /// Guards against an order of list entries and leaves in which an incarnation becomes eligible
    /// again after its leave.
    #[test]
    fn leave_is_sticky(events in prop::collection::vec((1_u64..5, any::<bool>(), any::<bool>()), 1..60)) {
        let mut fleet = Fleet::new();
        let mut left = 0;
        for (incarnation, leave, by_list) in events {
            match (leave, by_list) {
                (true, true) => fleet.merge_list(&[entry(incarnation, Listed::Leaving)]),
                (true, false) => fleet.leave(&"engine".into(), incarnation),
                (false, true) => fleet.merge_list(&[entry(incarnation, Listed::Live)]),
                (false, false) => fleet.join(&"engine".into(), incarnation),
            }
            if leave {
                left = left.max(incarnation);
            }
            if fleet.is_eligible("engine") {
                prop_assert!(fleet.incarnation("engine") > Some(left));
            }
        }
    }
}
