//! What a leader knows about another member.

use {
    super::{message::Snapshot, transfer::Outgoing},
    crate::id::Index,
    std::{collections::VecDeque, time::Instant},
};

/// How entries are sent to a member.
#[derive(Debug)]
pub(super) enum Mode {
    /// The matching place is unknown: one append at a time.
    Probe {
        /// When the unanswered append was sent.
        sent: Option<Instant>,
    },
    /// The matching place is known: appends are sent in a pipeline.
    Replicate,
    /// The member needs entries that the log no longer holds.
    Snapshot(Outgoing),
}

/// An append that was sent and not answered yet.
#[derive(Debug)]
struct Flight {
    last: Index,
    bytes: usize,
    sent: Instant,
}

#[derive(Debug)]
pub(super) struct Progress {
    /// Last entry known to be on the member's disk and equal to the leader's.
    pub(super) matched: Index,
    /// Next entry to send.
    pub(super) next: Index,
    pub(super) mode: Mode,
    /// Highest heartbeat round answered.
    pub(super) round: u64,
    /// When the member answered last.
    pub(super) heard: Option<Instant>,
    /// Commit index that was sent last.
    pub(super) commit: Index,
    flights: VecDeque<Flight>,
    flight_bytes: usize,
}

impl Progress {
    pub(super) fn new(next: Index, heard: Option<Instant>) -> Self {
        Self {
            matched: 0,
            next,
            mode: Mode::Probe { sent: None },
            round: 0,
            heard,
            commit: 0,
            flights: VecDeque::new(),
            flight_bytes: 0,
        }
    }

    pub(super) fn flight_bytes(&self) -> usize {
        self.flight_bytes
    }

    /// When the oldest unanswered append was sent.
    pub(super) fn oldest_flight(&self) -> Option<Instant> {
        self.flights.front().map(|flight| flight.sent)
    }

    /// Records an append that was sent in the pipeline.
    pub(super) fn sent(&mut self, last: Index, bytes: usize, now: Instant) {
        self.next = last + 1;
        self.flight_bytes += bytes;
        self.flights.push_back(Flight {
            last,
            bytes,
            sent: now,
        });
    }

    /// Records an acknowledgement. Returns whether `matched` advanced.
    pub(super) fn acknowledged(&mut self, matched: Index) -> bool {
        while let Some(flight) = self.flights.front() {
            if flight.last > matched {
                break;
            }
            self.flight_bytes -= flight.bytes;
            self.flights.pop_front();
        }
        self.next = self.next.max(matched + 1);
        let advanced = matched > self.matched;
        self.matched = self.matched.max(matched);
        advanced
    }

    /// Searches for the matching place again, from `next` on.
    pub(super) fn probe(&mut self, next: Index) {
        self.reset_flights();
        self.next = next.max(self.matched + 1);
        self.mode = Mode::Probe { sent: None };
    }

    pub(super) fn replicate(&mut self) {
        self.reset_flights();
        self.next = self.matched + 1;
        self.mode = Mode::Replicate;
    }

    pub(super) fn send_snapshot(&mut self, snapshot: Snapshot, now: Instant) {
        self.reset_flights();
        self.mode = Mode::Snapshot(Outgoing::new(snapshot, now));
    }

    fn reset_flights(&mut self) {
        self.flights.clear();
        self.flight_bytes = 0;
    }
}
