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

/// A host as the settings name it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its number.
    pub id: Host,
    /// Its availability zone.
    pub zone: Zone,
    /// Its peer address.
    pub address: SocketAddr,
}

/// Settings of the control thread.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This host.
    pub host: Host,
    /// This process, higher than that of any earlier process of the host; for example its start
    /// time in milliseconds.
    pub incarnation: Incarnation,
    /// This host's availability zone.
    pub zone: Zone,
    /// The peer address to listen on. It is not used in a system of one host.
    pub listen: SocketAddr,
    /// Founding voters.
    pub voters: Vec<Peer>,
    /// All known hosts, with or without this one and the voters.
    pub hosts: Vec<Peer>,
    /// The data directory. Voters and learners need one.
    pub data_dir: Option<PathBuf>,
    /// Whether an empty data directory of a voter founds the group. Once it is founded, this must
    /// be off, so that a voter that lost its disk is refused. A single voter always founds.
    pub bootstrap: bool,
    /// Whether this host holds a replica although it is no founding voter.
    pub learner: bool,
    /// Secrets between hosts; the first one is sent, all are accepted.
    pub secrets: Vec<Secret>,
    /// Interval between heartbeats.
    pub heartbeat_interval: Duration,
    /// Minimum election timeout.
    pub election_timeout: Duration,
    /// The longest time that an upstream host holds a pull open.
    pub poll_timeout: Duration,
    /// Time limits of peer connections.
    pub timeouts: Timeouts,
    /// What each organisation may keep in the ledger.
    pub quota: Quota,
    /// Log entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Bytes of log entries after which a snapshot is taken.
    pub snapshot_bytes: usize,
    /// Bytes of log entries that a snapshot contains and that are kept for followers that lag a
    /// little, so that they need no snapshot.
    pub trailing_bytes: usize,
}

/// Why settings were refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// There is no voter.
    #[error("no voter is given")]
    NoVoters,
    /// A voter or learner has no data directory.
    #[error("host {host} holds a replica and needs a data directory")]
    NoDataDirectory {
        /// The host.
        host: Host,
    },
    /// There are other hosts and no secret.
    #[error("the peer secrets are refused: {0}")]
    Secrets(#[from] crate::peer::SecretError),
    /// Two hosts have the same number and different addresses or zones.
    #[error("host {host} is listed twice, differently")]
    ConflictingHost {
        /// The host.
        host: Host,
    },
}

impl Settings {
    /// Settings of a system of one host with its data directory.
    pub fn single_host(data: PathBuf, incarnation: Incarnation) -> Self {
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
            data_dir: Some(data),
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

    /// Whether this host holds a replica.
    pub fn has_replica(&self) -> bool {
        self.learner || self.is_voter(self.host)
    }

    /// Whether the host is a founding voter.
    pub fn is_voter(&self, host: Host) -> bool {
        self.voters.iter().any(|voter| voter.id == host)
    }

    /// All other hosts, each once, by number.
    pub fn others(&self) -> Vec<&Peer> {
        let mut others: Vec<&Peer> = self.voters.iter().chain(&self.hosts).collect();
        others.sort_by_key(|member| member.id);
        others.dedup_by_key(|member| member.id);
        others.retain(|member| member.id != self.host);
        others
    }

    /// Checks that the settings fit together.
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
        all.sort_by_key(|member| member.id);
        match all
            .windows(2)
            .find(|pair| pair[0].id == pair[1].id && pair[0] != pair[1])
        {
            Some(pair) => Err(SettingsError::ConflictingHost { host: pair[0].id }),
            None => Ok(()),
        }
    }

    pub(super) fn may_bootstrap(&self) -> bool {
        self.is_voter(self.host) && (self.bootstrap || self.voters.len() == 1)
    }
}
