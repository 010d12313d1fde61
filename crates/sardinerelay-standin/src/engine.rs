//! Stand-in model engine with an OpenAI-compatible HTTP API.
//!
//! In addition to the published API, it offers what the platform promises: streams that can be
//! resumed and cancelled, load reports with a lag, cache events that are late and may be lost,
//! orders with fencing tokens, reclaim at short notice, and a record of all generations that ran.
//! Section 5 of `docs/design.md` defines the messages.

use {
    crate::{
        cache::{self, block_hashes},
        decoder::{EngineState, NewGeneration, Shared, run_decode_loop},
        orders::{self, Order, OrderError},
        reader::{Endpoint, Generation, Reader},
        record,
        server::{self, error_response, parse_header},
    },
    axum::{
        Json, Router,
        body::Bytes,
        extract::{Path, Query, State},
        http::{HeaderMap, StatusCode},
        response::{IntoResponse, Response},
        routing::{get, post},
    },
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{
        collections::HashMap,
        hash::{DefaultHasher, Hash, Hasher},
        io,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, sync::watch, time::sleep},
    uuid::Uuid,
};

mod config;

pub use {
    self::config::Config,
    crate::record::{Outcome, Record},
};

/// Number of bytes of prompt text that count as one token.
pub const BYTES_PER_TOKEN: u64 = 4;

/// Response body of `GET /v1/load`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadReport {
    pub name: CompactString,
    /// Opaque name of the current start of the engine.
    pub incarnation: CompactString,
    /// Tokens of key-value memory in use.
    pub used_tokens: u64,
    /// Capacity of the key-value memory in tokens.
    pub memory_tokens: u64,
    /// Number of running sequences.
    pub running: usize,
    /// Number of waiting sequences.
    pub waiting: usize,
    /// Number of preemptions since the start.
    pub preemptions: u64,
    /// Tokens in the prefix cache.
    pub cache_tokens: u64,
    /// Prompt tokens found in the prefix cache since the start.
    pub cache_hit_tokens: u64,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
    /// Whether the engine is leaving and refuses new work.
    pub leaving: bool,
}

/// A stand-in engine. Clones share its state.
#[derive(Debug, Clone)]
pub struct Engine {
    shared: Arc<Shared>,
}

/// Request body of `POST /v1/leave`.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaveRequest {
    /// Notice period in milliseconds, after which the engine stops and closes all connections.
    /// Without it, the engine refuses new work but keeps running.
    pub kill_after_ms: Option<u64>,
}

/// Request body of `POST /v1/faults`.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Time in milliseconds for which decoding pauses; 0 injects no stall.
    pub stall_ms: u64,
    /// Whether the currently open streams stop receiving data, without being closed.
    pub silent: bool,
}

#[derive(Debug, Deserialize)]
struct SinceQuery {
    #[serde(default)]
    since: u64,
}

#[derive(Debug, Deserialize)]
struct CompletionRequest {
    model: CompactString,
    #[serde(default)]
    messages: Vec<Value>,
    #[serde(default)]
    prompt: Value,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    metadata: HashMap<String, Value>,
}

impl Engine {
    /// Creates an engine; [`Engine::run`] serves it.
    pub fn new(config: Config) -> Self {
        Self {
            shared: Arc::new(Shared::new(config)),
        }
    }

    /// Serves HTTP on the listener and runs the decode loop. Returns when the notice period of a
    /// leave ends; all connections are closed then, as they are if the future is dropped.
    ///
    /// # Errors
    ///
    /// Never returns an error at present; the type allows for errors of the listener.
    pub async fn run(self, listener: TcpListener) -> io::Result<()> {
        let stop = self.shared.kill.clone();
        tokio::select! {
            () = server::serve(listener, self.router(), stop) => {}
            () = run_decode_loop(self.shared.clone()) => {}
        }
        log::info!("engine {} stopped", self.shared.config.name);
        Ok(())
    }

    fn router(&self) -> Router {
        Router::new()
            .route("/v1/chat/completions", post(chat_completions))
            .route("/v1/completions", post(completions))
            .route("/v1/models", get(list_models))
            .route("/v1/generations/{id}", get(resume).delete(cancel))
            .route("/v1/load", get(load_report))
            .route("/v1/leave", post(leave))
            .route("/v1/record", get(list_records))
            .route("/v1/cache", get(cache_events))
            .route("/v1/orders", get(list_orders).post(submit_order))
            .route("/v1/faults", post(set_faults))
            .route("/load", get(load_report))
            .route("/leave", post(leave))
            .route("/record", get(list_records))
            .with_state(self.shared.clone())
    }
}

/// Binds a listener and serves an engine on it.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn serve(config: Config, address: SocketAddr) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    log::info!(
        "engine {} listens on {}",
        config.name,
        listener.local_addr()?
    );
    Engine::new(config).run(listener).await
}

async fn chat_completions(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    answer_start(&shared, Endpoint::Chat, &headers, &body)
}

async fn completions(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    answer_start(&shared, Endpoint::Text, &headers, &body)
}

/// Starts a generation or refuses it. The answer names the generation that it is for.
fn answer_start(
    shared: &Arc<Shared>,
    endpoint: Endpoint,
    headers: &HeaderMap,
    body: &Bytes,
) -> Response {
    let mut response =
        start_generation(shared, endpoint, headers, body).unwrap_or_else(|error| error);
    if let Some(generation) = headers.get("x-generation") {
        response
            .headers_mut()
            .insert("x-generation", generation.clone());
    }
    response
}

/// Starts a generation and returns its event stream, or the error response if the request is
/// refused.
#[expect(clippy::result_large_err, reason = "both sides are responses")]
fn start_generation(
    shared: &Arc<Shared>,
    endpoint: Endpoint,
    headers: &HeaderMap,
    body: &Bytes,
) -> Result<Response, Response> {
    let request: CompletionRequest = serde_json::from_slice(body).map_err(|error| {
        error_response(StatusCode::BAD_REQUEST, "invalid_body", &error.to_string())
    })?;
    let id = parse_header(headers, "x-generation").unwrap_or_else(Uuid::new_v4);
    let mut state = shared.lock();
    state.check_request(shared, &request, id)?;
    let output_tokens = state.output_length(
        request.requested_tokens(),
        request.token_limit(),
        shared.config.mean_tokens,
    );
    let new = NewGeneration {
        id,
        request_id: parse_header(headers, "x-request-id").unwrap_or_default(),
        priority: parse_header(headers, "x-priority").unwrap_or(0),
        output_tokens,
        generation: request.into_generation(
            endpoint,
            output_tokens,
            shared.config.mark_generations,
        ),
    };
    if !state.admit(new) {
        return Err(error_response(
            StatusCode::BAD_REQUEST,
            "context_length_exceeded",
            "prompt and output exceed the engine's memory",
        ));
    }
    let reader = Reader::attach(shared, &mut state, id, 0);
    drop(state);
    Ok(reader.map_or_else(generation_gone, Reader::respond))
}

impl EngineState {
    #[expect(clippy::result_large_err, reason = "a refusal is a response")]
    fn check_request(
        &self,
        shared: &Shared,
        request: &CompletionRequest,
        id: Uuid,
    ) -> Result<(), Response> {
        let config = &shared.config;
        if self.is_leaving {
            return Err(engine_leaving());
        }
        if !self
            .inventory
            .serves(&request.model, config.check_adapters, Instant::now())
        {
            return Err(error_response(
                StatusCode::NOT_FOUND,
                "model_not_found",
                &request.model,
            ));
        }
        if self.records.contains(id) || self.generations.contains_key(&id) {
            return Err(error_response(
                StatusCode::CONFLICT,
                "generation_exists",
                "the generation exists",
            ));
        }
        Ok(())
    }
}

impl CompletionRequest {
    /// Output length requested in the metadata under `standin_tokens`, as a number or a string.
    fn requested_tokens(&self) -> Option<u64> {
        let value = self.metadata.get("standin_tokens")?;
        value.as_u64().or_else(|| value.as_str()?.parse().ok())
    }

    fn token_limit(&self) -> u64 {
        self.max_completion_tokens
            .or(self.max_tokens)
            .unwrap_or(u64::MAX)
    }

    fn into_generation(
        self,
        endpoint: Endpoint,
        output_tokens: u64,
        is_marked: bool,
    ) -> Generation {
        let prompt = match endpoint {
            Endpoint::Chat => chat_prompt(&self.messages),
            Endpoint::Text => self.prompt.to_string(),
        };
        Generation {
            endpoint,
            fingerprint: fingerprint(&prompt),
            is_marked,
            prompt_tokens: (prompt.len() as u64 / BYTES_PER_TOKEN).max(1),
            cached_tokens: 0,
            blocks: block_hashes(&self.model, &prompt),
            model: self.model,
            output_tokens,
            generated: watch::Sender::new(0),
            reader: 0,
            unread_since: None,
            ended: None,
        }
    }
}

async fn resume(
    State(shared): State<Arc<Shared>>,
    Path(id): Path<Uuid>,
    headers: HeaderMap,
) -> Response {
    let last: Option<CompactString> = parse_header(&headers, "last-event-id");
    let next = last
        .and_then(|last| last.rsplit_once('.')?.1.parse::<u64>().ok())
        .map_or(0, |index| index + 1);
    let mut state = shared.lock();
    let reader = Reader::attach(&shared, &mut state, id, next);
    drop(state);
    reader.map_or_else(generation_gone, Reader::respond)
}

async fn cancel(State(shared): State<Arc<Shared>>, Path(id): Path<Uuid>) -> StatusCode {
    match shared.lock().cancel(id) {
        true => StatusCode::NO_CONTENT,
        false => StatusCode::NOT_FOUND,
    }
}

async fn load_report(State(shared): State<Arc<Shared>>) -> Response {
    let state = shared.lock();
    let Some((taken_at, report)) = state.load_reports.front() else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    let age_ms = taken_at.elapsed().as_millis() as u64;
    Json(LoadReport {
        age_ms,
        ..report.clone()
    })
    .into_response()
}

async fn leave(State(shared): State<Arc<Shared>>, body: Bytes) -> Response {
    let request: LeaveRequest = match body.is_empty() {
        true => LeaveRequest::default(),
        false => match serde_json::from_slice(&body) {
            Ok(request) => request,
            Err(error) => {
                let message = error.to_string();
                return error_response(StatusCode::BAD_REQUEST, "invalid_body", &message);
            }
        },
    };
    shared.lock().is_leaving = true;
    if let Some(notice) = request.kill_after_ms {
        let kill = shared.kill.clone();
        tokio::spawn(async move {
            sleep(Duration::from_millis(notice)).await;
            kill.cancel();
        });
    }
    StatusCode::NO_CONTENT.into_response()
}

async fn list_records(
    State(shared): State<Arc<Shared>>,
    Query(SinceQuery { since }): Query<SinceQuery>,
) -> Json<Vec<record::Record>> {
    Json(shared.lock().records.since(since))
}

async fn cache_events(
    State(shared): State<Arc<Shared>>,
    Query(SinceQuery { since }): Query<SinceQuery>,
) -> Json<cache::EventsResponse> {
    let incarnation = shared.incarnation.clone();
    let response = shared
        .lock()
        .cache
        .events_since(incarnation, since, Instant::now());
    Json(response)
}

async fn list_orders(State(shared): State<Arc<Shared>>) -> Json<orders::StateResponse> {
    let incarnation = shared.incarnation.clone();
    let response = shared.lock().inventory.state(incarnation, Instant::now());
    Json(response)
}

async fn submit_order(State(shared): State<Arc<Shared>>, Json(order): Json<Order>) -> Response {
    let now = Instant::now();
    let mut state = shared.lock();
    if state.is_leaving {
        return engine_leaving();
    }
    match state.inventory.accept(order, now) {
        Ok(()) => Json(state.inventory.state(shared.incarnation.clone(), now)).into_response(),
        Err(OrderError::Stale) => error_response(
            StatusCode::CONFLICT,
            "stale_fencing_token",
            "term and sequence are not above the highest accepted ones",
        ),
        Err(OrderError::Incomplete) => error_response(
            StatusCode::BAD_REQUEST,
            "incomplete_order",
            "load and unload need a model, role needs a role",
        ),
        Err(OrderError::NotLoaded) => error_response(
            StatusCode::NOT_FOUND,
            "model_not_loaded",
            "the order concerns a model or adapter that is not loaded",
        ),
    }
}

async fn set_faults(State(shared): State<Arc<Shared>>, Json(faults): Json<Faults>) -> StatusCode {
    let mut state = shared.lock();
    if faults.stall_ms > 0 {
        state.stall(Duration::from_millis(faults.stall_ms), Instant::now());
    }
    if faults.silent {
        state.silence_readers();
    }
    StatusCode::NO_CONTENT
}

async fn list_models(State(shared): State<Arc<Shared>>) -> Json<Value> {
    let response = shared
        .lock()
        .inventory
        .state(shared.incarnation.clone(), Instant::now());
    let ready = response.loaded.iter().filter(|loaded| loaded.ready);
    let data: Vec<Value> = ready
        .map(|loaded| {
            let id = match &loaded.adapter {
                Some(adapter) => format!("{}:{adapter}", loaded.model),
                None => loaded.model.to_string(),
            };
            json!({ "id": id, "object": "model", "owned_by": "stand-in", "version": loaded.version })
        })
        .collect();
    Json(json!({ "object": "list", "data": data }))
}

fn generation_gone() -> Response {
    error_response(
        StatusCode::NOT_FOUND,
        "generation_gone",
        "the generation is not here",
    )
}

fn engine_leaving() -> Response {
    error_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "leaving",
        "the engine is leaving",
    )
}

/// Returns the prompt text of a chat request, which is the JSON of its messages. Token counts, the
/// prefix cache and fingerprints are based on it.
pub fn chat_prompt(messages: &[Value]) -> String {
    serde_json::to_string(messages).unwrap_or_default()
}

/// Returns a fingerprint of the prompt, which each generated token carries, so that an answer can
/// be matched to its request.
pub fn fingerprint(prompt: &str) -> u32 {
    let mut hasher = DefaultHasher::new();
    prompt.hash(&mut hasher);
    hasher.finish() as u32
}
