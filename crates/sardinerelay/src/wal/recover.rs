//! Recovery of the log from the segments of a directory.

use {
    super::{
        Corruption, Error, Identity, TornTail, file,
        frame::{HEADER_BYTES, Parsed, Record, parse},
    },
    crate::{
        id::Index,
        raft::{Entry, HardState, Position, Snapshot},
    },
    std::{
        fs::{self, File},
        path::{Path, PathBuf},
    },
};

/// Largest segment that is read, in bytes. The store starts a new segment far below it.
const MAX_SEGMENT_BYTES: u64 = 2 << 30;

/// A segment that was read or written.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) struct Segment {
    pub(super) number: u64,
    /// Highest index among its entries, including entries that were dropped later.
    pub(super) highest_index: Index,
    pub(super) bytes: u64,
}

/// The log as rebuilt from its records in the order in which they were written.
#[derive(Debug, Default)]
pub(super) struct Replay {
    pub(super) hard_state: HardState,
    pub(super) entries: Vec<Entry>,
    pub(super) segments: Vec<Segment>,
    pub(super) torn_tail: Option<TornTail>,
    /// Sequence of the next frame; `None` before the first one.
    pub(super) next_sequence: Option<u64>,
    /// Index of the next entry; `None` before the first one.
    next_index: Option<Index>,
}

impl Replay {
    /// Reads all segments and cuts off an incomplete last frame.
    pub(super) fn read(directory: &Path, identity: Identity) -> Result<Self, Error> {
        let mut replay = Self::default();
        let numbers = file::segment_numbers(directory)?;
        let Some(&newest) = numbers.last() else {
            return Err(corrupt(directory, 0, Corruption::Gap));
        };
        for number in numbers {
            let path = file::segment_path(directory, number);
            let previous = replay.segments.last();
            if previous.is_some_and(|previous| previous.number + 1 != number) {
                return Err(corrupt(&path, 0, Corruption::Gap));
            }
            replay.read_segment(&path, number, identity, number == newest)?;
        }
        match replay.segments.is_empty() {
            true => Err(corrupt(directory, 0, Corruption::Gap)),
            false => Ok(replay),
        }
    }

    /// Drops the entries that the snapshot contains. If the log contradicts the snapshot or ends
    /// before it, a crash occurred between saving a leader's snapshot and resetting the log. All
    /// entries are dropped then, and the result is `true`: the log on disk must be reset before
    /// anything is appended. If entries are missing after the snapshot, the error is the index of
    /// the first one that was found.
    pub(super) fn reconcile(&mut self, snapshot: &Snapshot) -> Result<bool, Index> {
        let last = snapshot.meta.last;
        let at = |entry: &&Entry| entry.position.index == last.index;
        let conflicts = |entry: &Entry| entry.position != last;
        let is_contradicted = self.entries.iter().find(at).is_some_and(conflicts);
        let next = self.next_index.unwrap_or(last.index + 1);
        let needs_reset = is_contradicted || next <= last.index;
        if needs_reset {
            self.entries.clear();
        }
        self.entries
            .retain(|entry| entry.position.index > last.index);
        let first = self.entries.first().map(|entry| entry.position.index);
        match first.unwrap_or(next) {
            first if !needs_reset && first > last.index + 1 => Err(first),
            _ => Ok(needs_reset),
        }
    }

    fn read_segment(
        &mut self,
        path: &PathBuf,
        number: u64,
        identity: Identity,
        is_last: bool,
    ) -> Result<(), Error> {
        let length = file::with_path("reading", path, fs::metadata(path))?.len();
        if length > MAX_SEGMENT_BYTES {
            return Err(corrupt(path, 0, Corruption::Header));
        }
        let content = file::with_path("reading", path, fs::read(path))?;
        self.segments.push(Segment {
            number,
            highest_index: 0,
            bytes: length,
        });
        let mut offset = 0;
        loop {
            let fail = |corruption| corrupt(path, offset as u64, corruption);
            match parse(&content[offset..]) {
                Parsed::End if offset > 0 => return Ok(()),
                Parsed::End | Parsed::Torn if is_last => return self.cut_tail(path, offset as u64),
                Parsed::End | Parsed::Torn => return Err(fail(Corruption::Truncated)),
                Parsed::Corrupt(corruption) => return Err(fail(corruption)),
                Parsed::Frame { header, payload } => {
                    if self
                        .next_sequence
                        .is_some_and(|next| next != header.sequence)
                    {
                        return Err(fail(Corruption::Gap));
                    }
                    self.next_sequence = Some(header.sequence + 1);
                    let is_first = offset == 0;
                    self.read_records(payload, identity, is_first)
                        .map_err(fail)?;
                    offset += HEADER_BYTES + header.payload_bytes;
                }
            }
        }
    }

    fn read_records(
        &mut self,
        mut payload: &[u8],
        identity: Identity,
        mut is_first: bool,
    ) -> Result<(), Corruption> {
        while !payload.is_empty() {
            let (record, rest): (Record<Entry>, &[u8]) =
                postcard::take_from_bytes(payload).map_err(|_| Corruption::Encoding)?;
            if is_first && !matches!(record, Record::Start { .. }) {
                return Err(Corruption::Gap);
            }
            self.apply_record(record, identity)?;
            payload = rest;
            is_first = false;
        }
        Ok(())
    }

    fn apply_record(
        &mut self,
        record: Record<Entry>,
        own_identity: Identity,
    ) -> Result<(), Corruption> {
        match record {
            Record::Start { identity, .. } if identity != own_identity => {
                return Err(Corruption::WrongReplica);
            }
            Record::Start { hard_state, .. } | Record::HardState(hard_state) => {
                self.hard_state = hard_state;
            }
            Record::Entry(entry) => return self.append_entry(entry),
            Record::Truncate { from } => {
                if self.next_index.is_some_and(|next| from > next) {
                    return Err(Corruption::Gap);
                }
                let is_kept = |entry: &Entry| entry.position.index < from;
                let length = self.entries.partition_point(is_kept);
                self.entries.truncate(length);
                self.next_index = Some(from);
            }
            Record::Reset { last } => {
                self.entries.clear();
                self.next_index = Some(last.index + 1);
            }
        }
        Ok(())
    }

    fn append_entry(&mut self, entry: Entry) -> Result<(), Corruption> {
        let Position { index, .. } = entry.position;
        if self.next_index.is_some_and(|next| next != index) {
            return Err(Corruption::Gap);
        }
        self.next_index = Some(index + 1);
        if let Some(segment) = self.segments.last_mut() {
            segment.highest_index = segment.highest_index.max(index);
        }
        self.entries.push(entry);
        Ok(())
    }

    /// Truncates the last segment at `offset`, or removes it if nothing is left. Logs a warning.
    fn cut_tail(&mut self, path: &Path, offset: u64) -> Result<(), Error> {
        let Some(segment) = self.segments.last_mut() else {
            return Ok(());
        };
        let bytes = segment.bytes - offset;
        segment.bytes = offset;
        log::warn!(
            "{}: cut off {bytes} bytes of an incomplete write at byte {offset}",
            path.display()
        );
        self.torn_tail = Some(TornTail {
            path: path.to_owned(),
            offset,
            bytes,
        });
        if offset == 0 {
            self.segments.pop();
            file::remove_file(path)?;
            return file::sync_directory(file::directory_of(path));
        }
        let cut = File::options().write(true).open(path).and_then(|file| {
            file.set_len(offset)?;
            file.sync_all()
        });
        file::with_path("cutting", path, cut)
    }
}

pub(super) fn corrupt(path: &Path, offset: u64, corruption: Corruption) -> Error {
    Error::Corrupt {
        path: path.to_owned(),
        offset,
        corruption,
    }
}
