//! Proxy for calls to plain services.
//!
//! A call whose method the sheet lists as repeatable is sent to another server when one fails. Any
//! other call runs at most once. With an idempotency key, its intent is committed before the first
//! byte is sent, and a resend through any entry host finds the record. With or without a key,
//! another server is tried only if connecting to the previous one failed.

use {
    crate::{
        engine::is_answer,
        filter::identify::{Caller, authenticate, read_body, request_id},
        intent::{Decision, LedgerClient},
        refusal::{Code, Refusal},
        snapshot::{SharedView, View},
    },
    axum::body::Body,
    bytes::Bytes,
    compact_str::{CompactString, ToCompactString, format_compact},
    http::{HeaderMap, HeaderName, HeaderValue, Request, Response, header, request::Parts},
    http_body_util::{BodyExt, Full, Limited},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    log::{info, warn},
    rand::seq::SliceRandom,
    sardinerelay::{
        id::Target,
        ledger::{Answer, MAX_ANSWER_BYTES, Outcome},
        sheet::{PlainService, Server},
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::timeout,
};

/// How long connecting to a server may take.
const SERVICE_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a server may take to answer a call, connecting included.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest response body that is passed on. The outcome of a call with a larger one is unknown.
const MAX_SERVICE_RESPONSE_BYTES: usize = 8 << 20;

/// Servers that a repeatable call is sent to before it is refused.
const MAX_CALL_ATTEMPTS: usize = 2;

/// Longest idempotency key that is accepted.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// Headers that apply to one connection and are never passed on.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::HOST,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Forwards calls to the servers of plain services.
#[derive(Debug, Clone)]
pub struct Proxy {
    view: SharedView,
    ledger: LedgerClient,
    client: Client<HttpConnector, Full<Bytes>>,
    zone: CompactString,
    max_body: usize,
    /// Number of calls in flight on each server.
    in_flight: Arc<Mutex<BTreeMap<Target, u64>>>,
}

/// Counts a call as in flight on a server until it is dropped.
struct InFlightGuard<'a> {
    proxy: &'a Proxy,
    target: &'a Target,
}

/// A call whose caller is known and whose body was read.
#[derive(Debug)]
struct Call {
    id: CompactString,
    organisation: CompactString,
    parts: Parts,
    body: Bytes,
}

/// Why a server did not answer a call.
#[derive(Debug, thiserror::Error)]
enum SendError {
    /// Connecting failed, so no byte of the call was sent.
    #[error("server '{0}' can't be reached")]
    Unreachable(CompactString),
    /// The connection broke, the timeout passed or the response was too large. The server may have
    /// run the call.
    #[error("server '{0}' did not answer")]
    Unanswered(CompactString),
}

impl Proxy {
    /// Creates a proxy for the plain services of the sheet in force. It prefers servers in `zone`
    /// and accepts request bodies of up to `max_body` bytes.
    pub fn new(
        view: SharedView,
        ledger: LedgerClient,
        zone: CompactString,
        max_body: usize,
    ) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(SERVICE_CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            // A retry by the client would be a second run that the ledger does not know of.
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            view,
            ledger,
            client,
            zone,
            max_body,
            in_flight: Arc::default(),
        }
    }

    /// Forwards a call to a server of the plain service that its path belongs to.
    ///
    /// # Errors
    ///
    /// Refuses a call that no server answered; the refusal states whether it may have run.
    pub async fn call(&self, request: Request<Body>) -> Result<Response<Body>, Refusal> {
        let view = self.view.load_full();
        let caller = authenticate(&view, request.headers())?;
        let path = request.uri().path();
        let service = view.service(path).ok_or_else(|| {
            Refusal::new(
                Code::InvalidRequest,
                format_compact!("nothing is served at {path}"),
            )
        })?;
        let (parts, body) = request.into_parts();
        let body = read_body(body, self.max_body).await?;
        let call = Call {
            id: request_id(&parts.headers),
            organisation: caller.organisation.clone(),
            parts,
            body,
        };
        let method = call.parts.method.as_str();
        if service
            .repeatable
            .iter()
            .any(|repeatable| repeatable == method)
        {
            let servers = self.servers(&view, service);
            let servers = &servers[..servers.len().min(MAX_CALL_ATTEMPTS)];
            return self
                .call_without_key(service, servers, &call, |_| true)
                .await;
        }
        match idempotency_key(&call.parts.headers)? {
            Some(key) => self.call_with_key(&view, service, &caller, call, key).await,
            None => {
                let servers = self.servers(&view, service);
                self.call_without_key(service, &servers, &call, SendError::is_not_run)
                    .await
            }
        }
    }

    /// Sends a call without an idempotency key; see [`Proxy::try_servers`].
    async fn call_without_key<MayRetry>(
        &self,
        service: &PlainService,
        servers: &[&Server],
        call: &Call,
        may_retry: MayRetry,
    ) -> Result<Response<Body>, Refusal>
    where
        MayRetry: Fn(&SendError) -> bool,
    {
        match self.try_servers(servers, call, may_retry).await {
            Ok((_, response)) => Ok(response.map(Body::from)),
            Err(errors) => Err(refusal(service, &errors)),
        }
    }

    /// Sends a call to one server after another until one answers. `may_retry` decides after each
    /// error whether the next one is tried.
    async fn try_servers<'a, MayRetry>(
        &self,
        servers: &[&'a Server],
        call: &Call,
        may_retry: MayRetry,
    ) -> Result<(&'a Server, Response<Bytes>), Vec<SendError>>
    where
        MayRetry: Fn(&SendError) -> bool,
    {
        let mut errors = Vec::new();
        for server in servers {
            match self.send(server, call).await {
                Ok(response) => return Ok((server, response)),
                Err(error) => {
                    warn!(request = call.id.as_str(), organisation = call.organisation.as_str(), target = server.name.as_str(); "{error}");
                    let stop = !may_retry(&error);
                    errors.push(error);
                    if stop {
                        break;
                    }
                }
            }
        }
        Err(errors)
    }

    /// The number of calls in flight on each server that has any.
    pub fn in_flight(&self) -> BTreeMap<Target, u64> {
        let mut in_flight = self.lock();
        in_flight.retain(|_, count| *count > 0);
        in_flight.clone()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Target, u64>> {
        self.in_flight
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call as in flight until the guard is dropped.
    fn track<'a>(&'a self, target: &'a Target) -> InFlightGuard<'a> {
        *self.lock().entry(target.clone()).or_default() += 1;
        InFlightGuard {
            proxy: self,
            target,
        }
    }

    /// Whether a path belongs to a plain service.
    pub fn covers(&self, path: &str) -> bool {
        self.view.load().service(path).is_some()
    }

    /// Runs a call with an idempotency key, at most once across all entry hosts.
    async fn call_with_key(
        &self,
        view: &View,
        service: &PlainService,
        caller: &Caller,
        call: Call,
        key: CompactString,
    ) -> Result<Response<Body>, Refusal> {
        let servers: Vec<Server> = self.servers(view, service).into_iter().cloned().collect();
        if servers.is_empty() {
            return Err(refusal(service, &[]));
        }
        let parts = [
            call.parts.method.as_str().as_bytes(),
            path_and_query(&call.parts).as_bytes(),
            &call.body,
        ];
        let attempt = match self
            .ledger
            .begin(&caller.organisation, &key, &parts)
            .await?
        {
            Decision::Run(attempt) => attempt,
            Decision::Replay(answer) => return Ok(replay_response(answer)),
        };
        let proxy = self.clone();
        let service = service.clone();
        // In a task of its own, so that the outcome is recorded even if the caller disconnects.
        let run = tokio::spawn(async move {
            let servers: Vec<&Server> = servers.iter().collect();
            let result = proxy
                .try_servers(&servers, &call, SendError::is_not_run)
                .await;
            let outcome = match &result {
                Ok((server, response)) => {
                    info!(request = call.id.as_str(), organisation = call.organisation.as_str(), target = server.name.as_str(); "keyed call ran");
                    Outcome::Done(stored_answer(response))
                }
                Err(errors) if errors.iter().all(SendError::is_not_run) => Outcome::NotRun,
                Err(_) => Outcome::Unknown,
            };
            proxy.ledger.finish(attempt, outcome).await;
            match result {
                Ok((_, response)) => Ok(response.map(Body::from)),
                Err(errors) => Err(refusal(&service, &errors)),
            }
        });
        run.await.unwrap_or_else(|_| {
            Err(Refusal::new(
                Code::OutcomeUnknown,
                "the call was interrupted on this host",
            )
            .may_have_run())
        })
    }

    /// Sends the call to one server and reads the whole response.
    async fn send(&self, server: &Server, call: &Call) -> Result<Response<Bytes>, SendError> {
        let _in_flight = self.track(&server.name);
        let exchange = async {
            let response = self
                .client
                .request(upstream_request(server.address, call))
                .await
                .map_err(|error| {
                    if error.is_connect() {
                        return SendError::Unreachable(server.name.clone());
                    }
                    SendError::Unanswered(server.name.clone())
                })?;
            if !is_answer(response.status()) {
                return Err(SendError::Unanswered(server.name.clone()));
            }
            let (parts, body) = response.into_parts();
            let body = Limited::new(body, MAX_SERVICE_RESPONSE_BYTES)
                .collect()
                .await
                .map_err(|_| SendError::Unanswered(server.name.clone()))?
                .to_bytes();
            let mut response = Response::new(body);
            *response.status_mut() = parts.status;
            *response.headers_mut() = without_hop_by_hop(&parts.headers);
            Ok(response)
        };
        timeout(CALL_TIMEOUT, exchange)
            .await
            .unwrap_or_else(|_| Err(SendError::Unanswered(server.name.clone())))
    }

    /// The service's servers that are not leaving, in random order, own availability zone first.
    fn servers<'a>(&self, view: &'a View, service: &PlainService) -> Vec<&'a Server> {
        let mut servers: Vec<&Server> = service
            .targets
            .iter()
            .filter(|target| !view.leaving.contains(*target))
            .filter_map(|target| view.target(target))
            .collect();
        servers.shuffle(&mut rand::rng());
        servers.sort_by_key(|server| server.zone != self.zone);
        servers
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        if let Some(count) = self.proxy.lock().get_mut(self.target) {
            *count -= 1;
        }
    }
}

impl SendError {
    /// Whether the server certainly did not run the call.
    fn is_not_run(&self) -> bool {
        matches!(self, SendError::Unreachable(_))
    }
}

/// Reads the call's idempotency key, if it has one. Refuses an invalid key.
fn idempotency_key(headers: &HeaderMap) -> Result<Option<CompactString>, Refusal> {
    let mut values = headers.get_all("idempotency-key").iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let invalid = |message: &'static str| {
        Err(Refusal::new(Code::InvalidRequest, message).param("Idempotency-Key"))
    };
    if values.next().is_some() {
        return invalid("send one Idempotency-Key header");
    }
    match value.to_str() {
        Ok(key) if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES => {
            invalid("the key must have 1 to 255 characters")
        }
        Ok(key) => Ok(Some(key.to_compact_string())),
        Err(_) => invalid("the key must be visible ASCII"),
    }
}

fn path_and_query(parts: &Parts) -> &str {
    parts.uri.path_and_query().map_or("/", |path| path.as_str())
}

/// The request that is sent to a server: the caller's, without connection headers and API key.
fn upstream_request(address: SocketAddr, call: &Call) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.parts.method.clone();
    *request.uri_mut() = format!("http://{address}{}", path_and_query(&call.parts))
        .parse()
        .expect("a parsed path and an address make a valid URI");
    let headers = request.headers_mut();
    *headers = without_hop_by_hop(&call.parts.headers);
    // The API key is a secret between the caller and this system.
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::CONTENT_LENGTH);
    insert_header(headers, "x-organisation", &call.organisation);
    insert_header(headers, "x-request-id", &call.id);
    request
}

/// Inserts a header unless its value is not valid there.
fn insert_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn without_hop_by_hop(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    // Headers that are listed in `Connection` apply to one connection too.
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP) {
        kept.remove(name);
    }
    kept.remove("keep-alive");
    kept
}

/// The part of a response that the ledger stores. A body over the ledger's limit is left out here,
/// so that it is not sent to the voters.
fn stored_answer(response: &Response<Bytes>) -> Answer {
    let content_type = response.headers().get(header::CONTENT_TYPE);
    let body = response.body();
    Answer {
        status: response.status().as_u16(),
        content_type: content_type
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .into(),
        body: (body.len() <= MAX_ANSWER_BYTES).then(|| body.to_vec()),
    }
}

/// Responds with the stored answer of an earlier run.
fn replay_response(answer: Answer) -> Response<Body> {
    let is_body_stored = answer.body.is_some();
    let mut response = Response::new(Body::from(answer.body.unwrap_or_default()));
    *response.status_mut() = answer.status.try_into().unwrap_or_default();
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&answer.content_type) {
        headers.insert(header::CONTENT_TYPE, value);
    }
    headers.insert("idempotent-replayed", HeaderValue::from_static("true"));
    if !is_body_stored {
        headers.insert(
            "x-sardinerelay-answer",
            HeaderValue::from_static("body-not-stored"),
        );
    }
    response
}

/// The refusal of a call that no server answered. An empty list of errors means that the service
/// has no server that takes new work.
fn refusal(service: &PlainService, errors: &[SendError]) -> Refusal {
    let reasons: Vec<CompactString> = errors
        .iter()
        .map(ToCompactString::to_compact_string)
        .collect();
    if errors.iter().all(SendError::is_not_run) {
        let message = format_compact!(
            "no server of '{}' can be reached {}",
            service.name,
            reasons.join(", ")
        );
        return Refusal::new(Code::NoTarget, message.trim_end());
    }
    let message = format_compact!(
        "{}: it is not known whether the call ran",
        reasons.join(", ")
    );
    Refusal::new(Code::OutcomeUnknown, message).may_have_run()
}
