//! Messages between the control thread's tasks and between hosts.

use {
    super::{Leadership, members::Replaced},
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

pub(super) const PROPOSE: &str = "state.propose";
pub(super) const CONFIRM: &str = "state.confirm";
pub(super) const PULL: &str = "state.pull";
pub(super) const HEALTH: &str = "health";

/// What became of a request to the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) enum Outcome<T> {
    Done(T),
    /// Refused by a host that does not lead.
    NotLeader(Option<Host>),
    /// Refused for now.
    Busy,
    /// Refused for ever.
    TooLarge {
        bytes: usize,
        most: usize,
    },
    /// Accepted, and certainly lost since.
    Lost,
    /// Never received.
    Unsent,
    /// Possibly accepted.
    Unknown,
}

impl<T> From<RequestError> for Outcome<T> {
    fn from(refusal: RequestError) -> Self {
        match refusal {
            RequestError::NotLeader { leader } => Self::NotLeader(leader),
            RequestError::Transferring { to } => Self::NotLeader(Some(to)),
            RequestError::TooLarge { bytes, limit } => Self::TooLarge { bytes, most: limit },
            _ => Self::Busy,
        }
    }
}

/// A request to the task that drives the replica.
#[derive(Debug)]
pub(super) enum Input {
    Step(Host, Vec<raft::Message>),
    Propose(Box<Entry>, Sender<Outcome<Reply>>),
    Confirm(Sender<Outcome<Version>>),
    Change(Change, Sender<Result<(), RequestError>>),
    Transfer(Sender<Result<Host, RequestError>>),
    Replace(ReplaceRequest, Sender<Replaced>),
    Status(Sender<raft::Status>),
    Leadership(Sender<Option<Leadership>>),
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Propose {
    pub(super) entry: Packed<Entry>,
    pub(super) wait_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Confirm {
    pub(super) wait_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Pull {
    pub(super) version: Version,
    pub(super) digest: Packed<Digest>,
    pub(super) wait_ms: u64,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Pulled {
    pub(super) update: Packed<Update>,
    /// Whether the answering host hears neither a leader nor anyone who does.
    pub(super) cut_off: bool,
}

/// The answer to a health call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Health {
    pub(super) host: Host,
    pub(super) version: Version,
    pub(super) cut_off: bool,
}
