//! Duties of a leader other than replication: heartbeats, check-quorum, lease, reads,
//! membership changes and the transfer of leadership.

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

/// A read that waits for a quorum to answer a heartbeat round.
#[derive(Debug)]
pub(super) struct ConfirmingRead {
    pub(super) token: u64,
    index: Index,
    round: u64,
}

/// A transfer of leadership under way.
#[derive(Debug)]
pub(super) struct Handover {
    pub(super) to: Host,
    pub(super) deadline: Instant,
}

#[derive(Debug)]
pub(super) struct Leader {
    /// Index of the first entry of this leader's term.
    pub(super) first: Index,
    /// The other members.
    pub(super) progress: BTreeMap<Host, Progress>,
    pub(super) next_heartbeat: Instant,
    pub(super) lease: Lease,
    /// Send time of the last round that a quorum answered; kept when the lease is given up.
    pub(super) lease_since: Option<Instant>,
    /// Reads that were not assigned to a heartbeat round yet.
    pub(super) waiting_reads: Vec<u64>,
    pub(super) confirming_reads: VecDeque<ConfirmingRead>,
    pub(super) transfer: Option<Handover>,
    /// Bytes of entries that are not committed.
    pub(super) uncommitted: usize,
    round: u64,
    /// Send times of rounds that no quorum has answered yet.
    rounds: VecDeque<(u64, Instant)>,
    elected: Instant,
}

impl Leader {
    pub(super) fn new(config: &Config, first: Index, now: Instant) -> Self {
        Self {
            first,
            progress: BTreeMap::new(),
            next_heartbeat: now,
            lease: Lease::new(config.election_timeout, config.max_clock_drift),
            lease_since: None,
            waiting_reads: Vec::new(),
            confirming_reads: VecDeque::new(),
            transfer: None,
            uncommitted: 0,
            round: 0,
            rounds: VecDeque::new(),
            elected: now,
        }
    }

    /// Starts replicating to a member.
    pub(super) fn add(&mut self, host: Host, own: Host, next: Index) {
        if host != own {
            let heard = Some(self.elected);
            self.progress
                .entry(host)
                .or_insert_with(|| Progress::new(next, heard));
        }
    }

    fn round_of(&self, host: Host, own: Host) -> u64 {
        match self.progress.get(&host) {
            Some(progress) => progress.round,
            None if host == own => self.round,
            None => 0,
        }
    }

    /// When a member answered last; the leader itself answers at any time.
    fn heard(&self, host: Host, own: Host, now: Instant) -> Option<Instant> {
        match self.progress.get(&host) {
            Some(progress) => progress.heard,
            None => (host == own).then_some(now),
        }
    }

    /// The send time of the last round up to `round`, and forgets the rounds before it.
    fn answered(&mut self, round: u64) -> Option<Instant> {
        let mut sent = None;
        while let Some((number, at)) = self.rounds.front()
            && *number <= round
        {
            sent = Some(*at);
            self.rounds.pop_front();
        }
        sent
    }
}

impl Replica {
    pub(super) fn tick_leader(&mut self) {
        if !self.has_quorum() || self.transfer_failed() {
            return self.become_follower(self.hard.term, None);
        }
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        if self.now >= leader.next_heartbeat {
            leader.next_heartbeat = self.now + self.config.heartbeat_interval;
            self.start_round();
            self.hand_over();
        }
        self.retransmit();
    }

    /// Gives waiting reads a heartbeat round of their own, once an entry of this term is
    /// committed. Before that the commit index may lack entries of earlier terms.
    pub(super) fn start_reads(&mut self) {
        let commit = self.commit;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        if leader.waiting_reads.is_empty() || commit < leader.first {
            return;
        }
        let round = leader.round + 1;
        let waiting = std::mem::take(&mut leader.waiting_reads);
        let confirming = waiting.into_iter().map(|token| ConfirmingRead {
            token,
            index: commit,
            round,
        });
        leader.confirming_reads.extend(confirming);
        self.start_round();
    }

    pub(super) fn on_heartbeat_reply(&mut self, from: Host, round: u64) {
        if let Some(progress) = self.heard_from(from) {
            progress.round = progress.round.max(round);
            self.count_rounds();
        }
    }

    /// The progress of a member that has just answered, if this replica is the leader.
    pub(super) fn heard_from(&mut self, from: Host) -> Option<&mut Progress> {
        let State::Leader(leader) = &mut self.state else {
            return None;
        };
        let progress = leader.progress.get_mut(&from)?;
        progress.heard = Some(self.now);
        Some(progress)
    }

    pub(super) fn append_empty(&mut self) {
        self.append_own(Payload::Empty);
    }

    pub(super) fn append_proposal(&mut self, data: Bytes) -> Result<Position, RequestError> {
        let leader = self.accepting()?;
        if leader.uncommitted + data.len() > self.config.uncommitted_bytes {
            return Err(RequestError::Busy);
        }
        Ok(self.append_own(Payload::Data(data)))
    }

    pub(super) fn append_change(&mut self, change: Change) -> Result<Position, RequestError> {
        let first = self.accepting()?.first;
        let index = self.log.membership_index();
        if index > self.commit {
            return Err(RequestError::ChangePending { index });
        }
        if self.commit < first {
            return Err(RequestError::TermNotCommitted);
        }
        if change == Change::Remove(self.config.id) {
            return Err(RequestError::RemovesLeader);
        }
        let next = self.log.membership().changed(change);
        let next = next.ok_or(RequestError::NotApplicable)?;
        if let Change::Promote(host) = change {
            self.check_lag(host)?;
        }
        let position = self.append_own(Payload::Membership(next.clone()));
        self.adopt(&next);
        Ok(position)
    }

    pub(super) fn start_transfer(&mut self, to: Option<Host>) -> Result<Host, RequestError> {
        let leader = self.accepting()?;
        let voters = &self.log.membership().voters;
        let progress = leader.progress.iter();
        let to = progress
            .filter(|(host, _)| voters.contains(host) && to.is_none_or(|to| to == **host))
            .max_by_key(|(_, progress)| (self.is_recent(progress), progress.matched))
            .map(|(&host, _)| host)
            .ok_or(RequestError::NotApplicable)?;
        if !self.is_recent(&leader.progress[&to]) {
            return Err(RequestError::Unresponsive { host: to });
        }
        let deadline = self.now + self.config.election_timeout;
        if let State::Leader(leader) = &mut self.state {
            leader.lease.revoke();
            leader.transfer = Some(Handover { to, deadline });
        }
        self.hand_over();
        Ok(to)
    }

    /// Tells the receiver of the leadership to campaign, once it has every entry.
    pub(super) fn hand_over(&mut self) {
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

    fn start_round(&mut self) {
        let commit = self.commit;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        leader.round += 1;
        let round = leader.round;
        leader.rounds.push_back((round, self.now));
        let members = leader.progress.iter();
        let heartbeats: Vec<(Host, Index)> = members
            .map(|(&host, progress)| (host, commit.min(progress.matched)))
            .collect();
        for (to, commit) in heartbeats {
            self.send(to, Body::Heartbeat { round, commit }, 0);
        }
        self.count_rounds();
    }

    /// Renews the lease and confirms reads by the rounds that a quorum has answered.
    fn count_rounds(&mut self) {
        let own = self.config.id;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let membership = self.log.membership();
        let round = membership.agreed(|host| leader.round_of(host, own));
        if let Some(sent) = leader.answered(round) {
            leader.lease_since = leader.lease_since.max(Some(sent));
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

    /// Whether a quorum answered within the election timeout.
    fn has_quorum(&self) -> bool {
        let State::Leader(leader) = &self.state else {
            return false;
        };
        let own = self.config.id;
        let membership = self.log.membership();
        let heard = membership.agreed(|host| leader.heard(host, own, self.now));
        heard.is_some_and(|heard| self.now < heard + self.config.election_timeout)
    }

    /// Whether the receiver of the leadership did not take over in time. Its campaign may start
    /// late, and this replica cannot get its lease back in this term.
    fn transfer_failed(&self) -> bool {
        match &self.state {
            State::Leader(leader) => leader
                .transfer
                .as_ref()
                .is_some_and(|transfer| self.now >= transfer.deadline),
            _ => false,
        }
    }

    fn accepting(&self) -> Result<&Leader, RequestError> {
        let State::Leader(leader) = &self.state else {
            return Err(self.not_leader());
        };
        match &leader.transfer {
            Some(transfer) => Err(RequestError::Transferring { to: transfer.to }),
            None => Ok(leader),
        }
    }

    fn check_lag(&self, host: Host) -> Result<(), RequestError> {
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
        if !self.is_recent(progress) {
            return Err(RequestError::Unresponsive { host });
        }
        Ok(())
    }

    fn is_recent(&self, progress: &Progress) -> bool {
        progress
            .heard
            .is_some_and(|heard| self.now < heard + self.config.election_timeout)
    }

    /// Lets a new membership take effect on the leader. The lease starts again, because it must
    /// rest on a quorum that overlaps with every quorum that could elect another leader.
    fn adopt(&mut self, membership: &Membership) {
        let own = self.config.id;
        let next = self.log.last().index;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        leader.elected = self.now;
        leader.progress.retain(|&host, _| membership.contains(host));
        for host in membership.hosts() {
            leader.add(host, own, next);
        }
        leader.lease.revoke();
        leader.next_heartbeat = self.now;
        self.advance_commit();
    }

    fn append_own(&mut self, payload: Payload) -> Position {
        let position = Position {
            term: self.hard.term,
            index: self.log.last().index + 1,
        };
        let entry = Entry { position, payload };
        if let State::Leader(leader) = &mut self.state {
            leader.uncommitted += entry.size();
        }
        self.log.append(entry);
        position
    }
}
