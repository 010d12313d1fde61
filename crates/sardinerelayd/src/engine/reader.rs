//! Reads one generation over as many connections as it takes.

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
const PROBE_PAUSE: Duration = Duration::from_millis(100);

/// How long silence and loss take to be noticed.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// Silence on a connection after which the engine is probed on a new one.
    pub token_gap: Duration,
    /// Time without an answer to probes after which the generation is lost.
    pub engine_loss: Duration,
}

/// What the generation brought next.
#[derive(Debug, Clone)]
pub enum Event {
    /// A token's chunk.
    Token {
        /// The token's index.
        index: u64,
        /// The chunk as the engine wrote it.
        data: Bytes,
    },
    /// The usage chunk.
    Usage(Bytes),
    /// The end of the whole answer.
    Done,
}

/// The generation can't be continued.
#[derive(Debug, ThisError)]
pub enum StreamError {
    /// The engine answers, but no longer has the generation.
    #[error("the engine no longer has the generation")]
    Gone,
    /// The engine did not answer any probe.
    #[error("the engine did not answer for {0:?}")]
    Unreachable(Duration),
    /// The engine certainly never ran the request.
    #[error("the engine did not take the request: {0}")]
    NotRun(Error),
    /// What the engine sends does not follow the protocol.
    #[error("the engine's stream does not follow the protocol")]
    Protocol,
}

/// One generation on one engine.
#[derive(Debug)]
pub struct Reader {
    client: Client,
    address: SocketAddr,
    cursor: Cursor,
    timeouts: Timeouts,
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
    /// A start whose answer does not come is probed on a new connection, because the engine may
    /// have taken the request.
    ///
    /// # Errors
    ///
    /// Returns [`StreamError::NotRun`] only if the engine certainly did not take the request.
    pub async fn start(
        client: &Client,
        start: &StartRequest,
        timeouts: Timeouts,
    ) -> Result<Self, StreamError> {
        let cursor = Cursor::new(start.generation, 0);
        let mut reader = Self::detached(client.clone(), start.address, cursor, timeouts);
        match client.start(start, timeouts.token_gap).await {
            Ok(body) => reader.connection = Some(Connection::new(body)),
            Err(error) if error.is_not_run() => return Err(StreamError::NotRun(error)),
            Err(_) => reader.reconnect().await?,
        }
        Ok(reader)
    }

    /// Continues a generation that another host or connection started.
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
        let mut reader = Self::detached(client.clone(), address, cursor, timeouts);
        reader.reconnect().await?;
        Ok(reader)
    }

    fn detached(client: Client, address: SocketAddr, cursor: Cursor, timeouts: Timeouts) -> Self {
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

    /// The generation that is read.
    pub fn generation(&self) -> Generation {
        self.cursor.generation()
    }

    /// The engine's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The index of the next token.
    pub fn next_index(&self) -> u64 {
        self.cursor.next()
    }

    /// Whether the whole answer was read.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Whether the generation could not be continued.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Waits for the next event.
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
                    if let Some(event) = self.check(event)? {
                        return Ok(event);
                    }
                }
                // Silence or a broken connection: the next round probes on a new one.
                Ok(Err(_)) | Err(_) => self.connection = None,
            }
        }
    }

    /// Accepts the event by generation and index, whatever connection it came from.
    fn check(&mut self, raw: Raw) -> Result<Option<Event>, StreamError> {
        match raw {
            Raw::Token {
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
            Raw::Usage(data) => Ok(Some(Event::Usage(data))),
            Raw::Done => {
                self.is_complete = true;
                Ok(Some(Event::Done))
            }
            Raw::Malformed => Err(StreamError::Protocol),
        }
    }

    /// Opens a new connection at the next index, until the engine answers or is given up.
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
                Err(_) if since.elapsed() < self.timeouts.engine_loss => sleep(PROBE_PAUSE).await,
                Err(_) => return Err(StreamError::Unreachable(since.elapsed())),
            }
        }
    }
}

/// An event as one connection delivered it.
enum Raw {
    Token {
        generation: Generation,
        index: u64,
        data: Bytes,
    },
    Usage(Bytes),
    Done,
    Malformed,
}

/// The connection ended or broke before the end of the answer.
struct Broken;

impl Connection {
    fn new(body: Incoming) -> Self {
        Self {
            body,
            decoder: Decoder::default(),
        }
    }

    async fn read(&mut self) -> Result<Raw, Broken> {
        loop {
            match self.decoder.decode() {
                Ok(Some(event)) if event.data == "[DONE]" => return Ok(Raw::Done),
                Ok(Some(event)) if event.kind == "usage" => return Ok(Raw::Usage(event.data)),
                Ok(Some(event)) => return Ok(token(&event.id, event.data)),
                Ok(None) => {}
                Err(_) => return Ok(Raw::Malformed),
            }
            let frame = self.body.frame().await.ok_or(Broken)?.map_err(|_| Broken)?;
            if let Some(data) = frame.data_ref() {
                self.decoder.push(data);
            }
        }
    }
}

/// Reads the position from an event's `id`, which is `<generation>.<token index>`.
fn token(id: &[u8], data: Bytes) -> Raw {
    let position = str::from_utf8(id).ok().and_then(|id| {
        let (generation, index) = id.split_once('.')?;
        Some((generation.parse().ok()?, index.parse().ok()?))
    });
    match position {
        Some((generation, index)) => Raw::Token {
            generation,
            index,
            data,
        },
        None => Raw::Malformed,
    }
}
