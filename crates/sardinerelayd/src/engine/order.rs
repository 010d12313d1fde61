//! Sends one order to an engine, on a connection of its own.
//!
//! Whether the order may still be sent is checked in the socket's write function, so that only the
//! system call lies between the check and the sending. See `docs/design/orders.md`.

use {
    super::{ENGINE_CONNECT_TIMEOUT, ErrorResponse, is_answer, read_body},
    bytes::Bytes,
    compact_str::CompactString,
    http::{Method, Request, StatusCode, header},
    http_body_util::Full,
    hyper::client::conn::http1,
    hyper_util::rt::TokioIo,
    sardinerelay::{id::Model, lease::Lease},
    serde::{Deserialize, Serialize},
    std::{
        fmt, io,
        net::SocketAddr,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        task::{Context, Poll},
        time::Instant,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        time::{timeout, timeout_at},
    },
};

/// A model or adapter that an engine has loaded or is loading.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct LoadedModel {
    /// Name of the model, or of the adapter's model.
    pub model: Model,
    /// Name of the adapter; `None` for the model itself.
    #[serde(default)]
    pub adapter: Option<CompactString>,
    /// Version, if the engine reports one.
    #[serde(default)]
    pub version: Option<CompactString>,
    /// Whether it is ready to serve requests; `false` while it is being loaded.
    pub ready: bool,
}

impl fmt::Display for LoadedModel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.model)?;
        if let Some(adapter) = &self.adapter {
            write!(formatter, ":{adapter}")?;
        }
        if let Some(version) = &self.version {
            write!(formatter, "@{version}")?;
        }
        if !self.ready {
            formatter.write_str(" (loading)")?;
        }
        Ok(())
    }
}

/// An engine's response to `GET /v1/orders`.
#[derive(Debug, Deserialize)]
pub(super) struct LoadedResponse {
    pub(super) loaded: Vec<LoadedModel>,
}

/// The JSON body of an order.
#[derive(Debug, Clone, Serialize)]
pub struct Body {
    /// Term of the fencing token.
    pub term: u64,
    /// Sequence number of the fencing token.
    pub sequence: u64,
    /// The action, `load` or `unload`.
    pub action: &'static str,
    /// Name of the model, or of the adapter's model.
    pub model: Model,
    /// Name of the adapter; `None` for the model itself.
    pub adapter: Option<CompactString>,
    /// The version to load or unload.
    pub version: CompactString,
}

/// The outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The engine accepted the order, or had already unloaded what the order names.
    Accepted,
    /// The engine refused the fencing token because it has seen a higher one.
    Stale,
    /// The engine refused the order for another reason.
    Refused,
    /// Connecting to the engine failed, so nothing was sent.
    Unreachable,
    /// The lease did not cover the order's deadline, so nothing was sent.
    Uncovered,
    /// No valid response arrived by the deadline. The engine may have acted on the order.
    Unknown,
}

impl Outcome {
    /// The outcome's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Stale => "stale",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::Uncovered => "uncovered",
            Self::Unknown => "unknown",
        }
    }

    /// Whether the engine certainly did not receive the order.
    pub fn is_unsent(self) -> bool {
        matches!(self, Self::Unreachable | Self::Uncovered)
    }
}

/// An open connection to an engine on which nothing was sent yet.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    address: SocketAddr,
}

/// Connects to an engine, or returns `None` if that fails. The order's deadline is set afterwards,
/// so that it is not spent on connecting.
pub async fn connect(address: SocketAddr) -> Option<Connection> {
    let stream = timeout(ENGINE_CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    Some(Connection { stream, address })
}

impl Connection {
    /// Sends the order and waits for the response until the deadline. With a lease, nothing is sent
    /// unless the lease covers the deadline.
    pub async fn send(self, body: &Body, lease: Option<Lease>, deadline: Instant) -> Outcome {
        let uncovered = Arc::new(AtomicBool::new(false));
        let stream = LeasedStream {
            stream: self.stream,
            lease,
            deadline,
            uncovered: Arc::clone(&uncovered),
        };
        let answer = timeout_at(deadline.into(), exchange(stream, self.address, body)).await;
        match answer {
            _ if uncovered.load(Ordering::Relaxed) => Outcome::Uncovered,
            Ok(Some(outcome)) => outcome,
            Ok(None) | Err(_) => Outcome::Unknown,
        }
    }
}

/// Sends the order over HTTP. Returns `None` if there is no valid response.
async fn exchange(stream: LeasedStream, address: SocketAddr, body: &Body) -> Option<Outcome> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let request = Request::builder()
        .method(Method::POST)
        .uri("/v1/orders")
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(header::CONNECTION, "close")
        .body(Full::new(Bytes::from(serde_json::to_vec(body).ok()?)))
        .ok()?;
    // The connection is polled here and not in a task, so that the deadline also ends its writes.
    let answer = async {
        let response = sender.send_request(request).await.ok()?;
        let status = response.status();
        if !is_answer(status) {
            return None;
        }
        if status.is_success() {
            return Some(Outcome::Accepted);
        }
        let body = read_body(response.into_body()).await.ok()?;
        Some(refusal_outcome(status, &body))
    };
    tokio::pin!(connection, answer);
    tokio::select! {
        biased;
        answer = &mut answer => answer,
        _ = &mut connection => answer.await,
    }
}

/// The outcome for an error response.
fn refusal_outcome(status: StatusCode, body: &[u8]) -> Outcome {
    let code = serde_json::from_slice::<ErrorResponse>(body).ok();
    let code = code.and_then(|response| response.error.code);
    match code.as_deref() {
        Some("stale_fencing_token") => Outcome::Stale,
        // The engine does not have what it should unload, so there is nothing left to do.
        Some("model_not_loaded") if status == StatusCode::NOT_FOUND => Outcome::Accepted,
        _ => Outcome::Refused,
    }
}

/// A socket that refuses writes unless the lease, if there is one, covers the order's deadline.
struct LeasedStream {
    stream: TcpStream,
    lease: Option<Lease>,
    deadline: Instant,
    /// Set when a write was refused because the lease does not cover the deadline.
    uncovered: Arc<AtomicBool>,
}

impl LeasedStream {
    /// Fails unless the order may be sent now.
    fn check_lease(&self) -> io::Result<()> {
        let covered = |lease: &Lease| lease.covers(Instant::now(), self.deadline);
        if self.lease.as_ref().is_none_or(covered) {
            return Ok(());
        }
        self.uncovered.store(true, Ordering::Relaxed);
        Err(io::ErrorKind::TimedOut.into())
    }
}

impl AsyncRead for LeasedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for LeasedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_lease()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
