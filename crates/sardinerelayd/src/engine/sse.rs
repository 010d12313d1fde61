//! Incremental decoder for server-sent events.

use {
    bytes::{Buf, Bytes, BytesMut},
    thiserror::Error,
};

/// Largest event that is accepted. Engines send one or a few tokens in each.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A server-sent event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The `id` field, empty if absent.
    pub id: Bytes,
    /// The `event` field, empty if absent.
    pub kind: Bytes,
    /// The `data` fields, joined by newlines. Events without data are skipped.
    pub data: Bytes,
}

/// An event exceeds the size limit.
#[derive(Debug, Error)]
#[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLarge;

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
    /// Number of bytes at the start of the buffer that were searched for the end of an event.
    scanned: usize,
}

impl Decoder {
    /// Appends bytes as they arrive.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the next complete event from the buffer, or returns `None` if there is none yet.
    ///
    /// # Errors
    ///
    /// Returns an error if an event exceeds the size limit.
    pub fn decode(&mut self) -> Result<Option<Event>, EventTooLarge> {
        loop {
            let Some(end) = self.find_end() else {
                if self.buffer.len() > MAX_EVENT_BYTES {
                    return Err(EventTooLarge);
                }
                return Ok(None);
            };
            let raw = self.buffer.split_to(end).freeze();
            self.buffer.advance(2);
            self.scanned = 0;
            if let Some(event) = parse(&raw) {
                return Ok(Some(event));
            }
        }
    }

    /// Position of the blank line that ends the first event.
    fn find_end(&mut self) -> Option<usize> {
        let from = self.scanned.saturating_sub(1);
        let found = self.buffer[from..]
            .windows(2)
            .position(|pair| pair == b"\n\n");
        self.scanned = self.buffer.len();
        found.map(|position| from + position)
    }
}

/// Parses the lines of one event. Comments and unknown fields are skipped. An event without data is
/// `None`.
fn parse(raw: &Bytes) -> Option<Event> {
    let mut event = Event {
        id: Bytes::new(),
        kind: Bytes::new(),
        data: Bytes::new(),
    };
    for line in raw.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let Some(colon) = line.iter().position(|byte| *byte == b':') else {
            continue;
        };
        let value = &line[colon + 1..];
        let value = raw.slice_ref(value.strip_prefix(b" ").unwrap_or(value));
        match &line[..colon] {
            b"id" => event.id = value,
            b"event" => event.kind = value,
            b"data" if event.data.is_empty() => event.data = value,
            b"data" => event.data = [&event.data[..], &value[..]].join(&b'\n').into(),
            _ => {}
        }
    }
    (!event.data.is_empty()).then_some(event)
}
