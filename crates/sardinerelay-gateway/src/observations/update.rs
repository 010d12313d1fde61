//! Messages in which a host publishes what changed in its observations.

use {
    super::{Load, or_default},
    crate::{
        limit::Rate,
        quarantine::{Refused, Subject},
    },
    compact_str::CompactString,
    sardinerelay::id::{Incarnation, Target, Zone},
    serde::{Deserialize, Serialize},
    std::net::{Ipv4Addr, SocketAddr},
};

/// Age that is sent for a list that was never read.
pub const UNKNOWN_AGE_MS: u64 = u64::MAX / 2;

/// Number by which one source's updates name an incarnation of a target.
pub type Number = u32;

/// Position of a follower in the updates of one publisher.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Random number of the publisher. 0 if the follower has followed none.
    pub source: u64,
    /// Stamp of the observations that the follower has. 0 if it needs a full snapshot.
    pub stamp: u64,
}

/// The load reports that a follower asks for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Loads {
    /// None, because the follower reaches the allocating host.
    #[default]
    None,
    /// Those of the targets in the follower's availability zone.
    Zone,
    /// All, because the follower publishes them.
    All,
}

/// A request for the next update.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Name of the follower, for the log.
    pub host: CompactString,
    pub position: Position,
    /// Availability zone of the follower.
    pub zone: Zone,
    pub loads: Loads,
    /// The load reports that the follower has as of its stamp.
    pub held_loads: Loads,
    /// Time to wait for a change, in milliseconds.
    pub wait_ms: u64,
}

/// What changed since a follower's stamp.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    pub source: u64,
    /// The stamp since which changes are in the update. 0 for a full snapshot.
    pub base: u64,
    /// The stamp of the observations after the update.
    pub stamp: u64,
    /// Milliseconds since the list was read, as far as the publisher can tell.
    pub list_age_ms: u64,
    /// Milliseconds by which the list may be older than that, because messages between the publisher
    /// and the host that read it may have been delayed.
    pub doubt_ms: u64,
    /// The load reports that the update brings up to date.
    pub loads: Loads,
    /// The changes. None if nothing changed that the follower asked for.
    pub changes: Option<Box<Changes>>,
}

/// The changes of an [`Update`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Names of services, zones and builds, to which [`Entry`] refers by position.
    pub names: Vec<CompactString>,
    /// Targets that were added, or changed otherwise than by beginning to leave.
    pub entries: Vec<Entry>,
    pub removed: Vec<Number>,
    /// Targets that began to leave, as the list or their load report says.
    pub leaving: Vec<Number>,
    /// Milliseconds since targets began to close their connections, or none if they ceased to.
    pub closing: Vec<(Number, Option<u64>)>,
    /// Targets whose load reports have stopped while those of others arrive, or arrive again.
    pub silent: Vec<(Number, bool)>,
    pub limits: Vec<LimitEntry>,
    pub removed_limits: Vec<(Target, Incarnation)>,
    /// All refused parts, if they changed. The same holds for the fields below.
    pub refused_parts: Option<Vec<Refused>>,
    pub refused_requests: Option<Vec<Refused>>,
    pub suspects: Option<Vec<Subject>>,
    pub readers: Option<Vec<Ipv4Addr>>,
    pub entry_hosts: u32,
    pub loads: Vec<LoadEntry>,
    /// Digest of the list after the update.
    #[serde(deserialize_with = "or_default")]
    pub digest: u32,
}

/// One incarnation of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub number: Number,
    pub target: Target,
    pub incarnation: Incarnation,
    /// Position in [`Changes::names`], as `zone` and `build` are.
    pub service: u32,
    pub zone: u32,
    pub build: u32,
    pub address: SocketAddr,
    pub slots: u32,
    pub leaving: bool,
    /// Milliseconds for which it is still slow, as of the time of the update.
    pub cold_ms: u64,
}

/// A rate limit that a target states, or its end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitEntry {
    pub target: Target,
    pub incarnation: Incarnation,
    pub rate: Option<Rate>,
    pub age_ms: u64,
}

/// A load report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadEntry {
    pub number: Number,
    pub load: Load,
    pub age_ms: u64,
}
