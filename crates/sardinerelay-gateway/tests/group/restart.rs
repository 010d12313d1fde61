//! Replicas that come back with their files.

use {
    super::cluster::Cluster,
    std::{thread, time::Duration},
};

/// Size of a configuration of which a few make a snapshot due.
const LARGE_BYTES: usize = 2 << 20;
/// Time in which a configuration must be accepted, repeats included.
const SUBMIT_TIME: Duration = Duration::from_secs(10);
/// Time in which replicas must elect a leader and apply what was accepted.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

#[test]
fn a_restarted_replica_offers_no_configuration_that_was_replaced() {
    let mut cluster = Cluster::found(3);
    for version in 1..=3 {
        cluster.wait_for("a large version is accepted", SUBMIT_TIME, |cluster| {
            cluster.submit(0, version, LARGE_BYTES)
        });
    }
    // Gives the replicas time to write the snapshots that are due now.
    thread::sleep(Duration::from_secs(1));
    cluster.wait_for("a small version is accepted", SUBMIT_TIME, |cluster| {
        cluster.submit(0, 4, 100)
    });
    (0..3).for_each(|host| cluster.kill(host));
    cluster.start(0, false);
    // A single replica can't know whether its last entries were accepted.
    thread::sleep(Duration::from_secs(2));
    assert_eq!(cluster.offered_version(0), 0);
    cluster.start(1, false);
    cluster.wait_for("the newest version is offered", RECOVERY_TIME, |cluster| {
        cluster.offered_version(0) == 4 && cluster.offered_version(1) == 4
    });
}
