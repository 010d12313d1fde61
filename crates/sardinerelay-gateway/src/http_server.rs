//! A minimal HTTP server for the readiness check, the metrics and the operators' API.

use {
    axum::body::Body,
    http::{Request, Response, StatusCode},
    hyper::{body::Incoming, server::conn::http1},
    hyper_util::rt::TokioTimer,
    log::{debug, warn},
    sardinerelayd::{connection, panics, stop::Drain},
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpListener, time::sleep},
};

/// Time for the head of a request to arrive. Idle connections are closed after the same time.
const HEADER_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after which a connection is closed whose peer reads nothing although there is something to read.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(20);
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
    listen_until_closed(address, serve, Drain::default()).await
}

/// The same, with connections that [`Drain::close`] closes.
///
/// # Errors
///
/// Returns the error if the address can't be bound.
pub async fn listen_until_closed<Serve, Responding>(
    address: SocketAddr,
    serve: Serve,
    drain: Drain,
) -> io::Result<()>
where
    Serve: Fn(Request<Incoming>) -> Responding + Send + Sync + 'static,
    Responding: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    panics::spawn_essential("accept", accept(listener, Arc::new(serve), drain));
    Ok(())
}

/// Accepts connections, each served by a task of its own, until they have to close.
async fn accept<Serve, Responding>(listener: TcpListener, serve: Arc<Serve>, drain: Drain)
where
    Serve: Fn(Request<Incoming>) -> Responding + Send + Sync + 'static,
    Responding: Future<Output = Response<Body>> + Send + 'static,
{
    let closing = drain.closing();
    tokio::pin!(closing);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut closing => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!("accepting a connection failed: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let (serve, drain) = (Arc::clone(&serve), drain.clone());
        tokio::spawn(async move {
            let mut builder = http1::Builder::new();
            builder
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT);
            let respond = move |request| serve(request);
            let limits = (drain, UNREAD_TIMEOUT);
            if let Err(error) = connection::serve(stream, &builder, respond, limits).await {
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
