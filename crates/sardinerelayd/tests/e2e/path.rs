//! Requests from a caller to an engine: answers, errors, limits of requests, and a graceful stop.

use {
    crate::{
        client::{self, Event, assert_complete, expected_token},
        harness::{Cluster, api_key, free_address, start_engine, start_standin, test_sheet},
    },
    http::Method,
    rstest::rstest,
    serde_json::{Value, json},
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::TcpStream,
        time::timeout,
    },
};

/// Starts three hosts and two engines. The engines end when they are dropped.
async fn start_cluster() -> (Cluster, Vec<crate::harness::Process>) {
    let engines = vec![start_engine("engine-0", &[]), start_engine("engine-1", &[])];
    let addresses: Vec<_> = engines.iter().map(|engine| engine.address).collect();
    let mut cluster = Cluster::new(3, 3, &["--bootstrap"]);
    cluster.start();
    cluster.put_in_force(&test_sheet(1, &addresses, &[])).await;
    (cluster, engines)
}

/// Guards against a host that does not serve a sheet which another one accepted.
#[tokio::test]
async fn every_host_serves_the_accepted_sheet() {
    let (cluster, _engines) = start_cluster().await;
    for position in 0..3 {
        let prompt = format!("plan {position}");
        let mut stream = client::open_stream(
            cluster.listen_address(position),
            &api_key("brakeline"),
            &prompt,
            20,
            &[],
        )
        .await
        .expect("a stream");
        assert_complete(&stream.read_to_end().await, &prompt, 0, 20);
    }
}

/// Guards against requests that are lost because the line about them can't be written: the log's disk is full.
#[tokio::test]
async fn hosts_whose_log_can_not_be_written_serve() {
    let engine = start_engine("engine-0", &[]);
    let mut cluster = Cluster::new(3, 3, &["--bootstrap"]);
    cluster.start_with_full_log();
    cluster
        .put_in_force(&test_sheet(1, &[engine.address], &[]))
        .await;
    for position in 0..3 {
        let address = cluster.listen_address(position);
        let stream = client::open_stream(address, &api_key("brakeline"), "plan", 5, &[]).await;
        let mut stream = stream.expect("a stream");
        assert_complete(&stream.read_to_end().await, "plan", 0, 5);
    }
}

/// Guards against an answer without streaming that lacks its text, usage or finish reason.
#[tokio::test]
async fn a_chat_answer_without_streaming_has_text_usage_and_finish_reason() {
    let (cluster, _engines) = start_cluster().await;
    let authorization = format!("Bearer {}", api_key("harakeke"));
    let body = json!({
        "model": "bend-planner",
        "messages": [{ "role": "user", "content": "Does die 12 fit 40 t?" }],
        "metadata": { "standin_tokens": 3 },
    });
    let headers = [("authorization", authorization.as_str())];
    let (status, answer) = client::send(
        cluster.listen_address(1),
        Method::POST,
        "/v1/chat/completions",
        &headers,
        &body.to_string(),
    )
    .await;
    assert_eq!(status, 200, "{answer}");
    let answer: Value = serde_json::from_str(&answer).expect("the answer is JSON");
    assert_eq!(answer["object"], "chat.completion");
    assert_eq!(answer["choices"][0]["finish_reason"], "stop");
    assert_eq!(answer["usage"]["completion_tokens"], 3);
    let text = answer["choices"][0]["message"]["content"]
        .as_str()
        .expect("text");
    assert_eq!(text.split_whitespace().count(), 3);
}

/// Guards against malformed input that gets an untyped error or ends the process.
#[rstest]
#[case::wrong_model("brakeline", r#"{"model":"none","prompt":"a"}"#.to_owned(), 404, "unknown_model")]
#[case::wrong_adapter("brakeline", r#"{"model":"bend-planner:none","prompt":"a"}"#.to_owned(), 404, "unknown_model")]
#[case::unknown_organisation("nobody", r#"{"model":"bend-planner","prompt":"a"}"#.to_owned(), 401, "unauthorized")]
#[case::malformed("brakeline", "{".to_owned(), 400, "invalid_request")]
#[case::not_text("brakeline", "\u{0}\u{1}".to_owned(), 400, "invalid_request")]
#[case::no_prompt("brakeline", r#"{"model":"bend-planner"}"#.to_owned(), 400, "invalid_request")]
#[case::body_over_the_limit("brakeline", format!(r#"{{"model":"bend-planner","prompt":"{}"}}"#, "a".repeat(1 << 20)), 413, "body_too_large")]
#[tokio::test]
async fn bad_requests_get_a_typed_error(
    #[case] organisation: &str,
    #[case] body: String,
    #[case] status: u16,
    #[case] code: &str,
) {
    let (cluster, _engines) = start_cluster().await;
    let authorization = format!("Bearer {}", api_key(organisation));
    let headers = [("authorization", authorization.as_str())];
    let (got, answer) = client::send(
        cluster.listen_address(0),
        Method::POST,
        "/v1/completions",
        &headers,
        &body,
    )
    .await;
    let answer: Value = serde_json::from_str(&answer).expect("the error is JSON");
    assert_eq!(
        (got, answer["error"]["code"].as_str()),
        (status, Some(code))
    );
    assert_eq!(answer["error"]["run"], "not_run");
    assert_eq!(
        client::get(cluster.listen_address(0), "/livez").await.0,
        200
    );
}

/// Guards against request heads that are buffered without limit, and against an untyped refusal.
/// A head over the size that is read gets a bare status.
#[rstest]
#[case::over_the_limit(20 << 10, Some("headers_too_large"))]
#[case::over_what_is_read(300 << 10, None)]
#[tokio::test]
async fn a_request_head_over_the_limit_is_refused(
    #[case] bytes: usize,
    #[case] code: Option<&str>,
) {
    let (cluster, _engines) = start_cluster().await;
    let long = "a".repeat(bytes);
    let headers = [("x-long", long.as_str())];
    let (status, text) = client::send(
        cluster.listen_address(0),
        Method::GET,
        "/v1/models",
        &headers,
        "",
    )
    .await;
    assert_eq!(status, 431);
    let answer: Value = serde_json::from_str(&text).unwrap_or_default();
    assert_eq!(answer["error"]["code"].as_str(), code, "{text}");
    assert_eq!(
        client::get(cluster.listen_address(0), "/livez").await.0,
        200
    );
}

/// Guards against a graceful stop that interrupts a stream (G6).
#[tokio::test]
async fn sigterm_lets_the_open_stream_finish_and_exits_with_0() {
    let (mut cluster, _engines) = start_cluster().await;
    let prompt = "a long plan";
    let mut stream = client::open_stream(
        cluster.listen_address(0),
        &api_key("brakeline"),
        prompt,
        400,
        &[],
    )
    .await
    .expect("a stream");
    assert_eq!(stream.next().await, Event::Token(expected_token(prompt, 0)));
    cluster.process(0).signal("TERM");
    assert_complete(&stream.read_to_end().await, prompt, 1, 400);
    let process = cluster.hosts[0]
        .process
        .as_mut()
        .expect("the process was started");
    assert_eq!(process.wait().code(), Some(0));
}

/// Guards against requests that are refused between a sheet that names an engine and the engine's
/// first load report, which a slow link delays here.
#[tokio::test]
async fn a_request_waits_for_the_first_load_report() {
    let engine = start_engine("engine-0", &[]);
    let slow = free_address();
    let route = format!("{slow}={},name=slow", engine.address);
    let proxy = start_standin(&["proxy", "--route", &route]);
    let delay = json!({ "delay_ms": 100 }).to_string();
    let headers = [("content-type", "application/json")];
    let (status, text) =
        client::send(proxy.address, Method::PUT, "/v1/faults", &headers, &delay).await;
    assert!((200..300).contains(&status), "{status} {text}");
    let mut cluster = Cluster::new(1, 1, &["--bootstrap"]);
    cluster.start();
    cluster.put_in_force(&test_sheet(1, &[slow], &[])).await;
    let mut stream = client::open_stream(
        cluster.listen_address(0),
        &api_key("brakeline"),
        "first",
        3,
        &[],
    )
    .await
    .expect("a stream");
    assert_complete(&stream.read_to_end().await, "first", 0, 3);
}

/// Guards against a host that waits for a body whose declared length is over the limit.
#[tokio::test]
async fn a_declared_length_over_the_limit_is_refused_at_once() {
    let (cluster, _engines) = start_cluster().await;
    let mut stream = TcpStream::connect(cluster.listen_address(0))
        .await
        .expect("a connection");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: relay\r\nauthorization: Bearer {}\r\n\
         content-type: application/json\r\ncontent-length: 99999999999\r\n\r\n",
        api_key("brakeline")
    );
    stream.write_all(head.as_bytes()).await.expect("a write");
    let mut answer = [0; 12];
    let read = timeout(Duration::from_secs(4), stream.read_exact(&mut answer)).await;
    read.expect("an answer before the timeout")
        .expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 413");
}
