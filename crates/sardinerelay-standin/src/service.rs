//! Stand-in for a plain HTTP service. It counts how often each idempotency key was executed.
//!
//! Once its body has arrived, a call is executed even if the caller disconnects. This is the
//! hardest case for guarantee G4 of `docs/design.md`: a call without a response may have run.

use {
    crate::server::{self, Withheld, error_response, parse_header, unix_ms},
    axum::{
        Json, Router,
        body::Bytes,
        extract::State,
        http::{HeaderMap, Method, StatusCode, Uri},
        response::{IntoResponse, Response},
        routing::{get, post},
    },
    compact_str::{CompactString, ToCompactString},
    rand::{Rng, SeedableRng, rngs::StdRng},
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::{
        collections::{HashMap, VecDeque},
        fmt::Write as _,
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::{net::TcpListener, time::sleep},
    tokio_util::sync::CancellationToken,
};

/// Settings of one stand-in service.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name of the service in its responses.
    pub name: CompactString,
    /// Delay between the arrival of a call and its execution.
    pub delay_before: Duration,
    /// Delay between the execution and the response.
    pub delay_after: Duration,
    /// Share of calls, from 0 to 1, that are executed but get no response.
    pub lost_answer_share: f64,
    /// Seed of the choice of lost responses.
    pub seed: u64,
    /// Maximum number of keys in the record. The oldest ones are dropped.
    pub record_limit: usize,
}

/// Executions of one key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// `Idempotency-Key`, or `x-request-id` of a call without one.
    pub key: CompactString,
    /// Whether `key` is an idempotency key.
    pub keyed: bool,
    /// Organisation from `x-organisation`; empty if the header is missing.
    pub organisation: CompactString,
    /// Number of executions.
    pub count: u64,
    /// Number of executions whose method, path or body differs from the first.
    pub differing: u64,
    /// Method of the first execution.
    pub method: CompactString,
    /// Path and query of the first execution.
    pub path: CompactString,
    /// SHA-256 of the first execution's body, in lower-case hexadecimal.
    pub digest: CompactString,
    /// Time of the first execution, in milliseconds since the Unix epoch.
    pub first_ms: u64,
    /// Time of the last execution, in milliseconds since the Unix epoch.
    pub last_ms: u64,
}

/// Response body of a call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallResponse {
    pub service: CompactString,
    /// Idempotency key or request id of the call.
    pub key: CompactString,
    /// Number of executions of the key, including this one.
    pub count: u64,
    pub method: CompactString,
    /// Path and query of the call.
    pub path: CompactString,
    /// SHA-256 of the call's body, in lower-case hexadecimal.
    pub digest: CompactString,
}

/// Request body of `POST /v1/faults`. Omitted fields leave the setting unchanged.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay before the execution in milliseconds.
    pub delay_before_ms: Option<u64>,
    /// Delay after the execution in milliseconds.
    pub delay_after_ms: Option<u64>,
    /// Share of responses that are lost, from 0 to 1.
    pub lose_answers: Option<f64>,
}

#[derive(Debug)]
struct ServiceState {
    config: Config,
    records: HashMap<CallKey, Record>,
    insertion_order: VecDeque<CallKey>,
    random: StdRng,
    is_leaving: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct CallKey {
    organisation: CompactString,
    key: CompactString,
    is_idempotency_key: bool,
}

#[derive(Debug)]
struct Call {
    id: CallKey,
    method: CompactString,
    path: CompactString,
    digest: CompactString,
}

#[derive(Debug, Clone)]
struct Shared(Arc<Mutex<ServiceState>>);

/// Serves the service on the listener until `stop` is cancelled.
pub async fn serve(config: Config, listener: TcpListener, stop: CancellationToken) {
    let state = ServiceState {
        random: StdRng::seed_from_u64(config.seed),
        config,
        records: HashMap::new(),
        insertion_order: VecDeque::new(),
        is_leaving: false,
    };
    let router = Router::new()
        .route("/v1/record", get(list_records))
        .route("/record", get(list_records))
        .route("/v1/faults", post(set_faults))
        .route("/v1/leave", post(leave))
        .fallback(handle_call)
        .with_state(Shared(Arc::new(Mutex::new(state))));
    server::serve(listener, router, stop).await;
}

/// Returns the SHA-256 of a body in lower-case hexadecimal.
pub fn digest(body: &[u8]) -> CompactString {
    let mut text = CompactString::default();
    for byte in Sha256::digest(body) {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

async fn handle_call(
    State(shared): State<Shared>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let call = Call::new(&method, &uri, &headers, &body);
    if shared.lock().is_leaving {
        return error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "leaving",
            "the service is leaving",
        );
    }
    // Runs as a separate task, because the server drops this future when the caller disconnects.
    match tokio::spawn(run_call(shared, call)).await {
        Ok(response) => response,
        Err(error) => {
            log::error!("call handler failed: {error}");
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        }
    }
}

async fn run_call(shared: Shared, call: Call) -> Response {
    let delay = shared.lock().config.delay_before;
    sleep_unless_zero(delay).await;
    let (response, delay, is_lost) = {
        let mut state = shared.lock();
        let share = state.config.lost_answer_share;
        let is_lost = state.random.random_bool(share);
        (state.record_run(call), state.config.delay_after, is_lost)
    };
    sleep_unless_zero(delay).await;
    let mut response = Json(response).into_response();
    if is_lost {
        response.extensions_mut().insert(Withheld);
    }
    response
}

/// Sleeps for the given time. Skips the sleep if it is zero, which the runtime's timer would round
/// up to a millisecond.
async fn sleep_unless_zero(time: Duration) {
    if !time.is_zero() {
        sleep(time).await;
    }
}

async fn list_records(State(shared): State<Shared>) -> Json<Vec<Record>> {
    let state = shared.lock();
    let records = state
        .insertion_order
        .iter()
        .map(|id| state.records[id].clone());
    Json(records.collect())
}

async fn set_faults(State(shared): State<Shared>, Json(faults): Json<Faults>) -> Response {
    if faults
        .lose_answers
        .is_some_and(|share| !(0.0..=1.0).contains(&share))
    {
        return error_response(
            StatusCode::BAD_REQUEST,
            "invalid_share",
            "lose_answers must lie between 0 and 1",
        );
    }
    let mut state = shared.lock();
    let config = &mut state.config;
    if let Some(delay) = faults.delay_before_ms {
        config.delay_before = Duration::from_millis(delay);
    }
    if let Some(delay) = faults.delay_after_ms {
        config.delay_after = Duration::from_millis(delay);
    }
    if let Some(share) = faults.lose_answers {
        config.lost_answer_share = share;
    }
    StatusCode::NO_CONTENT.into_response()
}

async fn leave(State(shared): State<Shared>) -> StatusCode {
    shared.lock().is_leaving = true;
    StatusCode::NO_CONTENT
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.0
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

impl ServiceState {
    fn record_run(&mut self, call: Call) -> CallResponse {
        let now = unix_ms();
        let record = self.records.entry(call.id.clone()).or_insert_with(|| {
            self.insertion_order.push_back(call.id.clone());
            Record {
                key: call.id.key.clone(),
                keyed: call.id.is_idempotency_key,
                organisation: call.id.organisation.clone(),
                count: 0,
                differing: 0,
                method: call.method.clone(),
                path: call.path.clone(),
                digest: call.digest.clone(),
                first_ms: now,
                last_ms: now,
            }
        });
        record.count += 1;
        record.last_ms = now;
        let is_same = record.method == call.method
            && record.path == call.path
            && record.digest == call.digest;
        record.differing += u64::from(!is_same);
        let count = record.count;
        while self.insertion_order.len() > self.config.record_limit {
            let oldest = self
                .insertion_order
                .pop_front()
                .expect("the order is not empty");
            self.records.remove(&oldest);
        }
        CallResponse {
            service: self.config.name.clone(),
            key: call.id.key,
            count,
            method: call.method,
            path: call.path,
            digest: call.digest,
        }
    }
}

impl Call {
    fn new(method: &Method, uri: &Uri, headers: &HeaderMap, body: &[u8]) -> Self {
        let key: Option<CompactString> = parse_header(headers, "idempotency-key");
        let is_idempotency_key = key.is_some();
        let key = key
            .or_else(|| parse_header(headers, "x-request-id"))
            .unwrap_or_default();
        let path = uri
            .path_and_query()
            .map_or_else(|| uri.path().into(), ToCompactString::to_compact_string);
        Self {
            id: CallKey {
                organisation: parse_header(headers, "x-organisation").unwrap_or_default(),
                key,
                is_idempotency_key,
            },
            method: method.as_str().into(),
            path,
            digest: digest(body),
        }
    }
}
