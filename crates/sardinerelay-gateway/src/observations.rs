//! What hosts with a replica observe of targets, on behalf of all entry hosts.
//!
//! Each of them reads the platform's list and the targets' load reports, and entry hosts follow
//! one or more of these boards. That keeps the number of readers independent of the number of
//! entry hosts. See `docs/design/platform.md`.

use {
    compact_str::CompactString,
    sardinerelay::id::{Incarnation, Service, Target, Zone},
    serde::{Deserialize, Serialize},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
    tokio::sync::watch,
};

/// One start of a target, as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name.
    pub target: Target,
    /// When it started, in milliseconds since 1970. A target may start again under its name.
    pub incarnation: Incarnation,
    /// The service that it belongs to.
    pub service: Service,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// How much longer it is slow after its start, in milliseconds.
    pub cold_ms: u64,
}

/// A target's report of its own load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Tokens of memory that can't yield.
    pub used: u64,
    /// Tokens of memory in all.
    pub total: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// A load report with its age.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The target.
    pub target: Target,
    /// Its start.
    pub incarnation: Incarnation,
    /// What it reported.
    pub load: Load,
    /// Milliseconds since the report was read.
    pub age_ms: u64,
    /// Milliseconds since the target began to close the connections of its answers, if it does.
    pub closing_ms: Option<u64>,
}

/// Everything that one host observed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observations {
    /// Changes with every change of the board; 0 before the first one.
    pub stamp: u64,
    /// The platform's list.
    pub instances: Vec<Instance>,
    /// Milliseconds since the list was read.
    pub list_age_ms: u64,
    /// The newest load report of each target.
    pub loads: Vec<LoadReport>,
    /// The stamp of the last board that listed another target, or another one that leaves.
    #[serde(skip)]
    pub changed: u64,
    /// Entry hosts that follow this host, or followed it lately.
    pub entries: u32,
    /// When ages were last brought up to date.
    #[serde(skip)]
    pub made: Option<Instant>,
}

/// The newest board of this host.
pub type ObservationsSender = Arc<watch::Sender<Arc<Observations>>>;

/// Boards of which a follower gets one if only loads have changed. The allocating host has all of
/// them; others need loads only while they allocate for themselves.
const SPARSE: u64 = 3;

impl Observations {
    /// Whether a follower that has the board `stamp` should get this one.
    pub fn is_due(&self, stamp: u64) -> bool {
        let successor = stamp <= self.stamp && stamp + SPARSE > self.stamp;
        self.stamp != 0 && (!successor || self.changed > stamp)
    }

    /// Whether this one lists other targets than `before`, or others that leave.
    pub fn lists_other_targets(&self, before: &Self) -> bool {
        let listed = |board: &Self| -> Vec<_> {
            let instances = board.instances.iter();
            let key = |at: &Instance| (at.target.clone(), at.incarnation, at.leaving);
            instances.map(key).collect()
        };
        let leaving = |board: &Self| -> Vec<Target> {
            let loads = board.loads.iter();
            let leaves = |seen: &&LoadReport| seen.load.leaving || seen.closing_ms.is_some();
            let mut leaving: Vec<_> = loads
                .filter(leaves)
                .map(|seen| seen.target.clone())
                .collect();
            leaving.sort_unstable();
            leaving
        };
        listed(self) != listed(before) || leaving(self) != leaving(before)
    }

    /// The board with its ages as of now.
    pub fn with_current_ages(&self) -> Self {
        let mut board = self.clone();
        let since = self.made.map_or(Duration::ZERO, |made| made.elapsed());
        let since = since.as_millis() as u64;
        board.list_age_ms += since;
        for observation in &mut board.loads {
            observation.age_ms += since;
            if let Some(closing) = &mut observation.closing_ms {
                *closing += since;
            }
        }
        board.made = None;
        board
    }
}

/// Time after which an entry host that is not heard counts no longer.
const FOLLOWER_LIFETIME: Duration = Duration::from_secs(15);

/// The entry hosts that follow this host.
#[derive(Debug, Default)]
pub struct Followers {
    seen: Mutex<HashMap<CompactString, Instant>>,
}

impl Followers {
    /// Records that an entry host was heard.
    pub fn record(&self, host: &CompactString) {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.insert(host.clone(), Instant::now());
    }

    /// The number of entry hosts that were heard lately.
    pub fn count(&self) -> u32 {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.retain(|_, at| at.elapsed() < FOLLOWER_LIFETIME);
        seen.len() as u32
    }
}
