//! What replicas say of the membership of others.

use {
    super::cluster::Cluster,
    std::{thread, time::Duration},
};

/// A host that is no member of any group.
const STRANGER: u64 = 1;

/// A host deletes its replica when the leader says that it isn't a member. A leader that lost its
/// quorum may have been replaced, and doesn't know.
#[test]
fn a_leader_without_a_quorum_tells_no_host_that_it_is_not_a_member() {
    let mut cluster = Cluster::found(3);
    let leader = cluster.move_leadership(&[0, 1, 2]);
    let status = cluster.leader_status(leader, STRANGER);
    assert!(status.is_some_and(|status| !status.is_member));
    let others = (0..3).filter(|host| *host != leader);
    others.for_each(|host| cluster.kill(host));
    let status = cluster.leader_status(leader, STRANGER);
    assert!(status.is_none(), "{status:?}");
    thread::sleep(Duration::from_secs(1));
    let status = cluster.leader_status(leader, STRANGER);
    assert!(status.is_none(), "{status:?}");
}
