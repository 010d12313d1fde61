//! File operations whose errors name the file, and the names of the files in a directory.

use {
    super::{Error, Volume},
    std::{
        fs::{self, File, TryLockError},
        io,
        path::{Path, PathBuf},
    },
};

pub(super) const LOCK_FILE: &str = "lock";
pub(super) const IDENTITY_FILE: &str = "identity";
/// Marks a directory whose files are to be deleted, whichever of them are left.
pub(super) const DISCARDED_FILE: &str = "discarded";
/// Extension of files that are still being written.
const TEMPORARY_EXTENSION: &str = "tmp";
/// What precedes and follows the number in the name of a segment.
const SEGMENT_AFFIXES: (&str, &str) = ("segment-", ".log");
/// What precedes and follows index and term in the name of a snapshot.
const SNAPSHOT_AFFIXES: (&str, &str) = ("snapshot-", ".snap");

/// Adds the attempted operation and the path to an I/O error.
pub(super) fn with_path<Output>(
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

/// Locks the directory for this process. The operating system releases the lock when the
/// returned file is closed, also after a crash.
pub(super) fn lock_directory(volume: &Volume, directory: &Path) -> Result<File, Error> {
    let path = directory.join(LOCK_FILE);
    if !path.exists() {
        with_path("creating", &path, volume.check_name())?;
    }
    let opened = File::options()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&path);
    let file = with_path("opening", &path, opened)?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(Error::Locked {
            path: directory.to_owned(),
        }),
        Err(TryLockError::Error(source)) => with_path("locking", &path, Err(source)),
    }
}

/// Syncs a directory, so that files created, renamed or removed in it stay so after a crash.
pub(super) fn sync_directory(directory: &Path) -> Result<(), Error> {
    let synced = File::open(directory).and_then(|file| file.sync_all());
    with_path("syncing", directory, synced)
}

/// Writes a file with the concatenated parts under a temporary name, syncs and renames it. After
/// a crash the file either has its whole content or is what it was before.
pub(super) fn write_atomically(volume: &Volume, path: &Path, parts: &[&[u8]]) -> Result<(), Error> {
    let temporary = path.with_extension(TEMPORARY_EXTENSION);
    let created = volume.check_name().and_then(|()| File::create(&temporary));
    let mut file = with_path("creating", &temporary, created)?;
    for part in parts {
        with_path("writing", &temporary, volume.write(&mut file, part))?;
    }
    with_path("syncing", &temporary, file.sync_all())?;
    with_path("renaming", &temporary, fs::rename(&temporary, path))?;
    sync_directory(directory_of(path))
}

/// Returns the directory that a path is in, which is the current one for a mere name.
pub(super) fn directory_of(path: &Path) -> &Path {
    path.parent()
        .filter(|parent| !parent.as_os_str().is_empty())
        .unwrap_or(Path::new("."))
}

/// Deletes a directory with all of its files. The mark goes last, so that a deletion that is
/// interrupted can be finished.
pub(super) fn delete_marked(directory: &Path) -> Result<(), Error> {
    let mark = directory.join(DISCARDED_FILE);
    let files = list(directory)?;
    files
        .iter()
        .filter(|path| **path != mark)
        .try_for_each(|path| remove_file(path))?;
    sync_directory(directory)?;
    with_path("deleting", directory, fs::remove_dir_all(directory))
}

pub(super) fn remove_file(path: &Path) -> Result<(), Error> {
    with_path("removing", path, fs::remove_file(path))
}

/// Removes files that a crash has left under a temporary name.
pub(super) fn remove_temporary(directory: &Path) -> Result<(), Error> {
    for path in list(directory)? {
        if path
            .extension()
            .is_some_and(|found| found == TEMPORARY_EXTENSION)
        {
            remove_file(&path)?;
        }
    }
    Ok(())
}

pub(super) fn segment_path(directory: &Path, number: u64) -> PathBuf {
    directory.join(format!(
        "{}{number:016x}{}",
        SEGMENT_AFFIXES.0, SEGMENT_AFFIXES.1
    ))
}

pub(super) fn snapshot_path(directory: &Path, index: u64, term: u64) -> PathBuf {
    directory.join(format!(
        "{}{index:016x}-{term:016x}{}",
        SNAPSHOT_AFFIXES.0, SNAPSHOT_AFFIXES.1
    ))
}

/// Numbers of the segments in a directory, ascending.
pub(super) fn segment_numbers(directory: &Path) -> Result<Vec<u64>, Error> {
    let paths = list(directory)?;
    let names = paths
        .iter()
        .filter_map(|path| strip_affixes(path, SEGMENT_AFFIXES));
    let mut numbers: Vec<u64> = names
        .filter_map(|name| u64::from_str_radix(name, 16).ok())
        .collect();
    numbers.sort_unstable();
    Ok(numbers)
}

/// Snapshot files in a directory, oldest first.
pub(super) fn snapshot_paths(directory: &Path) -> Result<Vec<PathBuf>, Error> {
    let mut paths = list(directory)?;
    paths.retain(|path| strip_affixes(path, SNAPSHOT_AFFIXES).is_some());
    paths.sort_unstable();
    Ok(paths)
}

/// Index in the name of a snapshot; `None` if it has none.
pub(super) fn snapshot_index(path: &Path) -> Option<u64> {
    let (index, _) = strip_affixes(path, SNAPSHOT_AFFIXES)?.split_once('-')?;
    u64::from_str_radix(index, 16).ok()
}

fn list(directory: &Path) -> Result<Vec<PathBuf>, Error> {
    let found = fs::read_dir(directory)
        .and_then(|entries| entries.map(|entry| Ok(entry?.path())).collect());
    with_path("listing", directory, found)
}

/// The part of a file's name between prefix and suffix; `None` if the name lacks either.
fn strip_affixes<'path>(path: &'path Path, (prefix, suffix): (&str, &str)) -> Option<&'path str> {
    let name = path.file_name()?.to_str()?;
    name.strip_prefix(prefix)?.strip_suffix(suffix)
}
