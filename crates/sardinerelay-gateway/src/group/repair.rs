//! Repairs the group's membership without an operator, one safe step at a time.
//!
//! A host that starts with an empty disk joins as a learner. It becomes a voter in place of the
//! replica that ran at its address before, of a voter that says that it is about to end, or of the
//! voter that has been silent for the longest time. A voter is removed only if its own host joins
//! anew, or if it leaves or is silent and a learner has caught up, so that a repair never leaves the
//! group weaker than the loss itself did. See `docs/design/platform.md`.

use {
    super::member,
    sardinerelay::{
        id::Host,
        raft::{Change, Membership},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::Ipv4Addr,
        time::{Duration, Instant},
    },
};

/// Time without a message after which a silent learner is removed. It is longer than most restarts take.
pub const MEMBER_SILENCE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time without a message after which a voter may be replaced by a learner that has caught up. Until then the group
/// bears no further loss, and a voter that comes back later only joins anew. It is longer than heartbeats are delayed
/// on bad links.
pub const VOTER_SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after which a voter that said that it is about to end doesn't count as leaving any more. It says so more
/// often than that.
const LEAVE_LIFETIME: Duration = Duration::from_secs(2);
/// Time after which a request to join expires. Hosts repeat it more often than that until they are
/// voters.
const JOIN_REQUEST_LIFETIME: Duration = Duration::from_secs(3);

/// The last request to join from an address. It supersedes that of a replica that ran there before,
/// whose disk is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JoinRequest {
    /// The replica that joins.
    pub host: Host,
    pub received_at: Instant,
    /// Whether the host was started together with the whole system, so that the group grows by it.
    pub is_founding: bool,
}

/// What the leader knows of the group. The next step depends on it.
#[derive(Debug)]
pub struct GroupState<'a> {
    /// The membership. It must be committed.
    pub membership: &'a Membership,
    /// The leader, which is the replica that decides.
    pub leader: Host,
    /// Number of voters that the group should have.
    pub desired_voters: usize,
    /// When a message from each member last arrived, not before this replica became the leader.
    pub last_heard: &'a BTreeMap<Host, Instant>,
    /// When each voter last said that it is about to end.
    pub leaving: &'a BTreeMap<Host, Instant>,
    /// The learners that have caught up and answer, so that they may become voters.
    pub promotable: &'a BTreeSet<Host>,
    /// Requests to join, by the address of the replica that joins.
    pub join_requests: &'a BTreeMap<Ipv4Addr, JoinRequest>,
}

/// A step of the repair.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Changes the membership.
    Change(Change),
    /// Raises the number of voters that the group should have.
    Grow(usize),
}

impl GroupState<'_> {
    /// Returns the next step, `None` if no step is possible or needed.
    pub fn next_step(&self, now: Instant) -> Option<Step> {
        self.remove_predecessor()
            .or_else(|| self.remove_surplus(now))
            .or_else(|| self.add_learner(now))
            .or_else(|| self.promote(now))
            .or_else(|| self.remove_silent_learner(now))
    }

    /// Removes the replica that ran before at the address of a host that joins. Its disk is gone
    /// for good.
    fn remove_predecessor(&self) -> Option<Step> {
        let predecessor = self.membership.hosts().find(|&old| {
            let successor = self.join_requests.get(&member::address(old));
            old != self.leader && successor.is_some_and(|request| request.host != old)
        })?;
        Some(Step::Change(Change::Remove(predecessor)))
    }

    fn add_learner(&self, now: Instant) -> Option<Step> {
        let request = self.join_requests.values().find(|request| {
            !self.membership.contains(request.host)
                && now < request.received_at + JOIN_REQUEST_LIFETIME
        })?;
        Some(Step::Change(Change::AddLearner(request.host)))
    }

    /// Removes a voter that leaves or is silent if the group has more voters than it should, after a learner has
    /// become a voter in its place.
    fn remove_surplus(&self, now: Instant) -> Option<Step> {
        if self.membership.voters.len() <= self.desired_voters {
            return None;
        }
        let surplus = self.silent_voter(now).or_else(|| self.leaving_voter(now))?;
        Some(Step::Change(Change::Remove(surplus)))
    }

    /// Makes a learner that has caught up a voter. If the group has enough voters, it first raises their number
    /// for a founding host, or else removes a silent voter. A voter that leaves is removed after the learner votes, as
    /// it still answers.
    fn promote(&self, now: Instant) -> Option<Step> {
        let learner = *self.promotable.first()?;
        let voters = self.membership.voters.len();
        if voters < self.desired_voters {
            return Some(Step::Change(Change::Promote(learner)));
        }
        let request = self.request_of(learner);
        if request.is_some_and(|request| request.is_founding) {
            return Some(Step::Grow(voters + 1));
        }
        if let Some(silent) = self.silent_voter(now) {
            return Some(Step::Change(Change::Remove(silent)));
        }
        self.leaving_voter(now)?;
        Some(Step::Change(Change::Promote(learner)))
    }

    /// Removes a learner that is silent and no longer asks to join.
    fn remove_silent_learner(&self, now: Instant) -> Option<Step> {
        let is_gone = |host: &&Host| {
            self.is_silent(**host, MEMBER_SILENCE_TIMEOUT, now) && self.request_of(**host).is_none()
        };
        let learner = *self.membership.learners.iter().find(is_gone)?;
        Some(Step::Change(Change::Remove(learner)))
    }

    fn request_of(&self, host: Host) -> Option<&JoinRequest> {
        let request = self.join_requests.get(&member::address(host));
        request.filter(|request| request.host == host)
    }

    /// Returns a voter that has said that it is about to end.
    fn leaving_voter(&self, now: Instant) -> Option<Host> {
        let is_leaving = |host: &Host| {
            let said = self.leaving.get(host);
            *host != self.leader && said.is_some_and(|said| now < *said + LEAVE_LIFETIME)
        };
        let mut voters = self.membership.voters.iter().copied();
        voters.find(is_leaving)
    }

    /// Returns the voter that has been silent for the longest time, if one is silent.
    fn silent_voter(&self, now: Instant) -> Option<Host> {
        let is_silent =
            |host: &Host| *host != self.leader && self.is_silent(*host, VOTER_SILENCE_TIMEOUT, now);
        let voters = self.membership.voters.iter().copied().filter(is_silent);
        voters.min_by_key(|host| self.last_heard.get(host).copied())
    }

    fn is_silent(&self, host: Host, timeout: Duration, now: Instant) -> bool {
        let last_heard = self.last_heard.get(&host);
        last_heard.is_some_and(|heard| now.saturating_duration_since(*heard) > timeout)
    }
}

/// Drops requests to join that are too old, or whose host has become a voter.
pub fn drop_expired_requests(
    requests: &mut BTreeMap<Ipv4Addr, JoinRequest>,
    membership: &Membership,
    now: Instant,
) {
    requests.retain(|_, request| {
        !membership.voters.contains(&request.host)
            && now < request.received_at + JOIN_REQUEST_LIFETIME
    });
}
