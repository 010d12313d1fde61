//! Proposals that wait for their commit.

use {
    sardinerelay::{
        id::{Index, Term},
        raft::Position,
    },
    std::collections::BTreeMap,
    tokio::sync::oneshot::Sender,
};

/// Why a proposal ended without its own commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// Another entry has taken its place in the log.
    Replaced,
    /// It may have been committed or not.
    Unknown,
}

/// The replies to proposals, by the position at which each was appended.
///
/// An entry that is committed at the index of a proposal is that proposal only if its term is the same: another
/// leader may have put a different entry there. A reply is dropped if the requester has given up.
#[derive(Debug)]
pub struct Proposals<Outcome> {
    pending: BTreeMap<Index, (Term, Sender<Outcome>)>,
}

impl<Outcome> Default for Proposals<Outcome> {
    fn default() -> Self {
        Self {
            pending: BTreeMap::new(),
        }
    }
}

impl<Outcome> Proposals<Outcome>
where
    Outcome: From<Ended>,
{
    /// Lets a reply wait until its proposal is committed.
    pub fn insert(&mut self, position: Position, reply: Sender<Outcome>) {
        let Position { term, index } = position;
        if let Some((_, replaced)) = self.pending.insert(index, (term, reply)) {
            let _ = replaced.send(Ended::Replaced.into());
        }
    }

    /// Takes the reply to the proposal that is committed at this position. A proposal whose place another entry
    /// has taken ends as replaced.
    pub fn take_committed(&mut self, position: Position) -> Option<Sender<Outcome>> {
        let (term, reply) = self.pending.remove(&position.index)?;
        if term == position.term {
            return Some(reply);
        }
        let _ = reply.send(Ended::Replaced.into());
        None
    }

    /// Ends the proposals up to this index with an unknown outcome.
    pub fn end_through(&mut self, index: Index) {
        let later = self.pending.split_off(&(index + 1));
        self.end_all();
        self.pending = later;
    }

    /// Ends all proposals with an unknown outcome.
    pub fn end_all(&mut self) {
        for (_, reply) in std::mem::take(&mut self.pending).into_values() {
            let _ = reply.send(Ended::Unknown.into());
        }
    }

    /// Forgets the proposals whose requesters have given up.
    pub fn forget_abandoned(&mut self) {
        self.pending.retain(|_, (_, reply)| !reply.is_closed());
    }
}
