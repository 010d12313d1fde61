//! Calls to plain services.
//!
//! A call that may be repeated goes to another server when one fails. All others run at most
//! once: with an idempotency key, the intent is committed before the first byte goes out, and a
//! resend through any entry host finds it. Without a key the call is sent once, and only a refused
//! connection lets it go to another server.

use {
    crate::{
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

/// Time to connect to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that a service has to answer.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest answer in bytes that is passed on.
const MAX_ANSWER: usize = 8 << 20;

/// Servers that a repeatable call is tried on.
const MAX_ATTEMPTS: usize = 2;

/// Longest idempotency key in bytes.
const MAX_KEY: usize = 255;

/// Headers that belong to one connection and are never passed on.
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

/// What serving plain services needs.
#[derive(Debug, Clone)]
pub struct Proxy {
    view: SharedView,
    ledger: LedgerClient,
    client: Client<HttpConnector, Full<Bytes>>,
    zone: CompactString,
    max_body: usize,
    in_flight: Arc<Mutex<BTreeMap<Target, u64>>>,
}

/// Counts a call on a server until it is dropped.
struct InFlight<'a> {
    proxy: &'a Proxy,
    target: &'a Target,
}

/// A call, read and attributed.
#[derive(Debug)]
struct Call {
    id: CompactString,
    organisation: CompactString,
    parts: Parts,
    body: Bytes,
}

/// How sending a call to one server ended without an answer.
#[derive(Debug, thiserror::Error)]
enum Failure {
    /// The server got no byte of it.
    #[error("server '{0}' can't be reached")]
    Unreachable(CompactString),
    /// The server may have run it.
    #[error("server '{0}' did not answer")]
    Unanswered(CompactString),
}

impl Proxy {
    /// Serves the plain services of the sheet in force.
    pub fn new(
        view: SharedView,
        ledger: LedgerClient,
        zone: CompactString,
        max_body: usize,
    ) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            // The client's own retry would be a second run that the ledger doesn't see.
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

    /// Answers a call, if its path belongs to a plain service.
    ///
    /// # Errors
    ///
    /// Refuses what can't be served, with a statement on whether it may have run.
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
            let servers = &servers[..servers.len().min(MAX_ATTEMPTS)];
            return self.answer(service, servers, &call, |_| true).await;
        }
        match key(&call.parts.headers)? {
            Some(key) => self.keyed(&view, service, &caller, call, key).await,
            None => {
                let servers = self.servers(&view, service);
                self.answer(service, &servers, &call, Failure::not_run)
                    .await
            }
        }
    }

    async fn answer<Next>(
        &self,
        service: &PlainService,
        servers: &[&Server],
        call: &Call,
        next: Next,
    ) -> Result<Response<Body>, Refusal>
    where
        Next: Fn(&Failure) -> bool,
    {
        match self.attempt(servers, call, next).await {
            Ok((_, response)) => Ok(response.map(Body::from)),
            Err(failures) => Err(refuse(service, &failures)),
        }
    }

    /// Sends a call to one server after another, as long as `next` allows another one after a
    /// failure.
    async fn attempt<'a, Next>(
        &self,
        servers: &[&'a Server],
        call: &Call,
        next: Next,
    ) -> Result<(&'a Server, Response<Bytes>), Vec<Failure>>
    where
        Next: Fn(&Failure) -> bool,
    {
        let mut failures = Vec::new();
        for server in servers {
            match self.send(server, call).await {
                Ok(response) => return Ok((server, response)),
                Err(failure) => {
                    warn!(request = call.id.as_str(), organisation = call.organisation.as_str(), target = server.name.as_str(); "{failure}");
                    let stop = !next(&failure);
                    failures.push(failure);
                    if stop {
                        break;
                    }
                }
            }
        }
        Err(failures)
    }

    /// Calls in flight on each server.
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

    fn count<'a>(&'a self, target: &'a Target) -> InFlight<'a> {
        *self.lock().entry(target.clone()).or_default() += 1;
        InFlight {
            proxy: self,
            target,
        }
    }

    /// Whether a path belongs to a plain service.
    pub fn covers(&self, path: &str) -> bool {
        self.view.load().service(path).is_some()
    }

    /// Runs a call under its key, at most once among all entry hosts.
    async fn keyed(
        &self,
        view: &View,
        service: &PlainService,
        caller: &Caller,
        call: Call,
        key: CompactString,
    ) -> Result<Response<Body>, Refusal> {
        let servers: Vec<Server> = self.servers(view, service).into_iter().cloned().collect();
        if servers.is_empty() {
            return Err(refuse(service, &[]));
        }
        let fingerprint = [
            call.parts.method.as_str().as_bytes(),
            path_and_query(&call.parts).as_bytes(),
            &call.body,
        ];
        let attempt = match self
            .ledger
            .begin(&caller.organisation, &key, &fingerprint)
            .await?
        {
            Decision::Run(attempt) => attempt,
            Decision::Replay(answer) => return Ok(replay(answer)),
        };
        let proxy = self.clone();
        let service = service.clone();
        // The call goes on to its conclusion even if the caller disconnects.
        let run = tokio::spawn(async move {
            let servers: Vec<&Server> = servers.iter().collect();
            let result = proxy.attempt(&servers, &call, Failure::not_run).await;
            let outcome = match &result {
                Ok((server, response)) => {
                    info!(request = call.id.as_str(), organisation = call.organisation.as_str(), target = server.name.as_str(); "keyed call ran");
                    Outcome::Done(stored(response))
                }
                Err(failures) if failures.iter().all(Failure::not_run) => Outcome::NotRun,
                Err(_) => Outcome::Unknown,
            };
            proxy.ledger.finish(attempt, outcome).await;
            match result {
                Ok((_, response)) => Ok(response.map(Body::from)),
                Err(failures) => Err(refuse(&service, &failures)),
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

    /// Sends the call and reads the whole answer.
    async fn send(&self, server: &Server, call: &Call) -> Result<Response<Bytes>, Failure> {
        let _counted = self.count(&server.name);
        let exchange = async {
            let response = self
                .client
                .request(outgoing(server.address, call))
                .await
                .map_err(|error| {
                    if error.is_connect() {
                        return Failure::Unreachable(server.name.clone());
                    }
                    Failure::Unanswered(server.name.clone())
                })?;
            let (parts, body) = response.into_parts();
            let body = Limited::new(body, MAX_ANSWER)
                .collect()
                .await
                .map_err(|_| Failure::Unanswered(server.name.clone()))?
                .to_bytes();
            let mut response = Response::new(body);
            *response.status_mut() = parts.status;
            *response.headers_mut() = without_hop_by_hop(&parts.headers);
            Ok(response)
        };
        timeout(CALL_TIMEOUT, exchange)
            .await
            .unwrap_or_else(|_| Err(Failure::Unanswered(server.name.clone())))
    }

    /// The service's servers that take new work, own availability zone first.
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

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        if let Some(count) = self.proxy.lock().get_mut(self.target) {
            *count -= 1;
        }
    }
}

impl Failure {
    fn not_run(&self) -> bool {
        matches!(self, Failure::Unreachable(_))
    }
}

fn key(headers: &HeaderMap) -> Result<Option<CompactString>, Refusal> {
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
        Ok(key) if key.is_empty() || key.len() > MAX_KEY => {
            invalid("the key must have 1 to 255 characters")
        }
        Ok(key) => Ok(Some(key.to_compact_string())),
        Err(_) => invalid("the key must be visible ASCII"),
    }
}

fn path_and_query(parts: &Parts) -> &str {
    parts.uri.path_and_query().map_or("/", |path| path.as_str())
}

fn outgoing(address: SocketAddr, call: &Call) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.parts.method.clone();
    *request.uri_mut() = format!("http://{address}{}", path_and_query(&call.parts))
        .parse()
        .expect("a parsed path and an address make a valid URI");
    let headers = request.headers_mut();
    *headers = without_hop_by_hop(&call.parts.headers);
    // The API key is between the caller and this system.
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::CONTENT_LENGTH);
    insert(headers, "x-organisation", &call.organisation);
    insert(headers, "x-request-id", &call.id);
    request
}

fn insert(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn without_hop_by_hop(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    // Headers that the sender lists in Connection belong to that connection too.
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

/// What the ledger keeps of an answer. A body that it would not keep is left out before it travels
/// to the voters.
fn stored(response: &Response<Bytes>) -> Answer {
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

/// The stored answer of an earlier run.
fn replay(answer: Answer) -> Response<Body> {
    let stored = answer.body.is_some();
    let mut response = Response::new(Body::from(answer.body.unwrap_or_default()));
    *response.status_mut() = answer.status.try_into().unwrap_or_default();
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&answer.content_type) {
        headers.insert(header::CONTENT_TYPE, value);
    }
    headers.insert("idempotent-replayed", HeaderValue::from_static("true"));
    if !stored {
        headers.insert(
            "x-sardinerelay-answer",
            HeaderValue::from_static("body-not-stored"),
        );
    }
    response
}

fn refuse(service: &PlainService, failures: &[Failure]) -> Refusal {
    let reasons: Vec<CompactString> = failures
        .iter()
        .map(ToCompactString::to_compact_string)
        .collect();
    if failures.iter().all(Failure::not_run) {
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
