//! The record of streams on a voter's disk, so that it outlives the end of all processes at once.
//!
//! Streams are appended, and the file is written anew when it has grown. What was appended after the last sync may be
//! lost with the power. A record that can't be read ends the file: the streams behind it are unknown, as if they
//! hadn't been told.

use {
    super::{Began, Origins},
    serde::{Deserialize, Serialize},
    std::{
        fs::{File, OpenOptions},
        io::{self, Read as _, Write as _},
        path::{Path, PathBuf},
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    thiserror::Error as ThisError,
};

/// Name of the file within the data directory.
const FILE_NAME: &str = "streams";
/// Suffix of the file that is about to replace it.
const NEW_SUFFIX: &str = "new";
/// Size from which on the file is written anew, in bytes.
const MAX_BYTES: u64 = 4 << 20;
/// Largest number of streams that are written anew.
const MAX_STREAMS: usize = 1 << 15;

/// Why streams were not written.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The disk failed or is full.
    #[error(transparent)]
    Disk(#[from] io::Error),
    /// A stream can't be encoded.
    #[error(transparent)]
    Encoding(#[from] postcard::Error),
}

/// A stream in the file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Saved {
    began: Began,
    /// When the stream was recorded, in milliseconds since 1970. Only the time of day goes on across a restart.
    at_ms: u64,
}

/// The file, open for streams to be appended.
#[derive(Debug)]
pub struct Records {
    path: PathBuf,
    file: File,
    bytes: u64,
}

impl Records {
    /// Opens the file in a directory, or creates it. Also returns the streams in it that may still be taken up.
    ///
    /// # Errors
    ///
    /// Returns the error of the disk.
    pub fn open(directory: &Path) -> Result<(Self, Vec<Began>), Error> {
        let path = directory.join(FILE_NAME);
        let mut options = OpenOptions::new();
        let mut file = options.create(true).read(true).append(true).open(&path)?;
        let mut contents = Vec::new();
        file.read_to_end(&mut contents)?;
        let mut records = Self {
            path,
            file,
            bytes: contents.len() as u64,
        };
        let (streams, readable) = decode(&contents, unix_ms());
        if readable < contents.len() {
            // Otherwise what is appended could not be read either.
            records.replace(&streams)?;
        }
        Ok((records, streams))
    }

    /// Appends streams that began, and waits until they are on disk.
    ///
    /// # Errors
    ///
    /// Returns the error of the disk. Some of the streams may be written.
    pub fn append(&mut self, streams: &[Began]) -> Result<(), Error> {
        let encoded = encode(streams, unix_ms())?;
        self.file.write_all(&encoded)?;
        self.bytes += encoded.len() as u64;
        self.file.sync_data()?;
        Ok(())
    }

    /// Whether the file should be written anew.
    pub fn is_large(&self) -> bool {
        self.bytes > MAX_BYTES
    }

    /// Writes the file anew with these streams only.
    ///
    /// # Errors
    ///
    /// Returns the error of the disk. The file is as before then.
    pub fn replace(&mut self, streams: &[Began]) -> Result<(), Error> {
        let new_path = self.path.with_extension(NEW_SUFFIX);
        let encoded = encode(streams, unix_ms())?;
        let mut file = File::create(&new_path)?;
        file.write_all(&encoded)?;
        file.sync_data()?;
        std::fs::rename(&new_path, &self.path)?;
        if let Some(directory) = self.path.parent() {
            File::open(directory)?.sync_all()?;
        }
        self.file = OpenOptions::new().append(true).open(&self.path)?;
        self.bytes = encoded.len() as u64;
        Ok(())
    }
}

/// Returns the streams of a record for [`Records::replace`].
pub fn all(origins: &Origins, now: Instant) -> Vec<Began> {
    origins.page(None, MAX_STREAMS, now)
}

fn encode(streams: &[Began], at_ms: u64) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::new();
    for began in streams {
        let began = began.clone();
        bytes = postcard::to_extend(&Saved { began, at_ms }, bytes)?;
    }
    Ok(bytes)
}

/// Returns the streams that may still be taken up at `now_ms`, and the number of bytes that could be read.
fn decode(contents: &[u8], now_ms: u64) -> (Vec<Began>, usize) {
    let mut rest = contents;
    let mut streams = Vec::new();
    while let Ok((Saved { mut began, at_ms }, behind)) = postcard::take_from_bytes(rest) {
        rest = behind;
        let age = Duration::from_millis(now_ms.saturating_sub(at_ms));
        began.lifetime = began.lifetime.saturating_sub(age);
        if !began.lifetime.is_zero() {
            streams.push(began);
        }
    }
    (streams, contents.len() - rest.len())
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}
