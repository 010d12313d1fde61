//! How a leader replicates its log, and when entries are committed.

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

/// What sending needs to read besides the member's progress.
struct Sender<'replica> {
    config: &'replica Config,
    log: &'replica Log,
    commit: Index,
    now: Instant,
}

impl Replica {
    /// Queues everything that the limits allow to send to each member.
    pub(super) fn replicate(&mut self) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let sender = Sender {
            config: &self.config,
            log: &self.log,
            commit: self.commit,
            now: self.now,
        };
        let mut queued = Vec::new();
        for (&host, progress) in &mut leader.progress {
            let bodies = sender.bodies(progress);
            queued.extend(bodies.into_iter().map(|body| (host, body)));
        }
        for (to, body) in queued {
            self.send(to, body, 0);
        }
    }

    pub(super) fn on_appended(&mut self, from: Host, matched: Index) {
        let last = self.log.last().index;
        let Some(progress) = self.heard_from(from) else {
            return;
        };
        if matched > last {
            return;
        }
        let advanced = progress.acknowledged(matched);
        let replicates = match &progress.mode {
            Mode::Probe { .. } => true,
            Mode::Replicate => false,
            Mode::Snapshot(outgoing) => matched >= outgoing.last().index,
        };
        if replicates {
            progress.replicate();
        }
        if advanced {
            self.advance_commit();
            self.hand_over();
        }
    }

    pub(super) fn on_rejected(&mut self, from: Host, conflict: Conflict) {
        let resolved = self.log.at_or_below(conflict.hint);
        let Some(progress) = self.heard_from(from) else {
            return;
        };
        let current = match &progress.mode {
            Mode::Probe { .. } => conflict.rejected + 1 == progress.next,
            Mode::Replicate => conflict.rejected > progress.matched,
            Mode::Snapshot(_) => false,
        };
        if current {
            progress.probe(resolved.index.min(conflict.rejected) + 1);
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
        let Some(progress) = self.heard_from(from) else {
            return;
        };
        if let Mode::Snapshot(outgoing) = &mut progress.mode
            && outgoing.last() == last
        {
            outgoing.answered(received, rewind, now);
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
            let oldest = progress.oldest_flight();
            match &mut progress.mode {
                Mode::Probe { sent } if overdue(*sent) => *sent = None,
                Mode::Replicate if overdue(oldest) => progress.probe(progress.matched + 1),
                Mode::Snapshot(outgoing) => outgoing.retransmit(timeout, chunk_bytes, now),
                _ => {}
            }
        }
    }

    /// Commits what a quorum has on disk, if the last such entry is of the current term. Entries
    /// of earlier terms are committed with it only (Raft, section 5.4.2).
    pub(super) fn advance_commit(&mut self) {
        let own = self.config.id;
        let persisted = self.disk.persisted();
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let matched = |host| match leader.progress.get(&host) {
            Some(progress) => progress.matched,
            None if host == own => persisted,
            None => 0,
        };
        let index = self.log.membership().agreed(matched);
        if index <= self.commit || self.log.term_at(index) != Some(self.hard.term) {
            return;
        }
        leader.uncommitted -= self.log.size_of(self.commit + 1, index);
        self.commit = index;
    }
}

impl Sender<'_> {
    fn bodies(&self, progress: &mut Progress) -> Vec<Body> {
        if let Mode::Probe { sent: None } = progress.mode
            && progress.next <= self.log.base()
        {
            progress.send_snapshot(self.log.snapshot.clone(), self.now);
        }
        let answers = progress
            .heard
            .is_some_and(|heard| self.now < heard + self.config.election_timeout);
        match &mut progress.mode {
            Mode::Probe { sent: Some(_) } => Vec::new(),
            Mode::Probe { sent } => {
                *sent = Some(self.now);
                // A member that is down gets no entries, only questions.
                let most = if answers { self.config.append_bytes } else { 0 };
                self.probe(progress, most).into_iter().collect()
            }
            Mode::Replicate => self.pipeline(progress),
            Mode::Snapshot(outgoing) => {
                let window = match answers {
                    true => self.config.chunk_inflight_bytes,
                    false => self.config.chunk_bytes,
                };
                let next = || outgoing.next(self.config.chunk_bytes, window);
                std::iter::from_fn(next).map(Body::Chunk).collect()
            }
        }
    }

    fn probe(&self, progress: &mut Progress, most: usize) -> Option<Body> {
        let append = self.append(progress.next, most)?;
        progress.commit = self.commit;
        Some(Body::Append(append))
    }

    /// Appends within the limit of unanswered bytes. An empty one tells a new commit index.
    fn pipeline(&self, progress: &mut Progress) -> Vec<Body> {
        let mut bodies = Vec::new();
        let last = self.log.last().index;
        while progress.next <= last && progress.flight_bytes() < self.config.inflight_bytes {
            let Some(append) = self.append(progress.next, self.config.append_bytes) else {
                progress.probe(progress.matched + 1);
                return bodies;
            };
            let bytes = append.entries.iter().map(|entry| entry.size()).sum();
            let sent = progress.next + append.entries.len() as u64 - 1;
            progress.sent(sent, bytes, self.now);
            progress.commit = self.commit;
            bodies.push(Body::Append(append));
        }
        if progress.commit < self.commit
            && let Some(append) = self.append(progress.next, 0)
        {
            progress.commit = self.commit;
            bodies.push(Body::Append(append));
        }
        bodies
    }

    /// The append that starts at `next`; `None` if the log does not reach back so far.
    fn append(&self, next: Index, most: usize) -> Option<Append> {
        let previous = next - 1;
        let term = self.log.term_at(previous)?;
        let entries = match most {
            0 => Vec::new(),
            _ => self.log.slice(next, self.log.last().index, most),
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
