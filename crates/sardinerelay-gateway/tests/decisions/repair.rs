//! Automatic repair of the group's membership.

use {
    rstest::rstest,
    sardinerelay::{
        id::Host,
        raft::{Change, Membership},
    },
    sardinerelay_gateway::group::{
        member,
        repair::{
            GroupState, JoinRequest, MEMBER_SILENCE_TIMEOUT, Step, VOTER_SILENCE_TIMEOUT,
            drop_expired_requests,
        },
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::Ipv4Addr,
        time::{Duration, Instant},
    },
};

const ADDRESSES: [Ipv4Addr; 4] = [
    Ipv4Addr::new(10, 1, 0, 1),
    Ipv4Addr::new(10, 2, 0, 1),
    Ipv4Addr::new(10, 3, 0, 1),
    Ipv4Addr::new(10, 3, 0, 9),
];

/// Time without a message after which a learner isn't promoted.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(500);

/// A group as its leader sees it.
struct Group {
    membership: Membership,
    last_heard: BTreeMap<Host, Instant>,
    join_requests: BTreeMap<Ipv4Addr, JoinRequest>,
    leaving: BTreeMap<Host, Instant>,
    /// Learners that haven't caught up.
    behind: BTreeSet<Host>,
    desired_voters: usize,
    now: Instant,
}

impl Group {
    fn of_three() -> Self {
        let founders = ADDRESSES[..3].iter().copied().map(member::founder_id);
        let now = Instant::now() + Duration::from_secs(60);
        let membership = Membership::new(founders);
        Self {
            last_heard: membership.hosts().map(|host| (host, now)).collect(),
            membership,
            join_requests: BTreeMap::new(),
            leaving: BTreeMap::new(),
            behind: BTreeSet::new(),
            desired_voters: 3,
            now,
        }
    }

    fn join(&mut self, address: Ipv4Addr, is_founding: bool) -> Host {
        let host = member::random_id(address, &mut rand::rng());
        let received_at = self.now;
        self.join_requests.insert(
            address,
            JoinRequest {
                host,
                received_at,
                is_founding,
            },
        );
        self.last_heard.insert(host, self.now);
        host
    }

    /// Lets a host be silent for this long.
    fn silence(&mut self, host: Host, duration: Duration) {
        self.last_heard.insert(host, self.now - duration);
    }

    /// The learners that may become voters: those that were heard within an election timeout.
    fn promotable(&self) -> BTreeSet<Host> {
        let is_ready = |host: &Host| {
            let heard = self.last_heard.get(host);
            let is_live = heard.is_some_and(|heard| self.now < *heard + ELECTION_TIMEOUT);
            is_live && !self.behind.contains(host)
        };
        let learners = self.membership.learners.iter().copied();
        learners.filter(is_ready).collect()
    }

    fn next(&self) -> Option<Step> {
        let promotable = self.promotable();
        let state = GroupState {
            membership: &self.membership,
            leader: member::founder_id(ADDRESSES[0]),
            desired_voters: self.desired_voters,
            last_heard: &self.last_heard,
            leaving: &self.leaving,
            promotable: &promotable,
            join_requests: &self.join_requests,
        };
        state.next_step(self.now)
    }

    /// Applies steps until there is no next one, and returns them.
    fn settle(&mut self) -> Vec<Step> {
        let mut steps = Vec::new();
        while let Some(step) = self.next() {
            steps.push(step);
            match step {
                Step::Change(change) => {
                    let changed = self.membership.changed(change);
                    self.membership = changed.expect("applicable step");
                }
                Step::Grow(voters) => self.desired_voters = voters,
            }
            drop_expired_requests(&mut self.join_requests, &self.membership, self.now);
            assert!(steps.len() < 20, "the repair doesn't end: {steps:?}");
        }
        steps
    }
}

#[test]
fn a_replica_id_contains_the_address_and_is_not_reused() {
    let address = ADDRESSES[2];
    let founder = member::founder_id(address);
    let newcomer = member::random_id(address, &mut rand::rng());
    assert_eq!(member::address(founder), address);
    assert_eq!(member::address(newcomer), address);
    assert_ne!(founder, newcomer);
}

#[test]
fn a_complete_group_is_left_unchanged() {
    assert_eq!(Group::of_three().next(), None);
}

#[test]
fn a_silent_voter_stays_without_a_replacement() {
    let mut group = Group::of_three();
    group.silence(
        member::founder_id(ADDRESSES[2]),
        MEMBER_SILENCE_TIMEOUT * 10,
    );
    assert_eq!(group.next(), None);
}

#[test]
fn a_lost_disk_is_replaced_at_its_own_address() {
    let mut group = Group::of_three();
    let lost = member::founder_id(ADDRESSES[2]);
    let new = group.join(ADDRESSES[2], false);
    let steps = group.settle();
    assert_eq!(
        steps,
        [
            Step::Change(Change::Remove(lost)),
            Step::Change(Change::AddLearner(new)),
            Step::Change(Change::Promote(new)),
        ]
    );
    assert_eq!(group.membership.voters.len(), 3);
}

#[test]
fn a_host_at_another_address_waits_until_a_voter_is_silent() {
    let mut group = Group::of_three();
    let gone = member::founder_id(ADDRESSES[1]);
    let new = group.join(ADDRESSES[3], false);
    assert_eq!(group.settle(), [Step::Change(Change::AddLearner(new))]);
    group.silence(gone, MEMBER_SILENCE_TIMEOUT + Duration::from_millis(1));
    let steps = group.settle();
    assert_eq!(
        steps,
        [
            Step::Change(Change::Remove(gone)),
            Step::Change(Change::Promote(new)),
        ]
    );
    assert!(!group.membership.contains(gone));
}

#[test]
fn of_two_silent_voters_the_one_that_is_silent_longest_is_replaced() {
    let mut group = Group::of_three();
    let frozen = member::founder_id(ADDRESSES[1]);
    let gone = member::founder_id(ADDRESSES[2]);
    group.silence(frozen, MEMBER_SILENCE_TIMEOUT * 2);
    group.silence(gone, MEMBER_SILENCE_TIMEOUT * 3);
    group.join(ADDRESSES[3], false);
    group.settle();
    assert!(group.membership.voters.contains(&frozen));
    assert!(!group.membership.contains(gone));
}

#[test]
fn hosts_that_start_with_the_system_become_voters() {
    let mut group = Group::of_three();
    let new = group.join(ADDRESSES[3], true);
    group.settle();
    assert_eq!(group.desired_voters, 4);
    assert!(group.membership.voters.contains(&new));
}

/// Guards against the removal of a live voter: the request of the replica before it, which ran at the
/// same address and had not become a voter, outlives its own request.
#[test]
fn a_host_that_loses_its_disk_twice_keeps_its_newest_replica() {
    let mut group = Group::of_three();
    let first = group.join(ADDRESSES[2], false);
    while !group.membership.learners.contains(&first) {
        let Some(Step::Change(change)) = group.next() else {
            panic!("the first replica becomes a learner");
        };
        group.membership = group.membership.changed(change).expect("applicable step");
    }
    group.now += Duration::from_millis(500);
    let second = group.join(ADDRESSES[2], false);
    group.settle();
    assert!(group.membership.voters.contains(&second));
    assert!(!group.membership.contains(first));
}

#[test]
fn a_silent_learner_is_removed_and_not_promoted() {
    let mut group = Group::of_three();
    let new = group.join(ADDRESSES[3], false);
    group.settle();
    group.silence(member::founder_id(ADDRESSES[1]), MEMBER_SILENCE_TIMEOUT * 3);
    group.silence(new, MEMBER_SILENCE_TIMEOUT * 2);
    group.join_requests.clear();
    assert_eq!(group.settle(), [Step::Change(Change::Remove(new))]);
    assert_eq!(group.membership.voters.len(), 3);
}

#[test]
fn a_voter_that_leaves_is_replaced_while_it_still_answers() {
    let mut group = Group::of_three();
    let leaving = member::founder_id(ADDRESSES[1]);
    group.leaving.insert(leaving, group.now);
    assert_eq!(group.settle(), [], "there is no successor");
    let new = group.join(ADDRESSES[3], false);
    assert_eq!(
        group.settle(),
        [
            Step::Change(Change::AddLearner(new)),
            Step::Change(Change::Promote(new)),
            Step::Change(Change::Remove(leaving)),
        ]
    );
}

/// A voter that was stopped and has come back says nothing more of leaving.
#[test]
fn a_voter_that_has_come_back_is_not_replaced() {
    let mut group = Group::of_three();
    let restarted = member::founder_id(ADDRESSES[1]);
    group
        .leaving
        .insert(restarted, group.now - Duration::from_secs(3));
    let new = group.join(ADDRESSES[3], false);
    assert_eq!(group.settle(), [Step::Change(Change::AddLearner(new))]);
}

/// Guards against a group of two that waits for a learner which has not caught up.
#[test]
fn no_voter_is_removed_for_a_learner_that_is_behind() {
    let mut group = Group::of_three();
    let new = group.join(ADDRESSES[3], false);
    group.behind.insert(new);
    group.settle();
    group.silence(member::founder_id(ADDRESSES[1]), VOTER_SILENCE_TIMEOUT * 2);
    group
        .leaving
        .insert(member::founder_id(ADDRESSES[2]), group.now);
    assert_eq!(group.settle(), []);
    assert_eq!(group.membership.voters.len(), 3);
}

/// A voter that ended after its successor began to vote must not count on.
#[test]
fn a_voter_too_many_is_removed_once_it_is_silent() {
    let mut group = Group::of_three();
    let gone = member::founder_id(ADDRESSES[1]);
    let new = group.join(ADDRESSES[3], false);
    group.membership.learners.insert(new);
    let promoted = group.membership.changed(Change::Promote(new));
    group.membership = promoted.expect("applicable step");
    assert_eq!(group.settle(), [], "all four answer");
    group.silence(gone, VOTER_SILENCE_TIMEOUT + Duration::from_millis(1));
    assert_eq!(group.settle(), [Step::Change(Change::Remove(gone))]);
}

/// In a random order of silences and joins, a voter may be removed only if another host takes its
/// place.
#[rstest]
#[case(1)]
#[case(7)]
#[case(42)]
fn a_repair_never_ends_with_fewer_voters(#[case] seed: u64) {
    use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
    let mut rng = StdRng::seed_from_u64(seed);
    let mut group = Group::of_three();
    for _ in 0..200 {
        group.now += Duration::from_secs(1);
        let leader = member::founder_id(ADDRESSES[0]);
        let hosts: Vec<Host> = group.membership.hosts().collect();
        for host in hosts {
            if host == leader || rng.random_bool(0.7) {
                group.last_heard.insert(host, group.now);
            }
        }
        if rng.random_bool(0.2) {
            let address = ADDRESSES[rng.random_range(1..ADDRESSES.len())];
            group.join(address, false);
        }
        group.settle();
        assert!(group.membership.voters.len() >= 3, "seed {seed}");
    }
}
