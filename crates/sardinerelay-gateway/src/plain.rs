//! Calls of plain services.
//!
//! Load pattern that it answers: a few targets that fail a part of their calls while the rest is
//! sound. A repeatable call goes to another target once it has taken too long or has failed, as
//! long as the retry budget lasts. A call that runs at most once is only repeated if it certainly
//! did not run.

use {
    crate::{
        placement,
        pool::{Cause, Exchange, SendError},
        refusal::Refusal,
        request::{ForwardOptions, Job, ResponseClass, remove_hop_by_hop_headers},
        table::Kind,
        targets::MemoryClaim,
    },
    axum::body::Body,
    bytes::Bytes,
    http::{Response, response},
    http_body_util::{BodyExt as _, Limited},
    hyper::body::Incoming,
    log::info,
    rand::Rng as _,
    sardinerelay::id::Target,
    std::time::{Duration, Instant},
    tokio::time::{Instant as Deadline, timeout_at},
};

/// Largest answer that is kept in memory until it is whole, in bytes.
const ANSWER_BYTES: usize = 8 << 20;
/// Time after which a repeatable call goes elsewhere, as a multiple of its objective.
const PATIENCE: u32 = 2;
/// Least time after which it does.
const LEAST_PATIENCE: Duration = Duration::from_millis(250);
/// Sends of one request, including those of which no byte arrived.
const MOST_SENDS: usize = 5;
/// Longest idle time of a connection that a call may use which must not be sent twice.
const YOUNG: Duration = Duration::from_millis(1500);
/// Longest idle time for other calls; targets state their own limits.
const ANY_AGE: Duration = Duration::from_secs(60);
/// Mean time after which a caller should come back when no target takes its call.
const COME_BACK: Duration = Duration::from_millis(250);
/// Least time that is worth a send.
const LEAST_LEFT: Duration = Duration::from_millis(5);

/// A whole answer of a target.
type Whole = Response<Bytes>;

/// How one send ended.
enum Attempt {
    /// The target's answer.
    Answered(Whole),
    /// It certainly did not run.
    NotRun(Skipped),
    /// It may have run.
    Unknown(&'static str),
    /// There was no answer in the time that this target had.
    Slow,
}

/// Why a target did not run a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum Skipped {
    #[error("the target has gone")]
    Gone,
    #[error("the target can't be reached")]
    Unreachable,
    #[error("the target says that it did not run it")]
    Refused,
}

/// Serves a call.
///
/// # Errors
///
/// The relay's own answer.
pub async fn serve(job: &Job) -> Result<Response<Body>, Refusal> {
    job.entry.record_first_attempt(&job.service);
    let end = job.deadline();
    let repeatable = job.route.kind == Kind::Idempotent;
    let mut tried: Vec<Target> = Vec::new();
    let mut ran = 0;
    let mut failure: Option<Whole> = None;
    for send in 0..MOST_SENDS {
        let now = Instant::now();
        if now + LEAST_LEFT >= end {
            break;
        }
        let Some(target) = choose(job, &tried, now) else {
            break;
        };
        let last = !repeatable || ran + 1 >= job.route.max_attempts;
        let attempt = attempt(job, &target, (now, end), last).await;
        note(job, &target, &attempt, send);
        tried.push(target);
        match attempt {
            Attempt::Answered(whole) if whole.status().is_success() || !repeatable => {
                return Ok(whole.map(Body::from));
            }
            Attempt::Answered(whole) => {
                ran += 1;
                failure = Some(whole);
            }
            Attempt::NotRun(_) => {}
            Attempt::Unknown(reason) if !repeatable => return Err(Refusal::OutcomeUnknown(reason)),
            Attempt::Slow if !repeatable => return Err(Refusal::Timeout),
            Attempt::Unknown(_) | Attempt::Slow => ran += 1,
        }
        if ran >= job.route.max_attempts || !job.entry.try_take_retry(&job.service) {
            break;
        }
        job.entry.metrics.record_retry(&job.route.name);
    }
    if let Some(failure) = failure {
        return Ok(failure.map(Body::from));
    }
    if ran == 0 {
        let jitter = rand::rng().random_range(0.5..1.5);
        return Err(Refusal::NotRun {
            reason: "no target takes the call",
            retry_after: COME_BACK.mul_f64(jitter),
        });
    }
    match Instant::now() + LEAST_LEFT >= end {
        true => Err(Refusal::Timeout),
        false => Err(Refusal::OutcomeUnknown("no target answered the call")),
    }
}

/// A target that was not tried yet; if all were, any.
fn choose(job: &Job, tried: &[Target], now: Instant) -> Option<Target> {
    let state = job.entry.state();
    let zone = &job.entry.settings.common.zone;
    let place = (job.service.as_str(), zone, tried);
    let fresh = placement::choose_plain(&state.targets, place, &mut rand::rng(), now);
    fresh.or_else(|| {
        let place = (job.service.as_str(), zone, &[][..]);
        placement::choose_plain(&state.targets, place, &mut rand::rng(), now)
    })
}

async fn attempt(
    job: &Job,
    target: &Target,
    (now, end): (Instant, Instant),
    last: bool,
) -> Attempt {
    let Some(instance) = job.entry.instance(target) else {
        return Attempt::NotRun(Skipped::Gone);
    };
    let run = job.entry.next_run_id();
    let held = MemoryClaim {
        tokens: 0,
        expected: 0,
        since: now,
        updated: now,
        is_running: true,
    };
    job.entry.state().targets.claim(target, run, held);
    let _held = Release { job, target, run };
    let request = job.outgoing(target, ForwardOptions::default());
    let youngest = match job.route.kind {
        Kind::AtMostOnce => YOUNG,
        _ => ANY_AGE,
    };
    let patience = (job.route.objective * PATIENCE).max(LEAST_PATIENCE);
    let until = if last { end } else { end.min(now + patience) };
    let answered = timeout_at(Deadline::from_std(until), async {
        let (exchange, response) = job.entry.pool.send(&instance, request, youngest).await?;
        read(job, exchange, response).await
    });
    match answered.await {
        Ok(Ok(attempt)) => attempt,
        Ok(Err(SendError::NotSent(_))) => Attempt::NotRun(Skipped::Unreachable),
        Ok(Err(SendError::NoResponse(_))) => Attempt::Unknown("the connection to the target broke"),
        Err(_) => Attempt::Slow,
    }
}

/// Reads an answer to its end before any of it is passed on, so that a broken one can be replaced.
async fn read(
    job: &Job,
    exchange: Exchange,
    response: Response<Incoming>,
) -> Result<Attempt, SendError> {
    let verdict = job.classify(&response);
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, ANSWER_BYTES).collect().await;
    let body = body
        .map_err(|error| SendError::NoResponse(Cause::Answer(error)))?
        .to_bytes();
    Ok(match verdict {
        ResponseClass::Success | ResponseClass::Failure => {
            job.entry.pool.put_back(exchange);
            Attempt::Answered(whole(parts, body))
        }
        ResponseClass::NotRun => {
            job.entry.pool.put_back(exchange);
            Attempt::NotRun(Skipped::Refused)
        }
        ResponseClass::Untrusted => Attempt::Unknown("the answer is not the target's"),
    })
}

fn whole(mut parts: response::Parts, body: Bytes) -> Whole {
    remove_hop_by_hop_headers(&mut parts.headers);
    Response::from_parts(parts, body)
}

/// Logs a send and records what it says of the target.
fn note(job: &Job, target: &Target, attempt: &Attempt, send: usize) {
    let now = Instant::now();
    let mut state = job.entry.state();
    let listed = state.targets.list_age(now).unwrap_or_default();
    let (outcome, reason) = match attempt {
        Attempt::Answered(whole) => (whole.status().as_str().to_owned(), String::new()),
        Attempt::NotRun(reason) => ("not_run".to_owned(), reason.to_string()),
        Attempt::Unknown(reason) => ("unknown".to_owned(), (*reason).to_owned()),
        Attempt::Slow => ("slow".to_owned(), String::new()),
    };
    if let Some(seen) = state.targets.get_mut(target) {
        match attempt {
            Attempt::Answered(whole) if !whole.status().is_server_error() => {
                seen.health.record_success(now)
            }
            Attempt::NotRun(Skipped::Unreachable) => seen.health.record_unreachable(now),
            _ => seen.health.record_failure(now),
        }
    }
    drop(state);
    info!(
        request = job.call.id.as_str(), route = job.route.name.as_str(),
        target_id = target.as_str(), send = send, outcome = outcome.as_str(),
        reason = reason.as_str(), list_age_ms = listed.as_millis() as u64,
        took_ms = job.arrived.elapsed().as_millis() as u64;
        "call sent"
    );
}

/// Ends the record of a call on a target.
struct Release<'a> {
    job: &'a Job,
    target: &'a Target,
    run: u64,
}

impl Drop for Release<'_> {
    fn drop(&mut self) {
        let mut state = self.job.entry.state();
        state.targets.release(self.target, self.run);
    }
}
