//! Streams under faults: every token once, in order and from a single generation.

use {
    crate::{
        client::{self, Event, assert_complete, expected_token},
        harness::{
            Cluster, Process, api_key, eventually, start_engine, start_engine_with_step, test_sheet,
        },
    },
    http::{Method, StatusCode},
    serde_json::{Value, json},
};

/// Starts hosts with one voter and puts a sheet with these engines in force.
async fn start_cluster(hosts: u64, engines: &[Process], extra_arguments: &[&str]) -> Cluster {
    let addresses: Vec<_> = engines.iter().map(|engine| engine.address).collect();
    let mut cluster = Cluster::new(hosts, 1, &[&["--bootstrap"], extra_arguments].concat());
    cluster.start();
    cluster.put_in_force(&test_sheet(1, &addresses, &[])).await;
    cluster
}

/// The generations in an engine's record.
async fn fetch_records(engine: &Process) -> Vec<Value> {
    let (_, text) = client::get(engine.address, "/record").await;
    let record: Value = serde_json::from_str(&text).expect("the record is JSON");
    let list = record.as_array().or_else(|| record["records"].as_array());
    list.cloned().unwrap_or_default()
}

/// Guards against a stream that hangs when its connection to the engine goes silent although the
/// engine accepts new connections.
#[tokio::test]
async fn a_stream_survives_a_silent_connection() {
    let engines = [start_engine("engine-0", &[])];
    let cluster = start_cluster(1, &engines, &["--token-gap", "300ms"]).await;
    let prompt = "silent";
    let mut stream = client::open_stream(
        cluster.listen_address(0),
        &api_key("brakeline"),
        prompt,
        300,
        &[],
    )
    .await
    .expect("a stream");
    assert_eq!(stream.next().await, Event::Token(expected_token(prompt, 0)));
    let body = json!({ "silent": true }).to_string();
    let headers = [("content-type", "application/json")];
    let (status, answer) = client::send(
        engines[0].address,
        Method::POST,
        "/v1/faults",
        &headers,
        &body,
    )
    .await;
    assert!((200..300).contains(&status), "{answer}");
    assert_complete(&stream.read_to_end().await, prompt, 1, 300);
    assert_eq!(
        fetch_records(&engines[0]).await.len(),
        1,
        "the answer must come from a single generation"
    );
}

/// Guards against an answer with tokens of two generations.
#[tokio::test]
async fn an_engine_killed_after_the_first_token_ends_the_stream_with_a_typed_error() {
    let mut engines = [start_engine("engine-0", &[]), start_engine("engine-1", &[])];
    let cluster = start_cluster(
        1,
        &engines,
        &["--token-gap", "200ms", "--engine-loss", "500ms"],
    )
    .await;
    let prompt = "lost";
    let mut stream = client::open_stream(
        cluster.listen_address(0),
        &api_key("brakeline"),
        prompt,
        5000,
        &[],
    )
    .await
    .expect("a stream");
    assert_eq!(stream.next().await, Event::Token(expected_token(prompt, 0)));
    for engine in &mut engines {
        engine.kill();
    }
    let events = stream.read_to_end().await;
    assert_eq!(
        events.last(),
        Some(&Event::Error("generation_lost".to_owned()))
    );
}

/// Guards against a request that fails with its engine although no token was delivered and another
/// engine is available.
#[tokio::test]
async fn an_engine_killed_before_the_first_token_is_replaced_by_another() {
    let mut engines = [
        start_engine_with_step("1s", "engine-0", &[]),
        start_engine_with_step("1s", "engine-1", &[]),
    ];
    let cluster = start_cluster(
        1,
        &engines,
        &["--token-gap", "200ms", "--engine-loss", "500ms"],
    )
    .await;
    let address = cluster.listen_address(0);
    let waiting = tokio::spawn(async move {
        client::open_stream(address, &api_key("brakeline"), "early", 2, &[]).await
    });
    let running = async || {
        let counts = [
            fetch_records(&engines[0]).await.len(),
            fetch_records(&engines[1]).await.len(),
        ];
        counts.iter().sum::<usize>() == 1
    };
    eventually("an engine accepted the request", running).await;
    let busy = usize::from(fetch_records(&engines[0]).await.is_empty());
    engines[busy].kill();
    let mut stream = waiting.await.expect("the task ends").expect("a stream");
    assert_complete(&stream.read_to_end().await, "early", 0, 2);
}

/// Guards against a false "not run" for a request that one engine accepted before it was killed and
/// that another one then refused (G3).
#[tokio::test]
async fn a_request_that_an_engine_took_is_not_refused_as_not_run_by_the_next_one() {
    let mut engines = [
        start_engine_with_step("1s", "engine-0", &[]),
        start_engine("engine-1", &["--memory-tokens", "16"]),
    ];
    let flags = ["--token-gap", "200ms", "--engine-loss", "500ms"];
    let cluster = start_cluster(1, &engines, &flags).await;
    let address = cluster.listen_address(0);
    // If the engine with little memory gets the request first, it is refused at once. Try again.
    let refused = loop {
        let opened = tokio::spawn(async move {
            client::open_stream(address, &api_key("brakeline"), "taken", 50, &[]).await
        });
        let taken = async || !fetch_records(&engines[0]).await.is_empty() || opened.is_finished();
        eventually(
            "the request was accepted by the first engine or refused",
            taken,
        )
        .await;
        if !fetch_records(&engines[0]).await.is_empty() {
            engines[0].kill();
            break opened.await.expect("the task ends");
        }
    };
    let (_, answer) = refused.expect_err("a refusal");
    assert_eq!(answer["error"]["run"], "unknown", "{answer}");
}

/// Guards against a resumable answer that is lost with its entry host.
#[tokio::test]
async fn a_stream_whose_host_was_killed_continues_through_another_host() {
    let engines = [start_engine("engine-0", &[])];
    let mut cluster = start_cluster(2, &engines, &[]).await;
    let prompt = "resumable";
    let headers = [("x-sardinerelay-resume", "true")];
    let mut stream = client::open_stream(
        cluster.listen_address(1),
        &api_key("brakeline"),
        prompt,
        400,
        &headers,
    )
    .await
    .expect("a stream");
    let mut delivered = 0;
    while delivered < 20 {
        assert_eq!(
            stream.next().await,
            Event::Token(expected_token(prompt, delivered))
        );
        delivered += 1;
    }
    let last_id = stream.last_id.clone().expect("each event has an id");
    cluster.kill(1);
    let mut resumed =
        client::resume_stream(cluster.listen_address(0), &api_key("brakeline"), &last_id)
            .await
            .expect("the stream continues");
    assert_complete(&resumed.read_to_end().await, prompt, delivered, 400);
    assert_eq!(
        fetch_records(&engines[0]).await.len(),
        1,
        "the answer must come from a single generation"
    );
}

/// Guards against a resume token that gives access to another organisation's output.
#[tokio::test]
async fn a_resume_token_is_refused_for_another_organisation_and_when_altered() {
    let engines = [start_engine("engine-0", &[])];
    let cluster = start_cluster(1, &engines, &[]).await;
    let headers = [("x-sardinerelay-resume", "true")];
    let mut stream = client::open_stream(
        cluster.listen_address(0),
        &api_key("brakeline"),
        "mine",
        400,
        &headers,
    )
    .await
    .expect("a stream");
    stream.next().await;
    let id = stream.last_id.clone().expect("each event has an id");
    // The first character is random, so a fixed one would sometimes leave the token as it is.
    let first = if id.starts_with('A') { 'B' } else { 'A' };
    let altered = format!("{first}{}", &id[1..]);
    for (organisation, id) in [
        ("harakeke", id.as_str()),
        ("brakeline", altered.as_str()),
        ("brakeline", "x.1"),
    ] {
        let (status, error) =
            client::resume_stream(cluster.listen_address(0), &api_key(organisation), id)
                .await
                .expect_err("a refusal");
        assert!(status.is_client_error(), "{status}");
        assert_eq!(error["error"]["code"], "resume_refused");
    }
}

/// Guards against a generation that goes on after its caller disconnected.
#[tokio::test]
async fn a_caller_that_disconnects_is_cancelled_on_the_engine() {
    let engines = [start_engine("engine-0", &[])];
    let cluster = start_cluster(1, &engines, &[]).await;
    let mut stream = client::open_stream(
        cluster.listen_address(0),
        &api_key("brakeline"),
        "left",
        5000,
        &[],
    )
    .await
    .expect("a stream");
    stream.next().await;
    drop(stream);
    let cancelled = async || {
        fetch_records(&engines[0])
            .await
            .iter()
            .any(|record| record["outcome"] == "cancelled")
    };
    eventually("the engine cancelled the generation", cancelled).await;
}

/// Guards against new work on a leaving engine, and against interrupting its open streams (G5).
#[tokio::test]
async fn a_leaving_engine_finishes_its_streams_and_gets_no_new_ones() {
    let engines = [start_engine("engine-0", &[])];
    let cluster = start_cluster(1, &engines, &[]).await;
    let prompt = "leaving";
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
    client::send(engines[0].address, Method::POST, "/v1/leave", &[], "").await;
    let (status, error) = client::open_stream(
        cluster.listen_address(0),
        &api_key("brakeline"),
        "new",
        2,
        &[],
    )
    .await
    .expect_err("a refusal");
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{error}");
    assert_eq!(error["error"]["run"], "not_run");
    assert_complete(&stream.read_to_end().await, prompt, 1, 400);
    assert_eq!(
        fetch_records(&engines[0]).await.len(),
        1,
        "a leaving engine must start no generation"
    );
}
