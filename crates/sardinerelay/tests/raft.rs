//! Simulated groups of replicas under faults. Failure messages state the seed.

#[path = "raft/group.rs"]
mod group;

use {
    group::{Faults, Group, committed_commands},
    rand::Rng,
    rstest::rstest,
    sardinerelay::{
        id::Host,
        raft::{Change, DurableState, Membership, RequestError, Role},
    },
    std::collections::BTreeSet,
};

const LOSSY: Faults = Faults {
    loss_rate: 0.05,
    duplicate_rate: 0.05,
    max_delay_ms: 20,
    max_disk_ms: 10,
    max_clock_drift: 0.03,
};

const RELIABLE: Faults = Faults {
    loss_rate: 0.0,
    duplicate_rate: 0.0,
    max_delay_ms: 2,
    max_disk_ms: 3,
    max_clock_drift: 0.0,
};

/// A group whose leader has committed an entry on every replica.
fn elected_group(seed: u64, voters: u64, faults: Faults) -> (Group, Host) {
    let mut group = Group::new(seed, voters, faults);
    group.converge(10_000);
    let leader = group.leader().unwrap();
    (group, leader)
}

/// Injects one random fault, ends one, or does one random operation.
fn inject_fault(group: &mut Group, next_host: &mut Host, lost: &mut BTreeSet<Host>) {
    if group.rng.random_bool(0.2) {
        group.cut_links.clear();
    }
    let hosts: Vec<Host> = group.nodes.keys().copied().collect();
    let host = hosts[group.rng.random_range(0..hosts.len())];
    let is_running = group.nodes[&host].replica.is_some();
    let is_stopped = |host: &&Host| group.nodes[host].replica.is_none() && !lost.contains(host);
    let stopped = hosts.iter().find(is_stopped).copied();
    match group.rng.random_range(0..18) {
        0 | 1 if is_running => group.crash(host),
        2..=5 => stopped.into_iter().for_each(|host| group.start(host)),
        6 => group.isolate(host),
        7 => group.cut_links.clear(),
        8 => group.cut_links.extend([(host, hosts[0])]),
        9 => {
            let millis = group.rng.random_range(50..2000);
            group.freeze(host, millis);
        }
        10 if is_running => {
            let _ = group.replica(host).transfer(None);
        }
        11 => group.compact(host),
        12 if lost.is_empty() && stopped.is_none() => {
            group.crash(host);
            lost.insert(host);
        }
        _ => change_membership(group, next_host, lost),
    }
}

/// Proposes the next membership change of an operator who replaces lost replicas and keeps three
/// to five voters.
fn change_membership(group: &mut Group, next_host: &mut Host, lost: &mut BTreeSet<Host>) {
    let Some(leader) = group.leader() else {
        return;
    };
    let status = group.status(leader).unwrap();
    let Membership { voters, learners } = status.membership;
    let other_voter = voters.iter().copied().find(|host| *host != leader);
    let lost_voter = voters.iter().copied().find(|host| lost.contains(host));
    let change = match (learners.first(), lost_voter) {
        (_, Some(lost_voter)) if voters.len() > 3 => Change::Remove(lost_voter),
        (Some(learner), _) if voters.len() < 5 => Change::Promote(*learner),
        (Some(learner), _) => Change::Remove(*learner),
        (None, _) if voters.len() < 5 => Change::AddLearner(*next_host),
        (None, _) => Change::Remove(other_voter.unwrap()),
    };
    let is_accepted = group.replica(leader).change(change).is_ok();
    if let (Change::AddLearner(host), true) = (change, is_accepted) {
        group.add(host, DurableState::default());
        *next_host += 1;
    }
    // A lost replica counts as lost until every running replica has learned of its removal.
    let statuses: Vec<_> = group
        .alive()
        .iter()
        .filter_map(|host| group.status(*host))
        .collect();
    lost.retain(|host| {
        statuses
            .iter()
            .any(|status| status.membership.contains(*host))
    });
}

/// Guards against forks, lost commits, stale reads and two leaders in one term while all simulated
/// faults occur at once, and against a group that does not recover once the faults end. The
/// environment variable `RAFT_SEEDS` sets the number of seeds in each block.
#[rstest]
fn survives_random_faults(#[values(3, 5)] voters: u64, #[values(0, 1, 2, 3)] block: u64) {
    let seeds = std::env::var("RAFT_SEEDS").map_or(6, |seeds| seeds.parse().unwrap());
    for seed in block * seeds..(block + 1) * seeds {
        let mut group = Group::new(seed, voters, LOSSY);
        let mut next_host = voters + 1;
        let mut lost = BTreeSet::new();
        for round in 0..600 {
            for part in 0..group.rng.random_range(0..6) {
                group.propose(&format!("{round}.{part}"));
            }
            if let Some(leader) = group.leader() {
                group.read(leader, round);
            }
            if group.rng.random_bool(0.3) {
                inject_fault(&mut group, &mut next_host, &mut lost);
            }
            let pause = group.rng.random_range(1..60);
            group.run(pause);
        }
        group.check_logs();
        end_faults(&mut group, &lost);
        group.check_logs();
        assert!(
            committed_commands(&group) > 20,
            "seed {seed}: hardly anything was committed"
        );
        assert!(
            group.reads.values().any(Result::is_ok),
            "seed {seed}: no read was answered"
        );
    }
}

/// Ends all faults and waits until the members agree.
fn end_faults(group: &mut Group, lost: &BTreeSet<Host>) {
    group.cut_links.clear();
    group.faults = RELIABLE;
    for host in group.nodes.keys().copied().collect::<Vec<_>>() {
        if group.nodes[&host].replica.is_none() && !lost.contains(&host) {
            group.start(host);
        }
    }
    group.run(5000);
    let leader = group.leader().expect("no leader after the faults ended");
    let membership = group.status(leader).unwrap().membership;
    let removed = group
        .alive()
        .into_iter()
        .filter(|host| !membership.contains(*host));
    for host in removed.collect::<Vec<_>>() {
        group.crash(host);
    }
    group.converge(20_000);
}

/// Guards against a killed leader that is replaced too slowly.
#[test]
fn replaces_a_killed_leader_within_two_seconds() {
    let mut longest_ms = 0;
    for seed in 0..200 {
        let (mut group, leader) = elected_group(seed, 3 + 2 * (seed % 2), RELIABLE);
        let offset = group.rng.random_range(0..150);
        group.run(offset);
        group.crash(leader);
        let killed_at_ms = group.now_ms;
        group.run_until(2000, "new leader", |group| group.leader().is_some());
        longest_ms = longest_ms.max(group.now_ms - killed_at_ms);
    }
    println!("longest time without a leader: {longest_ms} ms");
}

/// Guards against an isolated leader that answers from stale state or keeps its lease while the
/// others elect a new leader.
#[rstest]
fn isolated_leader_steps_down_and_answers_no_read(#[values(3, 5)] voters: u64) {
    for seed in 0..20 {
        let (mut group, old) = elected_group(seed, voters, RELIABLE);
        group.isolate(old);
        assert!(
            group.read(old, 1),
            "a leader that does not know yet that it is isolated accepts reads"
        );
        group.run_until(2000, "successor", |group| {
            group.leader() != Some(old) && group.leader().is_some()
        });
        group.cut_links.clear();
        group.isolate(old);
        group.propose("newer").unwrap();
        group.run(500);
        assert_ne!(group.status(old).unwrap().role, Role::Leader, "seed {seed}");
        assert_eq!(
            group.reads.get(&1),
            Some(&Err(RequestError::NotLeader { leader: None }))
        );
        group.cut_links.clear();
        group.converge(3000);
    }
}

/// Guards against a fork if a second replica is lost right after the first one was replaced. If
/// the first one was removed from the voters, the remaining ones form a quorum. If it is still a
/// voter they do not, and the group must stop.
#[rstest]
fn second_loss_after_repair_never_forks(#[values(true, false)] remove_first: bool) {
    for seed in 0..20 {
        let (mut group, _) = elected_group(seed, 3, RELIABLE);
        let lost: Vec<Host> = group
            .alive()
            .into_iter()
            .filter(|host| Some(*host) != group.leader())
            .collect();
        group.crash(lost[0]);
        let repair = [Change::AddLearner(4), Change::Promote(4)];
        group.add(4, DurableState::default());
        let remove = remove_first.then_some(Change::Remove(lost[0]));
        for change in remove.into_iter().chain(repair) {
            apply_change(&mut group, change);
        }
        group.crash(lost[1]);
        let before = group.committed.len();
        group.run(3000);
        group.propose("after the second loss");
        group.run(1000);
        match remove_first {
            true => assert!(group.committed.len() > before, "seed {seed}: not available"),
            false => assert!(
                group.leader().is_none(),
                "seed {seed}: leads without a quorum"
            ),
        }
        group.start(lost[1]);
        group.converge(5000);
    }
}

/// Guards against a voter that no longer knows after a restart that a leader relies on it for its
/// lease, and helps to elect a replica that was cut off from the leader.
#[test]
fn restarted_voter_keeps_to_the_lease() {
    for seed in 0..30 {
        let (mut group, leader) = elected_group(seed, 3, RELIABLE);
        let (cut, voter) = (leader % 3 + 1, (leader + 1) % 3 + 1);
        group.cut_links.extend([(leader, cut), (cut, leader)]);
        group.run(1500);
        assert_eq!(group.leader(), Some(leader), "seed {seed}");
        group.crash(voter);
        group.start(voter);
        group.isolate(leader);
        group.run_until(2000, "successor", |group| {
            group.leader().is_some_and(|new| new != leader)
        });
    }
}

/// Guards against a replica that was cut off and forces an election when it returns.
#[test]
fn returning_replica_does_not_disturb_the_leader() {
    for seed in 0..20 {
        let (mut group, leader) = elected_group(seed, 3, RELIABLE);
        let term = group.status(leader).unwrap().term;
        group.isolate(leader % 3 + 1);
        group.run(5000);
        group.cut_links.clear();
        group.converge(3000);
        assert_eq!(group.leader(), Some(leader), "seed {seed}");
        assert_eq!(group.status(leader).unwrap().term, term, "seed {seed}");
    }
}

/// Guards against a leader that goes back by only one entry for each refused append.
#[test]
fn backs_up_over_a_whole_term_at_once() {
    // Messages are not reordered, because appends out of order are refused as well.
    let faults = Faults {
        max_delay_ms: 0,
        ..RELIABLE
    };
    let (mut group, old) = elected_group(4, 3, faults);
    group.isolate(old);
    for _ in 0..200 {
        group.replica(old).propose("lost".into()).unwrap();
    }
    group.run(2000);
    for _ in 0..300 {
        group.propose("kept");
        group.run(1);
    }
    // The next leader does not know where the logs diverge.
    let leader = group.leader().unwrap();
    group.replica(leader).transfer(None).unwrap();
    group.run(200);
    let before = group.rejected_appends;
    group.cut_links.clear();
    group.converge(3000);
    assert!(
        group.rejected_appends - before < 5,
        "{} refusals",
        group.rejected_appends - before
    );
}

/// Proposes a change until it is accepted, and waits for its commit.
fn apply_change(group: &mut Group, change: Change) {
    for _ in 0..5000 {
        let leader = group.leader();
        let accepted = leader.and_then(|leader| group.replica(leader).change(change).ok());
        if let Some(at) = accepted {
            return group.run_until(3000, "change", |group| {
                group.committed.len() as u64 >= at.index
            });
        }
        group.step();
    }
    panic!("{change:?} was never accepted");
}

/// Guards against two overlapping changes, whose quorums need not share a member.
#[test]
fn refuses_a_second_change_until_the_first_is_committed() {
    let (mut group, leader) = elected_group(1, 3, RELIABLE);
    let replica = group.replica(leader);
    let first = replica.change(Change::AddLearner(7)).unwrap();
    let error = RequestError::ChangePending { index: first.index };
    assert_eq!(replica.change(Change::AddLearner(8)), Err(error));
    assert_eq!(
        group.replica(leader).change(Change::Remove(leader)),
        Err(error)
    );
    group.run(100);
    let replica = group.replica(leader);
    assert_eq!(
        replica.change(Change::Remove(leader)),
        Err(RequestError::RemovesLeader)
    );
    // Host 7 was never started.
    let error = replica.change(Change::Promote(7)).unwrap_err();
    assert!(matches!(error, RequestError::Lagging { host: 7, .. }));
}

/// Guards against a change by a leader that does not know yet which earlier change is committed,
/// which can cause a fork (reported by Ongaro for single-server changes in 2015).
#[test]
fn refuses_a_change_before_the_term_is_committed() {
    let mut group = Group::new(2, 3, RELIABLE);
    group.run_until(5000, "leader", |group| group.leader().is_some());
    let leader = group.leader().unwrap();
    let refused = group.replica(leader).change(Change::AddLearner(7));
    assert_eq!(refused, Err(RequestError::TermNotCommitted));
}

/// Guards against a planned stop of the leader that leaves the group without one for an election
/// timeout.
#[test]
fn transfer_replaces_the_leader_at_once() {
    for seed in 0..20 {
        let (mut group, old) = elected_group(seed, 3, RELIABLE);
        let to = group.replica(old).transfer(None).unwrap();
        assert!(group.replica(old).lease().is_none());
        assert_eq!(
            group.replica(old).propose("x".into()),
            Err(RequestError::Transferring { to })
        );
        group.run_until(100, "successor", |group| group.leader() == Some(to));
    }
}

/// Guards against a learner that never completes a snapshot, against a snapshot transfer that
/// delays heartbeats until an election starts, and against a learner that votes before its
/// promotion.
#[test]
fn learner_catches_up_by_snapshot() {
    let (mut group, leader) = elected_group(3, 3, LOSSY);
    for round in 0..300 {
        group.propose(&format!("{round}"));
        group.run(5);
    }
    group.run(500);
    group.compact(leader);
    let term = group.status(leader).unwrap().term;
    group.add(4, DurableState::default());
    apply_change(&mut group, Change::AddLearner(4));
    group.run_until(10_000, "caught up", |group| {
        group.nodes[&4].machine.applied > 290
    });
    assert!(
        group.status(4).unwrap().snapshot > 0,
        "the learner did not receive a snapshot"
    );
    apply_change(&mut group, Change::Promote(4));
    group.converge(5000);
    assert_eq!(
        group.status(leader).unwrap().term,
        term,
        "the transfer caused an election"
    );
}
