//! Resolved settings of one process.

use {
    crate::{budget, reload},
    compact_str::CompactString,
    sardinerelay::{
        id::{Organisation, Region, Zone},
        pacing::Tolerance,
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        fmt,
        net::{Ipv4Addr, SocketAddr},
        path::PathBuf,
        sync::Arc,
        time::Duration,
    },
};

/// Settings of every process.
#[derive(Clone)]
pub struct Common {
    /// This host's name. It appears in logs and identifies an entry host at the hosts that it
    /// follows.
    pub host: CompactString,
    /// This host's availability zone, whose targets are preferred.
    pub zone: Zone,
    /// The region of each availability zone.
    pub regions: BTreeMap<Zone, Region>,
    /// How far beyond the rate that they state cold targets may be loaded.
    pub cold_tolerance: Tolerance,
    /// The weights of organisations in fair queueing. The weight of others is 1.
    pub weights: HashMap<Organisation, f64>,
    /// This host's address, at which the metrics server and, with a replica, the peer server
    /// listen.
    pub address: Ipv4Addr,
    /// Port of the peer server, the same on all hosts.
    pub peer_port: u16,
    /// Port at which this process serves its metrics.
    pub metrics_port: u16,
    /// Settings that can be reloaded, as they were read last.
    pub reloadable: Arc<reload::SharedSettings>,
    /// Reads the settings that can be reloaded.
    pub loader: reload::Loader,
}

/// Settings of an entry host.
#[derive(Debug, Clone)]
pub struct Entry {
    pub common: Common,
    /// Address at which this host serves callers.
    pub front_address: SocketAddr,
    /// Address at which the load balancer checks whether this host accepts new connections.
    pub readiness_address: SocketAddr,
    /// Limit of retries to a service's targets, for all entry hosts together.
    pub retry_limit: budget::Limit,
    /// Time from the signal to stop until the platform kills the process.
    pub grace_period: Duration,
}

/// Settings of a host with a replica.
#[derive(Debug, Clone)]
pub struct Voter {
    pub common: Common,
    /// Address at which this host serves operators.
    pub control_address: SocketAddr,
    /// Directory for files that must survive a restart.
    pub data_dir: PathBuf,
    /// Whether the whole system starts for the first time, so that the seeds found a group.
    pub is_founding: bool,
    /// Address at which the platform serves its list of targets.
    pub list_address: SocketAddr,
    /// Largest number of requests for the list that all hosts together may make in a second.
    pub max_list_calls_per_second: f64,
    /// Time from the signal to stop until the platform kills the process.
    pub grace_period: Duration,
}

impl Voter {
    /// Returns the zones for which operators may give orders.
    pub fn zones(&self) -> BTreeSet<Zone> {
        self.common.regions.keys().cloned().collect()
    }
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
