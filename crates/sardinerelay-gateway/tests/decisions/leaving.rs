//! Engines that are about to stop.

use {
    super::fixtures::{SERVICE, instance, observations, targets},
    sardinerelay_gateway::{
        observations::Observations,
        targets::{Change, Targets},
    },
    std::time::{Duration, Instant},
};

fn later(now: Instant, ms: u64) -> Instant {
    now + Duration::from_millis(ms)
}

/// Observations of two engines, the first of which has been closing its connections for this long.
fn closing(stamp: u64, closing_ms: Option<u64>) -> Observations {
    let mut observations = observations(stamp, &[0, 0]);
    observations.loads[0].closing_ms = closing_ms;
    observations
}

fn usable(targets: &Targets, now: Instant) -> usize {
    targets.usable(SERVICE, now).count()
}

/// An engine that is reclaimed 1.7 s after its notice must not get work meanwhile. The list shows
/// the notice 0.8 s late and the load report 0.5 s late, but closed connections show it at once.
#[test]
fn an_engine_that_closes_its_connections_counts_as_leaving_at_once() {
    let now = Instant::now();
    let mut targets = targets(&[0, 0], now);
    let changes = targets.merge(&closing(2, Some(20)), later(now, 100));
    assert_eq!(changes, [Change::Closing(instance(0).target)]);
    assert_eq!(usable(&targets, later(now, 100)), 1);
    // The list confirms it later, which excludes the engine for good.
    let mut listed = closing(3, Some(820));
    listed.instances[0].leaving = true;
    targets.merge(&listed, later(now, 900));
    assert_eq!(usable(&targets, later(now, 5_000)), 1);
}

/// A server that closes each connection for another reason must get work again: neither the list
/// nor its load reports confirm that it is leaving.
#[test]
fn closed_connections_alone_count_for_a_while() {
    let now = Instant::now();
    let mut targets = targets(&[0, 0], now);
    targets.merge(&closing(2, Some(0)), later(now, 100));
    assert_eq!(usable(&targets, later(now, 1_500)), 1);
    targets.merge(&closing(3, Some(1_600)), later(now, 1_700));
    assert_eq!(usable(&targets, later(now, 1_700)), 2);
}

#[test]
fn an_engine_that_keeps_connections_again_gets_work_again() {
    let now = Instant::now();
    let mut targets = targets(&[0, 0], now);
    targets.merge(&closing(2, Some(0)), later(now, 100));
    targets.merge(&closing(3, None), later(now, 400));
    assert_eq!(usable(&targets, later(now, 400)), 2);
}

/// A follower must get observations at once if they show a leave. If only loads have changed it
/// gets some of the updates, so that its cost doesn't grow with the number of load reports.
#[test]
fn followers_get_a_leave_at_once_and_loads_later() {
    let first = closing(1, None);
    let changed = |observations: &Observations, changed_stamp| Observations {
        changed_stamp,
        ..observations.clone()
    };
    assert!(changed(&first, 1).is_due(0), "the first one");
    let mut other_loads = closing(2, None);
    other_loads.instances[0].cold_ms = 400;
    other_loads.loads[0].load.used = 9_000;
    assert!(!other_loads.differs_beyond_loads(&first));
    assert!(!changed(&other_loads, 1).is_due(1));
    let mut later = changed(&other_loads, 1);
    later.stamp = 4;
    assert!(later.is_due(1), "loads are sent eventually");
    let leaving = closing(3, Some(20));
    assert!(leaving.differs_beyond_loads(&other_loads));
    assert!(changed(&leaving, 3).is_due(2));
    // Stamps of another host, or from before a restart, can't be compared.
    assert!(changed(&first, 1).is_due(700));
}
