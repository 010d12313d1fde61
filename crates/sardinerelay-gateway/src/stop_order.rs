//! Orders to stop a generation whose outcome is unknown.
//!
//! A move stops the generation at its engine. The engine may carry out such an order at any later time, also
//! after the relay has stopped waiting for the answer. It then closes the generation's stream without an end. In
//! a stream that has neither a length nor chunks, the generation's own end looks the same. See
//! `docs/design/migration.md`.

use sardinerelay::id::Target;

/// What is known about a stop order once nothing more is heard about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The engine has carried it out, or never will.
    Settled,
    /// The engine may still carry it out.
    Unknown,
}

/// The stop orders for one generation that their engines may still carry out.
#[derive(Debug, Default)]
pub struct Ledger {
    /// The engine of each such order. An engine with several orders is listed several times.
    pending: Vec<Target>,
}

impl Ledger {
    /// Records that `engine` is about to get an order to stop the generation.
    pub fn record_sent(&mut self, engine: &Target) {
        self.pending.push(engine.clone());
    }

    /// Records the outcome of an order to `engine`. One with an unknown outcome stays pending for good.
    pub fn record_outcome(&mut self, engine: &Target, outcome: Outcome) {
        if outcome == Outcome::Unknown {
            return;
        }
        if let Some(position) = self.pending.iter().position(|pending| pending == engine) {
            self.pending.swap_remove(position);
        }
    }

    /// Whether `engine` may stop the generation because of an order.
    pub fn may_stop(&self, engine: &Target) -> bool {
        self.pending.contains(engine)
    }
}

/// How an engine's stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct End {
    /// Whether the body ended without an error.
    pub is_clean: bool,
    /// Whether a length or chunks say where the body ends.
    pub is_framed: bool,
    /// Whether the last byte ended an event.
    pub is_between_events: bool,
    /// Whether the engine has sent an event.
    pub has_begun: bool,
    /// Whether the engine may have stopped the generation because of an order.
    pub may_be_stopped: bool,
}

impl End {
    /// Whether the generation certainly reached its own end.
    ///
    /// Without framing the end of the connection is the end of the stream, unless the engine may have closed it
    /// for another reason. A generation has at least one event.
    pub fn is_complete(&self) -> bool {
        let is_own = self.is_framed || (self.has_begun && !self.may_be_stopped);
        self.is_clean && self.is_between_events && is_own
    }
}
