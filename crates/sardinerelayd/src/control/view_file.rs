//! The copy of the view on disk, and the lock of the data directory.
//!
//! The file consists of a format version, a SHA-256 digest of the body, and the body: the view in
//! postcard encoding.

use {
    super::FatalError,
    log::error,
    sardinerelay::state::View,
    sha2::{Digest as _, Sha256},
    std::{
        fs::{self, File, TryLockError},
        io::{self, Write as _},
        path::{Path, PathBuf},
    },
};

/// Version of the file format, written as two bytes in little-endian order.
const FORMAT_VERSION: u16 = 1;

/// Size of the format version and the digest.
const HEADER_BYTES: usize = 2 + 32;

/// The file of the view in a locked data directory. Dropping it releases the lock.
#[derive(Debug)]
pub(super) struct ViewFile {
    directory: PathBuf,
    _lock: File,
}

impl ViewFile {
    /// Locks the directory and reads the view. The view is `None` if there is no file or it is
    /// damaged; like a host without a disk, the host then publishes nothing until a leader confirms
    /// a version.
    pub(super) fn open(directory: &Path) -> Result<(Self, Option<View>), FatalError> {
        fs::create_dir_all(directory).map_err(failed("creating", directory))?;
        let path = directory.join("lock");
        let lock = File::create(&path).map_err(failed("creating", &path))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                return Err(FatalError::Locked {
                    path: directory.to_owned(),
                });
            }
            Err(TryLockError::Error(source)) => return Err(failed("locking", &path)(source)),
        }
        let file = Self {
            directory: directory.to_owned(),
            _lock: lock,
        };
        let view = file.read()?;
        Ok((file, view))
    }

    /// Replaces the view atomically and syncs it to disk.
    pub(super) fn save(&self, view: &View) -> Result<(), FatalError> {
        let new = self.directory.join("view.new");
        let path = self.path();
        let bytes = encode(view).map_err(failed("encoding", &path))?;
        let mut file = File::create(&new).map_err(failed("creating", &new))?;
        file.write_all(&bytes).map_err(failed("writing", &new))?;
        file.sync_all().map_err(failed("syncing", &new))?;
        fs::rename(&new, &path).map_err(failed("replacing", &path))?;
        let directory = File::open(&self.directory).and_then(|directory| directory.sync_all());
        directory.map_err(failed("syncing", &self.directory))
    }

    fn read(&self) -> Result<Option<View>, FatalError> {
        let path = self.path();
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(failed("reading", &path)(error)),
        };
        let view = decode(&bytes);
        if view.is_none() {
            error!(
                "{} is damaged or of another format version; publishing nothing until a leader \
                 confirms a version",
                path.display()
            );
        }
        Ok(view)
    }

    fn path(&self) -> PathBuf {
        self.directory.join("view")
    }
}

fn encode(view: &View) -> io::Result<Vec<u8>> {
    let body = postcard::to_stdvec(view).map_err(io::Error::other)?;
    Ok([
        &FORMAT_VERSION.to_le_bytes()[..],
        &Sha256::digest(&body),
        &body,
    ]
    .concat())
}

fn decode(bytes: &[u8]) -> Option<View> {
    let (header, body) = bytes.split_at_checked(HEADER_BYTES)?;
    let (format, digest) = header.split_at(2);
    let is_intact =
        format == FORMAT_VERSION.to_le_bytes() && digest == Sha256::digest(body).as_slice();
    is_intact.then(|| postcard::from_bytes(body).ok())?
}

/// Builds the function that turns an I/O error into a [`FatalError::View`].
fn failed(action: &'static str, path: &Path) -> impl FnOnce(io::Error) -> FatalError {
    let path = path.to_owned();
    move |source| FatalError::View {
        action,
        path,
        source,
    }
}
