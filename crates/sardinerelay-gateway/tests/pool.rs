//! Which connections the pool uses again, against a target that numbers its connections.

use {
    bytes::Bytes,
    http::{Request, Response},
    http_body_util::{BodyExt as _, Full},
    rstest::rstest,
    sardinerelay_gateway::{
        observations::Instance,
        pool::{Cause, Outgoing, Pool, Purpose, SendError},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::{TcpListener, TcpStream},
    },
};

const MAX_IDLE: Duration = Duration::from_secs(10);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

fn attempt(id: &str) -> Purpose {
    Purpose::Attempt(id.into())
}

/// Starts a target whose answers have the number of their connection as the body and this header line.
async fn start_target(header: &'static str) -> Instance {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        for number in 0.. {
            let (stream, _) = listener.accept().await.expect("a connection");
            tokio::spawn(answer_all(stream, number, header));
        }
    });
    instance(address)
}

async fn answer_all(mut stream: TcpStream, number: u32, header: &'static str) {
    let mut request = [0; 1024];
    // Each request is short and sent only after the answer to the one before.
    while let Ok(1..) = stream.read(&mut request).await {
        let answer = format!("HTTP/1.1 200 OK\r\n{header}Content-Length: 1\r\n\r\n{number}");
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn instance(address: SocketAddr) -> Instance {
    Instance {
        target: "i-0".into(),
        incarnation: 1,
        service: "shop".into(),
        address,
        zone: "a".into(),
        slots: 1,
        leaving: false,
        cold_ms: 0,
        build: "v1".into(),
    }
}

fn request() -> Request<Full<Bytes>> {
    Request::new(Full::default())
}

/// Sends a request and returns the number of the connection that it used.
async fn exchange(pool: &Pool, target: &Instance, purpose: &Purpose) -> String {
    let outgoing = Outgoing {
        request: request(),
        purpose: purpose.clone(),
        max_idle: MAX_IDLE,
    };
    let (exchange, response) = pool.send(target, outgoing).await.expect("a response");
    let number = body(response).await;
    pool.put_back(exchange);
    number
}

async fn body(response: Response<hyper::body::Incoming>) -> String {
    let bytes = response
        .into_body()
        .collect()
        .await
        .expect("a body")
        .to_bytes();
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Guards against a late second answer that is taken for the answer to the next request, since nothing in it
/// tells them apart.
#[rstest]
#[case::same_attempt(&[attempt("a"), attempt("a")], "01")]
#[case::other_attempt(&[attempt("a"), attempt("b")], "00")]
#[case::verified_by_another_attempt(&[attempt("a"), attempt("b"), attempt("a")], "000")]
#[case::same_command(&[Purpose::Command("x"), Purpose::Command("x")], "01")]
#[case::other_command(&[Purpose::Command("x"), Purpose::Command("y")], "00")]
#[case::command_and_attempt(&[Purpose::Command("x"), attempt("a"), Purpose::Command("x")], "000")]
#[case::reads(&[Purpose::Read, Purpose::Read], "00")]
#[case::skipped_is_kept(&[attempt("a"), attempt("a"), attempt("a"), attempt("b")], "0122")]
#[tokio::test]
async fn a_connection_carries_no_two_requests_whose_answers_look_alike(
    #[case] purposes: &[Purpose],
    #[case] connections: &str,
) {
    let (pool, target) = (Pool::default(), start_target("").await);
    let mut used = String::new();
    for purpose in purposes {
        used.push_str(&exchange(&pool, &target, purpose).await);
    }
    assert_eq!(used, connections);
}

/// Guards against a late second answer to a caller's attempt that is taken for the answer to a call of the
/// relay.
#[tokio::test]
async fn an_answer_to_the_attempt_before_is_no_answer_to_a_call() {
    let (pool, target) = (Pool::default(), start_target("Names: a\r\n").await);
    exchange(&pool, &target, &attempt("a")).await;
    let call = (request(), Purpose::Command("x"));
    let called = pool.call(&target, call, CALL_TIMEOUT).await;
    assert!(
        matches!(called, Err(SendError::NoResponse(Cause::Repeated))),
        "{called:?}"
    );
}
