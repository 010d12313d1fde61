//! Tests of the stand-ins over real sockets.

mod batch;
mod engine;
mod hosts;
mod program;
mod proxy;
mod service;

use {
    axum::{
        body::Body,
        http::{Request, StatusCode},
    },
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::{body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    serde::de::DeserializeOwned,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        time::{sleep, timeout},
    },
};

/// Upper bound for events that must happen. It is generous because the machine may be busy.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for which a test observes that something does not happen.
const QUIET_PERIOD: Duration = Duration::from_millis(300);

async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    (listener, address)
}

/// Sends a request over a new connection.
async fn send(
    address: SocketAddr,
    request: Request<Body>,
) -> Result<hyper::Response<Incoming>, ()> {
    let stream = TcpStream::connect(address).await.map_err(drop)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(drop)?;
    tokio::spawn(connection);
    sender.send_request(request).await.map_err(drop)
}

fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Request<Body> {
    let mut builder = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "standin")
        .header("content-type", "application/json");
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(Body::from(body.to_owned())).expect("request")
}

async fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> (StatusCode, Bytes) {
    let response = send(address, request(method, path, &[], body))
        .await
        .expect("answer");
    let status = response.status();
    let body = response.into_body().collect().await.expect("body");
    (status, body.to_bytes())
}

async fn get<T>(address: SocketAddr, path: &str) -> T
where
    T: DeserializeOwned,
{
    let (_, body) = call(address, "GET", path, "").await;
    serde_json::from_slice(&body).unwrap_or_else(|error| panic!("{path}: {error}: {body:?}"))
}

/// Polls a condition until it is true.
async fn eventually<F>(mut check: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    let polling = async {
        while !check().await {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(TEST_TIMEOUT, polling)
        .await
        .expect("the condition is true in time");
}

/// Returns the next bytes of a body, or `None` if there are none within [`QUIET_PERIOD`].
async fn next_bytes(body: &mut Incoming) -> Option<Bytes> {
    let frame = timeout(QUIET_PERIOD, body.frame()).await.ok()??;
    frame.ok()?.into_data().ok()
}

/// Reads a body to its end as text. Returns false if the connection failed before the end.
async fn read_to_end(mut body: Incoming) -> (String, bool) {
    let mut text = String::new();
    while let Some(frame) = timeout(TEST_TIMEOUT, body.frame()).await.expect("progress") {
        match frame {
            Ok(frame) => text.push_str(&String::from_utf8_lossy(
                &frame.into_data().unwrap_or_default(),
            )),
            Err(_) => return (text, false),
        }
    }
    (text, true)
}
