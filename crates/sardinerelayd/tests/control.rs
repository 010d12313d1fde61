//! Tests of the control thread, with the threads of several hosts in this process.

#[path = "control/cluster.rs"]
mod cluster;

use {
    cluster::{
        Cluster, TEST_TIMEOUT, accept, await_sheet, await_status, incarnation, proxy, sheet_number,
        submit,
    },
    jsonrpsee::{RpcModule, types::ErrorObjectOwned},
    rstest::rstest,
    sardinerelay::{
        id::Host,
        ledger::{Begin, Intent, Key, Owner, Quota},
        raft::Change,
        state::{Command, Entry, Machine, Reply, Update, View},
    },
    sardinerelayd::{
        control::{self, Error, FatalError, Settings},
        peer::{NotificationHandler, Packed, Secrets, Server},
    },
    std::{
        collections::BTreeMap,
        fs,
        future::pending,
        sync::atomic::{AtomicUsize, Ordering},
        time::{Duration, Instant, SystemTime},
    },
    tempfile::TempDir,
    tokio::{task::JoinSet, time::sleep},
    uuid::Uuid,
};

// Guards against a system of one host that needs more settings than a data directory, or that loses
// or changes an accepted sheet when it restarts.
#[tokio::test]
async fn single_host_keeps_its_sheet() {
    let directory = TempDir::new().unwrap();
    let start = || {
        control::spawn(Settings::single_host(
            directory.path().to_owned(),
            incarnation(),
        ))
        .unwrap()
    };
    let handle = start();
    let first = accept(&handle, 1).await;
    await_sheet(&handle, 1).await;
    handle.abort().await;
    let handle = start();
    await_sheet(&handle, 1).await;
    assert_eq!(first, accept(&handle, 1).await);
    for number in 2..60 {
        accept(&handle, number).await;
    }
    handle.stop(TEST_TIMEOUT).await;
    let handle = start();
    let read = handle.read(TEST_TIMEOUT).await.unwrap();
    assert_eq!((Some(59), true), (sheet_number(&read), read.confirmed));
}

// Guards against an accepted sheet that is lost or reverted when the leader fails (G7), and against a
// repeated submission or a restarted host that gets a different result.
#[tokio::test]
async fn accepted_sheet_survives_the_leader() {
    let mut cluster = Cluster::new(&[]);
    cluster.start_all([1, 2, 3]);
    let mut first = None;
    for round in 0..3 {
        let leader = cluster.await_leader().await;
        let follower = leader % 3 + 1;
        let accepted = accept(cluster.host(follower), 100 + round).await;
        cluster.kill(leader).await;
        assert_eq!(accepted, accept(cluster.host(follower), 100 + round).await);
        // Enough log entries for the restarted host to get a snapshot.
        for number in 0..30 {
            let reply = cluster
                .host(follower)
                .propose(submit(number, 2), TEST_TIMEOUT)
                .await;
            let Ok(Reply::Conflict { winner, .. }) = reply else {
                panic!("a lower number was not refused: {reply:?}");
            };
            assert_eq!(accepted, winner);
        }
        let restarted = cluster.start(leader);
        await_status(&restarted, |status| status.confirmed).await;
        await_sheet(&restarted, 100 + round).await;
        first.get_or_insert(accepted);
    }
    let reply = cluster.host(1).propose(submit(100, 1), TEST_TIMEOUT).await;
    let Ok(Reply::Conflict { earlier, .. }) = reply else {
        panic!("a superseded sheet was not refused: {reply:?}");
    };
    assert_eq!(first, earlier);
}

// Guards against two different sheets with the same number that are both accepted.
#[tokio::test]
async fn conflicting_submissions_have_one_winner() {
    let mut cluster = Cluster::new(&[]);
    cluster.start_all([1, 2, 3]);
    let mut submissions = JoinSet::new();
    for mark in 0..12 {
        let handle = cluster.host(Host::from(mark % 3 + 1)).clone();
        submissions.spawn(async move { handle.propose(submit(5, mark), TEST_TIMEOUT).await });
    }
    let mut winners = Vec::new();
    let mut named = Vec::new();
    for reply in submissions.join_all().await {
        match reply.unwrap() {
            Reply::Accepted(accepted) => winners.push(accepted),
            Reply::Conflict { winner, .. } => named.push(winner),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(1, winners.len());
    assert!(named.iter().all(|winner| *winner == winners[0]));
}

fn begin(key: u32, attempt: u128) -> Command {
    Command::Begin(Intent {
        key: Key {
            organisation: "brakeline".into(),
            key: key.to_string().into(),
        },
        fingerprint: [0; 32],
        owner: Owner {
            host: 1,
            incarnation: u64::MAX,
        },
        attempt: Uuid::from_u128(attempt),
        deadline: SystemTime::now() + TEST_TIMEOUT,
    })
}

// Guards against a call that runs twice because its begin was retried while the leader failed (G4),
// and against a committed begin that is reported as not committed.
#[tokio::test]
async fn calls_begin_once_while_leaders_die() {
    let mut cluster = Cluster::new(&[]);
    cluster.start_all([1, 2, 3]);
    cluster.await_leader().await;
    let mut begins = JoinSet::new();
    for key in 0..40 {
        for attempt in 0..3 {
            let handle = cluster.host(attempt + 1).clone();
            let deadline = Duration::from_millis(400 * attempt + 200);
            begins.spawn(async move {
                sleep(Duration::from_millis(u64::from(key) * 40)).await;
                let reply = handle
                    .propose(begin(key, u128::from(attempt)), deadline)
                    .await;
                (key, reply)
            });
        }
    }
    for _ in 0..2 {
        sleep(Duration::from_millis(400)).await;
        let leader = cluster.await_leader().await;
        cluster.kill(leader).await;
        cluster.start(leader);
    }
    let (mut new, mut uncertain) = (BTreeMap::new(), BTreeMap::new());
    for (key, reply) in begins.join_all().await {
        match reply {
            Ok(Reply::Begun(Begin::New)) => *new.entry(key).or_insert(0) += 1,
            Err(error) if error.is_not_committed() => {}
            Err(_) => *uncertain.entry(key).or_insert(0) += 1,
            Ok(Reply::Begun(Begin::InProgress(_))) => {}
            Ok(other) => panic!("key {key}: {other:?}"),
        }
    }
    for key in 0..40 {
        let known = new.get(&key).copied().unwrap_or(0);
        assert!(known <= 1, "key {key} began {known} times");
        let reply = cluster
            .host(1)
            .propose(begin(key, 9), TEST_TIMEOUT)
            .await
            .unwrap();
        let begun = reply != Reply::Begun(Begin::New);
        let possible = known == 1 || uncertain.contains_key(&key);
        assert!(
            if known == 1 {
                begun
            } else {
                possible || !begun
            },
            "key {key}: {reply:?}"
        );
    }
}

// Guards against an isolated host that accepts a submission or confirms outdated state, and against
// an unknown outcome that a repeated submission can't resolve.
#[tokio::test]
async fn no_quorum_accepts_nothing() {
    let mut cluster = Cluster::new(&[]);
    cluster.start_all([1, 2, 3]);
    accept(cluster.host(1), 1).await;
    await_sheet(cluster.host(1), 1).await;
    cluster.kill(2).await;
    cluster.kill(3).await;
    let alone = cluster.host(1).clone();
    let short = Duration::from_secs(2);
    alone.propose(submit(2, 1), short).await.unwrap_err();
    assert_eq!(
        Err(Error::Unconfirmed { timeout: short }),
        alone.read(short).await
    );
    let cut_off = await_status(&alone, |status| status.cut_off).await;
    assert_eq!(
        (Some(1), 1),
        (sheet_number(&alone.published().borrow()), cut_off.host)
    );
    cluster.start(2);
    accept(&alone, 2).await;
    await_sheet(cluster.host(2), 2).await;
}

// Guards against a zone that gets no new sheets because its relay host failed, against hosts that drop
// their sheet when all voters are gone, and against a diskless host that restarts in the meantime and
// publishes a sheet that no leader confirmed.
#[tokio::test]
async fn diskless_hosts_pull_along_the_tree() {
    let (relay, host, disk) = (4, 5, Cluster::WITH_DISK + 6);
    let mut cluster = Cluster::new(&[relay, host, disk]);
    // The voter of zone a starts last, so that host 4 is the live host with the lowest id in the zone.
    // It has created its replica before, because a voter must not bootstrap once the group exists.
    cluster.start(1);
    cluster.kill(1).await;
    cluster.start_all([2, 3, relay, host, disk]);
    accept(cluster.host(host), 1).await;
    for member in [relay, host, disk] {
        assert!(await_sheet(cluster.host(member), 1).await.confirmed);
    }
    await_status(cluster.host(host), |status| status.upstream == Some(relay)).await;
    cluster.kill(relay).await;
    accept(cluster.host(host), 2).await;
    await_sheet(cluster.host(host), 2).await;
    await_sheet(cluster.host(disk), 2).await;
    cluster.start(1);
    await_status(cluster.host(host), |status| status.upstream == Some(1)).await;
    accept(cluster.host(1), 3).await;
    await_sheet(cluster.host(host), 3).await;
    await_sheet(cluster.host(disk), 3).await;
    for voter in [1, 2, 3] {
        cluster.kill(voter).await;
    }
    cluster.kill(disk).await;
    let kept = await_status(cluster.host(host), |status| status.cut_off).await;
    assert!(kept.confirmed);
    let restarted = cluster.start(relay);
    let synced = cluster.start(disk);
    let shown = await_sheet(&synced, 3).await;
    assert!(!shown.confirmed);
    // There is no leader to confirm a version, so host 4, which has no disk, publishes nothing.
    restarted.read(Duration::from_secs(2)).await.unwrap_err();
    assert_eq!(None, sheet_number(&restarted.published().borrow()));
    assert_eq!(
        Some(3),
        sheet_number(&cluster.host(host).published().borrow())
    );
    cluster.start_all([1, 2, 3]);
    assert!(await_sheet(&restarted, 3).await.confirmed);
}

// Guards against a host that waits indefinitely for a relay host whose connections went silent (G7),
// and against one that never returns to it.
#[tokio::test]
async fn silent_relay_is_passed_over() {
    let (relay, host) = (4, 5);
    let mut cluster = Cluster::new(&[relay, host]);
    cluster.start_all([2, 3, relay]);
    let mut settings = cluster.settings(host);
    let member = settings
        .hosts
        .iter_mut()
        .find(|member| member.id == relay)
        .unwrap();
    let (address, silence) = proxy(member.address).await;
    member.address = address;
    let handle = control::spawn(settings).unwrap();
    cluster.running.insert(host, handle.clone());
    accept(&handle, 1).await;
    await_status(&handle, |status| status.upstream == Some(relay)).await;
    await_sheet(&handle, 1).await;
    silence.send_replace(true);
    let start = Instant::now();
    accept(cluster.host(2), 2).await;
    await_sheet(&handle, 2).await;
    println!("skipped the relay host after {:?}", start.elapsed());
    silence.send_replace(false);
    await_status(&handle, |status| status.upstream == Some(relay)).await;
    accept(cluster.host(2), 3).await;
    await_sheet(&handle, 3).await;
}

// Guards against a planned stop that leaves the group without a leader or doesn't record the leave.
#[tokio::test]
async fn stop_hands_leadership_over() {
    let mut cluster = Cluster::new(&[]);
    cluster.start_all([1, 2, 3]);
    accept(cluster.host(1), 1).await;
    let leader = cluster.await_leader().await;
    let handle = cluster.running.remove(&leader).unwrap();
    let term = handle.status().await.unwrap().replica.unwrap().term;
    handle.stop(TEST_TIMEOUT).await;
    let next = cluster.await_leader().await;
    assert_ne!(leader, next);
    let read = cluster.host(next).read(TEST_TIMEOUT).await.unwrap();
    assert!(read.leaves.hosts.contains_key(&leader));
    assert!(
        cluster
            .host(next)
            .status()
            .await
            .unwrap()
            .replica
            .unwrap()
            .term
            > term
    );
}

// Guards against a control thread that continues after a failed write, or that ends without reporting
// the error.
#[rstest]
#[case::log("replica", |failure: &FatalError| matches!(failure, FatalError::Storage(_)))]
#[case::view("view.new", |failure: &FatalError| matches!(failure, FatalError::View { .. }))]
#[tokio::test]
async fn failed_write_ends_the_thread(
    #[case] obstacle: &str,
    #[case] expected: fn(&FatalError) -> bool,
) {
    let directory = TempDir::new().unwrap();
    let settings = Settings {
        snapshot_entries: 5,
        ..Settings::single_host(directory.path().to_owned(), incarnation())
    };
    let handle = control::spawn(settings).unwrap();
    accept(&handle, 1).await;
    await_sheet(&handle, 1).await;
    let path = directory.path().join(obstacle);
    if path.exists() {
        fs::remove_dir_all(path).unwrap();
    } else {
        fs::create_dir(path).unwrap();
    }
    let propose = async {
        let mut number = 2;
        while handle
            .propose(submit(number, 1), TEST_TIMEOUT)
            .await
            .is_ok()
        {
            number += 1;
        }
    };
    let ((), ended) = tokio::join!(propose, handle.ended());
    assert!(ended.as_ref().as_ref().is_err_and(expected), "{ended:?}");
    let refused = handle.propose(submit(999, 1), TEST_TIMEOUT).await;
    assert_eq!(Err(Error::Ended), refused);
}

// Guards against a voter that lost its disk and votes again under its id, and against two processes
// that use one data directory.
#[tokio::test]
async fn unsafe_start_is_refused() {
    let mut cluster = Cluster::new(&[]);
    let mut settings = cluster.settings(1);
    settings.bootstrap = false;
    let refused = control::spawn(settings).unwrap_err();
    assert!(matches!(refused, FatalError::NoReplica { .. }), "{refused}");
    cluster.start(1);
    let refused = control::spawn(cluster.settings(1)).unwrap_err();
    assert!(matches!(refused, FatalError::Locked { .. }), "{refused}");
}

// Guards against a group that can't replace a lost voter, so that the next loss costs the quorum.
#[tokio::test]
async fn lost_voter_is_replaced() {
    let new = Cluster::WITH_DISK + 7;
    let mut cluster = Cluster::new(&[new]);
    cluster.start_all([1, 2, 3]);
    for number in 1..40 {
        accept(cluster.host(1), number).await;
    }
    cluster.kill(3).await;
    let mut settings = cluster.settings(new);
    settings.learner = true;
    cluster
        .running
        .insert(new, control::spawn(settings).unwrap());
    for change in [
        Change::AddLearner(new),
        Change::Promote(new),
        Change::Remove(3),
    ] {
        while let Err(error) = {
            let leader = cluster.await_leader().await;
            cluster.host(leader).change_membership(change).await
        } {
            assert!(
                matches!(error, Error::Change(_) | Error::NotLeader { .. }),
                "{error}"
            );
            sleep(Duration::from_millis(50)).await;
        }
    }
    let leader = cluster.await_leader().await;
    await_status(cluster.host(leader), |status| {
        status.replica.as_ref().is_some_and(|replica| {
            replica.membership.voters == [1, 2, new].into() && replica.commit == replica.last.index
        })
    })
    .await;
    cluster.kill(2).await;
    accept(cluster.host(1), 50).await;
    await_sheet(cluster.host(new), 50).await;
}

/// Builds the views of versions 1 to `last`, each with the sheet of the same number.
fn views_up_to(last: u64) -> Vec<View> {
    let mut machine = Machine::new(Quota::default());
    let mut apply = |number| {
        let entry = Entry {
            proposal: None,
            at: SystemTime::UNIX_EPOCH,
            shard: 0,
            command: submit(number, 1),
        };
        machine.apply(number, &entry);
        machine.view().clone()
    };
    (1..=last).map(&mut apply).collect()
}

/// Starts a fake voter that confirms version 1 and answers pulls with whole views of versions 5, 3 and
/// 6, in this order.
async fn stale_voter(address: std::net::SocketAddr) -> Server {
    let mut module = RpcModule::new((views_up_to(6), AtomicUsize::new(0)));
    module
        .register_async_method("state.confirm", |_, _, _| async {
            // The encoding of `Outcome::Done` with version 1.
            Ok::<_, ErrorObjectOwned>(Packed((0_u8, 1_u64)))
        })
        .unwrap();
    module
        .register_async_method("state.pull", |_, context, _| async move {
            let (views, pulls) = &*context;
            let version = match pulls.fetch_add(1, Ordering::SeqCst) {
                0 => 5,
                1 => 3,
                2 => 6,
                _ => pending().await,
            };
            let update = Packed(Update::Whole(Box::new(views[version - 1].clone())));
            let pulled = serde_json::json!({ "update": update, "cut_off": false });
            Ok::<_, ErrorObjectOwned>(pulled)
        })
        .unwrap();
    let secrets = Secrets::new(&["secret".into()]).unwrap();
    let methods = (module, NotificationHandler::new(|_, _| {}));
    Server::start(address, Some(secrets), methods, Default::default())
        .await
        .unwrap()
}

// Guards against a host that returns to an older sheet because its upstream host has fallen behind
// (G7).
#[tokio::test]
async fn older_view_is_not_applied() {
    let host = 4;
    let mut cluster = Cluster::new(&[host]);
    let mut settings = cluster.settings(host);
    settings.voters.truncate(1);
    settings.hosts.retain(|member| member.id == host);
    let _voter = stale_voter(settings.voters[0].address).await;
    let handle = control::spawn(settings).unwrap();
    cluster.running.insert(host, handle.clone());
    let mut published = handle.published();
    let mut last = None;
    while last < Some(6) {
        published.changed().await.unwrap();
        let shown = sheet_number(&published.borrow_and_update());
        assert!(shown >= last, "{shown:?} after {last:?}");
        last = shown;
    }
}
