//! Tests of the tool against a fake operator server.

#[path = "operator/fake.rs"]
mod fake;

use {
    fake::{
        closed, cut_before_answer, digest, json, lock, new_group, run, sardinectl, start, stderr,
        stdout,
    },
    jsonrpsee::types::error::{INTERNAL_ERROR_CODE, METHOD_NOT_FOUND_CODE},
    rstest::rstest,
    sardinerelay::operator::ErrorCode,
    serde_json::json,
    std::{
        fs,
        io::{Read, Write},
        net::TcpListener,
        path::PathBuf,
        process::{Command, Output, Stdio},
        thread,
        time::Duration,
    },
    tempfile::TempDir,
    uuid::Uuid,
};

const BRAKELINE: &str = include_str!("../../../examples/brakeline.toml");

/// A fixed proposal id.
const PROPOSAL: &str = "01990000-0000-7000-8000-000000000001";

fn code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

/// Writes a sheet to a file in a temporary directory.
fn sheet_file(toml: &str) -> (TempDir, PathBuf) {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("morning.toml");
    fs::write(&file, toml).unwrap();
    (directory, file)
}

/// Guards against giving up after the first server: one that refuses connections, or one that
/// accepts them and never answers.
#[rstest]
fn next_server_answers(#[values(false, true)] silent: bool) {
    let group = new_group();
    let fake = start(&group);
    let closed = closed();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let first = match silent {
        true => listener.local_addr().unwrap(),
        false => closed.address,
    };
    let output = run(&[first, fake.address], &["hosts", "--timeout", "5s", "-v"]);
    assert_eq!(code(&output), 0, "{}", stderr(&output));
    assert!(stdout(&output).contains("lakes-a"));
    assert!(stderr(&output).contains(&first.to_string()));
}

/// Guards against an unreachable group that is reported as a different failure.
#[test]
fn no_server_answers() {
    let closed = [closed(), closed()];
    let servers = closed.each_ref().map(|server| server.address);
    let output = run(&servers, &["--json", "targets"]);
    assert_eq!(code(&output), 5);
    assert_eq!(json(&output)["error"]["exit_code"], 5);
    let message = stderr(&output);
    assert!(
        servers
            .iter()
            .all(|server| message.contains(&server.to_string()))
    );
    assert_eq!(code(&run(&servers, &["health"])), 5);
}

/// Guards against resending a sheet under a new proposal id after a lost answer, so that it would
/// conflict with itself.
#[test]
fn lost_answer_is_resent_to_the_next_server() {
    let group = new_group();
    let fake = start(&group);
    let servers = [cut_before_answer(fake.address), fake.address];
    let (_directory, file) = sheet_file(BRAKELINE);
    let output = run(&servers, &["sheet", "submit", file.to_str().unwrap()]);
    assert_eq!(code(&output), 0, "{}", stderr(&output));
    let group = lock(&group);
    let proposals: Vec<_> = group.submissions.iter().map(|sent| sent.proposal).collect();
    assert_eq!(proposals.len(), 2);
    assert_eq!(proposals[0], proposals[1]);
    assert_eq!(group.published.len(), 1);
}

/// Guards against a lost answer that is reported as refused, and against a resend that is not
/// accepted.
#[test]
fn lost_answer_of_the_only_server_is_unknown_until_resent() {
    let group = new_group();
    let fake = start(&group);
    let (_directory, file) = sheet_file(BRAKELINE);
    let file = file.to_str().unwrap();
    let submit = ["sheet", "submit", "--no-wait", file];
    let output = run(&[cut_before_answer(fake.address)], &submit);
    assert_eq!(code(&output), 7, "{}", stderr(&output));
    let sent: Uuid = lock(&group).submissions[0].proposal;
    assert!(stderr(&output).contains(&format!("--proposal {sent}")));
    let id = sent.to_string();
    let resend = [&submit[..], &["--proposal", &id]].concat();
    let output = run(&[fake.address], &resend);
    assert_eq!(code(&output), 0, "{}", stderr(&output));
    let digest = digest(BRAKELINE);
    let accepted = format!("accepted: number 2026120401, digest {digest}, version 1\n");
    assert_eq!(stdout(&output), accepted);
}

/// Guards against a sheet with a used or an older number that is reported as accepted.
#[test]
fn conflicts_have_their_own_exit_code() {
    let group = new_group();
    let fake = start(&group);
    let submit = |toml: &str| {
        let (_directory, file) = sheet_file(toml);
        run(
            &[fake.address],
            &["sheet", "submit", "--no-wait", file.to_str().unwrap()],
        )
    };
    assert_eq!(code(&submit(BRAKELINE)), 0);
    let output = submit(&BRAKELINE.replace("2026.11.2", "2026.11.3"));
    assert_eq!(code(&output), 4);
    assert!(stdout(&output).starts_with("conflict: number 2026120401 belongs to another sheet"));
    let output = submit(&BRAKELINE.replace("number = 2026120401", "number = 2026120301"));
    assert_eq!(code(&output), 4);
    assert!(stdout(&output).starts_with("outdated: "));
}

/// Guards against sending a sheet with errors to a server, and against reporting only the first
/// error.
#[test]
fn invalid_sheet_is_reported_whole_and_not_sent() {
    let group = new_group();
    let fake = start(&group);
    let toml = BRAKELINE
        .replace("priority = 0", "priority = 700")
        .replace("\"/shop\"", "\"/v1/shop\"")
        .replace("\"engine-a1\",", "\"engine-x9\",");
    let (_directory, file) = sheet_file(&toml);
    let file = file.to_str().unwrap();
    let output = sardinectl(&["sheet", "check", file]).output().unwrap();
    assert_eq!(code(&output), 3);
    let text = stdout(&output);
    for expected in [
        "error: line 8, column 12: class[0].priority: \"700\" is outside the range 0 to 255",
        "model[0].targets[0]: no target is named \"engine-x9\"",
        "service[0].path: \"/v1/shop\" overlaps the daemon's own path /v1",
        "has 3 errors",
    ] {
        assert!(text.contains(expected), "{text}");
    }
    let output = run(&[fake.address], &["--json", "sheet", "submit", file]);
    assert_eq!(code(&output), 3);
    assert_eq!(
        json(&output)["error"]["faults"].as_array().unwrap().len(),
        3
    );
    assert_eq!(
        json(&output)["error"]["faults"][0]["field"],
        "class[0].priority"
    );
    assert!(lock(&group).submissions.is_empty());
}

/// Guards against a change of the JSON output, which would break programs that read it.
#[test]
fn json_output_is_stable() {
    let group = new_group();
    lock(&group).reachable_hosts = 2;
    let fake = start(&group);
    let (_directory, file) = sheet_file(BRAKELINE);
    let submit = [
        "--json",
        "sheet",
        "submit",
        "--proposal",
        PROPOSAL,
        file.to_str().unwrap(),
    ];
    let output = run(&[fake.address], &submit);
    let digest = digest(BRAKELINE);
    assert_eq!(
        json(&output),
        json!({
            "proposal": PROPOSAL,
            "verdict": "accepted", "number": 2026120401, "digest": digest, "version": 1,
            "hosts": { "in_force": 2, "reachable": 2, "listed": 3 },
        })
    );
    let output = run(&[fake.address], &["--json", "hosts"]);
    assert_eq!(
        json(&output)[0],
        json!({
            "host": 1, "zone": "lakes-a", "address": "10.20.1.1:7000", "role": "leader",
            "state": "ready", "streams": 12, "queued": 0, "age_ms": 250,
            "in_force": { "number": 2026120401, "digest": digest, "version": 1 },
        })
    );
    let output = run(&[fake.address], &["--json", "sheet", "show"]);
    assert_eq!(json(&output)["toml"], BRAKELINE);
    assert_eq!(json(&output)["accepted_at_ms"], 1_764_820_800_000_u64);
}

/// Guards against a change of the table format, on which scripts rely.
#[test]
fn tables_are_aligned() {
    let fake = start(&new_group());
    let output = run(&[fake.address], &["hosts"]);
    let expected = "\
HOST  ZONE     ADDRESS         ROLE    STATE  SHEET  STREAMS  QUEUED    AGE
   1  lakes-a  10.20.1.1:7000  leader  ready  -           12       0  250ms
   2  lakes-a  10.20.1.2:7000  entry   ready  -           12       0  250ms
   3  lakes-a  10.20.1.3:7000  entry   ready  -           12       0  250ms
";
    assert_eq!(stdout(&output), expected);
}

/// Guards against a value in the wrong column.
#[rstest]
#[case(
    "targets",
    "engine-a1  lakes-a  10.20.1.11:8000  engine  active        9        1  81000  240000  400ms  bend-planner@2026.11.2"
)]
#[case(
    "organisations",
    "erie-fabrication       41000  600000            30   1200        4       2            0"
)]
#[case(
    "queues",
    "   1  plan          0       2  1s 500ms       20s        4     52000"
)]
fn lists_show_each_value(#[case] command: &str, #[case] row: &str) {
    let fake = start(&new_group());
    let output = run(&[fake.address], &[command]);
    assert_eq!(
        stdout(&output).lines().nth(1),
        Some(row),
        "{}",
        stdout(&output)
    );
    assert_eq!(
        json(&run(&[fake.address], &["--json", command]))
            .as_array()
            .unwrap()
            .len(),
        1
    );
}

/// Guards against a host that is not ready or doesn't answer but is reported as healthy.
#[test]
fn health_asks_every_server() {
    let group = new_group();
    let fake = start(&group);
    let output = run(&[fake.address], &["health"]);
    assert_eq!(code(&output), 0, "{}", stderr(&output));
    let closed = closed();
    let servers = [closed.address, fake.address];
    let output = run(&servers, &["--json", "health"]);
    assert_eq!(code(&output), 1);
    assert!(json(&output)[0]["error"].is_string());
    assert_eq!(json(&output)[1]["health"]["state"], "ready");
    lock(&group).reachable_hosts = 0;
    let output = run(&[fake.address], &["health"]);
    assert_eq!(code(&output), 1);
    assert!(stderr(&output).contains("no confirmed sheet"));
}

/// Guards against a submission that is reported as complete before all reachable hosts have the
/// sheet in force, and one that waits for an unreachable host forever.
#[rstest]
#[case(3, 0, "in force on 3 of 3 reachable hosts\n")]
#[case(2, 0, "in force on 2 of 2 reachable hosts (1 unreachable)\n")]
#[case(0, 8, "")]
fn submission_waits_for_reachable_hosts(
    #[case] reachable: u64,
    #[case] expected: i32,
    #[case] last: &str,
) {
    let group = new_group();
    lock(&group).reachable_hosts = reachable;
    let fake = start(&group);
    let (_directory, file) = sheet_file(BRAKELINE);
    let wait = if expected == 0 { "60s" } else { "1s" };
    let arguments = ["sheet", "submit", "--wait", wait, file.to_str().unwrap()];
    let output = run(&[fake.address], &arguments);
    assert_eq!(code(&output), expected, "{}", stderr(&output));
    assert!(stdout(&output).starts_with("accepted: number 2026120401"));
    assert!(stdout(&output).ends_with(last));
    if expected == 0 {
        assert!(stderr(&output).contains(&format!("in force on 0 of {reachable}")));
    }
}

/// Guards against a check that omits changes from the current sheet.
#[test]
fn check_against_the_server_lists_changes() {
    let group = new_group();
    let fake = start(&group);
    let (_directory, file) = sheet_file(BRAKELINE);
    let submit = ["sheet", "submit", "--no-wait", file.to_str().unwrap()];
    assert_eq!(code(&run(&[fake.address], &submit)), 0);
    let new = BRAKELINE
        .replace("number = 2026120401", "number = 2026120501")
        .replace("2026.11.2", "2026.12.0");
    fs::write(&file, new).unwrap();
    let check = ["sheet", "check", "--against", file.to_str().unwrap()];
    let output = run(&[fake.address], &check);
    assert_eq!(code(&output), 0, "{}", stderr(&output));
    let expected = "2 changes from sheet 2026120401:\n\
                    ~ number: 2026120401 -> 2026120501\n\
                    ~ model \"bend-planner\".version: \"2026.11.2\" -> \"2026.12.0\"\n";
    assert!(stdout(&output).ends_with(expected), "{}", stdout(&output));
    assert_eq!(lock(&group).published.len(), 1);
}

/// Guards against a stop command that returns before the target is drained.
#[test]
fn stop_waits_until_drained() {
    let group = new_group();
    lock(&group).stop_steps = 3;
    let fake = start(&group);
    let output = run(&[fake.address], &["stop", "target", "engine-a1"]);
    assert_eq!(code(&output), 0, "{}", stderr(&output));
    assert_eq!(stdout(&output), "target engine-a1: drained\n");
    let progress = stderr(&output);
    assert!(progress.contains("planned, 3 entry hosts have not confirmed yet"));
    assert!(progress.contains("draining, 1 streams"));
}

/// Guards against a refusal that is reported as an unknown outcome, or the reverse.
#[rstest]
#[case(ErrorCode::NoQuorum.number(), 6)]
#[case(ErrorCode::UnknownName.number(), 6)]
#[case(ErrorCode::MembershipRefused.number(), 6)]
#[case(ErrorCode::Unauthorized.number(), 6)]
#[case(ErrorCode::ProposalReused.number(), 4)]
#[case(ErrorCode::OutcomeUnknown.number(), 7)]
#[case(ErrorCode::Internal.number(), 7)]
#[case(INTERNAL_ERROR_CODE, 7)]
#[case(METHOD_NOT_FOUND_CODE, 6)]
fn errors_have_exit_codes(#[case] error: i32, #[case] expected: i32) {
    let group = new_group();
    lock(&group).error = Some(error);
    let fake = start(&group);
    let output = run(&[fake.address], &["stop", "host", "3"]);
    assert_eq!(code(&output), expected, "{}", stderr(&output));
    assert!(stderr(&output).contains("on request"));
}

/// Guards against a secret that is not sent or is logged, and against a rejected secret that is
/// reported as an unreachable server.
#[test]
fn secret_is_sent_as_bearer_token() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let (mut connection, _) = listener.accept().unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            connection.read_exact(&mut byte).unwrap();
            request.push(byte[0]);
        }
        let refusal = "HTTP/1.1 401 Unauthorized\r\ncontent-length: 0\r\n\r\n";
        connection.write_all(refusal.as_bytes()).unwrap();
        String::from_utf8(request).unwrap()
    });
    let directory = tempfile::tempdir().unwrap();
    let secret = directory.path().join("secret");
    fs::write(&secret, "hunter2\n").unwrap();
    let output = run(
        &[address],
        &["hosts", "--secret-file", secret.to_str().unwrap()],
    );
    assert_eq!(code(&output), 6, "{}", stderr(&output));
    assert!(
        server
            .join()
            .unwrap()
            .contains("authorization: Bearer hunter2\r\n")
    );
    assert!(!stderr(&output).contains("hunter2"));
}

/// Guards against an interrupt that is reported as success or as a failure.
#[test]
fn interrupt_has_its_own_exit_code() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let server = silent.local_addr().unwrap().to_string();
    let mut child = sardinectl(&["hosts"])
        .env("SARDINECTL_SERVER", server)
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    silent.set_nonblocking(true).unwrap();
    let (mut connection, _) = loop {
        match silent.accept() {
            Ok(connection) => break connection,
            Err(_) => assert_eq!(
                child.try_wait().unwrap(),
                None,
                "the tool exited before it connected"
            ),
        }
        thread::sleep(Duration::from_millis(10));
    };
    // The signal handler is installed before the tool sends its first byte.
    connection.set_nonblocking(false).unwrap();
    connection.read_exact(&mut [0]).unwrap();
    let kill = format!("kill -INT {}", child.id());
    assert!(
        Command::new("/bin/sh")
            .args(["-c", &kill])
            .status()
            .unwrap()
            .success()
    );
    assert_eq!(child.wait().unwrap().code(), Some(130));
}
