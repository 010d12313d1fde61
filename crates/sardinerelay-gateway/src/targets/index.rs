//! Indexes by which a decision finds what it needs without a walk over all targets.

use {
    super::{RunId, State, Targets},
    rand::{Rng, seq::index},
    sardinerelay::id::{Service, Target},
    std::{
        collections::{BTreeMap, HashMap},
        hash::{DefaultHasher, Hash, Hasher as _},
        time::Instant,
    },
};

/// Largest number of targets that one decision compares. Of more, a random sample fills what the preferred
/// and the least loaded targets leave. It misses the best 5 % of the targets in 7 of 100 decisions.
pub const MAX_CANDIDATES: usize = 64;
/// Number of targets of a service that are known as the least loaded by their reports.
const LEAST_LOADED: usize = 8;
/// Number of targets after the hash of a prefix that are candidates, of which not all may be usable.
const SUCCESSORS: usize = 4;
/// Number of indexed runs from which those without claims are looked for.
const MIN_PRUNED_RUNS: usize = 1_024;

/// Indexes of [`Targets`].
#[derive(Debug, Default)]
pub(super) struct Index {
    /// The targets at which a run has a claim or an unread prompt.
    runs: HashMap<RunId, Vec<Target>>,
    /// Number of runs at which the index is pruned next.
    prune_at: usize,
    /// The targets of each service, ordered by the hash of target and incarnation.
    rings: HashMap<Service, Vec<(u64, Target)>>,
    /// The least loaded targets of each service that has more than [`MAX_CANDIDATES`].
    least_loaded: HashMap<Service, Vec<Target>>,
    /// When the newest load report of any target was read.
    pub(super) newest_load: Option<Instant>,
}

impl Index {
    /// Records that a run has a claim or an unread prompt at a target.
    pub(super) fn add(&mut self, run: RunId, target: &str, states: &BTreeMap<Target, State>) {
        let targets = self.runs.entry(run).or_default();
        if !targets.iter().any(|known| known == target) {
            targets.push(target.into());
        }
        if self.runs.len() >= self.prune_at.max(MIN_PRUNED_RUNS) {
            // Claims expire without a call, and targets end with theirs.
            self.runs.retain(|run, targets| {
                targets.retain(|target| {
                    let state = states.get(target);
                    state.is_some_and(|state| state.has_run(*run))
                });
                !targets.is_empty()
            });
            self.prune_at = 2 * self.runs.len();
        }
    }

    /// Returns the targets of a run.
    pub(super) fn targets_of(&self, run: RunId) -> &[Target] {
        self.runs.get(&run).map_or(&[], Vec::as_slice)
    }

    /// Removes a run and returns its targets.
    pub(super) fn remove(&mut self, run: RunId) -> Vec<Target> {
        self.runs.remove(&run).unwrap_or_default()
    }

    /// Rebuilds what depends on the list of targets.
    pub(super) fn set_targets(&mut self, states: &BTreeMap<Target, State>) {
        self.rings.clear();
        for state in states.values() {
            let instance = &state.instance;
            let ring = self.rings.entry(instance.service.clone()).or_default();
            ring.push((
                hash((&instance.target, instance.incarnation)),
                instance.target.clone(),
            ));
        }
        self.rings
            .values_mut()
            .for_each(|ring| ring.sort_unstable());
    }

    /// Rebuilds what depends on load reports.
    pub(super) fn set_loads(&mut self, states: &BTreeMap<Target, State>) {
        self.newest_load = states
            .values()
            .filter_map(|state| state.load.map(|(_, read)| read))
            .max();
        self.least_loaded.clear();
        for (service, ring) in &self.rings {
            if ring.len() <= MAX_CANDIDATES {
                continue;
            }
            let used = |target: &Target| {
                let (load, _) = states.get(target)?.load?;
                (load.waiting == 0).then_some(load.used)
            };
            let mut loads: Vec<(u64, &Target)> = ring
                .iter()
                .filter_map(|(_, target)| Some((used(target)?, target)))
                .collect();
            if loads.len() > LEAST_LOADED {
                loads.select_nth_unstable(LEAST_LOADED);
                loads.truncate(LEAST_LOADED);
            }
            let least = loads.into_iter().map(|(_, target)| target.clone());
            self.least_loaded.insert(service.clone(), least.collect());
        }
    }

    /// Iterates over the targets of a service.
    pub(super) fn targets_of_service(&self, service: &str) -> impl Iterator<Item = &Target> {
        self.ring(service).iter().map(|(_, target)| target)
    }

    fn ring(&self, service: &str) -> &[(u64, Target)] {
        self.rings.get(service).map_or(&[], Vec::as_slice)
    }
}

impl Targets {
    /// Whether a decision compares only some of a service's targets.
    pub fn is_sampled(&self, service: &str) -> bool {
        self.index.ring(service).len() > MAX_CANDIDATES
    }

    /// Returns the targets of a service that may get work and that one decision compares: all up to
    /// [`MAX_CANDIDATES`]. Of more, those that are preferred for the prefix and the least loaded ones
    /// by their reports, and a random sample.
    pub fn candidates<R>(
        &self,
        service: &str,
        prefix: Option<u64>,
        rng: &mut R,
        now: Instant,
    ) -> Vec<&State>
    where
        R: Rng + ?Sized,
    {
        let ring = self.index.ring(service);
        let mut targets: Vec<&Target> = match self.is_sampled(service) {
            false => ring.iter().map(|(_, target)| target).collect(),
            true => {
                let size = MAX_CANDIDATES - LEAST_LOADED - SUCCESSORS;
                let sample = index::sample(rng, ring.len(), size).into_iter();
                let sample = sample.map(|position| &ring[position].1);
                let least_loaded = self.index.least_loaded.get(service);
                sample
                    .chain(least_loaded.into_iter().flatten())
                    .chain(
                        prefix
                            .into_iter()
                            .flat_map(|prefix| successors(ring, prefix)),
                    )
                    .collect()
            }
        };
        targets.sort_unstable();
        targets.dedup();
        let states = targets
            .into_iter()
            .filter_map(|target| self.states.get(target));
        states.filter(|state| self.is_usable(state, now)).collect()
    }

    /// Returns the targets of a service that follow the hash of a prefix, nearest first. Hosts agree
    /// on them, and a change of the list changes few (consistent hashing, Karger et al., 1997).
    pub fn successors<'a>(
        &'a self,
        service: &str,
        prefix: u64,
    ) -> impl Iterator<Item = &'a Target> + 'a {
        successors(self.index.ring(service), prefix)
    }
}

fn successors(ring: &[(u64, Target)], prefix: u64) -> impl Iterator<Item = &Target> {
    let first = ring.partition_point(|(hash, _)| *hash < prefix);
    let (before, after) = ring.split_at(first);
    let from_first = after.iter().chain(before);
    from_first.take(SUCCESSORS).map(|(_, target)| target)
}

fn hash<Key>(key: Key) -> u64
where
    Key: Hash,
{
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish()
}
