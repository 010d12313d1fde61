//! Tests of the order planner: a model stays available while engines change, and loads stay within
//! the weight store's limits.

use {
    rstest::rstest,
    sardinerelay::{
        id::Target,
        orders::{Action, Artifact, Demand, Inventory, Order, Planner, StoreLimits},
        sheet::{Deployment, Server, Sheet},
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

fn sheet(version: &str, targets: &[&str]) -> Sheet {
    let servers = ["a", "b", "c"].map(|name| Server {
        name: name.into(),
        zone: "lakes-a".into(),
        address: ([127, 0, 0, 1], 9000).into(),
        memory_tokens: 1000,
        checks_fencing: true,
    });
    Sheet {
        number: 1,
        classes: Vec::new(),
        targets: servers.to_vec(),
        models: vec![Deployment {
            name: "bend-planner".into(),
            version: version.into(),
            adapters: vec!["lakes".into()],
            targets: targets.iter().map(|name| (*name).into()).collect(),
        }],
        services: Vec::new(),
        organisations: Vec::new(),
    }
}

fn artifact(version: &str, adapter: &str) -> Artifact {
    Artifact {
        model: "bend-planner".into(),
        adapter: adapter.into(),
        version: version.into(),
    }
}

fn loaded(version: &str) -> Inventory {
    Inventory::from([
        (artifact(version, ""), true),
        (artifact(version, "lakes"), true),
    ])
}

fn inventories(list: Vec<(&str, Inventory)>) -> BTreeMap<Target, Inventory> {
    let named = list
        .into_iter()
        .map(|(name, inventory)| (name.into(), inventory));
    named.collect()
}

/// Applies orders at once, like engines that load and unload without delay.
fn apply_orders(orders: &[Order], inventories: &mut BTreeMap<Target, Inventory>) {
    for order in orders {
        let inventory = inventories.get_mut(&order.target).expect("a known target");
        match order.action {
            Action::Load => inventory.insert(order.artifact.clone(), true),
            Action::Unload => inventory.remove(&order.artifact),
        };
    }
}

/// Guards against a move or a new version during which no engine can serve the model.
#[rstest]
#[case::move_to_another_engine("1", &["b"])]
#[case::new_version("2", &["a"])]
#[case::move_and_new_version("2", &["b", "c"])]
fn a_change_always_leaves_a_ready_copy(#[case] version: &str, #[case] targets: &[&str]) {
    let mut planner = Planner::new(StoreLimits::default());
    let mut now = Instant::now();
    let mut state = inventories(vec![
        ("a", loaded("1")),
        ("b", Inventory::new()),
        ("c", Inventory::new()),
    ]);
    let sheet = sheet(version, targets);
    for _ in 0..50 {
        let orders = planner.plan(&sheet, &state, &Demand::default(), now);
        apply_orders(&orders, &mut state);
        let ready = state.values().any(|inventory| {
            inventory
                .iter()
                .any(|(artifact, ready)| *ready && artifact.adapter.is_empty())
        });
        assert!(ready, "no engine can serve the model");
        now += Duration::from_secs(1);
    }
    for (name, inventory) in &state {
        let expected = if targets.contains(&name.as_str()) {
            loaded(version)
        } else {
            Inventory::new()
        };
        assert_eq!(
            *inventory, expected,
            "target {name} does not have what the sheet asks for"
        );
    }
}

/// Guards against more loads than the weight store's limits allow while read-backs lag.
#[test]
fn loads_stay_within_the_limits() {
    let store = StoreLimits {
        max_concurrent: 1,
        min_interval: Duration::from_secs(2),
    };
    let mut planner = Planner::new(store);
    let state = inventories(vec![("a", Inventory::new()), ("b", Inventory::new())]);
    let start = Instant::now();
    let demand = Demand::default();
    let sheet = sheet("1", &["a", "b"]);
    assert_eq!(planner.plan(&sheet, &state, &demand, start).len(), 1);
    let soon = start + Duration::from_secs(3);
    assert_eq!(
        planner.plan(&sheet, &state, &demand, soon),
        [],
        "the first load has no read-back yet"
    );
}

/// Guards against unloading a model while a request runs on the engine.
#[test]
fn nothing_is_unloaded_from_a_busy_engine() {
    let mut planner = Planner::new(StoreLimits::default());
    let state = inventories(vec![("a", loaded("1")), ("b", loaded("1"))]);
    let mut demand = Demand::default();
    demand.busy.insert("a".into());
    let sheet = sheet("1", &["b"]);
    assert_eq!(planner.plan(&sheet, &state, &demand, Instant::now()), []);
    demand.busy.clear();
    let orders = planner.plan(&sheet, &state, &demand, Instant::now());
    assert!(
        orders
            .iter()
            .all(|order| order.action == Action::Unload && order.target == "a")
    );
    assert_eq!(orders.len(), 2);
}

/// Guards against orders to an engine of which it is not known what it has loaded.
#[test]
fn an_engine_without_a_read_back_gets_no_order() {
    let mut planner = Planner::new(StoreLimits::default());
    let state = inventories(vec![("b", Inventory::new())]);
    let orders = planner.plan(
        &sheet("1", &["a"]),
        &state,
        &Demand::default(),
        Instant::now(),
    );
    assert_eq!(orders, []);
}
