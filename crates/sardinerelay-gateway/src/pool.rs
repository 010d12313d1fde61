//! Pool of HTTP/1 connections to targets, each used by one request at a time.
//!
//! A connection is reused only if the last exchange on it ended as the protocol says. After
//! anything else it is closed, because bytes that belong to no request may follow.
//!
//! A target may send an answer once more, at the point where the next one is expected. A connection is
//! therefore used only for a request whose answer can be told from the one before; see [`Purpose`].

use {
    crate::{body, observations::Instance},
    bytes::Bytes,
    compact_str::CompactString,
    http::{HeaderMap, Request, Response, StatusCode, header::CONNECTION, header::HeaderName},
    http_body_util::Full,
    hyper::{
        body::Incoming,
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    log::debug,
    sardinerelay::{bound, id::Target},
    sardinerelayd::engine::is_answer,
    socket2::SockRef,
    std::{
        collections::HashMap,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
    thiserror::Error as ThisError,
    tokio::{net::TcpStream, task::JoinHandle, time::timeout},
};

/// Timeout for opening a connection. TCP retransmits a lost SYN only after a second, so trying
/// another target is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which a connection with unacknowledged data is closed, so that a network partition is
/// noticed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle timeout of a connection if the target states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time by which idle connections are closed earlier than the target states, so that it doesn't
/// close them while a request is on its way.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);
/// Largest number of idle connections that are kept to one target for requests of callers.
const MAX_IDLE_PER_TARGET: usize = 32;
/// Largest response body to a request that the relay makes itself, in bytes.
const MAX_OWN_RESPONSE_BYTES: usize = 4 << 20;

/// Largest head of a response, in bytes. A connection buffers no more than this at a time either.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Memory that long responses may take together, in bytes. The smallest hosts have 88 MB.
const RESPONSE_MEMORY_BYTES: usize = 8 << 20;
/// Largest rest of a response that is read only to use its connection again, in bytes.
const MAX_UNREAD_BYTES: usize = 16 << 10;
/// Longest time for which such a rest is read.
const UNREAD_TIMEOUT: Duration = Duration::from_millis(500);

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Why a request got no complete response.
#[derive(Debug, ThisError)]
pub enum SendError {
    /// No byte of the request was sent, so it certainly did not run.
    #[error("not sent: {0}")]
    NotSent(#[source] Cause),
    /// The request may have arrived and run.
    #[error("sent, but got no response: {0}")]
    NoResponse(#[source] Cause),
}

impl SendError {
    /// Whether the target refused the connection, as it does after its process has ended.
    pub fn is_refused(&self) -> bool {
        let Self::NotSent(Cause::Socket(error)) = self else {
            return false;
        };
        error.kind() == io::ErrorKind::ConnectionRefused
    }
}

/// What went wrong while a request was sent or its response read.
#[derive(Debug, ThisError)]
pub enum Cause {
    /// The socket failed.
    #[error(transparent)]
    Socket(#[from] io::Error),
    /// The HTTP exchange failed.
    #[error(transparent)]
    Protocol(#[from] hyper::Error),
    /// The timeout has passed.
    #[error("timed out")]
    Timeout,
    /// The response names the attempt before on the connection.
    #[error("the response to the request before came once more")]
    Repeated,
    /// The response has a status that ends no request.
    #[error("the response has status {0}")]
    Status(StatusCode),
    /// The response's body was not read in full.
    #[error("reading the response failed: {0}")]
    Body(#[source] body::Error),
}

/// What a request is for, which decides the answers that could be taken for its own.
///
/// Once an answer has been told from the one before, no second copy of an earlier one is left on the
/// connection. So only the last exchange counts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Purpose {
    /// A caller's attempt with this ID, which its answer names.
    Attempt(CompactString),
    /// A call of the relay that may be answered with what the target said before, such as a load
    /// report.
    Read,
    /// A call of the relay that needs its own answer, such as a reservation. The answers to commands
    /// with different names differ in what they contain.
    Command(&'static str),
}

impl Purpose {
    /// Whether the answer to a request can be told from a second copy of the answer to the previous
    /// one on the connection.
    fn is_distinct_after(&self, previous: Option<&Self>) -> bool {
        matches!(self, Self::Read) || previous != Some(self)
    }
}

/// A request with what decides which connections it may use.
#[derive(Debug)]
pub struct Outgoing {
    pub request: Request<Full<Bytes>>,
    pub purpose: Purpose,
    /// Longest time that a connection may have been idle for the request.
    pub max_idle: Duration,
}

/// A connection and the task that drives it. Dropping it closes the connection.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    /// What the last exchange was for; none before the first one.
    last: Option<Purpose>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// An idle connection, which may be used until it expires.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    idle_since: Instant,
    expires: Instant,
}

/// Idle connections by target, and the memory for responses. Clones share both.
#[derive(Debug, Clone)]
pub struct Pool {
    idle: Arc<Mutex<HashMap<Target, Vec<Idle>>>>,
    /// Largest number of idle connections that are kept to one target.
    max_idle: usize,
    /// Memory that long responses may take together.
    pub memory: body::Memory,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            idle: Arc::default(),
            max_idle: MAX_IDLE_PER_TARGET,
            memory: body::Memory::new(RESPONSE_MEMORY_BYTES),
        }
    }
}

/// The connection of a response whose body has not been read yet. Dropping it closes the
/// connection, which cancels the request at the target.
#[derive(Debug)]
pub struct Exchange {
    target: Target,
    connection: Option<Connection>,
    /// What the exchange before on the connection was for.
    previous: Option<Purpose>,
    /// How long the connection may stay idle after the exchange; none if it can't be reused.
    idle_timeout: Option<Duration>,
}

impl Exchange {
    /// Whether a header of the response names the attempt before on the connection.
    fn answers_previous(&self, response: &Response<Incoming>) -> bool {
        let Some(Purpose::Attempt(id)) = &self.previous else {
            return false;
        };
        let mut values = response.headers().values();
        values.any(|value| value.as_bytes() == id.as_bytes())
    }
}

impl Pool {
    /// Creates a pool that keeps at most this many idle connections to one target.
    pub fn with_max_idle(max_idle: usize) -> Self {
        Self {
            max_idle,
            ..Self::default()
        }
    }

    /// Sends a request to a target and reads the head of the response. A new connection is opened
    /// if no idle one may be used.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`]. After [`SendError::NoResponse`] the request may run or have run.
    pub async fn send(
        &self,
        target: &Instance,
        outgoing: Outgoing,
    ) -> Result<(Exchange, Response<Incoming>), SendError> {
        let Outgoing {
            mut request,
            purpose,
            max_idle,
        } = outgoing;
        while let Some(mut connection) = self.take(&target.target, &purpose, max_idle) {
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok(exchange(target, (connection, purpose), response)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::NoResponse(error.into_error().into())),
                },
            }
        }
        let mut connection = open(target.address).await.map_err(SendError::NotSent)?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok(exchange(target, (connection, purpose), response)),
            Err(mut error) => {
                let is_unsent = error.take_message().is_some();
                let cause = error.into_error().into();
                Err(if is_unsent {
                    SendError::NotSent(cause)
                } else {
                    SendError::NoResponse(cause)
                })
            }
        }
    }

    /// Whether a target refuses connections, as it does after its process has ended. One that can't be
    /// reached may still run.
    pub async fn refuses_connections(&self, target: &Instance) -> bool {
        let opened = timeout(CONNECT_TIMEOUT, TcpStream::connect(target.address)).await;
        matches!(opened, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Makes a request of the relay itself and reads the whole response.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`]. It is [`SendError::NoResponse`] if `time_limit` passes, even if no
    /// byte was sent, or if the response is that to a caller's attempt.
    pub async fn call(
        &self,
        target: &Instance,
        outgoing: (Request<Full<Bytes>>, Purpose),
        time_limit: Duration,
    ) -> Result<Response<Bytes>, SendError> {
        let limits = (time_limit, MAX_OWN_RESPONSE_BYTES);
        self.call_within(target, outgoing, limits).await
    }

    /// Does the same with another limit of the response's body, in bytes.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] as [`Self::call`] does.
    pub async fn call_within(
        &self,
        target: &Instance,
        (request, purpose): (Request<Full<Bytes>>, Purpose),
        (time_limit, max_bytes): (Duration, usize),
    ) -> Result<Response<Bytes>, SendError> {
        let outgoing = Outgoing {
            request,
            purpose,
            max_idle: DEFAULT_IDLE_TIMEOUT,
        };
        let responded = timeout(time_limit, async {
            let (exchange, response) = self.send(target, outgoing).await?;
            if exchange.answers_previous(&response) {
                return Err(SendError::NoResponse(Cause::Repeated));
            }
            if !is_answer(response.status()) {
                return Err(SendError::NoResponse(Cause::Status(response.status())));
            }
            let (parts, body) = response.into_parts();
            let limits = body::Limits {
                max_bytes,
                until: Instant::now() + time_limit,
            };
            let body = body::read(body, limits, &self.memory).await;
            let body = body.map_err(|error| SendError::NoResponse(Cause::Body(error)))?;
            self.put_back(exchange);
            Ok(Response::from_parts(parts, body))
        });
        responded
            .await
            .unwrap_or(Err(SendError::NoResponse(Cause::Timeout)))
    }

    /// Returns the connection of an exchange to the pool. The response must have been read to its
    /// end.
    pub fn put_back(&self, mut exchange: Exchange) {
        let (Some(connection), Some(idle_timeout)) =
            (exchange.connection.take(), exchange.idle_timeout)
        else {
            return;
        };
        if connection.sender.is_closed() {
            return;
        }
        let now = Instant::now();
        let mut all = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = all.entry(exchange.target).or_default();
        idle.retain(|idle| idle.expires > now && !idle.connection.sender.is_closed());
        if idle.len() < self.max_idle {
            idle.push(Idle {
                connection,
                idle_since: now,
                expires: now + idle_timeout,
            });
        }
    }

    /// Reads what is left of a response whose content doesn't matter, and returns its connection to the
    /// pool. Doesn't wait for that. The connection is closed instead if the body is long or takes long.
    pub fn finish(&self, exchange: Exchange, body: Incoming) {
        let limits = body::Limits {
            max_bytes: MAX_UNREAD_BYTES,
            until: Instant::now() + UNREAD_TIMEOUT,
        };
        let pool = self.clone();
        tokio::spawn(async move {
            match body::read(body, limits, &pool.memory).await {
                Ok(_) => pool.put_back(exchange),
                Err(error) => debug!("closing a connection to {}: {error}", exchange.target),
            }
        });
    }

    /// Closes idle connections that have expired, and those to targets for which `keep` is false.
    pub fn retain_targets<Keep>(&self, keep: Keep)
    where
        Keep: Fn(&Target) -> bool,
    {
        let now = Instant::now();
        let mut all = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        all.retain(|target, idle| {
            idle.retain(|idle| idle.expires > now && !idle.connection.sender.is_closed());
            !idle.is_empty() && keep(target)
        });
    }

    /// Takes the connection that became idle last among those that may be used for this purpose and
    /// have been idle for up to `max_idle`. Closes the others that have been idle for longer.
    fn take(&self, target: &Target, purpose: &Purpose, max_idle: Duration) -> Option<Connection> {
        let now = Instant::now();
        let mut all = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = all.get_mut(target)?;
        for position in (0..idle.len()).rev() {
            let found = &idle[position];
            let is_fresh = now.saturating_duration_since(found.idle_since) <= max_idle;
            let is_usable = found.expires > now && found.connection.sender.is_ready();
            if !is_usable || !is_fresh {
                idle.remove(position);
            } else if purpose.is_distinct_after(found.connection.last.as_ref()) {
                return Some(idle.remove(position).connection);
            }
        }
        None
    }
}

/// Pairs a response with the connection that it came on.
fn exchange(
    target: &Instance,
    (mut connection, purpose): (Connection, Purpose),
    response: Response<Incoming>,
) -> (Exchange, Response<Incoming>) {
    let exchange = Exchange {
        target: target.target.clone(),
        previous: connection.last.replace(purpose),
        connection: Some(connection),
        idle_timeout: idle_timeout(response.headers()),
    };
    (exchange, response)
}

/// Opens a connection and spawns the task that drives it.
async fn open(address: SocketAddr) -> Result<Connection, Cause> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| Cause::Timeout)??;
    stream.set_nodelay(true)?;
    if let Err(error) = SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)) {
        // Without the option a partition is noticed later, by the deadlines of requests.
        debug!("setting TCP_USER_TIMEOUT failed: {error}");
    }
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            debug!("the connection to {address} ended: {error}");
        }
    });
    Ok(Connection {
        sender,
        task,
        last: None,
    })
}

/// Returns how long a connection may stay idle after this response: the timeout that the target
/// states, minus a margin. Returns none if the target closes the connection.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let is_closing = headers.get_all(CONNECTION).iter().any(|value| {
        let value = value.to_str().unwrap_or_default();
        value
            .split(',')
            .any(|token| token.trim().eq_ignore_ascii_case("close"))
    });
    if is_closing {
        return None;
    }
    let stated = headers.get(KEEP_ALIVE).and_then(|value| {
        let parameters = value.to_str().ok()?.split(',');
        let timeout = parameters
            .filter_map(|parameter| parameter.trim().strip_prefix("timeout="))
            .next()?;
        timeout.trim().parse().ok().map(bound::seconds)
    });
    stated
        .unwrap_or(DEFAULT_IDLE_TIMEOUT)
        .checked_sub(IDLE_TIMEOUT_MARGIN)
        .filter(|timeout| !timeout.is_zero())
}
