//! The body of a stream to a caller, in chunks from the task that forwards them.
//!
//! The body ends as complete only if the task says so. If the task ends in any other way, a panic included, the
//! caller's connection is closed in the middle of the body.

use {
    axum::body::Body,
    bytes::Bytes,
    futures::{Stream, stream},
    std::sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thiserror::Error,
    tokio::sync::mpsc,
};

/// Error that closes the caller's connection in the middle of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the stream ended early")]
struct EndedEarly;

/// The caller has closed its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the caller has closed its connection")]
pub(super) struct Closed;

/// Sends chunks to the caller's connection. Dropping all clones ends the body.
#[derive(Debug, Clone)]
pub(super) struct Sender {
    chunks: mpsc::Sender<Bytes>,
    is_complete: Arc<AtomicBool>,
}

impl Sender {
    /// Sends a chunk once there is room in the queue.
    pub(super) async fn send(&self, chunk: Bytes) -> Result<(), Closed> {
        self.chunks.send(chunk).await.map_err(|_| Closed)
    }

    /// Number of chunks that can be sent without waiting.
    pub(super) fn capacity(&self) -> usize {
        self.chunks.capacity()
    }

    /// Waits until the caller has closed its connection.
    pub(super) async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Makes the end of the body that of the whole stream.
    pub(super) fn complete(&self) {
        self.is_complete.store(true, Ordering::Release);
    }
}

/// Returns a sender and the body that it fills. Up to `capacity` chunks are queued.
pub(super) fn channel(capacity: usize) -> (Sender, Body) {
    let (sender, queue) = mpsc::channel(capacity);
    let is_complete = Arc::new(AtomicBool::new(false));
    let sender = Sender {
        chunks: sender,
        is_complete: Arc::clone(&is_complete),
    };
    (sender, Body::from_stream(chunks(queue, is_complete)))
}

/// Returns the chunks, and an error at the end of a stream that is not complete.
fn chunks(
    queue: mpsc::Receiver<Bytes>,
    is_complete: Arc<AtomicBool>,
) -> impl Stream<Item = Result<Bytes, EndedEarly>> {
    stream::unfold((queue, is_complete), async |(mut queue, is_complete)| {
        let chunk = match queue.recv().await {
            Some(chunk) => Ok(chunk),
            None if is_complete.load(Ordering::Acquire) => return None,
            None => Err(EndedEarly),
        };
        Some((chunk, (queue, is_complete)))
    })
}
