//! HTTP server shared by the stand-ins.
//!
//! Unlike the server of the HTTP framework, it owns all connections, so that they end with the
//! stand-in, and lets a handler close a connection without a response.

use {
    axum::{
        Json, Router,
        http::{HeaderMap, StatusCode},
        response::{IntoResponse, Response},
    },
    hyper::{
        body::Incoming,
        server::conn::http1,
        service::{Service as _, service_fn},
    },
    hyper_util::{rt::TokioIo, service::TowerToHyperService},
    serde_json::json,
    std::{
        io,
        str::FromStr,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        task::JoinSet,
        time::sleep,
    },
    tokio_util::sync::CancellationToken,
};

/// Pause after a failed accept, which occurs for example when file descriptors are exhausted.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Response extension that makes the server close the connection without sending the response.
#[derive(Debug, Clone, Copy)]
pub struct Withheld;

/// Serves the router until `stop` is cancelled, then closes the listener and all connections.
pub async fn serve(listener: TcpListener, router: Router, stop: CancellationToken) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve_connection(stream, router.clone()));
                }
                Err(error) => {
                    log::warn!("accept failed: {error}");
                    sleep(ACCEPT_RETRY_PAUSE).await;
                }
            },
            Some(_) = connections.join_next() => {}
            () = stop.cancelled() => return,
        }
    }
}

async fn serve_connection(stream: TcpStream, router: Router) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("set_nodelay failed: {error}");
    }
    let router = TowerToHyperService::new(router);
    let service = service_fn(move |request: hyper::Request<Incoming>| {
        let response = router.call(request);
        async move {
            let response = response.await.unwrap_or_else(|never| match never {});
            match response.extensions().get::<Withheld>() {
                Some(Withheld) => Err(io::Error::other("the response is withheld")),
                None => Ok(response),
            }
        }
    });
    let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(error) = served.await {
        log::debug!("connection ended: {error}");
    }
}

/// Builds an error response in the format of section 5 of `docs/design.md`. It states that the
/// request was not run.
pub fn error_response(status: StatusCode, code: &str, message: &str) -> Response {
    let error = json!({
        "message": message,
        "type": "target_error",
        "code": code,
        "param": null,
        "run": "not_run",
    });
    (status, Json(json!({ "error": error }))).into_response()
}

/// Returns the parsed value of a header, or `None` if it is absent or invalid.
pub fn parse_header<T>(headers: &HeaderMap, name: &str) -> Option<T>
where
    T: FromStr,
{
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Returns the current time in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
