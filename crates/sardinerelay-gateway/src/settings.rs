//! The resolved settings of one process.

use {
    crate::{budget, reload},
    compact_str::CompactString,
    sardinerelay::id::Zone,
    std::{
        fmt,
        net::{Ipv4Addr, SocketAddr},
        path::PathBuf,
        sync::Arc,
        time::Duration,
    },
};

/// What every process knows.
#[derive(Clone)]
pub struct Common {
    /// This host's name, for logs.
    pub host: CompactString,
    /// Its availability zone.
    pub zone: Zone,
    /// Its address.
    pub address: Ipv4Addr,
    /// Port of the peer servers of all hosts.
    pub peer_port: u16,
    /// Port at which metrics are served.
    pub metrics_port: u16,
    /// Settings that may change.
    pub changing: Arc<reload::Current>,
    /// Reads those again.
    pub read: reload::Read,
}

/// An entry host.
#[derive(Debug, Clone)]
pub struct Entry {
    /// What every process knows.
    pub common: Common,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where the balancer asks whether this host takes new connections.
    pub ready: SocketAddr,
    /// Limit of repeats to a service's targets, over all entry hosts.
    pub retries: budget::Limit,
    /// Time from the request to stop until the process is killed.
    pub grace: Duration,
}

/// A host with a replica.
#[derive(Debug, Clone)]
pub struct Voter {
    /// What every process knows.
    pub common: Common,
    /// Where operators connect.
    pub control: SocketAddr,
    /// Directory for durable state.
    pub data: PathBuf,
    /// Whether the whole system starts for the first time.
    pub founding: bool,
    /// Where the platform's list is served.
    pub list: SocketAddr,
    /// Calls to the list that all hosts together may make in a second.
    pub list_rate: f64,
    /// Time from the request to stop until the process is killed.
    pub grace: Duration,
}

impl fmt::Debug for Common {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Common")
            .field("host", &self.host)
            .field("zone", &self.zone)
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}
