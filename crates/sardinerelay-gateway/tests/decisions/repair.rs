//! Automatic repair of the group's membership.

use {
    rstest::rstest,
    sardinerelay::{
        id::Host,
        raft::{Change, Membership},
    },
    sardinerelay_gateway::group::{
        member,
        repair::{GroupState, JoinRequest, Step, VOTER_SILENCE_TIMEOUT, drop_expired_requests},
    },
    std::{
        collections::BTreeMap,
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

struct Group {
    membership: Membership,
    heard: BTreeMap<Host, Instant>,
    joiners: BTreeMap<Host, JoinRequest>,
    wanted: usize,
    now: Instant,
}

impl Group {
    fn of_three() -> Self {
        let founders = ADDRESSES[..3].iter().copied().map(member::founder_id);
        let now = Instant::now() + Duration::from_secs(60);
        let membership = Membership::new(founders);
        Self {
            heard: membership.hosts().map(|host| (host, now)).collect(),
            membership,
            joiners: BTreeMap::new(),
            wanted: 3,
            now,
        }
    }

    fn join(&mut self, address: Ipv4Addr, founding: bool) -> Host {
        let host = member::random_id(address, &mut rand::rng());
        let asked = self.now;
        self.joiners.insert(
            host,
            JoinRequest {
                received_at: asked,
                is_founding: founding,
            },
        );
        self.heard.insert(host, self.now);
        host
    }

    fn silence(&mut self, host: Host, time: Duration) {
        self.heard.insert(host, self.now - time);
    }

    fn next(&self) -> Option<Step> {
        let seen = GroupState {
            membership: &self.membership,
            leader: member::founder_id(ADDRESSES[0]),
            desired_voters: self.wanted,
            last_heard: &self.heard,
            join_requests: &self.joiners,
        };
        seen.next_step(self.now)
    }

    /// Applies steps until none is left, and returns them.
    fn settle(&mut self) -> Vec<Step> {
        let mut steps = Vec::new();
        while let Some(step) = self.next() {
            steps.push(step);
            match step {
                Step::Change(change) => {
                    let changed = self.membership.changed(change);
                    self.membership = changed.expect("applicable step");
                }
                Step::Grow(voters) => self.wanted = voters,
            }
            drop_expired_requests(&mut self.joiners, &self.membership, self.now);
            assert!(steps.len() < 20, "the repair doesn't end: {steps:?}");
        }
        steps
    }
}

#[test]
fn a_host_number_contains_the_address_and_is_not_reused() {
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
    group.silence(member::founder_id(ADDRESSES[2]), VOTER_SILENCE_TIMEOUT * 10);
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
    group.silence(gone, VOTER_SILENCE_TIMEOUT + Duration::from_millis(1));
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
    group.silence(frozen, VOTER_SILENCE_TIMEOUT * 2);
    group.silence(gone, VOTER_SILENCE_TIMEOUT * 3);
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
    assert_eq!(group.wanted, 4);
    assert!(group.membership.voters.contains(&new));
}

#[test]
fn a_silent_learner_is_removed_and_not_promoted() {
    let mut group = Group::of_three();
    let new = group.join(ADDRESSES[3], false);
    group.settle();
    group.silence(member::founder_id(ADDRESSES[1]), VOTER_SILENCE_TIMEOUT * 3);
    group.silence(new, VOTER_SILENCE_TIMEOUT * 2);
    group.joiners.clear();
    assert_eq!(group.settle(), [Step::Change(Change::Remove(new))]);
    assert_eq!(group.membership.voters.len(), 3);
}

/// In every order of losses and joins, a voter may be removed only if another host takes its place.
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
                group.heard.insert(host, group.now);
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
