//! Connections to targets, each used by one request at a time.
//!
//! A connection is kept only after an exchange that ended exactly as the protocol says. After
//! anything else it is closed, because bytes that belong to no request may follow on it.

use {
    crate::observations::Instance,
    bytes::Bytes,
    http::{HeaderMap, Request, Response, header::CONNECTION, header::HeaderName},
    http_body_util::{BodyExt as _, Full, Limited},
    hyper::{
        body::Incoming,
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    log::debug,
    sardinerelay::id::Target,
    socket2::SockRef,
    std::{
        collections::HashMap,
        error::Error,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
    thiserror::Error as ThisError,
    tokio::{net::TcpStream, task::JoinHandle, time::timeout},
};

/// Time to open a connection. A lost opening packet is sent again only after a second, so trying
/// elsewhere is faster.
const CONNECT: Duration = Duration::from_millis(400);
/// Time after which unacknowledged bytes break a connection, so that a cut is noticed.
const UNACKNOWLEDGED: Duration = Duration::from_secs(2);
/// Time that a connection is kept idle if the target states no timeout.
const IDLE: Duration = Duration::from_secs(4);
/// How much earlier than stated an idle connection is given up, so that its closing does not cross
/// a request.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Idle connections kept for a target.
const MOST_IDLE: usize = 32;
/// Largest answer to a call of the relay's own, in bytes.
const OWN_ANSWER_BYTES: usize = 4 << 20;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Why no answer came.
#[derive(Debug, ThisError)]
pub enum SendError {
    /// No byte of the request was sent.
    #[error("not sent: {0}")]
    NotSent(#[source] Cause),
    /// The request may have arrived.
    #[error("sent without an answer: {0}")]
    NoResponse(#[source] Cause),
}

/// The cause of a [`SendError`].
#[derive(Debug, ThisError)]
pub enum Cause {
    /// The socket failed.
    #[error(transparent)]
    Socket(#[from] io::Error),
    /// The protocol failed.
    #[error(transparent)]
    Protocol(#[from] hyper::Error),
    /// It took too long.
    #[error("timed out")]
    Timeout,
    /// The answer's body is broken or too long.
    #[error("reading the answer failed: {0}")]
    Answer(#[source] Box<dyn Error + Send + Sync>),
}

/// A connection that closes when it is dropped.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
    until: Instant,
}

/// Kept connections by target.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<HashMap<Target, Vec<Idle>>>,
}

/// An answer whose body follows, and the connection that it uses. Dropping it closes the
/// connection, which cancels the request at the target.
#[derive(Debug)]
pub struct Exchange {
    target: Target,
    connection: Option<Connection>,
    kept: Option<Duration>,
}

impl Pool {
    /// Sends a request to a target. `youngest` is the longest time that a connection may have been
    /// idle to be used.
    ///
    /// # Errors
    ///
    /// [`SendError`]. After [`SendError::NoResponse`] the request may run or have run.
    pub async fn send(
        &self,
        target: &Instance,
        request: Request<Full<Bytes>>,
        youngest: Duration,
    ) -> Result<(Exchange, Response<Incoming>), SendError> {
        let mut request = request;
        while let Some(mut connection) = self.take(&target.target, youngest) {
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok(exchange(target, connection, response)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::NoResponse(error.into_error().into())),
                },
            }
        }
        let mut connection = open(target.address).await.map_err(SendError::NotSent)?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok(exchange(target, connection, response)),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let cause = error.into_error().into();
                Err(if unsent {
                    SendError::NotSent(cause)
                } else {
                    SendError::NoResponse(cause)
                })
            }
        }
    }

    /// Makes a call of the relay's own and reads the whole answer.
    ///
    /// # Errors
    ///
    /// [`SendError`].
    pub async fn call(
        &self,
        target: &Instance,
        request: Request<Full<Bytes>>,
        deadline: Duration,
    ) -> Result<Response<Bytes>, SendError> {
        let answered = timeout(deadline, async {
            let (exchange, response) = self.send(target, request, IDLE).await?;
            let (parts, body) = response.into_parts();
            let body = Limited::new(body, OWN_ANSWER_BYTES).collect().await;
            let body = body
                .map_err(|error| SendError::NoResponse(Cause::Answer(error)))?
                .to_bytes();
            self.put_back(exchange);
            Ok(Response::from_parts(parts, body))
        });
        answered
            .await
            .unwrap_or(Err(SendError::NoResponse(Cause::Timeout)))
    }

    /// Keeps the connection of an exchange whose answer was read to its end.
    pub fn put_back(&self, mut exchange: Exchange) {
        let (Some(connection), Some(kept)) = (exchange.connection.take(), exchange.kept) else {
            return;
        };
        if connection.sender.is_closed() {
            return;
        }
        let now = Instant::now();
        let mut all = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = all.entry(exchange.target).or_default();
        idle.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
        if idle.len() < MOST_IDLE {
            idle.push(Idle {
                connection,
                since: now,
                until: now + kept,
            });
        }
    }

    /// Closes idle connections of targets that are no longer wanted.
    pub fn retain_targets<Wanted>(&self, wanted: Wanted)
    where
        Wanted: Fn(&Target) -> bool,
    {
        let now = Instant::now();
        let mut all = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        all.retain(|target, idle| {
            idle.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
            !idle.is_empty() && wanted(target)
        });
    }

    fn take(&self, target: &Target, youngest: Duration) -> Option<Connection> {
        let now = Instant::now();
        let mut all = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = all.get_mut(target)?;
        while let Some(last) = idle.pop() {
            let young = now.saturating_duration_since(last.since) <= youngest;
            let sound = last.until > now && last.connection.sender.is_ready();
            if sound && young {
                return Some(last.connection);
            }
        }
        None
    }
}

fn exchange(
    target: &Instance,
    connection: Connection,
    response: Response<Incoming>,
) -> (Exchange, Response<Incoming>) {
    let exchange = Exchange {
        target: target.target.clone(),
        connection: Some(connection),
        kept: kept(response.headers()),
    };
    (exchange, response)
}

async fn open(address: SocketAddr) -> Result<Connection, Cause> {
    let stream = timeout(CONNECT, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| Cause::Timeout)??;
    stream.set_nodelay(true)?;
    if let Err(error) = SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED)) {
        // Without it a cut is noticed later, by the deadlines of requests.
        debug!("the timeout of unacknowledged bytes can't be set: {error}");
    }
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            debug!("the connection to {address} ended: {error}");
        }
    });
    Ok(Connection { sender, task })
}

/// How long the connection may be kept idle; nothing if the target closes it.
fn kept(headers: &HeaderMap) -> Option<Duration> {
    let closes = headers.get_all(CONNECTION).iter().any(|value| {
        let value = value.to_str().unwrap_or_default();
        value
            .split(',')
            .any(|token| token.trim().eq_ignore_ascii_case("close"))
    });
    if closes {
        return None;
    }
    let stated = headers.get(KEEP_ALIVE).and_then(|value| {
        let parameters = value.to_str().ok()?.split(',');
        let timeout = parameters
            .filter_map(|parameter| parameter.trim().strip_prefix("timeout="))
            .next()?;
        timeout.trim().parse().ok().map(Duration::from_secs)
    });
    stated
        .unwrap_or(IDLE)
        .checked_sub(IDLE_MARGIN)
        .filter(|kept| !kept.is_zero())
}

/// Kept connections that all parts of a host share.
pub type Shared = Arc<Pool>;
