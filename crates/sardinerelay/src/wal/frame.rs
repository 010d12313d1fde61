//! Frames: the unit that is written, synced and checked.
//!
//! | bytes | content |
//! |---|---|
//! | 4 | magic |
//! | 8 | sequence, which increases by one from frame to frame across segments |
//! | 4 | length of the payload in bytes |
//! | 4 | CRC32 of the payload |
//! | 4 | CRC32 of the header up to here |
//!
//! The header has its own checksum, so that a damaged length is not mistaken for a frame that
//! ends beyond the end of the file.

use {
    super::{Corruption, Identity},
    crate::{
        id::Index,
        raft::{HardState, Position},
    },
    serde::{Deserialize, Serialize},
};

pub(super) const HEADER_BYTES: usize = 24;

/// Largest payload that a header can announce.
pub(super) const MAX_PAYLOAD_BYTES: usize = 1 << 30;

const MAGIC: [u8; 4] = *b"SRf1";

/// One record of the log. Records are written with a borrowed entry and read with an owned one.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Record<Item> {
    /// First record of each segment. It repeats the state that removed segments have set.
    Start {
        identity: Identity,
        hard_state: HardState,
    },
    /// Follows the entry before it without a gap.
    Entry(Item),
    /// Entries from this index on are dropped.
    Truncate { from: Index },
    /// All entries are dropped; the next one follows this place.
    Reset { last: Position },
    /// Replaces term and vote.
    HardState(HardState),
}

/// A header whose checksum was right.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Header {
    pub(super) sequence: u64,
    pub(super) length: usize,
    checksum: u32,
}

/// The result of reading a frame at an offset.
#[derive(Debug)]
pub(super) enum Parsed<'bytes> {
    /// A whole frame.
    Frame {
        header: Header,
        payload: &'bytes [u8],
    },
    /// Nothing follows.
    End,
    /// What follows is no frame and may be the start of one that was not written completely.
    Torn,
    /// What follows is damaged, and later data shows that it had been synced.
    Corrupt(Corruption),
}

impl Header {
    /// The header of a frame whose payload has the given parts.
    pub(super) fn new(sequence: u64, parts: &[&[u8]]) -> Self {
        let mut hasher = crc32fast::Hasher::new();
        parts.iter().for_each(|part| hasher.update(part));
        Self {
            sequence,
            length: parts.iter().map(|part| part.len()).sum(),
            checksum: hasher.finalize(),
        }
    }

    pub(super) fn encode(&self) -> [u8; HEADER_BYTES] {
        let mut bytes = [0; HEADER_BYTES];
        bytes[..4].copy_from_slice(&MAGIC);
        bytes[4..12].copy_from_slice(&self.sequence.to_le_bytes());
        bytes[12..16].copy_from_slice(&(self.length as u32).to_le_bytes());
        bytes[16..20].copy_from_slice(&self.checksum.to_le_bytes());
        let checksum = crc32fast::hash(&bytes[..20]);
        bytes[20..].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Reads a header. `None` if it is incomplete or does not match its checksum.
    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        let bytes = bytes.get(..HEADER_BYTES)?;
        if bytes[..4] != MAGIC || crc32fast::hash(&bytes[..20]) != number(&bytes[20..])? {
            return None;
        }
        let length = number(&bytes[12..16])? as usize;
        (length <= MAX_PAYLOAD_BYTES).then_some(Self {
            sequence: u64::from_le_bytes(bytes[4..12].try_into().ok()?),
            length,
            checksum: number(&bytes[16..20])?,
        })
    }

    pub(super) fn matches(&self, payload: &[u8]) -> bool {
        crc32fast::hash(payload) == self.checksum
    }
}

/// Reads the frame at the start of `bytes`, which reach to the end of the file.
pub(super) fn parse(bytes: &[u8]) -> Parsed<'_> {
    if bytes.is_empty() {
        return Parsed::End;
    }
    let Some(header) = Header::decode(bytes) else {
        return match has_frame(bytes) {
            true => Parsed::Corrupt(Corruption::Header),
            false => Parsed::Torn,
        };
    };
    let end = HEADER_BYTES + header.length;
    let Some(payload) = bytes.get(HEADER_BYTES..end) else {
        return Parsed::Torn;
    };
    match header.matches(payload) {
        true => Parsed::Frame { header, payload },
        // Only the last frame can be incomplete, because it is synced before the next one.
        false if end == bytes.len() => Parsed::Torn,
        false => Parsed::Corrupt(Corruption::Checksum),
    }
}

/// Whether a valid header stands anywhere after the first byte.
fn has_frame(bytes: &[u8]) -> bool {
    (1..bytes.len())
        .filter(|&start| bytes[start..].starts_with(&MAGIC))
        .any(|start| Header::decode(&bytes[start..]).is_some())
}

fn number(bytes: &[u8]) -> Option<u32> {
    Some(u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?))
}
