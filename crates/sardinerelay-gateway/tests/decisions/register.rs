//! The replicated register, in which the highest version wins.

use sardinerelay_gateway::group::register::{Command, Document, Register};

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
