//! The disk that a store writes to, as far as it may run out of room.

use std::{
    fmt,
    fs::File,
    io::{self, Write as _},
    sync::Arc,
};

/// Bytes that a new name takes in a directory.
const NAME_BYTES: u64 = 64;

/// Returns how many of this many bytes the disk has room for.
type Grant = Arc<dyn Fn(u64) -> u64 + Send + Sync>;

/// The disk that a store writes to. By default only the operating system knows how much room it has.
#[derive(Clone, Default)]
pub struct Volume {
    grant: Option<Grant>,
}

impl fmt::Debug for Volume {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let is_limited = self.grant.is_some();
        formatter
            .debug_struct("Volume")
            .field("is_limited", &is_limited)
            .finish()
    }
}

impl Volume {
    /// Creates a volume that asks before each write how many of its bytes there is room for, so that a
    /// store can be kept within a quota, or tested with a full disk.
    pub fn limited_by<Room>(grant: Room) -> Self
    where
        Room: Fn(u64) -> u64 + Send + Sync + 'static,
    {
        Self {
            grant: Some(Arc::new(grant)),
        }
    }

    /// Writes bytes to a file, as far as there is room.
    pub(super) fn write(&self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        let granted = self.granted(bytes.len() as u64) as usize;
        file.write_all(&bytes[..granted])?;
        match granted == bytes.len() {
            true => Ok(()),
            false => Err(io::ErrorKind::StorageFull.into()),
        }
    }

    /// Checks that there is room for a new name in a directory.
    pub(super) fn check_name(&self) -> io::Result<()> {
        match self.granted(NAME_BYTES) == NAME_BYTES {
            true => Ok(()),
            false => Err(io::ErrorKind::StorageFull.into()),
        }
    }

    fn granted(&self, bytes: u64) -> u64 {
        self.grant
            .as_ref()
            .map_or(bytes, |grant| grant(bytes).min(bytes))
    }
}
