//! Settings of the control thread.

use {
    crate::peer::{Secret, Timeouts},
    sardinerelay::{
        id::{Host, Incarnation, Zone},
        ledger::Quota,
    },
    std::{
        net::{Ipv4Addr, SocketAddr},
        path::PathBuf,
        time::Duration,
    },
    thiserror::Error,
};

/// A host in the settings, which may be this host itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its host id.
    pub id: Host,
    /// Its availability zone.
    pub zone: Zone,
    /// Its address for other hosts.
    pub address: SocketAddr,
}

/// Settings of the control thread.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This host.
    pub host: Host,
    /// Identifies this process. It must be higher than that of any earlier process of the host, for
    /// example its start time in milliseconds.
    pub incarnation: Incarnation,
    /// This host's availability zone.
    pub zone: Zone,
    /// The address to listen on for other hosts. A system of one host doesn't use it.
    pub listen: SocketAddr,
    /// Voters of a new group.
    pub voters: Vec<Peer>,
    /// Further hosts. May also list this host and the voters.
    pub hosts: Vec<Peer>,
    /// The data directory. Voters and learners need one.
    pub data_dir: Option<PathBuf>,
    /// Whether a voter with an empty data directory bootstraps a new group. This must be off once
    /// the group exists, so that a voter that lost its disk is refused. A single voter always may.
    pub bootstrap: bool,
    /// Whether this host has a replica although it isn't one of `voters`.
    pub learner: bool,
    /// Secrets shared by the hosts. The first one is sent, all are accepted.
    pub secrets: Vec<Secret>,
    /// Interval of the leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Minimum election timeout.
    pub election_timeout: Duration,
    /// Longest time that an upstream host lets a pull wait for a change.
    pub poll_timeout: Duration,
    /// Timeouts of connections between hosts.
    pub timeouts: Timeouts,
    /// Ledger quota of each organisation.
    pub quota: Quota,
    /// Number of log entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Bytes of log entries after which a snapshot is taken.
    pub snapshot_bytes: usize,
    /// Bytes of log entries that are kept although a snapshot contains them, so that followers that
    /// lag a little don't need the snapshot.
    pub trailing_bytes: usize,
}

/// Why the settings are invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The list of voters is empty. A system of one host lists itself.
    #[error("the list of voters is empty")]
    NoVoters,
    /// A voter or learner has no data directory.
    #[error("host {host} has a replica and needs a data directory")]
    NoDataDirectory { host: Host },
    /// There are other hosts, but no usable secret.
    #[error("invalid secrets: {0}")]
    Secrets(#[from] crate::peer::SecretError),
    /// A host is listed twice, with different addresses or zones.
    #[error("host {host} is listed twice with different addresses or zones")]
    ConflictingHost { host: Host },
}

impl Settings {
    /// Settings of a system of one host with the given data directory. Timeouts and limits have
    /// their default values.
    pub fn single_host(data_dir: PathBuf, incarnation: Incarnation) -> Self {
        let zone = Zone::const_new("local");
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let voter = Peer {
            id: 1,
            zone: zone.clone(),
            address: listen,
        };
        Self {
            host: 1,
            incarnation,
            zone,
            listen,
            voters: vec![voter],
            hosts: Vec::new(),
            data_dir: Some(data_dir),
            bootstrap: true,
            learner: false,
            secrets: Vec::new(),
            heartbeat_interval: Duration::from_millis(100),
            election_timeout: Duration::from_millis(500),
            poll_timeout: Duration::from_secs(5),
            timeouts: Timeouts::default(),
            quota: Quota::default(),
            snapshot_entries: 10_000,
            snapshot_bytes: 8 << 20,
            trailing_bytes: 1 << 20,
        }
    }

    /// Whether this host has a replica.
    pub fn has_replica(&self) -> bool {
        self.learner || self.is_voter(self.host)
    }

    /// Whether the host is one of `voters`.
    pub fn is_voter(&self, host: Host) -> bool {
        self.voters.iter().any(|voter| voter.id == host)
    }

    /// Returns all other hosts without duplicates, sorted by id.
    pub fn others(&self) -> Vec<&Peer> {
        let mut others: Vec<&Peer> = self.voters.iter().chain(&self.hosts).collect();
        others.sort_by_key(|peer| peer.id);
        others.dedup_by_key(|peer| peer.id);
        others.retain(|peer| peer.id != self.host);
        others
    }

    /// Checks that the settings are consistent.
    ///
    /// # Errors
    ///
    /// [`SettingsError`], except for secrets, which are checked when they are used.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.voters.is_empty() {
            return Err(SettingsError::NoVoters);
        }
        if self.has_replica() && self.data_dir.is_none() {
            return Err(SettingsError::NoDataDirectory { host: self.host });
        }
        let mut all: Vec<&Peer> = self.voters.iter().chain(&self.hosts).collect();
        all.sort_by_key(|peer| peer.id);
        match all
            .windows(2)
            .find(|pair| pair[0].id == pair[1].id && pair[0] != pair[1])
        {
            Some(pair) => Err(SettingsError::ConflictingHost { host: pair[0].id }),
            None => Ok(()),
        }
    }

    /// Whether this host may bootstrap a new group if its data directory has no replica.
    pub(super) fn may_bootstrap(&self) -> bool {
        self.is_voter(self.host) && (self.bootstrap || self.voters.len() == 1)
    }
}
