//! Received messages: checks of the term, dispatch, and a follower's handling of its leader's
//! messages.

use {
    super::{
        message::{Append, Body, Chunk, Entry, Message, Snapshot},
        replica::{Replica, State},
        snapshot::{ChunkOutcome, IncomingSnapshot},
    },
    crate::id::{Host, Index},
    std::time::Instant,
};

impl Replica {
    /// Handles a message that was received at `now`. `from` must be the replica for which the
    /// connection was authenticated.
    pub fn step(&mut self, from: Host, message: Message, now: Instant) {
        self.now = self.now.max(now);
        let term = message.term;
        match message.body {
            Body::PreVote { last } => return self.on_pre_vote(from, term, last),
            Body::Vote { .. } => return self.on_vote(from, message),
            _ if term > self.hard_state.term => self.become_follower(term, None),
            _ if term < self.hard_state.term => return self.on_stale_term(from, message),
            _ => {}
        }
        match message.body {
            Body::PreVote { .. } | Body::Vote { .. } => {}
            Body::PreVoteReply { campaign, granted } => {
                self.on_pre_vote_reply(from, campaign, granted);
            }
            Body::VoteReply { granted } => self.on_vote_reply(from, granted),
            Body::Append(append) => self.on_append(from, append),
            Body::Appended { matched } => self.on_appended(from, matched),
            Body::Rejected(conflict) => self.on_rejected(from, conflict),
            Body::Heartbeat { round, commit } => self.on_heartbeat(from, round, commit),
            Body::HeartbeatReply { round } => self.on_heartbeat_reply(from, round),
            Body::Chunk(chunk) => self.on_chunk(from, chunk),
            Body::ChunkReply {
                last,
                received,
                rewind,
            } => self.on_chunk_reply(from, last, received, rewind),
            Body::TimeoutNow => self.on_timeout_now(),
        }
    }

    /// Handles a message of an earlier term. A former leader learns the current term from the
    /// reply. A pre-vote reply counts although the voter's term is lower, because a pre-vote
    /// changes no term.
    fn on_stale_term(&mut self, from: Host, message: Message) {
        match message.body {
            Body::PreVoteReply { campaign, granted } => {
                self.on_pre_vote_reply(from, campaign, granted);
            }
            Body::Append(_) | Body::Heartbeat { .. } | Body::Chunk(_) => {
                self.send_after_hard_state(from, Body::HeartbeatReply { round: 0 });
            }
            _ => {}
        }
    }

    /// Follows the sender, which leads the current term, and resets the election timeout.
    fn follow(&mut self, from: Host) {
        assert!(
            !matches!(self.state, State::Leader(_)),
            "replicas {from} and {} both lead term {}",
            self.config.id,
            self.hard_state.term
        );
        self.become_follower(self.hard_state.term, Some(from));
        self.last_leader_contact = Some(self.now);
        self.reset_election_deadline();
    }

    fn on_heartbeat(&mut self, from: Host, round: u64, commit: Index) {
        self.follow(from);
        self.commit_to(commit);
        self.send_after_hard_state(from, Body::HeartbeatReply { round });
    }

    fn on_append(&mut self, from: Host, append: Append) {
        self.follow(from);
        if !is_contiguous(&append) {
            return;
        }
        if append.previous.index < self.commit {
            let matched = self.commit;
            return self.send_after_persist(from, Body::Appended { matched });
        }
        if !self.log.matches(append.previous) {
            let conflict = self.log.conflict(append.previous);
            return self.send_after_hard_state(from, Body::Rejected(conflict));
        }
        let matched = append.previous.index + append.entries.len() as u64;
        for entry in append.entries {
            self.accept_entry(entry);
        }
        self.commit_to(append.commit.min(matched));
        self.send_after_persist(from, Body::Appended { matched });
    }

    /// Appends an entry unless the log holds it already. An entry of another term at its index
    /// is dropped with all entries after it.
    fn accept_entry(&mut self, entry: Entry) {
        let position = entry.position;
        if self.log.matches(position) {
            return;
        }
        if position.index <= self.log.last().index {
            assert!(
                position.index > self.commit,
                "entry {position:?} contradicts a committed entry of replica {}",
                self.config.id
            );
            self.log.truncate(position.index);
            self.writes.on_truncate(position.index);
        }
        self.log.append(entry);
    }

    fn on_chunk(&mut self, from: Host, chunk: Chunk) {
        self.follow(from);
        let last = chunk.meta.last;
        if self.log.matches(last) {
            self.commit_to(last.index);
        }
        if last.index <= self.commit {
            self.incoming_snapshot = None;
            let matched = self.commit;
            return self.send_after_persist(from, Body::Appended { matched });
        }
        if chunk.total > self.config.snapshot_bytes {
            return;
        }
        let term = self.hard_state.term;
        let current = self.incoming_snapshot.take();
        let continued = current.filter(|incoming| incoming.matches(from, term, &chunk));
        let mut incoming = continued.unwrap_or_else(|| IncomingSnapshot::new(from, term, &chunk));
        match incoming.receive(&chunk) {
            ChunkOutcome::Reply(reply) => {
                self.incoming_snapshot = Some(incoming);
                self.send_after_hard_state(from, reply);
            }
            ChunkOutcome::Complete(snapshot) => self.install_snapshot(from, snapshot),
        }
    }

    /// Replaces the log by a snapshot of the leader that was received completely.
    fn install_snapshot(&mut self, from: Host, snapshot: Snapshot) {
        self.commit = snapshot.meta.last.index;
        self.log.install(snapshot.clone());
        self.writes.on_install(snapshot.clone());
        self.pending_restore = Some(snapshot);
        let matched = self.commit;
        self.send_after_persist(from, Body::Appended { matched });
    }
}

fn is_contiguous(append: &Append) -> bool {
    let mut indexes = append.previous.index + 1..;
    append
        .entries
        .iter()
        .all(|entry| indexes.next() == Some(entry.position.index))
}
