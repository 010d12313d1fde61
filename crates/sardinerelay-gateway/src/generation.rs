//! Serves generations: waits for an engine with enough memory, sends the request there, and streams
//! the response's events to the caller.
//!
//! The load that this is built for: a sixth of the engines is reclaimed every few seconds, while
//! generations run for many seconds and must not run twice. Each long generation therefore has a
//! copy of its memory on another engine and continues there as the same run when its engine ends.
//! See `docs/design/platform.md`.

mod build;
mod chunks;
mod delivery;
mod moving;
mod open;
mod pump;
mod reserve;
mod resume;
mod settle;
mod taken_up;
mod transfer;

use {
    self::{
        open::{OpenOutcome, StartPoint},
        reserve::ReserveOutcome,
    },
    crate::{
        admission,
        allocation::Allocation,
        placement::{self, Need},
        refusal::{Refusal, jittered},
        request::{Job, remove_hop_by_hop_headers},
        table::Kind,
    },
    axum::body::Body,
    compact_str::CompactString,
    http::{Response, response},
    log::info,
    rand::Rng as _,
    sardinerelay::id::Build,
    std::time::{Duration, Instant},
};

/// Share of its route's latency objective that a request may wait for an engine.
const MAX_WAIT_SHARE: f64 = 0.55;
/// Margin that is added to the estimated output length when memory is allocated, in standard
/// deviations.
const LENGTH_MARGIN_DEVIATIONS: f64 = 0.3;
/// Smallest expected output, in tokens, for which a generation gets a copy. Shorter generations end
/// before they would use it.
const MIN_COPY_OUTPUT_TOKENS: u64 = 64;
/// Largest number of engines that a generation is sent to until one runs it.
const MAX_GENERATION_SENDS: usize = 4;
/// Largest number of engines that are allocated until one reserves the memory.
const MAX_ALLOCATIONS: usize = 8;
/// Mean time after which a caller should retry when no engine accepts its generation.
const NO_ENGINE_RETRY_AFTER: Duration = Duration::from_millis(600);
/// Mean time after which a caller should retry when all engines are in evacuated zones.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Largest number of chunks that are queued for a caller that reads slowly. Reading from the engine
/// pauses while the queue is full.
const MAX_QUEUED_CHUNKS: usize = 32;
/// Urgency at engines of a request with priority 0, which is the most urgent one. Smaller values
/// are more urgent; they are left for generations that continue.
const BASE_URGENCY: u8 = 2;
/// Largest urgency value that is sent to engines.
const MAX_URGENCY: u8 = 8;

/// Serves a generation. Returns once the head of an engine's response has arrived; a separate task
/// forwards the stream.
///
/// # Errors
///
/// Returns the refusal that the relay sends as its own response.
pub async fn serve(job: Job) -> Result<Response<Body>, Refusal> {
    job.check_homes()?;
    job.entry.record_first_attempt(&job.service);
    let build = taken_up::required_build(&job).await?;
    let need = need(&job, build);
    let (mut allocation, mut reservation) = allocate(&job, &need).await?;
    let mut tried = Vec::new();
    for send_index in 0..MAX_GENERATION_SENDS {
        log_placement(&job, &need, &allocation.choice, send_index);
        let start = StartPoint {
            last_event: job.call.last_event,
            copy_from: None,
            reservation: reservation.take(),
        };
        let opened = open::open(&job, &allocation, start).await;
        open::record(&job, &allocation.choice.target, &opened);
        match opened {
            OpenOutcome::Stream(head, source) => {
                let (chunks, body) = chunks::channel(MAX_QUEUED_CHUNKS);
                tokio::spawn(pump::run(job, allocation, source, chunks));
                return Ok(client_response(head, body));
            }
            OpenOutcome::Failure(head, body) => return Ok(client_response(head, Body::from(body))),
            OpenOutcome::NotRun(_) => {}
            OpenOutcome::Unknown(_) if allocation.choice.copy.is_some() || is_resumable(&job) => {
                return pump::resume_unanswered(job, allocation).await;
            }
            OpenOutcome::Unknown(_) => return Err(Refusal::OutcomeUnknown("the engine broke off")),
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

/// Waits for an engine and reserves memory there. The reservation is none if the service's engines
/// take no reservations, or if the engine didn't confirm one.
async fn allocate(job: &Job, need: &Need) -> Result<(Allocation, Option<CompactString>), Refusal> {
    let deadline = job.arrived + job.route.objective.mul_f64(MAX_WAIT_SHARE);
    let deadline = deadline.min(job.deadline());
    for _ in 0..MAX_ALLOCATIONS {
        let now = Instant::now();
        if job
            .entry
            .state()
            .targets
            .is_service_evacuated(&job.service, now)
        {
            return Err(Refusal::NotRun {
                reason: "all engines are in evacuated zones",
                retry_after: jittered(EVACUATED_RETRY_AFTER),
            });
        }
        if let Some(retry_after) = job.entry.rest_of_all(&job.service) {
            return Err(Refusal::NotRun {
                reason: "all engines want no requests for now",
                retry_after,
            });
        }
        let allocation = job.entry.acquire(need.clone(), deadline).await;
        let allocation =
            allocation.map_err(|(reason, retry_after)| refusal(job, need, reason, retry_after))?;
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
    Refusal::NotRun {
        reason: "no engine takes the generation",
        retry_after: jittered(NO_ENGINE_RETRY_AFTER),
    }
}

/// Returns the urgency at engines of a request with this priority.
fn urgency(priority: u8) -> u8 {
    priority.saturating_add(BASE_URGENCY).min(MAX_URGENCY)
}

/// Whether the route allows another engine to continue the stream as a new run.
fn is_resumable(job: &Job) -> bool {
    matches!(job.route.kind, Kind::Generation { is_resumable: true })
}

/// Returns what the allocator has to know of the generation: the memory that it is expected to use, and the
/// properties by which an engine is chosen. Only `build` may run it if it continues a stream.
fn need(job: &Job, build: Option<Build>) -> Need {
    let generation = job.call.generation.as_ref();
    let prompt_tokens = generation.map_or(0, |generation| generation.prompt_tokens);
    let max_output = generation.map_or(u64::MAX, |generation| generation.max_output_tokens);
    let hint = generation.and_then(|generation| generation.output_hint);
    let parts = generation.map_or(&[][..], |generation| &generation.prompt_parts);
    let (shared_tokens, shared_parts) = placement::shared_prefix(parts);
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
        wants_copy: supports_copies
            && !is_resumable(job)
            && output_tokens >= MIN_COPY_OUTPUT_TOKENS,
        shared_parts,
        build,
        homes: job.homes.clone(),
    }
}

/// Turns an engine's response into the response to the caller.
fn client_response(mut head: response::Parts, body: Body) -> Response<Body> {
    remove_hop_by_hop_headers(&mut head.headers);
    Response::from_parts(head, body)
}

/// Logs that no engine was allocated, and returns the refusal for the caller.
fn refusal(
    job: &Job,
    need: &Need,
    reason: admission::RefusalReason,
    retry_after: Duration,
) -> Refusal {
    info!(
        request = job.call.id.as_str(), route = job.route.name.as_str(),
        prompt = need.prompt_tokens, output = need.output_tokens, priority = need.priority,
        organisation = need.organisation.as_str(), reason:% = reason, retry_after_ms = retry_after.as_millis() as u64,
        waited_ms = job.arrived.elapsed().as_millis() as u64;
        "generation refused"
    );
    if reason == admission::RefusalReason::CrashesEngines {
        return Refusal::NotRun {
            reason: "a part of the prompt makes engines crash",
            retry_after,
        };
    }
    // Spreads the retries of callers that were refused at the same time.
    let jitter = rand::rng().random_range(0.75..1.4);
    Refusal::NotRun {
        reason: "the engines are full",
        retry_after: retry_after.mul_f64(jitter),
    }
}

fn log_placement(job: &Job, need: &Need, choice: &placement::Choice, send_index: usize) {
    let now = Instant::now();
    let state = job.entry.state();
    let target_state = state.targets.get(&choice.target);
    let load = target_state.and_then(|target_state| target_state.load);
    let age = load.map_or(0, |(_, read)| {
        now.saturating_duration_since(read).as_millis() as u64
    });
    let used = load.map_or(0, |(load, _)| load.used);
    info!(
        request = job.call.id.as_str(), route = job.route.name.as_str(), send = send_index,
        target_id = choice.target.as_str(),
        build = target_state.map_or("", |state| state.instance.build.as_str()),
        copy_id = choice.copy.as_ref().map_or("", |copy| copy.as_str()),
        prompt = need.prompt_tokens, output = need.output_tokens, used = used, report_age_ms = age,
        waited_ms = job.arrived.elapsed().as_millis() as u64;
        "generation placed"
    );
}
