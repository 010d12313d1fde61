//! The store and its public operations.

use {
    super::{Error, Identity},
    crate::{
        id::Index,
        raft::{Durable, Persist, Snapshot},
    },
    std::path::{Path, PathBuf},
};

/// Size limits of a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Size in bytes after which a new segment is started.
    pub segment_bytes: u64,
    /// Largest frame that is written or read, in bytes.
    pub frame_bytes: usize,
    /// Largest snapshot that is written or read, in bytes.
    pub snapshot_bytes: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            segment_bytes: 16 << 20,
            frame_bytes: 64 << 20,
            snapshot_bytes: 1 << 30,
        }
    }
}

/// What was found in a directory.
#[derive(Debug)]
pub struct Recovered {
    /// Whose state it is.
    pub identity: Identity,
    /// State to start the replica from.
    pub durable: Durable,
    /// The incomplete last frame that was cut off, if there was one.
    pub torn: Option<TornTail>,
}

/// An incomplete last frame, left by a crash during a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TornTail {
    /// The segment.
    pub path: PathBuf,
    /// Offset from which bytes were cut off.
    pub offset: u64,
    /// Number of bytes that were cut off.
    pub bytes: u64,
}

/// A directory with the durable state of one replica, held exclusively.
#[derive(Debug)]
pub struct Store {
    directory: PathBuf,
}

impl Store {
    /// Initialises an empty or missing directory. Fails if the directory holds a store.
    pub fn create(path: &Path, identity: Identity, durable: &Durable) -> Result<(), Error> {
        let _ = (identity, durable);
        Err(Error::AlreadyInitialised {
            path: path.to_owned(),
        })
    }

    /// Opens a directory with the default limits.
    pub fn open(path: &Path) -> Result<(Self, Recovered), Error> {
        Self::open_with(path, Limits::default())
    }

    /// Opens a directory.
    pub fn open_with(path: &Path, limits: Limits) -> Result<(Self, Recovered), Error> {
        let _ = limits;
        Err(Error::NotInitialised {
            path: path.to_owned(),
        })
    }

    /// Does everything that a [`Persist`] asks for and syncs it.
    pub fn persist(&mut self, persist: &Persist) -> Result<(), Error> {
        self.append(persist)?;
        self.sync()
    }

    /// Collects the records of a [`Persist`]. They are durable after [`Store::sync`]. A snapshot
    /// in it is saved at once.
    pub fn append(&mut self, persist: &Persist) -> Result<(), Error> {
        let _ = persist;
        Err(self.poisoned())
    }

    /// Writes the collected records as one frame and syncs them.
    pub fn sync(&mut self) -> Result<(), Error> {
        Err(self.poisoned())
    }

    /// Saves a snapshot of the own state machine: writes it under a temporary name, syncs and
    /// renames it, syncs the directory, and removes older snapshots.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        let _ = snapshot;
        Err(self.poisoned())
    }

    /// Removes segments whose entries are all at or below `index`, which must not be above the
    /// latest snapshot.
    pub fn compact(&mut self, index: Index) -> Result<(), Error> {
        let _ = index;
        Err(self.poisoned())
    }

    fn poisoned(&self) -> Error {
        Error::Poisoned {
            path: self.directory.clone(),
        }
    }
}
