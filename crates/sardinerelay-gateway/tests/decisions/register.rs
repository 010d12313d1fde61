//! The replicated register, in which the highest version wins.

use {
    sardinerelay_gateway::group::register::{Command, Document, Exclusion, Kind, Register},
    serde::{Deserialize, Serialize},
    std::time::{Duration, SystemTime},
};

fn submit(register: &mut Register, version: u64, body: &'static str) -> u64 {
    register.apply(Command::Submit(Document {
        version,
        body: body.into(),
    }))
}

fn body(register: &Register) -> &[u8] {
    let newest = register.newest.as_ref();
    newest.map_or(&[][..], |document| &document.body)
}

#[test]
fn a_higher_version_replaces_a_lower_one() {
    let mut register = Register::default();
    assert_eq!(submit(&mut register, 3, "three"), 3);
    assert_eq!(submit(&mut register, 9, "nine"), 9);
    assert_eq!(body(&register), b"nine");
}

#[test]
fn an_older_version_is_accepted_and_changes_nothing() {
    let mut register = Register::default();
    submit(&mut register, 9, "nine");
    assert_eq!(submit(&mut register, 3, "three"), 9);
    assert_eq!(body(&register), b"nine");
}

#[test]
fn other_content_under_the_stored_version_changes_nothing() {
    let mut register = Register::default();
    submit(&mut register, 9, "first");
    assert_eq!(submit(&mut register, 9, "second"), 9);
    assert_eq!(body(&register), b"first");
}

#[test]
fn the_number_of_voters_only_grows() {
    let mut register = Register::default();
    register.apply(Command::Grow(5));
    register.apply(Command::Grow(4));
    assert_eq!(register.desired_voters, 5);
}

/// A command as replicas of earlier versions know it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierCommand {
    Submit(Document),
    Grow(u32),
}

/// The register as replicas of earlier versions know it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierRegister {
    newest: Option<Document>,
    voters: u32,
}

fn exclusion(kind: Kind, subject: u64, seconds: u64) -> Exclusion {
    let now = SystemTime::UNIX_EPOCH;
    Exclusion::ending_in(kind, subject, Duration::from_secs(seconds), now)
}

#[test]
fn exclusions_are_kept_beside_the_configuration_and_end_at_the_latest_time() {
    let mut register = Register::default();
    submit(&mut register, 3, "three");
    let part = exclusion(Kind::Part, 7, 60);
    let request = exclusion(Kind::Request, 7, 40);
    assert_eq!(register.apply(Command::Exclude(vec![part, request])), 3);
    let shorter = exclusion(Kind::Part, 7, 10);
    register.apply(Command::Exclude(vec![shorter]));
    assert_eq!(register.exclusions, [part, request]);
    assert_eq!(body(&register), b"three");
}

#[test]
fn the_number_of_exclusions_is_bounded_and_the_last_to_end_stay() {
    let mut register = Register::default();
    for subject in 0..2000 {
        register.apply(Command::Exclude(vec![exclusion(
            Kind::Part,
            subject,
            subject,
        )]));
    }
    assert_eq!(register.exclusions.len(), 512);
    let first = register.exclusions.iter().map(|kept| kept.subject).min();
    assert_eq!(first, Some(2000 - 512));
}

#[test]
fn commands_are_read_as_they_were_written() {
    let document = Document {
        version: 4,
        body: "four".into(),
    };
    let commands = [
        Command::Submit(document),
        Command::Grow(5),
        Command::Exclude(vec![exclusion(Kind::Request, u64::MAX, 600)]),
    ];
    for command in commands {
        let encoded = command.clone().encode().expect("a command can be encoded");
        assert_eq!(Command::decode(&encoded).expect("it can be read"), command);
    }
}

#[test]
fn a_replica_of_an_earlier_version_reads_exclusions_as_a_submission_that_changes_nothing() {
    let command = Command::Exclude(vec![exclusion(Kind::Part, 1, 600)]);
    let encoded = command.encode().expect("a command can be encoded");
    let earlier = postcard::from_bytes(&encoded).expect("an earlier version reads it");
    assert!(matches!(
        earlier,
        EarlierCommand::Submit(Document { version: 0, .. })
    ));
    let grow = Command::Grow(5).encode().expect("a command can be encoded");
    let grow: EarlierCommand = postcard::from_bytes(&grow).expect("an earlier version reads it");
    assert_eq!(grow, EarlierCommand::Grow(5));
}

#[test]
fn snapshots_are_read_across_versions() {
    let mut register = Register::default();
    submit(&mut register, 9, "nine");
    register.apply(Command::Grow(5));
    let earlier = EarlierRegister {
        newest: register.newest.clone(),
        voters: 5,
    };
    let written = postcard::to_stdvec(&earlier).expect("a snapshot can be encoded");
    let read: Register = postcard::from_bytes(&written).expect("a later version reads it");
    assert_eq!(read, register);
    register.apply(Command::Exclude(vec![exclusion(Kind::Part, 1, 600)]));
    let written = postcard::to_stdvec(&register).expect("a snapshot can be encoded");
    let read: EarlierRegister =
        postcard::from_bytes(&written).expect("an earlier version reads it");
    assert_eq!(read, earlier);
}

/// A log may hold a submission with version 0, which earlier versions accepted and ignored.
#[test]
fn a_configuration_with_version_0_is_no_exclusion() {
    let submitted = EarlierCommand::Submit(Document {
        version: 0,
        body: "{\"version\":0}".into(),
    });
    let encoded = postcard::to_stdvec(&submitted).expect("a command can be encoded");
    let decoded = Command::decode(&encoded).expect("it can be read");
    assert_eq!(decoded, Command::Exclude(Vec::new()));
}
