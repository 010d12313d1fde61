//! The store and its public operations.

use {
    super::{
        Corruption, Error, Identity, file,
        frame::{HEADER_BYTES, Header, MAX_PAYLOAD_BYTES, Record},
        recover::{Replay, Segment, damaged},
        snapshot,
    },
    crate::{
        id::Index,
        raft::{DurableState, Entry, HardState, Persist, Snapshot},
    },
    std::{
        collections::VecDeque,
        fs::{self, File},
        io::Write,
        path::{Path, PathBuf},
    },
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
    pub state: DurableState,
    /// The incomplete last frame that was cut off, if there was one.
    pub torn_tail: Option<TornTail>,
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

/// Records that were collected and not written yet.
#[derive(Debug, Default)]
struct Batch {
    /// Frames with room for their headers.
    bytes: Vec<u8>,
    /// Where each frame starts.
    starts: Vec<usize>,
    /// Highest index among the entries.
    highest: Index,
}

/// A directory with the durable state of one replica, held exclusively.
#[derive(Debug)]
pub struct Store {
    directory: PathBuf,
    limits: Limits,
    identity: Identity,
    hard_state: HardState,
    /// Index of the latest snapshot.
    snapshot: Index,
    /// Segments on disk; the last one is written to.
    segments: VecDeque<Segment>,
    file: File,
    /// Sequence of the next frame.
    sequence: u64,
    batch: Batch,
    poisoned: bool,
    /// Held open for the lock.
    _lock: File,
}

impl Store {
    /// Initialises an empty or missing directory. The identity is written last, so that a
    /// directory with an identity is complete. Fails if the directory holds files of a store.
    pub fn create(path: &Path, identity: Identity, durable: &DurableState) -> Result<(), Error> {
        file::at("creating", path, fs::create_dir_all(path))?;
        let lock = file::lock(path)?;
        if Identity::read(path)?.is_some() || !file::segments(path)?.is_empty() {
            return Err(Error::AlreadyInitialised {
                path: path.to_owned(),
            });
        }
        let limits = Limits::default();
        snapshot::save(path, &durable.snapshot, limits.snapshot_bytes)?;
        let segment = Segment::default();
        let mut store = Self {
            file: create_segment(path, segment.number)?,
            directory: path.to_owned(),
            limits,
            identity,
            hard_state: durable.hard_state,
            snapshot: durable.snapshot.meta.last.index,
            segments: VecDeque::from([segment]),
            sequence: 0,
            batch: Batch::default(),
            poisoned: false,
            _lock: lock,
        };
        store.push(&store.start())?;
        let entries = durable.entries.iter();
        entries
            .map(Record::Entry)
            .try_for_each(|record| store.push(&record))?;
        store.sync()?;
        identity.write(path)?;
        // The directory's own name must survive as well.
        path.parent()
            .filter(|parent| !parent.as_os_str().is_empty())
            .map_or(Ok(()), file::sync_directory)
    }

    /// Opens a directory with the default limits.
    pub fn open(path: &Path) -> Result<(Self, Recovered), Error> {
        Self::open_with(path, Limits::default())
    }

    /// Opens a directory. An incomplete last write, temporary files and superseded snapshots are
    /// removed; nothing else is changed, also if the directory is refused.
    pub fn open_with(path: &Path, limits: Limits) -> Result<(Self, Recovered), Error> {
        let missing = || Error::NotInitialised {
            path: path.to_owned(),
        };
        if !path.is_dir() {
            return Err(missing());
        }
        let lock = file::lock(path)?;
        let Some(identity) = Identity::read(path)? else {
            return match file::segments(path)?.is_empty() {
                true => Err(missing()),
                false => Err(damaged(&path.join(file::IDENTITY), 0, Corruption::Gap)),
            };
        };
        file::remove_temporary(path)?;
        let snapshot = snapshot::load(path, limits.snapshot_bytes)?;
        let mut replay = Replay::read(path, identity)?;
        let reset = replay.reconcile(&snapshot);
        let reset = reset.map_err(|_| damaged(path, 0, Corruption::Gap))?;
        let number = replay.segments.last().map_or(0, |segment| segment.number);
        let segment = file::segment_path(path, number);
        let opened = File::options().append(true).open(&segment);
        let mut store = Self {
            directory: path.to_owned(),
            limits,
            identity,
            hard_state: replay.hard_state,
            snapshot: snapshot.meta.last.index,
            segments: replay.segments.into(),
            file: file::at("opening", &segment, opened)?,
            sequence: replay.sequence.unwrap_or(0),
            batch: Batch::default(),
            poisoned: false,
            _lock: lock,
        };
        if reset {
            let last = snapshot.meta.last;
            store.push(&Record::Reset { last })?;
        }
        let recovered = Recovered {
            identity,
            state: DurableState {
                hard_state: replay.hard_state,
                snapshot,
                entries: replay.entries,
            },
            torn_tail: replay.torn,
        };
        Ok((store, recovered))
    }

    /// Does everything that a [`Persist`] asks for and syncs it.
    pub fn persist(&mut self, persist: &Persist) -> Result<(), Error> {
        self.append(persist)?;
        self.sync()
    }

    /// Collects the records of a [`Persist`]. They are durable after [`Store::sync`]. A snapshot
    /// in it is saved at once.
    pub fn append(&mut self, persist: &Persist) -> Result<(), Error> {
        self.check()?;
        let result = self.collect(persist);
        self.guard(result)
    }

    /// Writes the collected records as a frame and syncs it. Records that exceed
    /// [`Limits::frame_bytes`] together are written as several frames, each of which is synced
    /// before the next one.
    pub fn sync(&mut self) -> Result<(), Error> {
        self.check()?;
        let result = self.flush();
        self.guard(result)
    }

    /// Saves a snapshot of the own state machine: writes it under a temporary name, syncs and
    /// renames it, syncs the directory, and removes older snapshots. A snapshot older than the
    /// latest one is ignored.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        self.check()?;
        let index = snapshot.meta.last.index;
        if index <= self.snapshot {
            return Ok(());
        }
        let most = self.limits.snapshot_bytes.min(MAX_PAYLOAD_BYTES as u64);
        let result = snapshot::save(&self.directory, snapshot, most);
        if matches!(result, Err(Error::TooLarge { .. })) {
            return result;
        }
        self.guard(result)?;
        self.snapshot = index;
        Ok(())
    }

    /// Removes the oldest segments as long as all their entries are at or below `index` and
    /// contained in the latest snapshot.
    pub fn compact(&mut self, index: Index) -> Result<(), Error> {
        self.check()?;
        let index = index.min(self.snapshot);
        let result = self.remove_segments(index);
        self.guard(result)
    }

    /// Number of bytes in the segments.
    pub fn log_bytes(&self) -> u64 {
        self.segments.iter().map(|segment| segment.bytes).sum()
    }

    fn collect(&mut self, persist: &Persist) -> Result<(), Error> {
        if let Some(hard_state) = persist.hard_state {
            self.push(&Record::HardState(hard_state))?;
            self.hard_state = hard_state;
        }
        if let Some(snapshot) = &persist.snapshot {
            self.save_snapshot(snapshot)?;
            let last = snapshot.meta.last;
            self.push(&Record::Reset { last })?;
        }
        if let Some(from) = persist.truncate {
            self.push(&Record::Truncate { from })?;
        }
        for entry in &persist.entries {
            self.push(&Record::Entry(entry))?;
            self.batch.highest = self.batch.highest.max(entry.position.index);
        }
        Ok(())
    }

    /// Adds a record to the last frame of the batch, or to a new one if that would be too large.
    fn push(&mut self, record: &Record<&Entry>) -> Result<(), Error> {
        let limit = self.limits.frame_bytes.min(MAX_PAYLOAD_BYTES);
        let encoded = postcard::to_stdvec(record)?;
        let bytes = encoded.len();
        if bytes > limit {
            return Err(Error::TooLarge { bytes, limit });
        }
        let batch = &mut self.batch;
        let frame = batch.starts.last().map(|start| start + HEADER_BYTES);
        if frame.is_none_or(|start| batch.bytes.len() + bytes > start + limit) {
            batch.starts.push(batch.bytes.len());
            batch.bytes.extend([0; HEADER_BYTES]);
        }
        batch.bytes.extend(encoded);
        Ok(())
    }

    fn flush(&mut self) -> Result<(), Error> {
        if self.batch.starts.is_empty() {
            return Ok(());
        }
        self.rotate()?;
        let mut batch = std::mem::take(&mut self.batch);
        let mut end = batch.bytes.len();
        let mut frames = Vec::new();
        for &start in batch.starts.iter().rev() {
            frames.push(start..end);
            end = start;
        }
        for frame in frames.into_iter().rev() {
            self.write(&mut batch.bytes[frame])?;
        }
        if let Some(segment) = self.segments.back_mut() {
            segment.highest = segment.highest.max(batch.highest);
        }
        batch.bytes.clear();
        batch.starts.clear();
        self.batch = batch;
        Ok(())
    }

    /// Fills in the header of a frame, writes and syncs it.
    fn write(&mut self, frame: &mut [u8]) -> Result<(), Error> {
        let (header, payload) = frame.split_at_mut(HEADER_BYTES);
        header.copy_from_slice(&Header::new(self.sequence, &[payload]).encode());
        let path = file::segment_path(&self.directory, self.number());
        file::at("writing", &path, self.file.write_all(frame))?;
        file::at("syncing", &path, self.file.sync_data())?;
        self.sequence += 1;
        if let Some(segment) = self.segments.back_mut() {
            segment.bytes += frame.len() as u64;
        }
        Ok(())
    }

    /// Starts a new segment if the current one is full.
    fn rotate(&mut self) -> Result<(), Error> {
        let written = self.segments.back().map_or(0, |segment| segment.bytes);
        if written < self.limits.segment_bytes {
            return Ok(());
        }
        let number = self.number() + 1;
        self.file = create_segment(&self.directory, number)?;
        self.segments.push_back(Segment {
            number,
            ..Segment::default()
        });
        let mut frame = vec![0; HEADER_BYTES];
        frame.extend(postcard::to_stdvec(&self.start())?);
        self.write(&mut frame)
    }

    fn remove_segments(&mut self, index: Index) -> Result<(), Error> {
        let mut removed = false;
        while self.segments.len() > 1 && self.segments[0].highest <= index {
            file::remove(&file::segment_path(
                &self.directory,
                self.segments[0].number,
            ))?;
            self.segments.pop_front();
            removed = true;
        }
        match removed {
            true => file::sync_directory(&self.directory),
            false => Ok(()),
        }
    }

    fn start(&self) -> Record<&'static Entry> {
        Record::Start {
            identity: self.identity,
            hard_state: self.hard_state,
        }
    }

    fn number(&self) -> u64 {
        self.segments.back().map_or(0, |segment| segment.number)
    }

    fn check(&self) -> Result<(), Error> {
        match self.poisoned {
            true => Err(Error::Poisoned {
                path: self.directory.clone(),
            }),
            false => Ok(()),
        }
    }

    /// Poisons the store after a failure. A later write would follow a gap.
    fn guard(&mut self, result: Result<(), Error>) -> Result<(), Error> {
        self.poisoned |= result.is_err();
        result
    }
}

fn create_segment(directory: &Path, number: u64) -> Result<File, Error> {
    let path = file::segment_path(directory, number);
    let created = File::options().append(true).create_new(true).open(&path);
    let created = file::at("creating", &path, created)?;
    file::sync_directory(directory)?;
    Ok(created)
}
