//! Elections: timeouts, pre-votes, votes, and changes of role.

use {
    super::{
        leader::Leader,
        message::{Body, Message, Position},
        ready::Read,
        replica::{Replica, Role, State},
    },
    crate::id::{Host, Term},
    rand::Rng,
    std::{collections::BTreeSet, time::Duration},
};

/// The election timeout divided by this is the minimum delay after which a campaign that found
/// no quorum is repeated; the delay is drawn between it and its double. Voters time out at
/// nearly the same time, so the first campaign often comes a few milliseconds before the others
/// may vote.
const CAMPAIGN_RETRY_DIVISOR: u32 = 4;

impl Replica {
    /// Draws the time at which this replica campaigns unless it hears from a leader before.
    pub(super) fn reset_election_deadline(&mut self) {
        self.election_deadline = self.now + self.random_timeout(self.config.election_timeout);
    }

    /// Asks the other voters for pre-votes, unless this replica is a learner or a leader may still
    /// hold a lease.
    pub(super) fn on_election_timeout(&mut self) {
        self.leader = None;
        if !self.is_voter() {
            self.reset_election_deadline();
            return;
        }
        self.election_deadline =
            self.now + self.random_timeout(self.config.election_timeout / CAMPAIGN_RETRY_DIVISOR);
        if self.must_refuse_votes() {
            return;
        }
        let granted = BTreeSet::from([self.config.id]);
        self.state = State::PreCandidate { granted };
        let last = self.log.last();
        let campaign = self.hard_state.term + 1;
        for to in self.other_voters() {
            let after_write = self.writes.hard_state_sequence();
            self.send(to, Body::PreVote { last }, after_write);
            if let Some(pending) = self.outbox.last_mut() {
                pending.envelope.message.term = campaign;
            }
        }
        self.count_votes();
    }

    /// Starts a new term and asks the other voters for their votes. `transfer` says that the
    /// leader asked for the campaign.
    pub(super) fn campaign(&mut self, transfer: bool) {
        let id = self.config.id;
        self.leader = None;
        self.set_hard_state(self.hard_state.term + 1, Some(id));
        self.state = State::Candidate {
            granted: BTreeSet::new(),
        };
        self.election_deadline =
            self.now + self.random_timeout(self.config.election_timeout / CAMPAIGN_RETRY_DIVISOR);
        let last = self.log.last();
        for to in self.other_voters() {
            self.send_after_persist(to, Body::Vote { last, transfer });
        }
        // The vote for itself counts once it is on disk.
        self.send_after_persist(id, Body::VoteReply { granted: true });
    }

    pub(super) fn on_pre_vote(&mut self, from: Host, campaign: Term, last: Position) {
        let granted =
            campaign > self.hard_state.term && !self.must_refuse_votes() && last >= self.log.last();
        self.send_after_hard_state(from, Body::PreVoteReply { campaign, granted });
    }

    pub(super) fn on_pre_vote_reply(&mut self, from: Host, campaign: Term, is_granted: bool) {
        if campaign != self.hard_state.term + 1 {
            return;
        }
        if let State::PreCandidate { granted } = &mut self.state
            && is_granted
        {
            granted.insert(from);
            self.count_votes();
        }
    }

    /// Handles a request for a vote. While a leader may rely on this replica for its lease, the
    /// request is ignored and its term is not adopted, unless the leader itself asked for the
    /// campaign.
    pub(super) fn on_vote(&mut self, from: Host, message: Message) {
        let Body::Vote { last, transfer } = message.body else {
            return;
        };
        if self.must_refuse_votes() && !transfer {
            return;
        }
        if message.term > self.hard_state.term {
            self.become_follower(message.term, None);
        }
        let can_vote = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = message.term == self.hard_state.term && can_vote && last >= self.log.last();
        if granted && self.hard_state.vote.is_none() {
            self.set_hard_state(self.hard_state.term, Some(from));
            self.reset_election_deadline();
        }
        self.send_after_persist(from, Body::VoteReply { granted });
    }

    pub(super) fn on_vote_reply(&mut self, from: Host, is_granted: bool) {
        if let State::Candidate { granted } = &mut self.state
            && is_granted
        {
            granted.insert(from);
            self.count_votes();
        }
    }

    /// Campaigns at once, because the leader transfers its leadership to this replica.
    pub(super) fn on_timeout_now(&mut self) {
        if self.role() == Role::Follower && self.is_voter() {
            self.campaign(true);
        }
    }

    /// Becomes a follower of `leader` in `term`, or of a leader that is not known yet.
    pub(super) fn become_follower(&mut self, term: Term, leader: Option<Host>) {
        if term > self.hard_state.term {
            self.set_hard_state(term, None);
            self.incoming_snapshot = None;
        }
        let previous = std::mem::replace(&mut self.state, State::Follower);
        self.leader = leader;
        match previous {
            State::Leader(previous) => self.end_leadership(&previous),
            State::Follower => {}
            State::PreCandidate { .. } | State::Candidate { .. } => self.reset_election_deadline(),
        }
    }

    /// Whether this replica must not help to elect a leader, because the current or a former one
    /// may hold a lease that relies on it.
    pub(super) fn must_refuse_votes(&self) -> bool {
        let recent = |contact| self.now < contact + self.config.election_timeout;
        self.role() == Role::Leader || self.last_leader_contact.is_some_and(recent)
    }

    pub(super) fn is_voter(&self) -> bool {
        self.log.membership().voters.contains(&self.config.id)
    }

    fn other_voters(&self) -> Vec<Host> {
        let voters = self.log.membership().voters.iter().copied();
        voters.filter(|&host| host != self.config.id).collect()
    }

    fn count_votes(&mut self) {
        let membership = self.log.membership();
        let won = |granted: &BTreeSet<Host>| {
            granted.intersection(&membership.voters).count() >= membership.quorum()
        };
        match &self.state {
            State::PreCandidate { granted } if won(granted) => self.campaign(false),
            State::Candidate { granted } if won(granted) => self.become_leader(),
            _ => {}
        }
    }

    fn become_leader(&mut self) {
        let first = self.log.last().index + 1;
        let mut leader = Leader::new(&self.config, first, self.now);
        for host in self.log.membership().hosts() {
            leader.add(host, self.config.id, first);
        }
        leader.uncommitted_bytes = self.log.size_of(self.commit + 1, first - 1);
        self.leader = Some(self.config.id);
        self.incoming_snapshot = None;
        self.state = State::Leader(Box::new(leader));
        self.append_empty_entry();
        self.tick_leader();
    }

    /// Fails the pending reads of a former leader, and makes it refuse votes until its own lease
    /// has certainly ended.
    fn end_leadership(&mut self, previous: &Leader) {
        // Orders to engines that the lease covered may still be running.
        self.last_leader_contact = self.last_leader_contact.max(previous.last_quorum_contact);
        let error = self.not_leader();
        let confirming = previous.confirming_reads.iter().map(|read| read.token);
        let waiting = previous.waiting_reads.iter().copied();
        let aborted = confirming.chain(waiting).map(|token| Read {
            token,
            outcome: Err(error),
        });
        self.reads.extend(aborted);
        self.reset_election_deadline();
    }

    /// A random duration between `min` and its double.
    fn random_timeout(&mut self, min: Duration) -> Duration {
        min + min.mul_f64(self.rng.random_range(0.0..1.0))
    }
}
