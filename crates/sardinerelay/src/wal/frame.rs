//! Frames: the units that are written, synced and verified.
//!
//! | bytes | content |
//! |---|---|
//! | 4 | magic |
//! | 8 | sequence number, which increases by one from frame to frame across segments |
//! | 4 | length of the payload in bytes |
//! | 4 | CRC32 of the payload |
//! | 4 | CRC32 of the preceding 20 bytes of the header |
//!
//! Numbers are little-endian.
//!
//! The header has its own checksum, so that a frame with a damaged length is not mistaken for
//! one that was not written completely.

use {
    super::{Corruption, Identity},
    crate::{
        id::Index,
        raft::{HardState, Position},
    },
    serde::{Deserialize, Serialize},
};

/// Size of an encoded [`Header`].
pub(super) const HEADER_BYTES: usize = 24;

/// Largest payload that a valid header can state.
pub(super) const MAX_PAYLOAD_BYTES: usize = 1 << 30;

const FRAME_MAGIC: [u8; 4] = *b"SRf1";

/// One record of the log. `Item` is a borrowed entry when records are written and an owned one
/// when they are read.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Record<Item> {
    /// First record of each segment. It repeats the identity, and the term and vote that an
    /// earlier segment, which may be removed, has set.
    Start {
        identity: Identity,
        hard_state: HardState,
    },
    /// Follows the entry before it without a gap.
    Entry(Item),
    /// Drops the entries from this index on.
    Truncate { from: Index },
    /// Drops all entries. The next one follows this position.
    Reset { last: Position },
    /// Replaces the term and vote.
    HardState(HardState),
}

/// Header of a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Header {
    pub(super) sequence: u64,
    pub(super) payload_bytes: usize,
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
    /// There are no more bytes.
    End,
    /// The bytes are no valid frame, and may be the start of one that was not written completely.
    Torn,
    /// The bytes are damaged, and later data shows that the frame had been synced.
    Corrupt(Corruption),
}

impl Header {
    /// The header of a frame whose payload has the given parts.
    pub(super) fn new(sequence: u64, parts: &[&[u8]]) -> Self {
        let mut hasher = crc32fast::Hasher::new();
        parts.iter().for_each(|part| hasher.update(part));
        Self {
            sequence,
            payload_bytes: parts.iter().map(|part| part.len()).sum(),
            checksum: hasher.finalize(),
        }
    }

    pub(super) fn encode(&self) -> [u8; HEADER_BYTES] {
        let mut bytes = [0; HEADER_BYTES];
        bytes[..4].copy_from_slice(&FRAME_MAGIC);
        bytes[4..12].copy_from_slice(&self.sequence.to_le_bytes());
        bytes[12..16].copy_from_slice(&(self.payload_bytes as u32).to_le_bytes());
        bytes[16..20].copy_from_slice(&self.checksum.to_le_bytes());
        let checksum = crc32fast::hash(&bytes[..20]);
        bytes[20..].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Reads a header. `None` if it is incomplete, does not match its checksum, or states a
    /// payload above [`MAX_PAYLOAD_BYTES`].
    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        let bytes = bytes.get(..HEADER_BYTES)?;
        if bytes[..4] != FRAME_MAGIC || crc32fast::hash(&bytes[..20]) != read_u32(&bytes[20..])? {
            return None;
        }
        let payload_bytes = read_u32(&bytes[12..16])? as usize;
        (payload_bytes <= MAX_PAYLOAD_BYTES).then_some(Self {
            sequence: u64::from_le_bytes(bytes[4..12].try_into().ok()?),
            payload_bytes,
            checksum: read_u32(&bytes[16..20])?,
        })
    }

    /// Whether the payload has the checksum that the header states.
    pub(super) fn matches(&self, payload: &[u8]) -> bool {
        crc32fast::hash(payload) == self.checksum
    }
}

/// Reads the frame at the start of `bytes`, which must reach to the end of the file.
pub(super) fn parse(bytes: &[u8]) -> Parsed<'_> {
    if bytes.is_empty() {
        return Parsed::End;
    }
    let Some(header) = Header::decode(bytes) else {
        return match contains_header(bytes) {
            true => Parsed::Corrupt(Corruption::Header),
            false => Parsed::Torn,
        };
    };
    let end = HEADER_BYTES + header.payload_bytes;
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

/// Whether a valid header starts anywhere after the first byte.
fn contains_header(bytes: &[u8]) -> bool {
    (1..bytes.len())
        .filter(|&start| bytes[start..].starts_with(&FRAME_MAGIC))
        .any(|start| Header::decode(&bytes[start..]).is_some())
}

fn read_u32(bytes: &[u8]) -> Option<u32> {
    Some(u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?))
}
