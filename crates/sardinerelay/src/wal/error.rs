//! Errors of the store.

use {
    std::{io, path::PathBuf},
    thiserror::Error,
};

/// Why the store could not be opened or used.
#[derive(Debug, Error)]
pub enum Error {
    /// Another process uses the directory.
    #[error("{path} is used by another process")]
    Locked {
        /// The directory.
        path: PathBuf,
    },
    /// The directory has no identity yet; see [`Store::create`](super::Store::create).
    #[error("{path} is not initialised")]
    NotInitialised {
        /// The directory.
        path: PathBuf,
    },
    /// The directory already has an identity or files of a store.
    #[error("{path} is already initialised")]
    AlreadyInitialised {
        /// The directory.
        path: PathBuf,
    },
    /// The directory was written by a newer version.
    #[error("{path} has format version {found}, but this version reads up to {known}")]
    UnknownFormat {
        /// The file with the version.
        path: PathBuf,
        /// Version found.
        found: u32,
        /// Highest version that can be read.
        known: u32,
    },
    /// Acknowledged data is damaged. The replica must not take part with what is left of it.
    #[error(
        "{path} is damaged at byte {offset}: {corruption}; to rejoin, erase the directory, start \
         with a new replica id as a learner, and remove the old replica id from the group"
    )]
    Corrupt {
        /// The damaged file.
        path: PathBuf,
        /// Offset of the damaged part in bytes.
        offset: u64,
        /// What is wrong.
        corruption: Corruption,
    },
    /// A read or write failed.
    #[error("{action} {path} failed")]
    Io {
        /// What was attempted.
        action: &'static str,
        /// The file or directory.
        path: PathBuf,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// A record cannot be encoded.
    #[error("encoding a record failed")]
    Encoding(#[from] postcard::Error),
    /// A record or snapshot exceeds the limit. After a refused snapshot the store stays usable.
    #[error("a record or snapshot of {bytes} bytes exceeds the limit of {limit}")]
    TooLarge {
        /// Size in bytes.
        bytes: usize,
        /// Limit in bytes.
        limit: usize,
    },
    /// An earlier write or sync failed, so the content of the directory is unknown.
    #[error("an earlier write to {path} failed; restart the process")]
    Poisoned {
        /// The directory.
        path: PathBuf,
    },
}

/// What is wrong with a damaged file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Corruption {
    /// The header of a frame or file is not what was written.
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
