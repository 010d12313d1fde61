//! Deduplication and gap detection for the events of one caller's stream.
//!
//! A stream may be read over several connections, one after another. Events of an abandoned
//! connection can still arrive late, so each event is accepted by its generation and token
//! index and not by the order of arrival (guarantees G1 and G2 in `docs/design.md`).

use crate::id::Generation;

/// What to do with an event, returned by [`Cursor::accept`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Accept {
    /// The event is the next one and has to be delivered.
    Deliver,
    /// The event was already delivered or belongs to another generation.
    Drop,
    /// Events between the last delivered one and this one are missing.
    Gap {
        /// The index of the next event to deliver.
        expected: u64,
    },
}

/// The position up to which one caller's stream was delivered.
#[derive(Debug, Clone)]
pub struct Cursor {
    generation: Generation,
    next: u64,
}

impl Cursor {
    /// Creates a cursor that expects the event with index `next` of `generation`.
    pub fn new(generation: Generation, next: u64) -> Self {
        Self { generation, next }
    }

    /// Decides whether the event may be delivered, and advances if so.
    pub fn accept(&mut self, generation: Generation, index: u64) -> Accept {
        if generation != self.generation || index < self.next {
            return Accept::Drop;
        }
        if index > self.next {
            return Accept::Gap {
                expected: self.next,
            };
        }
        self.next += 1;
        Accept::Deliver
    }

    /// Returns the generation that the stream delivers.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the index of the next event to deliver, which is the number of tokens delivered so
    /// far.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Switches to a new generation. Returns false and changes nothing once a token was delivered,
    /// because a caller's answer must come from a single generation.
    pub fn restart(&mut self, generation: Generation) -> bool {
        if self.next > 0 {
            return false;
        }
        self.generation = generation;
        true
    }
}
