//! Leader lease and fencing tokens for orders to engines.
//!
//! A leader may act on its own only while no other leader can exist. The lease starts at the
//! send time of a heartbeat round that a quorum answered, because every voter that answered
//! refuses to elect another leader for at least the minimum election timeout after it received
//! the heartbeat (Ongaro, "Consensus: Bridging Theory and Practice", 2014, section 6.4.1). All
//! times are monotonic. Section 6 of `docs/design.md` states which fault remains for targets
//! that ignore the fencing token.

use {
    crate::id::Term,
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// The fencing token of an order. A target that checks it refuses any token lower than the
/// highest one it has seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingToken {
    /// The term of the leader that gave the order. The derived order compares it first.
    pub term: Term,
    /// The order's number within the term, starting at 1.
    pub sequence: u64,
}

impl FencingToken {
    /// The token before the first order of `term`.
    pub fn new(term: Term) -> Self {
        Self { term, sequence: 0 }
    }

    /// Advances to the next token of the same term and returns it.
    pub fn advance(&mut self) -> Self {
        self.sequence += 1;
        *self
    }
}

/// The time for which a leader may act on its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    duration: Duration,
    drift: Duration,
    since: Option<Instant>,
}

impl Lease {
    /// Creates a lease that is not held yet. `duration` is the minimum election timeout of the
    /// voters. `drift` is the largest difference that may build up between two hosts'
    /// monotonic clocks within `duration`.
    pub fn new(duration: Duration, drift: Duration) -> Self {
        Self {
            duration,
            drift,
            since: None,
        }
    }

    /// Extends the lease. `sent_at` is when the heartbeat round was sent that a quorum has
    /// answered, and not when the answers arrived. A lease never gets shorter by a renewal.
    pub fn renew(&mut self, sent_at: Instant) {
        self.since = self.since.max(Some(sent_at));
    }

    /// Gives the lease up, for example before leadership is transferred.
    pub fn revoke(&mut self) {
        self.since = None;
    }

    /// The instant at which the lease ends, with the drift already taken off.
    pub fn expires_at(&self) -> Option<Instant> {
        Some(self.since? + self.duration.saturating_sub(self.drift))
    }

    /// Whether the lease is held at `now`.
    pub fn is_held(&self, now: Instant) -> bool {
        self.expires_at().is_some_and(|until| now < until)
    }

    /// Whether an order given at `now` is over, at its `deadline`, before any other leader can
    /// exist. An order whose deadline has passed is never covered.
    pub fn covers(&self, now: Instant, deadline: Instant) -> bool {
        now < deadline && self.expires_at().is_some_and(|until| deadline < until)
    }

    /// When a leader elected at `elected` may give its first order: after the longest lease of
    /// its predecessor, lengthened by the drift, and the longest flight time of a message.
    pub fn first_order_at(&self, elected: Instant, flight: Duration) -> Instant {
        elected + self.duration + self.drift + flight
    }
}
