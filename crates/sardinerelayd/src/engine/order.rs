//! One order to an engine, on a connection of its own.
//!
//! The check whether the order may still be sent runs in the first write to the socket, so that
//! nothing but the system call lies between the two. See `docs/design/orders.md`.

use {
    super::{CONNECT_TIMEOUT, Envelope, collect},
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
    /// Name of the model.
    pub model: Model,
    /// Name of the adapter, if this is one.
    #[serde(default)]
    pub adapter: Option<CompactString>,
    /// Version, if the engine knows it.
    #[serde(default)]
    pub version: Option<CompactString>,
    /// Whether it answers requests.
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

#[derive(Debug, Deserialize)]
pub(super) struct ReadBack {
    pub(super) loaded: Vec<LoadedModel>,
}

/// The body of an order.
#[derive(Debug, Clone, Serialize)]
pub struct Body {
    /// Term of the fencing token.
    pub term: u64,
    /// Sequence of the fencing token.
    pub sequence: u64,
    /// `load` or `unload`.
    pub action: &'static str,
    /// The model.
    pub model: Model,
    /// The adapter, or nothing for the model itself.
    pub adapter: Option<CompactString>,
    /// The version.
    pub version: CompactString,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The engine accepted it.
    Accepted,
    /// The engine refused its fencing token.
    Stale,
    /// The engine refused it for another reason.
    Refused,
    /// The engine can't be reached; nothing was sent.
    Unreachable,
    /// The lease did not outlast the deadline; nothing was sent.
    Uncovered,
    /// No answer came by the deadline; the engine may have acted on it.
    Unknown,
}

impl Outcome {
    /// The name in logs and metrics.
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

    /// Whether the engine certainly did not get it.
    pub fn is_unsent(self) -> bool {
        matches!(self, Self::Unreachable | Self::Uncovered)
    }
}

/// An open connection on which nothing was written yet.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    address: SocketAddr,
}

/// Connects ahead of the order, so that connecting takes nothing from its deadline.
pub async fn connect(address: SocketAddr) -> Option<Connection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    Some(Connection { stream, address })
}

impl Connection {
    /// Sends the order and waits for the answer until the deadline. With a lease, nothing is sent
    /// unless the lease outlasts the deadline.
    pub async fn send(self, body: &Body, lease: Option<Lease>, deadline: Instant) -> Outcome {
        let uncovered = Arc::new(AtomicBool::new(false));
        let gate = Gate {
            stream: self.stream,
            lease,
            deadline,
            uncovered: Arc::clone(&uncovered),
        };
        let answer = timeout_at(deadline.into(), exchange(gate, self.address, body)).await;
        match answer {
            _ if uncovered.load(Ordering::Relaxed) => Outcome::Uncovered,
            Ok(Some(outcome)) => outcome,
            Ok(None) | Err(_) => Outcome::Unknown,
        }
    }
}

async fn exchange(gate: Gate, address: SocketAddr, body: &Body) -> Option<Outcome> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(gate)).await.ok()?;
    let request = Request::builder()
        .method(Method::POST)
        .uri("/v1/orders")
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(header::CONNECTION, "close")
        .body(Full::new(Bytes::from(serde_json::to_vec(body).ok()?)))
        .ok()?;
    // The connection is polled here and not in a task, so that it ends with the deadline.
    let answer = async {
        let response = sender.send_request(request).await.ok()?;
        let status = response.status();
        if status.is_success() {
            return Some(Outcome::Accepted);
        }
        let body = collect(response.into_body()).await.ok()?;
        Some(refused(status, &body))
    };
    tokio::pin!(connection, answer);
    tokio::select! {
        biased;
        answer = &mut answer => answer,
        _ = &mut connection => answer.await,
    }
}

fn refused(status: StatusCode, body: &[u8]) -> Outcome {
    let code = serde_json::from_slice::<Envelope>(body).ok();
    let code = code.and_then(|envelope| envelope.error.code);
    match code.as_deref() {
        Some("stale_fencing_token") => Outcome::Stale,
        // The engine no longer has what it shall unload.
        Some("model_not_loaded") if status == StatusCode::NOT_FOUND => Outcome::Accepted,
        _ => Outcome::Refused,
    }
}

/// A socket that refuses to write after the order's time has passed.
struct Gate {
    stream: TcpStream,
    lease: Option<Lease>,
    deadline: Instant,
    uncovered: Arc<AtomicBool>,
}

impl Gate {
    fn check(&self) -> io::Result<()> {
        let covered = |lease: &Lease| lease.covers(Instant::now(), self.deadline);
        if self.lease.as_ref().is_none_or(covered) {
            return Ok(());
        }
        self.uncovered.store(true, Ordering::Relaxed);
        Err(io::ErrorKind::TimedOut.into())
    }
}

impl AsyncRead for Gate {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Gate {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
