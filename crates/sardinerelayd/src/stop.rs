//! Planned stops: not ready first, then no new requests, then the open ones finish.

use {
    axum::body::Body,
    bytes::Bytes,
    hyper::body::{Body as HttpBody, Frame, SizeHint},
    log::info,
    std::{
        io,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicU8, Ordering},
        },
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        signal::unix::{SignalKind, signal},
        sync::watch,
        time::{sleep, timeout},
    },
};

const SERVING: u8 = 0;
const DRAINING: u8 = 1;
const CLOSED: u8 = 2;

/// The state of a planned stop, and the number of open requests.
#[derive(Debug, Clone)]
pub struct Drain {
    phase: Arc<AtomicU8>,
    open: watch::Sender<usize>,
}

/// Counts as one open request until it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    open: watch::Sender<usize>,
}

/// Streams were still open when the deadline of the stop passed.
#[derive(Debug, thiserror::Error)]
#[error("{0} requests were still open at the deadline of the stop")]
pub struct Unfinished(pub usize);

impl Default for Drain {
    fn default() -> Self {
        Self {
            phase: Arc::new(AtomicU8::new(SERVING)),
            open: watch::Sender::new(0),
        }
    }
}

impl Drain {
    /// Counts a new request, or returns nothing if no more are taken.
    pub fn enter(&self) -> Option<RequestGuard> {
        // Counting before looking leaves no moment in which a stop misses this request.
        self.open.send_modify(|open| *open += 1);
        let open = RequestGuard {
            open: self.open.clone(),
        };
        (self.phase.load(Ordering::SeqCst) != CLOSED).then_some(open)
    }

    /// Whether a planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.phase.load(Ordering::SeqCst) != SERVING
    }

    /// The number of open requests.
    pub fn open_requests(&self) -> usize {
        *self.open.borrow()
    }

    /// Runs a planned stop.
    ///
    /// # Errors
    ///
    /// Returns the number of requests that were still open at the deadline.
    pub async fn run(&self, delay: Duration, deadline: Duration) -> Result<(), Unfinished> {
        info!(
            "planned stop: not ready, {} requests open",
            self.open_requests()
        );
        self.phase.store(DRAINING, Ordering::SeqCst);
        // Requests that the balancer sends before it notices are still served.
        sleep(delay).await;
        self.phase.store(CLOSED, Ordering::SeqCst);
        info!(
            "planned stop: no new requests, {} open",
            self.open_requests()
        );
        let mut open = self.open.subscribe();
        let finished = timeout(deadline, open.wait_for(|open| *open == 0)).await;
        match finished {
            Ok(_) => Ok(()),
            Err(_) => Err(Unfinished(self.open_requests())),
        }
    }
}

impl RequestGuard {
    /// Keeps the request open until the body is sent or dropped.
    pub fn attach_to(self, body: Body) -> Body {
        Body::new(Held { body, _open: self })
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.open.send_modify(|open| *open -= 1);
    }
}

struct Held {
    body: Body,
    _open: RequestGuard,
}

impl HttpBody for Held {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the signals can't be listened for.
pub async fn termination_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
