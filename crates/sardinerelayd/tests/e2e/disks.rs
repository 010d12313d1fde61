//! Lost and damaged disks of voters (G4, G7): no replica votes twice in a term, and the group keeps
//! its quorum.

use {
    crate::{
        calls::{place_order, run_count, start_service},
        harness::{
            Cluster, Process, WAIT_TIMEOUT, binary_path, eventually, free_address,
            sheet_number_in_force, test_sheet,
        },
    },
    jsonrpsee::core::client::Error,
    sardinerelay::operator::{ErrorCode, Verdict, Voters},
    serde_json::{Value, json},
    std::{
        fs::{self, File},
        path::PathBuf,
        process::{Command, Stdio},
        thread,
        time::{Duration, Instant},
    },
    uuid::Uuid,
};

/// Exit code of a daemon that refuses its data directory.
const DATA_EXIT_CODE: i32 = 4;

/// Position of the first spare host.
const SPARE_POSITION: usize = 3;

/// Starts three voters and puts a sheet in force. Hosts 4 and 5 are spares: listed and with a disk,
/// but not started.
async fn start_cluster(service: &Process) -> Cluster {
    let mut cluster = Cluster::new(5, 3, &["--bootstrap"]);
    let directory = cluster.directory.path().to_owned();
    for spare in &mut cluster.hosts[SPARE_POSITION..] {
        spare.data = Some(directory.join(format!("data-{}", spare.id)));
        spare.arguments.insert(0, "--learner".to_owned());
    }
    (0..SPARE_POSITION).for_each(|position| cluster.start_host(position));
    cluster
        .put_in_force(&test_sheet(1, &[], &[service.address]))
        .await;
    cluster
}

/// Runs a command until it exits by itself. Returns its exit code and its log. Panics after
/// [`WAIT_TIMEOUT`].
fn run_to_exit(cluster: &Cluster, mut command: Command) -> (i32, String) {
    let path = cluster.directory.path().join("refused.log");
    let log = File::create(&path).expect("the log can be created");
    let mut child = command
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
        .expect("the binary starts");
    let start = Instant::now();
    loop {
        if let Some(status) = child.try_wait().expect("the child can be waited for") {
            let text = fs::read_to_string(&path).expect("the log is text");
            return (status.code().expect("an exit code"), text);
        }
        if start.elapsed() > WAIT_TIMEOUT {
            let _ = child.kill();
            let _ = child.wait();
            panic!("the daemon did not exit");
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// The command that starts a host, with these flags in place of `--bootstrap` and `--learner`.
fn command_with_flags(cluster: &mut Cluster, position: usize, flags: &[&str]) -> Command {
    let arguments = &mut cluster.hosts[position].arguments;
    arguments.retain(|argument| argument != "--bootstrap" && argument != "--learner");
    let mut command = cluster.command(position);
    command.args(flags);
    command
}

/// Runs `sardinectl` against the running hosts. Returns its exit code, stdout and stderr.
fn sardinectl(cluster: &Cluster, arguments: &[&str]) -> (i32, String, String) {
    let running = cluster.hosts.iter().filter(|host| host.process.is_some());
    let servers: Vec<String> = running.map(|host| host.operator.to_string()).collect();
    let output = Command::new(binary_path("sardinectl"))
        .arg("--server")
        .arg(servers.join(","))
        .arg("--secret-file")
        .arg(cluster.secret_file())
        .args(["--timeout", "20s"])
        .args(arguments)
        .output()
        .expect("sardinectl runs");
    (
        output.status.code().expect("an exit code"),
        String::from_utf8_lossy(&output.stdout).into_owned(),
        String::from_utf8_lossy(&output.stderr).into_owned(),
    )
}

/// Kills a host and removes its data directory.
fn lose_disk(cluster: &mut Cluster, position: usize) {
    cluster.kill(position);
    let data = cluster.hosts[position].data.as_ref().expect("a voter");
    fs::remove_dir_all(data).expect("the data directory can be removed");
}

/// The group's members as one host reports them. `None` if it can't.
async fn fetch_voters(cluster: &Cluster, position: usize) -> Option<Voters> {
    let answer = cluster
        .call_operator(position, "voters", Value::Null)
        .await
        .ok()?;
    serde_json::from_value(answer).ok()
}

/// The host numbers of the voters and of the learners.
fn voter_and_learner_ids(voters: &Voters) -> (Vec<u64>, Vec<u64>) {
    let numbers = |votes: bool| {
        let rows = voters.members.iter().filter(|row| row.votes == votes);
        rows.map(|row| row.host).collect()
    };
    (numbers(true), numbers(false))
}

/// Resends a call with an idempotency key until it succeeds. Returns the body of the answer.
async fn order_until_answered(cluster: &Cluster, position: usize, id: &str) -> String {
    eventually("the keyed call is answered", async || {
        place_order(cluster.listen_address(position), "brakeline", id, "punch 7")
            .await
            .0
            == 200
    })
    .await;
    place_order(cluster.listen_address(position), "brakeline", id, "punch 7")
        .await
        .2
}

/// Replaces a voter with `sardinectl`. Repeats the command while no leader answers, as an operator
/// would.
async fn replace_voter(cluster: &Cluster, old: &str, new: &str) {
    eventually("the voter is replaced", async || {
        let (code, text, stderr) = sardinectl(cluster, &["voters", "replace", old, new]);
        if code != 0 {
            assert!(stderr.contains("answer"), "{code}: {text}{stderr}");
            return false;
        }
        let done = format!("host {new} votes in place of host {old}\n");
        assert_eq!(text, done, "{stderr}");
        true
    })
    .await;
}

/// Guards against a voter that votes again after it lost its disk, and against a replacement after
/// which the group does not survive the loss of another voter.
#[tokio::test]
async fn a_repaired_group_survives_the_next_loss() {
    let service = start_service(&[]);
    let mut cluster = start_cluster(&service).await;
    let early = Uuid::now_v7().to_string();
    let first = order_until_answered(&cluster, 0, &early).await;
    lose_disk(&mut cluster, 2);
    for flags in [&["--bootstrap"][..], &[], &["--learner"]] {
        let command = command_with_flags(&mut cluster, 2, flags);
        let (code, log) = run_to_exit(&cluster, command);
        assert_eq!(code, DATA_EXIT_CODE, "{flags:?}: {log}");
        assert!(log.contains("learner"), "{flags:?}: {log}");
        let id = Uuid::now_v7().to_string();
        order_until_answered(&cluster, 0, &id).await;
        assert_eq!(run_count(&service, &id).await, 1);
    }
    cluster.start_host(SPARE_POSITION);
    replace_voter(&cluster, "3", "4").await;
    replace_voter(&cluster, "3", "4").await;
    let (code, text, stderr) = sardinectl(&cluster, &["--json", "voters"]);
    assert_eq!(code, 0, "{stderr}");
    let listed: Voters = serde_json::from_str(&text).expect("the list is JSON");
    assert_eq!(voter_and_learner_ids(&listed), (vec![1, 2, 4], vec![]));
    assert!(listed.committed);

    cluster.kill(1);
    for position in [0, SPARE_POSITION] {
        assert_eq!(
            order_until_answered(&cluster, position, &early).await,
            first
        );
    }
    assert_eq!(run_count(&service, &early).await, 1);
    let late = Uuid::now_v7().to_string();
    order_until_answered(&cluster, SPARE_POSITION, &late).await;
    assert_eq!(run_count(&service, &late).await, 1);
    cluster
        .put_in_force(&test_sheet(2, &[], &[service.address]))
        .await;
    // The new voter keeps across a restart what it acknowledged.
    cluster.kill(SPARE_POSITION);
    cluster.start_host(SPARE_POSITION);
    assert_eq!(
        order_until_answered(&cluster, SPARE_POSITION, &early).await,
        first
    );
    let operator = cluster.hosts[SPARE_POSITION].operator;
    eventually("the sheet is in force again", async || {
        sheet_number_in_force(operator).await == Some(2)
    })
    .await;
}

/// Guards against diverging logs, a lost change and a replacement that hangs when a second voter is
/// lost while the new one is still a learner.
#[tokio::test]
async fn a_second_loss_during_the_repair_stops_the_group_until_the_host_returns() {
    let service = start_service(&[]);
    let mut cluster = start_cluster(&service).await;
    let early = Uuid::now_v7().to_string();
    let first = order_until_answered(&cluster, 0, &early).await;
    lose_disk(&mut cluster, 2);
    cluster.start_host(SPARE_POSITION);
    add_learner(&cluster).await;
    cluster.kill(1);
    let stalled = Uuid::now_v7().to_string();
    eventually("the remaining voter refuses calls", async || {
        place_order(cluster.listen_address(0), "brakeline", &stalled, "punch 7")
            .await
            .1
            == "no_quorum"
    })
    .await;
    // Without a quorum, no step may be committed or reported as the last one.
    eventually("the replacement stops for lack of a leader", async || {
        let request = json!({ "old": 3, "new": 4 });
        let answer = cluster.call_operator(0, "voters.replace", request).await;
        assert!(
            !matches!(&answer, Ok(progress) if progress["stage"] == "done"),
            "{answer:?}"
        );
        answer.is_err()
    })
    .await;
    assert_eq!(run_count(&service, &stalled).await, 0);
    cluster.start_host(1);
    replace_voter(&cluster, "3", "4").await;
    assert_eq!(order_until_answered(&cluster, 1, &early).await, first);
    order_until_answered(&cluster, 0, &stalled).await;
    assert_eq!(run_count(&service, &early).await, 1);
    assert_eq!(run_count(&service, &stalled).await, 1);
    let proposal = Uuid::new_v4();
    let next = test_sheet(2, &[], &[service.address]);
    for position in [0, 1] {
        let verdict = cluster.submit(position, &next, proposal).await;
        assert!(
            matches!(verdict, Ok(Verdict::Accepted(version)) if version.number == 2),
            "{verdict:?}"
        );
    }
}

/// Begins to replace host 3 by host 4, and waits until host 4 is a committed learner.
async fn add_learner(cluster: &Cluster) {
    let request = json!({ "old": 3, "new": 4 });
    eventually("the replacement begins", async || {
        cluster
            .call_operator(0, "voters.replace", request.clone())
            .await
            .is_ok()
    })
    .await;
    eventually("the learner is a committed member", async || {
        fetch_voters(cluster, 0).await.is_some_and(|voters| {
            voters.committed && voter_and_learner_ids(&voters) == (vec![1, 2, 3], vec![4])
        })
    })
    .await;
}

/// Guards against a learner that returns under its number after it lost its disk and counts as a
/// holder of entries that it no longer has. Also guards against a replacement that hangs without
/// that learner.
#[tokio::test]
async fn a_learner_that_lost_its_disk_is_refused_and_another_takes_its_place() {
    let service = start_service(&[]);
    let mut cluster = start_cluster(&service).await;
    lose_disk(&mut cluster, 2);
    cluster.start_host(SPARE_POSITION);
    add_learner(&cluster).await;
    lose_disk(&mut cluster, SPARE_POSITION);
    let command = cluster.command(SPARE_POSITION);
    let (code, log) = run_to_exit(&cluster, command);
    assert_eq!(code, DATA_EXIT_CODE, "{log}");
    assert!(log.contains("member of the group already"), "{log}");
    cluster.start_host(SPARE_POSITION + 1);
    replace_voter(&cluster, "3", "5").await;
    let listed = fetch_voters(&cluster, 0).await.expect("a leader answers");
    assert_eq!(voter_and_learner_ids(&listed), (vec![1, 2, 5], vec![4]));
    cluster.kill(1);
    let id = Uuid::now_v7().to_string();
    order_until_answered(&cluster, 0, &id).await;
    assert_eq!(run_count(&service, &id).await, 1);
}

/// Guards against a replacement that no other leader than the one that began it can finish.
#[tokio::test]
async fn a_replacement_continues_after_its_leader_was_killed() {
    let service = start_service(&[]);
    let mut cluster = start_cluster(&service).await;
    let early = Uuid::now_v7().to_string();
    let first = order_until_answered(&cluster, 0, &early).await;
    cluster.start_host(SPARE_POSITION);
    add_learner(&cluster).await;
    let leader = fetch_voters(&cluster, 0)
        .await
        .expect("a leader answers")
        .leader;
    cluster.kill(leader as usize - 1);
    replace_voter(&cluster, "3", "4").await;
    let after = fetch_voters(&cluster, SPARE_POSITION)
        .await
        .expect("a leader answers");
    assert_eq!(voter_and_learner_ids(&after), (vec![1, 2, 4], vec![]));
    assert_eq!(
        order_until_answered(&cluster, SPARE_POSITION, &early).await,
        first
    );
    assert_eq!(run_count(&service, &early).await, 1);
}

/// Guards against a replacement of the leader that hangs or removes it while it leads. Also guards
/// against membership changes that leave too few voters.
#[tokio::test]
async fn replacing_the_leader_continues_under_the_next_leader() {
    let service = start_service(&[]);
    let mut cluster = start_cluster(&service).await;
    cluster.start_host(SPARE_POSITION);
    let listed = fetch_voters(&cluster, 0).await.expect("a leader answers");
    let old = listed.leader;
    let other = old % 3 + 1;
    for (old, new) in [(old, old), (9, 4), (old, other), (old, 9)] {
        let request = json!({ "old": old, "new": new });
        let answer = cluster.call_operator(0, "voters.replace", request).await;
        let Err(Error::Call(refusal)) = answer else {
            panic!("replacing {old} by {new} was not refused: {answer:?}");
        };
        assert_eq!(refusal.code(), ErrorCode::MembershipRefused.number());
    }
    replace_voter(&cluster, &old.to_string(), "4").await;
    let position = other as usize - 1;
    let after = fetch_voters(&cluster, position)
        .await
        .expect("a leader answers");
    assert_ne!(after.leader, old);
    let (votes, learners) = voter_and_learner_ids(&after);
    assert!(!votes.contains(&old) && votes.contains(&4) && votes.len() == 3);
    assert!(learners.is_empty());
    cluster.kill(old as usize - 1);
    let id = Uuid::now_v7().to_string();
    order_until_answered(&cluster, position, &id).await;
    assert_eq!(run_count(&service, &id).await, 1);
}

/// Guards against a replica that starts although entries of its log are lost, and against a group
/// that stops because one voter's log is damaged.
#[tokio::test]
async fn damage_in_the_middle_of_the_log_is_refused_while_the_others_go_on() {
    let service = start_service(&[]);
    let mut cluster = start_cluster(&service).await;
    for number in 2..6 {
        cluster
            .put_in_force(&test_sheet(number, &[], &[service.address]))
            .await;
    }
    cluster.kill(2);
    let path = log_segment_path(&cluster, 2);
    let mut bytes = fs::read(&path).expect("the log can be read");
    let middle = bytes.len() / 3;
    bytes[middle] ^= 0x40;
    fs::write(&path, bytes).expect("the log can be written");
    let command = cluster.command(2);
    let (code, log) = run_to_exit(&cluster, command);
    assert_eq!(code, DATA_EXIT_CODE, "{log}");
    assert!(log.contains("is damaged at byte"), "{log}");
    let id = Uuid::now_v7().to_string();
    order_until_answered(&cluster, 0, &id).await;
    assert_eq!(run_count(&service, &id).await, 1);
    cluster
        .put_in_force(&test_sheet(6, &[], &[service.address]))
        .await;
}

/// The path of the log segment. It is the replica's largest file as long as the state is small.
fn log_segment_path(cluster: &Cluster, position: usize) -> PathBuf {
    let data = cluster.hosts[position].data.as_ref().expect("a voter");
    let files = fs::read_dir(data.join("replica")).expect("the replica's directory");
    let files = files.map(|file| file.expect("an entry"));
    files
        .max_by_key(|file| file.metadata().expect("metadata").len())
        .expect("a file")
        .path()
}

/// Guards against two daemons that write to the same log.
#[tokio::test]
async fn a_second_daemon_on_the_same_data_directory_is_refused() {
    let service = start_service(&[]);
    let mut cluster = start_cluster(&service).await;
    let arguments = cluster.hosts[0].arguments.clone();
    for flag in ["--peer-listen", "--operator-listen"] {
        let arguments = &mut cluster.hosts[0].arguments;
        let index = arguments.iter().position(|argument| argument == flag);
        arguments[index.expect("the flag is given") + 1] = free_address().to_string();
    }
    let voter = format!("1,lakes-a,{}", cluster.hosts[0].peer);
    let own_entry = cluster.hosts[0]
        .arguments
        .iter()
        .position(|argument| *argument == voter)
        .expect("the host is listed");
    let address = cluster.hosts[0]
        .arguments
        .iter()
        .skip_while(|argument| *argument != "--peer-listen")
        .nth(1)
        .expect("an address")
        .clone();
    cluster.hosts[0].arguments[own_entry] = format!("1,lakes-a,{address}");
    let command = cluster.command(0);
    let (code, log) = run_to_exit(&cluster, command);
    assert_eq!(code, DATA_EXIT_CODE, "{log}");
    assert!(log.contains("used by another process"), "{log}");
    cluster.hosts[0].arguments = arguments;
    let id = Uuid::now_v7().to_string();
    order_until_answered(&cluster, 0, &id).await;
    assert_eq!(run_count(&service, &id).await, 1);
}
