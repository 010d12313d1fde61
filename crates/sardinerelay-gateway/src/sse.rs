//! Splits a stream of server-sent events, so that only complete events reach a caller.

use {
    crate::{
        body::{Claim, Memory},
        call::EventId,
    },
    bytes::{Bytes, BytesMut},
};

/// Largest event in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A complete event, including the empty line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The number in its `id` field; none if it has no such field, or no number there.
    pub id: Option<EventId>,
    /// The bytes as they arrived.
    pub bytes: Bytes,
}

/// Error for an event that exceeds the size limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes, or there is no memory for it")]
pub struct TooLong;

/// Buffers the bytes of a stream and splits them into events.
#[derive(Debug)]
pub struct Splitter {
    buffer: BytesMut,
    /// Memory that an unusually long event takes.
    claim: Claim,
    /// Length of the part of the buffer that has been searched for the end of an event.
    searched: usize,
}

impl Splitter {
    /// Creates a splitter that takes the memory for long events from `memory`.
    pub fn new(memory: &Memory) -> Self {
        Self {
            buffer: BytesMut::new(),
            claim: memory.claim(),
            searched: 0,
        }
    }

    /// Appends bytes of the stream.
    ///
    /// # Errors
    ///
    /// Returns [`TooLong`] if more than the largest event is buffered, or if other long events have taken
    /// the memory.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), TooLong> {
        if self.buffer.is_empty() {
            self.claim.release();
        }
        let length = self.buffer.len() + bytes.len();
        if length > MAX_EVENT_BYTES || !self.claim.cover(length.next_power_of_two()) {
            return Err(TooLong);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Takes the next complete event. Returns none if more bytes are needed for it.
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

    /// Whether no part of an event is buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}

/// Returns the position after the first empty line.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let lf = find(bytes, b"\n\n").map(|at| at + 2);
    let crlf = find(bytes, b"\r\n\r\n").map(|at| at + 4);
    match (lf, crlf) {
        (Some(lf), Some(crlf)) => Some(lf.min(crlf)),
        (lf, crlf) => lf.or(crlf),
    }
}

/// Returns the position of the first occurrence of `pattern`.
fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

/// Returns the number in the first `id` field that holds one.
fn id_of(event: &[u8]) -> Option<EventId> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
