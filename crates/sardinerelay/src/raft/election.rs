//! Elections: timeouts, pre-vote, votes, and the change of role.

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

/// A campaign that found no quorum is repeated after this part of the election timeout, drawn
/// between one and two parts. Voters time out at nearly the same time, so the first campaign
/// often comes a few milliseconds before the others may vote.
const RETRY_DIVISOR: u32 = 4;

impl Replica {
    /// Draws the time of the next campaign after a leader was heard.
    pub(super) fn reset_election(&mut self) {
        self.election = self.now + self.draw(self.config.election_timeout);
    }

    pub(super) fn election_timeout(&mut self) {
        self.leader = None;
        if !self.is_voter() {
            self.reset_election();
            return;
        }
        self.election = self.now + self.draw(self.config.election_timeout / RETRY_DIVISOR);
        if self.must_refuse() {
            return;
        }
        let granted = BTreeSet::from([self.config.id]);
        self.state = State::PreCandidate { granted };
        let last = self.log.last();
        let campaign = self.hard.term + 1;
        for to in self.other_voters() {
            let gate = self.disk.hard_gate();
            self.send(to, Body::PreVote { last }, gate);
            if let Some(held) = self.outbox.last_mut() {
                held.envelope.message.term = campaign;
            }
        }
        self.count_votes();
    }

    /// Starts a campaign in a new term.
    pub(super) fn campaign(&mut self, transfer: bool) {
        let id = self.config.id;
        self.leader = None;
        self.set_hard_state(self.hard.term + 1, Some(id));
        self.state = State::Candidate {
            granted: BTreeSet::new(),
        };
        self.election = self.now + self.draw(self.config.election_timeout / RETRY_DIVISOR);
        let last = self.log.last();
        for to in self.other_voters() {
            self.send_persisted(to, Body::Vote { last, transfer });
        }
        // The own vote counts once it is on disk.
        self.send_persisted(id, Body::VoteReply { granted: true });
    }

    pub(super) fn on_pre_vote(&mut self, from: Host, campaign: Term, last: Position) {
        let granted = campaign > self.hard.term && !self.must_refuse() && last >= self.log.last();
        self.send_in_term(from, Body::PreVoteReply { campaign, granted });
    }

    pub(super) fn on_pre_vote_reply(&mut self, from: Host, campaign: Term, vote: bool) {
        if campaign != self.hard.term + 1 {
            return;
        }
        if let State::PreCandidate { granted } = &mut self.state
            && vote
        {
            granted.insert(from);
            self.count_votes();
        }
    }

    /// Handles a request for a vote. The request is ignored, and its term not adopted, while a
    /// leader may rely on this replica for its lease.
    pub(super) fn on_vote(&mut self, from: Host, message: Message) {
        let Body::Vote { last, transfer } = message.body else {
            return;
        };
        if self.must_refuse() && !transfer {
            return;
        }
        if message.term > self.hard.term {
            self.become_follower(message.term, None);
        }
        let free = self.hard.vote.is_none_or(|vote| vote == from);
        let granted = message.term == self.hard.term && free && last >= self.log.last();
        if granted && self.hard.vote.is_none() {
            self.set_hard_state(self.hard.term, Some(from));
            self.reset_election();
        }
        self.send_persisted(from, Body::VoteReply { granted });
    }

    pub(super) fn on_vote_reply(&mut self, from: Host, vote: bool) {
        if let State::Candidate { granted } = &mut self.state
            && vote
        {
            granted.insert(from);
            self.count_votes();
        }
    }

    pub(super) fn on_timeout_now(&mut self) {
        if self.role() == Role::Follower && self.is_voter() {
            self.campaign(true);
        }
    }

    /// Follows `leader` in `term`, or waits for a leader.
    pub(super) fn become_follower(&mut self, term: Term, leader: Option<Host>) {
        if term > self.hard.term {
            self.set_hard_state(term, None);
            self.incoming = None;
        }
        let previous = std::mem::replace(&mut self.state, State::Follower);
        self.leader = leader;
        match previous {
            State::Leader(previous) => self.abdicate(&previous),
            State::Follower => {}
            State::PreCandidate { .. } | State::Candidate { .. } => self.reset_election(),
        }
    }

    /// Whether this replica must not help to elect a leader, because a leader may hold a lease.
    pub(super) fn must_refuse(&self) -> bool {
        let recent = |heard| self.now < heard + self.config.election_timeout;
        self.role() == Role::Leader || self.heard.is_some_and(recent)
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
        leader.uncommitted = self.log.size_of(self.commit + 1, first - 1);
        self.leader = Some(self.config.id);
        self.incoming = None;
        self.state = State::Leader(Box::new(leader));
        self.append_empty();
        self.tick_leader();
    }

    /// Ends this replica's own leadership.
    fn abdicate(&mut self, previous: &Leader) {
        // Orders that were covered by the lease may still be running.
        self.heard = self.heard.max(previous.lease_since);
        let refusal = self.not_leader();
        let confirming = previous.confirming_reads.iter().map(|read| read.token);
        let waiting = previous.waiting_reads.iter().copied();
        let aborted = confirming.chain(waiting).map(|token| Read {
            token,
            outcome: Err(refusal),
        });
        self.reads.extend(aborted);
        self.reset_election();
    }

    /// Draws a duration between `least` and its double.
    fn draw(&mut self, least: Duration) -> Duration {
        least + least.mul_f64(self.random.random_range(0.0..1.0))
    }
}
