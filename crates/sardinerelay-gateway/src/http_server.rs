//! A minimal HTTP server for the readiness check, the metrics and the operators' API.

use {
    axum::body::Body,
    http::{Request, Response, StatusCode},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    log::{debug, warn},
    std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpListener, time::sleep},
};

/// Time for the head of a request to arrive. Idle connections are closed after the same time.
const HEADER_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause after a failed accept, which happens when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Listens on `address` and spawns a task that answers each request with `serve` until the process
/// ends.
///
/// # Errors
///
/// Returns the error if the address can't be bound.
pub async fn listen<Serve, Responding>(address: SocketAddr, serve: Serve) -> io::Result<()>
where
    Serve: Fn(Request<Incoming>) -> Responding + Send + Sync + 'static,
    Responding: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    tokio::spawn(accept(listener, Arc::new(serve)));
    Ok(())
}

/// Accepts connections, each served by a task of its own. Never returns.
async fn accept<Serve, Responding>(listener: TcpListener, serve: Arc<Serve>)
where
    Serve: Fn(Request<Incoming>) -> Responding + Send + Sync + 'static,
    Responding: Future<Output = Response<Body>> + Send + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!("accepting a connection failed: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let serve = Arc::clone(&serve);
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let response = serve(request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                debug!("a connection ended: {error}");
            }
        });
    }
}

/// Returns a response with this status and body, without a content type.
pub fn text<Text>(status: StatusCode, text: Text) -> Response<Body>
where
    Text: Into<Body>,
{
    let mut response = Response::new(text.into());
    *response.status_mut() = status;
    response
}
