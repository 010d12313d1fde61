//! Planned stops of hosts and targets lose no work (G5, G6).

use {
    crate::{
        client::{self, Event, assert_complete, expected_token},
        harness::{Cluster, api_key, eventually, sheet_number_in_force, start_engine, test_sheet},
    },
    sardinerelay::operator::{HOSTS, STOP_PLAN, STOP_WATCH},
    serde_json::{Value, json},
    uuid::Uuid,
};

/// Guards against a planned stop, also of the leader, that interrupts streams, costs the quorum, or
/// ends with an error.
#[tokio::test]
async fn every_host_can_be_stopped_and_started_in_turn_under_load() {
    let engine = start_engine("engine-0", &[]);
    let mut cluster = Cluster::new(3, 3, &["--bootstrap"]);
    cluster.start();
    cluster
        .put_in_force(&test_sheet(1, &[engine.address], &[]))
        .await;
    for position in 0..3 {
        let prompt = format!("during stop {position}");
        let mut stream = client::open_stream(
            cluster.listen_address(position),
            &api_key("brakeline"),
            &prompt,
            300,
            &[],
        )
        .await
        .expect("a stream");
        assert_eq!(
            stream.next().await,
            Event::Token(expected_token(&prompt, 0))
        );
        let request = json!({ "subject": { "kind": "host", "name": position + 1 }, "proposal": Uuid::new_v4() });
        let through = (position + 1) % 3;
        cluster
            .call_operator(through, STOP_PLAN, request)
            .await
            .expect("the stop is planned");
        assert_complete(&stream.read_to_end().await, &prompt, 1, 300);
        let process = cluster.hosts[position]
            .process
            .as_mut()
            .expect("the process was started");
        assert_eq!(process.wait().code(), Some(0));
        let number = position as u64 + 2;
        let next = test_sheet(number, &[engine.address], &[]);
        let accepted = async || cluster.submit(through, &next, Uuid::new_v4()).await.is_ok();
        eventually("the other hosts accept a sheet", accepted).await;
        cluster.start_host(position);
        let ready = async || {
            client::get(cluster.listen_address(position), "/readyz")
                .await
                .0
                == 200
        };
        eventually("the restarted host is ready", ready).await;
    }
}

/// Guards against new work on a target whose stop is planned, and against a stop that never
/// completes.
#[tokio::test]
async fn a_stopped_target_finishes_its_streams_and_gets_no_new_ones() {
    let engines = [start_engine("engine-0", &[]), start_engine("engine-1", &[])];
    let mut cluster = Cluster::new(3, 3, &["--bootstrap"]);
    cluster.start();
    cluster
        .put_in_force(&test_sheet(
            1,
            &[engines[0].address, engines[1].address],
            &[],
        ))
        .await;
    let subject = json!({ "kind": "target", "name": "engine-0" });
    let plan = json!({ "subject": subject, "proposal": Uuid::new_v4() });
    cluster
        .call_operator(0, STOP_PLAN, plan)
        .await
        .expect("the stop is planned");
    let drained = async || {
        let watch = json!({ "subject": subject, "seen": null, "wait_ms": 100 });
        let progress = cluster.call_operator(1, STOP_WATCH, watch).await;
        progress.is_ok_and(|progress| progress["stage"] == "drained")
    };
    eventually("the target is drained", drained).await;
    for position in 0..3 {
        let mut stream = client::open_stream(
            cluster.listen_address(position),
            &api_key("brakeline"),
            "after",
            5,
            &[],
        )
        .await
        .expect("a stream");
        assert_complete(&stream.read_to_end().await, "after", 0, 5);
    }
    let (_, text) = client::get(engines[0].address, "/record").await;
    assert!(
        !text.contains("generation\":"),
        "the stopped target started a generation: {text}"
    );
}

/// Guards against a stop that every host confirms but that has no effect, because the host through
/// which it was planned did not know the target's incarnation yet (G5).
#[tokio::test]
async fn a_stop_through_a_host_that_does_not_know_the_target_stops_it_or_is_refused() {
    let engines = [start_engine("engine-0", &[]), start_engine("engine-1", &[])];
    let mut cluster = Cluster::new(3, 3, &["--bootstrap"]);
    cluster.start();
    cluster
        .put_in_force(&test_sheet(
            1,
            &[engines[0].address, engines[1].address],
            &[],
        ))
        .await;
    engines[0].signal("STOP");
    cluster.kill(2);
    cluster.start_host(2);
    let is_in_force = async || sheet_number_in_force(cluster.hosts[2].operator).await == Some(1);
    eventually("the restarted host has the sheet in force", is_in_force).await;
    let subject = json!({ "kind": "target", "name": "engine-0" });
    let plan = json!({ "subject": subject, "proposal": Uuid::new_v4() });
    let planned = cluster.call_operator(2, STOP_PLAN, plan).await;
    engines[0].signal("CONT");
    if planned.is_err() {
        return;
    }
    let confirmed = async || {
        let watch = json!({ "subject": subject, "seen": null, "wait_ms": 100 });
        let progress = cluster.call_operator(1, STOP_WATCH, watch).await;
        progress.is_ok_and(|progress| progress["stage"] != "planned")
    };
    eventually("every host confirms the stop", confirmed).await;
    for turn in 0..60 {
        let address = cluster.listen_address(turn % 3);
        let opened = client::open_stream(address, &api_key("brakeline"), "after", 1, &[]).await;
        opened.expect("a stream").read_to_end().await;
    }
    let (_, text) = client::get(engines[0].address, "/record").await;
    assert!(
        !text.contains("generation\":"),
        "the stopped target started a generation: {text}"
    );
}

/// Guards against reporting a target as drained after another one replaced it and receives work
/// (G5, G6).
#[tokio::test]
async fn the_stop_of_an_earlier_run_is_not_reported_for_its_replacement() {
    let mut first = start_engine("engine-0", &[]);
    let mut cluster = Cluster::new(1, 1, &["--bootstrap"]);
    cluster.start();
    cluster
        .put_in_force(&test_sheet(1, &[first.address], &[]))
        .await;
    let subject = json!({ "kind": "target", "name": "engine-0" });
    let plan = json!({ "subject": subject, "proposal": Uuid::new_v4() });
    let drained = async || {
        let watch = json!({ "subject": subject, "seen": null, "wait_ms": 100 });
        let progress = cluster.call_operator(0, STOP_WATCH, watch).await;
        progress.is_ok_and(|progress| progress["stage"] == "drained")
    };
    let planned = async || {
        cluster
            .call_operator(0, STOP_PLAN, plan.clone())
            .await
            .is_ok()
    };
    eventually("the stop is planned", planned).await;
    eventually("the target is drained", drained).await;
    first.kill();
    let _second = start_engine("engine-0", &["--listen", &first.address.to_string()]);
    let works = async || {
        let opened = client::open_stream(
            cluster.listen_address(0),
            &api_key("brakeline"),
            "new",
            1,
            &[],
        )
        .await;
        match opened {
            Ok(mut stream) => stream.read_to_end().await.last() == Some(&Event::Done),
            Err(_) => false,
        }
    };
    eventually("the replacement receives work", works).await;
    assert!(!drained().await, "the replacement is reported as drained");
}

/// Guards against a table that lacks a host or shows a state for one that can't be reached.
#[tokio::test]
async fn the_table_of_hosts_shows_which_hosts_answer() {
    let engine = start_engine("engine-0", &[]);
    let mut cluster = Cluster::new(3, 3, &["--bootstrap"]);
    cluster.start();
    cluster
        .put_in_force(&test_sheet(1, &[engine.address], &[]))
        .await;
    cluster.kill(2);
    let rows = cluster
        .call_operator(0, HOSTS, Value::Null)
        .await
        .expect("a table");
    let states: Vec<&str> = rows
        .as_array()
        .expect("rows")
        .iter()
        .filter_map(|row| row["state"].as_str())
        .collect();
    assert_eq!(states, ["ready", "ready", "unreachable"]);
}
