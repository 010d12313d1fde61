//! Load reports that voters read for the leader.

use {
    super::cluster::Cluster,
    sardinerelay_gateway::{
        observations::Load,
        observer::division::{LoadsReport, Read},
    },
    std::time::Duration,
};

/// Time in which the leader must know that a voter has ended: a second without messages, and the interval at
/// which it looks.
const SILENCE_TIME: Duration = Duration::from_secs(2);

/// Guards against a leader that counts on a reader that has ended, and against messages that don't reach
/// the leader's observer.
#[test]
fn the_leader_knows_the_voters_that_can_read_and_gets_their_reads() {
    let mut cluster = Cluster::found(3);
    let leader = cluster.move_leadership(&[0, 1, 2]);
    let others: Vec<usize> = (0..3).filter(|host| *host != leader).collect();
    let heard = |cluster: &Cluster, hosts: &[usize]| {
        let expected = hosts.iter().map(|host| cluster.address(*host));
        cluster.heard(leader) == expected.collect()
    };
    cluster.wait_for("both others are heard", SILENCE_TIME, |cluster| {
        heard(cluster, &others)
    });
    let report = LoadsReport {
        from: cluster.address(others[1]),
        reads: vec![Read {
            target: "engine".into(),
            incarnation: 1,
            load: Load::default(),
            age_ms: 20,
            sent_age_ms: 25,
            closing_ms: Some(10),
            limit: Default::default(),
        }],
    };
    cluster.send_loads((others[1], leader), &report);
    assert_eq!(cluster.received_loads(leader), Some(report));
    cluster.kill(others[0]);
    cluster.wait_for("the ended one isn't heard", SILENCE_TIME, |cluster| {
        heard(cluster, &others[1..])
    });
}
