//! Splits a stream of server-sent events, so that only whole events reach a caller.

use {
    crate::call::EventId,
    bytes::{Bytes, BytesMut},
};

/// Largest event in bytes.
const MOST_BYTES: usize = 1 << 20;

/// A whole event with its closing empty line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its number, if it has one.
    pub id: Option<EventId>,
    /// Its bytes.
    pub bytes: Bytes,
}

/// An event exceeds the size limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {MOST_BYTES} bytes")]
pub struct TooLong;

/// Collects bytes until an event is whole.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Bytes at the start of the buffer that hold no end of an event.
    searched: usize,
}

impl Splitter {
    /// Adds bytes.
    ///
    /// # Errors
    ///
    /// [`TooLong`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), TooLong> {
        self.buffer.extend_from_slice(bytes);
        match self.buffer.len() > MOST_BYTES {
            true => Err(TooLong),
            false => Ok(()),
        }
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let from = self.searched.saturating_sub(3);
        let Some(end) = end_of_event(&self.buffer[from..]) else {
            self.searched = self.buffer.len();
            return None;
        };
        let bytes = self.buffer.split_to(from + end).freeze();
        self.searched = 0;
        Some(Event {
            id: id_of(&bytes),
            bytes,
        })
    }

    /// Whether a part of an event is left.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}

/// Position after the first empty line.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let unix = find(bytes, b"\n\n").map(|at| at + 2);
    let dos = find(bytes, b"\r\n\r\n").map(|at| at + 4);
    match (unix, dos) {
        (Some(unix), Some(dos)) => Some(unix.min(dos)),
        (unix, dos) => unix.or(dos),
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

fn id_of(event: &[u8]) -> Option<EventId> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
