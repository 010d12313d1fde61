//! Replicas that come back with an empty disk.

use {
    super::cluster::{Cluster, SEEDS},
    std::time::Duration,
};

/// Time in which a replica with an empty disk must be a voter again.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);

#[test]
fn a_wiped_voter_rejoins_a_leader_that_is_no_seed() {
    let mut cluster = Cluster::found(5);
    let others: Vec<usize> = (SEEDS..5).collect();
    cluster.move_leadership(&others);
    cluster.wipe(0);
    cluster.start(0, false);
    cluster.wait_for("the wiped replica votes", CATCH_UP_TIME, |cluster| {
        cluster.voting(&[0])
    });
    // The group bears the next losses only with that vote.
    cluster.kill(1);
    cluster.kill(2);
    cluster.wait_for("a change is accepted", CATCH_UP_TIME, |cluster| {
        cluster.submit(0, 1, 100)
    });
}

/// Guards against a voter that refuses to start for good because it was killed while it made its files
/// anew, so that the next lost disk takes the quorum.
#[test]
fn a_wiped_voter_that_was_killed_while_it_made_its_files_rejoins() {
    let mut cluster = Cluster::found(SEEDS);
    assert!(cluster.submit(0, 1, 100));
    cluster.wipe(1);
    cluster.interrupt_creation(1);
    cluster.start(1, false);
    cluster.wait_for("the wiped replica votes", CATCH_UP_TIME, |cluster| {
        cluster.voting(&[1])
    });
    cluster.wipe(2);
    cluster.wait_for("a change is accepted", CATCH_UP_TIME, |cluster| {
        cluster.submit(0, 2, 100)
    });
}
