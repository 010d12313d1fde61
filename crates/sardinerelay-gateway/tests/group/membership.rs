//! What replicas say of the membership of others.

use {
    super::cluster::{Cluster, SEEDS},
    std::{thread, time::Duration},
};

/// A host that is no member of any group.
const STRANGER: u64 = 1;

/// Time in which all replicas must vote that the system starts with.
const FOUNDING_TIME: Duration = Duration::from_secs(10);

/// Founds a group of all replicas up to `last`, which is killed before there is a leader and comes back.
fn found_with_an_early_kill(cluster: &mut Cluster, last: usize) {
    cluster.start(last, true);
    cluster.kill(last);
    (0..last).for_each(|host| cluster.start(host, true));
    cluster.start(last, false);
}

/// Guards against a group that has one voter too few for good, because a host of the first start was killed before
/// it voted. Only the first start is told that it founds.
#[test]
fn a_host_of_the_first_start_that_was_killed_before_it_voted_becomes_a_voter() {
    let last = SEEDS + 1;
    let mut cluster = Cluster::not_started(last + 1);
    found_with_an_early_kill(&mut cluster, last);
    let all: Vec<usize> = (0..=last).collect();
    cluster.wait_for("all replicas vote", FOUNDING_TIME, |cluster| {
        cluster.voting(&all)
    });
    // A majority of five remains, but not of four.
    cluster.kill(0);
    cluster.kill(1);
    cluster.wait_for("a change is accepted", FOUNDING_TIME, |cluster| {
        cluster.submit(last, 1, 100)
    });
}

/// Guards against a group that grows with a host that is replaced and comes back: such a host founds no more.
#[test]
fn a_host_that_has_voted_joins_as_a_replacement_from_then_on() {
    let (last, spare) = (SEEDS, SEEDS + 1);
    let mut cluster = Cluster::not_started(spare + 1);
    found_with_an_early_kill(&mut cluster, last);
    cluster.wait_for("the last replica votes", FOUNDING_TIME, |cluster| {
        cluster.voting(&[last])
    });
    // Once it has learnt that it votes.
    thread::sleep(Duration::from_secs(1));
    cluster.kill(last);
    cluster.start(spare, false);
    cluster.wait_for("the spare replica votes", FOUNDING_TIME, |cluster| {
        cluster.voting(&[spare])
    });
    cluster.start(last, false);
    thread::sleep(Duration::from_secs(3));
    assert!(!cluster.voting(&[last]), "the group has grown");
}

/// Entry hosts recognise by the term that a leader has lost its memory.
#[test]
fn a_leader_that_has_restarted_names_a_later_term() {
    let mut cluster = Cluster::found(SEEDS);
    let leading_term = |cluster: &Cluster| {
        let statuses = (0..SEEDS).filter_map(|host| cluster.leader_status(host, STRANGER));
        statuses.map(|status| status.term).max()
    };
    let before = leading_term(&cluster).expect("a leader");
    (0..SEEDS).for_each(|host| cluster.kill(host));
    (0..SEEDS).for_each(|host| cluster.start(host, false));
    cluster.wait_for("a leader of a later term", FOUNDING_TIME, |cluster| {
        leading_term(cluster) > Some(before)
    });
}

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
