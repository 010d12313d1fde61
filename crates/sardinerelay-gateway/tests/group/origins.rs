//! Which build began a stream is known as long as one host that was told is left, whichever hosts start anew.

use {
    super::cluster::Cluster,
    sardinerelay_gateway::origin::Began,
    std::{
        thread,
        time::{Duration, Instant},
    },
};

const STREAM: &str = "stream";
const BUILD: &str = "v1";
/// Time for which the stream's caller may take it up.
const LIFETIME: Duration = Duration::from_secs(60);
/// Time for which a host counts as lost after it is back, on the users' platform.
const CATCH_UP: Duration = Duration::from_secs(4);

/// Tells these hosts of the stream, as the host does that passes on its first event.
fn tell(cluster: &Cluster, hosts: &[usize]) {
    let began = Began {
        stream: STREAM.into(),
        build: BUILD.into(),
        lifetime: LIFETIME,
    };
    for host in hosts {
        let mut state = cluster.allocator(*host).state();
        state.origins.record(&began, Instant::now());
    }
}

/// Whether a host knows the build.
fn knows(cluster: &Cluster, host: usize) -> bool {
    let state = cluster.allocator(host).state();
    let found = state.origins.find(&STREAM.into(), Instant::now());
    found.is_some_and(|build| build == BUILD)
}

/// Guards against streams that can't be taken up after a rolling restart: each voter forgot what it was told, and
/// nothing told it again.
#[test]
fn voters_that_start_anew_in_turn_still_know_which_build_began_a_stream() {
    let mut cluster = Cluster::found(3);
    tell(&cluster, &[0, 1, 2]);
    for host in 0..3 {
        cluster.kill(host);
        cluster.start(host, false);
        thread::sleep(CATCH_UP);
    }
    let known: Vec<usize> = (0..3).filter(|host| knows(&cluster, *host)).collect();
    assert_eq!(known, [0, 1, 2], "the voters that know the stream");
}

/// Guards against the same loss when a voter is replaced by one at another address, and when a voter was cut off
/// while the stream began.
#[test]
fn a_voter_with_an_empty_disk_learns_which_build_began_a_stream() {
    let mut cluster = Cluster::found(4);
    tell(&cluster, &[1]);
    cluster.wipe(0);
    cluster.start(0, false);
    cluster.wait_for(
        "the voter that is back knows the stream",
        CATCH_UP,
        |cluster| knows(cluster, 0),
    );
    cluster.kill(1);
    cluster.kill(3);
    cluster.start(3, false);
    cluster.wait_for(
        "another one learns it from that voter",
        CATCH_UP,
        |cluster| knows(cluster, 3),
    );
}

/// Guards against streams that can't be taken up after all voters were killed at once, when the host that told them is
/// gone too.
#[test]
fn voters_that_are_killed_at_once_still_know_which_build_began_a_stream() {
    let mut cluster = Cluster::found(3);
    tell(&cluster, &[0, 1, 2]);
    // Until it is on disk.
    thread::sleep(Duration::from_secs(1));
    (0..3).for_each(|host| cluster.kill(host));
    (0..3).for_each(|host| cluster.start(host, false));
    let known: Vec<usize> = (0..3).filter(|host| knows(&cluster, *host)).collect();
    assert_eq!(known, [0, 1, 2], "the voters that know the stream");
}
