//! The membership changes that replace one voter by another host.

use {
    super::membership::{Change, Membership},
    crate::id::Host,
    serde::{Deserialize, Serialize},
    thiserror::Error,
};

/// The replacement of one voter by another host. The next step follows from the membership
/// alone, so that any leader can continue where another one stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Replacement {
    /// The voter to remove.
    pub old: Host,
    /// The host that becomes a voter.
    pub new: Host,
    /// Number of voters that the group has while none is being replaced.
    pub voter_count: usize,
}

/// Why a replacement is not possible with the current membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum ReplacementError {
    /// A host can't replace itself: a replica that lost its disk needs a new host number, because
    /// its old one may have voted and acknowledged entries that it no longer knows of.
    #[error("host {host} can't replace itself; it needs a new number")]
    Same {
        /// The host that was named as both the old and the new one.
        host: Host,
    },
    /// The host to remove does not vote.
    #[error("host {host} is not a voter")]
    NotVoter {
        /// The host that was to be removed.
        host: Host,
    },
    /// Removing the old host would leave too few voters, because the new one is a voter already.
    #[error("host {host} is already a voter; removing another one would leave {left} voters")]
    AlreadyVoter {
        /// The new host, which votes already.
        host: Host,
        /// Voters that would be left.
        left: usize,
    },
    /// Another replacement has to finish first.
    #[error("another replacement is under way: the group has {voters} voters")]
    Another {
        /// Current number of voters.
        voters: usize,
    },
}

impl Replacement {
    /// The next change, or `None` once the replacement is complete.
    ///
    /// # Errors
    ///
    /// [`ReplacementError`] if the membership does not allow the replacement.
    pub fn next_change(&self, membership: &Membership) -> Result<Option<Change>, ReplacementError> {
        let Self {
            old,
            new,
            voter_count,
        } = *self;
        let current = membership.voters.len();
        let promoted = membership.voters.contains(&new);
        if old == new {
            return Err(ReplacementError::Same { host: old });
        }
        if !membership.voters.contains(&old) {
            return match promoted {
                true => Ok(None),
                false => Err(ReplacementError::NotVoter { host: old }),
            };
        }
        match promoted {
            true if current > voter_count => Ok(Some(Change::Remove(old))),
            true => Err(ReplacementError::AlreadyVoter {
                host: new,
                left: current - 1,
            }),
            false if current > voter_count => Err(ReplacementError::Another { voters: current }),
            false if membership.learners.contains(&new) => Ok(Some(Change::Promote(new))),
            false => Ok(Some(Change::AddLearner(new))),
        }
    }
}
