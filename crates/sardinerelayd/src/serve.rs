//! HTTP server for callers.

use {
    crate::config::Config,
    axum::Router,
    hyper::{body::Incoming, server::conn::http1},
    hyper_util::{
        rt::{TokioIo, TokioTimer},
        server::graceful::GracefulShutdown,
        service::TowerToHyperService,
    },
    log::{debug, warn},
    std::{future::Future, time::Duration},
    tokio::{
        net::TcpListener,
        time::{sleep, timeout},
    },
    tower::ServiceExt,
};

/// Request heads are read up to this multiple of the limit, so that they can be refused with an
/// error object of the API. Larger ones get the bare response of the HTTP library.
const MAX_HEAD_READ_FACTOR: usize = 8;

/// Pause after a failed accept, which happens when file descriptors run out.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Time for idle connections to close after the last response.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves the router until `stop` completes, then closes the connections.
pub async fn run<F>(listener: TcpListener, router: Router, config: &Config, stop: F)
where
    F: Future<Output = ()>,
{
    let graceful = GracefulShutdown::new();
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
        // Responses contain small tokens, which Nagle's algorithm would delay.
        let _ = stream.set_nodelay(true);
        let router = router
            .clone()
            .map_request(|request: hyper::Request<Incoming>| request.map(axum::body::Body::new));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(config.header_timeout)
            .max_buf_size(config.max_headers * MAX_HEAD_READ_FACTOR)
            .serve_connection(TokioIo::new(stream), TowerToHyperService::new(router));
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                debug!("a connection of a caller failed: {error}");
            }
        });
    }
    drop(listener);
    if timeout(CLOSE_TIMEOUT, graceful.shutdown()).await.is_err() {
        debug!("some connections did not close within {CLOSE_TIMEOUT:?}");
    }
}
