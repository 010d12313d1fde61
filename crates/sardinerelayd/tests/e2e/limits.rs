//! The limits of an organisation hold over all hosts together, also during a network partition.

use {
    crate::{
        client,
        harness::{Cluster, Process, api_key, start_engine, test_sheet},
    },
    http::Method,
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::task::JoinSet,
};

/// Limit of each organisation in the test's sheet, over all hosts.
const REQUESTS_PER_MINUTE: u64 = 120;

/// A host may let through at once what its share of the limit allows in this many seconds.
const MAX_BURST_SECONDS: f64 = 10.0;

/// How long the callers send requests.
const LOAD_DURATION: Duration = Duration::from_secs(8);

/// Requests one token. Returns the status and the answer.
async fn send_request(address: SocketAddr) -> (u16, Value) {
    let authorization = format!("Bearer {}", api_key("brakeline"));
    let body =
        json!({ "model": "bend-planner", "prompt": "a", "metadata": { "standin_tokens": 1 } });
    let headers = [("authorization", authorization.as_str())];
    let (status, text) = client::send(
        address,
        Method::POST,
        "/v1/completions",
        &headers,
        &body.to_string(),
    )
    .await;
    (status, serde_json::from_str(&text).unwrap_or_default())
}

/// Sends requests to one host until the deadline. Returns how many it served; the others must have
/// been refused as not run.
async fn send_until(address: SocketAddr, deadline: Instant) -> u64 {
    let mut served = 0;
    while Instant::now() < deadline {
        let (status, answer) = send_request(address).await;
        match status {
            200 => served += 1,
            429 => assert_eq!(answer["error"]["run"], "not_run", "{answer}"),
            status => panic!("unexpected status {status}: {answer}"),
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    served
}

/// Number of generations in an engine's record.
async fn generation_count(engine: &Process) -> u64 {
    let (_, text) = client::get(engine.address, "/record").await;
    let records: Vec<Value> = serde_json::from_str(&text).expect("the record is JSON");
    records.len() as u64
}

/// Guards against hosts that each let the whole limit through, and against an isolated host that
/// does not limit any more: midway, one host of three can't reach the others for a while.
#[tokio::test]
async fn all_hosts_together_stay_within_the_limit() {
    let engine = start_engine("engine-0", &[]);
    let mut limited_sheet = test_sheet(1, &[engine.address], &[]);
    for account in &mut limited_sheet.organisations {
        account.requests_per_minute = REQUESTS_PER_MINUTE;
    }
    let mut cluster = Cluster::new(3, 3, &["--bootstrap"]);
    cluster.start();
    cluster.put_in_force(&limited_sheet).await;
    let start = Instant::now();
    let mut callers = JoinSet::new();
    for position in 0..3 {
        callers.spawn(send_until(
            cluster.listen_address(position),
            start + LOAD_DURATION,
        ));
    }
    tokio::time::sleep(LOAD_DURATION / 2).await;
    // Without the two frozen voters the third has no quorum and can't renew its share.
    cluster.process(1).signal("STOP");
    cluster.process(2).signal("STOP");
    tokio::time::sleep(LOAD_DURATION / 4).await;
    cluster.process(1).signal("CONT");
    cluster.process(2).signal("CONT");
    let mut served = 0;
    while let Some(count) = callers.join_next().await {
        served += count.expect("the caller ends");
    }
    let elapsed = start.elapsed().as_secs_f64();
    // Each of the three hosts may have one more request in flight.
    let max_served = REQUESTS_PER_MINUTE as f64 * (elapsed + MAX_BURST_SECONDS) / 60.0 + 3.0;
    assert!(
        served as f64 <= max_served,
        "{served} served, at most {max_served:.0} allowed"
    );
    assert_eq!(
        generation_count(&engine).await,
        served,
        "a refused request ran"
    );
    assert!(
        served >= 3,
        "only {served} served, fewer than one for each host"
    );
}
