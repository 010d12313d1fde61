//! A disk that is full for a while, from any write on, once or twice.

use {
    super::super::{IDENTITY, LIMITS, Step, run_step},
    sardinerelay::{
        raft::{DurableState, HardState, Persist},
        wal::{Error, Store, Volume},
    },
    std::{
        path::Path,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
    },
    tempfile::TempDir,
};

/// Steps that write in all ways: entries in several segments, votes, truncations, snapshots of this replica and
/// of a leader.
const STEPS: [Step; 12] = [
    Step::Vote(1),
    Step::Append {
        entries: 3,
        bytes: 60,
    },
    Step::Append {
        entries: 4,
        bytes: 80,
    },
    Step::Truncate { back: 2 },
    Step::Append {
        entries: 2,
        bytes: 70,
    },
    Step::Compact { back: 3 },
    Step::Vote(2),
    Step::Append {
        entries: 4,
        bytes: 79,
    },
    Step::Install { ahead: 9 },
    Step::Append {
        entries: 3,
        bytes: 50,
    },
    Step::Compact { back: 0 },
    Step::Append {
        entries: 1,
        bytes: 10,
    },
];
/// Parts of the first write on a full disk that it still takes, in quarters. With 4 only the last byte is missing.
const QUARTERS: [u64; 4] = [0, 1, 2, 4];
/// Writes after the first fill at which the second one begins.
const SECOND_FILLS: [u64; 4] = [0, 1, 2, 5];

/// A disk that becomes full at a given write, and stays full until it is cleared.
#[derive(Debug, Default)]
struct Disk {
    /// Writes until the disk is full.
    remaining: AtomicU64,
    quarters: AtomicU64,
    is_full: AtomicBool,
}

impl Disk {
    fn volume(self: &Arc<Self>) -> Volume {
        let disk = Arc::clone(self);
        Volume::limited_by(move |bytes| disk.grant(bytes))
    }

    fn grant(&self, bytes: u64) -> u64 {
        if self.is_full.load(Ordering::SeqCst) {
            return 0;
        }
        let spent = self
            .remaining
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| {
                left.checked_sub(1)
            });
        if spent.is_ok() {
            return bytes;
        }
        self.is_full.store(true, Ordering::SeqCst);
        let quarters = self.quarters.load(Ordering::SeqCst);
        (bytes * quarters / 4).min(bytes.saturating_sub(1))
    }

    fn is_full(&self) -> bool {
        self.is_full.load(Ordering::SeqCst)
    }

    /// Makes room for this many writes.
    fn clear(&self, writes: u64) {
        self.remaining.store(writes, Ordering::SeqCst);
        self.is_full.store(false, Ordering::SeqCst);
    }
}

/// Opens the store while the disk is full, and tries to write. Neither may succeed in writing, nor harm what is there.
fn try_on_full_disk(disk: &Arc<Disk>, path: &Path) {
    match Store::open_on(&disk.volume(), path, LIMITS) {
        Ok((mut store, recovered)) => {
            let vote = HardState {
                term: recovered.state.hard_state.term + 1000,
                vote: Some(9),
            };
            let persist = Persist {
                hard_state: Some(vote),
                ..Persist::default()
            };
            store.persist(&persist).expect_err("the disk is full");
            let again = store.persist(&persist);
            assert!(matches!(again, Err(Error::Poisoned { .. })), "{again:?}");
        }
        Err(Error::Io { .. }) => {}
        Err(error) => panic!("a full disk is no damage: {error}"),
    }
}

/// Runs all steps on a disk that is full from the write `first` on, and again `second` writes after it had room.
/// Returns whether the disk became full.
fn run(first: u64, second: Option<u64>, quarters: u64) -> bool {
    let disk = Arc::new(Disk::default());
    disk.clear(first);
    disk.quarters.store(quarters, Ordering::SeqCst);
    let directory = TempDir::new().unwrap();
    let path = directory.path().join("replica");
    let mut fills = second.into_iter();
    let mut state = DurableState::bootstrap([1, 2, 3]);
    let mut is_created = false;
    let mut opened: Option<Store> = None;
    let mut done = 0;
    let mut was_full = false;
    while done < STEPS.len() {
        if disk.is_full() {
            was_full = true;
            drop(opened.take());
            for _ in 0..2 {
                if is_created {
                    try_on_full_disk(&disk, &path);
                }
            }
            disk.clear(fills.next().unwrap_or(u64::MAX));
        }
        if !is_created {
            let created = Store::create_on(&disk.volume(), &path, IDENTITY, &state);
            is_created = created.is_ok();
            continue;
        }
        let Some(store) = &mut opened else {
            match Store::open_on(&disk.volume(), &path, LIMITS) {
                Ok((store, recovered)) => {
                    let recovered = recovered.state;
                    // The step that failed may have been written in full, or not at all.
                    if recovered != state {
                        state = recovered;
                    }
                    opened = Some(store);
                }
                Err(error) => assert!(disk.is_full(), "{first} {second:?} {quarters}: {error}"),
            }
            continue;
        };
        let mut next = state.clone();
        let ended = run_step(store, &mut next, done as u64 + 1, &STEPS[done]);
        match ended {
            Ok(()) => {
                state = next;
                done += 1;
            }
            Err(error) => {
                assert!(disk.is_full(), "{first} {second:?} {quarters}: {error}");
                drop(opened.take());
                disk_has_kept(&path, &state, &next);
            }
        }
    }
    drop(opened);
    let (_, recovered) = Store::open_with(&path, LIMITS).unwrap();
    assert_eq!(recovered.state, state, "{first} {second:?} {quarters}");
    was_full
}

/// Checks what a store holds whose last step failed: everything before it, and all or nothing of it, but for the votes
/// and entries that a step writes before its snapshot.
fn disk_has_kept(path: &Path, before: &DurableState, after: &DurableState) {
    let copy = TempDir::new().unwrap();
    for entry in std::fs::read_dir(path).unwrap() {
        let entry = entry.unwrap();
        std::fs::copy(entry.path(), copy.path().join(entry.file_name())).unwrap();
    }
    let (_, recovered) = Store::open_with(copy.path(), LIMITS).unwrap();
    let state = recovered.state;
    assert_eq!(
        state.hard_state, before.hard_state,
        "a vote must not be half stored"
    );
    let is_snapshot_saved = state.snapshot == after.snapshot;
    assert!(is_snapshot_saved || state.snapshot == before.snapshot);
    if !is_snapshot_saved {
        assert_eq!(state.entries, before.entries);
    }
}

/// Guards against a replica that can't start again, or that forgets what it has acknowledged, because its disk was
/// full in the middle of a write.
#[test]
fn a_store_recovers_from_a_disk_that_is_full_from_any_write_on() {
    for quarters in QUARTERS {
        let fills = (0..)
            .take_while(|first| run(*first, None, quarters))
            .count();
        assert!(fills > 20, "only {fills} writes were tried");
    }
}

/// The same with a second fill soon after the first one.
#[test]
fn a_store_recovers_from_two_fills() {
    for quarters in QUARTERS {
        for second in SECOND_FILLS {
            let fills = (0..).take_while(|first| run(*first, Some(second), quarters));
            assert!(fills.count() > 20);
        }
    }
}
