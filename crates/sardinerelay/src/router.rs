//! Choice of the target for a request.
//!
//! Load reports lag, so each target's load is its last report corrected by the host's own
//! dispatches and finishes since then, plus an estimate of what other hosts dispatched unseen.
//! Of two random feasible targets the less loaded one is chosen, which keeps hosts with the same
//! stale view from choosing the same target. See `docs/design/admission.md`.

mod affinity;
mod growth;
mod pace;
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
    growth::{Profile, Sum},
    pace::Medians,
    rand::{
        Rng,
        seq::{SliceRandom, index},
    },
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    target::{State, View},
};

/// Load by which a target with the whole prefix in its cache may exceed the alternative.
const AFFINITY_LOAD: f64 = 0.15;
/// Share of memory that only the first priority may use.
const HEADROOM: f64 = 0.04;
/// Waiting sequences beyond which an engine counts as full for the first priority. For all others
/// it is full if any sequence waits, because a preempted one needs the next memory that is freed.
const FULL_WAITING: usize = 2;
/// Targets of a model that are considered for one request.
const MAX_SAMPLED: usize = 96;
/// Targets examined for one request.
const MAX_EXAMINED: usize = 32;

/// A target's report of its own load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Tokens of memory in use.
    pub used_tokens: u64,
    /// Running sequences.
    pub running: usize,
    /// Waiting sequences.
    pub waiting: usize,
    /// Preemptions since the target started.
    pub preemptions: u64,
    /// Age of the report on arrival.
    pub age: Duration,
}

/// What happened on a target between two reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReportDelta {
    /// Preemptions.
    pub preemptions: u64,
    /// Time that sequences ran, summed over sequences.
    pub running_time: Duration,
}

/// What has to be known of a request to place it.
#[derive(Debug, Clone)]
pub struct Request {
    /// The model asked for.
    pub model: Model,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Prompt and the chosen quantile of the output length.
    pub reserved_tokens: u64,
    /// Expected memory over time.
    pub curve: Curve,
    /// Priority; 0 comes first.
    pub priority: u8,
    /// Hashes of the prompt's blocks, from short to long. May be empty.
    pub prefixes: Vec<Prefix>,
}

/// A chosen target.
#[derive(Debug, Clone, PartialEq)]
pub struct Pick {
    /// The target.
    pub target: Target,
    /// Reserved tokens of memory.
    pub reserved_tokens: u64,
    /// Whether the target is in another availability zone.
    pub spilled: bool,
    /// Share of the prompt's blocks that the target's cache probably holds.
    pub overlap: f64,
}

/// Why no target was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// No target runs the model, or all of them have left or were ejected.
    #[error("no eligible target runs the model")]
    NoTarget,
    /// All targets are full; the request may wait.
    #[error("all targets are full")]
    Full,
    /// The prompt exceeds the memory of each target.
    #[error("the prompt is larger than the memory of any target")]
    TooLarge,
}

/// Targets and this host's streams on them.
#[derive(Debug)]
pub struct Router {
    zone: Zone,
    hosts: f64,
    margin: f64,
    targets: Vec<State>,
    names: HashMap<Target, usize>,
    /// Positions of the targets that run a model, ascending.
    models: HashMap<Model, Vec<usize>>,
    streams: HashMap<Generation, usize>,
    profile: Profile,
}

impl Router {
    /// A router without targets, for a host in `zone` that is one of `hosts`.
    pub fn new(zone: Zone, hosts: usize) -> Self {
        Self {
            zone,
            hosts: hosts.max(1) as f64,
            margin: 1.0,
            targets: Vec::new(),
            names: HashMap::new(),
            models: HashMap::new(),
            streams: HashMap::new(),
            profile: Profile::default(),
        }
    }

    /// Sets the number of live hosts, this one included.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts.max(1) as f64;
    }

    /// Sets how many standard deviations of the forecast are kept free.
    pub fn set_margin(&mut self, margin: f64) {
        self.margin = margin;
    }

    /// Adds a target or replaces its description.
    pub fn upsert_target(&mut self, about: Description, now: Instant) {
        let known = self.names.get(&about.name).copied();
        let at = known.unwrap_or(self.targets.len());
        for positions in self.models.values_mut() {
            positions.retain(|position| *position != at);
        }
        for model in &about.models {
            let positions = self.models.entry(model.clone()).or_default();
            let place = positions.partition_point(|position| *position < at);
            positions.insert(place, at);
        }
        if known.is_some() {
            self.targets[at].about = about;
            return;
        }
        self.names.insert(about.name.clone(), at);
        self.targets.push(State::new(about, now));
    }

    /// Chooses a target among those that the fleet and `allowed` let through. Nothing is reserved
    /// until [`Router::record_dispatch`].
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
        let (near, far): (Vec<usize>, Vec<usize>) = sampled
            .into_iter()
            .filter(|at| self.usable(*at, request, fleet))
            .filter(|at| allowed(&self.targets[*at].about.name))
            .partition(|at| self.targets[*at].about.zone == self.zone);
        let share = self.share();
        let view = View {
            share,
            margin: self.margin,
            headroom: if request.priority == 0 { 0.0 } else { HEADROOM },
        };
        self.choose(request, near, &view, rng, now)
            .or_else(|| self.choose(request, far, &view, rng, now))
            .ok_or(Refusal::Full)
    }

    /// Whether any eligible target can serve the request once it has room.
    pub fn check_servable(&self, request: &Request, fleet: &Fleet) -> Result<(), Refusal> {
        let positions = self.models.get(&request.model).into_iter().flatten();
        if positions.copied().any(|at| self.usable(at, request, fleet)) {
            return Ok(());
        }
        let eligible = |name: &Target| fleet.is_eligible(name);
        if self.targets_of_model(&request.model).any(eligible) {
            return Err(Refusal::TooLarge);
        }
        Err(Refusal::NoTarget)
    }

    /// Records that the request was handed to the target.
    pub fn record_dispatch(
        &mut self,
        generation: Generation,
        target: &str,
        request: &Request,
        now: Instant,
    ) {
        let Some(&at) = self.names.get(target) else {
            return;
        };
        self.streams.insert(generation, at);
        self.targets[at].dispatched(generation, request.prompt_tokens, request.curve, now);
    }

    /// Records the first token.
    pub fn record_first_token(&mut self, generation: Generation, now: Instant) {
        let Some(state) = self.state(generation) else {
            return;
        };
        if let Some(stream) = state.streams.get_mut(&generation) {
            stream.started = true;
            let took = now.saturating_duration_since(stream.dispatched);
            state.pace.first_token(took);
        }
    }

    /// Records progress: `gap` is the average time between tokens since the last call.
    pub fn record_progress(
        &mut self,
        generation: Generation,
        generated: u64,
        gap: Duration,
        curve: Curve,
    ) {
        let Some(state) = self.state(generation) else {
            return;
        };
        state.pace.between(gap);
        state.progressed(generation, generated, curve);
    }

    /// Records that the target took a stream's memory away.
    pub fn record_preemption(&mut self, generation: Generation) {
        if let Some(state) = self.state(generation)
            && let Some(stream) = state.streams.get_mut(&generation)
        {
            stream.preempted = true;
        }
    }

    /// Records the end of a stream, for whatever reason.
    pub fn record_finish(&mut self, generation: Generation, now: Instant) {
        if let Some(at) = self.streams.remove(&generation) {
            self.targets[at].finished(generation, now);
        }
    }

    /// Takes over a load report and returns what happened since the previous one.
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
        let Some(&at) = self.names.get(target) else {
            return ReportDelta::default();
        };
        self.targets[at].reported(report, rng.random(), now)
    }

    /// Takes over a cache event.
    pub fn apply_cache_event(&mut self, target: &str, event: CacheEvent, now: Instant) {
        if let Some(&at) = self.names.get(target) {
            self.targets[at].cache.apply(event, now);
        }
    }

    /// Forgets what was learned about an earlier incarnation of the target.
    pub fn reset_target(&mut self, target: &str) {
        if let Some(&at) = self.names.get(target) {
            self.targets[at].cache.reset();
            self.targets[at].report = None;
        }
    }

    /// Does the periodic work: profile of the average stream, slow targets, expiry.
    pub fn tick(&mut self, now: Instant) {
        let mut own = Sum::default();
        for state in &self.targets {
            own.merge(state.own());
        }
        self.profile.learn(&own);
        let medians = Medians::of(self.targets.iter().map(|state| &state.pace));
        for state in &mut self.targets {
            state.pace.judge(&medians, now);
            state.cache.expire(now);
        }
    }

    /// The target that serves a stream.
    pub fn target_of(&self, generation: Generation) -> Option<&Target> {
        let at = self.streams.get(&generation)?;
        Some(&self.targets[*at].about.name)
    }

    /// Requests of this host in flight on the target.
    pub fn own_in_flight(&self, target: &str) -> usize {
        self.names
            .get(target)
            .map_or(0, |at| self.targets[*at].streams.len())
    }

    /// Targets that run the model, in the order of their description.
    pub fn targets_of_model<'a>(&'a self, model: &'a Model) -> impl Iterator<Item = &'a Target> {
        let positions = self.models.get(model).into_iter().flatten();
        positions.map(|at| &self.targets[*at].about.name)
    }

    /// Whether the target is marked as slow.
    pub fn is_slow(&self, target: &str, now: Instant) -> bool {
        self.names
            .get(target)
            .is_some_and(|at| self.targets[*at].pace.slow(now))
    }

    fn state(&mut self, generation: Generation) -> Option<&mut State> {
        let at = *self.streams.get(&generation)?;
        Some(&mut self.targets[at])
    }

    /// Targets that run the model: all, or a random part if there are many, which bounds the
    /// duration of a call.
    fn sample<R>(&self, model: &Model, rng: &mut R) -> Vec<usize>
    where
        R: Rng + ?Sized,
    {
        let positions = self.models.get(model).map_or(&[][..], Vec::as_slice);
        if positions.len() <= MAX_SAMPLED {
            return positions.to_vec();
        }
        index::sample(rng, positions.len(), MAX_SAMPLED)
            .into_iter()
            .map(|at| positions[at])
            .collect()
    }

    /// Whether the target is eligible and can hold the prompt.
    fn usable(&self, at: usize, request: &Request, fleet: &Fleet) -> bool {
        let about = &self.targets[at].about;
        let fits = about.memory_tokens == 0 || request.prompt_tokens < about.memory_tokens;
        fits && fleet.is_eligible(&about.name)
    }

    /// This host's share of free memory: half equal among hosts, half by streams in flight, so
    /// that an uneven load balancer doesn't starve the busy host.
    fn share(&self) -> f64 {
        let all: f64 = self.targets.iter().map(State::in_flight).sum();
        let own = self.streams.len() as f64;
        0.5 / self.hosts + 0.5 * (own + 1.0) / (all + self.hosts)
    }

    fn choose<R>(
        &self,
        request: &Request,
        mut candidates: Vec<usize>,
        view: &View,
        rng: &mut R,
        now: Instant,
    ) -> Option<Pick>
    where
        R: Rng + ?Sized,
    {
        // With a prefix to look for, the best match competes with the two random choices.
        let matched = self.best_overlap(request, &candidates, now);
        candidates.shuffle(rng);
        if let Some(at) = matched {
            candidates.retain(|candidate| *candidate != at);
            candidates.insert(0, at);
        }
        let wanted = if matched.is_some() { 3 } else { 2 };
        let mut best: Option<(f64, usize, f64)> = None;
        let feasible = candidates
            .into_iter()
            .take(MAX_EXAMINED)
            .filter_map(|at| {
                let load = self.feasible(at, request, view, now)?;
                Some((at, load))
            })
            .take(wanted);
        for (at, load) in feasible {
            let overlap = self.targets[at].cache.overlap(&request.prefixes, now);
            let score = load - AFFINITY_LOAD * overlap;
            if best.is_none_or(|(least, ..)| score < least) {
                best = Some((score, at, overlap));
            }
        }
        best.map(|(_, at, overlap)| Pick {
            target: self.targets[at].about.name.clone(),
            reserved_tokens: request.reserved_tokens,
            spilled: self.targets[at].about.zone != self.zone,
            overlap,
        })
    }

    fn best_overlap(&self, request: &Request, candidates: &[usize], now: Instant) -> Option<usize> {
        if request.prefixes.is_empty() {
            return None;
        }
        candidates
            .iter()
            .map(|at| (self.targets[*at].cache.overlap(&request.prefixes, now), *at))
            .filter(|(overlap, _)| *overlap > 0.0)
            .max_by(|left, right| left.0.total_cmp(&right.0))
            .map(|(_, at)| at)
    }

    /// The target's load if the request fits there.
    fn feasible(&self, at: usize, request: &Request, view: &View, now: Instant) -> Option<f64> {
        let state = &self.targets[at];
        let waiting = state.report.map_or(0, |report| report.waiting);
        let most = if request.priority == 0 {
            FULL_WAITING
        } else {
            0
        };
        if state.pace.slow(now) || waiting > most {
            return None;
        }
        let room = state.room(&self.profile, now, view);
        // A target without any work takes any request, however large its forecast.
        if state.in_flight() < 1.0 || room.fits(&request.curve) {
            return Some(room.load);
        }
        None
    }
}
