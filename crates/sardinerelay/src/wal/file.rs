//! File operations whose errors name the file, and names of files.

use {
    super::Error,
    std::{
        fs::{self, File, TryLockError},
        io::{self, Write},
        path::{Path, PathBuf},
    },
};

pub(super) const LOCK: &str = "lock";
pub(super) const IDENTITY: &str = "identity";
const TEMPORARY: &str = "tmp";
const SEGMENT: (&str, &str) = ("segment-", ".log");
const SNAPSHOT: (&str, &str) = ("snapshot-", ".snap");

/// Attaches what was attempted and the path to an I/O error.
pub(super) fn at<Output>(
    action: &'static str,
    path: &Path,
    result: io::Result<Output>,
) -> Result<Output, Error> {
    result.map_err(|source| Error::Io {
        action,
        path: path.to_owned(),
        source,
    })
}

/// Locks the directory for this process. The lock ends with the returned file, also after a
/// crash.
pub(super) fn lock(directory: &Path) -> Result<File, Error> {
    let path = directory.join(LOCK);
    let opened = File::options()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&path);
    let file = at("opening", &path, opened)?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(Error::Locked {
            path: directory.to_owned(),
        }),
        Err(TryLockError::Error(source)) => at("locking", &path, Err(source)),
    }
}

/// Makes created, renamed and removed names in a directory durable.
pub(super) fn sync_directory(directory: &Path) -> Result<(), Error> {
    let synced = File::open(directory).and_then(|file| file.sync_all());
    at("syncing", directory, synced)
}

/// Writes a file so that its name stands for either nothing or the whole content.
pub(super) fn replace(path: &Path, parts: &[&[u8]]) -> Result<(), Error> {
    let temporary = path.with_extension(TEMPORARY);
    let mut file = at("creating", &temporary, File::create(&temporary))?;
    for part in parts {
        at("writing", &temporary, file.write_all(part))?;
    }
    at("syncing", &temporary, file.sync_all())?;
    at("renaming", &temporary, fs::rename(&temporary, path))?;
    sync_directory(path.parent().unwrap_or(Path::new(".")))
}

pub(super) fn remove(path: &Path) -> Result<(), Error> {
    at("removing", path, fs::remove_file(path))
}

/// Removes files that a crash left under a temporary name.
pub(super) fn remove_temporary(directory: &Path) -> Result<(), Error> {
    for path in list(directory)? {
        if path.extension().is_some_and(|found| found == TEMPORARY) {
            remove(&path)?;
        }
    }
    Ok(())
}

pub(super) fn segment_path(directory: &Path, number: u64) -> PathBuf {
    directory.join(format!("{}{number:016x}{}", SEGMENT.0, SEGMENT.1))
}

pub(super) fn snapshot_path(directory: &Path, index: u64, term: u64) -> PathBuf {
    directory.join(format!(
        "{}{index:016x}-{term:016x}{}",
        SNAPSHOT.0, SNAPSHOT.1
    ))
}

/// Numbers of the segments in a directory, ascending.
pub(super) fn segments(directory: &Path) -> Result<Vec<u64>, Error> {
    let paths = list(directory)?;
    let names = paths.iter().filter_map(|path| inner(path, SEGMENT));
    let mut numbers: Vec<u64> = names
        .filter_map(|name| u64::from_str_radix(name, 16).ok())
        .collect();
    numbers.sort_unstable();
    Ok(numbers)
}

/// Snapshot files in a directory, oldest first.
pub(super) fn snapshots(directory: &Path) -> Result<Vec<PathBuf>, Error> {
    let mut paths = list(directory)?;
    paths.retain(|path| inner(path, SNAPSHOT).is_some());
    paths.sort_unstable();
    Ok(paths)
}

fn list(directory: &Path) -> Result<Vec<PathBuf>, Error> {
    let found = fs::read_dir(directory)
        .and_then(|entries| entries.map(|entry| Ok(entry?.path())).collect());
    at("listing", directory, found)
}

/// The part of a file's name between prefix and suffix.
fn inner<'path>(path: &'path Path, (prefix, suffix): (&str, &str)) -> Option<&'path str> {
    let name = path.file_name()?.to_str()?;
    name.strip_prefix(prefix)?.strip_suffix(suffix)
}
