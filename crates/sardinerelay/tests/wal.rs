//! Recovery of the write-ahead log after truncation, damage, failed writes, full disks and crashes.

mod wal {
    mod full_disk;
    mod mark;
}

use {
    bytes::Bytes,
    proptest::{collection::vec, prelude::*},
    sardinerelay::{
        raft::{DurableState, Entry, HardState, Payload, Persist, Position, Snapshot},
        wal::{Error, Identity, Limits, Recovered, Store},
    },
    std::{
        fs,
        path::{Path, PathBuf},
    },
    tempfile::TempDir,
    uuid::Uuid,
};

/// Small limits, so that a few batches fill several segments.
const LIMITS: Limits = Limits {
    segment_bytes: 400,
    frame_bytes: 4096,
    snapshot_bytes: 4096,
};

const IDENTITY: Identity = Identity {
    cluster: Uuid::from_u128(7),
    replica: 3,
};

/// An operation on the store.
#[derive(Debug, Clone)]
enum Step {
    Append { entries: u64, bytes: usize },
    Truncate { back: u64 },
    Vote(u64),
    Compact { back: u64 },
    Install { ahead: u64 },
    Reopen,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let append = (1..5u64, 0..80usize).prop_map(|(entries, bytes)| Step::Append { entries, bytes });
    let step = prop_oneof![
        6 => append,
        2 => (0..4u64).prop_map(|back| Step::Truncate { back }),
        2 => (1..9u64).prop_map(Step::Vote),
        1 => (0..6u64).prop_map(|back| Step::Compact { back }),
        1 => (1..20u64).prop_map(|ahead| Step::Install { ahead }),
        1 => Just(Step::Reopen),
    ];
    vec(step, 1..30)
}

/// A directory after some steps, with the state that was expected after each of them.
struct Fixture {
    directory: TempDir,
    /// Oldest first.
    states: Vec<DurableState>,
    /// Path and size of the newest segment before the last step.
    before_last: (PathBuf, u64),
}

impl Fixture {
    fn new(steps: &[Step]) -> Self {
        let directory = TempDir::new().unwrap();
        let founding = DurableState::bootstrap([1, 2, 3]);
        Store::create(directory.path(), IDENTITY, &founding).unwrap();
        let (mut store, recovered) = open(directory.path()).unwrap();
        let mut states = vec![recovered.state];
        let mut before_last = newest_segment(directory.path());
        // The last step appends, so that there is a last frame to damage.
        let last = Step::Append {
            entries: 1,
            bytes: 9,
        };
        for (term, step) in (1..).zip(steps.iter().chain([&last])) {
            if matches!(step, Step::Reopen) {
                drop(store);
                store = open(directory.path()).unwrap().0;
                continue;
            }
            before_last = newest_segment(directory.path());
            let mut state = states[states.len() - 1].clone();
            run_step(&mut store, &mut state, term, step).unwrap();
            states.push(state);
        }
        Self {
            directory,
            states,
            before_last,
        }
    }

    fn path(&self) -> &Path {
        self.directory.path()
    }

    fn last(&self) -> &DurableState {
        &self.states[self.states.len() - 1]
    }
}

fn open(path: &Path) -> Result<(Store, Recovered), Error> {
    Store::open_with(path, LIMITS)
}

fn last_index(state: &DurableState) -> u64 {
    let last = state.entries.last();
    last.map_or(state.snapshot.meta.last.index, |entry| entry.position.index)
}

/// Runs one step on the store and on the expected state.
fn run_step(
    store: &mut Store,
    state: &mut DurableState,
    term: u64,
    step: &Step,
) -> Result<(), Error> {
    let base = state.snapshot.meta.last.index;
    let last = last_index(state);
    let mut persist = Persist::default();
    match *step {
        Step::Append { entries, bytes } => {
            let entry = |index| Entry {
                position: Position { term, index },
                payload: Payload::Data(Bytes::from(vec![term as u8; bytes])),
            };
            persist.entries = (last + 1..=last + entries).map(entry).collect();
            state.entries.extend(persist.entries.clone());
        }
        Step::Truncate { back } => {
            let from = (last + 1).saturating_sub(back).max(base + 1);
            persist.truncate = Some(from);
            state.entries.retain(|entry| entry.position.index < from);
        }
        Step::Vote(vote) => {
            state.hard_state = HardState {
                term,
                vote: Some(vote),
            };
            persist.hard_state = Some(state.hard_state);
        }
        Step::Compact { back } => {
            let index = last.saturating_sub(back);
            let position = state
                .entries
                .iter()
                .map(|entry| entry.position)
                .find(|position| position.index == index);
            let Some(position) = position else {
                return Ok(());
            };
            state.snapshot.meta.last = position;
            state.entries.retain(|entry| entry.position.index > index);
            store.save_snapshot(&state.snapshot)?;
            return store.compact(index);
        }
        Step::Install { ahead } => {
            state.snapshot.meta.last = Position {
                term,
                index: last + ahead,
            };
            state.snapshot.data = Bytes::from(vec![1; ahead as usize]);
            state.entries.clear();
            persist.snapshot = Some(state.snapshot.clone());
        }
        Step::Reopen => return Ok(()),
    }
    store.persist(&persist)
}

fn files(path: &Path, prefix: &str) -> Vec<PathBuf> {
    let paths = fs::read_dir(path)
        .unwrap()
        .map(|entry| entry.unwrap().path());
    let mut paths: Vec<PathBuf> = paths
        .filter(|path| {
            path.file_name()
                .unwrap()
                .to_str()
                .unwrap()
                .starts_with(prefix)
        })
        .collect();
    paths.sort();
    paths
}

fn newest_segment(path: &Path) -> (PathBuf, u64) {
    let path = files(path, "segment-").pop().unwrap();
    let bytes = fs::metadata(&path).unwrap().len();
    (path, bytes)
}

/// Opens a store, appends to it and opens it again. Returns the state that was recovered first.
fn reopen_and_append(path: &Path) -> DurableState {
    let (mut store, recovered) = open(path).unwrap();
    let mut state = recovered.state.clone();
    run_step(
        &mut store,
        &mut state,
        99,
        &Step::Append {
            entries: 2,
            bytes: 5,
        },
    )
    .unwrap();
    drop(store);
    assert_eq!(open(path).unwrap().1.state, state);
    recovered.state
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against records that a clean restart loses, reorders or changes.
    #[test]
    fn restart_recovers_everything(steps in steps()) {
        let fixture = Fixture::new(&steps);
        prop_assert_eq!(&reopen_and_append(fixture.path()), fixture.last());
    }

    /// Guards against a torn tail that is refused or changes the state before it.
    #[test]
    fn truncated_tail_recovers_a_prefix(steps in steps(), fraction in 0.0..1.0f64) {
        let fixture = Fixture::new(&steps);
        let (path, bytes) = newest_segment(fixture.path());
        let start = if path == fixture.before_last.0 { fixture.before_last.1 } else { 0 };
        let cut = start + ((bytes - start) as f64 * fraction) as u64;
        fs::File::options().write(true).open(&path).unwrap().set_len(cut).unwrap();
        prop_assert_eq!(
            &reopen_and_append(fixture.path()),
            &fixture.states[fixture.states.len() - 2]
        );
    }

    /// Guards against damage that goes unnoticed. Before the last frame it must be refused, because
    /// the records were acknowledged; in the last frame it looks like an incomplete write.
    #[test]
    fn bit_flip_is_never_read(
        steps in steps(),
        position in any::<prop::sample::Index>(),
        bit in 0..8u8,
    ) {
        let fixture = Fixture::new(&steps);
        let mut paths = files(fixture.path(), "segment-");
        paths.extend(files(fixture.path(), "snapshot-"));
        paths.extend(files(fixture.path(), "identity"));
        let sizes: Vec<usize> = paths.iter().map(|path| fs::read(path).unwrap().len()).collect();
        let mut offset = position.index(sizes.iter().sum());
        let mut file = 0;
        while offset >= sizes[file] {
            offset -= sizes[file];
            file += 1;
        }
        let mut content = fs::read(&paths[file]).unwrap();
        content[offset] ^= 1 << bit;
        fs::write(&paths[file], content).unwrap();
        let (path, _) = newest_segment(fixture.path());
        let is_in_tail = paths[file] == path
            && (path != fixture.before_last.0 || offset as u64 >= fixture.before_last.1);
        match open(fixture.path()) {
            Ok((_, recovered)) => {
                prop_assert!(is_in_tail, "{:?} at {offset} was accepted", paths[file]);
                prop_assert!(recovered.torn_tail.is_some());
                prop_assert_eq!(&recovered.state, &fixture.states[fixture.states.len() - 2]);
            }
            Err(error) => {
                prop_assert!(matches!(error, Error::Corrupt { .. }), "{error:?}");
                prop_assert!(error.to_string().contains("new replica id"));
            }
        }
    }

    /// Guards against a missing segment that is skipped.
    #[test]
    fn missing_segment_is_refused(steps in steps(), position in any::<prop::sample::Index>()) {
        let fixture = Fixture::new(&steps);
        let mut paths = files(fixture.path(), "segment-");
        paths.pop();
        if paths.is_empty() {
            return Ok(());
        }
        let removed = position.index(paths.len());
        fs::remove_file(&paths[removed]).unwrap();
        let opened = open(fixture.path());
        let is_whole = opened.as_ref().is_ok_and(|(_, found)| found.state == *fixture.last());
        let is_refused = matches!(opened, Err(Error::Corrupt { .. }));
        prop_assert!(is_whole || is_refused);
    }
}

/// Guards against a missing frame that is skipped, with the vote that it contained.
#[test]
fn missing_frame_is_refused() {
    let fixture = Fixture::new(&[]);
    let (mut store, recovered) = open(fixture.path()).unwrap();
    let mut state = recovered.state;
    let mut sizes = Vec::new();
    for vote in 1..4 {
        sizes.push(newest_segment(fixture.path()).1 as usize);
        run_step(&mut store, &mut state, 2, &Step::Vote(vote)).unwrap();
    }
    drop(store);
    let (path, _) = newest_segment(fixture.path());
    let mut content = fs::read(&path).unwrap();
    content.drain(sizes[1]..sizes[2]);
    fs::write(&path, content).unwrap();
    assert!(matches!(open(fixture.path()), Err(Error::Corrupt { .. })));
}

/// Guards against two processes that write to one directory.
#[test]
fn second_process_is_refused() {
    let fixture = Fixture::new(&[]);
    let first = open(fixture.path()).unwrap();
    assert!(matches!(open(fixture.path()), Err(Error::Locked { .. })));
    drop(first);
    open(fixture.path()).unwrap();
}

/// Guards against initialising a directory again, which would lose its votes.
#[test]
fn create_never_overwrites() {
    let fixture = Fixture::new(&[]);
    let again = Store::create(fixture.path(), IDENTITY, &DurableState::default());
    assert!(matches!(again, Err(Error::AlreadyInitialised { .. })));
    fs::remove_file(fixture.path().join("identity")).unwrap();
    let again = Store::create(fixture.path(), IDENTITY, &DurableState::default());
    assert!(matches!(again, Err(Error::AlreadyInitialised { .. })));
    assert!(matches!(open(fixture.path()), Err(Error::Corrupt { .. })));
    let empty = TempDir::new().unwrap();
    assert!(matches!(
        open(empty.path()),
        Err(Error::NotInitialised { .. })
    ));
}

/// Guards against reading a directory that a newer version has written.
#[test]
fn future_format_is_refused() {
    let fixture = Fixture::new(&[]);
    let text = r#"{"format":2,"replicas":[3]}"#;
    let checksum = crc32fast::hash(text.as_bytes());
    let content = format!("{text}\n{checksum:08x}\n");
    fs::write(fixture.path().join("identity"), content).unwrap();
    assert!(matches!(
        open(fixture.path()),
        Err(Error::UnknownFormat { found: 2, .. })
    ));
}

/// Guards against files of another replica that were copied into the directory.
#[test]
fn foreign_segment_is_refused() {
    let fixture = Fixture::new(&[]);
    let other = TempDir::new().unwrap();
    let identity = Identity {
        replica: 4,
        ..IDENTITY
    };
    Store::create(other.path(), identity, &DurableState::default()).unwrap();
    fs::copy(
        other.path().join("identity"),
        fixture.path().join("identity"),
    )
    .unwrap();
    assert!(matches!(open(fixture.path()), Err(Error::Corrupt { .. })));
}

/// Guards against a sync that succeeds after an earlier write has failed, although the kernel may
/// have dropped the data.
#[test]
fn failed_write_poisons_the_store() {
    let fixture = Fixture::new(&[]);
    let (mut store, _) = open(fixture.path()).unwrap();
    fs::remove_dir_all(fixture.path()).unwrap();
    let mut snapshot = Snapshot::default();
    snapshot.meta.last.index = 1;
    assert!(matches!(
        store.save_snapshot(&snapshot),
        Err(Error::Io { .. })
    ));
    let results = [
        store.persist(&Persist::default()),
        store.append(&Persist::default()),
        store.sync(),
        store.save_snapshot(&snapshot),
        store.compact(1),
    ];
    for result in results {
        assert!(matches!(result, Err(Error::Poisoned { .. })));
    }
}

/// Guards against a log that contradicts the snapshot after a crash between saving a leader's
/// snapshot and resetting the log.
#[test]
fn crash_between_snapshot_and_reset_drops_the_log() {
    let fixture = Fixture::new(&[Step::Append {
        entries: 4,
        bytes: 3,
    }]);
    let (mut store, _) = open(fixture.path()).unwrap();
    for last in [
        Position { term: 9, index: 3 },
        Position { term: 9, index: 50 },
    ] {
        let mut snapshot = fixture.last().snapshot.clone();
        snapshot.meta.last = last;
        store.save_snapshot(&snapshot).unwrap();
        drop(store);
        let state = reopen_and_append(fixture.path());
        assert_eq!(
            state,
            DurableState {
                snapshot,
                entries: Vec::new(),
                ..fixture.last().clone()
            }
        );
        store = open(fixture.path()).unwrap().0;
    }
}
