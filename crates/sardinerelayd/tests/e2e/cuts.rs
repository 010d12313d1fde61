//! Availability zones cut off from each other, silently or not.

use {
    crate::{
        calls::{self, runs},
        client::{self, assert_whole},
        harness::{System, engine, eventually, in_force, key, sheet, standin},
        wires::Wires,
    },
    rstest::rstest,
    sardinerelay::operator::Verdict,
    serde_json::Value,
    std::net::SocketAddr,
    uuid::Uuid,
};

/// Places the tests' order and returns status and answer.
async fn order(address: SocketAddr, id: &str) -> (u16, Value) {
    let (status, _, text) = calls::order(address, "brakeline", id, "punch 7").await;
    (status, serde_json::from_str(&text).unwrap_or_default())
}

/// Guards against a cut zone that stops serving generations, runs what it can't run safely, accepts
/// a sheet, reverts, or does not come back by itself (G3, G4, G7).
#[rstest]
#[case::refused_connections("cut")]
#[case::silence("black_hole")]
#[tokio::test]
async fn a_cut_zone_serves_what_it_can_and_rejoins(#[case] mode: &str) {
    let (engine, service) = (engine("engine-0", &[]), standin(&["service"]));
    let mut system = System::new(6, 3, &["--bootstrap"]);
    let wires = Wires::lay(&mut system, 3);
    system.start();
    let first = sheet(1, &[engine.address], &[service.address]);
    system.put_in_force(&first).await;
    // Zone lakes-a holds hosts 1 and 4.
    wires.fault("lakes-a", mode).await;
    let second = sheet(2, &[engine.address], &[service.address]);
    let proposal = Uuid::new_v4();
    let accepted = async || {
        matches!(
            system.submit(1, &second, proposal).await,
            Ok(Verdict::Accepted(_))
        )
    };
    eventually("the majority accepts a new sheet", accepted).await;
    for position in [0, 3] {
        let mut stream =
            client::stream(system.address(position), &key("brakeline"), "cut", 10, &[])
                .await
                .expect("a stream");
        assert_whole(&stream.rest().await, "cut", 0, 10);
        let id = Uuid::now_v7().to_string();
        let (_, answer) = order(system.address(position), &id).await;
        assert_eq!(answer["error"]["run"], "not_run", "{answer}");
        assert_eq!(runs(&service, &id).await, 0);
        assert_eq!(in_force(system.hosts[position].operator).await, Some(1));
    }
    let third = sheet(3, &[engine.address], &[service.address]);
    assert!(
        system.submit(0, &third, Uuid::new_v4()).await.is_err(),
        "a minority must not accept a sheet"
    );
    wires.heal("lakes-a").await;
    for host in &system.hosts {
        let shown = async || in_force(host.operator).await >= Some(2);
        eventually("the sheet of the majority is in force everywhere", shown).await;
    }
    let id = Uuid::now_v7().to_string();
    eventually("keyed calls run again", async || {
        order(system.address(3), &id).await.0 == 200
    })
    .await;
    assert_eq!(runs(&service, &id).await, 1);
}

/// Guards against an old leader that still believes in itself during a silent cut: it must not run
/// a keyed call, and what the new leader runs must run once.
#[tokio::test]
async fn an_isolated_leader_commits_nothing() {
    let service = standin(&["service"]);
    let mut system = System::new(3, 3, &["--bootstrap"]);
    let wires = Wires::lay(&mut system, 3);
    system.start();
    system
        .put_in_force(&sheet(1, &[], &[service.address]))
        .await;
    for _ in 0..3 {
        let leader = leader(&system).await;
        let zone = system.hosts[leader].zone.clone();
        wires.fault(&zone, "black_hole").await;
        let id = Uuid::now_v7().to_string();
        let (_, answer) = order(system.address(leader), &id).await;
        assert_eq!(answer["error"]["run"], "not_run", "{answer}");
        assert_eq!(runs(&service, &id).await, 0);
        let other = (leader + 1) % 3;
        eventually("the majority runs the call", async || {
            order(system.address(other), &id).await.0 == 200
        })
        .await;
        wires.heal(&zone).await;
        eventually("the old leader replays the answer", async || {
            order(system.address(leader), &id).await.0 == 200
        })
        .await;
        assert_eq!(runs(&service, &id).await, 1);
    }
}

async fn leader(system: &System) -> usize {
    let since = std::time::Instant::now();
    loop {
        for position in 0..system.hosts.len() {
            let health = system
                .operate(position, sardinerelay::operator::HEALTH, Value::Null)
                .await;
            if health.is_ok_and(|health| health["role"] == "leader") {
                return position;
            }
        }
        assert!(since.elapsed() < crate::harness::PATIENCE, "no host leads");
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
}
