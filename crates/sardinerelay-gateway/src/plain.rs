//! Calls of plain services, which respond with a whole body instead of a stream of events.
//!
//! The load that this is built for: a few targets fail part of their calls while the others work.
//! An idempotent call is retried on another target when it has failed or takes too long, as long as
//! the retry budget lasts. A call that must run at most once is retried only if it certainly did
//! not run.

mod choice;

use {
    self::choice::Choice,
    crate::{
        body,
        pool::{Cause, Exchange, Outgoing, Purpose, SendError},
        refusal::{Refusal, jittered},
        request::{ForwardOptions, Job, ResponseClass, remove_hop_by_hop_headers},
        table::Kind,
        targets::MemoryClaim,
    },
    axum::body::Body,
    bytes::Bytes,
    http::{Response, response},
    hyper::body::Incoming,
    log::info,
    sardinerelay::id::Target,
    std::time::{Duration, Instant},
    tokio::time::{Instant as TokioInstant, timeout_at},
};

/// Largest response body in bytes. A response is kept in memory until it is complete.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Timeout of an attempt of an idempotent call after which another target is tried, as a multiple
/// of the route's latency objective.
const ATTEMPT_TIMEOUT_FACTOR: u32 = 2;
/// Shortest timeout of such an attempt.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest number of times that one call is sent, including sends that certainly did not run.
const MAX_CALL_SENDS: usize = 5;
/// Longest time that a connection may have been idle for a call that must not run twice. The target
/// may be closing an older one, and it would be unknown whether the call ran.
const MAX_CONNECTION_IDLE_AT_MOST_ONCE: Duration = Duration::from_millis(1500);
/// Longest time that a connection may have been idle for other calls. The pool also applies the
/// timeouts that targets state.
const MAX_CONNECTION_IDLE: Duration = Duration::from_secs(60);
/// Mean time after which a caller should retry when no target accepts its call.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Shortest remaining time in which a call is still sent.
const MIN_REMAINING_TIME: Duration = Duration::from_millis(5);

/// A target's response with its complete body.
type BufferedResponse = Response<Bytes>;

/// Result of sending a call to one target.
enum AttemptOutcome {
    /// The target responded, with success or failure.
    Responded(BufferedResponse),
    /// The call certainly did not run.
    NotRun(NotRunReason),
    /// The call may have run.
    Unknown(&'static str),
    /// The target did not respond in the time that it had. The call may have run.
    TimedOut,
}

/// Why a target did not run a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum NotRunReason {
    #[error("the target has gone or its zone is evacuated")]
    Gone,
    #[error("the target can't be reached")]
    Unreachable,
    #[error("the target says that it did not run it")]
    Refused,
}

/// Serves a call: sends it to one target after another until one succeeds, the attempts or the time
/// are used up, or a retry isn't allowed.
///
/// # Errors
///
/// Returns the refusal that the relay sends as its own response.
pub async fn serve(job: &Job) -> Result<Response<Body>, Refusal> {
    job.check_homes()?;
    job.entry.record_first_attempt(&job.service);
    let deadline = job.deadline();
    let is_idempotent = job.route.kind == Kind::Idempotent;
    let mut tried: Vec<Target> = Vec::new();
    let mut runs = 0;
    let mut failure: Option<BufferedResponse> = None;
    let mut unavailable = None;
    for send_index in 0..MAX_CALL_SENDS {
        let now = Instant::now();
        if now + MIN_REMAINING_TIME >= deadline {
            break;
        }
        let target = match choice::choose(job, &tried, now).await {
            Choice::Target(target) => target,
            Choice::LimitReached(retry_after) => {
                unavailable = Some(("all targets have reached their rate limits", retry_after));
                break;
            }
            Choice::Resting(retry_after) => {
                unavailable = Some(("all targets want no requests for now", retry_after));
                break;
            }
            Choice::Unavailable => break,
        };
        let now = Instant::now();
        let is_last = !is_idempotent || runs + 1 >= job.route.max_attempts;
        let outcome = attempt(job, &target, (now, deadline), is_last).await;
        record(job, &target, &outcome, (send_index, now));
        tried.push(target);
        match outcome {
            AttemptOutcome::Responded(response)
                if response.status().is_success() || !is_idempotent =>
            {
                return Ok(response.map(Body::from));
            }
            AttemptOutcome::Responded(response) => {
                runs += 1;
                failure = Some(response);
            }
            AttemptOutcome::NotRun(_) => {}
            AttemptOutcome::Unknown(reason) if !is_idempotent => {
                return Err(Refusal::OutcomeUnknown(reason));
            }
            AttemptOutcome::TimedOut if !is_idempotent => return Err(Refusal::Timeout),
            AttemptOutcome::Unknown(_) if job.entry.is_suspect(job) => {
                return Err(Refusal::OutcomeUnknown("its targets crash"));
            }
            AttemptOutcome::Unknown(_) | AttemptOutcome::TimedOut => runs += 1,
        }
        if runs >= job.route.max_attempts || !job.entry.try_take_retry(&job.service) {
            break;
        }
        job.entry.metrics.record_retry(&job.route.name);
    }
    if let Some(failure) = failure {
        return Ok(failure.map(Body::from));
    }
    if runs == 0 {
        if let Some((reason, retry_after)) = unavailable {
            return Err(Refusal::NotRun {
                reason,
                retry_after,
            });
        }
        return Err(Refusal::NotRun {
            reason: "no target takes the call",
            retry_after: jittered(NO_TARGET_RETRY_AFTER),
        });
    }
    match Instant::now() + MIN_REMAINING_TIME >= deadline {
        true => Err(Refusal::Timeout),
        false => Err(Refusal::OutcomeUnknown("no target answered the call")),
    }
}

/// Sends the call to `target` and reads the response. A target that is tried last has until
/// `deadline`; the others have at most the timeout of one attempt.
async fn attempt(
    job: &Job,
    target: &Target,
    (now, deadline): (Instant, Instant),
    is_last: bool,
) -> AttemptOutcome {
    let Some(instance) = job.entry.sendable_instance(target) else {
        return AttemptOutcome::NotRun(NotRunReason::Gone);
    };
    let run = job.entry.next_run_id();
    let claim = MemoryClaim {
        tokens: 0,
        expected: 0,
        since: now,
        updated: now,
        is_running: true,
    };
    job.entry.state().targets.claim(target, run, claim);
    let _guard = ClaimGuard { job, target, run };
    let outgoing = Outgoing {
        request: job.outgoing(target, ForwardOptions::default()),
        purpose: Purpose::Attempt(job.call.id.clone()),
        max_idle: match job.route.kind {
            Kind::AtMostOnce => MAX_CONNECTION_IDLE_AT_MOST_ONCE,
            _ => MAX_CONNECTION_IDLE,
        },
    };
    let attempt_timeout = (job.route.objective * ATTEMPT_TIMEOUT_FACTOR).max(MIN_ATTEMPT_TIMEOUT);
    let attempt_deadline = if is_last {
        deadline
    } else {
        deadline.min(now + attempt_timeout)
    };
    let responded = timeout_at(TokioInstant::from_std(attempt_deadline), async {
        let (exchange, response) = job.entry.pool.send(&instance, outgoing).await?;
        read(job, exchange, response, (target, now)).await
    });
    match responded.await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(SendError::NotSent(_))) => AttemptOutcome::NotRun(NotRunReason::Unreachable),
        Ok(Err(SendError::NoResponse(_))) => {
            job.entry.record_lost(job, target, (run, &[]), None);
            AttemptOutcome::Unknown("the connection to the target broke")
        }
        Err(_) => AttemptOutcome::TimedOut,
    }
}

/// Reads a response to its end before any of it is passed on, so that the call can be retried if
/// the response breaks off.
async fn read(
    job: &Job,
    exchange: Exchange,
    response: Response<Incoming>,
    (target, sent): (&Target, Instant),
) -> Result<AttemptOutcome, SendError> {
    let class = job.classify(&response, target, sent);
    let (parts, body) = response.into_parts();
    match class {
        ResponseClass::Success | ResponseClass::Failure => {
            let limits = body::Limits {
                max_bytes: MAX_RESPONSE_BYTES,
                until: job.deadline(),
            };
            let body = match body::read(body, limits, &job.entry.pool.memory).await {
                Ok(body) => body,
                Err(error @ body::Error::BrokenOff(_)) => {
                    return Err(SendError::NoResponse(Cause::Body(error)));
                }
                Err(body::Error::TimedOut) => return Ok(AttemptOutcome::TimedOut),
                Err(body::Error::TooLong | body::Error::NoMemory) => {
                    return Ok(AttemptOutcome::Unknown("the answer is too long"));
                }
            };
            job.entry.pool.put_back(exchange);
            Ok(AttemptOutcome::Responded(buffered_response(parts, body)))
        }
        ResponseClass::NotRun => {
            job.entry.pool.finish(exchange, body);
            Ok(AttemptOutcome::NotRun(NotRunReason::Refused))
        }
        ResponseClass::Untrusted => Ok(AttemptOutcome::Unknown("the answer is not the target's")),
    }
}

/// Turns a target's response into the response to the caller.
fn buffered_response(mut parts: response::Parts, body: Bytes) -> BufferedResponse {
    remove_hop_by_hop_headers(&mut parts.headers);
    Response::from_parts(parts, body)
}

/// Logs the outcome of a send and records it in the target's health.
fn record(
    job: &Job,
    target: &Target,
    outcome: &AttemptOutcome,
    (send_index, sent): (usize, Instant),
) {
    let now = Instant::now();
    let mut state = job.entry.state();
    let list_age = state.targets.list_age(now).unwrap_or_default();
    let (label, reason) = match outcome {
        AttemptOutcome::Responded(response) => {
            (response.status().as_str().to_owned(), String::new())
        }
        AttemptOutcome::NotRun(reason) => ("not_run".to_owned(), reason.to_string()),
        AttemptOutcome::Unknown(reason) => ("unknown".to_owned(), (*reason).to_owned()),
        AttemptOutcome::TimedOut => ("slow".to_owned(), String::new()),
    };
    // A timed out call took at least this long. Failures may take no time and aren't counted.
    let is_measured = match outcome {
        AttemptOutcome::Responded(response) => response.status().is_success(),
        AttemptOutcome::TimedOut => true,
        AttemptOutcome::NotRun(_) | AttemptOutcome::Unknown(_) => false,
    };
    if is_measured {
        let took = now.saturating_duration_since(sent);
        state.targets.record_service_time(target, took, now);
    }
    if let Some(target_state) = state.targets.get_mut(target) {
        match outcome {
            AttemptOutcome::Responded(response) if !response.status().is_server_error() => {
                target_state.health.record_success(now)
            }
            AttemptOutcome::NotRun(NotRunReason::Unreachable) => {
                target_state.health.record_unreachable(now)
            }
            AttemptOutcome::NotRun(NotRunReason::Gone) => {}
            _ => target_state.health.record_failure(now),
        }
    }
    drop(state);
    info!(
        request = job.call.id.as_str(), route = job.route.name.as_str(),
        target_id = target.as_str(), send = send_index, outcome = label.as_str(),
        reason = reason.as_str(), list_age_ms = list_age.as_millis() as u64,
        took_ms = job.arrived.elapsed().as_millis() as u64;
        "call sent"
    );
    if matches!(outcome, AttemptOutcome::Responded(_)) {
        job.entry.record_answered(job);
    }
}

/// Guard of a call's claim on its target. Dropping it releases the claim.
struct ClaimGuard<'a> {
    job: &'a Job,
    target: &'a Target,
    run: u64,
}

impl Drop for ClaimGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.job.entry.state();
        state.targets.release(self.target, self.run);
    }
}
