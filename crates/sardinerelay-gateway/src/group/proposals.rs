//! Proposals of this replica that are not committed yet.

use {
    super::channels::Outcome,
    sardinerelay::{
        id::{Index, Term},
        raft::Position,
    },
    std::collections::BTreeMap,
    tokio::sync::oneshot::Sender,
};

/// The replies to proposals, by the position at which each was appended.
///
/// An entry that is committed at the index of a proposal is that proposal only if its term is the same: another
/// leader may have put a different entry there.
#[derive(Debug, Default)]
pub struct Proposals {
    pending: BTreeMap<Index, (Term, Sender<Outcome>)>,
}

impl Proposals {
    /// Lets a reply wait until its proposal is committed.
    pub fn insert(&mut self, position: Position, reply: Sender<Outcome>) {
        let Position { term, index } = position;
        if let Some((_, replaced)) = self.pending.insert(index, (term, reply)) {
            end(replaced);
        }
    }

    /// Takes the reply to the proposal that is committed at this position. A proposal whose place another entry
    /// has taken ends with an unknown outcome.
    pub fn take_committed(&mut self, position: Position) -> Option<Sender<Outcome>> {
        let (term, reply) = self.pending.remove(&position.index)?;
        if term == position.term {
            return Some(reply);
        }
        end(reply);
        None
    }

    /// Ends the proposals up to this index with an unknown outcome.
    pub fn end_through(&mut self, index: Index) {
        let later = self.pending.split_off(&(index + 1));
        let ended = std::mem::replace(&mut self.pending, later);
        ended.into_values().for_each(|(_, reply)| end(reply));
    }

    /// Ends all proposals with an unknown outcome.
    pub fn end_all(&mut self) {
        let ended = std::mem::take(&mut self.pending);
        ended.into_values().for_each(|(_, reply)| end(reply));
    }
}

/// Ends a proposal. Its requester may have given up already.
fn end(reply: Sender<Outcome>) {
    let _ = reply.send(Outcome::Unknown);
}
