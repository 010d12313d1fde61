//! The store and its public methods.

use {
    super::{
        Corruption, Error, Identity, Volume, file,
        frame::{HEADER_BYTES, Header, MAX_PAYLOAD_BYTES, Record},
        recover::{Replay, Segment, corrupt},
        snapshot, unfinished,
    },
    crate::{
        id::Index,
        raft::{DurableState, Entry, HardState, Persist, Snapshot},
    },
    std::{
        collections::VecDeque,
        fs::{self, File},
        path::{Path, PathBuf},
    },
};

/// Size limits of a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Size of a segment in bytes at which a new one is started.
    pub segment_bytes: u64,
    /// Largest payload of a frame that is written, in bytes.
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

/// State that was recovered from a directory.
#[derive(Debug)]
pub struct Recovered {
    /// Replica and group that the state belongs to.
    pub identity: Identity,
    /// State to start the replica from.
    pub state: DurableState,
    /// The incomplete last frame that was cut off, if there was one.
    pub torn_tail: Option<TornTail>,
}

/// An incomplete last frame, left by a crash during a write and cut off.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TornTail {
    /// Segment that had the frame.
    pub path: PathBuf,
    /// Offset of the first byte that was cut off.
    pub offset: u64,
    /// Number of bytes that were cut off.
    pub bytes: u64,
}

/// Records that were collected and not written yet.
#[derive(Debug, Default)]
struct Batch {
    /// Frames, with space for headers that are filled in when the frames are written.
    bytes: Vec<u8>,
    /// Offset of each frame in `bytes`.
    frame_starts: Vec<usize>,
    /// Highest index among the collected entries.
    highest_index: Index,
}

/// The directory of one replica, opened exclusively.
#[derive(Debug)]
pub struct Store {
    volume: Volume,
    directory: PathBuf,
    limits: Limits,
    identity: Identity,
    hard_state: HardState,
    /// Index of the latest snapshot.
    snapshot_index: Index,
    /// Segments on disk; the last one is written to.
    segments: VecDeque<Segment>,
    file: File,
    /// Sequence of the next frame.
    next_sequence: u64,
    batch: Batch,
    is_poisoned: bool,
    /// Kept open, because closing it releases the lock.
    _lock: File,
}

impl Store {
    /// Initialises a directory, which is created if it is missing. The identity is written last,
    /// so that a directory with an identity is complete. What an interrupted creation has left is
    /// removed first. Fails if the directory has an identity, or data that was written later.
    ///
    /// # Errors
    ///
    /// Returns [`Error::AlreadyInitialised`], or [`Error::Io`] if a file can't be written.
    pub fn create(path: &Path, identity: Identity, durable: &DurableState) -> Result<(), Error> {
        Self::create_on(&Volume::default(), path, identity, durable)
    }

    /// Initialises a directory on this volume; see [`Store::create`].
    ///
    /// # Errors
    ///
    /// The same.
    pub fn create_on(
        volume: &Volume,
        path: &Path,
        identity: Identity,
        durable: &DurableState,
    ) -> Result<(), Error> {
        let created = volume.check_name().and_then(|()| fs::create_dir_all(path));
        file::with_path("creating", path, created)?;
        let lock = file::lock_directory(volume, path)?;
        if Identity::read(path)?.is_some() || !unfinished::is_unfinished(path)? {
            return Err(Error::AlreadyInitialised {
                path: path.to_owned(),
            });
        }
        unfinished::remove(path)?;
        let limits = Limits::default();
        snapshot::save(volume, path, &durable.snapshot, limits.snapshot_bytes)?;
        let segment = Segment::default();
        let mut store = Self {
            file: create_segment(volume, path, segment.number)?,
            volume: volume.clone(),
            directory: path.to_owned(),
            limits,
            identity,
            hard_state: durable.hard_state,
            snapshot_index: durable.snapshot.meta.last.index,
            segments: VecDeque::from([segment]),
            next_sequence: 0,
            batch: Batch::default(),
            is_poisoned: false,
            _lock: lock,
        };
        store.push_record(&store.start_record())?;
        let entries = durable.entries.iter();
        entries
            .map(Record::Entry)
            .try_for_each(|record| store.push_record(&record))?;
        store.sync()?;
        // The directory itself must still be in its parent after a crash, from when it is complete.
        file::sync_directory(file::directory_of(path))?;
        identity.write(volume, path)
    }

    /// Deletes a directory whose replica has left its group, so that another one can be created
    /// there. After a crash, [`Store::open`] finishes the deletion.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] if a file can't be deleted.
    pub fn discard(path: &Path) -> Result<(), Error> {
        Self::discard_on(&Volume::default(), path)
    }

    /// Deletes a directory on this volume; see [`Store::discard`].
    ///
    /// # Errors
    ///
    /// The same.
    pub fn discard_on(volume: &Volume, path: &Path) -> Result<(), Error> {
        file::write_atomically(volume, &path.join(file::DISCARDED_FILE), &[])?;
        file::delete_marked(path)
    }

    /// Opens a directory with the default limits.
    pub fn open(path: &Path) -> Result<(Self, Recovered), Error> {
        Self::open_with(path, Limits::default())
    }

    /// Opens a directory on the default volume; see [`Store::open_on`].
    ///
    /// # Errors
    ///
    /// The same.
    pub fn open_with(path: &Path, limits: Limits) -> Result<(Self, Recovered), Error> {
        Self::open_on(&Volume::default(), path, limits)
    }

    /// Opens a directory and recovers its state. An incomplete last frame, temporary files and
    /// superseded snapshots are removed. Nothing else is changed, also if the directory is
    /// refused.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotInitialised`] for a directory without a replica: a missing one, one whose
    /// creation was interrupted, or a discarded one. Returns [`Error::Corrupt`] if data is missing
    /// or damaged that the replica may have answered for.
    pub fn open_on(
        volume: &Volume,
        path: &Path,
        limits: Limits,
    ) -> Result<(Self, Recovered), Error> {
        let missing = || Error::NotInitialised {
            path: path.to_owned(),
        };
        if !path.is_dir() {
            return Err(missing());
        }
        let lock = file::lock_directory(volume, path)?;
        if path.join(file::DISCARDED_FILE).exists() {
            file::delete_marked(path)?;
            log::warn!("{}: finished an interrupted deletion", path.display());
            return Err(missing());
        }
        let Some(identity) = Identity::read(path)? else {
            return match unfinished::is_unfinished(path)? {
                true => Err(missing()),
                false => Err(corrupt(&path.join(file::IDENTITY_FILE), 0, Corruption::Gap)),
            };
        };
        file::remove_temporary(path)?;
        let snapshot = snapshot::load(path, limits.snapshot_bytes)?;
        let mut replay = Replay::read(path, identity)?;
        let needs_reset = replay.reconcile(&snapshot);
        let needs_reset = needs_reset.map_err(|_| corrupt(path, 0, Corruption::Gap))?;
        let number = replay.segments.last().map_or(0, |segment| segment.number);
        let segment = file::segment_path(path, number);
        let opened = File::options().append(true).open(&segment);
        let mut store = Self {
            volume: volume.clone(),
            directory: path.to_owned(),
            limits,
            identity,
            hard_state: replay.hard_state,
            snapshot_index: snapshot.meta.last.index,
            segments: replay.segments.into(),
            file: file::with_path("opening", &segment, opened)?,
            next_sequence: replay.next_sequence.unwrap_or(0),
            batch: Batch::default(),
            is_poisoned: false,
            _lock: lock,
        };
        if needs_reset {
            let last = snapshot.meta.last;
            store.push_record(&Record::Reset { last })?;
        }
        let recovered = Recovered {
            identity,
            state: DurableState {
                hard_state: replay.hard_state,
                snapshot,
                entries: replay.entries,
            },
            torn_tail: replay.torn_tail,
        };
        Ok((store, recovered))
    }

    /// Writes all changes of a [`Persist`] and syncs them.
    pub fn persist(&mut self, persist: &Persist) -> Result<(), Error> {
        self.append(persist)?;
        self.sync()
    }

    /// Collects the records of a [`Persist`], which are durable after [`Store::sync`]. A snapshot
    /// in it is saved at once.
    pub fn append(&mut self, persist: &Persist) -> Result<(), Error> {
        self.check_poisoned()?;
        let result = self.stage(persist);
        self.poison_on_error(result)
    }

    /// Writes the collected records as a frame and syncs it. Records that exceed
    /// [`Limits::frame_bytes`] together are written as several frames, each of which is synced
    /// before the next one.
    pub fn sync(&mut self) -> Result<(), Error> {
        self.check_poisoned()?;
        let result = self.write_batch();
        self.poison_on_error(result)
    }

    /// Saves a snapshot: writes it under a temporary name, syncs and renames it, syncs the
    /// directory, and removes older snapshots. A snapshot that is not newer than the latest one is
    /// ignored.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        self.check_poisoned()?;
        let index = snapshot.meta.last.index;
        if index <= self.snapshot_index {
            return Ok(());
        }
        let max_bytes = self.limits.snapshot_bytes.min(MAX_PAYLOAD_BYTES as u64);
        let result = snapshot::save(&self.volume, &self.directory, snapshot, max_bytes);
        if matches!(result, Err(Error::TooLarge { .. })) {
            return result;
        }
        self.poison_on_error(result)?;
        self.snapshot_index = index;
        Ok(())
    }

    /// Removes the oldest segments as long as all their entries are at or below `index` and
    /// contained in the latest snapshot.
    pub fn compact(&mut self, index: Index) -> Result<(), Error> {
        self.check_poisoned()?;
        let index = index.min(self.snapshot_index);
        let result = self.remove_segments(index);
        self.poison_on_error(result)
    }

    /// Total size of the segments in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.segments.iter().map(|segment| segment.bytes).sum()
    }

    /// Adds the records of a [`Persist`] to the batch and saves its snapshot.
    fn stage(&mut self, persist: &Persist) -> Result<(), Error> {
        if let Some(hard_state) = persist.hard_state {
            self.push_record(&Record::HardState(hard_state))?;
            self.hard_state = hard_state;
        }
        if let Some(snapshot) = &persist.snapshot {
            self.save_snapshot(snapshot)?;
            let last = snapshot.meta.last;
            self.push_record(&Record::Reset { last })?;
        }
        if let Some(from) = persist.truncate {
            self.push_record(&Record::Truncate { from })?;
        }
        for entry in &persist.entries {
            self.push_record(&Record::Entry(entry))?;
            self.batch.highest_index = self.batch.highest_index.max(entry.position.index);
        }
        Ok(())
    }

    /// Adds a record to the last frame of the batch, or to a new one if that would be too large.
    fn push_record(&mut self, record: &Record<&Entry>) -> Result<(), Error> {
        let limit = self.limits.frame_bytes.min(MAX_PAYLOAD_BYTES);
        let encoded = postcard::to_stdvec(record)?;
        let bytes = encoded.len();
        if bytes > limit {
            return Err(Error::TooLarge { bytes, limit });
        }
        let batch = &mut self.batch;
        let frame = batch.frame_starts.last().map(|start| start + HEADER_BYTES);
        if frame.is_none_or(|start| batch.bytes.len() + bytes > start + limit) {
            batch.frame_starts.push(batch.bytes.len());
            batch.bytes.extend([0; HEADER_BYTES]);
        }
        batch.bytes.extend(encoded);
        Ok(())
    }

    /// Writes the frames of the batch in order, each synced before the next one.
    fn write_batch(&mut self) -> Result<(), Error> {
        if self.batch.frame_starts.is_empty() {
            return Ok(());
        }
        self.rotate_segment()?;
        let mut batch = std::mem::take(&mut self.batch);
        let mut end = batch.bytes.len();
        let mut frames = Vec::new();
        for &start in batch.frame_starts.iter().rev() {
            frames.push(start..end);
            end = start;
        }
        for frame in frames.into_iter().rev() {
            self.write_frame(&mut batch.bytes[frame])?;
        }
        if let Some(segment) = self.segments.back_mut() {
            segment.highest_index = segment.highest_index.max(batch.highest_index);
        }
        batch.bytes.clear();
        batch.frame_starts.clear();
        self.batch = batch;
        Ok(())
    }

    /// Fills in the header of a frame, writes the frame and syncs it.
    fn write_frame(&mut self, frame: &mut [u8]) -> Result<(), Error> {
        let (header, payload) = frame.split_at_mut(HEADER_BYTES);
        header.copy_from_slice(&Header::new(self.next_sequence, &[payload]).encode());
        let path = file::segment_path(&self.directory, self.segment_number());
        let written = self.volume.write(&mut self.file, frame);
        file::with_path("writing", &path, written)?;
        file::with_path("syncing", &path, self.file.sync_data())?;
        self.next_sequence += 1;
        if let Some(segment) = self.segments.back_mut() {
            segment.bytes += frame.len() as u64;
        }
        Ok(())
    }

    /// Starts a new segment if the current one has reached its size limit.
    fn rotate_segment(&mut self) -> Result<(), Error> {
        let written = self.segments.back().map_or(0, |segment| segment.bytes);
        if written < self.limits.segment_bytes {
            return Ok(());
        }
        let number = self.segment_number() + 1;
        self.file = create_segment(&self.volume, &self.directory, number)?;
        self.segments.push_back(Segment {
            number,
            ..Segment::default()
        });
        let mut frame = vec![0; HEADER_BYTES];
        frame.extend(postcard::to_stdvec(&self.start_record())?);
        self.write_frame(&mut frame)
    }

    fn remove_segments(&mut self, index: Index) -> Result<(), Error> {
        let mut removed = false;
        while self.segments.len() > 1 && self.segments[0].highest_index <= index {
            file::remove_file(&file::segment_path(
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

    fn start_record(&self) -> Record<&'static Entry> {
        Record::Start {
            identity: self.identity,
            hard_state: self.hard_state,
        }
    }

    fn segment_number(&self) -> u64 {
        self.segments.back().map_or(0, |segment| segment.number)
    }

    fn check_poisoned(&self) -> Result<(), Error> {
        match self.is_poisoned {
            true => Err(Error::Poisoned {
                path: self.directory.clone(),
            }),
            false => Ok(()),
        }
    }

    /// Poisons the store if the result is an error, because a later write could follow missing
    /// data.
    fn poison_on_error(&mut self, result: Result<(), Error>) -> Result<(), Error> {
        self.is_poisoned |= result.is_err();
        result
    }
}

fn create_segment(volume: &Volume, directory: &Path, number: u64) -> Result<File, Error> {
    let path = file::segment_path(directory, number);
    let options = || File::options().append(true).create_new(true).open(&path);
    let created = volume.check_name().and_then(|()| options());
    let created = file::with_path("creating", &path, created)?;
    file::sync_directory(directory)?;
    Ok(created)
}
