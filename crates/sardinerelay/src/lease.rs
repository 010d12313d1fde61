//! Leader lease, and fencing tokens for orders to engines.
//!
//! A leader may act without asking a quorum only while no other leader can exist. The lease starts
//! when a heartbeat round was sent that a quorum has answered, because every voter that answered
//! refuses to elect another leader for at least the minimum election timeout after it received
//! the heartbeat (Ongaro, "Consensus: Bridging Theory and Practice", 2014, section 6.4.1). All
//! times are monotonic. Section 6 of `docs/design.md` states which fault remains possible for
//! targets that ignore the fencing token.

use {
    crate::id::Term,
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// The fencing token of an order. A target that checks tokens refuses one that is lower than the
/// highest it has seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingToken {
    /// The term of the leader that issued the order. The derived `Ord` compares it first.
    pub term: Term,
    /// The order's number within the term, starting at 1.
    pub sequence: u64,
}

impl FencingToken {
    /// Returns the token that precedes the first order of `term`.
    pub fn new(term: Term) -> Self {
        Self { term, sequence: 0 }
    }

    /// Advances to the next token of the same term and returns it.
    pub fn advance(&mut self) -> Self {
        self.sequence += 1;
        *self
    }
}

/// A leader's lease, during which no other leader can exist.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    duration: Duration,
    drift: Duration,
    renewed_at: Option<Instant>,
}

impl Lease {
    /// Creates a lease that is not held yet. `duration` is the voters' minimum election timeout.
    /// `drift` is the largest difference that can build up between the monotonic clocks of two
    /// hosts within `duration`.
    pub fn new(duration: Duration, drift: Duration) -> Self {
        Self {
            duration,
            drift,
            renewed_at: None,
        }
    }

    /// Extends the lease. `sent_at` is the time at which the heartbeat round was sent that a quorum
    /// has answered, not the time at which the answers arrived. A renewal never shortens the lease.
    pub fn renew(&mut self, sent_at: Instant) {
        self.renewed_at = self.renewed_at.max(Some(sent_at));
    }

    /// Gives up the lease, for example before leadership is transferred.
    pub fn revoke(&mut self) {
        self.renewed_at = None;
    }

    /// Returns when the lease expires, with the clock drift already subtracted, or `None` if it is
    /// not held.
    pub fn expires_at(&self) -> Option<Instant> {
        Some(self.renewed_at? + self.duration.saturating_sub(self.drift))
    }

    /// Whether the lease is held at `now`.
    pub fn is_held(&self, now: Instant) -> bool {
        self.expires_at().is_some_and(|until| now < until)
    }

    /// Whether an order issued at `now` ends, at its `deadline`, before another leader can exist.
    /// An order whose deadline has passed is never covered.
    pub fn covers(&self, now: Instant, deadline: Instant) -> bool {
        now < deadline && self.expires_at().is_some_and(|until| deadline < until)
    }

    /// Returns when a leader that was elected at `elected` may issue its first order: after the
    /// longest possible lease of its predecessor, extended by the clock drift, and after
    /// `max_delivery`, the longest delivery time of an earlier order.
    pub fn first_order_at(&self, elected: Instant, max_delivery: Duration) -> Instant {
        elected + self.duration + self.drift + max_delivery
    }
}
