//! Which engine runs a generation, and which one keeps a copy of its memory.
//!
//! Load pattern that it answers: engines with little memory, of which a part is reclaimed every
//! few seconds. A generation goes where its whole expected length fits, and a copy goes where
//! memory would be free anyway, so that copies never displace work. See
//! `docs/design/platform.md`.

use {
    crate::{
        allocator::Scope,
        call::Part,
        targets::{State, Targets},
    },
    rand::{Rng, seq::SliceRandom as _},
    sardinerelay::id::{Organisation, Service, Target, Zone},
    serde::{Deserialize, Serialize},
    std::{
        hash::{DefaultHasher, Hash as _, Hasher as _},
        time::{Duration, Instant},
    },
};

/// Share of an engine's memory that may be committed by estimate, for the first priority and for
/// others. It is above 1 because not all generations reach their full length at the same time, and
/// because the engine itself refuses a reservation for which it has no room.
const FILL: [f64; 2] = [1.4, 1.25];
/// Share of an engine's memory up to which it takes copies.
const COPY_FILL: f64 = 0.45;
/// Share of an engine's memory up to which generations are moved to it.
const MOVE_FILL: f64 = 1.25;
/// Tokens by which a generation of another host is expected to grow.
const GROWTH: u64 = 350;
/// Load that another availability zone counts for.
const FAR: f64 = 0.04;
/// The same for copies. If the engine and the copy are in different zones and one of them in the
/// caller's, a partition between zones leaves one of them within reach.
const COPY_FAR: f64 = 0.3;
/// Load that the first seconds after a start count for.
const COLD: f64 = 0.25;
/// Load that a target counts for that fails all its requests.
const FAILING: f64 = 3.0;
/// Engines that are compared by a host that doesn't know all placements. Reports are older than the
/// time between two placements, so the least loaded engine by report is the one that all such
/// hosts would choose at once. The best of a few random ones is almost as good and spreads them
/// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001).
const SAMPLED: usize = 4;
/// Load by which an engine may exceed the others if it probably holds the prompt's shared parts,
/// for a prompt that is shared as a whole.
const AFFINITY: f64 = 0.3;
/// Share of a prompt's tokens in shared parts from which on engines are preferred that read them.
const LEAST_SHARED: f64 = 0.15;
/// Engines that are preferred for a prefix.
const PREFERRED: usize = 2;
/// Load that a second of waiting for the prompt to be read counts for.
const WAITING: f64 = 2.0;
/// Time that an engine may take to read the prompts that it has for it to get another one. It reads
/// them side by side, so one more delays them all; a request that waits outside delays none.
const MOST_READING: Duration = Duration::from_millis(500);
/// Random part of the load of plain targets, so that hosts with the same view differ.
const NOISE: f64 = 0.05;
/// When a caller should come back at the earliest.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Waiting requests at which an engine counts as full.
const FULL_WAITING: u32 = 2;

/// What has to be known of a generation to place it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Need {
    /// The service.
    pub service: Service,
    /// The calling organisation.
    pub organisation: Organisation,
    /// The caller's availability zone.
    pub zone: Zone,
    /// Memory of each engine in tokens, if the engine doesn't report it.
    pub memory: u64,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens of output that are reserved.
    pub output: u64,
    /// Rank; 0 comes first.
    pub priority: u8,
    /// Tokens of the prompt in parts that other requests share.
    pub shared: u64,
    /// Names the shared parts.
    pub prefix: u64,
    /// Whether a copy is wanted.
    pub copy: bool,
}

/// Where a generation goes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// The engine that runs it.
    pub target: Target,
    /// The engine that keeps a copy.
    pub copy: Option<Target>,
}

/// The shared parts of a prompt: their tokens and a name for them. The last part belongs to the
/// request itself.
pub fn shared_prefix(parts: &[Part]) -> (u64, u64) {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let mut hasher = DefaultHasher::new();
    for part in shared {
        part.id.hash(&mut hasher);
    }
    let tokens = shared.iter().map(|part| part.tokens).sum();
    (tokens, hasher.finish())
}

/// Chooses an engine, other than those in `avoid`. `None` if none has room.
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
    let candidates: Vec<&State> = targets
        .usable(&need.service, now)
        .filter(|state| !avoid.contains(&state.instance.target))
        .collect();
    let mut feasible: Vec<(f64, &State)> = candidates
        .iter()
        .filter_map(|state| {
            let wait = state.backlog.estimated_wait(need.prompt, now);
            if state.backlog.estimated_wait(0, now) > MOST_READING {
                return None;
            }
            let load = room(state, need, now)? + penalty(state, &need.zone, now);
            Some((load + WAITING * wait.as_secs_f64(), *state))
        })
        .collect();
    feasible.shuffle(rng);
    let shared = need.shared as f64 / need.prompt.max(1) as f64;
    if shared >= LEAST_SHARED {
        prefer(&mut feasible, &ranked(&candidates, need.prefix), shared);
    }
    let best = feasible
        .iter()
        .take(sampled(scope))
        .min_by(|left, right| left.0.total_cmp(&right.0))?;
    let target = best.1.instance.target.clone();
    let copy = match need.copy {
        true => {
            let place = (Secondary::Copy, scope, best.1, &[][..]);
            choose_secondary(targets, need, place, rng, now)
        }
        false => None,
    };
    Some(Choice { target, copy })
}

/// What a second engine is wanted for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Secondary {
    /// It keeps a copy, which only takes memory that would be free anyway.
    Copy,
    /// The generation moves there.
    Move,
}

/// Chooses a second engine for a generation that runs on `primary`, other than those in `avoid`.
pub fn choose_secondary<R>(
    targets: &Targets,
    need: &Need,
    (second, scope, primary, avoid): (Secondary, Scope, &State, &[Target]),
    rng: &mut R,
    now: Instant,
) -> Option<Target>
where
    R: Rng + ?Sized,
{
    let fill = match second {
        Secondary::Copy => COPY_FILL,
        Secondary::Move => MOVE_FILL,
    };
    let mut feasible: Vec<(f64, &State)> = targets
        .usable(&need.service, now)
        .filter(|state| state.instance.target != primary.instance.target)
        .filter(|state| !avoid.contains(&state.instance.target))
        .filter_map(|state| {
            let load = used(state, need, now) + share(state, need, need.prompt + need.output);
            if !fits_now(state, need, now) {
                return None;
            }
            let load_there = load + penalty(state, &need.zone, now);
            let far = f64::from(state.instance.zone != need.zone) * COPY_FAR;
            (load <= fill).then_some((load_there + far, state))
        })
        .collect();
    feasible.shuffle(rng);
    let (near, far): (Vec<_>, Vec<_>) = feasible
        .into_iter()
        .partition(|(_, state)| state.instance.zone == need.zone);
    let most = sampled(scope);
    near.into_iter()
        .take(most)
        .chain(far.into_iter().take(most))
        .min_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, state)| state.instance.target.clone())
}

/// Engines that are compared.
fn sampled(scope: Scope) -> usize {
    match scope {
        Scope::Group => usize::MAX,
        Scope::Local => SAMPLED,
    }
}

/// The load after the generation was added, if it fits.
fn room(state: &State, need: &Need, now: Instant) -> Option<f64> {
    let waiting = state.fresh_load(now).map_or(0, |(load, _)| load.waiting);
    if state.is_full(now)
        || waiting >= FULL_WAITING
        || state.active_requests(now) >= state.instance.slots as usize
    {
        return None;
    }
    let fill = FILL[usize::from(need.priority > 0)];
    let load = used(state, need, now) + share(state, need, need.prompt + need.output);
    let idle = state.active_requests(now) == 0;
    (load <= fill || idle).then_some(load)
}

/// Whether the engine probably has room for the prompt at this moment.
fn fits_now(state: &State, need: &Need, now: Instant) -> bool {
    share(state, need, state.used_tokens(now) + need.prompt) <= 1.0
}

fn used(state: &State, need: &Need, now: Instant) -> f64 {
    share(state, need, state.committed_tokens(GROWTH, now))
}

fn share(state: &State, need: &Need, tokens: u64) -> f64 {
    let reported = state.load.map(|(load, _)| load.total);
    let memory = reported.filter(|total| *total > 0).unwrap_or(need.memory);
    tokens as f64 / memory.max(1) as f64
}

fn penalty(state: &State, zone: &Zone, now: Instant) -> f64 {
    let mut penalty = FAILING * state.health.failure_rate(now);
    if state.instance.zone != *zone {
        penalty += FAR;
    }
    if state.is_cold(now) {
        penalty += COLD;
    }
    penalty
}

/// Moves the engines that should hold a prefix to the front, and lowers their load by what reading
/// it again would cost.
fn prefer(feasible: &mut [(f64, &State)], preferred: &[Target], shared: f64) {
    for (place, target) in preferred.iter().enumerate() {
        let found = feasible
            .iter()
            .position(|(_, state)| state.instance.target == *target);
        if let Some(at) = found
            && place < feasible.len()
        {
            feasible[at].0 -= AFFINITY * shared;
            feasible.swap(place, at);
        }
    }
}

/// The engines that should hold a prefix, in the order of their rendezvous hashes: all hosts come
/// to the same order without talking to each other (Thaler and Ravishankar, 1998).
fn ranked(candidates: &[&State], prefix: u64) -> Vec<Target> {
    let mut ranked: Vec<(u64, &State)> = candidates
        .iter()
        .map(|state| {
            let mut hasher = DefaultHasher::new();
            (prefix, &state.instance.target, state.instance.incarnation).hash(&mut hasher);
            (hasher.finish(), *state)
        })
        .collect();
    ranked.sort_unstable_by_key(|(rank, _)| *rank);
    let ranked = ranked.into_iter().take(PREFERRED);
    ranked
        .map(|(_, state)| state.instance.target.clone())
        .collect()
}

/// Chooses a target of a plain service.
pub fn choose_plain<R>(
    targets: &Targets,
    (service, zone, avoid): (&str, &Zone, &[Target]),
    rng: &mut R,
    now: Instant,
) -> Option<Target>
where
    R: Rng + ?Sized,
{
    targets
        .usable(service, now)
        .filter(|state| !avoid.contains(&state.instance.target))
        .map(|state| {
            let slots = f64::from(state.instance.slots.max(1));
            let load = state.claims.len() as f64 / slots * OWN_SHARE;
            let noise = rng.random::<f64>() * NOISE;
            let far = f64::from(state.instance.zone != *zone) * PLAIN_FAR;
            let failing = FAILING * state.health.failure_rate(now);
            let cold = f64::from(state.is_cold(now)) * COLD;
            (load + noise + far + failing + cold, state)
        })
        .min_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, state)| state.instance.target.clone())
}

/// Requests that other hosts probably have on a plain target for each of this host's.
const OWN_SHARE: f64 = 3.0;
/// Load that another availability zone counts for, for plain services.
const PLAIN_FAR: f64 = 0.8;
