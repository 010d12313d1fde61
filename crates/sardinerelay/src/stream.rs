//! Order check for one caller's stream.
//!
//! A stream may be read over several connections, one after another. Events of an abandoned
//! connection can still arrive late, so each event is accepted by its generation and token
//! index and not by the order of arrival (guarantees G1 and G2 in `docs/design.md`).

use crate::id::Generation;

/// The verdict on one event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Accept {
    /// The event is the next one and has to be delivered.
    Deliver,
    /// The event was delivered before or belongs to another generation.
    Drop,
    /// Events between the last delivered one and this one are missing.
    Gap {
        /// The index that has to be delivered next.
        expected: u64,
    },
}

/// The delivery position of one caller's stream.
#[derive(Debug, Clone)]
pub struct Cursor {
    generation: Generation,
    next: u64,
}

impl Cursor {
    /// Starts at `next` within `generation`.
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

    /// The generation that this stream delivers.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// The index to deliver next, which equals the number of tokens delivered so far.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Moves to a fresh generation. Returns false, and changes nothing, once a token was
    /// delivered, because a caller's answer must come from a single generation.
    pub fn restart(&mut self, generation: Generation) -> bool {
        if self.next > 0 {
            return false;
        }
        self.generation = generation;
        true
    }
}
