//! Timeouts and size limits of a replica.

use {crate::id::Host, std::time::Duration, thiserror::Error};

/// Timeouts and size limits of a replica. All replicas of a group must use the same timeouts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Host number that identifies this replica in its group.
    pub id: Host,
    /// Seed of the randomised election timeouts. It must differ between the replicas of a group,
    /// so that they do not campaign at the same time again and again.
    pub seed: u64,
    /// Interval between heartbeat rounds.
    pub heartbeat_interval: Duration,
    /// Minimum election timeout; timeouts are drawn between it and its double. A voter that heard
    /// from a leader within this time refuses to vote for another one, and a leader that heard
    /// from no quorum within it steps down.
    pub election_timeout: Duration,
    /// Largest difference that may build up between two hosts' clocks within
    /// `election_timeout`. The leader's lease is shortened by it.
    pub max_clock_drift: Duration,
    /// Time after which an unanswered append or snapshot chunk is sent again.
    pub retransmit_timeout: Duration,
    /// Maximum bytes of entries in one append. A single larger entry is sent alone.
    pub append_bytes: usize,
    /// Maximum bytes of entries that were sent to one follower and not answered yet.
    pub inflight_bytes: usize,
    /// Maximum bytes of entries that were proposed and not committed yet. Further proposals are
    /// refused with [`RequestError::Busy`](super::RequestError::Busy).
    pub uncommitted_bytes: usize,
    /// Maximum bytes in one proposal.
    pub proposal_bytes: usize,
    /// Bytes of snapshot data in one chunk; the last chunk may have fewer.
    pub chunk_bytes: usize,
    /// Maximum bytes of snapshot chunks that were sent to one follower and not answered yet. It
    /// bounds how long a heartbeat waits behind a snapshot on the same connection.
    pub chunk_inflight_bytes: usize,
    /// Largest snapshot that is accepted from a leader, in bytes. It must be below the limit of
    /// the store that saves it, such as `wal::Limits::snapshot_bytes`.
    pub snapshot_bytes: u64,
    /// Maximum bytes of entries that stay in memory for slow followers although the latest
    /// snapshot contains them.
    pub trailing_bytes: usize,
    /// Maximum number of entries that a learner may lack when it is promoted to voter.
    pub max_promotion_lag: u64,
}

/// Why a replica could not be created.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// Followers would time out between two heartbeats of a healthy leader.
    #[error(
        "election timeout {election_timeout:?} must be at least three heartbeat intervals of \
         {heartbeat_interval:?}"
    )]
    Heartbeat {
        /// The configured [`Config::election_timeout`].
        election_timeout: Duration,
        /// The configured [`Config::heartbeat_interval`].
        heartbeat_interval: Duration,
    },
    /// The lease, which the drift shortens, would be too short.
    #[error(
        "clock drift {max_clock_drift:?} must be below half of the election timeout \
         {election_timeout:?}"
    )]
    Drift {
        /// The configured [`Config::max_clock_drift`].
        max_clock_drift: Duration,
        /// The configured [`Config::election_timeout`].
        election_timeout: Duration,
    },
    /// A size limit is zero or exceeds the limit that has to include it.
    #[error("{name} must be above zero and at most {limit}, but is {value}")]
    Size {
        /// Name of the field of [`Config`].
        name: &'static str,
        /// The invalid value in bytes.
        value: usize,
        /// The largest value allowed, in bytes.
        limit: usize,
    },
    /// An entry is missing after the snapshot or between two entries.
    #[error("log entry {found} does not follow entry {previous}")]
    Gap {
        /// Index of the entry found.
        found: u64,
        /// Index of the snapshot or entry before it.
        previous: u64,
    },
}

impl Config {
    /// Default settings for replica `id`. A leader that is killed is replaced within one
    /// election timeout of 500 to 1000 ms plus one round of votes.
    pub fn new(id: Host, seed: u64) -> Self {
        Self {
            id,
            seed,
            heartbeat_interval: Duration::from_millis(100),
            election_timeout: Duration::from_millis(500),
            max_clock_drift: Duration::from_millis(50),
            retransmit_timeout: Duration::from_millis(250),
            append_bytes: 256 << 10,
            inflight_bytes: 2 << 20,
            uncommitted_bytes: 16 << 20,
            proposal_bytes: 4 << 20,
            chunk_bytes: 64 << 10,
            chunk_inflight_bytes: 256 << 10,
            snapshot_bytes: 512 << 20,
            trailing_bytes: 1 << 20,
            max_promotion_lag: 256,
        }
    }

    /// Checks that the settings fit together.
    pub fn validate(&self) -> Result<(), ConfigError> {
        if self.heartbeat_interval.is_zero() || self.election_timeout < self.heartbeat_interval * 3
        {
            return Err(ConfigError::Heartbeat {
                election_timeout: self.election_timeout,
                heartbeat_interval: self.heartbeat_interval,
            });
        }
        if self.max_clock_drift * 2 >= self.election_timeout {
            return Err(ConfigError::Drift {
                max_clock_drift: self.max_clock_drift,
                election_timeout: self.election_timeout,
            });
        }
        validate_size("append_bytes", self.append_bytes, self.inflight_bytes)?;
        validate_size(
            "proposal_bytes",
            self.proposal_bytes,
            self.uncommitted_bytes,
        )?;
        validate_size("chunk_bytes", self.chunk_bytes, self.chunk_inflight_bytes)
    }
}

fn validate_size(name: &'static str, value: usize, limit: usize) -> Result<(), ConfigError> {
    if value == 0 || value > limit {
        return Err(ConfigError::Size { name, value, limit });
    }
    Ok(())
}
