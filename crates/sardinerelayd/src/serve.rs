//! HTTP server for callers.

use {
    crate::{
        config::Config,
        connection,
        stop::{Drain, Unwritten},
    },
    axum::Router,
    hyper::{body::Incoming, server::conn::http1},
    hyper_util::{rt::TokioTimer, service::TowerToHyperService},
    log::{debug, warn},
    std::{
        future::Future,
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, time::sleep},
    tower::ServiceExt,
};

/// Request heads are read up to this multiple of the limit, so that they can be refused with an
/// error object of the API. Larger ones get the bare response of the HTTP library.
const MAX_HEAD_READ_FACTOR: usize = 8;

/// Pause after a failed accept, which happens when file descriptors run out.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Shortest time for connections to close after the last response.
const MIN_CLOSE_TIME: Duration = Duration::from_secs(5);

/// Serves the router until `stop` completes, then closes the connections. Callers have until the deadline of the
/// stop to read their answers.
///
/// # Errors
///
/// Returns the number of connections whose answers were cut, because their callers did not read them.
pub async fn run<F>(
    listener: TcpListener,
    router: Router,
    (config, drain): (&Config, &Drain),
    stop: F,
) -> Result<(), Unwritten>
where
    F: Future<Output = ()>,
{
    tokio::pin!(stop);
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    warn!("accepting a connection failed: {error}");
                    sleep(ACCEPT_RETRY_PAUSE).await;
                    continue;
                }
            },
            () = &mut stop => break,
        };
        let router = router
            .clone()
            .map_request(|request: hyper::Request<Incoming>| request.map(axum::body::Body::new));
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(config.header_timeout)
            .max_buf_size(config.max_headers * MAX_HEAD_READ_FACTOR);
        let service = TowerToHyperService::new(router);
        let limits = (drain.clone(), config.slow_reader);
        tokio::spawn(async move {
            let served = connection::serve_with(stream, &builder, service, limits).await;
            if let Err(error) = served {
                debug!("a connection of a caller failed: {error}");
            }
        });
    }
    drop(listener);
    let remaining = drain.remaining().unwrap_or_default();
    let deadline = Instant::now() + remaining.max(MIN_CLOSE_TIME);
    drain.close(deadline).await
}
