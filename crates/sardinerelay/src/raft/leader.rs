//! Tasks of a leader other than replication: heartbeats, check-quorum, lease, reads, membership
//! changes and leadership transfer.

use {
    super::{
        config::Config,
        membership::{Change, Membership},
        message::{Body, Entry, Payload, Position},
        progress::Progress,
        ready::Read,
        replica::{Replica, RequestError, State},
    },
    crate::{
        id::{Host, Index},
        lease::Lease,
    },
    bytes::Bytes,
    std::{
        collections::{BTreeMap, VecDeque},
        time::Instant,
    },
};

/// A read that is confirmed once a quorum has answered its heartbeat round.
#[derive(Debug)]
pub(super) struct ConfirmingRead {
    pub(super) token: u64,
    index: Index,
    round: u64,
}

/// A leadership transfer that has not finished.
#[derive(Debug)]
pub(super) struct LeadershipTransfer {
    pub(super) to: Host,
    pub(super) deadline: Instant,
}

/// What a replica keeps while it is the leader.
#[derive(Debug)]
pub(super) struct Leader {
    /// Index of the first entry of this leader's term.
    pub(super) first_index: Index,
    /// Replication to each of the other members.
    pub(super) progress: BTreeMap<Host, Progress>,
    pub(super) next_heartbeat: Instant,
    pub(super) lease: Lease,
    /// Send time of the last round that a quorum answered. Unlike the lease, it is kept when
    /// leadership is transferred.
    pub(super) last_quorum_contact: Option<Instant>,
    /// Tokens of reads that were not assigned to a heartbeat round yet.
    pub(super) waiting_reads: Vec<u64>,
    pub(super) confirming_reads: VecDeque<ConfirmingRead>,
    pub(super) transfer: Option<LeadershipTransfer>,
    /// Bytes of entries that are not committed yet.
    pub(super) uncommitted_bytes: usize,
    heartbeat_round: u64,
    /// Numbers and send times of the rounds that no quorum has answered yet.
    unconfirmed_rounds: VecDeque<(u64, Instant)>,
    /// When the current membership took effect. A new member counts as heard at that time.
    membership_since: Instant,
}

impl Leader {
    pub(super) fn new(config: &Config, first_index: Index, now: Instant) -> Self {
        Self {
            first_index,
            progress: BTreeMap::new(),
            next_heartbeat: now,
            lease: Lease::new(config.election_timeout, config.max_clock_drift),
            last_quorum_contact: None,
            waiting_reads: Vec::new(),
            confirming_reads: VecDeque::new(),
            transfer: None,
            uncommitted_bytes: 0,
            heartbeat_round: 0,
            unconfirmed_rounds: VecDeque::new(),
            membership_since: now,
        }
    }

    /// Starts replicating to a member.
    pub(super) fn add(&mut self, host: Host, own_id: Host, next: Index) {
        if host != own_id {
            let last_reply = Some(self.membership_since);
            self.progress
                .entry(host)
                .or_insert_with(|| Progress::new(next, last_reply));
        }
    }

    /// The last round that a member has answered; the leader itself answers each one.
    fn answered_round(&self, host: Host, own_id: Host) -> u64 {
        match self.progress.get(&host) {
            Some(progress) => progress.answered_round,
            None if host == own_id => self.heartbeat_round,
            None => 0,
        }
    }

    /// When a member answered last; the leader itself counts as answering at `now`.
    fn last_reply(&self, host: Host, own_id: Host, now: Instant) -> Option<Instant> {
        match self.progress.get(&host) {
            Some(progress) => progress.last_reply,
            None => (host == own_id).then_some(now),
        }
    }

    /// Removes the rounds up to `round` and returns the send time of the last one of them.
    fn take_rounds_through(&mut self, round: u64) -> Option<Instant> {
        let mut sent = None;
        while let Some((number, at)) = self.unconfirmed_rounds.front()
            && *number <= round
        {
            sent = Some(*at);
            self.unconfirmed_rounds.pop_front();
        }
        sent
    }
}

impl Replica {
    /// Steps down without a quorum or after a failed transfer. Otherwise sends the heartbeats and
    /// retransmissions that are due.
    pub(super) fn tick_leader(&mut self) {
        if !self.has_quorum() || self.transfer_failed() {
            return self.become_follower(self.hard_state.term, None);
        }
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        if self.now >= leader.next_heartbeat {
            leader.next_heartbeat = self.now + self.config.heartbeat_interval;
            self.start_heartbeat_round();
            self.send_timeout_now();
        }
        self.retransmit();
    }

    /// Gives waiting reads a heartbeat round of their own, once an entry of this term is
    /// committed. Before that, the commit index may be below entries that earlier leaders have
    /// committed.
    pub(super) fn start_reads(&mut self) {
        let commit = self.commit;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        if leader.waiting_reads.is_empty() || commit < leader.first_index {
            return;
        }
        let round = leader.heartbeat_round + 1;
        let waiting = std::mem::take(&mut leader.waiting_reads);
        let confirming = waiting.into_iter().map(|token| ConfirmingRead {
            token,
            index: commit,
            round,
        });
        leader.confirming_reads.extend(confirming);
        self.start_heartbeat_round();
    }

    pub(super) fn on_heartbeat_reply(&mut self, from: Host, round: u64) {
        if let Some(progress) = self.record_reply(from) {
            progress.answered_round = progress.answered_round.max(round);
            self.confirm_rounds();
        }
    }

    /// Records that a member has just answered and returns its progress. `None` if this replica is
    /// not the leader or `from` is no other member.
    pub(super) fn record_reply(&mut self, from: Host) -> Option<&mut Progress> {
        let State::Leader(leader) = &mut self.state else {
            return None;
        };
        let progress = leader.progress.get_mut(&from)?;
        progress.last_reply = Some(self.now);
        Some(progress)
    }

    pub(super) fn append_empty_entry(&mut self) {
        self.append_entry(Payload::Empty);
    }

    pub(super) fn append_proposal(&mut self, data: Bytes) -> Result<Position, RequestError> {
        let leader = self.accepting_leader()?;
        if leader.uncommitted_bytes + data.len() > self.config.uncommitted_bytes {
            return Err(RequestError::Busy);
        }
        Ok(self.append_entry(Payload::Data(data)))
    }

    pub(super) fn append_change(&mut self, change: Change) -> Result<Position, RequestError> {
        let first_index = self.accepting_leader()?.first_index;
        let index = self.log.membership_index();
        if index > self.commit {
            return Err(RequestError::ChangePending { index });
        }
        if self.commit < first_index {
            return Err(RequestError::TermNotCommitted);
        }
        if change == Change::Remove(self.config.id) {
            return Err(RequestError::RemovesLeader);
        }
        let next = self.log.membership().changed(change);
        let next = next.ok_or(RequestError::NotApplicable)?;
        if let Change::Promote(host) = change {
            self.check_promotable(host)?;
        }
        let position = self.append_entry(Payload::Membership(next.clone()));
        self.activate_membership(&next);
        Ok(position)
    }

    /// Chooses the voter that takes over the leadership, and gives up the lease.
    pub(super) fn start_transfer(&mut self, to: Option<Host>) -> Result<Host, RequestError> {
        let leader = self.accepting_leader()?;
        let voters = &self.log.membership().voters;
        let progress = leader.progress.iter();
        let to = progress
            .filter(|(host, _)| voters.contains(host) && to.is_none_or(|to| to == **host))
            .max_by_key(|(_, progress)| (self.is_responsive(progress), progress.matched))
            .map(|(&host, _)| host)
            .ok_or(RequestError::NotApplicable)?;
        if !self.is_responsive(&leader.progress[&to]) {
            return Err(RequestError::Unresponsive { host: to });
        }
        let deadline = self.now + self.config.election_timeout;
        if let State::Leader(leader) = &mut self.state {
            leader.lease.revoke();
            leader.transfer = Some(LeadershipTransfer { to, deadline });
        }
        self.send_timeout_now();
        Ok(to)
    }

    /// Tells the replica that takes over the leadership to campaign, once it has every entry.
    pub(super) fn send_timeout_now(&mut self) {
        let last = self.log.last().index;
        let State::Leader(leader) = &self.state else {
            return;
        };
        let Some(to) = leader.transfer.as_ref().map(|transfer| transfer.to) else {
            return;
        };
        let matched = leader.progress.get(&to).map(|progress| progress.matched);
        if matched == Some(last) {
            self.send(to, Body::TimeoutNow, 0);
        }
    }

    fn start_heartbeat_round(&mut self) {
        let commit = self.commit;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        leader.heartbeat_round += 1;
        let round = leader.heartbeat_round;
        leader.unconfirmed_rounds.push_back((round, self.now));
        let members = leader.progress.iter();
        let heartbeats: Vec<(Host, Index)> = members
            .map(|(&host, progress)| (host, commit.min(progress.matched)))
            .collect();
        for (to, commit) in heartbeats {
            self.send(to, Body::Heartbeat { round, commit }, 0);
        }
        self.confirm_rounds();
    }

    /// Renews the lease and confirms reads according to the rounds that a quorum has answered.
    fn confirm_rounds(&mut self) {
        let own_id = self.config.id;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let membership = self.log.membership();
        let round = membership.quorum_value(|host| leader.answered_round(host, own_id));
        if let Some(sent) = leader.take_rounds_through(round) {
            leader.last_quorum_contact = leader.last_quorum_contact.max(Some(sent));
            if leader.transfer.is_none() {
                leader.lease.renew(sent);
            }
        }
        while let Some(read) = leader.confirming_reads.front()
            && read.round <= round
        {
            self.reads.push(Read {
                token: read.token,
                outcome: Ok(read.index),
            });
            leader.confirming_reads.pop_front();
        }
    }

    /// Whether a quorum has answered within the last election timeout.
    fn has_quorum(&self) -> bool {
        let State::Leader(leader) = &self.state else {
            return false;
        };
        let own_id = self.config.id;
        let membership = self.log.membership();
        let last_contact =
            membership.quorum_value(|host| leader.last_reply(host, own_id, self.now));
        last_contact.is_some_and(|contact| self.now < contact + self.config.election_timeout)
    }

    /// Whether the other replica did not take over the leadership in time. It may still campaign
    /// late, so this replica cannot get its lease back in this term.
    fn transfer_failed(&self) -> bool {
        match &self.state {
            State::Leader(leader) => leader
                .transfer
                .as_ref()
                .is_some_and(|transfer| self.now >= transfer.deadline),
            _ => false,
        }
    }

    /// The leader, if it accepts proposals and changes.
    fn accepting_leader(&self) -> Result<&Leader, RequestError> {
        let State::Leader(leader) = &self.state else {
            return Err(self.not_leader());
        };
        match &leader.transfer {
            Some(transfer) => Err(RequestError::Transferring { to: transfer.to }),
            None => Ok(leader),
        }
    }

    /// Whether a learner is close enough to the end of the log to become a voter, and this replica is the leader.
    pub fn is_promotable(&self, learner: Host) -> bool {
        self.log.membership().learners.contains(&learner) && self.check_promotable(learner).is_ok()
    }

    /// Checks that a learner is close enough to the end of the log to become a voter.
    fn check_promotable(&self, host: Host) -> Result<(), RequestError> {
        let State::Leader(leader) = &self.state else {
            return Err(self.not_leader());
        };
        let Some(progress) = leader.progress.get(&host) else {
            return Err(RequestError::NotApplicable);
        };
        let entries = self.log.last().index - progress.matched;
        if progress.matched == 0 || entries > self.config.max_promotion_lag {
            return Err(RequestError::Lagging { host, entries });
        }
        if !self.is_responsive(progress) {
            return Err(RequestError::Unresponsive { host });
        }
        Ok(())
    }

    /// Whether a member has answered within the last election timeout.
    fn is_responsive(&self, progress: &Progress) -> bool {
        progress
            .last_reply
            .is_some_and(|last_reply| self.now < last_reply + self.config.election_timeout)
    }

    /// Applies a new membership to the leader. The lease starts again, because it must be based
    /// on a quorum that overlaps with every quorum that could elect another leader.
    fn activate_membership(&mut self, membership: &Membership) {
        let own_id = self.config.id;
        let next = self.log.last().index;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        leader.membership_since = self.now;
        leader.progress.retain(|&host, _| membership.contains(host));
        for host in membership.hosts() {
            leader.add(host, own_id, next);
        }
        leader.lease.revoke();
        leader.next_heartbeat = self.now;
        self.advance_commit();
    }

    /// Appends an entry of the current term to this leader's own log.
    fn append_entry(&mut self, payload: Payload) -> Position {
        let position = Position {
            term: self.hard_state.term,
            index: self.log.last().index + 1,
        };
        let entry = Entry { position, payload };
        if let State::Leader(leader) = &mut self.state {
            leader.uncommitted_bytes += entry.size();
        }
        self.log.append(entry);
        position
    }
}
