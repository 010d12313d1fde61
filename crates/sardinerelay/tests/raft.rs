//! Runs of replicas in memory under faults. Each failure message states the seed.

#[path = "raft/group.rs"]
mod group;

use {
    group::{Faults, Group, commands},
    rand::Rng,
    rstest::rstest,
    sardinerelay::{
        id::Host,
        raft::{Change, DurableState, Membership, RequestError, Role},
    },
    std::collections::BTreeSet,
};

const LOSSY: Faults = Faults {
    loss: 0.05,
    duplicate: 0.05,
    delay_ms: 20,
    disk_ms: 10,
    drift: 0.03,
};

const CALM: Faults = Faults {
    loss: 0.0,
    duplicate: 0.0,
    delay_ms: 2,
    disk_ms: 3,
    drift: 0.0,
};

/// A group with a leader that has committed an entry.
fn settled(seed: u64, voters: u64, faults: Faults) -> (Group, Host) {
    let mut group = Group::new(seed, voters, faults);
    group.converge(10_000);
    let leader = group.leader().unwrap();
    (group, leader)
}

/// One random fault or operation.
fn disturb(group: &mut Group, next_host: &mut Host, lost: &mut BTreeSet<Host>) {
    if group.random.random_bool(0.2) {
        group.cut.clear();
    }
    let hosts: Vec<Host> = group.nodes.keys().copied().collect();
    let host = hosts[group.random.random_range(0..hosts.len())];
    let running = group.nodes[&host].replica.is_some();
    let stopped = |host: &&Host| group.nodes[host].replica.is_none() && !lost.contains(host);
    let stopped = hosts.iter().find(stopped).copied();
    match group.random.random_range(0..18) {
        0 | 1 if running => group.crash(host),
        2..=5 => stopped.into_iter().for_each(|host| group.start(host)),
        6 => group.isolate(host),
        7 => group.cut.clear(),
        8 => group.cut.extend([(host, hosts[0])]),
        9 => {
            let millis = group.random.random_range(50..2000);
            group.freeze(host, millis);
        }
        10 if running => {
            let _ = group.replica(host).transfer(None);
        }
        11 => group.compact(host),
        12 if lost.is_empty() && stopped.is_none() => {
            group.crash(host);
            lost.insert(host);
        }
        _ => operate(group, next_host, lost),
    }
}

/// The operator's next step: replaces lost replicas and keeps three to five voters.
fn operate(group: &mut Group, next_host: &mut Host, lost: &mut BTreeSet<Host>) {
    let Some(leader) = group.leader() else {
        return;
    };
    let status = group.status(leader).unwrap();
    let Membership { voters, learners } = status.membership;
    let spare = voters.iter().copied().find(|host| *host != leader);
    let gone = voters.iter().copied().find(|host| lost.contains(host));
    let change = match (learners.first(), gone) {
        (_, Some(gone)) if voters.len() > 3 => Change::Remove(gone),
        (Some(learner), _) if voters.len() < 5 => Change::Promote(*learner),
        (Some(learner), _) => Change::Remove(*learner),
        (None, _) if voters.len() < 5 => Change::AddLearner(*next_host),
        (None, _) => Change::Remove(spare.unwrap()),
    };
    let accepted = group.replica(leader).change(change).is_ok();
    if let (Change::AddLearner(host), true) = (change, accepted) {
        group.add(host, DurableState::default());
        *next_host += 1;
    }
    // A lost replica counts until every running replica has seen its removal.
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

/// Guards against forks, lost commits, stale reads and double leaders under every fault of the
/// model at once, and against a group that doesn't recover once the faults end. `RAFT_SEEDS` sets
/// the number of seeds in each block.
#[rstest]
fn survives_random_faults(#[values(3, 5)] voters: u64, #[values(0, 1, 2, 3)] block: u64) {
    let seeds = std::env::var("RAFT_SEEDS").map_or(6, |seeds| seeds.parse().unwrap());
    for seed in block * seeds..(block + 1) * seeds {
        let mut group = Group::new(seed, voters, LOSSY);
        let mut next_host = voters + 1;
        let mut lost = BTreeSet::new();
        for round in 0..600 {
            for part in 0..group.random.random_range(0..6) {
                group.propose(&format!("{round}.{part}"));
            }
            if let Some(leader) = group.leader() {
                group.read(leader, round);
            }
            if group.random.random_bool(0.3) {
                disturb(&mut group, &mut next_host, &mut lost);
            }
            let pause = group.random.random_range(1..60);
            group.run(pause);
        }
        group.check_logs();
        recover(&mut group, &lost);
        group.check_logs();
        assert!(
            commands(&group) > 20,
            "seed {seed}: hardly anything was committed"
        );
        assert!(
            group.reads.values().any(Result::is_ok),
            "seed {seed}: no read was answered"
        );
    }
}

/// Ends all faults and waits until the members agree.
fn recover(group: &mut Group, lost: &BTreeSet<Host>) {
    group.cut.clear();
    group.faults = CALM;
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

/// Guards against a slow replacement of a killed leader.
#[test]
fn replaces_a_killed_leader_within_two_seconds() {
    let mut longest = 0;
    for seed in 0..200 {
        let (mut group, leader) = settled(seed, 3 + 2 * (seed % 2), CALM);
        let offset = group.random.random_range(0..150);
        group.run(offset);
        group.crash(leader);
        let killed = group.millis;
        group.run_until(2000, "new leader", |group| group.leader().is_some());
        longest = longest.max(group.millis - killed);
    }
    println!("longest time without a leader: {longest} ms");
}

/// Guards against an isolated leader that answers from old state or keeps its lease while the
/// others elect a new leader.
#[rstest]
fn isolated_leader_steps_down_and_answers_no_read(#[values(3, 5)] voters: u64) {
    for seed in 0..20 {
        let (mut group, old) = settled(seed, voters, CALM);
        group.isolate(old);
        assert!(
            group.read(old, 1),
            "accepted, because the leader can't know yet"
        );
        group.run_until(2000, "successor", |group| {
            group.leader() != Some(old) && group.leader().is_some()
        });
        group.cut.clear();
        group.isolate(old);
        group.propose("newer").unwrap();
        group.run(500);
        assert_ne!(group.status(old).unwrap().role, Role::Leader, "seed {seed}");
        assert_eq!(
            group.reads.get(&1),
            Some(&Err(RequestError::NotLeader { leader: None }))
        );
        group.cut.clear();
        group.converge(3000);
    }
}

/// Guards against a fork after a second replica is lost right after the repair of the first.
/// With the lost replica removed first, one more loss leaves a quorum; while it is still a
/// voter, the group must stop rather than go on without one.
#[rstest]
fn second_loss_after_repair_never_forks(#[values(true, false)] remove_first: bool) {
    for seed in 0..20 {
        let (mut group, _) = settled(seed, 3, CALM);
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

/// Guards against a voter that forgets, by its restart, that a leader relies on it for its
/// lease, and elects a replica that has not heard the leader for a while.
#[test]
fn restarted_voter_keeps_to_the_lease() {
    for seed in 0..30 {
        let (mut group, leader) = settled(seed, 3, CALM);
        let (cut, voter) = (leader % 3 + 1, (leader + 1) % 3 + 1);
        group.cut.extend([(leader, cut), (cut, leader)]);
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

/// Guards against a replica that was cut off and disturbs a healthy leader when it returns.
#[test]
fn returning_replica_does_not_disturb_the_leader() {
    for seed in 0..20 {
        let (mut group, leader) = settled(seed, 3, CALM);
        let term = group.status(leader).unwrap().term;
        group.isolate(leader % 3 + 1);
        group.run(5000);
        group.cut.clear();
        group.converge(3000);
        assert_eq!(group.leader(), Some(leader), "seed {seed}");
        assert_eq!(group.status(leader).unwrap().term, term, "seed {seed}");
    }
}

/// Guards against a follower that goes back by one entry for each refused append.
#[test]
fn backs_up_over_a_whole_term_at_once() {
    // Without reordering, which is refused as well.
    let faults = Faults {
        delay_ms: 0,
        ..CALM
    };
    let (mut group, old) = settled(4, 3, faults);
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
    let before = group.rejected;
    group.cut.clear();
    group.converge(3000);
    assert!(
        group.rejected - before < 5,
        "{} refusals",
        group.rejected - before
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
    let (mut group, leader) = settled(1, 3, CALM);
    let replica = group.replica(leader);
    let first = replica.change(Change::AddLearner(7)).unwrap();
    let refusal = RequestError::ChangePending { index: first.index };
    assert_eq!(replica.change(Change::AddLearner(8)), Err(refusal));
    assert_eq!(
        group.replica(leader).change(Change::Remove(leader)),
        Err(refusal)
    );
    group.run(100);
    let replica = group.replica(leader);
    assert_eq!(
        replica.change(Change::Remove(leader)),
        Err(RequestError::RemovesLeader)
    );
    // Host 7 was never started.
    let refusal = replica.change(Change::Promote(7)).unwrap_err();
    assert!(matches!(refusal, RequestError::Lagging { host: 7, .. }));
}

/// Guards against a change by a leader that doesn't know yet which earlier change is committed
/// (the fault that Ongaro reported for single-server changes in 2015).
#[test]
fn refuses_a_change_before_the_term_is_committed() {
    let mut group = Group::new(2, 3, CALM);
    group.run_until(5000, "leader", |group| group.leader().is_some());
    let leader = group.leader().unwrap();
    let refused = group.replica(leader).change(Change::AddLearner(7));
    assert_eq!(refused, Err(RequestError::TermNotCommitted));
}

/// Guards against a planned stop that leaves the group without a leader for an election timeout.
#[test]
fn transfer_replaces_the_leader_at_once() {
    for seed in 0..20 {
        let (mut group, old) = settled(seed, 3, CALM);
        let to = group.replica(old).transfer(None).unwrap();
        assert!(group.replica(old).lease().is_none());
        assert_eq!(
            group.replica(old).propose("x".into()),
            Err(RequestError::Transferring { to })
        );
        group.run_until(100, "successor", |group| group.leader() == Some(to));
    }
}

/// Guards against a learner that is fed by chunks forever or starves the heartbeats meanwhile,
/// and against one that votes before its promotion.
#[test]
fn learner_catches_up_by_snapshot() {
    let (mut group, leader) = settled(3, 3, LOSSY);
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
        "went through a snapshot"
    );
    apply_change(&mut group, Change::Promote(4));
    group.converge(5000);
    assert_eq!(
        group.status(leader).unwrap().term,
        term,
        "the transfer caused an election"
    );
}
