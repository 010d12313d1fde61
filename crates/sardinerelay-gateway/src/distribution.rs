//! How the configuration gets from a host with a replica to entry hosts: as the differences to the
//! version that they hold, in pieces.
//!
//! [`History`] is what a host with a replica keeps for it, [`Download`] what an entry host does. Neither
//! does any I/O. See `docs/design/configuration.md` for the messages and the ways that were weighed.

mod download;
mod history;
mod publisher;

pub use self::{
    download::{Download, Error},
    history::{Change, History, MAX_PIECE_BYTES},
    publisher::Publisher,
};

use {
    crate::{group::Document, patch::Patch},
    bytes::Bytes,
    compact_str::CompactString,
    sardinerelay::id::Version,
    sardinerelayd::peer::Packed,
    serde::{Deserialize, Serialize},
    sha2::{Digest as _, Sha256},
};

/// SHA-256 of a configuration's text.
pub type Digest = [u8; 32];

/// Identifies an encoded transfer. Two hosts that encode the same bytes give it the same number.
pub type TransferId = u64;

/// Largest text of a configuration that is accepted, in bytes.
pub const MAX_TEXT_BYTES: usize = 4 << 20;

/// Which text of which version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Version that the operator gave the configuration.
    pub version: Version,
    /// Digest of its text.
    pub digest: Packed<Digest>,
}

/// Asks for the version of the newest configuration, and waits until it is newer than the one that
/// the host knows. The result is a [`Stamp`], or `null` if the wait ends before.
///
/// The messages of this module are JSON objects, so that later versions can add fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watch {
    /// Name of the entry host that follows.
    pub host: CompactString,
    /// The newest version that the host knows of, 0 if it knows none.
    pub version: Version,
    /// Time to wait for a newer one, in milliseconds.
    pub wait_ms: u64,
}

/// Asks for a piece of what makes the newest configuration out of the one that a host holds. The
/// result is a [`Piece`], or `null` if there is no newer configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    /// The configuration that the host holds.
    pub base: Option<Stamp>,
    /// The transfer that the host has begun, if the piece is not the first one.
    pub transfer: Option<TransferId>,
    /// Position of the piece in the transfer, in bytes.
    pub offset: usize,
    /// Largest size of the piece in bytes.
    pub max_bytes: usize,
}

/// A piece of an encoded transfer. If the requested transfer is no longer at hand, it is the first one
/// of another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The configuration that the transfer ends at.
    pub stamp: Stamp,
    pub transfer: TransferId,
    /// Size of the whole transfer in bytes.
    pub total: usize,
    /// Position of this piece in bytes.
    pub offset: usize,
    pub bytes: Packed<Bytes>,
}

/// What a transfer contains before it is compressed. It is stored by position; another content needs another
/// method.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Content {
    /// The text itself.
    Whole(Bytes),
    /// Patches that make the text out of the base, to be applied in this order.
    Patches(Vec<Patch>),
}

impl Stamp {
    /// Returns the stamp of a configuration.
    pub fn of(document: &Document) -> Self {
        Self {
            version: document.version,
            digest: Packed(Sha256::digest(&document.body).into()),
        }
    }
}
