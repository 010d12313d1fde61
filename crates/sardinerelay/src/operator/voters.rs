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
    /// Its number.
    pub host: Host,
    /// Whether it votes; a learner only receives the log.
    pub votes: bool,
    /// Whether it leads.
    pub leads: bool,
    /// Last log entry that it is known to have on disk.
    pub matched: Index,
}

/// The group, as its leader knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voters {
    /// The leader.
    pub leader: Host,
    /// Its term.
    pub term: Term,
    /// Last committed log entry.
    pub commit: Index,
    /// Whether the membership shown is committed.
    pub committed: bool,
    /// The members by number.
    pub members: Vec<MemberRow>,
}

/// Replaces a voter. It can be sent again at any time and continues where the group stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplaceRequest {
    /// The voter to remove.
    pub old: Host,
    /// The host to make a voter. It has to run as a learner under a number never used before.
    pub new: Host,
}

/// What a replacement waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplaceStage {
    /// The new host is being added as a learner.
    Adding,
    /// The new host receives the log, or does not answer yet.
    CatchingUp,
    /// The new host is being made a voter.
    Promoting,
    /// The host to remove leads and transfers leadership.
    Transferring,
    /// The old host is being removed.
    Removing,
    /// The new host votes, the old one is no member, and both are committed.
    Done,
}

/// How far a replacement has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplaceProgress {
    /// The replacement.
    #[serde(flatten)]
    pub request: ReplaceRequest,
    /// The leader that answers.
    pub leader: Host,
    /// What it waits for.
    pub stage: ReplaceStage,
    /// Log entries that the new host is not known to have; absent unless it catches up.
    pub missing: Option<u64>,
}

/// Why a leader refuses a replacement.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum ReplaceError {
    /// It does not fit the group's membership.
    #[error(transparent)]
    Membership(#[from] ReplacementError),
    /// The settings of the leader do not name the new host, so that it could not be reached.
    #[error("host {host} is not listed in the settings of host {leader}, which leads")]
    Unlisted {
        /// The new host.
        host: Host,
        /// The leader.
        leader: Host,
    },
}
