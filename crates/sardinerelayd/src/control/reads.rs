//! Linearizable reads that wait for a quorum to confirm the leader.

use {
    sardinerelay::raft::{Replica, RequestError},
    std::collections::HashMap,
    tokio::sync::oneshot::Sender,
};

/// Pending reads by token, each with the channel for its reply.
#[derive(Debug)]
pub struct Reads<Outcome> {
    pending: HashMap<u64, Sender<Outcome>>,
    last_token: u64,
}

impl<Outcome> Default for Reads<Outcome> {
    fn default() -> Self {
        Self {
            pending: HashMap::new(),
            last_token: 0,
        }
    }
}

impl<Outcome> Reads<Outcome>
where
    Outcome: From<RequestError>,
{
    /// Starts a read. If the replica refuses it, the error is sent as the reply.
    pub fn start(&mut self, replica: &mut Replica, reply: Sender<Outcome>) {
        self.last_token += 1;
        match replica.read(self.last_token) {
            Ok(()) => {
                self.pending.insert(self.last_token, reply);
            }
            // Sending fails if the caller has given up in the meantime.
            Err(error) => _ = reply.send(error.into()),
        }
    }

    /// Removes a read that has ended and returns the channel for its reply.
    pub fn take(&mut self, token: u64) -> Option<Sender<Outcome>> {
        self.pending.remove(&token)
    }
}
