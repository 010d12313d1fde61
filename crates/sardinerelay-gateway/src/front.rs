//! The listener for callers: finds each request's route, authenticates it, and dispatches it.

use {
    crate::{
        body,
        entry::EntryHost,
        generation, plain,
        refusal::{Refusal, jittered},
        request::Job,
        table::{Denial, Kind, Limits},
    },
    axum::body::Body,
    http::{HeaderValue, Request, Response, Version, header},
    hyper::{body::Incoming, server::conn::http1},
    hyper_util::rt::TokioTimer,
    log::{debug, info, warn},
    sardinerelayd::{connection, panics, stop::RequestGuard},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// Pause after a failed accept, which happens when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time after which a caller should retry if this host has no configuration yet.
const NO_CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(800);
/// Mean time after which a caller should retry if the bodies of others have taken the memory of this host.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Time after which a caller should retry if this host is stopping.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Time after which a connection is closed whose caller reads nothing although there is something to read.
/// What it doesn't read occupies memory that other requests need.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Smallest read buffer that hyper accepts, in bytes. It panics if asked for a smaller one.
const MIN_READ_BUFFER_BYTES: usize = 8192;
/// Limits that apply to callers until a configuration is in force.
const DEFAULT_LIMITS: Limits = Limits {
    max_header_bytes: 16 << 10,
    max_body_bytes: 4 << 20,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// Accepts callers' connections until they have to close. Open connections then finish the
/// request in progress and close.
pub async fn run(entry: Arc<EntryHost>, listener: TcpListener) {
    let closing = entry.drain.closing();
    tokio::pin!(closing);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut closing => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(Arc::clone(&entry), stream));
            }
            Err(error) => {
                warn!("accepting a caller's connection failed: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves one caller's connection until either side closes it.
async fn serve_connection(entry: Arc<EntryHost>, stream: TcpStream) {
    let limits = limits(&entry);
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // hyper counts the idle time between two requests as time to read a head.
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_header_bytes.max(MIN_READ_BUFFER_BYTES));
    let bounds = (entry.drain.clone(), UNREAD_TIMEOUT);
    let respond = move |request| serve(Arc::clone(&entry), request);
    if let Err(error) = connection::serve(stream, &builder, respond, bounds).await {
        debug!("a caller's connection ended: {error}");
    }
}

/// Returns the limits of the configuration in force.
fn limits(entry: &EntryHost) -> Limits {
    let table = entry.table.load();
    table
        .as_ref()
        .map_or(DEFAULT_LIMITS, |table| table.limits())
}

/// Responds to one request. During a planned stop the connection closes after the response, and
/// after the drain delay new requests are refused.
async fn serve(entry: Arc<EntryHost>, request: Request<Incoming>) -> Response<Body> {
    let arrived = Instant::now();
    let guard = entry.drain.enter();
    let is_stopping = entry.drain.is_draining();
    let mut response = match guard {
        Some(guard) => respond(Arc::clone(&entry), request, arrived, guard).await,
        None => {
            let refusal = stopping("this host stops");
            let call = (entry.codec.parse_call)(&request.into_parts().0).ok();
            refusal.response(&entry.codec, call.as_ref().map(|call| &call.id))
        }
    };
    if is_stopping {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Parses, authenticates and dispatches a request. `guard` keeps the request counted as open until
/// the response's body has been sent.
async fn respond(
    entry: Arc<EntryHost>,
    request: Request<Incoming>,
    arrived: Instant,
    guard: RequestGuard,
) -> Response<Body> {
    let (head, body) = request.into_parts();
    let call = match (entry.codec.parse_call)(&head) {
        Ok(call) => call,
        Err(error) => {
            let refusal = Refusal::Malformed(error.to_string());
            info!(reason:% = error; "request is malformed");
            return refusal.response(&entry.codec, None);
        }
    };
    let id = call.id.clone();
    let job = authenticate(&entry, &head, call, arrived);
    let result = match job {
        Ok(job) => panics::contain(serve_until_stop(job, body))
            .await
            .unwrap_or(Err(Refusal::OutcomeUnknown("this host failed"))),
        Err(refusal) => Err(refusal),
    };
    match result {
        Ok(response) => response.map(|body| guard.attach_to(body)),
        Err(refusal) => {
            let took = arrived.elapsed();
            entry.metrics.record_request("", refusal.label(), took);
            info!(
                request = id.as_str(), reason:% = refusal, status = refusal.status().as_u16(),
                took_ms = took.as_millis() as u64;
                "request refused"
            );
            refusal.response(&entry.codec, Some(&id))
        }
    }
}

/// Finds the request's route and the organisation that holds its key. The body of the returned job
/// is empty until the caller of this function has read it.
fn authenticate(
    entry: &Arc<EntryHost>,
    head: &http::request::Parts,
    call: crate::call::Call,
    arrived: Instant,
) -> Result<Job, Refusal> {
    let table = entry.table.load();
    let Some(table) = table.as_ref() else {
        return Err(Refusal::NotRun {
            reason: "this host has no configuration yet",
            retry_after: NO_CONFIGURATION_RETRY_AFTER,
        });
    };
    let deny = |denial: Denial| {
        info!(
            request = call.id.as_str(), host = call.host.as_str(), path = head.uri.path(),
            version = table.version(), reason:% = denial;
            "request denied"
        );
        match denial {
            Denial::NoRoute => Refusal::NoRoute,
            Denial::UnknownKey => Refusal::UnknownKey,
        }
    };
    let route = table.route(&call.host, head.uri.path()).map_err(deny)?;
    let account = table
        .authenticate(route, call.key.as_deref())
        .map_err(deny)?;
    let service = route.draw_service(&mut rand::rng()).cloned();
    let priority = account.and_then(|account| account.priority);
    Ok(Job {
        entry: Arc::clone(entry),
        head: head.clone(),
        body: bytes::Bytes::new(),
        route: route.clone(),
        service: service.unwrap_or_default(),
        organisation: account.map(|account| account.name.clone()),
        priority: priority.unwrap_or(route.priority),
        homes: account.map_or(route.homes.clone(), |account| {
            route.homes.and(&account.homes)
        }),
        call,
        arrived,
    })
}

/// Reads a request's body, up to the request's deadline.
async fn read_body(job: &Job, body: Incoming) -> Result<bytes::Bytes, Refusal> {
    let limits = body::Limits {
        max_bytes: limits(&job.entry).max_body_bytes,
        until: job.deadline(),
    };
    let read = body::read(body, limits, &job.entry.request_memory).await;
    read.map_err(|error| match error {
        body::Error::TooLong => Refusal::BodyTooLong,
        body::Error::TimedOut => Refusal::BodyTimedOut,
        body::Error::NoMemory => Refusal::NotRun {
            reason: "this host has no memory for the body",
            retry_after: jittered(NO_MEMORY_RETRY_AFTER),
        },
        body::Error::BrokenOff(error) => Refusal::Malformed(error.to_string()),
    })
}

/// Reads a job's body and dispatches the job. Neither outlasts a planned stop of this host.
async fn serve_until_stop(job: Job, body: Incoming) -> Result<Response<Body>, Refusal> {
    let entry = Arc::clone(&job.entry);
    let body = tokio::select! {
        body = read_body(&job, body) => body?,
        () = entry.drain.expired() => return Err(stopping("this host stops")),
    };
    tokio::select! {
        result = dispatch(Job { body, ..job }) => result,
        () = entry.drain.expired() => Err(Refusal::OutcomeUnknown("this host stops")),
    }
}

/// The refusal of a request that this host doesn't take because it stops.
fn stopping(reason: &'static str) -> Refusal {
    Refusal::NotRun {
        reason,
        retry_after: STOPPING_RETRY_AFTER,
    }
}

/// Whether this host stops before a job that must not be repeated could end, by the time that others of its
/// route take.
fn ends_after_stop(job: &Job) -> bool {
    let is_repeatable = matches!(
        job.route.kind,
        Kind::Idempotent | Kind::Generation { is_resumable: true }
    );
    if is_repeatable || !job.entry.drain.is_draining() {
        return false;
    }
    let usual = job.entry.forecast().duration(&job.route.name);
    let remaining = job.entry.drain.remaining();
    usual
        .zip(remaining)
        .is_some_and(|(usual, remaining)| usual > remaining)
}

/// Serves a job by its route's kind, and records the end of a plain call in the metrics. The task
/// that forwards a generation's stream records the end of that.
async fn dispatch(job: Job) -> Result<Response<Body>, Refusal> {
    if let Some(retry_after) = job.entry.refuse_request(&job) {
        return Err(Refusal::NotRun {
            reason: "the request makes targets crash",
            retry_after,
        });
    }
    if ends_after_stop(&job) {
        return Err(stopping("this host stops before the request could end"));
    }
    match job.route.kind {
        // Without chunks the body would end with the connection, whatever the reason.
        Kind::Generation { .. } if job.head.version < Version::HTTP_11 => Err(Refusal::HttpVersion),
        Kind::Generation { .. } => generation::serve(job).await,
        Kind::Idempotent | Kind::AtMostOnce => {
            let result = plain::serve(&job).await;
            if let Ok(response) = &result {
                let took = job.arrived.elapsed();
                let outcome = if response.status().is_success() {
                    let mut forecast = job.entry.forecast();
                    forecast.record_duration(&job.route.name, took);
                    "success"
                } else {
                    "failure"
                };
                job.entry
                    .metrics
                    .record_request(&job.route.name, outcome, took);
            }
            result
        }
    }
}
