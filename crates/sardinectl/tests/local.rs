//! Tests of commands that need no server.

use {
    rstest::rstest,
    sardinerelay::refusal_code::TABLE,
    std::{
        io::Write,
        process::{Command, Output, Stdio},
    },
};

fn run(arguments: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sardinectl"))
        .env_clear()
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // A command that fails early does not read its input, so the write may fail.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().unwrap()
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

/// Guards against a line break that is hashed as part of the key, whose digest would never match.
#[rstest]
#[case("abc", 0)]
#[case("abc\n", 0)]
#[case("abc\r\n", 0)]
#[case("", 1)]
#[case("\n", 1)]
#[case("a b", 1)]
#[case("ab\nc", 1)]
fn key_hash_is_the_digest_of_the_key_alone(#[case] input: &str, #[case] code: i32) {
    let output = run(&["key", "hash"], input);
    assert_eq!(output.status.code(), Some(code));
    let digest = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad\n";
    assert_eq!(stdout(&output), if code == 0 { digest } else { "" });
}

/// Guards against a refusal code that operators can't look up.
#[test]
fn every_refusal_code_is_explained() {
    let all = stdout(&run(&["explain", "--all"], ""));
    for entry in TABLE {
        let output = run(&["explain", entry.text], "");
        assert!(output.status.success());
        assert!(stdout(&output).contains(entry.advice));
        assert!(all.contains(entry.meaning));
        let json: serde_json::Value =
            serde_json::from_slice(&run(&["--json", "explain", entry.text], "").stdout).unwrap();
        assert_eq!(json["code"], entry.text);
        assert_eq!(json["status"], entry.status);
        assert_eq!(json["run"], entry.run.as_str());
        assert_eq!(json["retry"], entry.retry.as_str());
    }
}

/// Guards against wrong arguments that exit with the code of another failure.
#[rstest]
#[case(&["explain", "no_such_code"])]
#[case(&["explain"])]
#[case(&["hosts"])]
#[case(&["hosts", "--server", "nowhere"])]
#[case(&["hosts", "--server", "http://10.0.0.1:80"])]
#[case(&["hosts", "--server", "10.0.0.1:99999"])]
#[case(&["stop", "host", "engine-a1"])]
#[case(&["sheet", "submit", "--proposal", "7", "x.toml"])]
fn wrong_arguments_are_usage_errors(#[case] arguments: &[&str]) {
    let output = run(arguments, "");
    assert_eq!(output.status.code(), Some(2));
    assert!(!output.stderr.is_empty());
}

/// Guards against unreadable files that cause a panic or the wrong exit code.
#[test]
fn unreadable_sheets_are_reported() {
    let check = ["sheet", "check", "-"];
    assert_eq!(
        run(&["sheet", "check", "/no/such/file"], "").status.code(),
        Some(1)
    );
    assert_eq!(run(&check, "number = ").status.code(), Some(3));
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("latin-1.toml");
    std::fs::write(&file, b"number = 1 # \xe9\n").unwrap();
    let output = run(&["sheet", "check", file.to_str().unwrap()], "");
    assert_eq!(output.status.code(), Some(3));
    let long = "é".repeat(sardinerelay::sheet::limit::MAX_FILE_BYTES);
    let output = run(&check, &long);
    assert!(
        stdout(&output).contains("the limit is 4194304"),
        "{}",
        stdout(&output)
    );
}

/// Guards against an empty completion script.
#[test]
fn completions_name_the_commands() {
    for shell in ["bash", "zsh", "fish"] {
        let output = run(&["completions", shell], "");
        assert!(output.status.success());
        assert!(stdout(&output).contains("organisations"));
    }
}

/// Guards against a help text without exit codes and examples, and a documentation page that lacks
/// an exit code.
#[test]
fn help_states_exit_codes_and_examples() {
    let help = stdout(&run(&["--help"], ""));
    assert!(help.contains("Exit codes:") && help.contains("130  interrupted"));
    assert!(help.contains("Examples:"));
    let page = include_str!("../../../docs/SARDINECTL.md");
    for code in [0, 1, 2, 3, 4, 5, 6, 7, 8, 130] {
        assert!(help.contains(&format!("\n  {code:<5}")), "{code} in {help}");
        assert!(
            page.contains(&format!("\n| {code} | ")),
            "{code} on the page"
        );
    }
    assert!(stdout(&run(&["sheet", "submit", "--help"], "")).contains("--proposal"));
}
