//! Connections of callers: serves one, and closes it so that its last answer arrives.
//!
//! A body counts as sent for the HTTP library once its last piece is in the write buffer. A stopping process
//! therefore waits for connections, not for bodies; see [`crate::stop::Drain::close`].

use {
    crate::{
        panics,
        stop::{ConnectionGuard, Drain},
    },
    axum::body::Body,
    futures::FutureExt as _,
    hyper::{
        Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
    },
    hyper_util::rt::TokioIo,
    log::debug,
    socket2::SockRef,
    std::{
        convert::Infallible,
        future::poll_fn,
        io,
        pin::Pin,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        task::{Context, Poll, ready},
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _, ReadBuf},
        net::TcpStream,
        time::{Sleep, sleep, timeout_at},
    },
};

/// Time after the last write in which the peer may still be about to read it.
const RECENT_WRITE: Duration = Duration::from_secs(5);

/// Longest wait for the peer to close a connection. Some keep one open that they no longer use.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The same for a peer that reads more slowly than this process writes.
const SLOW_CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Bytes of the peer that are discarded at a time while a connection closes.
const DISCARD_BYTES: usize = 1024;

/// Size of the send buffer that is asked of the kernel. The larger ones that it chooses by itself hide for many seconds
/// whether a peer reads, and take memory that isn't counted here.
const SEND_BUFFER_BYTES: usize = 32 << 10;

/// Time without an acknowledgement after which the kernel closes a connection whose peer is gone. It counts the time
/// too in which a peer reads so slowly that no whole segment fits its window, so it is longer than any answer takes.
const DEAD_PEER_TIMEOUT: Duration = Duration::from_secs(120);

/// Serves the requests of one connection until either side closes it or the process stops, and closes it so
/// that the last answer arrives. It counts as open in `drain` until then. A peer that reads nothing for `unread_timeout`
/// although there is something to read is cut off.
///
/// # Errors
///
/// Returns the error that ended the connection, after which its last answer is incomplete.
pub async fn serve<Serve, Responding>(
    stream: TcpStream,
    builder: &http1::Builder,
    serve: Serve,
    (drain, unread_timeout): (Drain, Duration),
) -> hyper::Result<()>
where
    Serve: Fn(Request<Incoming>) -> Responding + Unpin,
    Responding: Future<Output = Response<Body>> + Send + 'static,
{
    let guard = Arc::new(Mutex::new(drain.connect()));
    let counted = Arc::clone(&guard);
    prepare(&stream);
    let io = TokioIo::new(Monitored::new(stream, unread_timeout));
    let contained = service_fn(move |request| {
        lock(&counted).expect_answer();
        let responding = panics::contain(serve(request));
        async move { Ok::<_, Infallible>(responding.await.unwrap_or_else(|_| panicked())) }.boxed()
    });
    let mut connection = builder.serve_connection(io, contained);
    let closing = drain.closing();
    tokio::pin!(closing);
    let mut is_closing = false;
    loop {
        tokio::select! {
            ended = poll_fn(|context| connection.poll_without_shutdown(context)) => {
                ended?;
                break;
            }
            () = &mut closing, if !is_closing => {
                is_closing = true;
                Pin::new(&mut connection).graceful_shutdown();
            }
        }
    }
    lock(&guard).record_written();
    close(connection.into_parts().io.into_inner(), &drain).await;
    Ok(())
}

fn lock(guard: &Mutex<ConnectionGuard>) -> MutexGuard<'_, ConnectionGuard> {
    guard.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The response to a request whose task panicked, so that the others on its connection go on. It may have run.
fn panicked() -> Response<Body> {
    let mut response = Response::new(Body::from("this host failed; the request may have run\n"));
    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    response
}

/// Serves the requests of one connection with a service of the HTTP library; see [`serve`].
///
/// # Errors
///
/// Returns the error that ended the connection.
pub async fn serve_with<Service>(
    stream: TcpStream,
    builder: &http1::Builder,
    service: Service,
    limits: (Drain, Duration),
) -> hyper::Result<()>
where
    Service: hyper::service::Service<Request<Incoming>, Response = Response<Body>, Error = Infallible>
        + Unpin,
    Service::Future: Send + 'static,
{
    let respond = move |request| service.call(request).map(|Ok(response)| response);
    serve(stream, builder, respond, limits).await
}

/// Sets the options of a connection. What can't be set is logged; the connection works without.
fn prepare(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_send_buffer_size(SEND_BUFFER_BYTES))
        .and_then(|()| socket.set_tcp_user_timeout(Some(DEAD_PEER_TIMEOUT)));
    if let Err(error) = set {
        debug!("setting an option of a caller's connection failed: {error}");
    }
}

/// Closes a connection whose answers were all written.
///
/// The peer may not have read them yet, and bytes from it that arrive at a closed socket would reset the
/// connection, which discards what it hasn't read. So this waits until the peer has closed its side too.
async fn close(mut stream: Monitored, drain: &Drain) {
    let is_recent = |time: Option<Instant>| time.is_some_and(|time| time.elapsed() < RECENT_WRITE);
    if stream.shutdown().await.is_err() || !is_recent(stream.last_write) {
        return;
    }
    let wait = match is_recent(stream.last_blocked) {
        true => SLOW_CLOSE_TIMEOUT,
        false => CLOSE_TIMEOUT,
    };
    let end = Instant::now() + wait;
    let end = drain
        .close_deadline()
        .map_or(end, |deadline| deadline.min(end));
    let discard = async {
        let mut bytes = [0; DISCARD_BYTES];
        while matches!(stream.read(&mut bytes).await, Ok(1..)) {}
    };
    // If the time is over, the kernel still sends what is left.
    let _ = timeout_at(end.into(), discard).await;
}

/// A connection that knows how it was last written to.
#[derive(Debug)]
struct Monitored {
    stream: TcpStream,
    last_write: Option<Instant>,
    /// When the kernel last took no more bytes, because the peer reads slowly.
    last_blocked: Option<Instant>,
    /// Ends the time that the peer has to read something; none while the kernel takes what is written.
    unread: Option<Pin<Box<Sleep>>>,
    unread_timeout: Duration,
}

impl Monitored {
    fn new(stream: TcpStream, unread_timeout: Duration) -> Self {
        Self {
            stream,
            last_write: None,
            last_blocked: None,
            unread: None,
            unread_timeout,
        }
    }

    /// Records that a write ended like this. Returns an error if the peer has read nothing for too long.
    fn record(
        &mut self,
        written: Poll<io::Result<usize>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.last_write = Some(Instant::now());
            self.unread = None;
            return written;
        }
        self.last_blocked = Some(Instant::now());
        let timeout = self.unread_timeout;
        let unread = self.unread.get_or_insert_with(|| Box::pin(sleep(timeout)));
        ready!(unread.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    fn stream(self: Pin<&mut Self>) -> Pin<&mut TcpStream> {
        Pin::new(&mut self.get_mut().stream)
    }
}

impl AsyncRead for Monitored {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.stream().poll_read(context, buffer)
    }
}

impl AsyncWrite for Monitored {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = self.as_mut().stream().poll_write(context, bytes);
        self.record(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = self.as_mut().stream().poll_write_vectored(context, slices);
        self.record(written, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_shutdown(context)
    }
}
