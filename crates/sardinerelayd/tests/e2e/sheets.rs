//! The sheet: accepted once, in force everywhere, never reverted (G7).

use {
    crate::harness::{System, engine, eventually, in_force, sheet},
    sardinerelay::operator::Verdict,
    uuid::Uuid,
};

/// Guards against two sheets under one number.
#[tokio::test]
async fn racing_operators_get_one_winner_and_one_conflict() {
    let engine = engine("engine-0", &[]);
    let mut system = System::new(3, 3, &["--bootstrap"]);
    system.start();
    system.put_in_force(&sheet(1, &[engine.address], &[])).await;
    for round in 2..6 {
        let left = sheet(round, &[engine.address], &[]);
        let mut right = left.clone();
        right.organisations.truncate(1);
        let (left, right) = tokio::join!(
            system.submit(0, &left, Uuid::new_v4()),
            system.submit(1, &right, Uuid::new_v4()),
        );
        let verdicts = [left.expect("a verdict"), right.expect("a verdict")];
        let [accepted, other] = match &verdicts {
            [Verdict::Accepted(version), other] | [other, Verdict::Accepted(version)] => {
                [Some(*version), conflict(other)]
            }
            _ => panic!("nobody won: {verdicts:?}"),
        };
        assert_eq!(accepted, other, "the loser learns of the winner");
    }
}

fn conflict(verdict: &Verdict) -> Option<sardinerelay::operator::SheetVersion> {
    match verdict {
        Verdict::Conflict { held } => Some(*held),
        _ => None,
    }
}

/// Guards against another answer for a resend, after the leader died and all hosts restarted.
#[tokio::test]
async fn a_resend_gets_the_first_answer_after_leader_change_and_restart() {
    let engine = engine("engine-0", &[]);
    let first = sheet(1, &[engine.address], &[]);
    let mut system = System::new(3, 3, &["--bootstrap"]);
    system.start();
    system.put_in_force(&first).await;
    let verdict = system
        .submit(0, &first, Uuid::new_v4())
        .await
        .expect("a verdict");
    for position in 0..3 {
        system.kill(position);
        let survivor = (position + 1) % 3;
        let same = async || {
            system
                .submit(survivor, &first, Uuid::new_v4())
                .await
                .ok()
                .as_ref()
                == Some(&verdict)
        };
        eventually("the resend gets the first answer", same).await;
        system.start_host(position);
    }
    (0..3).for_each(|position| system.kill(position));
    system.start();
    let same =
        async || system.submit(2, &first, Uuid::new_v4()).await.ok().as_ref() == Some(&verdict);
    eventually(
        "the resend gets the first answer after a restart of all hosts",
        same,
    )
    .await;
}

/// Guards against a host that shows an older sheet after a restart, with and without a disk.
#[tokio::test]
async fn no_host_reverts_to_an_older_sheet_when_it_restarts() {
    let engine = engine("engine-0", &[]);
    let mut system = System::new(4, 3, &["--bootstrap"]);
    system.start();
    for number in 1..=5 {
        system
            .put_in_force(&sheet(number, &[engine.address], &[]))
            .await;
    }
    for position in [3, 0, 1, 2] {
        system.kill(position);
        system.start_host(position);
        let operator = system.hosts[position].operator;
        let shown = async || match in_force(operator).await {
            Some(number) => {
                assert_eq!(number, 5, "host {} reverted", position + 1);
                true
            }
            None => false,
        };
        eventually("the restarted host has the sheet in force", shown).await;
    }
}

/// Guards against a founding voter that is refused because it starts after the others have already
/// accepted a sheet, as happens when hosts are started by hand.
#[tokio::test]
async fn a_founding_voter_may_start_late() {
    let engine = engine("engine-0", &[]);
    let mut system = System::new(3, 3, &["--bootstrap"]);
    system.start_host(0);
    system.start_host(1);
    system.put_in_force(&sheet(1, &[engine.address], &[])).await;
    system.start_host(2);
    let operator = system.hosts[2].operator;
    let shown = async || in_force(operator).await == Some(1);
    eventually("the late voter has the sheet in force", shown).await;
}
