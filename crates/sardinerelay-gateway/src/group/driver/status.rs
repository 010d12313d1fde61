//! What the driver says of the group and of single members.

use {
    super::Driver,
    crate::group::{channels::MemberStatus, member},
    sardinerelay::{
        id::Host,
        raft::{Membership, Role},
    },
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
};

/// Time without a message after which a voter isn't published as heard.
const MAX_HEARD_AGE: Duration = Duration::from_secs(1);

impl Driver {
    /// Returns the status of the group and of a host.
    pub(super) fn status_of(&self, host: Host) -> MemberStatus {
        let status = self.replica.status();
        // A removal that isn't committed may be lost with this leader.
        let is_changing = status.membership_index > status.commit;
        MemberStatus {
            leader: status.leader,
            term: status.term,
            is_leader: status.role == Role::Leader && self.replica.lease().is_some(),
            is_member: status.membership.contains(host) || is_changing,
            is_voter: status.membership.voters.contains(&host),
            has_successor: !self.promotable(&status.membership).is_empty(),
            members: status.membership.hosts().collect(),
        }
    }

    /// Returns the learners that may become voters now.
    pub(super) fn promotable(&self, membership: &Membership) -> BTreeSet<Host> {
        let learners = membership.learners.iter().copied();
        let promotable = learners.filter(|learner| self.replica.is_promotable(*learner));
        promotable.collect()
    }

    /// Publishes the other voters from which messages arrived recently; none if this replica isn't the leader.
    pub(super) fn publish_heard(&self, now: Instant) {
        let mut heard = BTreeSet::new();
        if self.leader_since.is_some() {
            let voters = self.replica.status().membership.voters;
            let is_recent = |host: &Host| {
                let last = self.last_heard.get(host);
                last.is_some_and(|last| now.saturating_duration_since(*last) < MAX_HEARD_AGE)
            };
            let others = voters.into_iter().filter(|host| *host != self.replica.id());
            heard = others.filter(is_recent).map(member::address).collect();
        }
        self.published.heard.send_if_modified(|known| {
            let is_new = *known != heard;
            *known = heard;
            is_new
        });
    }
}
