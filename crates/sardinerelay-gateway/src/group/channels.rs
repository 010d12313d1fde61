//! What other tasks ask of the driver, and what it answers and publishes.

use {
    super::{
        evacuation::{Evacuations, Order},
        register::{Document, Exclusion},
    },
    log::warn,
    sardinerelay::{
        id::{Host, Term, Version},
        raft::{Message, RequestError, SoftState},
    },
    sardinerelayd::control::proposals::Ended,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeSet, net::Ipv4Addr, sync::Arc},
    tokio::sync::{oneshot::Sender, watch},
};

/// Outcome of a request to the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The request is done. Carries the configuration's version at that time, 0 if there is none.
    Done(Version),
    /// The replica is not the leader, or refused the request. Carries the leader's ID if it is
    /// known.
    NotLeader(Option<Host>),
    /// The request may or may not have been done.
    Unknown,
}

/// A request to the driver.
#[derive(Debug)]
pub(super) enum Input {
    /// Messages from the replica with this ID.
    Step(Host, Vec<Message>),
    /// Stores a configuration.
    Submit(Document, Sender<Outcome>),
    /// Asks for the newest committed version, confirmed by a quorum.
    Confirm(Sender<Outcome>),
    /// The host with this ID asks to join. The flag says whether it was started together with the
    /// whole system.
    Join(Host, bool, Sender<MemberStatus>),
    /// Asks for the status of the host with this ID.
    Status(Host, Sender<MemberStatus>),
    /// The voter with this ID is about to end.
    Leave(Host, Sender<MemberStatus>),
    /// Refuses these subjects. There is no reply: whoever asks looks at what is published.
    Exclude(Vec<Exclusion>),
    /// Evacuates a zone or ends its evacuation. The outcome carries the zone's revision, 0 if the order
    /// was out of date.
    Order(Order, Sender<Outcome>),
    /// Transfers leadership to another voter.
    Transfer,
}

/// Channels on which the driver publishes what other tasks follow.
#[derive(Debug)]
pub(super) struct Published {
    /// The newest configuration that may be given to entry hosts.
    pub(super) newest: watch::Sender<Option<Arc<Document>>>,
    /// This replica's status in the group.
    pub(super) status: watch::Sender<MemberStatus>,
    pub(super) leadership: watch::Sender<SoftState>,
    /// What the group refuses.
    pub(super) exclusions: watch::Sender<Vec<Exclusion>>,
    /// The orders for zones; none until this replica has been as new as the leader's.
    pub(super) evacuations: watch::Sender<Option<Arc<Evacuations>>>,
    /// Addresses of the other voters from which messages arrived recently, while this replica is the leader.
    pub(super) heard: watch::Sender<BTreeSet<Ipv4Addr>>,
}

/// What a replica knows of the group, and of one host in it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The leader, if it is known.
    pub leader: Option<Host>,
    /// The term that the replica knows, which is that of the leader if one is known. 0 from a host of an earlier
    /// version.
    #[serde(default)]
    pub term: Term,
    /// Whether the replica that answers is the leader and has committed an entry in its term.
    #[serde(rename = "leads")]
    pub is_leader: bool,
    /// Whether the host is a member, as a voter or a learner. True also while a change of the
    /// membership isn't committed.
    #[serde(rename = "member")]
    pub is_member: bool,
    /// Whether the host is a voter.
    #[serde(rename = "votes")]
    pub is_voter: bool,
    /// Whether a learner could become a voter now in place of one that leaves.
    #[serde(default, rename = "successor")]
    pub has_successor: bool,
    /// The IDs of all members.
    pub members: Vec<Host>,
}

impl From<Ended> for Outcome {
    /// An operator sends the same request again in both cases.
    fn from(_: Ended) -> Self {
        Self::Unknown
    }
}

impl From<RequestError> for Outcome {
    fn from(error: RequestError) -> Self {
        match error {
            RequestError::NotLeader { leader } => Self::NotLeader(leader),
            error => {
                warn!(reason:% = error; "the replica refused a request");
                Self::NotLeader(None)
            }
        }
    }
}
