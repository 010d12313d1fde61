//! Transfer of snapshots between replicas, in chunks.

use {
    super::message::{Body, Chunk, Position, Snapshot, SnapshotMeta},
    crate::id::{Host, Term},
    bytes::Bytes,
    std::time::{Duration, Instant},
};

/// A snapshot that is being sent to a member.
#[derive(Debug)]
pub(super) struct OutgoingSnapshot {
    snapshot: Snapshot,
    /// Offset of the next chunk; `None` before the first chunk, which may be empty.
    next_offset: Option<u64>,
    /// Number of bytes that the receiver has without a gap.
    received: u64,
    /// Offset of the last rewind. Each chunk after a lost one is answered with a rewind to the
    /// same offset, and only the first such answer is acted on.
    rewound_to: Option<u64>,
    /// When the receiver last made progress, or the last retransmission started.
    last_progress: Instant,
}

impl OutgoingSnapshot {
    pub(super) fn new(snapshot: Snapshot, now: Instant) -> Self {
        Self {
            snapshot,
            next_offset: None,
            received: 0,
            rewound_to: None,
            last_progress: now,
        }
    }

    pub(super) fn last(&self) -> Position {
        self.snapshot.meta.last
    }

    /// The next chunk, or `None` if all chunks were sent or the unanswered bytes would exceed
    /// `window`. A chunk is always sent while none is unanswered.
    pub(super) fn next(&mut self, chunk_bytes: usize, window: usize) -> Option<Chunk> {
        let total = self.total_bytes();
        let offset = self.next_offset.unwrap_or(self.received);
        let unanswered = offset - self.received;
        let is_finished = offset == total && self.next_offset.is_some();
        if is_finished || (unanswered > 0 && unanswered + chunk_bytes as u64 > window as u64) {
            return None;
        }
        let end = (offset + chunk_bytes as u64).min(total);
        self.next_offset = Some(end);
        Some(Chunk {
            meta: self.snapshot.meta.clone(),
            total,
            offset,
            data: self.snapshot.data.slice(offset as usize..end as usize),
        })
    }

    /// Handles an answer from the receiver.
    pub(super) fn on_reply(&mut self, received: u64, rewind: bool, now: Instant) {
        let received = received.min(self.total_bytes());
        if received > self.received {
            self.received = received;
            self.rewound_to = None;
            self.last_progress = now;
            self.next_offset = self.next_offset.max(Some(received));
        }
        if rewind && self.rewound_to != Some(received) {
            self.received = received;
            self.rewound_to = Some(received);
            self.next_offset = None;
            self.last_progress = now;
        }
    }

    /// Sends again from the last acknowledged byte if there was no progress within `timeout`. If
    /// every byte was acknowledged, the final acknowledgement is missing, and the last chunk is
    /// repeated to get it.
    pub(super) fn retransmit(&mut self, timeout: Duration, chunk_bytes: usize, now: Instant) {
        if now < self.last_progress + timeout {
            return;
        }
        let last_chunk = self.total_bytes().saturating_sub(chunk_bytes as u64);
        self.received = self.received.min(last_chunk);
        self.rewound_to = None;
        self.next_offset = None;
        self.last_progress = now;
    }

    fn total_bytes(&self) -> u64 {
        self.snapshot.data.len() as u64
    }
}

/// A snapshot that is being received. Two leaders may encode the same state differently, so chunks
/// of different senders or terms are never combined.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    from: Host,
    term: Term,
    meta: SnapshotMeta,
    total_bytes: u64,
    data: Vec<u8>,
}

/// Result of receiving a chunk.
#[derive(Debug)]
pub(super) enum ChunkOutcome {
    /// The snapshot is not complete yet; the reply to send.
    Reply(Body),
    /// The chunk completed the snapshot.
    Complete(Snapshot),
}

impl IncomingSnapshot {
    /// Starts to receive the snapshot that the chunk belongs to.
    pub(super) fn new(from: Host, term: Term, chunk: &Chunk) -> Self {
        Self {
            from,
            term,
            meta: chunk.meta.clone(),
            total_bytes: chunk.total,
            data: Vec::new(),
        }
    }

    /// Whether a chunk belongs to this transfer.
    pub(super) fn matches(&self, from: Host, term: Term, chunk: &Chunk) -> bool {
        let is_same_sender = (self.from, self.term) == (from, term);
        is_same_sender && self.meta == chunk.meta && self.total_bytes == chunk.total
    }

    /// Adds a chunk. Memory grows with the bytes received, not with the announced total.
    pub(super) fn receive(&mut self, chunk: &Chunk) -> ChunkOutcome {
        let received = self.data.len() as u64;
        let fits = received + chunk.data.len() as u64 <= self.total_bytes;
        if chunk.offset == received && fits {
            self.data.extend_from_slice(&chunk.data);
        }
        if self.data.len() as u64 == self.total_bytes {
            return ChunkOutcome::Complete(Snapshot {
                meta: self.meta.clone(),
                data: Bytes::from(std::mem::take(&mut self.data)),
            });
        }
        ChunkOutcome::Reply(Body::ChunkReply {
            last: self.meta.last,
            received: self.data.len() as u64,
            rewind: chunk.offset > received,
        })
    }
}
