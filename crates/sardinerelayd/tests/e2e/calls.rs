//! Calls to plain services: one with an idempotency key runs at most once (G3, G4).

use {
    crate::{
        client,
        harness::{Cluster, Process, api_key, eventually, start_standin, test_sheet},
    },
    http::Method,
    rstest::rstest,
    serde_json::Value,
    std::net::SocketAddr,
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::TcpListener,
    },
    uuid::Uuid,
};

/// Starts hosts with three voters and puts a sheet in force that routes to the service.
async fn start_cluster(hosts: u64, service: &Process) -> Cluster {
    let mut cluster = Cluster::new(hosts, 3, &["--bootstrap"]);
    cluster.start();
    cluster
        .put_in_force(&test_sheet(1, &[], &[service.address]))
        .await;
    cluster
}

/// Starts a stand-in for a plain service.
pub fn start_service(extra_arguments: &[&str]) -> Process {
    start_standin(&[&["service"], extra_arguments].concat())
}

/// Sends a call with an idempotency key. Returns the status, the error code and the body.
pub async fn place_order(
    address: SocketAddr,
    organisation: &str,
    idempotency_key: &str,
    body: &str,
) -> (u16, String, String) {
    let authorization = format!("Bearer {}", api_key(organisation));
    let headers = [
        ("authorization", authorization.as_str()),
        ("idempotency-key", idempotency_key),
    ];
    let (status, text) = client::send(address, Method::POST, "/shop/orders", &headers, body).await;
    let answer: Value = serde_json::from_str(&text).unwrap_or_default();
    let code = answer["error"]["code"]
        .as_str()
        .unwrap_or_default()
        .to_owned();
    (status, code, text)
}

/// How often the calls with a key ran, as the service recorded it.
pub async fn run_count(service: &Process, idempotency_key: &str) -> u64 {
    let (_, text) = client::get(service.address, "/record").await;
    let records: Vec<Value> = serde_json::from_str(&text).expect("the record is JSON");
    let matching = records
        .iter()
        .filter(|record| record["key"] == idempotency_key);
    matching
        .map(|record| record["count"].as_u64().unwrap_or(0))
        .sum()
}

/// Guards against a second run when a caller resends a call through another host.
#[tokio::test]
async fn a_resend_through_another_host_gets_the_stored_answer() {
    let service = start_service(&[]);
    let cluster = start_cluster(3, &service).await;
    let id = Uuid::now_v7().to_string();
    let (status, _, first) =
        place_order(cluster.listen_address(0), "brakeline", &id, "punch 7").await;
    assert_eq!(status, 200, "{first}");
    for position in [1, 2, 0] {
        let (status, _, again) = place_order(
            cluster.listen_address(position),
            "brakeline",
            &id,
            "punch 7",
        )
        .await;
        assert_eq!((status, &again), (200, &first));
    }
    assert_eq!(run_count(&service, &id).await, 1);
}

/// Guards against organisations that share a key by chance, and against two calls under one key.
#[tokio::test]
async fn keys_belong_to_one_organisation_and_one_call() {
    let service = start_service(&[]);
    let cluster = start_cluster(3, &service).await;
    let id = Uuid::now_v7().to_string();
    assert_eq!(
        place_order(cluster.listen_address(0), "brakeline", &id, "punch 7")
            .await
            .0,
        200
    );
    let (status, code, _) =
        place_order(cluster.listen_address(1), "brakeline", &id, "punch 8").await;
    assert_eq!((status, code.as_str()), (422, "key_conflict"));
    assert_eq!(
        place_order(cluster.listen_address(2), "harakeke", &id, "load 3")
            .await
            .0,
        200
    );
    assert_eq!(
        run_count(&service, &id).await,
        2,
        "each organisation's call runs once"
    );
}

/// Guards against a second run of a call that the service ran and whose answer was lost.
#[tokio::test]
async fn a_call_whose_answer_was_lost_is_never_run_again() {
    let service = start_service(&["--lose-answers", "1"]);
    let cluster = start_cluster(3, &service).await;
    let id = Uuid::now_v7().to_string();
    for position in [0, 1, 2] {
        let (_, code, text) = place_order(
            cluster.listen_address(position),
            "brakeline",
            &id,
            "punch 7",
        )
        .await;
        assert_eq!(code, "outcome_unknown", "{text}");
    }
    assert_eq!(run_count(&service, &id).await, 1);
}

/// Guards against a second run when the entry host is killed after it recorded the call and before
/// the answer arrived.
#[tokio::test]
async fn a_host_killed_during_the_call_leaves_it_at_one_run() {
    let service = start_service(&["--delay-after", "1s"]);
    let mut cluster = start_cluster(5, &service).await;
    let id = Uuid::now_v7().to_string();
    // Host 5 is no voter, so killing it leaves the quorum intact.
    let (address, sent) = (cluster.listen_address(4), id.clone());
    let call =
        tokio::spawn(async move { place_order(address, "brakeline", &sent, "punch 7").await });
    eventually("the service runs the call", async || {
        run_count(&service, &id).await == 1
    })
    .await;
    cluster.kill(4);
    assert_eq!(
        call.await.expect("the task ends").0,
        0,
        "the caller's connection fails"
    );
    let (_, code, text) = place_order(cluster.listen_address(0), "brakeline", &id, "punch 7").await;
    assert!(
        code == "key_in_progress" || code == "outcome_unknown",
        "{text}"
    );
    cluster.start_host(4);
    let unknown = async || {
        place_order(cluster.listen_address(1), "brakeline", &id, "punch 7")
            .await
            .1
            == "outcome_unknown"
    };
    eventually(
        "the outcome of the restarted host's earlier call is unknown",
        unknown,
    )
    .await;
    assert_eq!(run_count(&service, &id).await, 1);
}

/// Guards against a call that runs although no quorum recorded it, and against a false "not run".
#[tokio::test]
async fn without_a_quorum_a_keyed_call_is_refused_as_not_run() {
    let service = start_service(&[]);
    let mut cluster = start_cluster(3, &service).await;
    cluster.kill(0);
    cluster.kill(1);
    let id = Uuid::now_v7().to_string();
    let (status, code, text) =
        place_order(cluster.listen_address(2), "brakeline", &id, "punch 7").await;
    assert_eq!((status, code.as_str()), (503, "no_quorum"), "{text}");
    assert_eq!(run_count(&service, &id).await, 0);
    cluster.start_host(0);
    let answered = async || {
        place_order(cluster.listen_address(2), "brakeline", &id, "punch 7")
            .await
            .0
            == 200
    };
    eventually("the call runs after the quorum has returned", answered).await;
    assert_eq!(run_count(&service, &id).await, 1);
}

/// Guards against a key that stays blocked although its call cannot have run.
#[tokio::test]
async fn a_refused_connection_leaves_the_key_free() {
    let mut service_process = start_service(&[]);
    let cluster = start_cluster(3, &service_process).await;
    let address = service_process.address;
    service_process.kill();
    let id = Uuid::now_v7().to_string();
    let (_, code, text) = place_order(cluster.listen_address(0), "brakeline", &id, "punch 7").await;
    assert_eq!(code, "no_target", "{text}");
    assert!(text.contains("not_run"));
    let again = start_service(&["--listen", &address.to_string()]);
    assert_eq!(
        place_order(cluster.listen_address(1), "brakeline", &id, "punch 7")
            .await
            .0,
        200
    );
    assert_eq!(run_count(&again, &id).await, 1);
}

/// Starts a service that answers each call with these bytes and closes the connection.
async fn start_raw_service(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            if stream.read(&mut request).await.is_ok_and(|read| read > 0) {
                // The relay may have closed the connection.
                let _ = stream.write_all(answer.as_bytes()).await;
            }
        }
    });
    address
}

/// Guards against an answer with the status of no answer that reaches the caller, or that is stored as the
/// answer of a keyed call.
#[rstest]
#[tokio::test]
async fn an_answer_without_a_valid_status_is_none(
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
    status: &str,
) {
    let answer = match status {
        "20" => "HTTP/1.1 20".to_owned(),
        status if status.starts_with('1') => format!("HTTP/1.1 {status}\r\nX-Odd: 1\r\n\r\n"),
        status => format!("HTTP/1.1 {status}\r\nX-Odd: 1\r\nContent-Length: 4\r\n\r\ndone"),
    };
    let service = start_raw_service(answer).await;
    let mut cluster = Cluster::new(1, 1, &["--bootstrap"]);
    cluster.start();
    cluster.put_in_force(&test_sheet(1, &[], &[service])).await;
    let address = cluster.listen_address(0);
    let id = Uuid::now_v7().to_string();
    for _ in 0..2 {
        let (status, code, text) = place_order(address, "brakeline", &id, "punch 7").await;
        assert_eq!((status, code.as_str()), (409, "outcome_unknown"), "{text}");
    }
    let authorization = format!("Bearer {}", api_key("brakeline"));
    let headers = [("authorization", authorization.as_str())];
    let (status, text) = client::send(address, Method::GET, "/shop/stock", &headers, "").await;
    assert_eq!(status, 409, "{text}");
}
