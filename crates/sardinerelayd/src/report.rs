//! What a host tells operators about itself, directly or through another host.

use {
    crate::{
        control::{Handle, Published},
        schedule::Scheduler,
        service::Proxy,
        stop::Drain,
        tally::Tally,
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

/// One host's account of itself.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    /// The host.
    pub host: Host,
    /// Its process.
    pub incarnation: Incarnation,
    /// Its part in the consensus group.
    pub role: Role,
    /// Its condition.
    pub state: HostState,
    /// The version of control state that it has published.
    pub version: u64,
    /// The sheet that it has in force.
    pub in_force: Option<operator::SheetVersion>,
    /// Open requests.
    pub streams: u64,
    /// Requests that wait.
    pub queued: u64,
    /// Requests in flight on each target.
    pub in_flight: BTreeMap<Target, u64>,
    /// Requests that wait for each model.
    #[serde(default)]
    pub waiting: BTreeMap<Model, u64>,
    /// Engines that this host still uses for a model that the sheet places elsewhere.
    #[serde(default)]
    pub surplus: BTreeSet<Target>,
    /// Calls in flight on each server of a plain service.
    pub calls: BTreeMap<Target, u64>,
    /// The leader that it knows of.
    pub leader: Option<Host>,
    /// The term that it knows of.
    pub term: Term,
    /// Whether it hears a leader, directly or through others.
    pub connected: bool,
}

/// Gathers the report of this host.
#[derive(Debug, Clone)]
pub struct Source {
    /// The control thread.
    pub control: Handle,
    /// The scheduler.
    pub scheduler: Arc<Scheduler>,
    /// What waits here.
    pub tally: Arc<Tally>,
    /// Plain services.
    pub proxy: Proxy,
    /// Open requests and the state of a planned stop.
    pub drain: Drain,
    /// This host.
    pub host: Host,
    /// This process.
    pub incarnation: Incarnation,
}

impl Source {
    /// Describes this host as it is now.
    pub async fn report(&self) -> Report {
        let published = self.control.published().borrow().clone();
        let status = self.control.status().await.ok();
        let replica = status.as_ref().and_then(|status| status.replica.as_ref());
        let (queued, _, _) = self.scheduler.figures();
        Report {
            host: self.host,
            incarnation: self.incarnation,
            role: role(self.host, status.as_ref()),
            state: self.state(&published),
            version: published.version,
            in_force: in_force(&published),
            streams: self.drain.open() as u64,
            queued: queued as u64,
            in_flight: self.scheduler.in_flight(),
            waiting: self.tally.waiting(),
            surplus: self.scheduler.surplus(),
            calls: self.proxy.in_flight(),
            leader: replica.and_then(|replica| replica.leader),
            term: replica.map(|replica| replica.term).unwrap_or_default(),
            connected: status.is_some_and(|status| !status.cut_off),
        }
    }

    fn state(&self, published: &Published) -> HostState {
        if self.drain.draining() {
            HostState::Stopping
        } else if published.sheet.is_some() {
            HostState::Ready
        } else {
            HostState::NotReady
        }
    }
}

/// The identity of the sheet in force.
pub fn in_force(published: &Published) -> Option<operator::SheetVersion> {
    published.sheet.as_ref()?;
    published.accepted.as_ref().map(version)
}

/// An accepted sheet's identity as operators see it.
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
