//! The leader orders engines to load and unload models until they serve what the sheet states.

use {
    crate::{
        client::{self, assert_complete},
        harness::{
            Cluster, Process, WAIT_TIMEOUT, api_key, eventually, free_address, start_engine,
            test_sheet,
        },
    },
    http::Method,
    rstest::rstest,
    sardinerelay::{
        operator::TARGETS,
        sheet::{Deployment, Sheet},
    },
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::time::sleep,
    uuid::Uuid,
};

/// The models that an engine has loaded and the orders that it carried out and refused.
async fn engine_state(address: SocketAddr) -> Value {
    let (_, text) = client::get(address, "/v1/orders").await;
    serde_json::from_str(&text).unwrap_or_default()
}

/// The items of an array field. Empty if there is none.
fn array_field<'a>(answer: &'a Value, field: &str) -> &'a [Value] {
    answer[field].as_array().map_or(&[], Vec::as_slice)
}

/// Whether the engine has loaded exactly these models and versions and all of them are ready.
async fn has_ready(address: SocketAddr, expected: &[(&str, &str)]) -> bool {
    let answer = engine_state(address).await;
    let item = |loaded: &Value| {
        let text = |field: &str| loaded[field].as_str().unwrap_or_default().to_owned();
        (text("model"), text("version"), loaded["ready"] == true)
    };
    let mut loaded: Vec<_> = array_field(&answer, "loaded").iter().map(item).collect();
    loaded.sort();
    let expected = expected
        .iter()
        .map(|(model, version)| ((*model).to_owned(), (*version).to_owned(), true));
    answer["loaded"].is_array() && loaded == expected.collect::<Vec<_>>()
}

/// The terms of the orders that an engine carried out, in that order.
fn order_terms(answer: &Value) -> Vec<u64> {
    let orders = array_field(answer, "orders").iter();
    orders.filter_map(|order| order["term"].as_u64()).collect()
}

/// The sheet with this version of its model, on one target only.
fn with_model(mut sheet: Sheet, version: &str, target: &str) -> Sheet {
    sheet.models[0].version = version.into();
    sheet.models[0].targets = vec![target.into()];
    sheet
}

/// Number of orders with this outcome, from a host's metrics.
async fn order_count(address: SocketAddr, outcome: &str) -> u64 {
    let (_, text) = client::get(address, "/metrics").await;
    let label = format!("outcome=\"{outcome}\"");
    text.lines()
        .filter(|line| line.starts_with("sardinerelay_orders") && line.contains(&label))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
        .sum()
}

/// Number of a host's orders that have an outcome, also an unknown one, from its metrics.
async fn finished_order_count(address: SocketAddr) -> u64 {
    let mut count = 0;
    for outcome in ["accepted", "stale", "refused", "uncovered", "unknown"] {
        count += order_count(address, outcome).await;
    }
    count
}

/// Waits until a host has decided on more orders than `counts_before` states, and returns its
/// position. The host sends the order after its `--order-pause`.
async fn wait_for_decision(cluster: &Cluster, counts_before: &[u64; 3]) -> usize {
    let start = Instant::now();
    loop {
        for (position, count_before) in counts_before.iter().enumerate() {
            if order_count(cluster.listen_address(position), "decided").await > *count_before {
                return position;
            }
        }
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "no host decided on an order"
        );
        sleep(Duration::from_millis(20)).await;
    }
}

/// Starts a caller on each host. It sends one request after the other until `stop` is set, and
/// returns how many were answered. It panics at the first refusal or incomplete answer.
fn spawn_callers(cluster: &Cluster, stop: &Arc<AtomicBool>) -> Vec<tokio::task::JoinHandle<u64>> {
    let caller = |position: usize| {
        let (address, stop) = (cluster.listen_address(position), Arc::clone(stop));
        tokio::spawn(async move {
            let mut answers = 0;
            while !stop.load(Ordering::Relaxed) {
                let prompt = format!("caller {position}, request {answers}");
                let mut stream =
                    client::open_stream(address, &api_key("brakeline"), &prompt, 5, &[])
                        .await
                        .unwrap_or_else(|refusal| panic!("{prompt} has no engine: {refusal:?}"));
                assert_complete(&stream.read_to_end().await, &prompt, 0, 5);
                answers += 1;
            }
            answers
        })
    };
    (0..3).map(caller).collect()
}

/// Guards against requests that no engine is ready for while sheets move a model to another engine
/// and change its version. Also guards against models that stay loaded although the sheet no longer
/// states them.
#[tokio::test]
async fn a_move_and_a_new_version_leave_every_request_an_engine() {
    let engines = [
        start_engine("engine-0", &["--load-time", "1s"]),
        start_engine("engine-1", &["--load-time", "1s", "--model", "other"]),
    ];
    let mut cluster = Cluster::new(3, 3, &["--bootstrap"]);
    cluster.start();
    let addresses = [engines[0].address, engines[1].address];
    let sheet_with =
        |number, version, target| with_model(test_sheet(number, &addresses, &[]), version, target);
    cluster.put_in_force(&sheet_with(1, "1", "engine-0")).await;
    eventually("engine-0 has loaded what the sheet states", async || {
        has_ready(addresses[0], &[("bend-planner", "1")]).await
            && has_ready(addresses[1], &[]).await
    })
    .await;
    let stop = Arc::new(AtomicBool::new(false));
    let callers = spawn_callers(&cluster, &stop);
    cluster.put_in_force(&sheet_with(2, "2", "engine-1")).await;
    let loaded = async |version: &str| {
        let answer = engine_state(addresses[1]).await;
        let mut items = array_field(&answer, "loaded").iter();
        items.any(|item| item["version"] == version && item["ready"] == true)
    };
    eventually("the model has moved", async || loaded("2").await).await;
    cluster.put_in_force(&sheet_with(3, "3", "engine-1")).await;
    eventually("the new version is loaded", async || loaded("3").await).await;
    eventually("the former engine has unloaded the model", async || {
        has_ready(addresses[0], &[]).await
    })
    .await;
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        assert!(caller.await.expect("every request had an engine") > 0);
    }
    eventually("the earlier version is unloaded", async || {
        has_ready(addresses[1], &[("bend-planner", "3")]).await
    })
    .await;
    let rows = cluster.call_operator(0, TARGETS, Value::Null).await;
    let rows = rows.expect("a table");
    let is_listed = async || {
        let rows = cluster.call_operator(0, TARGETS, Value::Null).await;
        rows.is_ok_and(|rows| rows[1]["serves"] == json!(["bend-planner@3"]))
    };
    eventually("the table shows what is loaded", is_listed).await;
    assert_eq!(rows.as_array().map(Vec::len), Some(2));
}

/// Guards against orders that are never sent because the leader that decided on them was killed.
#[tokio::test]
async fn another_leader_goes_on_after_one_dies_between_two_orders() {
    let extra_arguments = [
        "--model",
        "other",
        "--fencing",
        "ignored",
        "--load-time",
        "1ms",
    ];
    let engines = [
        start_engine("engine-0", &extra_arguments),
        start_engine("engine-1", &extra_arguments),
    ];
    let addresses = [engines[0].address, engines[1].address];
    let flags = ["--bootstrap", "--order-pause", "4s"];
    let mut cluster = Cluster::new(3, 3, &flags);
    cluster.start();
    let mut sheet = test_sheet(1, &addresses, &[]);
    for target in &mut sheet.targets {
        target.checks_fencing = false;
    }
    cluster.put_in_force(&sheet).await;
    eventually("the first order is carried out", async || {
        let first = order_terms(&engine_state(addresses[0]).await).len();
        let second = order_terms(&engine_state(addresses[1]).await).len();
        first + second > 0
    })
    .await;
    let leader = wait_for_decision(&cluster, &[0; 3]).await;
    cluster.kill(leader);
    eventually("both engines have the model", async || {
        let mut ready = 0;
        for address in addresses {
            let answer = engine_state(address).await;
            let mut items = array_field(&answer, "loaded").iter();
            let wanted = |item: &Value| item["version"] == "1" && item["ready"] == true;
            ready += usize::from(items.any(wanted));
        }
        ready == 2
    })
    .await;
    for address in addresses {
        let terms = order_terms(&engine_state(address).await);
        assert!(
            terms.is_sorted(),
            "an order of an earlier term took effect later: {terms:?}"
        );
    }
}

/// Guards against an order that a leader decided on before it was frozen and that takes effect
/// after another leader's order. An engine that checks the fencing token refuses the order. For an
/// engine that ignores the token, the leader checks its lease before it sends the order.
#[rstest]
#[case::checked("checked")]
#[case::ignored("ignored")]
#[tokio::test]
async fn the_order_of_a_frozen_leader_has_no_effect(#[case] fencing: &str) {
    let engine = start_engine("engine-0", &["--fencing", fencing, "--load-time", "1ms"]);
    let flags = ["--bootstrap", "--order-pause", "4s"];
    let mut cluster = Cluster::new(3, 3, &flags);
    cluster.start();
    let mut number = 0;
    let mut counts_before = [0; 3];
    let (frozen, before) = loop {
        number += 1;
        let mut sheet = test_sheet(number, &[engine.address], &[]);
        sheet.models[0].version = number.to_string().into();
        sheet.targets[0].checks_fencing = fencing == "checked";
        let proposal = Uuid::new_v4();
        let accepted = async || cluster.submit(0, &sheet, proposal).await.is_ok();
        eventually("the sheet is accepted", accepted).await;
        let position = wait_for_decision(&cluster, &counts_before).await;
        let before = finished_order_count(cluster.listen_address(position)).await;
        cluster.process(position).signal("STOP");
        let answer = engine_state(engine.address).await;
        let sent = |order: &Value| order["version"] == number.to_string().as_str();
        if !array_field(&answer, "orders").iter().any(sent) {
            break (position, before);
        }
        // The leader sent the order before it was frozen; try again with another sheet.
        assert!(number < 10, "the leader could not be frozen in time");
        cluster.process(position).signal("CONT");
        for (position, count_before) in counts_before.iter_mut().enumerate() {
            *count_before = order_count(cluster.listen_address(position), "decided").await;
        }
    };
    let earlier = order_terms(&engine_state(engine.address).await)
        .last()
        .copied();
    eventually("another leader's order is carried out", async || {
        let answer = engine_state(engine.address).await;
        let sent = |order: &Value| order["version"] == number.to_string().as_str();
        array_field(&answer, "orders").iter().any(sent)
    })
    .await;
    let after = engine_state(engine.address).await;
    assert!(order_terms(&after).last().copied() > earlier);
    cluster.process(frozen).signal("CONT");
    let address = cluster.listen_address(frozen);
    eventually(
        "the former leader has an outcome for its order",
        async || finished_order_count(address).await > before,
    )
    .await;
    let answer = engine_state(engine.address).await;
    let terms = order_terms(&answer);
    assert!(
        terms.is_sorted(),
        "an order of an earlier term took effect later: {terms:?}"
    );
    let refused = u64::from(fencing == "checked");
    assert_eq!(answer["refused"], refused, "{answer}");
}

/// Guards against an engine without models after it restarted.
#[tokio::test]
async fn a_restarted_engine_gets_its_models_again() {
    let address = free_address().to_string();
    let extra_arguments = [
        "--listen",
        &address,
        "--model",
        "other",
        "--load-time",
        "100ms",
    ];
    let mut process: Process = start_engine("engine-0", &extra_arguments);
    let mut cluster = Cluster::new(1, 1, &["--bootstrap"]);
    cluster.start();
    cluster
        .put_in_force(&test_sheet(1, &[process.address], &[]))
        .await;
    for prompt in ["first run", "second run"] {
        eventually("the engine has loaded what the sheet states", async || {
            has_ready(process.address, &[("bend-planner", "1")]).await
        })
        .await;
        let answered = async || {
            let host = cluster.listen_address(0);
            match client::open_stream(host, &api_key("brakeline"), prompt, 5, &[]).await {
                Ok(mut stream) => {
                    assert_complete(&stream.read_to_end().await, prompt, 0, 5);
                    true
                }
                Err(_) => false,
            }
        };
        eventually("the engine answers a request", answered).await;
        process.kill();
        process = start_engine("engine-0", &extra_arguments);
    }
}

/// Guards against more concurrent loads from the weight store than the settings permit, counted
/// over two engines. The test reads one engine before and after the other: what it loads at both
/// times, it also loaded in between.
#[tokio::test]
async fn loads_stay_within_the_permits_over_two_engines() {
    let extra_arguments = ["--model", "other", "--load-time", "700ms"];
    let engines = [
        start_engine("engine-0", &extra_arguments),
        start_engine("engine-1", &extra_arguments),
    ];
    let addresses = [engines[0].address, engines[1].address];
    let flags = [
        "--bootstrap",
        "--store-concurrent",
        "1",
        "--store-interval",
        "1ms",
    ];
    let mut cluster = Cluster::new(1, 1, &flags);
    cluster.start();
    let mut sheet = test_sheet(1, &addresses, &[]);
    let second = Deployment {
        name: "shop-assistant".into(),
        ..sheet.models[0].clone()
    };
    sheet.models.push(second);
    cluster.put_in_force(&sheet).await;
    let loading = async |address| {
        let answer = engine_state(address).await;
        let items = array_field(&answer, "loaded").iter();
        let items = items.filter(|item| item["ready"] == false);
        items.map(ToString::to_string).collect::<Vec<_>>()
    };
    let wanted = [("bend-planner", "1"), ("shop-assistant", "1")];
    eventually(
        "both engines have loaded what the sheet states",
        async || {
            let before = loading(addresses[0]).await;
            let other = loading(addresses[1]).await;
            let after = loading(addresses[0]).await;
            let both = before.iter().filter(|item| after.contains(item)).count();
            assert!(
                both + other.len() <= 1,
                "{before:?} and {other:?} are loaded at the same time"
            );
            has_ready(addresses[0], &wanted).await && has_ready(addresses[1], &wanted).await
        },
    )
    .await;
}

/// Guards against requests that are sent to an engine without their model, and against a refusal
/// that does not state the reason.
#[tokio::test]
async fn a_model_that_is_loaded_nowhere_is_refused_by_name() {
    let engine = start_engine("engine-0", &["--model", "other", "--load-time", "1h"]);
    let mut cluster = Cluster::new(1, 1, &["--bootstrap"]);
    cluster.start();
    cluster
        .put_in_force(&test_sheet(1, &[engine.address], &[]))
        .await;
    eventually("the refusal names the reason", async || {
        let host = cluster.listen_address(0);
        let refusal = client::open_stream(host, &api_key("brakeline"), "early", 5, &[]).await;
        let (_, body) = refusal.expect_err("no engine has the model");
        body["error"]["code"] == "model_not_in_force"
    })
    .await;
}

/// Guards against a late order whose effect is not corrected. An engine that ignores the fencing
/// token carries out orders of an earlier term that arrive late, which the lease can't prevent. The
/// test sends such orders itself. The leader has to correct even the unload of the only ready copy.
#[tokio::test]
async fn the_effect_of_a_late_order_is_corrected() {
    let engine = start_engine("engine-0", &["--fencing", "ignored", "--load-time", "1ms"]);
    let mut cluster = Cluster::new(1, 1, &["--bootstrap"]);
    cluster.start();
    let mut sheet = test_sheet(1, &[engine.address], &[]);
    sheet.models[0].version = "2".into();
    sheet.targets[0].checks_fencing = false;
    cluster.put_in_force(&sheet).await;
    let corrected = async || has_ready(engine.address, &[("bend-planner", "2")]).await;
    eventually("the engine has loaded what the sheet states", corrected).await;
    for (sequence, action, version) in [(1, "load", "1"), (2, "unload", "2")] {
        let order = json!({
            "term": 0,
            "sequence": sequence,
            "action": action,
            "model": "bend-planner",
            "version": version,
        });
        let json = [("content-type", "application/json")];
        let order = order.to_string();
        let path = "/v1/orders";
        let (status, _) = client::send(engine.address, Method::POST, path, &json, &order).await;
        assert_eq!(status, 200, "the engine ignores the token");
    }
    eventually("the effect of the late orders is corrected", corrected).await;
}
