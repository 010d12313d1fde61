//! What a crash during the creation or the deletion of a directory leaves, and what the next start
//! makes of it.

use {
    proptest::prelude::*,
    rstest::rstest,
    sardinerelay::{
        raft::{DurableState, HardState, Persist, Snapshot},
        wal::{Error, Identity, Store},
    },
    std::{
        fs,
        path::{Path, PathBuf},
    },
    tempfile::TempDir,
    uuid::Uuid,
};

/// Name under which a file is written before it is renamed.
const TEMPORARY_EXTENSION: &str = "tmp";

const INTERRUPTED: Identity = Identity {
    cluster: Uuid::from_u128(7),
    replica: 3,
};

const SUCCESSOR: Identity = Identity {
    cluster: Uuid::from_u128(7),
    replica: 4,
};

/// A file with its content.
type Content = (PathBuf, Vec<u8>);

/// The files of a complete directory, in the order in which its creation writes them.
fn complete_files() -> [Content; 3] {
    let directory = TempDir::new().unwrap();
    let founding = DurableState::bootstrap([1, 2, 3]);
    Store::create(directory.path(), INTERRUPTED, &founding).unwrap();
    ["snapshot-", "segment-", "identity"].map(|prefix| {
        let files = fs::read_dir(directory.path()).unwrap();
        let mut paths = files.map(|file| file.unwrap().path());
        let path = paths
            .find(|path| name(path).to_str().unwrap().starts_with(prefix))
            .unwrap();
        (name(&path), fs::read(&path).unwrap())
    })
}

fn name(path: &Path) -> PathBuf {
    path.file_name().unwrap().into()
}

/// A directory that holds these files, and the lock file that creation leaves.
fn directory_with(files: &[Content]) -> TempDir {
    let directory = TempDir::new().unwrap();
    fs::write(directory.path().join("lock"), "").unwrap();
    for (name, content) in files {
        fs::write(directory.path().join(name), content).unwrap();
    }
    directory
}

/// What a kill or a loss of power may leave of a file whose write has begun: each beginning of it,
/// and each with the rest as zeros or as other bytes.
fn partial_contents(whole: &[u8]) -> Vec<Vec<u8>> {
    let beginnings = (0..=whole.len()).map(|length| whole[..length].to_vec());
    let torn = (0..whole.len()).flat_map(|length| {
        [0, 0xA5].map(|filler| {
            let mut torn = whole[..length].to_vec();
            torn.resize(whole.len(), filler);
            torn
        })
    });
    beginnings.chain(torn).collect()
}

/// All states of a directory between the first and the last operation of its creation. Each step is
/// synced before the next one begins.
fn unfinished_states() -> Vec<Vec<Content>> {
    let [snapshot, segment, identity] = complete_files();
    let temporary = |(name, _): &Content| name.with_extension(TEMPORARY_EXTENSION);
    let mut states = vec![vec![]];
    for partial in partial_contents(&snapshot.1) {
        states.push(vec![(temporary(&snapshot), partial)]);
    }
    for partial in partial_contents(&segment.1) {
        states.push(vec![snapshot.clone(), (segment.0.clone(), partial)]);
    }
    for partial in partial_contents(&identity.1) {
        let written = (temporary(&identity), partial);
        states.push(vec![snapshot.clone(), segment.clone(), written]);
    }
    // A removal of leftovers may be interrupted too.
    states.push(vec![segment]);
    states
}

fn assert_made_anew(path: &Path) {
    let opened = Store::open(path);
    assert!(
        matches!(opened, Err(Error::NotInitialised { .. })),
        "{opened:?}"
    );
    let learner = DurableState::default();
    Store::create(path, SUCCESSOR, &learner).unwrap();
    let (_, recovered) = Store::open(path).unwrap();
    assert_eq!(recovered.identity, SUCCESSOR);
    assert_eq!(recovered.state, learner);
    assert_eq!(recovered.torn_tail, None);
}

/// Guards against a replica that never starts again because it was killed while its directory was
/// created.
#[test]
fn interrupted_creation_is_made_anew() {
    for state in unfinished_states() {
        let directory = directory_with(&state);
        assert_made_anew(directory.path());
    }
}

/// Guards against a replica that has forgotten its vote and starts as a new one, because its
/// directory is taken for one that was never complete.
#[rstest]
#[case::vote(Persist {
    hard_state: Some(HardState { term: 1, vote: Some(2) }),
    ..Persist::default()
})]
#[case::term(Persist {
    hard_state: Some(HardState { term: 1, vote: None }),
    ..Persist::default()
})]
#[case::installed_snapshot(Persist { snapshot: Some(later_snapshot()), ..Persist::default() })]
fn lost_identity_of_a_used_directory_is_refused(#[case] used_for: Persist) {
    let directory = TempDir::new().unwrap();
    let path = directory.path();
    Store::create(path, INTERRUPTED, &DurableState::bootstrap([1, 2, 3])).unwrap();
    let (mut store, _) = Store::open(path).unwrap();
    store.persist(&used_for).unwrap();
    drop(store);
    fs::remove_file(path.join("identity")).unwrap();
    assert!(matches!(Store::open(path), Err(Error::Corrupt { .. })));
    let again = Store::create(path, SUCCESSOR, &DurableState::default());
    assert!(matches!(again, Err(Error::AlreadyInitialised { .. })));
}

fn later_snapshot() -> Snapshot {
    let mut snapshot = Snapshot::default();
    snapshot.meta.last.index = 9;
    snapshot
}

/// Guards against a used directory that passes for a new one because its log was lost with its
/// identity.
#[test]
fn snapshot_alone_is_refused() {
    let directory = TempDir::new().unwrap();
    let path = directory.path();
    Store::create(path, INTERRUPTED, &DurableState::default()).unwrap();
    let (mut store, _) = Store::open(path).unwrap();
    store.save_snapshot(&later_snapshot()).unwrap();
    drop(store);
    for file in ["identity", "segment-0000000000000000.log"] {
        fs::remove_file(path.join(file)).unwrap();
    }
    assert!(matches!(Store::open(path), Err(Error::Corrupt { .. })));
}

proptest! {
    /// Guards against a replica that never starts again because it was killed while it deleted the
    /// directory of its predecessor, which has left the group.
    #[test]
    fn interrupted_deletion_is_finished(is_kept in any::<[bool; 4]>()) {
        let directory = TempDir::new().unwrap();
        let path = directory.path().join("replica");
        Store::create(&path, INTERRUPTED, &DurableState::bootstrap([1, 2, 3])).unwrap();
        let (mut store, _) = Store::open(&path).unwrap();
        let hard_state = Some(HardState { term: 1, vote: Some(2) });
        store.persist(&Persist { hard_state, ..Persist::default() }).unwrap();
        drop(store);
        let mut files: Vec<PathBuf> =
            fs::read_dir(&path).unwrap().map(|file| file.unwrap().path()).collect();
        files.sort();
        prop_assert_eq!(files.len(), is_kept.len());
        fs::write(path.join("discarded"), "").unwrap();
        for (file, is_kept) in files.iter().zip(is_kept) {
            if !is_kept {
                fs::remove_file(file).unwrap();
            }
        }
        assert_made_anew(&path);
    }
}

/// Guards against a deletion that leaves files of the old replica to the next one.
#[test]
fn discarded_directory_is_gone() {
    let directory = TempDir::new().unwrap();
    let path = directory.path().join("replica");
    Store::create(&path, INTERRUPTED, &DurableState::bootstrap([1, 2, 3])).unwrap();
    Store::discard(&path).unwrap();
    assert!(!path.exists());
    assert_made_anew(&path);
}
