//! Incremental parser of server-sent events.

use compact_str::CompactString;

/// A server-sent event.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Event {
    /// The `id` field, empty if absent.
    pub id: CompactString,
    /// The `event` field, empty if absent.
    pub name: CompactString,
    /// The `data` lines, joined by line feeds.
    pub data: String,
}

/// Parser that keeps incomplete lines and events between chunks.
#[derive(Debug, Default)]
pub struct Parser {
    line: Vec<u8>,
    event: Event,
    has_data: bool,
}

impl Parser {
    /// Parses the next chunk and returns the events that it completes.
    pub fn push(&mut self, chunk: &[u8]) -> Vec<Event> {
        let mut events = Vec::new();
        for part in chunk.split_inclusive(|byte| *byte == b'\n') {
            self.line.extend_from_slice(part);
            if !part.ends_with(b"\n") {
                continue;
            }
            let bytes = std::mem::take(&mut self.line);
            let line = String::from_utf8_lossy(&bytes);
            if let Some(event) = self.take(line.trim_end_matches(['\n', '\r'])) {
                events.push(event);
            }
        }
        events
    }

    /// Whether the bytes so far end within an event.
    pub fn is_partial(&self) -> bool {
        self.has_data || !self.line.is_empty()
    }

    fn take(&mut self, line: &str) -> Option<Event> {
        if line.is_empty() {
            let event = std::mem::take(&mut self.event);
            return std::mem::take(&mut self.has_data).then_some(event);
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => self.event.id = value.into(),
            "event" => self.event.name = value.into(),
            "data" => {
                if self.has_data {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
                self.has_data = true;
            }
            _ => {}
        }
        None
    }
}
