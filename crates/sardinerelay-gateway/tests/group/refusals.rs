//! What is refused because it makes targets crash outlives the loss of all hosts.

use {
    super::cluster::Cluster,
    sardinerelay_gateway::quarantine::{Refused, Subject},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

const PART: Subject = 0x5c1e_07a2;
const REQUEST: Subject = 0x0123_4567_89ab_cdef;
/// Time in which the leader has what its allocator refuses in the register, elections included.
const REPLICATION_TIME: Duration = Duration::from_secs(5);
/// Time in which all hosts refuse again after they have lost power. It is the bound of the users'
/// platform for hosts that have come back.
const RECOVERY_TIME: Duration = Duration::from_secs(3);

fn refused(id: Subject) -> [Refused; 1] {
    [Refused {
        id,
        remaining: Duration::from_secs(600),
    }]
}

/// Whether the host's allocator refuses the part and the request, and how long the part is refused.
fn refusal(cluster: &Cluster, host: usize) -> Option<Duration> {
    let now = Instant::now();
    let state = cluster.allocator(host).state();
    state.requests.refusal(&[REQUEST], now)?;
    state.quarantine.refusal(&[PART], now)
}

#[test]
fn what_is_refused_outlives_a_loss_of_power_of_all_hosts() {
    let mut cluster = Cluster::found(3);
    let leader = cluster.move_leadership(&[0, 1, 2]);
    cluster
        .allocator(leader)
        .adopt_refused_parts(&refused(PART));
    cluster
        .allocator(leader)
        .adopt_refused_requests(&refused(REQUEST));
    cluster.wait_for("all hosts refuse", REPLICATION_TIME, |cluster| {
        (0..3).all(|host| refusal(cluster, host).is_some())
    });
    (0..3).for_each(|host| cluster.kill(host));
    (0..3).for_each(|host| cluster.start(host, false));
    cluster.wait_for("all hosts refuse again", RECOVERY_TIME, |cluster| {
        (0..3).all(|host| refusal(cluster, host).is_some())
    });
    let longest = refusal(&cluster, 0);
    assert!(
        longest.is_some_and(|remaining| remaining <= Duration::from_secs(600)),
        "{longest:?}"
    );
}

#[test]
fn a_refusal_is_not_prolonged_by_hosts_that_know_it_from_each_other() {
    let cluster = Cluster::found(3);
    let leader = cluster.move_leadership(&[0, 1, 2]);
    let began = Instant::now();
    let lasting = Duration::from_secs(12);
    let part = [Refused {
        id: PART,
        remaining: lasting,
    }];
    cluster.allocator(leader).adopt_refused_parts(&part);
    cluster
        .allocator(leader)
        .adopt_refused_requests(&refused(REQUEST));
    thread::sleep(Duration::from_secs(3));
    let remaining = refusal(&cluster, leader);
    let bound = lasting.saturating_sub(began.elapsed()) + Duration::from_millis(100);
    assert!(
        remaining.is_some_and(|remaining| remaining <= bound),
        "{remaining:?} of {bound:?}"
    );
}
