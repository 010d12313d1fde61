//! Small listeners: readiness, metrics and the operator's API.

use {
    axum::body::Body,
    http::{Request, Response, StatusCode},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    log::{debug, warn},
    std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpListener, time::sleep},
};

/// Time in which a head has to arrive; idle connections are closed after it too.
const HEAD: Duration = Duration::from_secs(20);
/// Time to wait after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Listens on `address` and answers each request with `serve`, for ever.
///
/// # Errors
///
/// The error of binding the address.
pub async fn listen<Serve, Served>(address: SocketAddr, serve: Serve) -> io::Result<()>
where
    Serve: Fn(Request<Incoming>) -> Served + Send + Sync + 'static,
    Served: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    tokio::spawn(accept(listener, Arc::new(serve)));
    Ok(())
}

async fn accept<Serve, Served>(listener: TcpListener, serve: Arc<Serve>)
where
    Serve: Fn(Request<Incoming>) -> Served + Send + Sync + 'static,
    Served: Future<Output = Response<Body>> + Send + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!("a connection was not accepted: {error}");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let serve = Arc::clone(&serve);
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let answer = serve(request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                debug!("a connection ended: {error}");
            }
        });
    }
}

/// An answer with a text.
pub fn text<Text>(status: StatusCode, text: Text) -> Response<Body>
where
    Text: Into<Body>,
{
    let mut response = Response::new(text.into());
    *response.status_mut() = status;
    response
}
