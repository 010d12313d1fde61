//! A host's report of its own state, for operators and for the other hosts.

use {
    crate::{
        control::{Handle, PublishedView},
        request_stats::RequestStats,
        schedule::Scheduler,
        service::Proxy,
        stop::Drain,
    },
    sardinerelay::{
        id::{Host, Incarnation, Model, Target, Term},
        operator::{self, HostState, Role},
        raft,
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// The state of one host, as the host reports it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    /// Id of the reporting host.
    pub host: Host,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Its role in the consensus group.
    pub role: Role,
    /// Whether it is ready, not ready or stopping.
    pub state: HostState,
    /// Version of the control state that its traffic threads use.
    pub version: u64,
    /// The sheet in force there; `None` while there is none.
    pub in_force: Option<operator::SheetVersion>,
    /// Number of open requests, calls to plain services included.
    pub streams: u64,
    /// Number of requests in its admission queue.
    pub queued: u64,
    /// Number of requests in flight on each target.
    pub in_flight: BTreeMap<Target, u64>,
    /// Number of queued requests for each model.
    #[serde(default)]
    pub waiting: BTreeMap<Model, u64>,
    /// Engines that this host still uses for a model that the sheet places on other engines.
    #[serde(default)]
    pub surplus: BTreeSet<Target>,
    /// Number of calls in flight on each server of a plain service.
    pub calls: BTreeMap<Target, u64>,
    /// The leader that its replica knows; `None` on hosts without a replica.
    pub leader: Option<Host>,
    /// The consensus term of its replica; 0 on hosts without one.
    pub term: Term,
    /// Whether it is in contact with a leader, directly or through other hosts.
    pub connected: bool,
}

/// Gathers the report of this host.
#[derive(Debug, Clone)]
pub struct Collector {
    /// Handle of the control thread, for the published view and the replica's status.
    pub control: Handle,
    /// The scheduler, for requests in flight and queued.
    pub scheduler: Arc<Scheduler>,
    /// Counts of waiting and running requests.
    pub request_stats: Arc<RequestStats>,
    /// The proxy for plain services, for calls in flight.
    pub proxy: Proxy,
    /// Open requests and the state of a planned stop.
    pub drain: Drain,
    /// This host.
    pub host: Host,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
}

impl Collector {
    /// Returns the current report of this host.
    pub async fn report(&self) -> Report {
        let published = self.control.published().borrow().clone();
        let status = self.control.status().await.ok();
        let replica = status.as_ref().and_then(|status| status.replica.as_ref());
        let (queued, _, _) = self.scheduler.stats();
        Report {
            host: self.host,
            incarnation: self.incarnation,
            role: role(self.host, status.as_ref()),
            state: self.state(&published),
            version: published.version,
            in_force: in_force(&published),
            streams: self.drain.open_requests() as u64,
            queued: queued as u64,
            in_flight: self.scheduler.in_flight(),
            waiting: self.request_stats.waiting_by_model(),
            surplus: self.scheduler.surplus(),
            calls: self.proxy.in_flight(),
            leader: replica.and_then(|replica| replica.leader),
            term: replica.map(|replica| replica.term).unwrap_or_default(),
            connected: status.is_some_and(|status| !status.cut_off),
        }
    }

    fn state(&self, published: &PublishedView) -> HostState {
        if self.drain.is_draining() {
            HostState::Stopping
        } else if published.sheet.is_some() {
            HostState::Ready
        } else {
            HostState::NotReady
        }
    }
}

/// The identity of the sheet in force, or `None` while there is none.
pub fn in_force(published: &PublishedView) -> Option<operator::SheetVersion> {
    published.sheet.as_ref()?;
    published.accepted.as_ref().map(version)
}

/// The number, digest and version of an accepted sheet, as operators see them.
pub fn version(accepted: &sardinerelay::state::AcceptedSheet) -> operator::SheetVersion {
    operator::SheetVersion {
        number: accepted.number,
        digest: operator::Digest(accepted.digest),
        version: accepted.version,
    }
}

fn role(host: Host, status: Option<&crate::control::Status>) -> Role {
    let replica = status.and_then(|status| status.replica.as_ref());
    match replica {
        Some(replica) if replica.role == raft::Role::Leader => Role::Leader,
        Some(replica) if replica.membership.voters.contains(&host) => Role::Voter,
        Some(_) => Role::Learner,
        None => Role::Entry,
    }
}
