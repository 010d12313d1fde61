//! Snapshot files: one frame whose payload is the metadata followed by the data, and whose
//! sequence number is the index of the last entry.

use {
    super::{
        Corruption, Error, Volume, file,
        frame::{HEADER_BYTES, Header},
    },
    crate::raft::{Snapshot, SnapshotMeta},
    bytes::Bytes,
    std::{
        fs::{self, File},
        io::Read,
        path::{Path, PathBuf},
    },
};

/// Saves a snapshot of at most `max_bytes`, metadata included, and then removes older ones.
pub(super) fn save(
    volume: &Volume,
    directory: &Path,
    snapshot: &Snapshot,
    max_bytes: u64,
) -> Result<(), Error> {
    let last = snapshot.meta.last;
    let path = file::snapshot_path(directory, last.index, last.term);
    let meta = postcard::to_stdvec(&snapshot.meta)?;
    let bytes = meta.len() + snapshot.data.len();
    if bytes as u64 > max_bytes {
        return Err(Error::TooLarge {
            bytes,
            limit: max_bytes as usize,
        });
    }
    let header = Header::new(last.index, &[&meta, &snapshot.data]).encode();
    file::write_atomically(volume, &path, &[&header, &meta, &snapshot.data])?;
    let older = file::snapshot_paths(directory)?;
    older
        .iter()
        .filter(|older| **older < path)
        .try_for_each(|older| file::remove_file(older))
}

/// Reads the latest snapshot, of at most `max_bytes`, and removes older ones that a crash has left.
pub(super) fn load(directory: &Path, max_bytes: u64) -> Result<Snapshot, Error> {
    let mut paths = file::snapshot_paths(directory)?;
    let Some(latest) = paths.pop() else {
        return Err(corrupt(directory, Corruption::Gap));
    };
    let snapshot = read(&latest, max_bytes)?;
    paths
        .iter()
        .try_for_each(|older| file::remove_file(older))?;
    Ok(snapshot)
}

fn read(path: &PathBuf, max_bytes: u64) -> Result<Snapshot, Error> {
    let length = file::with_path("reading", path, fs::metadata(path))?.len();
    if length > max_bytes + HEADER_BYTES as u64 {
        return Err(corrupt(path, Corruption::Header));
    }
    let mut content = Vec::with_capacity(length as usize);
    let result = File::open(path).and_then(|mut file| file.read_to_end(&mut content));
    file::with_path("reading", path, result)?;
    decode(path, Bytes::from(content))
}

fn decode(path: &Path, content: Bytes) -> Result<Snapshot, Error> {
    let header = Header::decode(&content).ok_or_else(|| corrupt(path, Corruption::Header))?;
    let payload = content.slice(HEADER_BYTES..);
    if payload.len() != header.payload_bytes {
        return Err(corrupt(path, Corruption::Truncated));
    }
    if !header.matches(&payload) {
        return Err(corrupt(path, Corruption::Checksum));
    }
    let (meta, data): (SnapshotMeta, &[u8]) =
        postcard::take_from_bytes(&payload).map_err(|_| corrupt(path, Corruption::Encoding))?;
    let data = payload.slice_ref(data);
    let expected_path = file::snapshot_path(
        path.parent().unwrap_or(Path::new("")),
        meta.last.index,
        meta.last.term,
    );
    if expected_path != path {
        return Err(corrupt(path, Corruption::WrongReplica));
    }
    Ok(Snapshot { meta, data })
}

fn corrupt(path: &Path, corruption: Corruption) -> Error {
    Error::Corrupt {
        path: path.to_owned(),
        offset: 0,
        corruption,
    }
}
