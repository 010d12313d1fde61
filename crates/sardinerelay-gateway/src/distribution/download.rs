//! A transfer as an entry host receives it.

use {
    super::{Content, Fetch, MAX_TEXT_BYTES, Piece, Stamp},
    crate::{group::Document, patch},
    bytes::Bytes,
    flate2::read::DeflateDecoder,
    std::io::{self, Read as _},
    thiserror::Error as ThisError,
};

/// Largest size of a transfer in bytes, compressed or not: a text, or patches that are no longer, with
/// their encoding.
const MAX_TRANSFER_BYTES: usize = MAX_TEXT_BYTES + (1 << 20);

/// Why a transfer yields no configuration.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The pieces are no compressed transfer, or a longer one than there may be.
    #[error("the transfer can't be decompressed")]
    Compression(#[from] io::Error),
    /// The decompressed bytes can't be parsed.
    #[error("the transfer can't be parsed")]
    Encoding(#[from] postcard::Error),
    /// A patch doesn't fit the text that it is applied to.
    #[error(transparent)]
    Patch(#[from] patch::Error),
    /// The transfer has patches, but there is no text to apply them to.
    #[error("there is no configuration to patch")]
    NoBase,
    /// The result is not the text that was accepted.
    #[error("the result differs from version {0}")]
    WrongText(sardinerelay::id::Version),
}

/// A transfer that is being received.
#[derive(Debug)]
pub struct Download {
    /// The configuration that the transfer ends at.
    stamp: Stamp,
    transfer: super::TransferId,
    total: usize,
    bytes: Vec<u8>,
}

impl Download {
    /// Returns the request for the next piece of a transfer, or for the first one of any.
    pub fn request(current: Option<&Self>, base: Option<Stamp>, max_bytes: usize) -> Fetch {
        Fetch {
            base,
            transfer: current.map(|download| download.transfer),
            offset: current.map_or(0, |download| download.bytes.len()),
            max_bytes,
        }
    }

    /// Adds a piece, which begins another transfer if it isn't the next piece of this one. Returns none
    /// if the piece fits nowhere.
    pub fn add(current: Option<Self>, piece: Piece) -> Option<Self> {
        let is_next = |download: &Self| {
            download.transfer == piece.transfer
                && download.total == piece.total
                && download.bytes.len() == piece.offset
        };
        let mut download = match current.filter(is_next) {
            Some(download) => download,
            None if piece.offset == 0 => Self {
                stamp: piece.stamp,
                transfer: piece.transfer,
                total: piece.total,
                bytes: Vec::new(),
            },
            None => return None,
        };
        let end = download.bytes.len() + piece.bytes.0.len();
        if end > download.total || download.total > MAX_TRANSFER_BYTES {
            return None;
        }
        download.bytes.extend_from_slice(&piece.bytes.0);
        Some(download)
    }

    /// Whether all pieces were added.
    pub fn is_complete(&self) -> bool {
        self.bytes.len() >= self.total
    }

    /// Returns the stamp of the configuration that the transfer ends at.
    pub fn stamp(&self) -> Stamp {
        self.stamp
    }

    /// Returns the size of the whole transfer in bytes.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Returns the configuration that the transfer makes out of the text of its base.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] unless the result is the very text that was accepted, by its digest.
    pub fn finish(&self, base: Option<&Bytes>) -> Result<Document, Error> {
        let mut encoded = Vec::new();
        let limit = MAX_TRANSFER_BYTES as u64 + 1;
        DeflateDecoder::new(self.bytes.as_slice())
            .take(limit)
            .read_to_end(&mut encoded)?;
        if encoded.len() > MAX_TRANSFER_BYTES {
            return Err(io::Error::other("it is too long").into());
        }
        let body = match postcard::from_bytes(&encoded)? {
            Content::Whole(text) => text,
            Content::Patches(patches) => {
                let mut text = base.ok_or(Error::NoBase)?.clone();
                for patch in patches {
                    text = patch.apply(&text, MAX_TEXT_BYTES)?;
                }
                text
            }
        };
        let document = Document {
            version: self.stamp.version,
            body,
        };
        if Stamp::of(&document) != self.stamp {
            return Err(Error::WrongText(self.stamp.version));
        }
        Ok(document)
    }
}
