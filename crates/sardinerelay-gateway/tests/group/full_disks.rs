//! Disks of voters that are full for a while, one after another. A replica whose write fails ends, and is started
//! again as long as it takes.

use {
    super::cluster::{Cluster, SEEDS},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Time for which a disk is full. An election takes less.
const FULL_TIME: Duration = Duration::from_secs(3);
/// Time after a start that failed until the next one.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Time without any disruption after which changes must be acknowledged again.
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// Size of a configuration. Some of them make a snapshot due.
const BYTES: usize = 300_000;

/// Submits one version after another.
struct Operator {
    version: u64,
}

impl Operator {
    /// Sends changes for this time, to each replica in turn, while ended replicas are started again. Returns how many
    /// were acknowledged.
    fn send_for(&mut self, cluster: &mut Cluster, time: Duration) -> usize {
        let (began, mut restarted) = (Instant::now(), Instant::now());
        let mut acknowledged = 0;
        for turn in 0.. {
            if began.elapsed() >= time {
                break;
            }
            if restarted.elapsed() >= RESTART_DELAY {
                cluster.restart_ended();
                restarted = Instant::now();
            }
            if cluster.submit(turn % SEEDS, self.version + 1, BYTES) {
                self.version += 1;
                acknowledged += 1;
            } else {
                thread::sleep(Duration::from_millis(20));
            }
        }
        acknowledged
    }

    /// Waits until a change is acknowledged, and at all replicas.
    fn expect_acknowledged(&mut self, cluster: &mut Cluster) {
        let began = Instant::now();
        for host in 0..SEEDS {
            while !cluster.submit(host, self.version + 1, BYTES) {
                assert!(
                    began.elapsed() < CONTACT_TIME,
                    "no change is acknowledged through replica {host}"
                );
                cluster.restart_ended();
                thread::sleep(Duration::from_millis(100));
            }
            self.version += 1;
        }
    }
}

/// Fills the disk of a replica for a while.
fn fill(cluster: &mut Cluster, operator: &mut Operator, host: usize) {
    cluster.fill_disk(host, true);
    operator.send_for(cluster, FULL_TIME);
    cluster.fill_disk(host, false);
}

/// Guards against changes that are refused for good after the disks of the voters were full, one after another.
#[test]
fn changes_are_acknowledged_after_each_disk_was_full() {
    let mut cluster = Cluster::found(SEEDS);
    let mut operator = Operator { version: 0 };
    operator.expect_acknowledged(&mut cluster);
    for host in 0..SEEDS {
        fill(&mut cluster, &mut operator, host);
        operator.expect_acknowledged(&mut cluster);
    }
}

/// Guards against the same if the next disk is full while the last replica is just coming back, and one twice.
#[test]
fn changes_are_acknowledged_after_fills_without_a_pause() {
    let mut cluster = Cluster::found(SEEDS);
    let mut operator = Operator { version: 0 };
    operator.expect_acknowledged(&mut cluster);
    for host in [0, 1, 2, 2, 1] {
        fill(&mut cluster, &mut operator, host);
    }
    operator.expect_acknowledged(&mut cluster);
    // The group bears the next loss.
    cluster.kill(0);
    operator.expect_acknowledged(&mut cluster);
}

/// Guards against a replica that doesn't rejoin because its disk was full while it made its files anew.
#[test]
fn a_wiped_replica_rejoins_on_a_disk_that_was_full() {
    let mut cluster = Cluster::found(SEEDS);
    let mut operator = Operator { version: 0 };
    operator.expect_acknowledged(&mut cluster);
    cluster.wipe(1);
    fill(&mut cluster, &mut operator, 1);
    operator.send_for(&mut cluster, CONTACT_TIME);
    cluster.wait_for("the wiped replica votes", CONTACT_TIME, |cluster| {
        cluster.voting(&[1])
    });
    // The others were full meanwhile or are now.
    fill(&mut cluster, &mut operator, 0);
    operator.expect_acknowledged(&mut cluster);
}

/// Guards against a leader that can't write any more, still sends heartbeats and lets changes wait for ever, because
/// the thread that writes has died without a word.
#[test]
fn a_replica_whose_writes_have_died_ends() {
    let mut cluster = Cluster::found(SEEDS);
    let mut operator = Operator { version: 0 };
    operator.expect_acknowledged(&mut cluster);
    let leader = cluster.leader().expect("a leader");
    cluster.break_disk(leader);
    cluster.submit((leader + 1) % SEEDS, operator.version + 1, BYTES);
    cluster.wait_for("the replica ends", CONTACT_TIME, |cluster| {
        cluster.has_ended(leader)
    });
}
