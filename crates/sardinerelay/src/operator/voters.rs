//! Messages about the members of the consensus group.

use {
    crate::{
        id::{Host, Index, Term},
        raft::ReplacementError,
    },
    serde::{Deserialize, Serialize},
};

/// A member of the group, as the leader knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Host number of the voter or learner.
    pub host: Host,
    /// Whether it is a voter. A learner only receives the log.
    pub votes: bool,
    /// Whether it is the leader.
    pub leads: bool,
    /// Index of the last log entry that it is known to have stored on disk.
    pub matched: Index,
}

/// The group, as its leader knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voters {
    /// The leader, which answers.
    pub leader: Host,
    /// The term in which it leads.
    pub term: Term,
    /// Index of the last committed log entry.
    pub commit: Index,
    /// Whether the membership in this answer is committed.
    pub committed: bool,
    /// Voters and learners, sorted by number.
    pub members: Vec<MemberRow>,
}

/// Asks for the next step in replacing a voter. It is idempotent: each call continues from the
/// group's current membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplaceRequest {
    /// The voter to remove.
    pub old: Host,
    /// The host to make a voter. It has to run as a learner, with a number that was never a
    /// member's before.
    pub new: Host,
}

/// The step that a replacement is at.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplaceStage {
    /// The new host is being added as a learner.
    Adding,
    /// The new host receives the log, or doesn't answer the leader yet.
    CatchingUp,
    /// The new host is being made a voter.
    Promoting,
    /// The old host is the leader and transfers leadership first.
    Transferring,
    /// The old host is being removed.
    Removing,
    /// The new host is a voter and the old one no member, and both changes are committed.
    Done,
}

/// How far a replacement has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplaceProgress {
    /// The old and the new host, as in the request.
    #[serde(flatten)]
    pub request: ReplaceRequest,
    /// The leader, which answers.
    pub leader: Host,
    /// The step that was under way when the leader answered.
    pub stage: ReplaceStage,
    /// Number of log entries that the new host is not known to have. Absent except while it catches
    /// up.
    pub missing: Option<u64>,
}

/// Why a leader rejects a replacement.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum ReplaceError {
    /// It is not possible with the group's current membership.
    #[error(transparent)]
    Membership(#[from] ReplacementError),
    /// The leader's settings don't list the new host, so the leader has no address for it.
    #[error("host {host} is not listed in the settings of host {leader}, which leads")]
    Unlisted {
        /// The host that was to become a voter.
        host: Host,
        /// The leader, whose settings lack the host.
        leader: Host,
    },
}
