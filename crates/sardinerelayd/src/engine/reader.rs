//! Reads the events of one generation, over several connections if necessary.

use {
    crate::engine::{Client, Error, StartRequest, sse::Decoder},
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::body::Incoming,
    sardinerelay::{
        id::Generation,
        stream::{Accept, Cursor},
    },
    std::{
        net::SocketAddr,
        str,
        time::{Duration, Instant},
    },
    thiserror::Error as ThisError,
    tokio::time::{sleep, timeout},
};

/// Pause between probes of an engine that refuses connections.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// How long an engine may be silent before it is probed and before its generation counts as lost.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// Silence on a connection after which the engine is probed on a new one.
    pub token_gap: Duration,
    /// Time without a response to probes after which the generation counts as lost.
    pub engine_loss: Duration,
}

/// An event of a generation.
#[derive(Debug, Clone)]
pub enum Event {
    /// The chunk of one token.
    Token {
        /// Position of the token in the generation; the first token has index 0.
        index: u64,
        /// The chunk as the engine wrote it.
        data: Bytes,
    },
    /// The usage chunk, as the engine wrote it.
    Usage(Bytes),
    /// The end of the answer.
    Done,
}

/// Why a generation can't be started or continued.
#[derive(Debug, ThisError)]
pub enum StreamError {
    /// The engine answered a resumption with an error, as it does if it no longer has the
    /// generation.
    #[error("the engine no longer has the generation")]
    Gone,
    /// The engine did not respond to any probe for this long.
    #[error("the engine did not answer for {0:?}")]
    Unreachable(Duration),
    /// The engine certainly did not run the request.
    #[error("the engine did not take the request: {0}")]
    NotRun(Error),
    /// The engine's event stream does not follow the protocol.
    #[error("the engine's stream does not follow the protocol")]
    Protocol,
}

/// Reads one generation from one engine.
#[derive(Debug)]
pub struct Reader {
    client: Client,
    address: SocketAddr,
    cursor: Cursor,
    timeouts: Timeouts,
    /// The current connection; `None` until the next read reconnects.
    connection: Option<Connection>,
    is_complete: bool,
    is_lost: bool,
}

#[derive(Debug)]
struct Connection {
    body: Incoming,
    decoder: Decoder,
}

impl Reader {
    /// Starts a generation.
    ///
    /// If the engine does not respond to the start, it is probed on a new connection, because it
    /// may have accepted the request.
    ///
    /// # Errors
    ///
    /// Returns [`StreamError::NotRun`] only if the engine certainly did not run the request.
    pub async fn start(
        client: &Client,
        start: &StartRequest,
        timeouts: Timeouts,
    ) -> Result<Self, StreamError> {
        let cursor = Cursor::new(start.generation, 0);
        let mut reader = Self::disconnected(client.clone(), start.address, cursor, timeouts);
        match client.start(start, timeouts.token_gap).await {
            Ok(body) => reader.connection = Some(Connection::new(body)),
            Err(error) if error.is_not_run() => return Err(StreamError::NotRun(error)),
            Err(_) => reader.reconnect().await?,
        }
        Ok(reader)
    }

    /// Resumes a generation that another host or connection started, from the cursor's position.
    ///
    /// # Errors
    ///
    /// Returns why it can't be continued.
    pub async fn resume(
        client: &Client,
        address: SocketAddr,
        cursor: Cursor,
        timeouts: Timeouts,
    ) -> Result<Self, StreamError> {
        let mut reader = Self::disconnected(client.clone(), address, cursor, timeouts);
        reader.reconnect().await?;
        Ok(reader)
    }

    /// Creates a reader without a connection.
    fn disconnected(
        client: Client,
        address: SocketAddr,
        cursor: Cursor,
        timeouts: Timeouts,
    ) -> Self {
        Self {
            client,
            address,
            cursor,
            timeouts,
            connection: None,
            is_complete: false,
            is_lost: false,
        }
    }

    /// Identifier of the generation.
    pub fn generation(&self) -> Generation {
        self.cursor.generation()
    }

    /// The engine's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Index of the next token, which is the number of tokens up to now.
    pub fn next_index(&self) -> u64 {
        self.cursor.next()
    }

    /// Whether the answer was read to its end.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Whether the generation could not be continued.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Reads the next event, over a new connection if necessary.
    ///
    /// # Errors
    ///
    /// Returns why the generation can't be continued.
    pub async fn next(&mut self) -> Result<Event, StreamError> {
        let result = self.read().await;
        self.is_lost = result.is_err();
        result
    }

    async fn read(&mut self) -> Result<Event, StreamError> {
        loop {
            let Some(connection) = &mut self.connection else {
                self.reconnect().await?;
                continue;
            };
            match timeout(self.timeouts.token_gap, connection.read()).await {
                Ok(Ok(event)) => {
                    if let Some(event) = self.accept(event)? {
                        return Ok(event);
                    }
                }
                // The connection is silent or broken: the next iteration opens a new one.
                Ok(Err(_)) | Err(_) => self.connection = None,
            }
        }
    }

    /// Returns the event if it is the next one. A repeated token is skipped, and after a gap the
    /// stream is resumed on a new connection.
    fn accept(&mut self, raw: RawEvent) -> Result<Option<Event>, StreamError> {
        match raw {
            RawEvent::Token {
                generation,
                index,
                data,
            } => match self.cursor.accept(generation, index) {
                Accept::Deliver => Ok(Some(Event::Token { index, data })),
                Accept::Drop => Ok(None),
                Accept::Gap { .. } => {
                    self.connection = None;
                    Ok(None)
                }
            },
            RawEvent::Usage(data) => Ok(Some(Event::Usage(data))),
            RawEvent::Done => {
                self.is_complete = true;
                Ok(Some(Event::Done))
            }
            RawEvent::Malformed => Err(StreamError::Protocol),
        }
    }

    /// Resumes the stream on a new connection, retrying until `engine_loss` has passed.
    async fn reconnect(&mut self) -> Result<(), StreamError> {
        let since = Instant::now();
        loop {
            let (generation, next) = (self.cursor.generation(), self.cursor.next());
            match self.client.resume(self.address, generation, next).await {
                Ok(body) => {
                    self.connection = Some(Connection::new(body));
                    return Ok(());
                }
                Err(Error::Refused { .. } | Error::Status(_)) => return Err(StreamError::Gone),
                Err(_) if since.elapsed() < self.timeouts.engine_loss => {
                    sleep(PROBE_INTERVAL).await
                }
                Err(_) => return Err(StreamError::Unreachable(since.elapsed())),
            }
        }
    }
}

/// An event as it arrived on a connection, before its position is checked.
enum RawEvent {
    Token {
        generation: Generation,
        index: u64,
        data: Bytes,
    },
    Usage(Bytes),
    Done,
    Malformed,
}

/// The connection ended before the end of the answer.
struct Disconnected;

impl Connection {
    fn new(body: Incoming) -> Self {
        Self {
            body,
            decoder: Decoder::default(),
        }
    }

    /// Reads the next event.
    async fn read(&mut self) -> Result<RawEvent, Disconnected> {
        loop {
            match self.decoder.decode() {
                Ok(Some(event)) if event.data == "[DONE]" => return Ok(RawEvent::Done),
                Ok(Some(event)) if event.kind == "usage" => return Ok(RawEvent::Usage(event.data)),
                Ok(Some(event)) => return Ok(token(&event.id, event.data)),
                Ok(None) => {}
                Err(_) => return Ok(RawEvent::Malformed),
            }
            let frame = self
                .body
                .frame()
                .await
                .ok_or(Disconnected)?
                .map_err(|_| Disconnected)?;
            if let Some(data) = frame.data_ref() {
                self.decoder.push(data);
            }
        }
    }
}

/// Builds a token event from its chunk and its `id`, which is `<generation>.<token index>`.
fn token(id: &[u8], data: Bytes) -> RawEvent {
    let position = str::from_utf8(id).ok().and_then(|id| {
        let (generation, index) = id.split_once('.')?;
        Some((generation.parse().ok()?, index.parse().ok()?))
    });
    match position {
        Some((generation, index)) => RawEvent::Token {
            generation,
            index,
            data,
        },
        None => RawEvent::Malformed,
    }
}
