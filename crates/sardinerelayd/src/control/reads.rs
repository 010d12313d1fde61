//! Reads that wait for a quorum.

use {
    sardinerelay::raft::{Replica, RequestError},
    std::collections::HashMap,
    tokio::sync::oneshot::Sender,
};

/// Reads under way, each with who asked for it.
#[derive(Debug)]
pub struct Reads<Outcome> {
    waiting: HashMap<u64, Sender<Outcome>>,
    next: u64,
}

impl<Outcome> Default for Reads<Outcome> {
    fn default() -> Self {
        Self {
            waiting: HashMap::new(),
            next: 0,
        }
    }
}

impl<Outcome> Reads<Outcome>
where
    Outcome: From<RequestError>,
{
    /// Starts a read. If the replica refuses it, that is the answer.
    pub fn start(&mut self, replica: &mut Replica, reply: Sender<Outcome>) {
        self.next += 1;
        match replica.read(self.next) {
            Ok(()) => {
                self.waiting.insert(self.next, reply);
            }
            // Whoever asked may have given up meanwhile.
            Err(refusal) => _ = reply.send(refusal.into()),
        }
    }

    /// Who asked for a read that has ended.
    pub fn take(&mut self, token: u64) -> Option<Sender<Outcome>> {
        self.waiting.remove(&token)
    }
}
