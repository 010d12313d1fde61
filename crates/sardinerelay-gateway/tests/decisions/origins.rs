//! The record of streams on disk.

use {
    rstest::rstest,
    sardinerelay_gateway::origin::{Began, file::Records},
    std::{fs, time::Duration},
    tempfile::TempDir,
};

fn began(stream: &str, lifetime: Duration) -> Began {
    Began {
        stream: stream.into(),
        build: "v1".into(),
        lifetime,
    }
}

fn streams(records: &[Began]) -> Vec<&str> {
    records.iter().map(|began| began.stream.as_str()).collect()
}

const LONG: Duration = Duration::from_secs(60);

#[test]
fn streams_that_may_be_taken_up_are_read_again() {
    let directory = TempDir::new().expect("a directory");
    let (mut records, known) = Records::open(directory.path()).expect("a file");
    assert!(known.is_empty());
    let short = began("short", Duration::from_millis(1));
    records.append(&[began("a", LONG), short]).expect("room");
    records.append(&[began("b", LONG)]).expect("room");
    std::thread::sleep(Duration::from_millis(5));
    let (mut records, known) = Records::open(directory.path()).expect("a file");
    assert_eq!(streams(&known), ["a", "b"]);
    assert!(known[0].lifetime <= LONG);
    records.replace(&known[1..]).expect("room");
    records.append(&[began("c", LONG)]).expect("room");
    let (_, known) = Records::open(directory.path()).expect("a file");
    assert_eq!(streams(&known), ["b", "c"]);
}

/// Guards against a file that is of no use after a loss of power in the middle of a write.
#[rstest]
#[case::cut(|bytes: &mut Vec<u8>| { bytes.pop(); })]
#[case::garbage(|bytes: &mut Vec<u8>| bytes.extend([255; 40]))]
fn streams_behind_a_torn_one_are_lost(#[case] tear: fn(&mut Vec<u8>)) {
    let directory = TempDir::new().expect("a directory");
    let (mut records, _) = Records::open(directory.path()).expect("a file");
    records
        .append(&[began("a", LONG), began("b", LONG)])
        .expect("room");
    let path = directory.path().join("streams");
    let mut bytes = fs::read(&path).expect("the file");
    tear(&mut bytes);
    fs::write(&path, bytes).expect("room");
    let (mut records, known) = Records::open(directory.path()).expect("a file");
    assert!(streams(&known).starts_with(&["a"]), "{known:?}");
    records.append(&[began("c", LONG)]).expect("room");
    let (_, known) = Records::open(directory.path()).expect("a file");
    assert_eq!(streams(&known).last(), Some(&"c"));
}
