//! Engines that are about to stop.

use {
    super::fixtures::{SERVICE, board, instance, targets},
    sardinerelay_gateway::targets::{Change, Targets},
    std::time::{Duration, Instant},
};

fn later(now: Instant, ms: u64) -> Instant {
    now + Duration::from_millis(ms)
}

/// A board on which the first of two engines has closed its connections for this long.
fn closing(
    stamp: u64,
    closing_ms: Option<u64>,
) -> sardinerelay_gateway::observations::Observations {
    let mut board = board(stamp, &[0, 0]);
    board.loads[0].closing_ms = closing_ms;
    board
}

fn usable(targets: &Targets, now: Instant) -> usize {
    targets.usable(SERVICE, now).count()
}

/// Load pattern: an engine is reclaimed 1.7 s after its notice. The list tells that 0.8 s late and
/// its report 0.5 s late; the connections that it closes tell it at once.
#[test]
fn an_engine_that_closes_its_connections_counts_as_leaving_at_once() {
    let now = Instant::now();
    let mut targets = targets(&[0, 0], now);
    let changes = targets.merge(&closing(2, Some(20)), later(now, 100));
    assert_eq!(changes, [Change::Closing(instance(0).target)]);
    assert_eq!(usable(&targets, later(now, 100)), 1);
    // Its list entry follows and keeps it from new work for good.
    let mut listed = closing(3, Some(820));
    listed.instances[0].leaving = true;
    targets.merge(&listed, later(now, 900));
    assert_eq!(usable(&targets, later(now, 5_000)), 1);
}

/// A server that closes each connection for another reason is not lost for ever: neither the list
/// nor its reports confirm that it leaves.
#[test]
fn closed_connections_alone_are_believed_for_a_while() {
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

/// Followers get every board that shows a leave at once, and only some of those that show other
/// loads, so that what a follower costs doesn't grow with the number of reports.
#[test]
fn a_leave_is_news_at_once_and_loads_are_later() {
    let seen = closing(1, None);
    let changed = |board: &sardinerelay_gateway::observations::Observations, changed| {
        sardinerelay_gateway::observations::Observations {
            changed,
            ..board.clone()
        }
    };
    assert!(changed(&seen, 1).is_due(0), "the first one");
    let mut colder = closing(2, None);
    colder.instances[0].cold_ms = 400;
    colder.loads[0].load.used = 9_000;
    assert!(!colder.lists_other_targets(&seen));
    assert!(!changed(&colder, 1).is_due(1));
    let mut later = changed(&colder, 1);
    later.stamp = 4;
    assert!(later.is_due(1), "loads are told in the end");
    let leaves = closing(3, Some(20));
    assert!(leaves.lists_other_targets(&colder));
    assert!(changed(&leaves, 3).is_due(2));
    // Another host's stamps, or those of one that started again, say nothing.
    assert!(changed(&seen, 1).is_due(700));
}
