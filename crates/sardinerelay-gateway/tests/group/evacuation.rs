//! Orders for zones in a group of replicas.

use {
    super::cluster::Cluster,
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Time in which an order must be acknowledged, repeats at other replicas included.
const ORDER_TIME: Duration = Duration::from_secs(5);
/// Time in which an order must be acknowledged while the group is well.
const STEADY_ORDER_TIME: Duration = Duration::from_secs(1);
/// Time after the acknowledgement in which all hosts must obey an order.
const OBEY_TIME: Duration = Duration::from_secs(5);

impl Cluster {
    /// Orders at a replica until the order is acknowledged.
    fn order_until_acknowledged(&self, host: usize, zone: &str, is_evacuated: bool) {
        self.wait_for("the order is acknowledged", ORDER_TIME, |cluster| {
            cluster.order_zone(host, zone, is_evacuated)
        });
    }

    /// Whether the allocators of these hosts obey the orders.
    fn evacuate(&self, hosts: &[usize], zone: &str) -> bool {
        let is_evacuated = |host: &usize| {
            let state = self.allocator(*host).state();
            state.targets.evacuations().is_evacuated(zone)
        };
        hosts.iter().all(is_evacuated)
    }

    fn others(&self, host: usize) -> Vec<usize> {
        (0..3).filter(|other| *other != host).collect()
    }
}

/// Guards against an acknowledged order that is lost with the leader, or with the power of all hosts.
#[test]
fn an_acknowledged_order_outlives_the_leader_and_a_restart_of_all_replicas() {
    let mut cluster = Cluster::found(3);
    cluster.wait_for("there is a leader", ORDER_TIME, |cluster| {
        cluster.leader().is_some()
    });
    let leader = cluster.leader().expect("a leader");
    let others = cluster.others(leader);
    cluster.order_until_acknowledged(others[0], "a", false);
    let began = Instant::now();
    assert!(cluster.order_zone(others[0], "a", true), "in steady state");
    assert!(began.elapsed() < STEADY_ORDER_TIME, "{:?}", began.elapsed());
    cluster.kill(leader);
    cluster.wait_for("the others obey", OBEY_TIME, |cluster| {
        cluster.evacuate(&others, "a")
    });
    // A resent order is acknowledged by the next leader.
    cluster.order_until_acknowledged(others[1], "a", true);
    cluster.order_until_acknowledged(others[1], "b", true);
    cluster.order_until_acknowledged(others[0], "b", false);
    others.iter().for_each(|host| cluster.kill(*host));
    (0..3).for_each(|host| cluster.start(host, false));
    cluster.wait_for("all obey again", OBEY_TIME, |cluster| {
        cluster.evacuate(&[0, 1, 2], "a")
    });
    assert!(
        [0, 1, 2]
            .iter()
            .all(|host| !cluster.evacuate(&[*host], "b"))
    );
}

/// Guards against a replica without files that knows no orders, and answers hosts that have just started.
#[test]
fn a_replica_with_an_empty_disk_answers_only_after_it_has_caught_up() {
    let mut cluster = Cluster::found(3);
    cluster.order_until_acknowledged(0, "a", true);
    let leader = cluster.leader().expect("a leader");
    let wiped = cluster.others(leader)[0];
    cluster.wipe(wiped);
    cluster.start(wiped, false);
    let began = Instant::now();
    loop {
        if let Some(evacuations) = cluster.watch_evacuations(wiped) {
            assert!(evacuations.is_evacuated("a"));
            break;
        }
        assert!(began.elapsed() < Duration::from_secs(20), "no answer");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against an order that is acknowledged without a quorum.
#[test]
fn no_order_is_acknowledged_without_a_quorum() {
    let mut cluster = Cluster::found(3);
    cluster.kill(0);
    cluster.kill(1);
    assert!(!cluster.order_zone(2, "a", true));
}
