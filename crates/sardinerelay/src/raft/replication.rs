//! Replication of the leader's log, and commits.

use {
    super::{
        config::Config,
        log::Log,
        message::{Append, Body, Conflict, Position},
        progress::{Mode, Progress},
        replica::{Replica, State},
    },
    crate::id::{Host, Index},
    std::time::Instant,
};

/// The state of the replica from which the messages to a member are built, together with the
/// member's progress.
struct SendContext<'replica> {
    config: &'replica Config,
    log: &'replica Log,
    commit: Index,
    now: Instant,
}

impl Replica {
    /// Queues all messages that the limits on unanswered bytes allow for each member.
    pub(super) fn replicate(&mut self) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let context = SendContext {
            config: &self.config,
            log: &self.log,
            commit: self.commit,
            now: self.now,
        };
        let mut queued = Vec::new();
        for (&host, progress) in &mut leader.progress {
            let bodies = context.bodies(progress);
            queued.extend(bodies.into_iter().map(|body| (host, body)));
        }
        for (to, body) in queued {
            self.send(to, body, 0);
        }
    }

    pub(super) fn on_appended(&mut self, from: Host, matched: Index) {
        let last = self.log.last().index;
        let Some(progress) = self.record_reply(from) else {
            return;
        };
        if matched > last {
            return;
        }
        let advanced = progress.record_acknowledged(matched);
        let is_match_known = match &progress.mode {
            Mode::Probe { .. } => true,
            Mode::Replicate => false,
            Mode::Snapshot(outgoing) => matched >= outgoing.last().index,
        };
        if is_match_known {
            progress.start_replicate();
        }
        if advanced {
            self.advance_commit();
            self.send_timeout_now();
        }
    }

    pub(super) fn on_rejected(&mut self, from: Host, conflict: Conflict) {
        let resolved = self.log.last_not_above(conflict.hint);
        let Some(progress) = self.record_reply(from) else {
            return;
        };
        let is_current = match &progress.mode {
            Mode::Probe { .. } => conflict.rejected + 1 == progress.next,
            Mode::Replicate => conflict.rejected > progress.matched,
            Mode::Snapshot(_) => false,
        };
        if is_current {
            progress.start_probe(resolved.index.min(conflict.rejected) + 1);
        }
    }

    pub(super) fn on_chunk_reply(
        &mut self,
        from: Host,
        last: Position,
        received: u64,
        rewind: bool,
    ) {
        let now = self.now;
        let Some(progress) = self.record_reply(from) else {
            return;
        };
        if let Mode::Snapshot(outgoing) = &mut progress.mode
            && outgoing.last() == last
        {
            outgoing.on_reply(received, rewind, now);
        }
    }

    /// Sends again what was not answered in time.
    pub(super) fn retransmit(&mut self) {
        let now = self.now;
        let timeout = self.config.retransmit_timeout;
        let chunk_bytes = self.config.chunk_bytes;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let overdue = |sent: Option<Instant>| sent.is_some_and(|sent| now >= sent + timeout);
        for progress in leader.progress.values_mut() {
            let oldest = progress.oldest_in_flight();
            match &mut progress.mode {
                Mode::Probe { sent } if overdue(*sent) => *sent = None,
                Mode::Replicate if overdue(oldest) => progress.start_probe(progress.matched + 1),
                Mode::Snapshot(outgoing) => outgoing.retransmit(timeout, chunk_bytes, now),
                _ => {}
            }
        }
    }

    /// Commits the entries that a quorum has on disk, if the last of them is of the current term.
    /// Entries of earlier terms are only committed together with it (Raft, section 5.4.2).
    pub(super) fn advance_commit(&mut self) {
        let own_id = self.config.id;
        let persisted = self.writes.persisted();
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let matched = |host| match leader.progress.get(&host) {
            Some(progress) => progress.matched,
            None if host == own_id => persisted,
            None => 0,
        };
        let index = self.log.membership().quorum_value(matched);
        if index <= self.commit || self.log.term_at(index) != Some(self.hard_state.term) {
            return;
        }
        leader.uncommitted_bytes -= self.log.size_of(self.commit + 1, index);
        self.commit = index;
    }
}

impl SendContext<'_> {
    /// The messages that can be sent to a member now.
    fn bodies(&self, progress: &mut Progress) -> Vec<Body> {
        if let Mode::Probe { sent: None } = progress.mode
            && progress.next <= self.log.base()
        {
            progress.start_snapshot(self.log.snapshot.clone(), self.now);
        }
        let is_responsive = progress
            .last_reply
            .is_some_and(|last_reply| self.now < last_reply + self.config.election_timeout);
        match &mut progress.mode {
            Mode::Probe { sent: Some(_) } => Vec::new(),
            Mode::Probe { sent } => {
                *sent = Some(self.now);
                // A member that does not answer gets empty appends until it does.
                let max_bytes = if is_responsive {
                    self.config.append_bytes
                } else {
                    0
                };
                self.probe(progress, max_bytes).into_iter().collect()
            }
            Mode::Replicate => self.pipeline(progress),
            Mode::Snapshot(outgoing) => {
                let window = match is_responsive {
                    true => self.config.chunk_inflight_bytes,
                    false => self.config.chunk_bytes,
                };
                let next = || outgoing.next(self.config.chunk_bytes, window);
                std::iter::from_fn(next).map(Body::Chunk).collect()
            }
        }
    }

    fn probe(&self, progress: &mut Progress, max_bytes: usize) -> Option<Body> {
        let append = self.append(progress.next, max_bytes)?;
        progress.sent_commit = self.commit;
        Some(Body::Append(append))
    }

    /// Appends up to the limit of unanswered bytes. Without entries to send, an empty append
    /// carries a new commit index.
    fn pipeline(&self, progress: &mut Progress) -> Vec<Body> {
        let mut bodies = Vec::new();
        let last = self.log.last().index;
        while progress.next <= last && progress.in_flight_bytes() < self.config.inflight_bytes {
            let Some(append) = self.append(progress.next, self.config.append_bytes) else {
                progress.start_probe(progress.matched + 1);
                return bodies;
            };
            let bytes = append.entries.iter().map(|entry| entry.size()).sum();
            let sent = progress.next + append.entries.len() as u64 - 1;
            progress.record_append(sent, bytes, self.now);
            progress.sent_commit = self.commit;
            bodies.push(Body::Append(append));
        }
        if progress.sent_commit < self.commit
            && let Some(append) = self.append(progress.next, 0)
        {
            progress.sent_commit = self.commit;
            bodies.push(Body::Append(append));
        }
        bodies
    }

    /// An append that starts with entry `next` and has up to `max_bytes`, or no entry if that is 0.
    /// `None` if the log no longer holds the entry before `next`.
    fn append(&self, next: Index, max_bytes: usize) -> Option<Append> {
        let previous = next - 1;
        let term = self.log.term_at(previous)?;
        let entries = match max_bytes {
            0 => Vec::new(),
            _ => self.log.slice(next, self.log.last().index, max_bytes),
        };
        Some(Append {
            previous: Position {
                term,
                index: previous,
            },
            entries,
            commit: self.commit,
        })
    }
}
