//! Repairs the group's membership without an operator, one safe step at a time.
//!
//! A host that comes with an empty disk joins as a learner. It becomes a voter in the place of
//! the replica that ran at its address before, or of the voter that has been silent longest. A
//! voter is only ever removed for a learner that has caught up, so that a repair never leaves the
//! group weaker than the loss itself did. See `docs/design/platform.md`.

use {
    super::member,
    sardinerelay::{
        id::Host,
        raft::{Change, Membership},
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Silence after which a voter may be replaced by a learner at another address. It is longer than
/// a leader needs to be replaced, and than most restarts take.
pub const VOTER_SILENCE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after which a host that no longer asks to join is forgotten.
const JOIN_REQUEST_LIFETIME: Duration = Duration::from_secs(3);

/// A host that asks to join.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JoinRequest {
    /// When it asked last.
    pub received_at: Instant,
    /// Whether it was started together with the whole system, so that the group grows by it.
    pub is_founding: bool,
}

/// What the leader knows when it plans the next step.
#[derive(Debug)]
pub struct GroupState<'a> {
    /// The membership, which must be committed.
    pub membership: &'a Membership,
    /// The leader itself.
    pub leader: Host,
    /// Voters that the group is to have.
    pub desired_voters: usize,
    /// When each other member was heard last, or since when this host leads.
    pub last_heard: &'a BTreeMap<Host, Instant>,
    /// Hosts that ask to join.
    pub join_requests: &'a BTreeMap<Host, JoinRequest>,
}

/// The next step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// A change of the membership.
    Change(Change),
    /// The group is to have this many voters.
    Grow(usize),
}

impl GroupState<'_> {
    /// The next step, or `None` if the membership is as wanted.
    pub fn next_step(&self, now: Instant) -> Option<Step> {
        self.remove_predecessor()
            .or_else(|| self.admit(now))
            .or_else(|| self.promote(now))
            .or_else(|| self.forget(now))
    }

    /// Removes the replica that ran at a joiner's address before: its disk is gone for good.
    fn remove_predecessor(&self) -> Option<Step> {
        let lost = self.membership.hosts().find(|&old| {
            let same = |new: Host| new != old && member::address(new) == member::address(old);
            old != self.leader && self.newest_joiners().any(|(new, _)| same(new))
        })?;
        Some(Step::Change(Change::Remove(lost)))
    }

    /// The joiner that asked last at each address: a host that lost its disk twice has asked under
    /// a number that it no longer has.
    fn newest_joiners(&self) -> impl Iterator<Item = (Host, &JoinRequest)> {
        let newer = |host: Host, joiner: &JoinRequest| {
            let mut others = self.join_requests.iter();
            others.any(|(other, later)| {
                member::address(*other) == member::address(host)
                    && (later.received_at, *other) > (joiner.received_at, host)
            })
        };
        let joiners = self
            .join_requests
            .iter()
            .map(|(host, joiner)| (*host, joiner));
        joiners.filter(move |(host, joiner)| !newer(*host, joiner))
    }

    fn admit(&self, now: Instant) -> Option<Step> {
        let (host, _) = self.newest_joiners().find(|(host, joiner)| {
            !self.membership.contains(*host) && now < joiner.received_at + JOIN_REQUEST_LIFETIME
        })?;
        Some(Step::Change(Change::AddLearner(host)))
    }

    fn promote(&self, now: Instant) -> Option<Step> {
        let live = |host: &&Host| !self.is_silent(**host, now);
        let learner = *self.membership.learners.iter().find(live)?;
        let voters = self.membership.voters.len();
        if voters < self.desired_voters {
            return Some(Step::Change(Change::Promote(learner)));
        }
        let founding = self
            .join_requests
            .get(&learner)
            .is_some_and(|joiner| joiner.is_founding);
        if founding {
            return Some(Step::Grow(voters + 1));
        }
        let lost = self.longest_silent(now)?;
        Some(Step::Change(Change::Remove(lost)))
    }

    /// Removes a learner that has gone.
    fn forget(&self, now: Instant) -> Option<Step> {
        let gone =
            |host: &&Host| self.is_silent(**host, now) && !self.join_requests.contains_key(*host);
        let learner = *self.membership.learners.iter().find(gone)?;
        Some(Step::Change(Change::Remove(learner)))
    }

    fn longest_silent(&self, now: Instant) -> Option<Host> {
        let silent = |host: &Host| *host != self.leader && self.is_silent(*host, now);
        let voters = self.membership.voters.iter().copied().filter(silent);
        voters.min_by_key(|host| self.last_heard.get(host).copied())
    }

    fn is_silent(&self, host: Host, now: Instant) -> bool {
        let heard = self.last_heard.get(&host);
        heard.is_some_and(|heard| now.saturating_duration_since(*heard) > VOTER_SILENCE_TIMEOUT)
    }
}

/// Drops joiners that have not asked for a while, or that vote by now.
pub fn drop_expired_requests(
    joiners: &mut BTreeMap<Host, JoinRequest>,
    membership: &Membership,
    now: Instant,
) {
    joiners.retain(|host, joiner| {
        !membership.voters.contains(host) && now < joiner.received_at + JOIN_REQUEST_LIFETIME
    });
}
