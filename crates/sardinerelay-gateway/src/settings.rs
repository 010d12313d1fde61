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
    pub reloadable: Arc<reload::SharedSettings>,
    /// Reads those again.
    pub loader: reload::Loader,
}

/// An entry host.
#[derive(Debug, Clone)]
pub struct Entry {
    /// What every process knows.
    pub common: Common,
    /// Where callers connect.
    pub front_address: SocketAddr,
    /// Where the balancer asks whether this host takes new connections.
    pub readiness_address: SocketAddr,
    /// Limit of repeats to a service's targets, over all entry hosts.
    pub retry_limit: budget::Limit,
    /// Time from the request to stop until the process is killed.
    pub grace_period: Duration,
}

/// A host with a replica.
#[derive(Debug, Clone)]
pub struct Voter {
    /// What every process knows.
    pub common: Common,
    /// Where operators connect.
    pub control_address: SocketAddr,
    /// Directory for durable state.
    pub data_dir: PathBuf,
    /// Whether the whole system starts for the first time.
    pub is_founding: bool,
    /// Where the platform's list is served.
    pub list_address: SocketAddr,
    /// Calls to the list that all hosts together may make in a second.
    pub max_list_calls_per_second: f64,
    /// Time from the request to stop until the process is killed.
    pub grace_period: Duration,
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
