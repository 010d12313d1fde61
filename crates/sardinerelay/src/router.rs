//! Router: selects the target of a request by forecast memory, load and prefix affinity.
//!
//! Load reports lag. A target's load is therefore its last report, corrected by this host's own
//! dispatches and finishes since then, plus an estimate of other hosts' unreported dispatches. Of
//! two random feasible targets the less loaded one is chosen, which keeps hosts with the same
//! stale reports from all choosing the same target. See `docs/design/admission.md`.

mod affinity;
mod growth;
mod latency;
mod target;

pub use {
    affinity::{CacheChange, CacheEvent, Prefix},
    growth::{Curve, HORIZON_COUNT, HORIZON_TOKENS},
    target::Description,
};

use {
    crate::{
        fleet::Fleet,
        id::{Generation, Model, Target, Zone},
    },
    growth::{CurveSum, Profile},
    latency::Medians,
    rand::{
        Rng,
        seq::{SliceRandom, index},
    },
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    target::{Constraints, State},
};

/// Load by which a target that holds the whole prompt in its prefix cache may exceed another one
/// and still be preferred.
const AFFINITY_LOAD_BONUS: f64 = 0.15;
/// Share of a target's memory that only requests of priority 0 may use.
const PRIORITY_HEADROOM_SHARE: f64 = 0.04;
/// Maximum number of sequences that wait in an engine that still gets requests of priority 0. An
/// engine gets requests of other priorities only while no sequence waits, because a preempted
/// sequence needs the next memory that is freed.
const MAX_ENGINE_WAITING: usize = 2;
/// Maximum number of targets of a model that are sampled for one request.
const MAX_SAMPLED_TARGETS: usize = 96;
/// Maximum number of targets of this host's zone, and of other zones, whose free memory is computed
/// for one request.
const MAX_EXAMINED_TARGETS: usize = 32;

/// A target's report of its own load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Memory in use, in tokens.
    pub used_tokens: u64,
    /// Number of running sequences.
    pub running: usize,
    /// Number of sequences that wait in the engine.
    pub waiting: usize,
    /// Number of preemptions since the target started.
    pub preemptions: u64,
    /// Age of the report on arrival.
    pub age: Duration,
}

/// What happened on a target between two load reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReportDelta {
    /// Number of preemptions since the previous report; 0 for the first one.
    pub preemptions: u64,
    /// Time that sequences ran, summed over sequences.
    pub running_time: Duration,
}

/// What the router has to know about a request.
#[derive(Debug, Clone)]
pub struct Request {
    /// The model name as the caller sent it.
    pub model: Model,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt and of the chosen quantile of the output length.
    pub reserved_tokens: u64,
    /// Forecast of the request's memory over time.
    pub curve: Curve,
    /// Priority; 0 comes first.
    pub priority: u8,
    /// Hashes of the prompt's prefixes at block boundaries, from short to long. May be empty.
    pub prefixes: Vec<Prefix>,
}

/// The selected target of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Pick {
    /// The target's name.
    pub target: Target,
    /// The request's [`Request::reserved_tokens`].
    pub reserved_tokens: u64,
    /// Whether the target is in another availability zone.
    pub spilled: bool,
    /// Share of the prompt's blocks that the target's prefix cache probably holds.
    pub overlap: f64,
}

/// Why no target was selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// No target runs the model, or all of them have left.
    #[error("no eligible target runs the model")]
    NoTarget,
    /// Every target is full, slow or ejected at the moment; the request may wait.
    #[error("all targets are full")]
    Full,
    /// The prompt exceeds the memory of every target.
    #[error("the prompt is larger than the memory of any target")]
    TooLarge,
}

/// The state of all targets, and this host's streams on them.
#[derive(Debug)]
pub struct Router {
    zone: Zone,
    /// Number of live entry hosts, at least 1.
    hosts: f64,
    /// Standard deviations of the forecast that are kept free on each target.
    margin: f64,
    targets: Vec<State>,
    /// Indexes into `targets`.
    by_name: HashMap<Target, usize>,
    /// Indexes of the targets that run a model, ascending.
    by_model: HashMap<Model, Vec<usize>>,
    /// Index of the target that serves a stream.
    streams: HashMap<Generation, usize>,
    profile: Profile,
}

impl Router {
    /// Creates a router without targets for a host in `zone`, which is one of `hosts` entry hosts.
    pub fn new(zone: Zone, hosts: usize) -> Self {
        Self {
            zone,
            hosts: hosts.max(1) as f64,
            margin: 1.0,
            targets: Vec::new(),
            by_name: HashMap::new(),
            by_model: HashMap::new(),
            streams: HashMap::new(),
            profile: Profile::default(),
        }
    }

    /// Sets the number of live entry hosts, including this one.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts.max(1) as f64;
    }

    /// Sets how many standard deviations of the forecast are kept free on each target.
    pub fn set_margin(&mut self, margin: f64) {
        self.margin = margin;
    }

    /// Adds a target or replaces its description.
    pub fn upsert_target(&mut self, description: Description, now: Instant) {
        let known = self.by_name.get(&description.name).copied();
        let index = known.unwrap_or(self.targets.len());
        for indexes in self.by_model.values_mut() {
            indexes.retain(|other| *other != index);
        }
        for model in &description.models {
            let indexes = self.by_model.entry(model.clone()).or_default();
            let insert_at = indexes.partition_point(|other| *other < index);
            indexes.insert(insert_at, index);
        }
        if known.is_some() {
            self.targets[index].description = description;
            return;
        }
        self.by_name.insert(description.name.clone(), index);
        self.targets.push(State::new(description, now));
    }

    /// Selects a target among those that are eligible in the fleet and that `allowed` accepts.
    /// Memory is reserved only by [`Router::record_dispatch`].
    pub fn pick<R, F>(
        &self,
        request: &Request,
        fleet: &Fleet,
        allowed: F,
        rng: &mut R,
        now: Instant,
    ) -> Result<Pick, Refusal>
    where
        R: Rng + ?Sized,
        F: Fn(&str) -> bool,
    {
        self.check_servable(request, fleet)?;
        let sampled = self.sample(&request.model, rng);
        let (local, remote): (Vec<usize>, Vec<usize>) = sampled
            .into_iter()
            .filter(|index| self.is_usable(*index, request, fleet))
            .filter(|index| allowed(&self.targets[*index].description.name))
            .partition(|index| self.targets[*index].description.zone == self.zone);
        let share = self.memory_share();
        let constraints = Constraints {
            share,
            margin: self.margin,
            headroom: if request.priority == 0 {
                0.0
            } else {
                PRIORITY_HEADROOM_SHARE
            },
        };
        self.choose(request, local, &constraints, rng, now)
            .or_else(|| self.choose(request, remote, &constraints, rng, now))
            .ok_or(Refusal::Full)
    }

    /// Returns an error if no eligible target could serve the request even when it is idle.
    pub fn check_servable(&self, request: &Request, fleet: &Fleet) -> Result<(), Refusal> {
        let indexes = self.by_model.get(&request.model).into_iter().flatten();
        if indexes
            .copied()
            .any(|index| self.is_usable(index, request, fleet))
        {
            return Ok(());
        }
        let eligible = |name: &Target| fleet.is_eligible(name);
        if self.targets_of_model(&request.model).any(eligible) {
            return Err(Refusal::TooLarge);
        }
        Err(Refusal::NoTarget)
    }

    /// Records that the request was dispatched to the target.
    pub fn record_dispatch(
        &mut self,
        generation: Generation,
        target: &str,
        request: &Request,
        now: Instant,
    ) {
        let Some(&index) = self.by_name.get(target) else {
            return;
        };
        self.streams.insert(generation, index);
        self.targets[index].record_dispatch(generation, request.prompt_tokens, request.curve, now);
    }

    /// Records the first token of a stream.
    pub fn record_first_token(&mut self, generation: Generation, now: Instant) {
        let Some(state) = self.serving_state(generation) else {
            return;
        };
        if let Some(stream) = state.streams.get_mut(&generation) {
            stream.started = true;
            let took = now.saturating_duration_since(stream.dispatched_at);
            state.latency.record_first_token(took);
        }
    }

    /// Records the progress of a stream. `gap` is the average time between tokens since the last
    /// call, and `curve` the new forecast.
    pub fn record_progress(
        &mut self,
        generation: Generation,
        generated: u64,
        gap: Duration,
        curve: Curve,
    ) {
        let Some(state) = self.serving_state(generation) else {
            return;
        };
        state.latency.record_inter_token(gap);
        state.record_progress(generation, generated, curve);
    }

    /// Records that the target preempted a stream, which then holds no memory.
    pub fn record_preemption(&mut self, generation: Generation) {
        if let Some(state) = self.serving_state(generation)
            && let Some(stream) = state.streams.get_mut(&generation)
        {
            stream.preempted = true;
        }
    }

    /// Records the end of a stream, whatever its outcome.
    pub fn record_finish(&mut self, generation: Generation, now: Instant) {
        if let Some(index) = self.streams.remove(&generation) {
            self.targets[index].record_finish(generation, now);
        }
    }

    /// Applies a load report and returns what happened since the previous one.
    pub fn apply_report<R>(
        &mut self,
        target: &str,
        report: LoadReport,
        rng: &mut R,
        now: Instant,
    ) -> ReportDelta
    where
        R: Rng + ?Sized,
    {
        let Some(&index) = self.by_name.get(target) else {
            return ReportDelta::default();
        };
        self.targets[index].apply_report(report, rng.random(), now)
    }

    /// Applies an event of a target's prefix cache.
    pub fn apply_cache_event(&mut self, target: &str, event: CacheEvent, now: Instant) {
        if let Some(&index) = self.by_name.get(target) {
            self.targets[index].cache.apply(event, now);
        }
    }

    /// Discards the load report and cache content of an earlier incarnation of the target.
    pub fn reset_target(&mut self, target: &str) {
        if let Some(&index) = self.by_name.get(target) {
            self.targets[index].cache.reset();
            self.targets[index].report = None;
        }
    }

    /// Does the periodic work: updates the profile of the average stream, detects slow targets and
    /// expires cache entries.
    pub fn tick(&mut self, now: Instant) {
        let mut own = CurveSum::default();
        for state in &self.targets {
            own.merge(state.own_forecast());
        }
        self.profile.update(&own);
        let medians = Medians::of(self.targets.iter().map(|state| &state.latency));
        for state in &mut self.targets {
            state.latency.detect_slow(&medians, now);
            state.cache.expire(now);
        }
    }

    /// Returns the target that serves a stream.
    pub fn target_of(&self, generation: Generation) -> Option<&Target> {
        let index = self.streams.get(&generation)?;
        Some(&self.targets[*index].description.name)
    }

    /// Returns the number of this host's requests in flight on the target.
    pub fn own_in_flight(&self, target: &str) -> usize {
        self.by_name
            .get(target)
            .map_or(0, |index| self.targets[*index].streams.len())
    }

    /// Returns the targets that run the model, in the order in which they were added.
    pub fn targets_of_model<'a>(&'a self, model: &'a Model) -> impl Iterator<Item = &'a Target> {
        let indexes = self.by_model.get(model).into_iter().flatten();
        indexes.map(|index| &self.targets[*index].description.name)
    }

    /// Whether the target is marked as slow at `now`.
    pub fn is_slow(&self, target: &str, now: Instant) -> bool {
        self.by_name
            .get(target)
            .is_some_and(|index| self.targets[*index].latency.is_slow(now))
    }

    /// Returns the state of the target that serves the stream.
    fn serving_state(&mut self, generation: Generation) -> Option<&mut State> {
        let index = *self.streams.get(&generation)?;
        Some(&mut self.targets[index])
    }

    /// Returns the targets that run the model, or a random sample if there are many, which bounds
    /// the duration of a call.
    fn sample<R>(&self, model: &Model, rng: &mut R) -> Vec<usize>
    where
        R: Rng + ?Sized,
    {
        let indexes = self.by_model.get(model).map_or(&[][..], Vec::as_slice);
        if indexes.len() <= MAX_SAMPLED_TARGETS {
            return indexes.to_vec();
        }
        index::sample(rng, indexes.len(), MAX_SAMPLED_TARGETS)
            .into_iter()
            .map(|index| indexes[index])
            .collect()
    }

    /// Whether the target is eligible and its memory, when it is idle, can hold the prompt.
    fn is_usable(&self, index: usize, request: &Request, fleet: &Fleet) -> bool {
        let description = &self.targets[index].description;
        let fits =
            description.memory_tokens == 0 || request.prompt_tokens < description.memory_tokens;
        fits && fleet.is_eligible(&description.name)
    }

    /// Returns this host's share of the free memory. Half of the memory is divided equally among
    /// hosts and half by streams in flight, so that a host that gets more requests than others
    /// from the load balancer isn't starved.
    fn memory_share(&self) -> f64 {
        let all: f64 = self.targets.iter().map(State::in_flight).sum();
        let own = self.streams.len() as f64;
        0.5 / self.hosts + 0.5 * (own + 1.0) / (all + self.hosts)
    }

    /// Chooses the candidate with the lowest load after the bonus for its cached prefix.
    fn choose<R>(
        &self,
        request: &Request,
        mut candidates: Vec<usize>,
        constraints: &Constraints,
        rng: &mut R,
        now: Instant,
    ) -> Option<Pick>
    where
        R: Rng + ?Sized,
    {
        // The target with the longest cached prefix competes with two random ones.
        let matched = self.best_overlap(request, &candidates, now);
        candidates.shuffle(rng);
        if let Some(index) = matched {
            candidates.retain(|candidate| *candidate != index);
            candidates.insert(0, index);
        }
        let max_compared = if matched.is_some() { 3 } else { 2 };
        let mut best: Option<(f64, usize, f64)> = None;
        let feasible = candidates
            .into_iter()
            .take(MAX_EXAMINED_TARGETS)
            .filter_map(|index| {
                let load = self.load_if_feasible(index, request, constraints, now)?;
                Some((index, load))
            })
            .take(max_compared);
        for (index, load) in feasible {
            let overlap = self.targets[index].cache.overlap(&request.prefixes, now);
            let score = load - AFFINITY_LOAD_BONUS * overlap;
            if best.is_none_or(|(least, ..)| score < least) {
                best = Some((score, index, overlap));
            }
        }
        best.map(|(_, index, overlap)| Pick {
            target: self.targets[index].description.name.clone(),
            reserved_tokens: request.reserved_tokens,
            spilled: self.targets[index].description.zone != self.zone,
            overlap,
        })
    }

    /// Returns the candidate whose prefix cache holds most of the prompt, if any holds some.
    fn best_overlap(&self, request: &Request, candidates: &[usize], now: Instant) -> Option<usize> {
        if request.prefixes.is_empty() {
            return None;
        }
        candidates
            .iter()
            .map(|index| {
                (
                    self.targets[*index].cache.overlap(&request.prefixes, now),
                    *index,
                )
            })
            .filter(|(overlap, _)| *overlap > 0.0)
            .max_by(|left, right| left.0.total_cmp(&right.0))
            .map(|(_, index)| index)
    }

    /// Returns the target's load if the request fits there.
    fn load_if_feasible(
        &self,
        index: usize,
        request: &Request,
        constraints: &Constraints,
        now: Instant,
    ) -> Option<f64> {
        let state = &self.targets[index];
        let waiting = state.report.map_or(0, |report| report.waiting);
        let max_waiting = if request.priority == 0 {
            MAX_ENGINE_WAITING
        } else {
            0
        };
        if state.latency.is_slow(now) || waiting > max_waiting {
            return None;
        }
        let free_memory = state.free_memory(&self.profile, now, constraints);
        // An idle target takes any request, however large its forecast.
        if state.in_flight() < 1.0 || free_memory.fits(&request.curve) {
            return Some(free_memory.load);
        }
        None
    }
}
