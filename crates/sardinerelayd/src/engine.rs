//! HTTP client of engines.
//!
//! [`Reader`] reads the events of one generation. If its connection goes silent, it probes the
//! engine on a new connection and resumes the stream from the next token index, so that no token is
//! delivered twice.

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
    sardinerelay::id::{Generation, Incarnation},
    serde::{Deserialize, de::DeserializeOwned},
    std::{net::SocketAddr, time::Duration},
    thiserror::Error,
    tokio::time::{error::Elapsed, timeout},
};

/// How long connecting to an engine may take. Another availability zone is milliseconds away.
const ENGINE_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long an idle connection is kept. It is shorter than the usual idle timeout of middleboxes.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// How long a call with a short response may take.
const SHORT_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest short response that is read. The list of an engine's orders has up to 4096 entries.
const MAX_SHORT_RESPONSE_BYTES: usize = 1024 * 1024;

/// Header that names the generation of a request to start one, and of the answer.
const GENERATION_HEADER: &str = "x-generation";

/// HTTP client for all engines.
#[derive(Debug, Clone)]
pub struct Client {
    /// Reuses idle connections.
    pooled: legacy::Client<HttpConnector, Full<Bytes>>,
    /// Opens a connection for each request, to distinguish a dead connection from a dead engine.
    unpooled: legacy::Client<HttpConnector, Full<Bytes>>,
}

/// A request that starts a generation.
#[derive(Debug, Clone)]
pub struct StartRequest {
    /// The engine's address.
    pub address: SocketAddr,
    /// The endpoint's path, such as `/v1/completions`.
    pub path: &'static str,
    /// Identifier of the new generation.
    pub generation: Generation,
    /// The request identifier, for the engine's records.
    pub request_id: HeaderValue,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// The body, as the caller sent it.
    pub body: Bytes,
}

/// An engine's load report.
#[derive(Debug, Clone, Deserialize)]
pub struct LoadReport {
    /// Memory in use, in tokens.
    pub used_tokens: u64,
    /// Total memory, in tokens.
    pub memory_tokens: u64,
    /// Number of running sequences.
    pub running: usize,
    /// Number of waiting sequences.
    pub waiting: usize,
    /// Number of preemptions since the engine started.
    pub preemptions: u64,
    /// Age of the report when the engine sent it, in milliseconds.
    pub age_ms: u64,
    /// Whether the engine is leaving and takes no new work.
    pub leaving: bool,
    /// The engine's incarnation in decimal digits, empty for an engine that does not report one.
    #[serde(default)]
    incarnation: CompactString,
}

impl LoadReport {
    /// The engine's incarnation, or 0 for an engine that does not report one.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation.parse().unwrap_or_default()
    }
}

/// Changes of an engine's prefix cache.
#[derive(Debug, Clone, Deserialize)]
pub struct CacheEvents {
    /// The engine's incarnation. Sequence numbers of different incarnations are unrelated.
    pub incarnation: CompactString,
    /// The events in order, possibly with gaps.
    pub events: Vec<CacheEvent>,
}

/// One change of a prefix cache.
#[derive(Debug, Clone, Deserialize)]
pub struct CacheEvent {
    /// Sequence number within the incarnation, from 1.
    pub sequence: u64,
    pub action: CacheAction,
    /// Hash of the block's prefix, in hexadecimal digits.
    pub block: CompactString,
}

/// A change of one block in a prefix cache.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheAction {
    /// The block was added to the cache.
    Stored,
    /// The block was removed from the cache.
    Evicted,
}

/// Why a call to an engine failed.
#[derive(Debug, Error)]
pub enum Error {
    /// Connecting failed, so no byte of the request was sent.
    #[error("connecting to the engine failed: {0}")]
    Connect(legacy::Error),
    /// The connection broke. The engine may have acted on the request.
    #[error("the connection to the engine failed: {0}")]
    Disconnected(legacy::Error),
    /// The engine answered that it did not run the request.
    #[error("the engine refused with {status}: {code}")]
    Refused {
        status: StatusCode,
        /// Code in the engine's error object, empty if it has none.
        code: String,
        message: String,
    },
    /// The engine answered with an error status that does not say whether the request ran.
    #[error("the engine answered with status {0}")]
    Status(StatusCode),
    /// No response arrived in time. The engine may have acted on the request.
    #[error("the engine did not answer in time")]
    Timeout(#[from] Elapsed),
    /// The response was cut off, is too large or does not follow the protocol.
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
    /// Creates a client without open connections.
    pub fn new() -> Self {
        Self {
            pooled: client(64),
            unpooled: client(0),
        }
    }

    /// Starts a generation and returns its event stream. `wait` bounds the time until the response
    /// headers arrive.
    ///
    /// # Errors
    ///
    /// Returns why there is no stream; [`Error::is_not_run`] tells whether the request certainly
    /// did not run.
    pub async fn start(&self, start: &StartRequest, wait: Duration) -> Result<Incoming, Error> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{}", start.address, start.path))
            .header(header::CONTENT_TYPE, "application/json")
            .header(GENERATION_HEADER, start.generation.to_string())
            .header("x-request-id", &start.request_id)
            .header("x-priority", u16::from(start.priority))
            .body(Full::new(start.body.clone()))
            .expect("the parts of the request are valid");
        let response = timeout(wait, self.pooled.request(request))
            .await?
            .map_err(classify)?;
        if names_another(&response, start.generation) {
            return Err(Error::InvalidResponse);
        }
        check_status(response).await
    }

    /// Resumes a generation at the token with index `next`, on a new connection.
    ///
    /// # Errors
    ///
    /// Returns why there is no stream.
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
        let response = timeout(SHORT_CALL_TIMEOUT, self.unpooled.request(request))
            .await?
            .map_err(classify)?;
        check_status(response).await
    }

    /// Cancels a generation, with a second attempt on a new connection if the first one fails.
    ///
    /// # Errors
    ///
    /// Returns the error of the second attempt.
    pub async fn cancel(&self, address: SocketAddr, generation: Generation) -> Result<(), Error> {
        let uri = format!("http://{address}/v1/generations/{generation}");
        if self
            .short_call(&self.pooled, Method::DELETE, &uri)
            .await
            .is_ok()
        {
            return Ok(());
        }
        self.short_call(&self.unpooled, Method::DELETE, &uri)
            .await
            .map(drop)
    }

    /// Fetches the engine's load report.
    ///
    /// # Errors
    ///
    /// Returns why the report could not be read.
    pub async fn load_report(&self, address: SocketAddr) -> Result<LoadReport, Error> {
        self.json(&format!("http://{address}/v1/load")).await
    }

    /// Fetches the engine's cache events after the sequence number `since`.
    ///
    /// # Errors
    ///
    /// Returns why the events could not be read.
    pub async fn cache_events(
        &self,
        address: SocketAddr,
        since: u64,
    ) -> Result<CacheEvents, Error> {
        self.json(&format!("http://{address}/v1/cache?since={since}"))
            .await
    }

    /// Fetches the models that the engine has loaded or is loading.
    ///
    /// # Errors
    ///
    /// Returns why they could not be read.
    pub async fn loaded_models(&self, address: SocketAddr) -> Result<Vec<LoadedModel>, Error> {
        let response: order::LoadedResponse =
            self.json(&format!("http://{address}/v1/orders")).await?;
        Ok(response.loaded)
    }

    /// Fetches a short JSON document from any URI.
    ///
    /// # Errors
    ///
    /// Returns why it could not be read.
    pub async fn json<T>(&self, uri: &str) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let body = self.short_call(&self.pooled, Method::GET, uri).await?;
        serde_json::from_slice(&body).map_err(|_| Error::InvalidResponse)
    }

    /// Makes a call without a body and reads the short response.
    async fn short_call(
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
            if !is_answer(status) {
                return Err(Error::InvalidResponse);
            }
            let body = read_body(response.into_body()).await?;
            match status {
                // A generation that no longer exists need not be cancelled.
                StatusCode::NOT_FOUND => Ok(body),
                status if status.is_success() => Ok(body),
                status => Err(Error::Status(status)),
            }
        };
        timeout(SHORT_CALL_TIMEOUT, exchange).await?
    }
}

/// Builds a client that keeps up to this many idle connections to each engine.
fn client(idle_per_host: usize) -> legacy::Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(ENGINE_CONNECT_TIMEOUT));
    legacy::Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(idle_per_host)
        // A retry by the client would be a second attempt that the retry budget does not count.
        .retry_canceled_requests(false)
        .build(connector)
}

/// Distinguishes a failed connect, after which nothing was sent, from other errors.
fn classify(error: legacy::Error) -> Error {
    if error.is_connect() {
        return Error::Connect(error);
    }
    Error::Disconnected(error)
}

/// Whether the response is for another generation. An engine may send the answer before once more. One
/// that names no generation is not checked.
fn names_another(response: &http::Response<Incoming>, generation: Generation) -> bool {
    let named = response.headers().get(GENERATION_HEADER);
    named.is_some_and(|named| named.as_bytes() != generation.to_string().as_bytes())
}

/// Whether a target may end a request with this status. The parser accepts any status of three digits from
/// 100, and passes on 101 as if it were the last one.
pub fn is_answer(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}

/// Returns the body of a successful response, or the error that the engine reports.
async fn check_status(response: http::Response<Incoming>) -> Result<Incoming, Error> {
    let status = response.status();
    if !is_answer(status) {
        return Err(Error::InvalidResponse);
    }
    if status.is_success() {
        return Ok(response.into_body());
    }
    let body = timeout(SHORT_CALL_TIMEOUT, read_body(response.into_body())).await??;
    let Ok(response) = serde_json::from_slice::<ErrorResponse>(&body) else {
        return Err(Error::Status(status));
    };
    if response.error.run.as_deref() != Some("not_run") {
        return Err(Error::Status(status));
    }
    Err(Error::Refused {
        status,
        code: response.error.code.unwrap_or_default(),
        message: response.error.message,
    })
}

/// Reads a whole body of at most [`MAX_SHORT_RESPONSE_BYTES`].
async fn read_body(body: Incoming) -> Result<Bytes, Error> {
    let collected = Limited::new(body, MAX_SHORT_RESPONSE_BYTES).collect().await;
    collected
        .map(|body| body.to_bytes())
        .map_err(|_| Error::InvalidResponse)
}

/// An engine's error response.
#[derive(Debug, Deserialize)]
struct ErrorResponse {
    error: ErrorDetail,
}

/// The fields of an engine's error object that are read here.
#[derive(Debug, Deserialize)]
struct ErrorDetail {
    message: String,
    code: Option<String>,
    run: Option<String>,
}
