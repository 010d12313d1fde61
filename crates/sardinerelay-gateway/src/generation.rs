//! Generations: waiting for room, placement, and the stream to the caller.
//!
//! Load pattern that it answers: a sixth of the engines is reclaimed every few seconds, while
//! generations run for many seconds and must not run twice. Each long generation has a copy of
//! its memory on another engine, and goes on there as the same run when its engine ends. See
//! `docs/design/platform.md`.

mod moving;
mod open;
mod pump;
mod reserve;
mod resume;
mod transfer;

use {
    self::{
        open::{Opened, Start},
        reserve::Reserved,
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

/// Share of its objective that a request may wait for room.
const WAIT_SHARE: f64 = 0.55;
/// Standard deviations above the estimated length that are reserved.
const MARGIN: f64 = 0.3;
/// Tokens of output from which on a copy pays: shorter generations are over before they would use
/// it.
const COPY_OUTPUT: u64 = 64;
/// Sends until one is taken.
const MOST_SENDS: usize = 4;
/// Places that are tried until an engine has room.
const MOST_PLACES: usize = 8;
/// Mean time after which a caller should come back when no engine takes its generation.
const COME_BACK: Duration = Duration::from_millis(600);
/// Chunks that wait for a caller that reads slowly.
const CHUNKS: usize = 32;
/// Urgency of the first rank at engines.
const FIRST_URGENCY: u8 = 2;
/// Urgency of the last rank.
const LAST_URGENCY: u8 = 8;

/// Serves a generation.
///
/// # Errors
///
/// The relay's own answer.
pub async fn serve(job: Job) -> Result<Response<Body>, Refusal> {
    job.entry.record_first_attempt(&job.service);
    let need = need(&job);
    let (mut place, mut reservation) = find_place(&job, &need).await?;
    let mut tried = Vec::new();
    for send in 0..MOST_SENDS {
        note_placement(&job, &need, &place.choice, send);
        let start = Start {
            after: job.call.last_event,
            copy: None,
            reservation: reservation.take(),
        };
        let opened = open::open(&job, &place, start).await;
        open::note(&job, &place.choice.target, &opened);
        match opened {
            Opened::Stream(head, source) => {
                let (chunks, stream) = channel(CHUNKS);
                let response = answer(head, Body::from_stream(ReceiverStream::new(stream)));
                tokio::spawn(pump::run(job, place, source, chunks));
                return Ok(response);
            }
            Opened::Failure(head, body) => return Ok(answer(head, Body::from(body))),
            Opened::NotRun(_) => {}
            Opened::Lost if place.choice.copy.is_some() || resumable(&job) => {
                return pump::start_without_source(job, place).await;
            }
            Opened::Lost => return Err(Refusal::OutcomeUnknown("the engine broke off")),
            Opened::Late => return Err(Refusal::Timeout),
        }
        tried.push(place.choice.target.clone());
        if !job.entry.try_take_retry(&job.service) || !place.try_reassign(&tried) {
            break;
        }
        job.entry.metrics.record_retry(&job.route.name);
    }
    Err(no_engine())
}

/// Waits for an engine that has room and says so itself.
async fn find_place(
    job: &Job,
    need: &Need,
) -> Result<(Allocation, Option<CompactString>), Refusal> {
    let until = job.arrived + job.route.objective.mul_f64(WAIT_SHARE);
    let until = until.min(job.deadline());
    for _ in 0..MOST_PLACES {
        let place = job.entry.acquire(need.clone(), until).await;
        let place = place.map_err(|(refusal, retry)| refused(job, need, refusal, retry))?;
        let reservation = match reserve::take(job, &place).await {
            Reserved::Taken(name) => Some(name),
            Reserved::Unneeded => None,
            Reserved::NoRoom => {
                place.record_no_room();
                continue;
            }
        };
        job.entry
            .metrics
            .record_placement(&job.route.name, job.arrived.elapsed());
        return Ok((place, reservation));
    }
    Err(no_engine())
}

fn no_engine() -> Refusal {
    // Callers that were refused together should not come back together.
    let jitter = rand::rng().random_range(0.5..1.5);
    Refusal::NotRun {
        reason: "no engine takes the generation",
        retry_after: COME_BACK.mul_f64(jitter),
    }
}

/// Urgency at engines, by the request's rank.
fn urgency(priority: u8) -> u8 {
    priority.saturating_add(FIRST_URGENCY).min(LAST_URGENCY)
}

fn resumable(job: &Job) -> bool {
    matches!(job.route.kind, Kind::Generation { resumable: true })
}

fn need(job: &Job) -> Need {
    let generation = job.call.generation.as_ref();
    let prompt = generation.map_or(0, |generation| generation.prompt_tokens);
    let most = generation.map_or(u64::MAX, |generation| generation.max_output_tokens);
    let hint = generation.and_then(|generation| generation.output_hint);
    let parts = generation.map_or(&[][..], |generation| &generation.prompt_parts);
    let (shared, prefix) = placement::shared_prefix(parts);
    let forecast = job.entry.forecast();
    let output = forecast.output_tokens(&job.route.name, most, hint, MARGIN);
    drop(forecast);
    let engine = job.engine();
    let backups = engine.is_some_and(|engine| engine.supports_backups);
    Need {
        service: job.service.clone(),
        organisation: job.organisation.clone().unwrap_or_default(),
        zone: job.entry.settings.common.zone.clone(),
        memory: engine.map_or(0, |engine| engine.memory_tokens),
        prompt,
        output,
        priority: job.priority,
        shared,
        prefix,
        copy: backups && !resumable(job) && output >= COPY_OUTPUT,
    }
}

fn answer(mut head: response::Parts, body: Body) -> Response<Body> {
    remove_hop_by_hop_headers(&mut head.headers);
    Response::from_parts(head, body)
}

fn refused(job: &Job, need: &Need, refusal: admission::Refusal, retry_after: Duration) -> Refusal {
    info!(
        request = job.call.id.as_str(), route = job.route.name.as_str(),
        prompt = need.prompt, output = need.output, priority = need.priority,
        reason:% = refusal, retry_after_ms = retry_after.as_millis() as u64,
        waited_ms = job.arrived.elapsed().as_millis() as u64;
        "generation refused"
    );
    // Callers that were refused together should not come back together.
    let jitter = rand::rng().random_range(0.75..1.4);
    Refusal::NotRun {
        reason: "the engines are full",
        retry_after: retry_after.mul_f64(jitter),
    }
}

fn note_placement(job: &Job, need: &Need, choice: &placement::Choice, send: usize) {
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
        prompt = need.prompt, output = need.output, used = used, report_age_ms = age,
        waited_ms = job.arrived.elapsed().as_millis() as u64;
        "generation placed"
    );
}
