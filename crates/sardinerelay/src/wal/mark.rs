//! A fact that a host keeps across restarts.

use {
    super::{Error, Volume, file},
    std::{fs, path::PathBuf},
};

/// A fact that holds while an empty file exists. After a crash it holds or doesn't as before or after the change
/// that was interrupted.
#[derive(Debug, Clone)]
pub struct Mark {
    volume: Volume,
    path: PathBuf,
}

impl Mark {
    /// Returns the mark with this file on this volume.
    pub fn new(volume: Volume, path: PathBuf) -> Self {
        Self { volume, path }
    }

    /// Whether the mark is set.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] if the directory can't be read.
    pub fn is_set(&self) -> Result<bool, Error> {
        file::with_path("reading", &self.path, self.path.try_exists())
    }

    /// Sets the mark, in a directory that is made if it doesn't exist. It is synced when this returns.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] if the file can't be made, for example because the disk is full.
    pub fn set(&self) -> Result<(), Error> {
        let directory = file::directory_of(&self.path);
        file::with_path("creating", directory, fs::create_dir_all(directory))?;
        file::write_atomically(&self.volume, &self.path, &[])
    }

    /// Clears the mark, which may not be set. That is synced when this returns.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] if the file can't be removed.
    pub fn clear(&self) -> Result<(), Error> {
        if !self.is_set()? {
            return Ok(());
        }
        file::remove_file(&self.path)?;
        file::sync_directory(file::directory_of(&self.path))
    }
}
