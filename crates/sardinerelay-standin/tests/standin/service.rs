use {
    super::{bind, call, eventually, get, request, send},
    axum::http::StatusCode,
    sardinerelay_standin::service::{Config, Record, digest, serve},
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
    tokio_util::sync::CancellationToken,
};

async fn start(delay_before: Duration, lost_answer_share: f64) -> SocketAddr {
    let (listener, address) = bind().await;
    let config = Config {
        name: "shop".into(),
        delay_before,
        delay_after: Duration::ZERO,
        lost_answer_share,
        seed: 1,
        record_limit: 3,
    };
    tokio::spawn(serve(config, listener, CancellationToken::new()));
    address
}

async fn records(address: SocketAddr) -> Vec<Record> {
    get(address, "/v1/record").await
}

/// Guards against a duplicate order that the record does not show. Executions are counted by
/// organisation and key, and a different body under the same key is counted.
#[tokio::test]
async fn runs_are_counted_per_organisation_and_key() {
    let address = start(Duration::ZERO, 0.0).await;
    for (organisation, body) in [("a", "one"), ("a", "two"), ("b", "one")] {
        let headers = [("idempotency-key", "k"), ("x-organisation", organisation)];
        let order = request("POST", "/shop/orders?x=1", &headers, body);
        assert_eq!(
            send(address, order).await.expect("answer").status(),
            StatusCode::OK
        );
    }
    let unkeyed = request("GET", "/shop/stock", &[("x-request-id", "r")], "");
    send(address, unkeyed).await.expect("answer");
    let found = records(address).await;
    let shape: Vec<_> = found
        .iter()
        .map(|r| {
            (
                r.organisation.as_str(),
                r.key.as_str(),
                r.keyed,
                r.count,
                r.differing,
            )
        })
        .collect();
    assert_eq!(
        shape,
        [
            ("a", "k", true, 2, 1),
            ("b", "k", true, 1, 0),
            ("", "r", false, 1, 0)
        ]
    );
    assert_eq!(found[0].digest, digest(b"one"));
    assert_eq!(found[0].path, "/shop/orders?x=1");
}

/// Guards against a lost response whose call is not executed, or that is sent nevertheless.
#[tokio::test]
async fn lost_answer_has_run() {
    let address = start(Duration::ZERO, 1.0).await;
    let order = request("POST", "/shop/orders", &[("idempotency-key", "k")], "one");
    assert!(send(address, order).await.is_err());
    assert_eq!(records(address).await[0].count, 1);
    let (status, _) = call(address, "POST", "/v1/faults", r#"{"lose_answers":0}"#).await;
    assert_eq!(status, StatusCode::NO_CONTENT);
    let order = request("POST", "/shop/orders", &[("idempotency-key", "k")], "one");
    assert!(send(address, order).await.is_ok());
    assert_eq!(records(address).await[0].count, 2);
}

/// Guards against a service that drops a call when the caller disconnects, which would make retries
/// after a timeout appear safe.
#[tokio::test]
async fn call_runs_after_the_caller_left() {
    let address = start(Duration::from_millis(300), 0.0).await;
    let order = request("POST", "/shop/orders", &[("idempotency-key", "k")], "one");
    assert!(
        timeout(Duration::from_millis(100), send(address, order))
            .await
            .is_err()
    );
    eventually(|| async { records(address).await.first().is_some_and(|r| r.count == 1) }).await;
}

/// Guards against a leaving service that accepts work, and against a record without bound.
#[tokio::test]
async fn leave_refuses_and_record_is_bounded() {
    let address = start(Duration::ZERO, 0.0).await;
    for id in ["1", "2", "3", "4"] {
        let stock = request("GET", "/shop/stock", &[("x-request-id", id)], "");
        send(address, stock).await.expect("answer");
    }
    assert_eq!(records(address).await.len(), 3);
    call(address, "POST", "/v1/leave", "").await;
    let (status, refusal) = call(address, "POST", "/shop/orders", "one").await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(String::from_utf8_lossy(&refusal).contains("\"run\":\"not_run\""));
    assert_eq!(records(address).await.len(), 3);
}
