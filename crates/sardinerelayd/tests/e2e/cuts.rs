//! Network partitions between availability zones, with refused connections or with silent loss.

use {
    crate::{
        calls::{self, run_count},
        client::{self, assert_complete},
        harness::{
            Cluster, api_key, eventually, sheet_number_in_force, start_engine, start_standin,
            test_sheet,
        },
        links::ZoneLinks,
    },
    rstest::rstest,
    sardinerelay::operator::Verdict,
    serde_json::Value,
    std::net::SocketAddr,
    uuid::Uuid,
};

/// Sends a call with an idempotency key. Returns the status and the answer.
async fn place_order(address: SocketAddr, id: &str) -> (u16, Value) {
    let (status, _, text) = calls::place_order(address, "brakeline", id, "punch 7").await;
    (status, serde_json::from_str(&text).unwrap_or_default())
}

/// Guards against a partitioned zone that stops serving generations, runs a keyed call without a
/// quorum, accepts a sheet, reverts to an older one, or does not recover by itself (G3, G4, G7).
#[rstest]
#[case::refused_connections("cut")]
#[case::silence("black_hole")]
#[tokio::test]
async fn a_partitioned_zone_serves_what_it_can_and_rejoins(#[case] mode: &str) {
    let (engine, service) = (start_engine("engine-0", &[]), start_standin(&["service"]));
    let mut cluster = Cluster::new(6, 3, &["--bootstrap"]);
    let links = ZoneLinks::install(&mut cluster, 3);
    cluster.start();
    let first = test_sheet(1, &[engine.address], &[service.address]);
    cluster.put_in_force(&first).await;
    // Hosts 1 and 4 are in zone lakes-a.
    links.inject_fault("lakes-a", mode).await;
    let second = test_sheet(2, &[engine.address], &[service.address]);
    let proposal = Uuid::new_v4();
    let accepted = async || {
        matches!(
            cluster.submit(1, &second, proposal).await,
            Ok(Verdict::Accepted(_))
        )
    };
    eventually("the majority accepts a new sheet", accepted).await;
    for position in [0, 3] {
        let mut stream = client::open_stream(
            cluster.listen_address(position),
            &api_key("brakeline"),
            "cut",
            10,
            &[],
        )
        .await
        .expect("a stream");
        assert_complete(&stream.read_to_end().await, "cut", 0, 10);
        let id = Uuid::now_v7().to_string();
        let (_, answer) = place_order(cluster.listen_address(position), &id).await;
        assert_eq!(answer["error"]["run"], "not_run", "{answer}");
        assert_eq!(run_count(&service, &id).await, 0);
        assert_eq!(
            sheet_number_in_force(cluster.hosts[position].operator).await,
            Some(1)
        );
    }
    let third = test_sheet(3, &[engine.address], &[service.address]);
    assert!(
        cluster.submit(0, &third, Uuid::new_v4()).await.is_err(),
        "a minority must not accept a sheet"
    );
    links.heal("lakes-a").await;
    for host in &cluster.hosts {
        let is_in_force = async || sheet_number_in_force(host.operator).await >= Some(2);
        eventually(
            "the majority's sheet is in force on every host",
            is_in_force,
        )
        .await;
    }
    let id = Uuid::now_v7().to_string();
    eventually("keyed calls run again", async || {
        place_order(cluster.listen_address(3), &id).await.0 == 200
    })
    .await;
    assert_eq!(run_count(&service, &id).await, 1);
}

/// Guards against a leader that a silent partition isolates and that still takes itself for the
/// leader: it must not run a keyed call, and a call that the new leader runs must run once.
#[tokio::test]
async fn an_isolated_leader_commits_nothing() {
    let service = start_standin(&["service"]);
    let mut cluster = Cluster::new(3, 3, &["--bootstrap"]);
    let links = ZoneLinks::install(&mut cluster, 3);
    cluster.start();
    cluster
        .put_in_force(&test_sheet(1, &[], &[service.address]))
        .await;
    for _ in 0..3 {
        let leader = find_leader(&cluster).await;
        let zone = cluster.hosts[leader].zone.clone();
        links.inject_fault(&zone, "black_hole").await;
        let id = Uuid::now_v7().to_string();
        let (_, answer) = place_order(cluster.listen_address(leader), &id).await;
        assert_eq!(answer["error"]["run"], "not_run", "{answer}");
        assert_eq!(run_count(&service, &id).await, 0);
        let other = (leader + 1) % 3;
        eventually("the majority runs the call", async || {
            place_order(cluster.listen_address(other), &id).await.0 == 200
        })
        .await;
        links.heal(&zone).await;
        eventually("the former leader returns the stored answer", async || {
            place_order(cluster.listen_address(leader), &id).await.0 == 200
        })
        .await;
        assert_eq!(run_count(&service, &id).await, 1);
    }
}

/// Waits until a host reports that it leads, and returns its position.
async fn find_leader(cluster: &Cluster) -> usize {
    let since = std::time::Instant::now();
    loop {
        for position in 0..cluster.hosts.len() {
            let health = cluster
                .call_operator(position, sardinerelay::operator::HEALTH, Value::Null)
                .await;
            if health.is_ok_and(|health| health["role"] == "leader") {
                return position;
            }
        }
        assert!(
            since.elapsed() < crate::harness::WAIT_TIMEOUT,
            "no host leads"
        );
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
}
