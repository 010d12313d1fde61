//! Chooses the engine that runs a generation and the engine that keeps a copy of its memory.
//!
//! Engines have little memory, and some of them are reclaimed every few seconds. A generation is
//! placed where its whole expected length fits. A copy is made only after an engine has ended without
//! notice, and placed only where memory would otherwise stay free: otherwise copies take the links and
//! the memory that generations need to move. See `docs/design/migration.md`.

mod cold;
mod score;

pub use self::score::Terms;

use {
    crate::{
        allocator::Scope,
        call::{Part, PartId},
        homes::Homes,
        targets::{State, Targets},
    },
    rand::{Rng, seq::SliceRandom as _},
    sardinerelay::{
        estimate::choice::best_of,
        id::{Build, Organisation, Service, Target, Zone},
    },
    serde::{Deserialize, Serialize},
    std::{
        hash::{DefaultHasher, Hash as _, Hasher as _},
        time::{Duration, Instant},
    },
};

/// Share of an engine's memory that may be committed by estimate, for the highest priority and for
/// all others. It is above 1 because not all generations reach their full length at the same time,
/// and because the engine itself refuses a reservation that it has no room for.
const MAX_FILL: [f64; 2] = [1.4, 1.25];
/// Share of an engine's memory up to which it receives copies.
const MAX_COPY_FILL: f64 = 0.45;
/// Share of an engine's memory up to which generations are moved to it.
const MAX_MOVE_FILL: f64 = 1.25;
/// Tokens by which each running generation of another host is expected to grow.
const GROWTH_TOKENS: u64 = 350;
/// Load added to an engine in another availability zone than the caller. A partition between zones
/// interrupts the streams that cross it.
const OTHER_ZONE_LOAD: f64 = 0.15;
/// Load added on top of [`OTHER_ZONE_LOAD`] to an engine that keeps a copy. It is high so that the copy is in
/// the caller's zone if the engine is not: a partition between zones then leaves one of them
/// reachable.
const COPY_OTHER_ZONE_LOAD: f64 = 0.3;
/// Load added on top of [`OTHER_ZONE_LOAD`] to an engine that a generation moves to. Memory takes twice
/// as long between zones, and the link of an engine that stops has no time for that.
const MOVE_OTHER_ZONE_LOAD: f64 = 0.9;
/// Load added during the first seconds after a target's start, when it is still slow.
const COLD_START_LOAD: f64 = 0.25;
/// Load added to a target that fails all of its requests.
const FAILURE_LOAD: f64 = 3.0;
/// Load added to a second engine that has reached its rate limit. A running generation still goes
/// there if no other engine has room, because it would be lost otherwise.
const LIMIT_REACHED_LOAD: f64 = 10.0;
/// Number of engines compared by a host that doesn't see all placements. Load reports are older
/// than the time between two placements, so all such hosts would choose the engine that the reports
/// show as least loaded. The best of a few random engines is almost as good and spreads the choices
/// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001).
const SAMPLE_SIZE: usize = 4;
/// Load by which an engine that probably has the prompt's shared parts cached may exceed others, if
/// the whole prompt is shared. For other prompts it is proportional to the shared part.
const MAX_AFFINITY_LOAD: f64 = 0.3;
/// Smallest share of a prompt's tokens in shared parts for which engines that have read these parts
/// are preferred.
const MIN_SHARED_RATIO: f64 = 0.15;
/// Number of engines that are preferred for a prefix.
const PREFERRED_ENGINES: usize = 2;
/// An engine that needs longer than this to read its present prompts gets no further ones. It reads
/// prompts side by side, so one more delays all of them, while a request in the queue delays none.
const MAX_READ_WAIT: Duration = Duration::from_millis(500);
/// Number of plain targets compared. A host sees only its own calls there, so all hosts would choose the
/// target that was fastest in the last seconds.
const PLAIN_SAMPLE_SIZE: usize = 2;
/// A plain target whose expected delay exceeds the lowest one by this factor is chosen only if no other
/// is left, since it probably fails.
const MAX_DELAY_RATIO: f64 = 4.0;
/// Shortest time after which a refused caller is asked to retry.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Number of waiting requests from which an engine counts as full.
const FULL_QUEUE_LEN: u32 = 2;

/// What placing a generation depends on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Need {
    /// Service whose engines are considered.
    pub service: Service,
    /// The calling organisation; empty if the request has none.
    pub organisation: Organisation,
    /// Availability zone whose engines are preferred: that of the entry host or, for a move, of the
    /// engine that the generation leaves.
    pub zone: Zone,
    /// Memory of one engine, for engines that don't report theirs.
    #[serde(rename = "memory")]
    pub engine_memory_tokens: u64,
    /// Length of the prompt in tokens.
    #[serde(rename = "prompt")]
    pub prompt_tokens: u64,
    /// Length in tokens that the output probably doesn't exceed.
    #[serde(rename = "output")]
    pub output_tokens: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Length of those parts of the prompt that other requests share.
    #[serde(rename = "shared")]
    pub shared_tokens: u64,
    /// Whether another engine should keep a copy of its memory.
    #[serde(rename = "copy")]
    pub wants_copy: bool,
    /// IDs of those parts of the prompt that other requests share. Requests with the same ones prefer
    /// the same engines.
    #[serde(rename = "parts")]
    pub shared_parts: Vec<PartId>,
    /// The build that must run it, if it continues a stream. Messages carry it beside the need,
    /// because hosts of earlier versions can't parse a longer one.
    #[serde(skip)]
    pub build: Option<Build>,
    /// The regions in which it may run. Messages carry them beside the need too.
    #[serde(skip)]
    pub homes: Homes,
}

impl Need {
    /// Tokens of memory that it is expected to use at its end.
    pub fn total_tokens(&self) -> u64 {
        self.prompt_tokens + self.output_tokens
    }

    /// Whether a target of this build may run it.
    pub fn accepts(&self, build: &Build) -> bool {
        self.build.as_ref().is_none_or(|required| required == build)
    }
}

/// The engines chosen for a generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Engine that runs the generation.
    pub target: Target,
    /// Engine that keeps a copy of the generation's memory; `None` if no copy is wanted or no
    /// engine was found for it.
    pub copy: Option<Target>,
}

/// Returns the number of tokens in the shared parts of a prompt, and the IDs of those parts. The last
/// part is the request's own and never counts as shared.
pub fn shared_prefix(parts: &[Part]) -> (u64, Vec<PartId>) {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let tokens = shared.iter().map(|part| part.tokens).sum();
    (tokens, shared.iter().map(|part| part.id).collect())
}

/// Chooses the least loaded engine with room for a generation, other than those in `avoid`, and an
/// engine for its copy if one is wanted. Returns `None` if no engine has room.
pub fn choose<R>(
    targets: &Targets,
    need: &Need,
    (scope, avoid): (Scope, &[Target]),
    rng: &mut R,
    now: Instant,
) -> Option<Choice>
where
    R: Rng + ?Sized,
{
    let may_use = |state: &State| !avoid.contains(&state.instance.target);
    choose_among(targets, need, (scope, may_use), rng, now)
}

/// Like [`choose`], among the engines that `may_use` allows.
pub fn choose_among<R, MayUse>(
    targets: &Targets,
    need: &Need,
    (scope, may_use): (Scope, MayUse),
    rng: &mut R,
    now: Instant,
) -> Option<Choice>
where
    R: Rng + ?Sized,
    MayUse: Fn(&State) -> bool,
{
    let prefix = prefix_hash(&need.shared_parts);
    // A sample may have none of the required build.
    let candidates: Vec<&State> = match need.build {
        Some(_) => targets.usable(&need.service, now).collect(),
        None => targets.candidates(&need.service, Some(prefix), rng, now),
    };
    let candidates: Vec<&State> = candidates
        .into_iter()
        .filter(|state| may_use(state))
        .filter(|state| need.accepts(&state.instance.build))
        .filter(|state| targets.allow(&need.homes, state))
        .collect();
    let share = targets.limit_share(scope);
    let typical = targets.typical_rate(&need.service);
    let mut feasible: Vec<(Terms, &State)> = candidates
        .iter()
        .filter(|state| state.limit.has_permit(share, now))
        .filter(|state| targets.is_within_cold_bound(state, scope, now))
        .filter_map(|state| {
            let read_wait = state.backlog.estimated_wait(need.prompt_tokens, now);
            if state.backlog.estimated_wait(0, now) > MAX_READ_WAIT {
                return None;
            }
            let terms = Terms {
                memory: load_with(state, need, now)?,
                reading: score::reading(read_wait),
                finishing: score::finishing(state, need, &typical, now),
                ..Terms::of(state, &need.zone, now)
            };
            Some((terms, *state))
        })
        .collect();
    cold::set_cold_terms(&mut feasible, targets, need, now);
    feasible.shuffle(rng);
    let shared = need.shared_tokens as f64 / need.prompt_tokens.max(1) as f64;
    if shared >= MIN_SHARED_RATIO {
        prefer(
            &mut feasible,
            &preferred_engines(targets, &candidates, (&need.service, prefix)),
            shared,
        );
    }
    let best = feasible
        .iter()
        .take(sample_size(scope))
        .min_by(|left, right| left.0.total().total_cmp(&right.0.total()))?;
    let target = best.1.instance.target.clone();
    let copy = match need.wants_copy {
        true => {
            let constraints = (Secondary::Copy, scope, best.1, &[][..]);
            choose_secondary(targets, need, constraints, rng, now)
        }
        false => None,
    };
    Some(Choice { target, copy })
}

/// Purpose of a second engine for a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Secondary {
    /// It keeps a copy, which may use only memory that would otherwise stay free.
    Copy,
    /// The generation moves there.
    Move,
}

/// Chooses a second engine of the same build for a generation that runs on `primary`, other than those
/// in `avoid`. Returns `None` if none has room, or if it is for a copy and engines end only with notice.
pub fn choose_secondary<R>(
    targets: &Targets,
    need: &Need,
    (secondary, scope, primary, avoid): (Secondary, Scope, &State, &[Target]),
    rng: &mut R,
    now: Instant,
) -> Option<Target>
where
    R: Rng + ?Sized,
{
    if secondary == Secondary::Copy && !targets.ends_unannounced(&need.service, now) {
        return None;
    }
    let share = targets.limit_share(scope);
    let (max_fill, other_zone_load) = match secondary {
        Secondary::Copy => (MAX_COPY_FILL, COPY_OTHER_ZONE_LOAD),
        Secondary::Move => (MAX_MOVE_FILL, MOVE_OTHER_ZONE_LOAD),
    };
    let typical = targets.typical_rate(&need.service);
    let candidates = targets.candidates(&need.service, None, rng, now);
    let mut feasible: Vec<(Terms, &State)> = candidates
        .into_iter()
        .filter(|state| state.instance.target != primary.instance.target)
        .filter(|state| state.instance.build == primary.instance.build)
        .filter(|state| targets.allow(&need.homes, state))
        .filter(|state| match secondary {
            // A generation that continues from its copy can't wait until its engine has room.
            Secondary::Copy => !targets.is_paced(state, now),
            Secondary::Move => targets.is_within_cold_bound(state, scope, now),
        })
        .filter(|state| !avoid.contains(&state.instance.target))
        .filter_map(|state| {
            let load =
                committed_share(state, need, now) + memory_share(state, need, need.total_tokens());
            if state.is_full(now) || !fits_now(state, need, now) {
                return None;
            }
            let mut terms = Terms::of(state, &need.zone, now);
            terms.memory = load;
            terms.zone += f64::from(state.instance.zone != need.zone) * other_zone_load;
            terms.limit = f64::from(!state.limit.has_permit(share, now)) * LIMIT_REACHED_LOAD;
            if secondary == Secondary::Move {
                terms.finishing = score::finishing(state, need, &typical, now);
            }
            (load <= max_fill).then_some((terms, state))
        })
        .collect();
    feasible.shuffle(rng);
    let (same_zone, other_zone): (Vec<_>, Vec<_>) = feasible
        .into_iter()
        .partition(|(_, state)| state.instance.zone == need.zone);
    let sample = sample_size(scope);
    same_zone
        .into_iter()
        .take(sample)
        .chain(other_zone.into_iter().take(sample))
        .min_by(|left, right| left.0.total().total_cmp(&right.0.total()))
        .map(|(_, state)| state.instance.target.clone())
}

/// Returns the number of engines to compare.
fn sample_size(scope: Scope) -> usize {
    match scope {
        Scope::Group => usize::MAX,
        Scope::Local => SAMPLE_SIZE,
    }
}

/// Returns an engine's load with the generation added, or `None` if the generation doesn't fit. An
/// idle engine takes a generation of any length.
fn load_with(state: &State, need: &Need, now: Instant) -> Option<f64> {
    let waiting = state.fresh_load(now).map_or(0, |(load, _)| load.waiting);
    if state.is_full(now)
        || waiting >= FULL_QUEUE_LEN
        || state.active_requests(now) >= state.instance.slots as usize
    {
        return None;
    }
    let max_fill = MAX_FILL[usize::from(need.priority > 0)];
    let load = committed_share(state, need, now) + memory_share(state, need, need.total_tokens());
    let idle = state.active_requests(now) == 0;
    (load <= max_fill || idle).then_some(load)
}

/// Whether the engine probably has room for the prompt now, regardless of later growth.
fn fits_now(state: &State, need: &Need, now: Instant) -> bool {
    memory_share(state, need, state.used_tokens(now) + need.prompt_tokens) <= 1.0
}

/// Returns the tokens of an engine's memory that the most urgent generations can still use: what is
/// neither in use nor committed beyond the fill that is allowed for them.
pub fn free_tokens(state: &State, need: &Need, now: Instant) -> u64 {
    let memory = memory_tokens(state, need) as f64;
    let unused = memory - state.used_tokens(now) as f64;
    let uncommitted = memory * MAX_FILL[0] - state.committed_tokens(GROWTH_TOKENS, now) as f64;
    unused.min(uncommitted).max(0.0) as u64
}

/// Returns the share of an engine's memory that its present generations are expected to need.
fn committed_share(state: &State, need: &Need, now: Instant) -> f64 {
    memory_share(state, need, state.committed_tokens(GROWTH_TOKENS, now))
}

/// Converts tokens to a share of an engine's memory.
fn memory_share(state: &State, need: &Need, tokens: u64) -> f64 {
    tokens as f64 / memory_tokens(state, need).max(1) as f64
}

/// Returns the memory of an engine.
fn memory_tokens(state: &State, need: &Need) -> u64 {
    let reported = state.load.map(|(load, _)| load.total);
    let reported = reported.filter(|total| *total > 0);
    reported.unwrap_or(need.engine_memory_tokens)
}

/// Moves the engines that probably have a prefix cached to the front, so that they are part of
/// every sample, and lowers their load by what reading the prefix again would cost.
fn prefer(feasible: &mut [(Terms, &State)], preferred: &[Target], shared: f64) {
    for (position, target) in preferred.iter().enumerate() {
        let found = feasible
            .iter()
            .position(|(_, state)| state.instance.target == *target);
        if let Some(index) = found
            && position < feasible.len()
        {
            feasible[index].0.cached = -MAX_AFFINITY_LOAD * shared;
            feasible.swap(position, index);
        }
    }
}

/// Returns the hash of a prompt's shared parts.
fn prefix_hash(shared_parts: &[PartId]) -> u64 {
    let mut hasher = DefaultHasher::new();
    for part in shared_parts {
        part.hash(&mut hasher);
    }
    hasher.finish()
}

/// Returns the engines that should have a prefix cached. Rendezvous hashing lets all hosts agree on
/// them without communication (Thaler and Ravishankar, 1998). It hashes all engines, so it is used
/// only while all are candidates.
fn preferred_engines(
    targets: &Targets,
    candidates: &[&State],
    (service, prefix): (&str, u64),
) -> Vec<Target> {
    if targets.is_sampled(service) {
        let successors = targets.successors(service, prefix);
        let is_candidate = |target: &&Target| {
            candidates
                .iter()
                .any(|state| state.instance.target == **target)
        };
        let preferred = successors.filter(is_candidate).take(PREFERRED_ENGINES);
        return preferred.cloned().collect();
    }
    let mut ranked: Vec<(u64, &State)> = candidates
        .iter()
        .map(|state| {
            let mut hasher = DefaultHasher::new();
            (prefix, &state.instance.target, state.instance.incarnation).hash(&mut hasher);
            (hasher.finish(), *state)
        })
        .collect();
    ranked.sort_unstable_by_key(|(rank, _)| *rank);
    let ranked = ranked.into_iter().take(PREFERRED_ENGINES);
    ranked
        .map(|(_, state)| state.instance.target.clone())
        .collect()
}

/// Returns the usable targets of a plain service, other than those in `avoid`, best first: the one with
/// the lower expected delay of two random ones, then the others by their delay.
pub fn rank_plain<'a, R>(
    targets: &'a Targets,
    (service, zone, avoid): (&'a str, &Zone, &[Target]),
    rng: &mut R,
    now: Instant,
) -> Vec<&'a State>
where
    R: Rng + ?Sized,
{
    let typical = targets.typical_rate(service);
    let candidates = targets.candidates(service, None, rng, now).into_iter();
    let mut ranked: Vec<(f64, &State)> = candidates
        .filter(|state| !avoid.contains(&state.instance.target))
        .map(|state| (score::plain(state, zone, &typical, now), state))
        .collect();
    ranked.sort_by(|left, right| left.0.total_cmp(&right.0));
    let lowest = ranked.first().map_or(0.0, |(delay, _)| *delay);
    let comparable = ranked.partition_point(|(delay, _)| *delay <= MAX_DELAY_RATIO * lowest);
    let delay = |position: usize| ranked[position].0;
    if let Some(best) = best_of(PLAIN_SAMPLE_SIZE, comparable, delay, rng) {
        ranked[..=best].rotate_right(1);
    }
    ranked.into_iter().map(|(_, state)| state).collect()
}
