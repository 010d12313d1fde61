//! The operators' API of a host with a replica: submits a configuration, reads the newest one and
//! evacuates zones.

mod evacuation;
pub mod suspension;

use {
    self::{evacuation::OrderHandler, suspension::Detector},
    crate::{
        body,
        call::OperatorCall,
        codec::Codec,
        distribution::MAX_TEXT_BYTES,
        group::{Document, Handle},
        http_server,
        metrics::Metrics,
        table::Table,
    },
    axum::body::Body,
    bytes::Bytes,
    http::{HeaderValue, Request, Response, StatusCode, header},
    hyper::body::Incoming,
    log::{info, warn},
    sardinerelay::id::Zone,
    sardinerelayd::{panics, stop::Drain},
    std::{
        collections::BTreeSet,
        io,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Time for the group to confirm an operator's request. Operators try another host after a second,
/// or somewhat later for a large body.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(900);

/// Time for a submitted configuration to arrive.
const SUBMISSION_BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Memory that submitted configurations may take together, in bytes: eight of the largest ones.
const SUBMISSION_MEMORY_BYTES: usize = 8 * MAX_TEXT_BYTES;

/// Serves operators at `address` in the background, until `drain` closes the connections. They may give orders
/// for `zones`.
///
/// # Errors
///
/// Returns the error if the address can't be bound.
pub async fn listen(
    address: SocketAddr,
    codec: Codec,
    (handle, zones): (Handle, BTreeSet<Zone>),
    (metrics, drain): (Arc<Metrics>, Drain),
) -> io::Result<()> {
    let memory = body::Memory::new(SUBMISSION_MEMORY_BYTES);
    let suspension = Detector::new(Instant::now());
    let orders = Arc::new(OrderHandler { zones, suspension });
    let checked = Arc::clone(&orders);
    panics::spawn_essential("detect suspensions", async move {
        loop {
            checked.suspension.check(Instant::now());
            sleep(suspension::INTERVAL).await;
        }
    });
    let respond = move |request| {
        let (handle, metrics) = (handle.clone(), Arc::clone(&metrics));
        let (memory, orders) = (memory.clone(), Arc::clone(&orders));
        async move { serve(codec, (handle, memory, &orders), &metrics, request).await }
    };
    http_server::listen_until_closed(address, respond, drain).await
}

async fn serve(
    codec: Codec,
    (handle, memory, orders): (Handle, body::Memory, &OrderHandler),
    metrics: &Metrics,
    request: Request<Incoming>,
) -> Response<Body> {
    let began = Instant::now();
    let call = (codec.parse_operator_call)(request.method(), request.uri().path());
    let (label, response) = match call {
        Some(OperatorCall::Submit) => {
            let submitted = submit(codec, (&handle, &memory), request.into_body());
            ("submit", submitted.await)
        }
        Some(OperatorCall::Read) => ("read", read(&handle).await),
        Some(OperatorCall::Evacuate(zone)) => {
            ("evacuate", orders.carry_out(&handle, zone, true).await)
        }
        Some(OperatorCall::Restore(zone)) => {
            ("restore", orders.carry_out(&handle, zone, false).await)
        }
        None => return http_server::text(StatusCode::NOT_FOUND, "there is no such call\n"),
    };
    let outcome = match response.status() {
        StatusCode::OK => "done",
        StatusCode::BAD_REQUEST | StatusCode::NOT_FOUND => "invalid",
        _ => "unconfirmed",
    };
    metrics.record_request(label, outcome, began.elapsed());
    response
}

async fn submit(
    codec: Codec,
    (handle, memory): (&Handle, &body::Memory),
    body: Incoming,
) -> Response<Body> {
    let began = Instant::now();
    let limits = body::Limits {
        max_bytes: MAX_TEXT_BYTES,
        until: began + SUBMISSION_BODY_TIMEOUT,
    };
    let body = match body::read(body, limits, memory).await {
        Ok(body) => body,
        Err(error) => {
            warn!(reason:% = error; "reading a submitted configuration failed");
            let status = match error {
                body::Error::TooLong | body::Error::BrokenOff(_) => StatusCode::BAD_REQUEST,
                body::Error::TimedOut | body::Error::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
            };
            return http_server::text(status, format!("{error}\n"));
        }
    };
    let table = match check(codec, &body) {
        Ok(table) => table,
        Err(reason) => {
            info!(reason = reason.as_str(); "refused an invalid configuration");
            return http_server::text(StatusCode::BAD_REQUEST, reason);
        }
    };
    let version = table.version();
    let submitted = handle
        .submit(Document { version, body }, CONFIRMATION_TIMEOUT)
        .await;
    let took_ms = began.elapsed().as_millis() as u64;
    match submitted {
        Ok(newest) => {
            info!(version = version, held = newest, took_ms = took_ms; "accepted a configuration");
            http_server::text(StatusCode::OK, "")
        }
        Err(error) => {
            warn!(version = version, reason:% = error, took_ms = took_ms; "a submitted configuration was not confirmed");
            http_server::text(StatusCode::SERVICE_UNAVAILABLE, format!("{error}\n"))
        }
    }
}

/// Parses, checks and indexes a configuration. The error is the response to an operator, with one line
/// for each problem.
pub(crate) fn check(codec: Codec, body: &[u8]) -> Result<Table, String> {
    let draft = (codec.parse_configuration)(body).map_err(|error| format!("{error}\n"))?;
    Table::check(draft).map_err(|errors| {
        let lines = errors.iter().map(|error| format!("{error}\n"));
        lines.collect()
    })
}

async fn read(handle: &Handle) -> Response<Body> {
    match handle.read(CONFIRMATION_TIMEOUT).await {
        Ok(document) => {
            info!(version = document.version; "read the configuration");
            let mut response = http_server::text(StatusCode::OK, Bytes::clone(&document.body));
            let json = HeaderValue::from_static("application/json");
            response.headers_mut().insert(header::CONTENT_TYPE, json);
            response
        }
        Err(error) => {
            info!(reason:% = error; "reading the configuration failed");
            http_server::text(StatusCode::SERVICE_UNAVAILABLE, format!("{error}\n"))
        }
    }
}
