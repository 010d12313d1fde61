//! Facts that outlive a restart.

use {
    sardinerelay::wal::{Mark, Volume},
    tempfile::TempDir,
};

#[test]
fn a_mark_is_kept_until_it_is_cleared() {
    let directory = TempDir::new().expect("a directory");
    let path = directory.path().join("not made yet").join("fact");
    let mark = || Mark::new(Volume::default(), path.clone());
    assert!(!mark().is_set().expect("it can be read"));
    mark().clear().expect("nothing to clear");
    mark().set().expect("there is room");
    mark().set().expect("it is set already");
    assert!(mark().is_set().expect("it can be read"));
    mark().clear().expect("it can be cleared");
    assert!(!mark().is_set().expect("it can be read"));
}

#[test]
fn a_mark_that_finds_no_room_is_not_set() {
    let directory = TempDir::new().expect("a directory");
    let full = Volume::limited_by(|_| 0);
    let mark = Mark::new(full, directory.path().join("fact"));
    mark.set().expect_err("there is no room");
    assert!(!mark.is_set().expect("it can be read"));
}
