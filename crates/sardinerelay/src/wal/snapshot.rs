//! Snapshot files: one frame whose payload is the meta data followed by the data.

use {
    super::{
        Corruption, Error, file,
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

/// Saves a snapshot and then removes older ones.
pub(super) fn save(directory: &Path, snapshot: &Snapshot, most: u64) -> Result<(), Error> {
    let last = snapshot.meta.last;
    let path = file::snapshot_path(directory, last.index, last.term);
    let meta = postcard::to_stdvec(&snapshot.meta)?;
    let bytes = meta.len() + snapshot.data.len();
    if bytes as u64 > most {
        return Err(Error::TooLarge {
            bytes,
            limit: most as usize,
        });
    }
    let header = Header::new(last.index, &[&meta, &snapshot.data]).encode();
    file::replace(&path, &[&header, &meta, &snapshot.data])?;
    let older = file::snapshots(directory)?;
    older
        .iter()
        .filter(|older| **older < path)
        .try_for_each(|older| file::remove(older))
}

/// Reads the latest snapshot and removes older ones that a crash has left.
pub(super) fn load(directory: &Path, most: u64) -> Result<Snapshot, Error> {
    let mut paths = file::snapshots(directory)?;
    let Some(latest) = paths.pop() else {
        return Err(damaged(directory, Corruption::Gap));
    };
    let snapshot = read(&latest, most)?;
    paths.iter().try_for_each(|older| file::remove(older))?;
    Ok(snapshot)
}

fn read(path: &PathBuf, most: u64) -> Result<Snapshot, Error> {
    let length = file::at("reading", path, fs::metadata(path))?.len();
    if length > most + HEADER_BYTES as u64 {
        return Err(damaged(path, Corruption::Header));
    }
    let mut content = Vec::with_capacity(length as usize);
    let result = File::open(path).and_then(|mut file| file.read_to_end(&mut content));
    file::at("reading", path, result)?;
    decode(path, Bytes::from(content))
}

fn decode(path: &Path, content: Bytes) -> Result<Snapshot, Error> {
    let header = Header::decode(&content).ok_or_else(|| damaged(path, Corruption::Header))?;
    let payload = content.slice(HEADER_BYTES..);
    if payload.len() != header.length {
        return Err(damaged(path, Corruption::Truncated));
    }
    if !header.matches(&payload) {
        return Err(damaged(path, Corruption::Checksum));
    }
    let (meta, data): (SnapshotMeta, &[u8]) =
        postcard::take_from_bytes(&payload).map_err(|_| damaged(path, Corruption::Encoding))?;
    let data = payload.slice_ref(data);
    let named = file::snapshot_path(
        path.parent().unwrap_or(Path::new("")),
        meta.last.index,
        meta.last.term,
    );
    if named != path {
        return Err(damaged(path, Corruption::WrongReplica));
    }
    Ok(Snapshot { meta, data })
}

fn damaged(path: &Path, corruption: Corruption) -> Error {
    Error::Corrupt {
        path: path.to_owned(),
        offset: 0,
        corruption,
    }
}
