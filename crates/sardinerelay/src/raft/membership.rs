//! Members of a group, and changes of one member at a time.

use {
    crate::id::Host,
    serde::{Deserialize, Serialize},
    std::collections::BTreeSet,
};

/// Members of a group.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Membership {
    /// Replicas that vote in elections and count for commits.
    pub voters: BTreeSet<Host>,
    /// Replicas that receive the log without voting or counting for commits.
    pub learners: BTreeSet<Host>,
}

/// A change of one member. If two memberships differ by one voter, any quorum of one shares a
/// voter with any quorum of the other, so no joint consensus is needed (thesis, 4.1).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a replica that does not vote.
    AddLearner(Host),
    /// Makes a learner a voter.
    Promote(Host),
    /// Removes a voter or learner. The leader cannot remove itself; it has to transfer its
    /// leadership first.
    Remove(Host),
}

impl Membership {
    /// A group of voters without learners.
    pub fn new<Hosts>(voters: Hosts) -> Self
    where
        Hosts: IntoIterator<Item = Host>,
    {
        Self {
            voters: voters.into_iter().collect(),
            learners: BTreeSet::new(),
        }
    }

    /// Number of voters that form a quorum.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// All members, voters and learners, in ascending order.
    pub fn hosts(&self) -> impl Iterator<Item = Host> + '_ {
        self.voters.union(&self.learners).copied()
    }

    /// Whether the replica is a voter or a learner.
    pub fn contains(&self, host: Host) -> bool {
        self.voters.contains(&host) || self.learners.contains(&host)
    }

    /// The membership after a change. `None` if the change does not apply or would leave no
    /// voter.
    pub fn changed(&self, change: Change) -> Option<Self> {
        let mut next = self.clone();
        let applies = match change {
            Change::AddLearner(host) => !self.contains(host) && next.learners.insert(host),
            Change::Promote(host) => next.learners.remove(&host) && next.voters.insert(host),
            Change::Remove(host) => next.learners.remove(&host) || next.voters.remove(&host),
        };
        (applies && !next.voters.is_empty()).then_some(next)
    }

    /// The highest value that a quorum of voters has reached; the default value without voters.
    pub(super) fn quorum_value<Value, Get>(&self, get: Get) -> Value
    where
        Value: Ord + Default + Copy,
        Get: Fn(Host) -> Value,
    {
        let mut values: Vec<Value> = self.voters.iter().map(|&host| get(host)).collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        let index = self.quorum() - 1;
        values.get(index).copied().unwrap_or_default()
    }
}
