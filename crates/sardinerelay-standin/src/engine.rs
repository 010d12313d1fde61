//! A stand-in model engine behind the OpenAI-compatible HTTP API.
//!
//! Beside the published API it offers what the platform promises: streams that can be resumed
//! (`GET /v1/generations/{id}` with `Last-Event-ID`) and cancelled (`DELETE`), load reports with
//! a lag and a record of every generation that ran. Each event's `id` is
//! `<generation>.<token index>`.

use {
    crate::batch::{Batch, Size},
    axum::{
        Json, Router,
        body::Body,
        extract::{Path, State},
        http::{HeaderMap, StatusCode, header},
        response::{IntoResponse, Response},
        routing::{get, post},
    },
    bytes::Bytes,
    compact_str::CompactString,
    futures::{Stream, stream},
    rand::{Rng, SeedableRng, rngs::StdRng},
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{
        collections::{HashMap, VecDeque, hash_map::DefaultHasher},
        convert::Infallible,
        fmt::Write as _,
        hash::{Hash, Hasher},
        io,
        net::SocketAddr,
        str::FromStr,
        sync::{Arc, Mutex, MutexGuard},
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        net::TcpListener,
        sync::watch,
        time::{MissedTickBehavior, interval},
    },
    uuid::Uuid,
};

/// Bytes of prompt text that count as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// Settings of one stand-in engine.
#[derive(Debug, Clone)]
pub struct Config {
    /// The engine's name, used in logs and in `/load`.
    pub name: CompactString,
    /// Models that it answers for.
    pub models: Vec<CompactString>,
    /// Sizes of the batch.
    pub size: Size,
    /// Duration of one decode iteration.
    pub step: Duration,
    /// How old the load report is that `/load` answers.
    pub report_lag: Duration,
    /// How long a generation goes on without a reader before it is cancelled.
    pub orphan_window: Duration,
    /// Seed of the output lengths.
    pub seed: u64,
    /// Mean output length in tokens where the request does not state one.
    pub mean_tokens: u64,
}

/// A load report.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Load {
    /// The engine's name.
    pub name: CompactString,
    /// Tokens of memory in use.
    pub used_tokens: u64,
    /// Tokens of memory in all.
    pub memory_tokens: u64,
    /// Running sequences.
    pub running: usize,
    /// Waiting sequences.
    pub waiting: usize,
    /// Preemptions since the start.
    pub preemptions: u64,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
    /// Whether the engine is leaving and takes no new work.
    pub leaving: bool,
}

/// What ran, for checkers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Record {
    /// The generation.
    pub generation: Uuid,
    /// The caller's request identifier, from `x-request-id`.
    pub request: CompactString,
    /// Tokens generated.
    pub generated: u64,
    /// Tokens of the whole answer.
    pub target: u64,
    /// Preemptions it went through.
    pub preemptions: u64,
    /// How it stands.
    pub outcome: Outcome,
    /// When it was taken on, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// When it ended, in milliseconds since the Unix epoch; 0 while it runs.
    pub ended_ms: u64,
}

/// How a generation stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It still runs or waits.
    Running,
    /// It is complete.
    Finished,
    /// It was cancelled, or nobody read it within the orphan window.
    Cancelled,
}

/// A running engine.
#[derive(Debug, Clone)]
pub struct Engine {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    config: Config,
    core: Mutex<Core>,
}

#[derive(Debug)]
struct Core {
    batch: Batch,
    live: HashMap<Uuid, Live>,
    records: HashMap<Uuid, Record>,
    reports: VecDeque<(Instant, Load)>,
    random: StdRng,
    leaving: bool,
}

#[derive(Debug)]
struct Live {
    shape: Shape,
    model: CompactString,
    /// Text of each token is derived from this, so that a reader can check its own answer.
    fingerprint: u32,
    prompt_tokens: u64,
    target: u64,
    generated: watch::Sender<u64>,
    /// The newest reader; an older one ends as soon as it notices.
    reader: u64,
    unread_since: Option<Instant>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shape {
    Chat,
    Text,
}

#[derive(Debug, Deserialize)]
struct Ask {
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
    /// Builds an engine; [`Engine::run`] drives it.
    pub fn new(config: Config) -> Self {
        let core = Core {
            batch: Batch::new(config.size.clone()),
            live: HashMap::new(),
            records: HashMap::new(),
            reports: VecDeque::new(),
            random: StdRng::seed_from_u64(config.seed),
            leaving: false,
        };
        Self {
            shared: Arc::new(Shared {
                config,
                core: Mutex::new(core),
            }),
        }
    }

    /// Serves HTTP on the listener and decodes, until the listener fails.
    ///
    /// # Errors
    ///
    /// Returns the listener's error.
    pub async fn run(self, listener: TcpListener) -> io::Result<()> {
        let decoder = tokio::spawn(decode(self.shared.clone()));
        let served = axum::serve(listener, self.router()).await;
        decoder.abort();
        served
    }

    fn router(&self) -> Router {
        Router::new()
            .route("/v1/chat/completions", post(chat))
            .route("/v1/completions", post(text))
            .route("/v1/models", get(models))
            .route("/v1/generations/{id}", get(resume).delete(cancel))
            .route("/load", get(load))
            .route("/leave", post(leave))
            .route("/record", get(record))
            .with_state(self.shared.clone())
    }
}

/// Binds and serves an engine.
///
/// # Errors
///
/// Returns the error of binding or serving.
pub async fn serve(config: Config, address: SocketAddr) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    log::info!(
        "engine {} listens on {}",
        config.name,
        listener.local_addr()?
    );
    Engine::new(config).run(listener).await
}

async fn decode(shared: Arc<Shared>) {
    let mut ticks = interval(shared.config.step);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        shared.lock().advance(&shared.config, Instant::now());
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Core> {
        self.core
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

impl Core {
    fn advance(&mut self, config: &Config, now: Instant) {
        let progress = self.batch.step();
        for (id, index) in progress.tokens {
            if let Some(live) = self.live.get_mut(&id) {
                live.generated.send_replace(index + 1);
            }
            if let Some(record) = self.records.get_mut(&id) {
                record.generated = index + 1;
            }
        }
        for id in &progress.preempted {
            if let Some(record) = self.records.get_mut(id) {
                record.preemptions += 1;
            }
        }
        for id in progress.finished {
            self.close(id, Outcome::Finished);
        }
        self.expire(config.orphan_window, now);
        self.report(config, now);
    }

    /// Cancels generations that nobody has read for the window, and forgets finished ones.
    fn expire(&mut self, window: Duration, now: Instant) {
        let expired: Vec<Uuid> = self
            .live
            .iter()
            .filter(|(_, live)| {
                live.unread_since
                    .is_some_and(|since| now.duration_since(since) >= window)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.batch.cancel(id);
            self.close(id, Outcome::Cancelled);
            self.live.remove(&id);
        }
    }

    fn close(&mut self, id: Uuid, outcome: Outcome) {
        if let Some(record) = self.records.get_mut(&id)
            && record.outcome == Outcome::Running
        {
            record.outcome = outcome;
            record.ended_ms = unix_ms();
        }
    }

    fn report(&mut self, config: &Config, now: Instant) {
        let load = Load {
            name: config.name.clone(),
            used_tokens: self.batch.used_tokens(),
            memory_tokens: config.size.memory_tokens,
            running: self.batch.running(),
            waiting: self.batch.waiting(),
            preemptions: self.batch.preemptions,
            age_ms: 0,
            leaving: self.leaving,
        };
        self.reports.push_back((now, load));
        while self.reports.len() > 1 && now.duration_since(self.reports[1].0) >= config.report_lag {
            self.reports.pop_front();
        }
    }

    fn output_length(&mut self, ask: &Ask, mean: u64) -> u64 {
        let stated = ask
            .metadata
            .get("standin_tokens")
            .and_then(|value| value.as_u64().or_else(|| value.as_str()?.parse().ok()));
        let drawn = stated.unwrap_or_else(|| {
            let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
            (-uniform.ln() * mean as f64).ceil() as u64
        });
        let cap = ask
            .max_completion_tokens
            .or(ask.max_tokens)
            .unwrap_or(u64::MAX);
        drawn.clamp(1, cap.max(1))
    }
}

async fn chat(State(shared): State<Arc<Shared>>, headers: HeaderMap, body: Bytes) -> Response {
    start(&shared, Shape::Chat, &headers, &body)
}

async fn text(State(shared): State<Arc<Shared>>, headers: HeaderMap, body: Bytes) -> Response {
    start(&shared, Shape::Text, &headers, &body)
}

fn start(shared: &Arc<Shared>, shape: Shape, headers: &HeaderMap, body: &Bytes) -> Response {
    let ask: Ask = match serde_json::from_slice(body) {
        Ok(ask) => ask,
        Err(error) => return refuse(StatusCode::BAD_REQUEST, "invalid_body", &error.to_string()),
    };
    let base = ask.model.split(':').next().unwrap_or_default();
    if !shared.config.models.iter().any(|model| model == base) {
        return refuse(StatusCode::NOT_FOUND, "model_not_found", &ask.model);
    }
    let id = header(headers, "x-generation").unwrap_or_else(Uuid::new_v4);
    let priority = header(headers, "x-priority").unwrap_or(0);
    let prompt = match shape {
        Shape::Chat => serde_json::to_string(&ask.messages).unwrap_or_default(),
        Shape::Text => ask.prompt.to_string(),
    };
    let prompt_tokens = (prompt.len() as u64 / BYTES_PER_TOKEN).max(1);
    let reader = {
        let mut core = shared.lock();
        if core.leaving {
            return refuse(
                StatusCode::SERVICE_UNAVAILABLE,
                "leaving",
                "the engine is leaving",
            );
        }
        if core.records.contains_key(&id) {
            return refuse(
                StatusCode::CONFLICT,
                "generation_exists",
                "the generation exists",
            );
        }
        let target = core.output_length(&ask, shared.config.mean_tokens);
        if !core.batch.add(id, priority, prompt_tokens, 0, target) {
            return refuse(
                StatusCode::BAD_REQUEST,
                "context_length_exceeded",
                "prompt and output exceed the engine's memory",
            );
        }
        let record = Record {
            generation: id,
            request: header(headers, "x-request-id").unwrap_or_default(),
            generated: 0,
            target,
            preemptions: 0,
            outcome: Outcome::Running,
            started_ms: unix_ms(),
            ended_ms: 0,
        };
        core.records.insert(id, record);
        let live = Live {
            shape,
            model: ask.model,
            fingerprint: fingerprint(&prompt),
            prompt_tokens,
            target,
            generated: watch::Sender::new(0),
            reader: 0,
            unread_since: None,
        };
        core.live.insert(id, live);
        Reader::attach(shared, &mut core, id, 0)
    };
    reader.map_or_else(gone, respond)
}

async fn resume(
    State(shared): State<Arc<Shared>>,
    Path(id): Path<Uuid>,
    headers: HeaderMap,
) -> Response {
    let last: Option<CompactString> = header(&headers, "last-event-id");
    let next = last
        .and_then(|last| last.rsplit_once('.')?.1.parse::<u64>().ok())
        .map_or(0, |index| index + 1);
    let mut core = shared.lock();
    let reader = Reader::attach(&shared, &mut core, id, next);
    drop(core);
    reader.map_or_else(gone, respond)
}

async fn cancel(State(shared): State<Arc<Shared>>, Path(id): Path<Uuid>) -> StatusCode {
    let mut core = shared.lock();
    core.batch.cancel(id);
    core.close(id, Outcome::Cancelled);
    match core.live.remove(&id) {
        Some(_) => StatusCode::NO_CONTENT,
        None => StatusCode::NOT_FOUND,
    }
}

async fn load(State(shared): State<Arc<Shared>>) -> Response {
    let core = shared.lock();
    match core.reports.front() {
        Some((taken, load)) => {
            let age_ms = taken.elapsed().as_millis() as u64;
            Json(Load {
                age_ms,
                ..load.clone()
            })
            .into_response()
        }
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

async fn leave(State(shared): State<Arc<Shared>>) -> StatusCode {
    shared.lock().leaving = true;
    StatusCode::NO_CONTENT
}

async fn record(State(shared): State<Arc<Shared>>) -> Json<Vec<Record>> {
    Json(shared.lock().records.values().cloned().collect())
}

async fn models(State(shared): State<Arc<Shared>>) -> Json<Value> {
    let data: Vec<Value> = shared
        .config
        .models
        .iter()
        .map(|model| json!({ "id": model, "object": "model", "owned_by": "stand-in" }))
        .collect();
    Json(json!({ "object": "list", "data": data }))
}

/// One connection that reads a generation.
struct Reader {
    shared: Arc<Shared>,
    id: Uuid,
    number: u64,
    next: u64,
    generated: watch::Receiver<u64>,
    ended: bool,
}

impl Reader {
    /// Takes over the generation from any earlier reader.
    fn attach(shared: &Arc<Shared>, core: &mut Core, id: Uuid, next: u64) -> Option<Self> {
        let live = core.live.get_mut(&id)?;
        live.reader += 1;
        live.unread_since = None;
        Some(Self {
            shared: shared.clone(),
            id,
            number: live.reader,
            next,
            generated: live.generated.subscribe(),
            ended: false,
        })
    }

    /// The next bytes of the stream, or nothing at its end.
    async fn read(&mut self) -> Option<Bytes> {
        if self.ended {
            return None;
        }
        let next = self.next;
        if self
            .generated
            .wait_for(|generated| *generated > next)
            .await
            .is_err()
        {
            // The generation was cancelled; the connection ends without the closing events.
            self.ended = true;
            return None;
        }
        let generated = *self.generated.borrow();
        let core = self.shared.lock();
        let live = core.live.get(&self.id)?;
        if live.reader != self.number {
            self.ended = true;
            return None;
        }
        let mut events = String::new();
        for index in self.next..generated {
            live.write_token(&mut events, self.id, index);
        }
        self.next = generated;
        if generated >= live.target {
            live.write_end(&mut events, self.id, core.batch.preemptions_of(self.id));
            self.ended = true;
        }
        Some(Bytes::from(events))
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut core = self.shared.lock();
        if let Some(live) = core.live.get_mut(&self.id)
            && live.reader == self.number
        {
            live.unread_since = Some(Instant::now());
        }
    }
}

impl Live {
    fn write_token(&self, events: &mut String, id: Uuid, index: u64) {
        let text = format!("{:08x}.{index} ", self.fingerprint);
        let last = index + 1 == self.target;
        let finish = if last { json!("stop") } else { Value::Null };
        let choice = match self.shape {
            Shape::Chat => {
                json!({ "index": 0, "delta": { "content": text }, "finish_reason": finish })
            }
            Shape::Text => json!({ "index": 0, "text": text, "finish_reason": finish }),
        };
        let chunk = json!({
            "id": self.answer_id(id),
            "object": self.object(),
            "created": unix_ms() / 1000,
            "model": self.model,
            "choices": [choice],
        });
        let _ = write!(events, "id: {id}.{index}\ndata: {chunk}\n\n");
    }

    fn write_end(&self, events: &mut String, id: Uuid, preemptions: u64) {
        let usage = json!({
            "id": self.answer_id(id),
            "object": self.object(),
            "created": unix_ms() / 1000,
            "model": self.model,
            "choices": [],
            "usage": {
                "prompt_tokens": self.prompt_tokens,
                "completion_tokens": self.target,
                "total_tokens": self.prompt_tokens + self.target,
            },
            "preemptions": preemptions,
        });
        let _ = write!(events, "event: usage\ndata: {usage}\n\ndata: [DONE]\n\n");
    }

    fn answer_id(&self, id: Uuid) -> String {
        match self.shape {
            Shape::Chat => format!("chatcmpl-{}", id.simple()),
            Shape::Text => format!("cmpl-{}", id.simple()),
        }
    }

    fn object(&self) -> &'static str {
        match self.shape {
            Shape::Chat => "chat.completion.chunk",
            Shape::Text => "text_completion",
        }
    }
}

fn respond(reader: Reader) -> Response {
    Response::builder()
        .header(header::CONTENT_TYPE, "text/event-stream")
        .header("x-generation", reader.id.to_string())
        .body(Body::from_stream(events(reader)))
        .expect("the headers are valid")
}

fn events(reader: Reader) -> impl Stream<Item = Result<Bytes, Infallible>> {
    stream::unfold(reader, |mut reader| async move {
        let bytes = reader.read().await?;
        Some((Ok(bytes), reader))
    })
}

fn gone() -> Response {
    refuse(
        StatusCode::NOT_FOUND,
        "generation_gone",
        "the generation is not here",
    )
}

fn refuse(status: StatusCode, code: &str, message: &str) -> Response {
    let error = json!({ "error": { "message": message, "type": "engine_error", "code": code, "run": "not_run" } });
    (status, Json(error)).into_response()
}

fn header<T>(headers: &HeaderMap, name: &str) -> Option<T>
where
    T: FromStr,
{
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// A fingerprint of the prompt, so that an answer can be matched to its request.
pub fn fingerprint(prompt: &str) -> u32 {
    let mut hasher = DefaultHasher::new();
    prompt.hash(&mut hasher);
    hasher.finish() as u32
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
