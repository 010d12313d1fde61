//! A voter that leaves for good while its successor stands by, and the next loss right after it.

use {
    super::cluster::{Cluster, SEEDS},
    rstest::rstest,
    std::{thread, time::Duration},
};

/// The host that stands by as a learner.
const SPARE: usize = SEEDS;
/// Time for which a new host counts as lost after its start, on the users' platform. A host that is removed counts as
/// lost until its successor has had that time.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Time in which the group must accept changes again.
const RECOVERY: Duration = Duration::from_secs(12);

/// Founds a group with a learner that has caught up. Returns it with its leader and another voter.
fn with_spare() -> (Cluster, usize, usize) {
    let mut cluster = Cluster::not_started(SEEDS + 1);
    (0..SEEDS).for_each(|host| cluster.start(host, true));
    let seeds: Vec<usize> = (0..SEEDS).collect();
    cluster.wait_for("the seeds vote", RECOVERY, |cluster| {
        cluster.voting(&seeds) && cluster.submit(0, 1, 100)
    });
    cluster.start(SPARE, false);
    thread::sleep(CATCH_UP);
    let leader = cluster.move_leadership(&seeds);
    let other = (0..SEEDS).find(|host| *host != leader);
    (cluster, leader, other.expect("three voters"))
}

/// Loses the disk of a voter other than `gone`, and waits until the group accepts changes.
fn lose_another_disk(cluster: &mut Cluster, gone: usize) {
    let lost = (0..SEEDS).find(|host| *host != gone).expect("three voters");
    cluster.wipe(lost);
    thread::sleep(Duration::from_secs(1));
    cluster.start(lost, false);
    cluster.wait_for("a change is accepted", RECOVERY, |cluster| {
        cluster.submit(SPARE, 2, 100)
    });
}

/// Guards against a group that loses its quorum with the next loss, because a voter that had ended without a word
/// counted on until it had been silent for four seconds, and once more after an election.
#[rstest]
#[case::a_follower(false, Duration::from_millis(2500))]
#[case::the_leader(true, Duration::from_millis(3500))]
fn a_killed_voter_is_not_replaced_before_the_next_loss(
    #[case] is_leader: bool,
    #[case] until_next: Duration,
) {
    let (mut cluster, leader, other) = with_spare();
    let gone = if is_leader { leader } else { other };
    cluster.kill(gone);
    thread::sleep(until_next);
    lose_another_disk(&mut cluster, gone);
}

/// Time that a stopping voter may take.
const GRACE: Duration = Duration::from_secs(4);

/// Guards against a voter that counts on after its planned stop, although its successor has stood by.
#[rstest]
#[case::a_follower(false)]
#[case::the_leader(true)]
fn a_stopped_voter_is_not_replaced_before_the_next_loss(#[case] is_leader: bool) {
    let (mut cluster, leader, other) = with_spare();
    let gone = if is_leader { leader } else { other };
    cluster.stop(gone, GRACE);
    lose_another_disk(&mut cluster, gone);
}

/// A voter that is only restarted is replaced as well, and stands by from then on.
#[test]
fn a_voter_that_comes_back_after_its_stop_can_replace_the_next_one() {
    let (mut cluster, leader, other) = with_spare();
    cluster.stop(other, GRACE);
    // Its replica was removed, so its process ends when it learns that, and starts without files.
    cluster.wipe_stopped(other);
    cluster.start(other, false);
    thread::sleep(CATCH_UP);
    cluster.stop(leader, GRACE);
    lose_another_disk(&mut cluster, leader);
}
