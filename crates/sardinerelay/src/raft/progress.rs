//! What a leader knows about the log of another member.

use {
    super::{message::Snapshot, snapshot::OutgoingSnapshot},
    crate::id::Index,
    std::{collections::VecDeque, time::Instant},
};

/// How entries are sent to a member.
#[derive(Debug)]
pub(super) enum Mode {
    /// The last matching entry is unknown: one append is sent at a time.
    Probe {
        /// When the unanswered append was sent.
        sent: Option<Instant>,
    },
    /// The last matching entry is known: appends are sent in a pipeline.
    Replicate,
    /// The member needs entries that the log no longer holds, and receives a snapshot.
    Snapshot(OutgoingSnapshot),
}

/// An append that was sent and not answered yet.
#[derive(Debug)]
struct InFlightAppend {
    last: Index,
    bytes: usize,
    sent: Instant,
}

/// Replication to one member.
#[derive(Debug)]
pub(super) struct Progress {
    /// Last entry known to be on the member's disk and equal to the leader's.
    pub(super) matched: Index,
    /// Next entry to send.
    pub(super) next: Index,
    pub(super) mode: Mode,
    /// Highest heartbeat round answered.
    pub(super) answered_round: u64,
    /// When the member answered last, or when it was added.
    pub(super) last_reply: Option<Instant>,
    /// Commit index that the last append carried.
    pub(super) sent_commit: Index,
    in_flight: VecDeque<InFlightAppend>,
    in_flight_bytes: usize,
}

impl Progress {
    pub(super) fn new(next: Index, last_reply: Option<Instant>) -> Self {
        Self {
            matched: 0,
            next,
            mode: Mode::Probe { sent: None },
            answered_round: 0,
            last_reply,
            sent_commit: 0,
            in_flight: VecDeque::new(),
            in_flight_bytes: 0,
        }
    }

    pub(super) fn in_flight_bytes(&self) -> usize {
        self.in_flight_bytes
    }

    /// When the oldest unanswered append was sent.
    pub(super) fn oldest_in_flight(&self) -> Option<Instant> {
        self.in_flight.front().map(|append| append.sent)
    }

    /// Records an append that was sent in the pipeline.
    pub(super) fn record_append(&mut self, last: Index, bytes: usize, now: Instant) {
        self.next = last + 1;
        self.in_flight_bytes += bytes;
        self.in_flight.push_back(InFlightAppend {
            last,
            bytes,
            sent: now,
        });
    }

    /// Records an acknowledgement. Returns whether `matched` advanced.
    pub(super) fn record_acknowledged(&mut self, matched: Index) -> bool {
        while let Some(append) = self.in_flight.front() {
            if append.last > matched {
                break;
            }
            self.in_flight_bytes -= append.bytes;
            self.in_flight.pop_front();
        }
        self.next = self.next.max(matched + 1);
        let advanced = matched > self.matched;
        self.matched = self.matched.max(matched);
        advanced
    }

    /// Searches for the last matching entry again, starting with the entry before `next`.
    pub(super) fn start_probe(&mut self, next: Index) {
        self.reset_in_flight();
        self.next = next.max(self.matched + 1);
        self.mode = Mode::Probe { sent: None };
    }

    pub(super) fn start_replicate(&mut self) {
        self.reset_in_flight();
        self.next = self.matched + 1;
        self.mode = Mode::Replicate;
    }

    pub(super) fn start_snapshot(&mut self, snapshot: Snapshot, now: Instant) {
        self.reset_in_flight();
        self.mode = Mode::Snapshot(OutgoingSnapshot::new(snapshot, now));
    }

    fn reset_in_flight(&mut self) {
        self.in_flight.clear();
        self.in_flight_bytes = 0;
    }
}
