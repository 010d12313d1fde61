//! Observations that voters take over from the leader and serve to entry hosts.

use {
    super::cluster::Cluster,
    compact_str::format_compact,
    sardinerelay_gateway::{
        group::{FOLLOW_TARGETS_METHOD, ZONE_METHOD},
        observations::{
            Instance, Observations,
            update::{Loads, Request, Update},
        },
    },
    sardinerelayd::peer::Packed,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Time in which voters must have the observations of a leader, a new one included.
const RECOVERY_TIME: Duration = Duration::from_secs(10);
/// Time in which voters must have newer observations of the leader that they follow.
const UPDATE_TIME: Duration = Duration::from_secs(1);

fn publish(cluster: &Cluster, leader: usize, targets: usize) {
    let instances = (0..targets).map(|number| Instance {
        target: format_compact!("target-{number}"),
        incarnation: 1,
        service: "engines".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 8000)),
        zone: "a".into(),
        slots: 24,
        leaving: false,
        cold_ms: 0,
        build: "v1".into(),
    });
    let published = cluster.observations(leader);
    let observations = Observations {
        instances: instances.collect(),
        entry_hosts: 300,
        readers: vec![[10, 0, 0, 1].into()],
        ..Observations::default()
    };
    let previous = published.borrow().clone();
    published.send_replace(Arc::new(observations.succeeding(&previous)));
}

/// Whether a host publishes this number of targets, with the leader's other fields.
fn has(cluster: &Cluster, host: usize, targets: usize) -> bool {
    let observations = cluster.observations(host).borrow().clone();
    observations.instances.len() == targets
        && observations.entry_hosts == 300
        && observations.readers.len() == 1
}

/// Guards against voters that serve nothing or an earlier leader's observations, and against a voter that
/// serves what it received without its list's age or a source of its own.
#[test]
fn voters_serve_what_the_leader_observes() {
    let mut cluster = Cluster::found(3);
    let leader = cluster.move_leadership(&[0, 1, 2]);
    publish(&cluster, leader, 5);
    cluster.wait_for("the voters have the targets", RECOVERY_TIME, |cluster| {
        (0..3).all(|host| has(cluster, host, 5))
    });
    publish(&cluster, leader, 4);
    cluster.wait_for("the voters have the change", UPDATE_TIME, |cluster| {
        (0..3).all(|host| has(cluster, host, 4))
    });
    let request = Packed(Request {
        loads: Loads::None,
        ..Request::default()
    });
    let sources = [0, 1, 2].map(|host| {
        let update: Option<Packed<Update>> = cluster.call(host, FOLLOW_TARGETS_METHOD, &request);
        let Packed(update) = update.expect("the host has published something");
        assert_eq!(update.base, 0);
        assert!(update.list_age_ms < 60_000, "{}", update.list_age_ms);
        assert_eq!(update.changes.map_or(0, |changes| changes.entries.len()), 4);
        update.source
    });
    assert!(sources[0] != sources[1] && sources[1] != sources[2]);
    assert_eq!(cluster.call::<_, String>(1, ZONE_METHOD, &()), "zone-1");
    cluster.kill(leader);
    let others: Vec<usize> = (0..3).filter(|host| *host != leader).collect();
    cluster.wait_for("another leader", RECOVERY_TIME, |cluster| {
        let leader = cluster.leader();
        leader.is_some_and(|leader| others.contains(&leader))
    });
    let next = cluster.move_leadership(&others);
    publish(&cluster, next, 7);
    cluster.wait_for("another leader's targets", RECOVERY_TIME, |cluster| {
        others.iter().all(|host| has(cluster, *host, 7))
    });
}
