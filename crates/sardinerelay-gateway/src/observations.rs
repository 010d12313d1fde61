//! What a host with a replica observes of targets, on behalf of all entry hosts.
//!
//! Each such host reads the platform's list and the targets' load reports, and entry hosts follow
//! the observations of one or more of them. The number of hosts that poll the platform thereby
//! doesn't depend on the number of entry hosts. See `docs/design/platform.md`.

mod list;
pub mod publisher;
pub mod served;
pub mod update;
pub mod view;

use {
    crate::{
        limit::permit,
        quarantine::{Refused, Subject},
    },
    compact_str::CompactString,
    log::debug,
    sardinerelay::id::{Build, Incarnation, Service, Target, Zone},
    serde::{Deserialize, Deserializer, Serialize},
    std::{
        collections::{BTreeMap, HashMap},
        net::{Ipv4Addr, SocketAddr},
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
    tokio::sync::watch,
};

/// One incarnation of a target, as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    pub target: Target,
    /// When it started, in milliseconds since 1970. A target may start again under the same name.
    pub incarnation: Incarnation,
    pub service: Service,
    /// Address on which it listens.
    pub address: SocketAddr,
    pub zone: Zone,
    /// Requests that it processes at the same time. A new generation only goes to an engine with
    /// fewer active requests.
    pub slots: u32,
    /// Whether the platform lists it as about to stop.
    pub leaving: bool,
    /// Milliseconds for which it is still slow after its start.
    pub cold_ms: u64,
    /// Version of its software, empty if the platform doesn't list it. [`Builds`] carries it in
    /// messages, because hosts of earlier versions can't parse a longer entry.
    #[serde(skip)]
    pub build: Build,
}

/// The builds of a list of instances: the positions of those that run each build. Instances that it
/// doesn't mention have an unknown build.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Builds(BTreeMap<Build, Vec<u32>>);

impl Builds {
    /// Collects the builds of these instances.
    pub fn of(instances: &[Instance]) -> Self {
        let mut positions: BTreeMap<Build, Vec<u32>> = BTreeMap::new();
        for (position, instance) in instances.iter().enumerate() {
            let build = positions.entry(instance.build.clone());
            build.or_default().push(position as u32);
        }
        Self(positions)
    }

    /// Sets the builds of the instances that these were collected of.
    pub fn assign(&self, instances: &mut [Instance]) {
        for (build, positions) in &self.0 {
            for position in positions {
                if let Some(instance) = instances.get_mut(*position as usize) {
                    instance.build = build.clone();
                }
            }
        }
    }
}

/// What a target reports of its own load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Tokens of memory in use that can't be evicted.
    pub used: u64,
    /// Tokens of memory in total; 0 if the target doesn't report it.
    pub total: u64,
    /// Number of requests that the target runs, from all hosts.
    pub running: u32,
    /// Number of requests that wait at the target. An engine with several counts as full.
    pub waiting: u32,
    /// Whether the target itself reports that it is about to stop.
    pub leaving: bool,
}

/// A target's load with the age of the report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    pub target: Target,
    /// Incarnation that reported. The report is ignored if another one is listed.
    pub incarnation: Incarnation,
    pub load: Load,
    /// Milliseconds since the report was read.
    pub age_ms: u64,
    /// Milliseconds since the target began to close the connection after each response, if it does.
    pub closing_ms: Option<u64>,
}

/// What load reports show of a target, for followers that ask for no load reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Liveness {
    pub target: Target,
    pub incarnation: Incarnation,
    /// Milliseconds since it began to close its connections; none if it doesn't.
    pub closing_ms: Option<u64>,
    /// Whether its load reports have stopped while those of others arrive.
    pub is_silent: bool,
}

/// All that one host has observed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observations {
    /// Number that grows with each change of the observations; 0 before the first one.
    pub stamp: u64,
    /// The platform's list of targets, all pages together.
    pub instances: Vec<Instance>,
    /// Milliseconds since the list was read.
    pub list_age_ms: u64,
    /// The newest load report of each target.
    pub loads: Vec<LoadReport>,
    /// Stamp of the last observations that differed from the ones before in more than loads.
    #[serde(skip)]
    pub changed_stamp: u64,
    /// Number of entry hosts that follow this host or did so recently.
    #[serde(rename = "entries")]
    pub entry_hosts: u32,
    /// Parts of prompts that make engines crash, as the allocating host knows them.
    #[serde(rename = "refused")]
    pub refused_parts: Vec<Refused>,
    /// Rate limits that targets state, and those that have ended recently. Hosts of earlier versions
    /// don't send them.
    #[serde(deserialize_with = "or_default")]
    pub limits: Vec<permit::Published>,
    /// Requests that make targets crash, as the allocating host knows them.
    #[serde(deserialize_with = "or_default")]
    pub refused_requests: Vec<Refused>,
    /// Requests that may make targets crash. Hosts report if one of them is answered.
    #[serde(deserialize_with = "or_default")]
    pub suspect_requests: Vec<Subject>,
    /// The builds of the instances.
    #[serde(deserialize_with = "or_default")]
    pub builds: Builds,
    /// Addresses of the hosts among which the targets are divided whose load reports are read. Empty if one
    /// host reads all.
    #[serde(deserialize_with = "or_default")]
    pub readers: Vec<Ipv4Addr>,
    /// What load reports show of the targets of which they show anything. None unless the observations
    /// were received as updates; then the load reports themselves say it.
    #[serde(skip)]
    pub liveness: Option<Vec<Liveness>>,
    /// When the ages were last brought up to date; `None` after they were received.
    #[serde(skip)]
    pub ages_updated: Option<Instant>,
    /// When the host that received these had asked for them; `None` at the host that made them. The
    /// message may have waited since then, so ages are certain only against this time.
    #[serde(skip)]
    pub asked: Option<Instant>,
}

/// Channel with the newest observations of this host.
pub type ObservationsSender = Arc<watch::Sender<Arc<Observations>>>;

/// A follower gets one of this many updates if only loads have changed. The allocating host
/// uses its own observations, and others need loads only while they allocate for themselves.
const LOAD_UPDATE_STRIDE: u64 = 3;

impl Observations {
    /// Whether a follower that has the observations with this stamp should get these. A stamp that
    /// isn't one of the last few is taken to be from another host or an earlier run.
    pub fn is_due(&self, follower_stamp: u64) -> bool {
        let is_recent =
            follower_stamp <= self.stamp && follower_stamp + LOAD_UPDATE_STRIDE > self.stamp;
        self.stamp != 0 && (!is_recent || self.changed_stamp > follower_stamp)
    }

    /// Whether other targets are listed, leaving or limited, or other parts refused, than in
    /// `previous`.
    pub fn differs_beyond_loads(&self, previous: &Self) -> bool {
        let listed = |observations: &Self| -> Vec<_> {
            let instances = observations.instances.iter();
            let key = |instance: &Instance| {
                (
                    instance.target.clone(),
                    instance.incarnation,
                    instance.leaving,
                )
            };
            instances.map(key).collect()
        };
        let leaving = |observations: &Self| -> Vec<Target> {
            let loads = observations.loads.iter();
            let is_leaving =
                |report: &&LoadReport| report.load.leaving || report.closing_ms.is_some();
            let mut leaving: Vec<_> = loads
                .filter(is_leaving)
                .map(|report| report.target.clone())
                .collect();
            leaving.sort_unstable();
            leaving
        };
        let refused = |observations: &Self| -> Vec<Subject> {
            let parts = observations.refused_parts.iter();
            let refused = parts.chain(&observations.refused_requests);
            refused.map(|part| part.id).collect()
        };
        let limits = |observations: &Self| -> Vec<permit::Known> {
            let limits = observations.limits.iter();
            limits.map(|limit| limit.known.clone()).collect()
        };
        limits(self) != limits(previous)
            || listed(self) != listed(previous)
            || leaving(self) != leaving(previous)
            || refused(self) != refused(previous)
            || self.suspect_requests != previous.suspect_requests
    }

    /// Returns these observations with the stamps that follow those of `previous`, which the same host
    /// published before.
    pub fn succeeding(mut self, previous: &Self) -> Self {
        self.stamp = match previous.stamp {
            0 => u64::from(rand::random::<u32>()) + 1,
            stamp => stamp + 1,
        };
        self.changed_stamp = match self.differs_beyond_loads(previous) {
            true => self.stamp,
            false => previous.changed_stamp,
        };
        self
    }

    /// Returns the observations with their ages as of now.
    pub fn with_current_ages(&self) -> Self {
        let mut current = self.clone();
        let elapsed = self
            .ages_updated
            .map_or(Duration::ZERO, |updated| updated.elapsed());
        let elapsed_ms = elapsed.as_millis() as u64;
        current.list_age_ms += elapsed_ms;
        for report in &mut current.loads {
            report.age_ms += elapsed_ms;
            if let Some(closing) = &mut report.closing_ms {
                *closing += elapsed_ms;
            }
        }
        for shown in current.liveness.iter_mut().flatten() {
            if let Some(closing) = &mut shown.closing_ms {
                *closing += elapsed_ms;
            }
        }
        for limit in &mut current.limits {
            limit.age += elapsed;
        }
        current.ages_updated = None;
        current
    }
}

/// Deserializes a field at the end of a message, which is missing in messages of earlier versions.
pub(crate) fn or_default<'de, Field, Source>(source: Source) -> Result<Field, Source::Error>
where
    Field: Deserialize<'de> + Default,
    Source: Deserializer<'de>,
{
    Field::deserialize(source).or_else(|error| {
        debug!("a host of an earlier version sends a message with fewer fields: {error}");
        Ok(Field::default())
    })
}

/// Time without a request after which an entry host no longer counts as a follower.
const FOLLOWER_TIMEOUT: Duration = Duration::from_secs(15);

/// The entry hosts that follow this host, and when each last requested the configuration.
#[derive(Debug, Default)]
pub struct Followers {
    last_requests: Mutex<HashMap<CompactString, Instant>>,
}

impl Followers {
    /// Records that an entry host has requested the configuration.
    pub fn record(&self, host: &CompactString) {
        let mut last_requests = self
            .last_requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last_requests.insert(host.clone(), Instant::now());
    }

    /// Returns the number of entry hosts that have followed within `FOLLOWER_TIMEOUT`.
    pub fn count(&self) -> u32 {
        let mut last_requests = self
            .last_requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last_requests.retain(|_, at| at.elapsed() < FOLLOWER_TIMEOUT);
        last_requests.len() as u32
    }
}
