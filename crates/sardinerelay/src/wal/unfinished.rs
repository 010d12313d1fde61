//! Directories whose creation was interrupted.
//!
//! The identity is written last and nothing is appended before. So a directory without an identity
//! may be made anew if all that it holds is written during creation, as far as a crash has left it:
//! the first snapshot, and a first segment with no more than its first frame. Anything else was
//! written by a replica that may have voted, and whose identity was lost later.

use {
    super::{
        Error, file,
        frame::{HEADER_BYTES, Parsed, Record, parse},
    },
    crate::raft::{Entry, HardState},
    std::{fs, path::Path},
};

/// Number of the segment that is written during creation.
const FIRST_SEGMENT: u64 = 0;
/// Index of the snapshot that is written during creation.
const FIRST_SNAPSHOT_INDEX: u64 = 0;

/// Whether a directory without an identity holds nothing but what its creation writes.
pub(super) fn is_unfinished(directory: &Path) -> Result<bool, Error> {
    for snapshot in file::snapshot_paths(directory)? {
        if file::snapshot_index(&snapshot) != Some(FIRST_SNAPSHOT_INDEX) {
            return Ok(false);
        }
    }
    match file::segment_numbers(directory)?[..] {
        [] => Ok(true),
        [FIRST_SEGMENT] => {
            let path = file::segment_path(directory, FIRST_SEGMENT);
            let content = file::with_path("reading", &path, fs::read(&path))?;
            Ok(is_first_frame(&content))
        }
        _ => Ok(false),
    }
}

/// Removes what an interrupted creation has left.
pub(super) fn remove(directory: &Path) -> Result<(), Error> {
    let numbers = file::segment_numbers(directory)?.into_iter();
    let segments = numbers.map(|number| file::segment_path(directory, number));
    let snapshots = file::snapshot_paths(directory)?;
    let mut removed = 0;
    for path in segments.chain(snapshots) {
        file::remove_file(&path)?;
        removed += 1;
    }
    file::remove_temporary(directory)?;
    if removed > 0 {
        log::warn!(
            "{}: removed {removed} files of an interrupted creation",
            directory.display()
        );
        file::sync_directory(directory)?;
    }
    Ok(())
}

/// Whether the content of a segment is its first frame, possibly incomplete, without a vote.
fn is_first_frame(content: &[u8]) -> bool {
    let (header, payload) = match parse(content) {
        Parsed::End | Parsed::Torn => return true,
        Parsed::Corrupt(_) => return false,
        Parsed::Frame { header, payload } => (header, payload),
    };
    let is_alone = content.len() == HEADER_BYTES + header.payload_bytes;
    let first = postcard::take_from_bytes::<Record<Entry>>(payload);
    let has_voted = !matches!(
        first,
        Ok((Record::Start { hard_state, .. }, _)) if hard_state == HardState::default()
    );
    is_alone && !has_voted
}
