//! Snapshots on their way between two replicas, in chunks.

use {
    super::message::{Body, Chunk, Position, Snapshot, SnapshotMeta},
    crate::id::{Host, Term},
    bytes::Bytes,
    std::time::{Duration, Instant},
};

/// A snapshot being sent.
#[derive(Debug)]
pub(super) struct Outgoing {
    snapshot: Snapshot,
    /// Offset of the next chunk; `None` before the first chunk, which may be empty.
    sent: Option<u64>,
    /// Bytes that the receiver has without a gap.
    received: u64,
    /// Offset of the last rewind. The chunks after a lost one are each answered with a rewind
    /// to the same place, and only the first one is followed.
    rewound: Option<u64>,
    /// When the receiver or the retransmission made progress.
    active: Instant,
}

impl Outgoing {
    pub(super) fn new(snapshot: Snapshot, now: Instant) -> Self {
        Self {
            snapshot,
            sent: None,
            received: 0,
            rewound: None,
            active: now,
        }
    }

    pub(super) fn last(&self) -> Position {
        self.snapshot.meta.last
    }

    /// The next chunk, unless `window` bytes are unanswered or all chunks were sent.
    pub(super) fn next(&mut self, chunk_bytes: usize, window: usize) -> Option<Chunk> {
        let total = self.total();
        let offset = self.sent.unwrap_or(self.received);
        let unanswered = offset - self.received;
        let finished = offset == total && self.sent.is_some();
        if finished || (unanswered > 0 && unanswered + chunk_bytes as u64 > window as u64) {
            return None;
        }
        let end = (offset + chunk_bytes as u64).min(total);
        self.sent = Some(end);
        Some(Chunk {
            meta: self.snapshot.meta.clone(),
            total,
            offset,
            data: self.snapshot.data.slice(offset as usize..end as usize),
        })
    }

    /// Handles an answer from the receiver.
    pub(super) fn answered(&mut self, received: u64, rewind: bool, now: Instant) {
        let received = received.min(self.total());
        if received > self.received {
            self.received = received;
            self.rewound = None;
            self.active = now;
            self.sent = self.sent.max(Some(received));
        }
        if rewind && self.rewound != Some(received) {
            self.received = received;
            self.rewound = Some(received);
            self.sent = None;
            self.active = now;
        }
    }

    /// Sends again from the last answered byte if nothing was answered within `timeout`. If
    /// every byte was answered, the final acknowledgement is missing, and the last chunk is
    /// repeated to ask for it.
    pub(super) fn retransmit(&mut self, timeout: Duration, chunk_bytes: usize, now: Instant) {
        if now < self.active + timeout {
            return;
        }
        let last_chunk = self.total().saturating_sub(chunk_bytes as u64);
        self.received = self.received.min(last_chunk);
        self.rewound = None;
        self.sent = None;
        self.active = now;
    }

    fn total(&self) -> u64 {
        self.snapshot.data.len() as u64
    }
}

/// A snapshot being received. Two leaders may encode the same state differently, so chunks of
/// different senders or terms are never combined.
#[derive(Debug)]
pub(super) struct Incoming {
    from: Host,
    term: Term,
    meta: SnapshotMeta,
    total: u64,
    data: Vec<u8>,
}

/// What became of a chunk.
#[derive(Debug)]
pub(super) enum Received {
    /// The answer to send.
    Reply(Body),
    /// The snapshot is complete.
    Complete(Snapshot),
}

impl Incoming {
    /// Starts a transfer with the chunk's snapshot.
    pub(super) fn new(from: Host, term: Term, chunk: &Chunk) -> Self {
        Self {
            from,
            term,
            meta: chunk.meta.clone(),
            total: chunk.total,
            data: Vec::new(),
        }
    }

    /// Whether a chunk belongs to this transfer.
    pub(super) fn continues(&self, from: Host, term: Term, chunk: &Chunk) -> bool {
        let sender = (self.from, self.term) == (from, term);
        sender && self.meta == chunk.meta && self.total == chunk.total
    }

    /// Adds a chunk. Memory grows with the bytes received and not with the announced total.
    pub(super) fn receive(&mut self, chunk: &Chunk) -> Received {
        let received = self.data.len() as u64;
        let fits = received + chunk.data.len() as u64 <= self.total;
        if chunk.offset == received && fits {
            self.data.extend_from_slice(&chunk.data);
        }
        if self.data.len() as u64 == self.total {
            return Received::Complete(Snapshot {
                meta: self.meta.clone(),
                data: Bytes::from(std::mem::take(&mut self.data)),
            });
        }
        Received::Reply(Body::ChunkReply {
            last: self.meta.last,
            received: self.data.len() as u64,
            rewind: chunk.offset > received,
        })
    }
}
