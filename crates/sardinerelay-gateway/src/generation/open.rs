//! Sends a generation to an engine and reads the head of its response.

use {
    super::{build::Process, urgency},
    crate::{
        allocation::Allocation,
        body,
        call::{EventId, MemoryCopy},
        entry::EntryHost,
        pool::{Exchange, Outgoing, Purpose, SendError},
        request::{ForwardOptions, Job, ResponseClass},
    },
    bytes::Bytes,
    compact_str::CompactString,
    http::{HeaderMap, header, response},
    hyper::body::{Body as _, Incoming},
    log::info,
    sardinerelay::id::Target,
    std::time::{Duration, Instant},
    tokio::time::{Instant as TokioInstant, sleep, timeout_at},
};

/// Largest body of an engine's failure response, in bytes. After a longer one the outcome counts as
/// unknown.
const MAX_FAILURE_BYTES: usize = 1 << 20;
/// Time that an engine has for the body of a failure response, after its head. The outcome counts as
/// unknown then, so that another engine can still continue the generation in time.
const FAILURE_BODY_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time that a connection may have been idle for a generation to be sent on it. The engine
/// may be closing an older one, and it would be unknown whether the generation ran.
const MAX_GENERATION_CONNECTION_IDLE: Duration = Duration::from_millis(1500);
/// Urgency of a generation that continues on another engine: its caller waits in the middle of the
/// stream.
const CONTINUED_URGENCY: u8 = 0;
/// Interval between checks whether an engine is dead while its response is awaited.
const LIVENESS_INTERVAL: Duration = Duration::from_millis(150);
/// Shortest time that an engine gets for the head of its response, even if it seems to be dead.
const MIN_RESPONSE_WAIT: Duration = Duration::from_millis(500);

/// The response stream of an engine.
#[derive(Debug)]
pub(super) struct EngineStream {
    pub(super) exchange: Exchange,
    pub(super) body: Incoming,
    /// The engine as it was listed when the generation was sent. It may have started anew since the list was made.
    pub(super) process: Process,
    /// Whether the headers delimit the body, so that a closed connection is not taken for its end.
    pub(super) is_framed: bool,
}

/// Result of sending a generation to an engine, up to the head of the response.
pub(super) enum OpenOutcome {
    /// The engine responds with a stream.
    Stream(response::Parts, EngineStream),
    /// The engine ran the generation and reports a failure.
    Failure(response::Parts, Bytes),
    /// The generation certainly did not run.
    NotRun(NotRunReason),
    /// The generation may run or have run, for this reason.
    Unknown(&'static str),
    /// The request's deadline has passed.
    TimedOut,
}

/// Why an engine did not run a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum NotRunReason {
    #[error("the engine has gone or its zone is evacuated")]
    Gone,
    #[error("the engine can't be reached")]
    Unreachable,
    #[error("the engine says that it did not run it")]
    Refused,
}

/// The point from which an engine starts or continues a generation.
#[derive(Debug, Clone, Default)]
pub(super) struct StartPoint {
    /// The last event that the caller has; the stream continues after it.
    pub(super) last_event: Option<EventId>,
    /// The copy of the memory from which the run continues. Without one it is a new run.
    pub(super) copy_from: Option<MemoryCopy>,
    /// Name of the reservation of memory at the engine.
    pub(super) reservation: Option<CompactString>,
}

/// Sends the generation to the engine of `allocation`.
pub(super) async fn open(job: &Job, allocation: &Allocation, start: StartPoint) -> OpenOutcome {
    let target = &allocation.choice.target;
    let Some(instance) = job.entry.sendable_instance(target) else {
        return OpenOutcome::NotRun(NotRunReason::Gone);
    };
    let copy_engine = allocation.choice.copy.as_ref();
    let copy_engine = copy_engine.and_then(|copy| job.entry.sendable_instance(copy));
    let urgency = match start.last_event.is_some() || start.copy_from.is_some() {
        true => CONTINUED_URGENCY,
        false => urgency(job.priority),
    };
    let options = ForwardOptions {
        urgency: Some(urgency),
        copy_to: copy_engine.map(|instance| instance.address),
        last_event: start.last_event,
        copy_from: start.copy_from,
        reservation: start.reservation,
    };
    let outgoing = Outgoing {
        request: job.outgoing(target, options),
        purpose: Purpose::Attempt(job.call.id.clone()),
        max_idle: MAX_GENERATION_CONNECTION_IDLE,
    };
    let sent = Instant::now();
    let deadline = TokioInstant::from_std(job.deadline());
    let sending = job.entry.pool.send(&instance, outgoing);
    let responded = timeout_at(deadline, async {
        tokio::select! {
            responded = sending => responded.map(Some),
            () = wait_until_dead(&job.entry, target) => Ok(None),
        }
    });
    let (exchange, response) = match responded.await {
        Ok(Ok(Some(responded))) => responded,
        Ok(Ok(None)) => return OpenOutcome::Unknown("the engine is silent"),
        Ok(Err(SendError::NotSent(_))) => return OpenOutcome::NotRun(NotRunReason::Unreachable),
        Ok(Err(SendError::NoResponse(_))) => {
            allocation.record_crash(job);
            return OpenOutcome::Unknown("the connection broke");
        }
        Err(_) => return OpenOutcome::TimedOut,
    };
    let class = job.classify(&response, target, sent);
    let (parts, body) = response.into_parts();
    match class {
        ResponseClass::Success => {
            let stream = EngineStream {
                exchange,
                is_framed: body.size_hint().exact().is_some() || is_chunked(&parts.headers),
                body,
                process: Process {
                    incarnation: instance.incarnation,
                    build: instance.build,
                },
            };
            OpenOutcome::Stream(parts, stream)
        }
        ResponseClass::NotRun => {
            job.entry.pool.finish(exchange, body);
            OpenOutcome::NotRun(NotRunReason::Refused)
        }
        ResponseClass::Failure => match read_failure(job, body).await {
            Ok(body) => {
                job.entry.pool.put_back(exchange);
                OpenOutcome::Failure(parts, body)
            }
            Err(body::Error::TimedOut) if Instant::now() >= job.deadline() => OpenOutcome::TimedOut,
            Err(_) => OpenOutcome::Unknown("the engine's failure has no end"),
        },
        ResponseClass::Untrusted => OpenOutcome::Unknown("the answer is not the engine's"),
    }
}

/// Whether the body ends with a last chunk. Other transfer codings end with the connection.
fn is_chunked(headers: &HeaderMap) -> bool {
    let codings = headers
        .get_all(header::TRANSFER_ENCODING)
        .iter()
        .next_back();
    let codings = codings.and_then(|value| value.to_str().ok());
    let last = codings.and_then(|codings| codings.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

/// Reads the body of a failure response.
async fn read_failure(job: &Job, body: Incoming) -> Result<Bytes, body::Error> {
    let limits = body::Limits {
        max_bytes: MAX_FAILURE_BYTES,
        until: job.deadline().min(Instant::now() + FAILURE_BODY_TIMEOUT),
    };
    body::read(body, limits, &job.entry.pool.memory).await
}

/// Returns once the engine is gone or silent, but not before [`MIN_RESPONSE_WAIT`].
async fn wait_until_dead(entry: &EntryHost, target: &Target) {
    sleep(MIN_RESPONSE_WAIT).await;
    loop {
        sleep(LIVENESS_INTERVAL).await;
        if is_dead(entry, target) {
            return;
        }
    }
}

/// Whether the engine is unknown, or its load reports have stopped while those of others arrive.
pub(super) fn is_dead(entry: &EntryHost, target: &Target) -> bool {
    entry.state().targets.is_silent(target, Instant::now())
}

/// Logs the outcome of a send and records it in the engine's health.
pub(super) fn record(job: &Job, target: &Target, opened: &OpenOutcome) {
    let now = Instant::now();
    let mut state = job.entry.state();
    let (outcome, reason) = match opened {
        OpenOutcome::Stream(..) => ("streams", String::new()),
        OpenOutcome::Failure(parts, _) => ("failure", parts.status.to_string()),
        OpenOutcome::NotRun(reason) => ("not_run", reason.to_string()),
        OpenOutcome::Unknown(reason) => ("lost", (*reason).to_owned()),
        OpenOutcome::TimedOut => ("late", String::new()),
    };
    if let Some(target_state) = state.targets.get_mut(target) {
        match opened {
            OpenOutcome::Stream(..) => target_state.health.record_success(now),
            OpenOutcome::NotRun(NotRunReason::Unreachable) => {
                target_state.health.record_unreachable(now)
            }
            OpenOutcome::NotRun(NotRunReason::Gone) => {}
            _ => target_state.health.record_failure(now),
        }
    }
    let list_age = state.targets.list_age(now).unwrap_or_default();
    drop(state);
    info!(
        request = job.call.id.as_str(), target_id = target.as_str(), outcome = outcome,
        reason = reason.as_str(), list_age_ms = list_age.as_millis() as u64,
        took_ms = job.arrived.elapsed().as_millis() as u64;
        "generation sent"
    );
}
