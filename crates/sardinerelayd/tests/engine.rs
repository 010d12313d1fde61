//! Answers of engines that misbehave, as the daemon's client of engines takes them.

use {
    bytes::Bytes,
    http::HeaderValue,
    rstest::rstest,
    sardinerelay::id::Generation,
    sardinerelayd::engine::{Client, Error, StartRequest},
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::{TcpListener, TcpStream},
    },
};

const WAIT: Duration = Duration::from_secs(2);
const OWN: Generation = Generation::from_u128(1);
const OTHER: Generation = Generation::from_u128(2);
/// Body of an engine's answer that says that a request did not run.
const REFUSAL: &str = r#"{"error":{"message":"full","code":"full","run":"not_run"}}"#;

/// Accepts a connection and waits for a request on it.
async fn accept_request(listener: &TcpListener) -> TcpStream {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut request = [0; 1024];
    let received = stream.read(&mut request).await.expect("a request");
    assert_ne!(received, 0);
    stream
}

/// Starts a generation at an engine and returns why there is no stream.
async fn start_error(address: SocketAddr) -> Error {
    let start = StartRequest {
        address,
        path: "/v1/completions",
        generation: OWN,
        request_id: HeaderValue::from_static("r"),
        priority: 0,
        body: Bytes::from_static(b"{}"),
    };
    let started = Client::new().start(&start, WAIT).await;
    started.expect_err("an error")
}

/// Guards against a generation that runs twice: an engine sends its refusal of another generation once more,
/// and the refusal is taken for that of the one that it has just started.
#[rstest]
#[case::own(Some(OWN), true)]
#[case::of_another(Some(OTHER), false)]
#[case::unnamed(None, true)]
#[tokio::test]
async fn a_refusal_counts_only_for_its_generation(
    #[case] named: Option<Generation>,
    #[case] is_not_run: bool,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let header = named.map_or(String::new(), |named| format!("x-generation: {named}\r\n"));
    tokio::spawn(async move {
        let mut stream = accept_request(&listener).await;
        let answer = format!(
            "HTTP/1.1 503 Service Unavailable\r\n{header}Content-Length: {}\r\n\r\n{REFUSAL}",
            REFUSAL.len()
        );
        stream.write_all(answer.as_bytes()).await.expect("a write");
        // The client closes the connection.
        let _ = stream.read(&mut [0]).await;
    });
    let error = start_error(address).await;
    assert_eq!(error.is_not_run(), is_not_run, "{error}");
}

/// Guards against an answer with the status of no answer that counts as a refusal, or as a stream.
#[rstest]
#[tokio::test]
async fn an_answer_without_a_valid_status_leaves_the_outcome_unknown(
    #[values(
        "000 Nothing",
        "099 Low",
        "600 High",
        "999 High",
        "101 Switching Protocols",
        "100 Continue\r\n\r\nHTTP/1.1 100 Continue",
        "2000 Long",
        "20"
    )]
    status: &'static str,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let mut stream = accept_request(&listener).await;
        let head = format!("HTTP/1.1 {status}\r\nx-generation: {OWN}\r\n");
        let answer = match status {
            "20" => "HTTP/1.1 20".to_owned(),
            "101 Switching Protocols" => format!("{head}\r\n{REFUSAL}"),
            status if status.starts_with("100") => format!("{head}\r\n"),
            _ => format!("{head}Content-Length: {}\r\n\r\n{REFUSAL}", REFUSAL.len()),
        };
        // Ends the connection too.
        stream.write_all(answer.as_bytes()).await.expect("a write");
    });
    let error = start_error(address).await;
    assert!(!error.is_not_run(), "{error}");
}
