//! Graceful shutdown of this process: first it reports itself as not ready, then it takes no new
//! requests, then it waits for the open ones, and at last for the connections that their answers are sent on.

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
        time::{Duration, Instant},
    },
    tokio::{
        signal::unix::{SignalKind, signal},
        sync::watch,
        time::{sleep, sleep_until, timeout, timeout_at},
    },
};

/// Phase before a planned stop.
const SERVING: u8 = 0;

/// Phase in which the process is not ready but still takes requests.
const DRAINING: u8 = 1;

/// Phase in which the process takes no new requests.
const CLOSED: u8 = 2;

/// Time that requests which are still open at the deadline have to send their answers.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// The phase of a planned stop, and the number of open requests.
#[derive(Debug, Clone)]
pub struct Drain {
    phase: Arc<AtomicU8>,
    /// When open requests are answered whether they have ended or not; none before a stop.
    deadline: watch::Sender<Option<Instant>>,
    /// Number of open requests; a planned stop waits until it is 0.
    open: watch::Sender<usize>,
    connections: watch::Sender<Connections>,
    /// When connections have to be closed; none until they begin to close.
    close_deadline: watch::Sender<Option<Instant>>,
}

/// The connections that a planned stop waits for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Connections {
    /// Those that may have an answer in their write buffer.
    unwritten: usize,
    /// Those whose answers are written, and which the peer has not closed yet.
    written: usize,
}

/// An open connection. A planned stop waits for it while there may be an answer to write, and until its peer has
/// read it.
#[derive(Debug)]
pub struct ConnectionGuard {
    connections: watch::Sender<Connections>,
    progress: Progress,
}

/// How far the answers of a connection are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// There was no request yet.
    Unused,
    /// There may be an answer in its write buffer.
    Unwritten,
    /// All answers are written.
    Written,
}

/// The number of connections whose answers could not be written before the end of the stop.
#[derive(Debug, thiserror::Error)]
#[error("{0} connections had answers left at the end of the stop that their callers did not read")]
pub struct Unwritten(pub usize);

/// Counts as one open request until it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    open: watch::Sender<usize>,
}

/// The number of requests that were still open at the deadline of the stop.
#[derive(Debug, thiserror::Error)]
#[error("{0} requests were still open at the drain deadline")]
pub struct Unfinished(pub usize);

impl Default for Drain {
    fn default() -> Self {
        Self {
            phase: Arc::new(AtomicU8::new(SERVING)),
            deadline: watch::Sender::new(None),
            open: watch::Sender::new(0),
            connections: watch::Sender::default(),
            close_deadline: watch::Sender::new(None),
        }
    }
}

impl Drain {
    /// Counts a new request. Returns `None` if no new requests are taken.
    pub fn enter(&self) -> Option<RequestGuard> {
        // The request is counted before the phase is read, so that a stop can't miss it.
        self.open.send_modify(|open| *open += 1);
        let guard = RequestGuard {
            open: self.open.clone(),
        };
        (self.phase.load(Ordering::SeqCst) != CLOSED).then_some(guard)
    }

    /// Whether a planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.phase.load(Ordering::SeqCst) != SERVING
    }

    /// Returns how long requests may still take; none if no stop has begun.
    pub fn remaining(&self) -> Option<Duration> {
        let deadline = *self.deadline.borrow();
        deadline.map(|deadline| deadline.saturating_duration_since(Instant::now()))
    }

    /// Waits until a stop's deadline has passed. A request that is still open then gets an answer that says
    /// what is known of it, instead of a closed connection.
    pub async fn expired(&self) {
        let mut changes = self.deadline.subscribe();
        let deadline = changes.wait_for(Option::is_some).await;
        let deadline = deadline.ok().and_then(|deadline| *deadline);
        match deadline {
            Some(deadline) => sleep_until(deadline.into()).await,
            // This struct holds the sender, so the wait can't fail.
            None => std::future::pending().await,
        }
    }

    /// Returns a guard for a new connection.
    pub fn connect(&self) -> ConnectionGuard {
        ConnectionGuard {
            connections: self.connections.clone(),
            progress: Progress::Unused,
        }
    }

    /// Waits until connections have to close once their open request, if any, has its answer.
    pub fn closing(&self) -> impl Future<Output = ()> + use<> {
        let mut changes = self.close_deadline.subscribe();
        async move {
            if changes.wait_for(Option::is_some).await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// When connections have to be closed; none if they need not close yet.
    pub fn close_deadline(&self) -> Option<Instant> {
        *self.close_deadline.borrow()
    }

    /// Lets all connections close, and waits until their answers are written and their peers have closed them,
    /// up to `deadline`.
    ///
    /// # Errors
    ///
    /// Returns the number of connections whose answers were not written until then.
    pub async fn close(&self, deadline: Instant) -> Result<(), Unwritten> {
        self.close_deadline.send_replace(Some(deadline));
        let mut connections = self.connections.subscribe();
        let closed = connections.wait_for(Connections::are_closed);
        let is_closed = timeout_at(deadline.into(), closed).await.is_ok();
        let Connections { unwritten, written } = *self.connections.borrow();
        info!(unwritten = unwritten as u64, open = written as u64; "planned stop: connections closed");
        match is_closed || unwritten == 0 {
            true => Ok(()),
            false => Err(Unwritten(unwritten)),
        }
    }

    /// The number of open requests.
    pub fn open_requests(&self) -> usize {
        *self.open.borrow()
    }

    /// Carries out a planned stop: reports not ready, refuses new requests after `delay`, waits up to
    /// `deadline` for the open ones, and shortly for the answers of those that have not ended.
    ///
    /// # Errors
    ///
    /// Returns the number of requests that were still open at the deadline.
    pub async fn run(&self, delay: Duration, deadline: Duration) -> Result<(), Unfinished> {
        info!(
            "planned stop: not ready, {} requests open",
            self.open_requests()
        );
        self.deadline
            .send_replace(Some(Instant::now() + delay + deadline));
        self.phase.store(DRAINING, Ordering::SeqCst);
        // Requests that the load balancer sends before it sees the change are still served.
        sleep(delay).await;
        self.phase.store(CLOSED, Ordering::SeqCst);
        info!(
            "planned stop: no new requests, {} open",
            self.open_requests()
        );
        let mut open = self.open.subscribe();
        if timeout(deadline, open.wait_for(|open| *open == 0))
            .await
            .is_ok()
        {
            return Ok(());
        }
        let unfinished = Unfinished(self.open_requests());
        // Whether they could send their answers changes nothing here.
        let _ = timeout(ANSWER_TIME, open.wait_for(|open| *open == 0)).await;
        Err(unfinished)
    }
}

impl ConnectionGuard {
    /// Records that a request has come, whose answer has to be written.
    pub fn expect_answer(&mut self) {
        self.set(Progress::Unwritten);
    }

    /// Records that all answers are written.
    pub fn record_written(&mut self) {
        if self.progress == Progress::Unwritten {
            self.set(Progress::Written);
        }
    }

    fn set(&mut self, progress: Progress) {
        let before = std::mem::replace(&mut self.progress, progress);
        if before != progress {
            self.connections.send_modify(|count| {
                count.subtract(before);
                count.add(progress);
            });
        }
    }
}

impl Connections {
    fn add(&mut self, progress: Progress) {
        match progress {
            Progress::Unused => {}
            Progress::Unwritten => self.unwritten += 1,
            Progress::Written => self.written += 1,
        }
    }

    fn subtract(&mut self, progress: Progress) {
        match progress {
            Progress::Unused => {}
            Progress::Unwritten => self.unwritten -= 1,
            Progress::Written => self.written -= 1,
        }
    }

    fn are_closed(&self) -> bool {
        self.unwritten + self.written == 0
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.set(Progress::Unused);
    }
}

impl RequestGuard {
    /// Ties the guard to a response body, so that the request counts as open until the body is sent
    /// or dropped.
    pub fn attach_to(self, body: Body) -> Body {
        Body::new(GuardedBody { body, _guard: self })
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.open.send_modify(|open| *open -= 1);
    }
}

/// A body that keeps its request counted as open.
struct GuardedBody {
    body: Body,
    _guard: RequestGuard,
}

impl HttpBody for GuardedBody {
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
/// Returns an error if the signal handlers can't be installed.
pub async fn termination_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
