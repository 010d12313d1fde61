//! Errors of the write-ahead log.

use {
    std::{io, path::PathBuf},
    thiserror::Error,
};

/// Why the store could not be opened or used.
#[derive(Debug, Error)]
pub enum Error {
    /// Another process holds the lock of the directory.
    #[error("{path} is used by another process")]
    Locked {
        /// Directory that the other process uses.
        path: PathBuf,
    },
    /// The directory has no identity yet; see [`Store::create`](super::Store::create).
    #[error("{path} is not initialised")]
    NotInitialised {
        /// Directory without an identity.
        path: PathBuf,
    },
    /// The directory already has an identity or files of a store.
    #[error("{path} is already initialised")]
    AlreadyInitialised {
        /// Directory that was to be initialised.
        path: PathBuf,
    },
    /// The directory was written by a version with another format.
    #[error("{path} has format version {found}, but this version reads up to {known}")]
    UnknownFormat {
        /// The file that states the version.
        path: PathBuf,
        /// Version that the file states.
        found: u32,
        /// Highest version that can be read.
        known: u32,
    },
    /// Acknowledged data is damaged. The replica must not rejoin its group with what is left,
    /// because it may have voted or acknowledged entries that are lost.
    #[error(
        "{path} is damaged at byte {offset}: {corruption}; to rejoin, erase the directory, start \
         with a new replica id as a learner, and remove the old replica id from the group"
    )]
    Corrupt {
        /// The damaged file.
        path: PathBuf,
        /// Offset of the damaged part in bytes.
        offset: u64,
        /// What is wrong with the data.
        corruption: Corruption,
    },
    /// A read or write failed.
    #[error("{action} {path} failed")]
    Io {
        /// The attempted operation, such as `opening`.
        action: &'static str,
        /// The file or directory of the operation.
        path: PathBuf,
        /// The error of the operating system.
        #[source]
        source: io::Error,
    },
    /// A record cannot be encoded.
    #[error("encoding a record failed")]
    Encoding(#[from] postcard::Error),
    /// A record or snapshot exceeds the limit. The store stays usable only if
    /// [`Store::save_snapshot`](super::Store::save_snapshot) returned the error.
    #[error("a record or snapshot of {bytes} bytes exceeds the limit of {limit}")]
    TooLarge {
        /// Size of the record or snapshot in bytes.
        bytes: usize,
        /// Limit in bytes.
        limit: usize,
    },
    /// An earlier write or sync failed, so the content of the directory is unknown.
    #[error("an earlier write to {path} failed; restart the process")]
    Poisoned {
        /// Directory that the failed write belongs to.
        path: PathBuf,
    },
}

/// What is wrong with a corrupt file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Corruption {
    /// The header of a frame or file is invalid, or the file is too large.
    #[error("bad header")]
    Header,
    /// The content does not match its checksum.
    #[error("checksum mismatch")]
    Checksum,
    /// The content matches its checksum but does not decode.
    #[error("undecodable content")]
    Encoding,
    /// A file ends early although later data was written.
    #[error("unexpected end of file")]
    Truncated,
    /// A frame, segment or entry is missing.
    #[error("missing data before it")]
    Gap,
    /// The file belongs to another replica or group.
    #[error("file of another replica")]
    WrongReplica,
}
