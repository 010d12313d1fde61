use {
    super::{QUIET_PERIOD, TEST_TIMEOUT, bind, call, eventually, get},
    axum::http::StatusCode,
    rstest::rstest,
    sardinerelay_standin::proxy::{Spec, Status, serve},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
    tokio_util::sync::CancellationToken,
};

/// Starts a server that echoes every byte.
async fn echo() -> SocketAddr {
    let (listener, address) = bind().await;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = stream.split();
                let _ = tokio::io::copy(&mut from, &mut to).await;
            });
        }
    });
    address
}

/// Starts a proxy with the routes `a` and `b` in group `zone`, and `c` in no group.
async fn start() -> (SocketAddr, [SocketAddr; 3]) {
    let target = echo().await;
    let (listener, control) = bind().await;
    let specs = [("a", ",group=zone"), ("b", ",group=zone"), ("c", "")].map(|(name, group)| {
        let text = format!("127.0.0.1:0={target},name={name}{group}");
        text.parse::<Spec>().expect("route")
    });
    tokio::spawn(serve(specs.to_vec(), 1, listener, CancellationToken::new()));
    let routes = get::<Vec<Status>>(control, "/v1/routes").await;
    (control, [0, 1, 2].map(|route| routes[route].listen))
}

async fn fault(control: SocketAddr, name: &str, settings: &str) {
    let (status, body) = call(control, "PUT", &format!("/v1/faults/{name}"), settings).await;
    assert_eq!(status, StatusCode::NO_CONTENT, "{body:?}");
}

async fn heal(control: SocketAddr) {
    assert_eq!(
        call(control, "DELETE", "/v1/faults", "").await.0,
        StatusCode::NO_CONTENT
    );
}

async fn connect(route: SocketAddr) -> TcpStream {
    TcpStream::connect(route).await.expect("connection")
}

/// Sends a byte and waits for its echo. Returns false on an error or after `wait`.
async fn echoes(stream: &mut TcpStream, wait: Duration) -> bool {
    let mut byte = [0];
    if stream.write_all(b"x").await.is_err() {
        return false;
    }
    matches!(timeout(wait, stream.read_exact(&mut byte)).await, Ok(Ok(_)))
}

/// Whether the stream neither delivers a byte nor ends within [`QUIET_PERIOD`].
async fn is_quiet(stream: &mut TcpStream) -> bool {
    timeout(QUIET_PERIOD, stream.read(&mut [0])).await.is_err()
}

/// Guards against a change of a route that fails after 5 s because another change has undone it in the meantime.
#[tokio::test]
async fn changes_that_overlap_are_carried_out() {
    let (control, [a, ..]) = start().await;
    for _ in 0..50 {
        tokio::join!(
            fault(control, "a", r#"{"mode":"cut"}"#),
            heal(control),
            fault(control, "zone", r#"{"mode":"cut"}"#),
            heal(control),
        );
    }
    heal(control).await;
    assert!(echoes(&mut connect(a).await, TEST_TIMEOUT).await);
}

/// Guards against a cut that spares open connections, affects routes outside the group, or leaves
/// the address unusable after it is cleared.
#[tokio::test]
async fn cut_resets_and_refuses_the_group() {
    let (control, [a, b, c]) = start().await;
    let mut streams = [connect(a).await, connect(b).await, connect(c).await];
    for stream in &mut streams {
        assert!(echoes(stream, TEST_TIMEOUT).await);
    }
    fault(control, "zone", r#"{"mode":"cut"}"#).await;
    for stream in &mut streams[..2] {
        let ended = timeout(TEST_TIMEOUT, stream.read(&mut [0]))
            .await
            .expect("end");
        assert!(ended.is_err(), "must be a reset, not an end of stream");
    }
    assert!(echoes(&mut streams[2], TEST_TIMEOUT).await);
    for route in [a, b] {
        assert!(TcpStream::connect(route).await.is_err());
    }
    heal(control).await;
    for route in [a, b] {
        assert!(echoes(&mut connect(route).await, TEST_TIMEOUT).await);
    }
}

/// Guards against a cut that resets the caller's connection but leaves the target's open.
#[tokio::test]
async fn cut_resets_the_target_side() {
    let (listener, target) = bind().await;
    let (control_listener, control) = bind().await;
    let spec: Spec = format!("127.0.0.1:0={target},name=a")
        .parse()
        .expect("route");
    tokio::spawn(serve(
        vec![spec],
        1,
        control_listener,
        CancellationToken::new(),
    ));
    let route = get::<Vec<Status>>(control, "/v1/routes").await[0].listen;
    let _caller = connect(route).await;
    let (mut server, _) = listener.accept().await.expect("connection");
    fault(control, "a", r#"{"mode":"cut"}"#).await;
    let ended = timeout(TEST_TIMEOUT, server.read(&mut [0]))
        .await
        .expect("end");
    assert!(ended.is_err(), "must be a reset, not an end of stream");
}

/// Guards against a silent fault that closes the connection, ends when the fault is cleared,
/// affects new connections, or prevents a later cut.
#[tokio::test]
async fn silent_spares_new_connections() {
    let (control, [a, ..]) = start().await;
    let mut old = connect(a).await;
    assert!(echoes(&mut old, TEST_TIMEOUT).await);
    fault(control, "a", r#"{"mode":"silent"}"#).await;
    assert!(echoes(&mut connect(a).await, TEST_TIMEOUT).await);
    assert!(!echoes(&mut old, QUIET_PERIOD).await);
    heal(control).await;
    assert!(is_quiet(&mut old).await);
    fault(control, "a", r#"{"mode":"cut"}"#).await;
    let ended = timeout(TEST_TIMEOUT, old.read(&mut [0]))
        .await
        .expect("end");
    assert!(ended.is_err(), "must be a reset, not an end of stream");
}

/// Guards against a route that cannot be moved to the new port of a restarted target.
#[tokio::test]
async fn target_can_be_replaced() {
    let (listener, unused) = bind().await;
    drop(listener);
    let (control_listener, control) = bind().await;
    let spec: Spec = format!("127.0.0.1:0={unused},name=a")
        .parse()
        .expect("route");
    tokio::spawn(serve(
        vec![spec],
        1,
        control_listener,
        CancellationToken::new(),
    ));
    let route = get::<Vec<Status>>(control, "/v1/routes").await[0].listen;
    assert!(!echoes(&mut connect(route).await, TEST_TIMEOUT).await);
    let change = format!(r#"{{"target":"{}"}}"#, echo().await);
    let (status, _) = call(control, "PUT", "/v1/routes/a", &change).await;
    assert_eq!(status, StatusCode::NO_CONTENT);
    assert!(echoes(&mut connect(route).await, TEST_TIMEOUT).await);
}

/// Guards against a black hole that refuses, closes or forwards, or that loses data which a
/// recovered network would have retransmitted.
#[tokio::test]
async fn black_hole_holds_and_heals() {
    let (control, [a, ..]) = start().await;
    let mut old = connect(a).await;
    assert!(echoes(&mut old, TEST_TIMEOUT).await);
    fault(control, "a", r#"{"mode":"black_hole"}"#).await;
    let mut new = connect(a).await;
    assert!(!echoes(&mut old, QUIET_PERIOD).await);
    assert!(!echoes(&mut new, QUIET_PERIOD).await);
    heal(control).await;
    for stream in [&mut old, &mut new] {
        let held = timeout(TEST_TIMEOUT, stream.read_exact(&mut [0])).await;
        assert!(matches!(held, Ok(Ok(_))), "the held byte must arrive");
    }
}

/// Guards against a half-open connection that carries both directions or the wrong one.
#[rstest]
#[case("up", 1, 0)]
#[case("down", 0, 0)]
#[tokio::test]
async fn half_open_carries_one_direction(
    #[case] carries: &str,
    #[case] up: u64,
    #[case] down: u64,
) {
    let (control, [a, ..]) = start().await;
    let mut stream = connect(a).await;
    assert!(echoes(&mut stream, TEST_TIMEOUT).await);
    let settings = format!(r#"{{"mode":"half_open","carries":"{carries}"}}"#);
    fault(control, "a", &settings).await;
    assert!(!echoes(&mut stream, QUIET_PERIOD).await);
    let route = get::<Vec<Status>>(control, "/v1/routes").await.remove(0);
    assert_eq!((route.bytes_up, route.bytes_down), (1 + up, 1 + down));
}

/// Guards against a delay or a bandwidth limit without effect. Only lower bounds are checked, so
/// that a busy machine cannot fail the test.
#[tokio::test]
async fn delay_and_bandwidth_slow_the_link() {
    let (control, [a, ..]) = start().await;
    let mut stream = connect(a).await;
    fault(control, "a", r#"{"delay_ms":100,"jitter_ms":20}"#).await;
    let start = Instant::now();
    assert!(echoes(&mut stream, TEST_TIMEOUT).await);
    assert!(
        start.elapsed() >= Duration::from_millis(200),
        "the delay must apply in each direction"
    );
    fault(control, "a", r#"{"bytes_per_second":20000}"#).await;
    let sent = vec![7; 10_000];
    let start = Instant::now();
    stream.write_all(&sent).await.expect("write");
    let mut received = vec![0; 10_000];
    timeout(TEST_TIMEOUT, stream.read_exact(&mut received))
        .await
        .expect("bytes")
        .expect("read");
    assert_eq!(received, sent);
    assert!(start.elapsed() >= Duration::from_millis(500));
}

/// Guards against an end of stream that is not forwarded, and against a count of open connections
/// that never falls.
#[tokio::test]
async fn end_of_stream_passes() {
    let (control, [a, ..]) = start().await;
    let mut stream = connect(a).await;
    stream.write_all(b"abc").await.expect("write");
    stream.shutdown().await.expect("shutdown");
    let mut text = String::new();
    timeout(TEST_TIMEOUT, stream.read_to_string(&mut text))
        .await
        .expect("end")
        .expect("read");
    assert_eq!(text, "abc");
    eventually(|| async { get::<Vec<Status>>(control, "/v1/routes").await[0].open == 0 }).await;
}
