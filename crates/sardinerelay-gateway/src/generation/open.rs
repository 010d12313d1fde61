//! Sends a generation to an engine and reads the head of its answer.

use {
    super::urgency,
    crate::{
        call::{EventId, MemoryCopy},
        entry::{Allocation, EntryHost},
        pool::{Exchange, SendError},
        request::{ForwardOptions, Job, ResponseClass},
    },
    bytes::Bytes,
    compact_str::CompactString,
    http::{header, response},
    http_body_util::{BodyExt as _, Limited},
    hyper::body::Incoming,
    log::info,
    sardinerelay::id::Target,
    std::time::{Duration, Instant},
    tokio::time::{Instant as Deadline, sleep, timeout_at},
};

/// Largest failure of an engine that is passed on, in bytes.
const FAILURE_BYTES: usize = 1 << 20;
/// Longest idle time of a connection that a generation is sent on.
const YOUNG: Duration = Duration::from_millis(1500);
/// Urgency of a generation that goes on elsewhere: its caller is waiting in the middle of it.
const CONTINUED_URGENCY: u8 = 0;
/// Interval between looks at whether an engine is still there.
const LOOK: Duration = Duration::from_millis(150);
/// Least time that an engine has to answer, also if it seems to be dead.
const LEAST_WAIT: Duration = Duration::from_millis(500);

/// A stream of an engine.
#[derive(Debug)]
pub(super) struct Source {
    pub(super) exchange: Exchange,
    pub(super) body: Incoming,
    /// Whether the end of the body can be told from the end of the connection.
    pub(super) framed: bool,
}

/// How a send began.
pub(super) enum Opened {
    /// The engine streams.
    Stream(response::Parts, Source),
    /// The engine ran it and failed.
    Failure(response::Parts, Bytes),
    /// It certainly did not run.
    NotRun(Skipped),
    /// It may run or have run.
    Lost,
    /// The caller's time is over.
    Late,
}

/// Why an engine did not run a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum Skipped {
    #[error("the engine has gone")]
    Gone,
    #[error("the engine can't be reached")]
    Unreachable,
    #[error("the engine says that it did not run it")]
    Refused,
}

/// Where a generation starts.
#[derive(Debug, Clone, Default)]
pub(super) struct Start {
    /// After this event.
    pub(super) after: Option<EventId>,
    /// From this copy.
    pub(super) copy: Option<MemoryCopy>,
    /// In room that was reserved.
    pub(super) reservation: Option<CompactString>,
}

/// Sends the generation to the place's engine.
pub(super) async fn open(job: &Job, place: &Allocation, start: Start) -> Opened {
    let target = &place.choice.target;
    let Some(instance) = job.entry.instance(target) else {
        return Opened::NotRun(Skipped::Gone);
    };
    let backup = place.choice.copy.as_ref();
    let backup = backup.and_then(|copy| job.entry.instance(copy));
    let urgency = match start.after.is_some() || start.copy.is_some() {
        true => CONTINUED_URGENCY,
        false => urgency(job.priority),
    };
    let extra = ForwardOptions {
        urgency: Some(urgency),
        backup: backup.map(|instance| instance.address),
        after: start.after,
        copy: start.copy,
        reservation: start.reservation,
    };
    let request = job.outgoing(target, extra);
    let end = Deadline::from_std(job.deadline());
    let sent = job.entry.pool.send(&instance, request, YOUNG);
    let answered = timeout_at(end, async {
        tokio::select! {
            answered = sent => answered.map(Some),
            () = dead(&job.entry, target) => Ok(None),
        }
    });
    let (exchange, response) = match answered.await {
        Ok(Ok(Some(answered))) => answered,
        Ok(Ok(None)) => return Opened::Lost,
        Ok(Err(SendError::NotSent(_))) => return Opened::NotRun(Skipped::Unreachable),
        Ok(Err(SendError::NoResponse(_))) => return Opened::Lost,
        Err(_) => return Opened::Late,
    };
    let verdict = job.classify(&response);
    let (parts, body) = response.into_parts();
    match verdict {
        ResponseClass::Success => {
            let framed = [header::TRANSFER_ENCODING, header::CONTENT_LENGTH];
            let source = Source {
                exchange,
                body,
                framed: framed.iter().any(|name| parts.headers.contains_key(name)),
            };
            place.record_started();
            Opened::Stream(parts, source)
        }
        ResponseClass::NotRun => {
            if Limited::new(body, FAILURE_BYTES).collect().await.is_ok() {
                job.entry.pool.put_back(exchange);
            }
            Opened::NotRun(Skipped::Refused)
        }
        ResponseClass::Failure => match Limited::new(body, FAILURE_BYTES).collect().await {
            Ok(body) => {
                job.entry.pool.put_back(exchange);
                Opened::Failure(parts, body.to_bytes())
            }
            Err(_) => Opened::Lost,
        },
        ResponseClass::Untrusted => Opened::Lost,
    }
}

/// Ends when the engine is gone or silent.
async fn dead(entry: &EntryHost, target: &Target) {
    sleep(LEAST_WAIT).await;
    loop {
        sleep(LOOK).await;
        if is_dead(entry, target) {
            return;
        }
    }
}

pub(super) fn is_dead(entry: &EntryHost, target: &Target) -> bool {
    entry.state().targets.is_silent(target, Instant::now())
}

/// Logs how a send began and records what it says of the engine.
pub(super) fn note(job: &Job, target: &Target, opened: &Opened) {
    let now = Instant::now();
    let mut state = job.entry.state();
    let (outcome, reason) = match opened {
        Opened::Stream(..) => ("streams", String::new()),
        Opened::Failure(parts, _) => ("failure", parts.status.to_string()),
        Opened::NotRun(reason) => ("not_run", reason.to_string()),
        Opened::Lost => ("lost", String::new()),
        Opened::Late => ("late", String::new()),
    };
    if let Some(seen) = state.targets.get_mut(target) {
        match opened {
            Opened::Stream(..) => seen.health.record_success(now),
            Opened::NotRun(Skipped::Unreachable) => seen.health.record_unreachable(now),
            _ => seen.health.record_failure(now),
        }
    }
    let listed = state.targets.list_age(now).unwrap_or_default();
    drop(state);
    info!(
        request = job.call.id.as_str(), target_id = target.as_str(), outcome = outcome,
        reason = reason.as_str(), list_age_ms = listed.as_millis() as u64,
        took_ms = job.arrived.elapsed().as_millis() as u64;
        "generation sent"
    );
}
