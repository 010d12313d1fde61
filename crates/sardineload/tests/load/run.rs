use {
    super::measure::config,
    sardineload::{
        call::Runner, chart, check::ViolationKind, client::Client, config::Config, measure::Totals,
        plan::Plan, run::run, workload::Workload,
    },
    sardinerelay_standin::{
        engine::{self, Record},
        service,
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
    tokio_util::sync::CancellationToken,
};

async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    (listener, address)
}

async fn engine(step_interval: Duration) -> SocketAddr {
    let (listener, address) = bind().await;
    let config = engine::Config {
        models: vec!["bend-planner".into()],
        step_interval,
        ..engine::Config::default()
    };
    tokio::spawn(engine::Engine::new(config).run(listener));
    address
}

async fn service(lost_answer_share: f64) -> SocketAddr {
    let (listener, address) = bind().await;
    let config = service::Config {
        name: "shop".into(),
        delay_before: Duration::ZERO,
        delay_after: Duration::ZERO,
        lost_answer_share,
        seed: 1,
        record_limit: 65_536,
    };
    tokio::spawn(service::serve(config, listener, CancellationToken::new()));
    address
}

async fn short_run_config(workload: Workload, lost_answer_share: f64) -> Config {
    let engines = vec![
        engine(Duration::from_millis(1)).await,
        engine(Duration::from_millis(1)).await,
    ];
    let services = vec![service(lost_answer_share).await];
    Config {
        servers: engines.clone(),
        engines,
        plain_servers: services.clone(),
        services,
        rate: 40.0,
        duration: Duration::from_secs(2),
        ..config(workload)
    }
}

/// Guards against false violations, lost requests and empty figures in a run without faults. The
/// run includes the fingerprints of both endpoints, callers that disconnect early and slow readers.
#[rstest::rstest]
#[case(Workload::Brakeline)]
#[case(Workload::Harakeke)]
#[tokio::test]
async fn sound_servers_give_a_clean_report(#[case] workload: Workload) {
    let report = run(short_run_config(workload, 0.0).await)
        .await
        .expect("report");
    assert_eq!(report.violations(), 0, "{report}");
    assert!(report.refusals.is_empty(), "{report}");
    let rows = report.kinds.values();
    let ended: u64 = rows.map(|row| row.good + row.left).sum();
    let arrived: u64 = report.kinds.values().map(|row| row.arrived).sum();
    assert_eq!(ended, arrived, "{report}");
    assert!(
        report.goodput_tokens_per_s > 0.0 && report.jain > 0.99,
        "{report}"
    );
    let generations = &report.generations;
    assert!(
        generations.left > 0 && generations.whole_ms.p50 > 2.0,
        "{report}"
    );
    assert_eq!(report.preemptions_recorded, Some(0));
    let json = serde_json::to_value(&report).expect("json");
    assert_eq!(json["violation_list"], serde_json::json!([]));
    let svg = chart::draw(&report).expect("drawing");
    for label in ["percentile", "first token", "refused", "</svg>"] {
        assert!(svg.contains(label), "{label}");
    }
}

/// Guards against repeated executions of orders that are not reported, or that are counted twice
/// because both the response and the record show them.
#[tokio::test]
async fn lost_answers_show_doubled_orders() {
    let config = Config {
        plain_share: Some(1.0),
        ..short_run_config(Workload::Brakeline, 0.5).await
    };
    let service = config.services[0];
    let report = run(config).await.expect("report");
    let records: Vec<service::Record> = Client::new()
        .get_json(service, "/v1/record")
        .await
        .expect("record");
    let repeated = records.iter().filter(|r| r.keyed && r.count > 1).count() as u64;
    assert!(repeated > 0);
    assert_eq!(
        report.violations[&ViolationKind::RanTwice],
        repeated,
        "{report}"
    );
    assert!(report.kinds["order"].resent > 0);
    assert_eq!(
        report.kinds["stock"].resent, 0,
        "only calls with a key may be sent again"
    );
}

/// Guards against coordinated omission: the latency of every request that arrives while the engine
/// is stalled must include its wait. The bounds are relative to the actual start of the run, so
/// that a busy machine cannot fail the test.
#[tokio::test]
async fn stall_shows_in_latency_from_the_intended_arrival() {
    let config = Config {
        plain_share: Some(0.0),
        slow_share: 0.0,
        ..short_run_config(Workload::Harakeke, 0.0).await
    };
    let arrivals = config.duration;
    let stall_time = Duration::from_secs(4);
    for engine in &config.engines {
        stall(*engine, stall_time).await;
    }
    let end = Instant::now() + stall_time - Duration::from_millis(200);
    let remaining = end.saturating_duration_since(Instant::now());
    let report = run(config).await.expect("report");
    assert_eq!(report.violations(), 0, "{report}");
    // The median request arrives about halfway through the arrival window, the first one at its
    // start. Both wait until the stall ends.
    let first = &report.generations.first_ms;
    let slack = Duration::from_millis(400);
    let milliseconds = |time: Duration| time.as_secs_f64() * 1000.0;
    assert!(
        first.p50 >= milliseconds(remaining.saturating_sub(arrivals / 2 + slack)),
        "{report}"
    );
    assert!(
        first.max >= milliseconds(remaining.saturating_sub(slack)),
        "{report}"
    );
}

/// Guards against latencies measured from the time of sending: the latency of a request that is
/// sent late must include the time since its intended arrival.
#[tokio::test]
async fn late_request_counts_from_its_intended_arrival() {
    let config = Config {
        plain_share: Some(0.0),
        ..short_run_config(Workload::Harakeke, 0.0).await
    };
    let arrival = Plan::new(&config).next().expect("arrival");
    let lateness = Duration::from_secs(5);
    let start = Instant::now() - lateness - arrival.at;
    let mut totals = Totals::new(3, start, config.duration);
    let runner = Runner {
        config,
        client: Client::new(),
        run_id: "late".into(),
        start,
    };
    let sample = runner.execute(arrival).await;
    assert!(sample.lateness >= lateness);
    totals.add(sample);
    let first = totals.generations.first_token_us.min();
    assert!(
        u128::from(first) >= lateness.as_micros() * 99 / 100,
        "{first} us"
    );
}

/// Guards against a stall of started streams that the report does not show.
#[tokio::test]
async fn stall_shows_in_started_streams() {
    let config = Config {
        plain_share: Some(0.0),
        slow_share: 0.0,
        leave_share: 0.0,
        ..short_run_config(Workload::Harakeke, 0.0).await
    };
    let client = Client::new();
    let engine = config.engines[0];
    let watch = tokio::spawn(async move {
        loop {
            let records: Vec<Record> = client.get_json(engine, "/v1/record").await.expect("record");
            let is_midway = |r: &Record| r.generated > 0 && r.target > r.generated + 300;
            if records.iter().any(is_midway) {
                return stall(engine, Duration::from_millis(1_500)).await;
            }
            sleep(Duration::from_millis(5)).await;
        }
    });
    let report = run(config).await.expect("report");
    watch.await.expect("stall");
    assert!(report.generations.stall_s > 1.0, "{report}");
    assert!(report.generations.stalled > 0, "{report}");
}

async fn stall(engine: SocketAddr, time: Duration) {
    let milliseconds = time.as_millis();
    let body = format!("{{\"stall_ms\":{milliseconds}}}");
    let request = format!(
        "POST /v1/faults HTTP/1.1\r\nhost: engine\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(engine).await.expect("connection");
    stream.write_all(request.as_bytes()).await.expect("write");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("read");
    assert!(answer.starts_with("HTTP/1.1 204"), "{answer}");
}

/// Guards against an unreachable server that ends the run, or whose requests are missing from the
/// counts.
#[tokio::test]
async fn dead_server_is_counted() {
    let (listener, dead) = bind().await;
    drop(listener);
    let config = Config {
        servers: vec![dead],
        engines: Vec::new(),
        plain_share: Some(0.0),
        ..short_run_config(Workload::Brakeline, 0.0).await
    };
    let report = run(config).await.expect("report");
    assert_eq!(report.generations.broken, report.generations.arrived);
    assert_eq!(
        report.refusals["broken while connecting"],
        report.generations.broken
    );
}
