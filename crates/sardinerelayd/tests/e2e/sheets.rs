//! A sheet is accepted once, comes into force on every host and is never reverted (G7).

use {
    crate::harness::{Cluster, eventually, sheet_number_in_force, start_engine, test_sheet},
    sardinerelay::operator::Verdict,
    uuid::Uuid,
};

/// Guards against two accepted sheets with the same number.
#[tokio::test]
async fn racing_operators_get_one_winner_and_one_conflict() {
    let engine = start_engine("engine-0", &[]);
    let mut cluster = Cluster::new(3, 3, &["--bootstrap"]);
    cluster.start();
    cluster
        .put_in_force(&test_sheet(1, &[engine.address], &[]))
        .await;
    for round in 2..6 {
        let left = test_sheet(round, &[engine.address], &[]);
        let mut right = left.clone();
        right.organisations.truncate(1);
        let (left, right) = tokio::join!(
            cluster.submit(0, &left, Uuid::new_v4()),
            cluster.submit(1, &right, Uuid::new_v4()),
        );
        let verdicts = [left.expect("a verdict"), right.expect("a verdict")];
        let [accepted, other] = match &verdicts {
            [Verdict::Accepted(version), other] | [other, Verdict::Accepted(version)] => {
                [Some(*version), accepted_instead(other)]
            }
            _ => panic!("no sheet was accepted: {verdicts:?}"),
        };
        assert_eq!(accepted, other, "the conflict names the accepted sheet");
    }
}

/// The accepted version that a conflict names.
fn accepted_instead(verdict: &Verdict) -> Option<sardinerelay::operator::SheetVersion> {
    match verdict {
        Verdict::Conflict { held } => Some(*held),
        _ => None,
    }
}

/// Guards against another verdict for a resent sheet after a change of leader, and after a restart
/// of all hosts.
#[tokio::test]
async fn a_resend_gets_the_first_answer_after_leader_change_and_restart() {
    let engine = start_engine("engine-0", &[]);
    let first = test_sheet(1, &[engine.address], &[]);
    let mut cluster = Cluster::new(3, 3, &["--bootstrap"]);
    cluster.start();
    cluster.put_in_force(&first).await;
    let verdict = cluster
        .submit(0, &first, Uuid::new_v4())
        .await
        .expect("a verdict");
    for position in 0..3 {
        cluster.kill(position);
        let survivor = (position + 1) % 3;
        let same = async || {
            cluster
                .submit(survivor, &first, Uuid::new_v4())
                .await
                .ok()
                .as_ref()
                == Some(&verdict)
        };
        eventually("the resend gets the first verdict", same).await;
        cluster.start_host(position);
    }
    (0..3).for_each(|position| cluster.kill(position));
    cluster.start();
    let same = async || {
        cluster
            .submit(2, &first, Uuid::new_v4())
            .await
            .ok()
            .as_ref()
            == Some(&verdict)
    };
    eventually(
        "the resend gets the first verdict after a restart of all hosts",
        same,
    )
    .await;
}

/// Guards against a host, with or without a disk, that has an older sheet in force after a restart.
#[tokio::test]
async fn no_host_reverts_to_an_older_sheet_when_it_restarts() {
    let engine = start_engine("engine-0", &[]);
    let mut cluster = Cluster::new(4, 3, &["--bootstrap"]);
    cluster.start();
    for number in 1..=5 {
        cluster
            .put_in_force(&test_sheet(number, &[engine.address], &[]))
            .await;
    }
    for position in [3, 0, 1, 2] {
        cluster.kill(position);
        cluster.start_host(position);
        let operator = cluster.hosts[position].operator;
        let is_in_force = async || match sheet_number_in_force(operator).await {
            Some(number) => {
                assert_eq!(number, 5, "host {} reverted", position + 1);
                true
            }
            None => false,
        };
        eventually("the restarted host has the sheet in force", is_in_force).await;
    }
}

/// Guards against a founding voter that is refused because it starts after the others have already
/// accepted a sheet, as happens when hosts are started by hand.
#[tokio::test]
async fn a_founding_voter_may_start_late() {
    let engine = start_engine("engine-0", &[]);
    let mut cluster = Cluster::new(3, 3, &["--bootstrap"]);
    cluster.start_host(0);
    cluster.start_host(1);
    cluster
        .put_in_force(&test_sheet(1, &[engine.address], &[]))
        .await;
    cluster.start_host(2);
    let operator = cluster.hosts[2].operator;
    let is_in_force = async || sheet_number_in_force(operator).await == Some(1);
    eventually("the late voter has the sheet in force", is_in_force).await;
}
