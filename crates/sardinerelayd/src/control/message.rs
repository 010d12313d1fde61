//! Messages between the tasks of the control thread, and parameters and results of RPC methods
//! between hosts.

use {
    super::{Leadership, members::ReplaceAnswer, proposals::Ended},
    crate::peer::Packed,
    sardinerelay::{
        id::{Host, Version},
        operator::ReplaceRequest,
        raft::{self, Change, RequestError},
        state::{Digest, Entry, Reply, Update},
    },
    serde::{Deserialize, Serialize},
    tokio::sync::oneshot::Sender,
};

/// Proposes an entry: [`ProposeRequest`] to [`Outcome<Reply>`].
pub(super) const PROPOSE: &str = "state.propose";

/// Confirms the latest version: [`ConfirmRequest`] to [`Outcome<Version>`].
pub(super) const CONFIRM: &str = "state.confirm";

/// Long-polls for updates of the view: [`PullRequest`] to [`PullResponse`].
pub(super) const PULL: &str = "state.pull";

/// Returns the state of a host: no parameters to [`Health`].
pub(super) const HEALTH: &str = "health";

/// The outcome of a request to the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) enum Outcome<T> {
    /// Committed or confirmed, with the result.
    Done(T),
    /// Refused by a host that doesn't lead. Names the leader if the host knows it.
    NotLeader(Option<Host>),
    /// Refused for now; a later attempt may succeed.
    Busy,
    /// Refused because the entry exceeds the limit, both in bytes; no attempt can succeed.
    TooLarge { bytes: usize, most: usize },
    /// Appended to the log, but replaced by another entry before it was committed.
    Lost,
    /// The host never received the request.
    Unsent,
    /// The host may have accepted the request.
    Unknown,
}

impl<T> From<Ended> for Outcome<T> {
    fn from(ended: Ended) -> Self {
        match ended {
            Ended::Replaced => Self::Lost,
            Ended::Unknown => Self::Unknown,
        }
    }
}

impl<T> From<RequestError> for Outcome<T> {
    fn from(error: RequestError) -> Self {
        match error {
            RequestError::NotLeader { leader } => Self::NotLeader(leader),
            RequestError::Transferring { to } => Self::NotLeader(Some(to)),
            RequestError::TooLarge { bytes, limit } => Self::TooLarge { bytes, most: limit },
            _ => Self::Busy,
        }
    }
}

/// A request to the task that runs the replica.
#[derive(Debug)]
pub(super) enum Input {
    /// Consensus messages from the given host.
    Step(Host, Vec<raft::Message>),
    Propose(Box<Entry>, Sender<Outcome<Reply>>),
    /// A linearizable read of the current version.
    Confirm(Sender<Outcome<Version>>),
    /// A membership change by one replica.
    Change(Change, Sender<Result<(), RequestError>>),
    /// A leadership transfer to a host that the replica chooses.
    Transfer(Sender<Result<Host, RequestError>>),
    /// The next step of a voter's replacement.
    Replace(ReplaceRequest, Sender<ReplaceAnswer>),
    Status(Sender<raft::Status>),
    /// Whether this host leads, with its term and lease.
    Leadership(Sender<Option<Leadership>>),
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ProposeRequest {
    pub(super) entry: Packed<Entry>,
    /// Time for the leader to commit the entry, in milliseconds.
    pub(super) wait_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ConfirmRequest {
    /// Time for the leader to confirm its leadership, in milliseconds.
    pub(super) wait_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct PullRequest {
    pub(super) version: Version,
    pub(super) digest: Packed<Digest>,
    /// Time to wait for a change, in milliseconds.
    pub(super) wait_ms: u64,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct PullResponse {
    pub(super) update: Packed<Update>,
    /// Whether the answering host is in contact with no leader, neither directly nor through other
    /// hosts.
    pub(super) cut_off: bool,
}

/// The result of [`HEALTH`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Health {
    pub(super) host: Host,
    pub(super) version: Version,
    pub(super) cut_off: bool,
}
