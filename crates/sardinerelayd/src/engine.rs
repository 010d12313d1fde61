//! HTTP client of engines.
//!
//! [`Reader`] reads one generation. It survives a connection that goes silent: the engine is
//! probed on a new connection and the stream resumed from the next index, and events of the
//! old connection can't be delivered twice.

pub mod order;
pub mod reader;
pub mod sse;

pub use {
    order::LoadedModel,
    reader::{Event, Reader, StreamError},
};

use {
    bytes::Bytes,
    compact_str::CompactString,
    http::{HeaderValue, Method, Request, StatusCode, header},
    http_body_util::{BodyExt, Full, Limited},
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{self, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    sardinerelay::{fleet::Incarnation, id::Generation},
    serde::{Deserialize, de::DeserializeOwned},
    std::{net::SocketAddr, time::Duration},
    thiserror::Error,
    tokio::time::{error::Elapsed, timeout},
};

/// Time to connect to an engine. A target in another availability zone answers in milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time an idle connection is kept. Shorter than the usual idle limit of middle boxes.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time for calls with short answers.
const SHORT_CALL: Duration = Duration::from_secs(1);

/// Largest short answer in bytes that is read. A read-back lists up to 4096 orders.
const MAX_SHORT_ANSWER: usize = 1024 * 1024;

/// Connections to engines.
#[derive(Debug, Clone)]
pub struct Client {
    pooled: legacy::Client<HttpConnector, Full<Bytes>>,
    /// Opens a connection for each request, to tell a silent connection from a dead engine.
    fresh: legacy::Client<HttpConnector, Full<Bytes>>,
}

/// What starts a generation.
#[derive(Debug, Clone)]
pub struct StartRequest {
    /// The engine's address.
    pub address: SocketAddr,
    /// The path of the API, for example `/v1/completions`.
    pub path: &'static str,
    /// The new generation.
    pub generation: Generation,
    /// The request's identifier, for the engine's record.
    pub request_id: HeaderValue,
    /// Priority; 0 comes first.
    pub priority: u8,
    /// The caller's body.
    pub body: Bytes,
}

/// A load report.
#[derive(Debug, Clone, Deserialize)]
pub struct LoadReport {
    /// Tokens of memory in use.
    pub used_tokens: u64,
    /// Tokens of memory in all.
    pub memory_tokens: u64,
    /// Running sequences.
    pub running: usize,
    /// Waiting sequences.
    pub waiting: usize,
    /// Preemptions since the engine started.
    pub preemptions: u64,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
    /// Whether the engine takes no new work.
    pub leaving: bool,
    /// Number of the engine's start, higher for a later one.
    #[serde(default)]
    incarnation: CompactString,
}

impl LoadReport {
    /// Number of the engine's start, or 0 for an engine that doesn't tell.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation.parse().unwrap_or_default()
    }
}

/// Changes of an engine's prefix cache.
#[derive(Debug, Clone, Deserialize)]
pub struct CacheEvents {
    /// The engine's start; sequence numbers of another one don't compare.
    pub incarnation: CompactString,
    /// Events in order, possibly with gaps.
    pub events: Vec<CacheEvent>,
}

/// One change of a prefix cache.
#[derive(Debug, Clone, Deserialize)]
pub struct CacheEvent {
    /// Position in the engine's events, from 1.
    pub sequence: u64,
    /// What happened.
    pub action: CacheAction,
    /// Hash of the block in hexadecimal digits.
    pub block: CompactString,
}

/// Kind of change.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheAction {
    /// The block is held now.
    Stored,
    /// The block is no longer held.
    Evicted,
}

/// Why a call to an engine failed.
#[derive(Debug, Error)]
pub enum Error {
    /// No connection came about, so no byte of the request was sent.
    #[error("connecting to the engine failed: {0}")]
    Connect(legacy::Error),
    /// The connection broke; the engine may have acted on the request.
    #[error("the connection to the engine failed: {0}")]
    Disconnected(legacy::Error),
    /// The engine answered that it did not run the request.
    #[error("the engine refused with {status}: {code}")]
    Refused {
        /// The HTTP status.
        status: StatusCode,
        /// The engine's error code.
        code: String,
        /// The engine's message.
        message: String,
    },
    /// The engine answered something else than the protocol allows.
    #[error("the engine answered with status {0}")]
    Status(StatusCode),
    /// No answer came in time; the engine may have acted on the request.
    #[error("the engine did not answer in time")]
    Timeout(#[from] Elapsed),
    /// The answer broke off or does not follow the protocol.
    #[error("the engine's answer can't be read")]
    InvalidResponse,
}

impl Error {
    /// Whether the engine certainly did not run the request.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Error::Connect(_) | Error::Refused { .. })
    }
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Builds the connections' settings; nothing is opened yet.
    pub fn new() -> Self {
        Self {
            pooled: client(64),
            fresh: client(0),
        }
    }

    /// Starts a generation and returns its event stream.
    ///
    /// # Errors
    ///
    /// Returns why no stream came about; [`Error::is_not_run`] tells whether it may have run.
    pub async fn start(&self, start: &StartRequest, wait: Duration) -> Result<Incoming, Error> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{}", start.address, start.path))
            .header(header::CONTENT_TYPE, "application/json")
            .header("x-generation", start.generation.to_string())
            .header("x-request-id", &start.request_id)
            .header("x-priority", u16::from(start.priority))
            .body(Full::new(start.body.clone()))
            .expect("the parts of the request are valid");
        let response = timeout(wait, self.pooled.request(request))
            .await?
            .map_err(classify)?;
        accept(response).await
    }

    /// Continues a generation after `next` tokens, on a new connection.
    ///
    /// # Errors
    ///
    /// Returns why no stream came about.
    pub async fn resume(
        &self,
        address: SocketAddr,
        generation: Generation,
        next: u64,
    ) -> Result<Incoming, Error> {
        let mut request =
            Request::builder().uri(format!("http://{address}/v1/generations/{generation}"));
        if let Some(last) = next.checked_sub(1) {
            request = request.header("last-event-id", format!("{generation}.{last}"));
        }
        let request = request
            .body(Full::default())
            .expect("the parts of the request are valid");
        let response = timeout(SHORT_CALL, self.fresh.request(request))
            .await?
            .map_err(classify)?;
        accept(response).await
    }

    /// Cancels a generation. Tries a new connection if the pooled one does not answer.
    ///
    /// # Errors
    ///
    /// Returns the second attempt's failure.
    pub async fn cancel(&self, address: SocketAddr, generation: Generation) -> Result<(), Error> {
        let uri = format!("http://{address}/v1/generations/{generation}");
        if self.short(&self.pooled, Method::DELETE, &uri).await.is_ok() {
            return Ok(());
        }
        self.short(&self.fresh, Method::DELETE, &uri)
            .await
            .map(drop)
    }

    /// Fetches the engine's load report.
    ///
    /// # Errors
    ///
    /// Returns why no report could be read.
    pub async fn load_report(&self, address: SocketAddr) -> Result<LoadReport, Error> {
        self.json(&format!("http://{address}/v1/load")).await
    }

    /// Fetches the engine's cache events after a sequence number.
    ///
    /// # Errors
    ///
    /// Returns why no events could be read.
    pub async fn cache_events(
        &self,
        address: SocketAddr,
        since: u64,
    ) -> Result<CacheEvents, Error> {
        self.json(&format!("http://{address}/v1/cache?since={since}"))
            .await
    }

    /// Reads back what the engine has loaded.
    ///
    /// # Errors
    ///
    /// Returns why it could not be read.
    pub async fn loaded_models(&self, address: SocketAddr) -> Result<Vec<LoadedModel>, Error> {
        let back: order::ReadBack = self.json(&format!("http://{address}/v1/orders")).await?;
        Ok(back.loaded)
    }

    /// Fetches a short JSON document.
    ///
    /// # Errors
    ///
    /// Returns why it could not be read.
    pub async fn json<T>(&self, uri: &str) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let body = self.short(&self.pooled, Method::GET, uri).await?;
        serde_json::from_slice(&body).map_err(|_| Error::InvalidResponse)
    }

    async fn short(
        &self,
        client: &legacy::Client<HttpConnector, Full<Bytes>>,
        method: Method,
        uri: &str,
    ) -> Result<Bytes, Error> {
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .body(Full::default())
            .expect("the parts of the request are valid");
        let exchange = async {
            let response = client.request(request).await.map_err(classify)?;
            let status = response.status();
            let body = collect(response.into_body()).await?;
            match status {
                // A generation that is already gone needs no cancelling.
                StatusCode::NOT_FOUND => Ok(body),
                status if status.is_success() => Ok(body),
                status => Err(Error::Status(status)),
            }
        };
        timeout(SHORT_CALL, exchange).await?
    }
}

fn client(idle_per_host: usize) -> legacy::Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    legacy::Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(idle_per_host)
        // The client's own retry would be a second attempt that nothing accounts for.
        .retry_canceled_requests(false)
        .build(connector)
}

fn classify(error: legacy::Error) -> Error {
    if error.is_connect() {
        return Error::Connect(error);
    }
    Error::Disconnected(error)
}

async fn accept(response: http::Response<Incoming>) -> Result<Incoming, Error> {
    let status = response.status();
    if status.is_success() {
        return Ok(response.into_body());
    }
    let body = timeout(SHORT_CALL, collect(response.into_body())).await??;
    let Ok(envelope) = serde_json::from_slice::<Envelope>(&body) else {
        return Err(Error::Status(status));
    };
    if envelope.error.run.as_deref() != Some("not_run") {
        return Err(Error::Status(status));
    }
    Err(Error::Refused {
        status,
        code: envelope.error.code.unwrap_or_default(),
        message: envelope.error.message,
    })
}

async fn collect(body: Incoming) -> Result<Bytes, Error> {
    let collected = Limited::new(body, MAX_SHORT_ANSWER).collect().await;
    collected
        .map(|body| body.to_bytes())
        .map_err(|_| Error::InvalidResponse)
}

#[derive(Debug, Deserialize)]
struct Envelope {
    error: Detail,
}

#[derive(Debug, Deserialize)]
struct Detail {
    message: String,
    code: Option<String>,
    run: Option<String>,
}
