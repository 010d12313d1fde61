//! Serves generations: waits for an engine with enough memory, sends the request there, and streams
//! the events to the caller.
//!
//! The load that this is built for: a sixth of the engines is reclaimed every few seconds, while
//! generations run for many seconds and must not run twice. Each long generation therefore has a
//! copy of its memory on another engine and continues there as the same run when its engine ends.
//! See `docs/design/platform.md`.

mod moving;
mod open;
mod pump;
mod reserve;
mod resume;
mod transfer;

use {
    self::{
        open::{OpenOutcome, StartPoint},
        reserve::ReserveOutcome,
    },
    crate::{
        admission,
        entry::Allocation,
        placement::{self, Need},
        refusal::Refusal,
        request::{Job, remove_hop_by_hop_headers},
        table::Kind,
    },
    axum::body::Body,
    compact_str::CompactString,
    http::{Response, response},
    log::info,
    rand::Rng as _,
    std::time::{Duration, Instant},
    tokio::sync::mpsc::channel,
    tokio_stream::wrappers::ReceiverStream,
};

/// Share of its route's latency objective that a request may wait for an engine.
const MAX_WAIT_SHARE: f64 = 0.55;
/// Margin of the output length for which memory is allocated, in standard deviations above the
/// estimate.
const LENGTH_MARGIN_DEVIATIONS: f64 = 0.3;
/// Expected output tokens from which on a generation gets a copy. Shorter ones end before they
/// would use it.
const MIN_COPY_OUTPUT_TOKENS: u64 = 64;
/// Engines that a generation is sent to at most until one runs it.
const MAX_GENERATION_SENDS: usize = 4;
/// Engines that are allocated at most until one reserves the memory.
const MAX_ALLOCATIONS: usize = 8;
/// Mean time after which a caller should retry when no engine accepts its generation.
const NO_ENGINE_RETRY_AFTER: Duration = Duration::from_millis(600);
/// Chunks that are queued at most for a caller that reads slowly. Reading from the engine pauses
/// while the queue is full.
const MAX_QUEUED_CHUNKS: usize = 32;
/// Urgency at engines of a request with priority 0, the most urgent one.
const FIRST_URGENCY: u8 = 2;
/// Largest urgency value that engines are sent; larger values are less urgent.
const MAX_URGENCY: u8 = 8;

/// Serves a generation. Returns once the head of an engine's response has come; the stream is
/// forwarded by a task of its own.
///
/// # Errors
///
/// The refusal with which the relay responds itself.
pub async fn serve(job: Job) -> Result<Response<Body>, Refusal> {
    job.entry.record_first_attempt(&job.service);
    let need = need(&job);
    let (mut allocation, mut reservation) = allocate(&job, &need).await?;
    let mut tried = Vec::new();
    for send in 0..MAX_GENERATION_SENDS {
        log_placement(&job, &need, &allocation.choice, send);
        let start = StartPoint {
            last_event: job.call.last_event,
            copy_from: None,
            reservation: reservation.take(),
        };
        let opened = open::open(&job, &allocation, start).await;
        open::record(&job, &allocation.choice.target, &opened);
        match opened {
            OpenOutcome::Stream(head, source) => {
                let (chunks, stream) = channel(MAX_QUEUED_CHUNKS);
                let response =
                    client_response(head, Body::from_stream(ReceiverStream::new(stream)));
                tokio::spawn(pump::run(job, allocation, source, chunks));
                return Ok(response);
            }
            OpenOutcome::Failure(head, body) => return Ok(client_response(head, Body::from(body))),
            OpenOutcome::NotRun(_) => {}
            OpenOutcome::Unknown if allocation.choice.copy.is_some() || is_resumable(&job) => {
                return pump::resume_unanswered(job, allocation).await;
            }
            OpenOutcome::Unknown => return Err(Refusal::OutcomeUnknown("the engine broke off")),
            OpenOutcome::TimedOut => return Err(Refusal::Timeout),
        }
        tried.push(allocation.choice.target.clone());
        if !job.entry.try_take_retry(&job.service) || !allocation.try_reassign(&tried) {
            break;
        }
        job.entry.metrics.record_retry(&job.route.name);
    }
    Err(no_engine_refusal())
}

/// Waits for an engine and reserves memory there. The reservation is none if engines of the service
/// take none, or if the engine didn't answer.
async fn allocate(job: &Job, need: &Need) -> Result<(Allocation, Option<CompactString>), Refusal> {
    let until = job.arrived + job.route.objective.mul_f64(MAX_WAIT_SHARE);
    let until = until.min(job.deadline());
    for _ in 0..MAX_ALLOCATIONS {
        let allocation = job.entry.acquire(need.clone(), until).await;
        let allocation = allocation.map_err(|(reason, retry)| refusal(job, need, reason, retry))?;
        let reservation = match reserve::try_reserve(job, &allocation).await {
            ReserveOutcome::Reserved(name) => Some(name),
            ReserveOutcome::Skipped => None,
            ReserveOutcome::NoRoom => {
                allocation.record_no_room();
                continue;
            }
        };
        job.entry
            .metrics
            .record_placement(&job.route.name, job.arrived.elapsed());
        return Ok((allocation, reservation));
    }
    Err(no_engine_refusal())
}

fn no_engine_refusal() -> Refusal {
    // Spreads the retries of callers that were refused at the same time.
    let jitter = rand::rng().random_range(0.5..1.5);
    Refusal::NotRun {
        reason: "no engine takes the generation",
        retry_after: NO_ENGINE_RETRY_AFTER.mul_f64(jitter),
    }
}

/// Returns the urgency at engines of a request with this priority. The values below
/// [`FIRST_URGENCY`] are left for generations that continue.
fn urgency(priority: u8) -> u8 {
    priority.saturating_add(FIRST_URGENCY).min(MAX_URGENCY)
}

/// Whether another engine may continue the stream as a new run.
fn is_resumable(job: &Job) -> bool {
    matches!(job.route.kind, Kind::Generation { is_resumable: true })
}

/// Returns what the allocator has to know of the generation: the memory that it is expected to
/// take, and which other engines suit it.
fn need(job: &Job) -> Need {
    let generation = job.call.generation.as_ref();
    let prompt_tokens = generation.map_or(0, |generation| generation.prompt_tokens);
    let max_output = generation.map_or(u64::MAX, |generation| generation.max_output_tokens);
    let hint = generation.and_then(|generation| generation.output_hint);
    let parts = generation.map_or(&[][..], |generation| &generation.prompt_parts);
    let (shared_tokens, prefix_hash) = placement::shared_prefix(parts);
    let forecast = job.entry.forecast();
    let output_tokens =
        forecast.output_tokens(&job.route.name, max_output, hint, LENGTH_MARGIN_DEVIATIONS);
    drop(forecast);
    let engine = job.engine();
    let supports_copies = engine.is_some_and(|engine| engine.supports_copies);
    Need {
        service: job.service.clone(),
        organisation: job.organisation.clone().unwrap_or_default(),
        zone: job.entry.settings.common.zone.clone(),
        engine_memory_tokens: engine.map_or(0, |engine| engine.memory_tokens),
        prompt_tokens,
        output_tokens,
        priority: job.priority,
        shared_tokens,
        prefix_hash,
        wants_copy: supports_copies
            && !is_resumable(job)
            && output_tokens >= MIN_COPY_OUTPUT_TOKENS,
    }
}

/// Makes an engine's response into the one that the caller gets.
fn client_response(mut head: response::Parts, body: Body) -> Response<Body> {
    remove_hop_by_hop_headers(&mut head.headers);
    Response::from_parts(head, body)
}

/// Logs that no engine was allocated, and returns the refusal for the caller.
fn refusal(job: &Job, need: &Need, reason: admission::Refusal, retry_after: Duration) -> Refusal {
    info!(
        request = job.call.id.as_str(), route = job.route.name.as_str(),
        prompt = need.prompt_tokens, output = need.output_tokens, priority = need.priority,
        reason:% = reason, retry_after_ms = retry_after.as_millis() as u64,
        waited_ms = job.arrived.elapsed().as_millis() as u64;
        "generation refused"
    );
    // Spreads the retries of callers that were refused at the same time.
    let jitter = rand::rng().random_range(0.75..1.4);
    Refusal::NotRun {
        reason: "the engines are full",
        retry_after: retry_after.mul_f64(jitter),
    }
}

fn log_placement(job: &Job, need: &Need, choice: &placement::Choice, send: usize) {
    let now = Instant::now();
    let state = job.entry.state();
    let seen = state.targets.get(&choice.target);
    let load = seen.and_then(|seen| seen.load);
    let age = load.map_or(0, |(_, read)| {
        now.saturating_duration_since(read).as_millis() as u64
    });
    let used = load.map_or(0, |(load, _)| load.used);
    info!(
        request = job.call.id.as_str(), route = job.route.name.as_str(), send = send,
        target_id = choice.target.as_str(),
        copy_id = choice.copy.as_ref().map_or("", |copy| copy.as_str()),
        prompt = need.prompt_tokens, output = need.output_tokens, used = used, report_age_ms = age,
        waited_ms = job.arrived.elapsed().as_millis() as u64;
        "generation placed"
    );
}
