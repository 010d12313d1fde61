//! Reading a directory back.

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

/// Largest segment that is read, in bytes. Segments are rotated far below it.
const MAX_SEGMENT_BYTES: u64 = 2 << 30;

/// A segment that was found or written.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) struct Segment {
    pub(super) number: u64,
    /// Highest index among its entries, also of entries that were dropped later.
    pub(super) highest: Index,
    pub(super) bytes: u64,
}

/// The log as it is built up record by record.
#[derive(Debug, Default)]
pub(super) struct Replay {
    pub(super) hard_state: HardState,
    pub(super) entries: Vec<Entry>,
    pub(super) segments: Vec<Segment>,
    pub(super) torn: Option<TornTail>,
    /// Sequence of the next frame; `None` before the first one.
    pub(super) sequence: Option<u64>,
    /// Index of the next entry; `None` before the first one.
    next: Option<Index>,
}

impl Replay {
    /// Reads all segments, and cuts an incomplete last frame off.
    pub(super) fn read(directory: &Path, identity: Identity) -> Result<Self, Error> {
        let mut replay = Self::default();
        let numbers = file::segments(directory)?;
        let Some(&newest) = numbers.last() else {
            return Err(damaged(directory, 0, Corruption::Gap));
        };
        for number in numbers {
            let path = file::segment_path(directory, number);
            let previous = replay.segments.last();
            if previous.is_some_and(|previous| previous.number + 1 != number) {
                return Err(damaged(&path, 0, Corruption::Gap));
            }
            replay.read_segment(&path, number, identity, number == newest)?;
        }
        match replay.segments.is_empty() {
            true => Err(damaged(directory, 0, Corruption::Gap)),
            false => Ok(replay),
        }
    }

    /// Drops the entries that the snapshot contains. If the log contradicts the snapshot or
    /// ends before it, a crash came between saving a leader's snapshot and resetting the log.
    /// All entries are dropped then, and `true` says that the log on disk must be reset before
    /// anything is appended. The error is the first index after a gap.
    pub(super) fn reconcile(&mut self, snapshot: &Snapshot) -> Result<bool, Index> {
        let last = snapshot.meta.last;
        let at = |entry: &&Entry| entry.position.index == last.index;
        let conflicts = |entry: &Entry| entry.position != last;
        let contradicted = self.entries.iter().find(at).is_some_and(conflicts);
        let next = self.next.unwrap_or(last.index + 1);
        let reset = contradicted || next <= last.index;
        if reset {
            self.entries.clear();
        }
        self.entries
            .retain(|entry| entry.position.index > last.index);
        let first = self.entries.first().map(|entry| entry.position.index);
        match first.unwrap_or(next) {
            first if !reset && first > last.index + 1 => Err(first),
            _ => Ok(reset),
        }
    }

    fn read_segment(
        &mut self,
        path: &PathBuf,
        number: u64,
        identity: Identity,
        newest: bool,
    ) -> Result<(), Error> {
        let length = file::at("reading", path, fs::metadata(path))?.len();
        if length > MAX_SEGMENT_BYTES {
            return Err(damaged(path, 0, Corruption::Header));
        }
        let content = file::at("reading", path, fs::read(path))?;
        self.segments.push(Segment {
            number,
            highest: 0,
            bytes: length,
        });
        let mut offset = 0;
        loop {
            let fail = |corruption| damaged(path, offset as u64, corruption);
            match parse(&content[offset..]) {
                Parsed::End if offset > 0 => return Ok(()),
                Parsed::End | Parsed::Torn if newest => return self.cut(path, offset as u64),
                Parsed::End | Parsed::Torn => return Err(fail(Corruption::Truncated)),
                Parsed::Corrupt(corruption) => return Err(fail(corruption)),
                Parsed::Frame { header, payload } => {
                    if self.sequence.is_some_and(|next| next != header.sequence) {
                        return Err(fail(Corruption::Gap));
                    }
                    self.sequence = Some(header.sequence + 1);
                    let first = offset == 0;
                    self.read_records(payload, identity, first).map_err(fail)?;
                    offset += HEADER_BYTES + header.length;
                }
            }
        }
    }

    fn read_records(
        &mut self,
        mut payload: &[u8],
        identity: Identity,
        mut first: bool,
    ) -> Result<(), Corruption> {
        while !payload.is_empty() {
            let (record, rest): (Record<Entry>, &[u8]) =
                postcard::take_from_bytes(payload).map_err(|_| Corruption::Encoding)?;
            if first && !matches!(record, Record::Start { .. }) {
                return Err(Corruption::Gap);
            }
            self.apply(record, identity)?;
            payload = rest;
            first = false;
        }
        Ok(())
    }

    fn apply(&mut self, record: Record<Entry>, own: Identity) -> Result<(), Corruption> {
        match record {
            Record::Start { identity, .. } if identity != own => {
                return Err(Corruption::WrongReplica);
            }
            Record::Start { hard_state, .. } | Record::HardState(hard_state) => {
                self.hard_state = hard_state;
            }
            Record::Entry(entry) => return self.append(entry),
            Record::Truncate { from } => {
                if self.next.is_some_and(|next| from > next) {
                    return Err(Corruption::Gap);
                }
                let kept = |entry: &Entry| entry.position.index < from;
                let length = self.entries.partition_point(kept);
                self.entries.truncate(length);
                self.next = Some(from);
            }
            Record::Reset { last } => {
                self.entries.clear();
                self.next = Some(last.index + 1);
            }
        }
        Ok(())
    }

    fn append(&mut self, entry: Entry) -> Result<(), Corruption> {
        let Position { index, .. } = entry.position;
        if self.next.is_some_and(|next| next != index) {
            return Err(Corruption::Gap);
        }
        self.next = Some(index + 1);
        if let Some(segment) = self.segments.last_mut() {
            segment.highest = segment.highest.max(index);
        }
        self.entries.push(entry);
        Ok(())
    }

    /// Cuts the newest segment off at `offset`, or removes it if nothing is left.
    fn cut(&mut self, path: &Path, offset: u64) -> Result<(), Error> {
        let Some(segment) = self.segments.last_mut() else {
            return Ok(());
        };
        let bytes = segment.bytes - offset;
        segment.bytes = offset;
        log::warn!(
            "{}: cut off {bytes} bytes of an incomplete write at byte {offset}",
            path.display()
        );
        self.torn = Some(TornTail {
            path: path.to_owned(),
            offset,
            bytes,
        });
        if offset == 0 {
            self.segments.pop();
            file::remove(path)?;
            return file::sync_directory(path.parent().unwrap_or(Path::new(".")));
        }
        let cut = File::options().write(true).open(path).and_then(|file| {
            file.set_len(offset)?;
            file.sync_all()
        });
        file::at("cutting", path, cut)
    }
}

pub(super) fn damaged(path: &Path, offset: u64, corruption: Corruption) -> Error {
    Error::Corrupt {
        path: path.to_owned(),
        offset,
        corruption,
    }
}
