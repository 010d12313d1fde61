use {
    super::{
        QUIET_PERIOD, TEST_TIMEOUT, bind, call, eventually, get, next_bytes, read_to_end, request,
        send,
    },
    axum::http::StatusCode,
    hyper::body::Incoming,
    rstest::rstest,
    sardinerelay_standin::{
        cache::{self, Action, BLOCK_TOKENS, Cache},
        engine::{Config, Engine, LoadReport, Outcome, Record},
        orders::{self, Fencing},
    },
    serde_json::{Value, json},
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
};

fn config() -> Config {
    Config {
        step_interval: Duration::from_millis(2),
        report_lag: Duration::ZERO,
        cache: cache::Config {
            capacity_tokens: 4096,
            lag: Duration::ZERO,
            loss_share: 0.0,
        },
        ..Config::default()
    }
}

async fn start(config: Config) -> SocketAddr {
    let (listener, address) = bind().await;
    tokio::spawn(Engine::new(config).run(listener));
    eventually(|| async move { call(address, "GET", "/v1/load", "").await.0 == StatusCode::OK })
        .await;
    address
}

fn body(prompt: &str, tokens: u64) -> String {
    json!({ "model": "bend-planner", "prompt": prompt, "metadata": { "standin_tokens": tokens } })
        .to_string()
}

async fn generate(address: SocketAddr, prompt: &str, tokens: u64) -> hyper::Response<Incoming> {
    send(
        address,
        request("POST", "/v1/completions", &[], &body(prompt, tokens)),
    )
    .await
    .expect("answer")
}

fn generation(response: &hyper::Response<Incoming>) -> String {
    let header = response.headers().get("x-generation").expect("header");
    header.to_str().expect("text").to_owned()
}

fn usage(text: &str) -> Value {
    let (_, after) = text
        .split_once("event: usage\ndata: ")
        .expect("usage event");
    serde_json::from_str(after.lines().next().expect("line")).expect("json")
}

/// Guards against a prefix cache that never hits, or that hits for a different prompt.
#[tokio::test]
async fn repeated_prefix_is_cached() {
    let address = start(config()).await;
    let prompt = "x".repeat(1000);
    let (first, _) = read_to_end(generate(address, &prompt, 3).await.into_body()).await;
    let (second, _) = read_to_end(
        generate(address, &format!("{prompt}y"), 3)
            .await
            .into_body(),
    )
    .await;
    let (other, _) = read_to_end(generate(address, &"z".repeat(1000), 3).await.into_body()).await;
    let cached =
        |text: &str| usage(text)["usage"]["prompt_tokens_details"]["cached_tokens"].as_u64();
    assert_eq!(cached(&first), Some(0));
    assert_eq!(
        cached(&second),
        Some(1000 / 4 / BLOCK_TOKENS * BLOCK_TOKENS)
    );
    assert_eq!(cached(&other), Some(0));
    let events: cache::EventsResponse = get(address, "/v1/cache?since=2").await;
    assert_eq!(events.events.first().map(|event| event.sequence), Some(3));
    assert_eq!(
        events.last,
        events.events.last().map_or(0, |event| event.sequence)
    );
}

/// Guards against a cache that exceeds its capacity, and against events from which a reader that
/// receives all of them cannot rebuild the content.
#[test]
fn cache_is_bounded_and_events_match_it() {
    let now = Instant::now();
    let mut cache = Cache::new(
        cache::Config {
            capacity_tokens: 10 * BLOCK_TOKENS,
            lag: Duration::ZERO,
            loss_share: 0.0,
        },
        1,
    );
    for prompt in 0..50 {
        let blocks = cache::block_hashes("model", &format!("{prompt:-<400}"));
        cache.match_prefix(&blocks);
        cache.insert(&blocks, now);
        assert!(cache.used_tokens() <= 10 * BLOCK_TOKENS);
        assert_eq!(
            cache.match_prefix(&blocks),
            blocks.len() as u64 * BLOCK_TOKENS
        );
    }
    let mut held = BTreeSet::new();
    for event in cache.events_since("i".into(), 0, now).events {
        match event.action {
            Action::Stored => assert!(held.insert(event.block)),
            Action::Evicted => assert!(held.remove(&event.block)),
        }
    }
    assert_eq!(held.len() as u64 * BLOCK_TOKENS, cache.used_tokens());
}

/// Guards against events without lag or gaps, which would hide faults of the router, and against
/// losses that differ between runs with the same seed.
#[test]
fn cache_events_are_late_and_lossy() {
    let now = Instant::now();
    let lag = Duration::from_secs(1);
    let read = || {
        let settings = cache::Config {
            capacity_tokens: 4096,
            lag,
            loss_share: 0.5,
        };
        let mut cache = Cache::new(settings, 7);
        cache.insert(&cache::block_hashes("model", &"x".repeat(6400)), now);
        assert!(cache.events_since("i".into(), 0, now).events.is_empty());
        cache.events_since("i".into(), 0, now + lag)
    };
    let answer = read();
    assert_eq!(answer.last, 100);
    assert!(
        (20..80).contains(&answer.events.len()),
        "{}",
        answer.events.len()
    );
    assert_eq!(answer, read());
}

/// Guards against an engine that accepts an order of an old leader although it checks fencing
/// tokens, or refuses it although it ignores them.
#[rstest]
#[case(Fencing::Checked, StatusCode::CONFLICT)]
#[case(Fencing::Ignored, StatusCode::OK)]
#[tokio::test]
async fn old_fencing_token(#[case] fencing: Fencing, #[case] expected: StatusCode) {
    let address = start(Config {
        fencing,
        ..config()
    })
    .await;
    let order = |term, sequence, role| {
        json!({ "term": term, "sequence": sequence, "action": "role", "role": role }).to_string()
    };
    let (status, _) = call(address, "POST", "/v1/orders", &order(3, 1, "decode")).await;
    assert_eq!(status, StatusCode::OK);
    let (status, _) = call(address, "POST", "/v1/orders", &order(3, 1, "decode")).await;
    assert_eq!(
        status,
        StatusCode::OK,
        "a repeat of the same order must be accepted"
    );
    let (status, _) = call(address, "POST", "/v1/orders", &order(2, 9, "prefill")).await;
    assert_eq!(status, expected);
    let answer: orders::StateResponse = get(address, "/v1/orders").await;
    assert_eq!(
        (answer.term, answer.sequence),
        (3, 1),
        "the highest token must not decrease"
    );
    assert_eq!(answer.role == "decode", fencing == Fencing::Checked);
}

/// Guards against a model that serves requests before it is loaded or after it was unloaded.
#[tokio::test]
async fn loading_takes_time() {
    let address = start(Config {
        load_time: Duration::from_millis(500),
        ..config()
    })
    .await;
    let request_body =
        json!({ "model": "sorter", "prompt": "p", "metadata": { "standin_tokens": 1 } })
            .to_string();
    let order = |sequence, action| {
        json!({ "term": 1, "sequence": sequence, "action": action, "model": "sorter", "version": "2" }).to_string()
    };
    let (status, _) = call(address, "POST", "/v1/orders", &order(1, "load")).await;
    assert_eq!(status, StatusCode::OK);
    let before: orders::StateResponse = get(address, "/v1/orders").await;
    let is_ready = |answer: &orders::StateResponse| {
        let sorter = answer.loaded.iter().find(|loaded| loaded.model == "sorter");
        sorter.expect("listed").ready
    };
    assert!(!is_ready(&before));
    eventually(|| async { is_ready(&get(address, "/v1/orders").await) }).await;
    let (status, _) = call(address, "POST", "/v1/completions", &request_body).await;
    assert_eq!(status, StatusCode::OK);
    call(address, "POST", "/v1/orders", &order(2, "unload")).await;
    let (status, _) = call(address, "POST", "/v1/completions", &request_body).await;
    assert_eq!(status, StatusCode::NOT_FOUND);
}

/// Guards against an interruption of service between two versions of a model on one engine, and
/// against unloading the wrong one.
#[tokio::test]
async fn versions_are_held_beside_each_other() {
    let config = Config {
        load_time: Duration::from_secs(3600),
        models: vec!["sorter".into()],
        ..config()
    };
    let address = start(config).await;
    let order = |sequence, action, version| {
        json!({ "term": 1, "sequence": sequence, "action": action, "model": "sorter", "version": version }).to_string()
    };
    let versions = async || {
        let answer: orders::StateResponse = get(address, "/v1/orders").await;
        let items = answer.loaded.into_iter();
        items
            .map(|item| (item.version.unwrap_or_default().to_string(), item.ready))
            .collect::<Vec<_>>()
    };
    call(address, "POST", "/v1/orders", &order(1, "load", "2")).await;
    let both = [(String::new(), true), ("2".to_owned(), false)];
    assert_eq!(versions().await, both);
    call(address, "POST", "/v1/orders", &order(2, "unload", "")).await;
    assert_eq!(versions().await, both[1..]);
}

/// Guards against new work being accepted during a leave, against running work being lost within
/// the notice period, and against an engine that outlives it.
#[tokio::test]
async fn leave_refuses_then_kills() {
    let address = start(config()).await;
    let running = generate(address, "p", 20).await;
    let endless = generate(address, "p", 50_000).await;
    let notice = json!({ "kill_after_ms": 1500 }).to_string();
    let (status, _) = call(address, "POST", "/v1/leave", &notice).await;
    assert_eq!(status, StatusCode::NO_CONTENT);
    let (status, refusal) = call(address, "POST", "/v1/completions", &body("p", 1)).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    let refusal: Value = serde_json::from_slice(&refusal).expect("json");
    assert_eq!(refusal["error"]["run"], "not_run");
    assert_eq!(refusal["error"]["code"], "leaving");
    let (text, is_complete) = read_to_end(running.into_body()).await;
    assert!(is_complete && text.ends_with("data: [DONE]\n\n"));
    let (_, is_complete) = read_to_end(endless.into_body()).await;
    assert!(!is_complete, "stopping the engine must break the stream");
    eventually(|| async { tokio::net::TcpStream::connect(address).await.is_err() }).await;
}

/// Guards against a silent stream that still delivers data or closes, and against a silence that
/// also affects the new connection that resumes the generation.
#[tokio::test]
async fn silent_stream_resumes_on_a_new_connection() {
    let address = start(config()).await;
    let response = generate(address, "p", 300).await;
    let id = generation(&response);
    let mut old = response.into_body();
    assert!(next_bytes(&mut old).await.is_some());
    call(address, "POST", "/v1/faults", r#"{"silent":true}"#).await;
    while next_bytes(&mut old).await.is_some() {}
    let resume = request(
        "GET",
        &format!("/v1/generations/{id}"),
        &[("last-event-id", &format!("{id}.9"))],
        "",
    );
    let (text, is_complete) =
        read_to_end(send(address, resume).await.expect("answer").into_body()).await;
    assert!(
        is_complete
            && text.starts_with(&format!("id: {id}.10\n"))
            && text.contains(&format!("id: {id}.299\n"))
    );
    let read = timeout(QUIET_PERIOD, http_body_util::BodyExt::frame(&mut old)).await;
    assert!(
        read.is_err(),
        "the old connection must neither deliver data nor end"
    );
}

/// Guards against a stall fault that does not pause decoding, or pauses it forever.
#[tokio::test]
async fn stall_pauses_decoding() {
    let address = start(config()).await;
    let mut stream = generate(address, "p", 20_000).await.into_body();
    assert!(next_bytes(&mut stream).await.is_some());
    call(address, "POST", "/v1/faults", r#"{"stall_ms":1500}"#).await;
    let generated = || async { get::<Vec<Record>>(address, "/v1/record").await[0].generated };
    let before = generated().await;
    sleep(QUIET_PERIOD).await;
    assert_eq!(generated().await, before);
    eventually(|| async { generated().await > before }).await;
}

/// Guards against finished generations that are kept forever, or not long enough to be resumed.
#[tokio::test]
async fn finished_generation_is_dropped_after_retention() {
    let address = start(Config {
        retention: Duration::from_secs(2),
        ..config()
    })
    .await;
    let response = generate(address, "p", 3).await;
    let path = format!("/v1/generations/{}", generation(&response));
    read_to_end(response.into_body()).await;
    let (status, text) = call(address, "GET", &path, "").await;
    assert_eq!(status, StatusCode::OK);
    assert!(text.ends_with(b"data: [DONE]\n\n"));
    eventually(|| async {
        // Unlike reading the record, a resume attaches a reader and restarts the retention time.
        sleep(Duration::from_millis(2500)).await;
        call(address, "GET", &path, "").await.0 == StatusCode::NOT_FOUND
    })
    .await;
}

/// Guards against a usage event without the preemptions of the generation, which occurs if their
/// count is dropped when the generation finishes.
#[tokio::test]
async fn usage_reports_preemptions() {
    let mut config = config();
    config.limits.memory_tokens = 200;
    let address = start(config).await;
    let first = generate(address, "p", 150).await;
    let second = generate(address, "p", 150).await;
    let reported = {
        let (first, second) = tokio::join!(
            read_to_end(first.into_body()),
            read_to_end(second.into_body())
        );
        [first.0, second.0].map(|text| usage(&text)["preemptions"].as_u64().expect("count"))
    };
    let load: LoadReport = get(address, "/v1/load").await;
    assert!(load.preemptions > 0, "the load must cause a preemption");
    assert_eq!(reported.iter().sum::<u64>(), load.preemptions);
}

/// Guards against a record that grows without bound, and against ends of generations that a reader
/// polling with `since` never sees.
#[tokio::test]
async fn record_is_bounded_and_shows_ends() {
    let address = start(Config {
        record_limit: 4,
        ..config()
    })
    .await;
    let running = generate(address, "p", 50_000).await;
    let started: Vec<Record> = get(address, "/v1/record").await;
    for _ in 0..10 {
        read_to_end(generate(address, "p", 1).await.into_body()).await;
    }
    let records: Vec<Record> = get(address, "/v1/record").await;
    assert_eq!(records.len(), 4);
    assert!(
        records
            .iter()
            .any(|record| record.generation == started[0].generation)
    );
    let last = records
        .iter()
        .map(|record| record.sequence)
        .max()
        .expect("records");
    let path = format!("/v1/generations/{}", generation(&running));
    timeout(TEST_TIMEOUT, call(address, "DELETE", &path, ""))
        .await
        .expect("answer");
    let ends: Vec<Record> = get(address, &format!("/v1/record?since={last}")).await;
    assert_eq!(ends.len(), 1);
    assert_eq!(ends[0].outcome, Outcome::Cancelled);
}
