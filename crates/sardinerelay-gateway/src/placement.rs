//! Which engine runs a generation, and which one keeps a copy of its memory.
//!
//! Load pattern that it answers: engines with little memory, of which a part is reclaimed every
//! few seconds. A generation goes where its whole expected length fits, and a copy goes where
//! memory would be free anyway, so that copies never displace work. See
//! `docs/design/platform.md`.

use {
    crate::{
        call::Part,
        targets::{State, Targets},
    },
    rand::Rng,
    sardinerelay::id::{Target, Zone},
    std::{
        hash::{DefaultHasher, Hash as _, Hasher as _},
        time::Instant,
    },
};

/// Share of an engine's memory that may be committed, for the first priority and for others.
const FILL: [f64; 2] = [1.0, 0.92];
/// Share of an engine's memory up to which it takes copies.
const COPY_FILL: f64 = 0.8;
/// Tokens by which a generation of another host is expected to grow.
const GROWTH: u64 = 350;
/// Load that another availability zone counts for.
const FAR: f64 = 0.04;
/// Load that the first seconds after a start count for.
const COLD: f64 = 0.25;
/// Load that a target counts for that fails all its requests.
const FAILING: f64 = 3.0;
/// Load by which an engine may exceed the others if it probably holds the prompt's last shared
/// part, and the next one in the same order.
const AFFINITY: [f64; 2] = [0.12, 0.05];
/// Random part of the load, so that hosts with the same view don't choose the same engine.
const NOISE: f64 = 0.05;
/// Waiting requests at which an engine counts as full.
const FULL_WAITING: u32 = 2;

/// What has to be known of a generation to place it.
#[derive(Debug, Clone, PartialEq)]
pub struct Need {
    /// The service.
    pub service: Target,
    /// Memory of each engine in tokens, if the engine doesn't report it.
    pub memory: u64,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens of output that are reserved.
    pub output: u64,
    /// Rank; 0 comes first.
    pub priority: u8,
    /// Names the prompt's parts, for affinity.
    pub prefix: u64,
    /// Whether a copy is wanted.
    pub copy: bool,
}

/// Where a generation goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The engine that runs it.
    pub target: Target,
    /// The engine that keeps a copy.
    pub copy: Option<Target>,
}

/// Names a prompt by its parts.
pub fn prefix(parts: &[Part]) -> u64 {
    let mut hasher = DefaultHasher::new();
    for part in parts {
        part.id.hash(&mut hasher);
    }
    hasher.finish()
}

/// Chooses an engine, other than those in `avoid`. `None` if none has room.
pub fn choose<R>(
    targets: &Targets,
    need: &Need,
    (zone, avoid): (&Zone, &[Target]),
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
    let preferred = ranked(&candidates, need.prefix);
    let best = candidates
        .iter()
        .filter_map(|state| {
            let load = room(state, need, now)?;
            let mut load = load + rng.random::<f64>() * NOISE;
            load += penalty(state, zone, now);
            for (place, bonus) in preferred.iter().zip(AFFINITY) {
                if *place == state.instance.target {
                    load -= bonus;
                }
            }
            Some((load, *state))
        })
        .min_by(|left, right| left.0.total_cmp(&right.0))?;
    let target = best.1.instance.target.clone();
    let copy = match need.copy {
        true => choose_copy(targets, need, best.1, now),
        false => None,
    };
    Some(Choice { target, copy })
}

/// Chooses the engine that keeps a copy of a generation that runs on `primary`.
pub fn choose_copy(
    targets: &Targets,
    need: &Need,
    primary: &State,
    now: Instant,
) -> Option<Target> {
    let other = |state: &&State| state.instance.target != primary.instance.target;
    targets
        .usable(&need.service, now)
        .filter(other)
        .filter_map(|state| {
            let load = used(state, need, now) + share(state, need, need.prompt + need.output);
            let fits = load <= COPY_FILL && !state.is_cold(now);
            let load = load + penalty(state, &primary.instance.zone, now);
            fits.then_some((load, state))
        })
        .min_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, state)| state.instance.target.clone())
}

/// The load after the generation was added, if it fits.
fn room(state: &State, need: &Need, now: Instant) -> Option<f64> {
    let waiting = state.fresh_load(now).map_or(0, |(load, _)| load.waiting);
    if waiting >= FULL_WAITING || state.busy(now) >= state.instance.slots as usize {
        return None;
    }
    let fill = FILL[usize::from(need.priority > 0)];
    let load = used(state, need, now) + share(state, need, need.prompt + need.output);
    let idle = state.busy(now) == 0;
    (load <= fill || idle).then_some(load)
}

fn used(state: &State, need: &Need, now: Instant) -> f64 {
    share(state, need, state.committed(GROWTH, now))
}

fn share(state: &State, need: &Need, tokens: u64) -> f64 {
    let reported = state.load.map(|(load, _)| load.total);
    let memory = reported.filter(|total| *total > 0).unwrap_or(need.memory);
    tokens as f64 / memory.max(1) as f64
}

fn penalty(state: &State, zone: &Zone, now: Instant) -> f64 {
    let mut penalty = FAILING * state.health.failing(now);
    if state.instance.zone != *zone {
        penalty += FAR;
    }
    if state.is_cold(now) {
        penalty += COLD;
    }
    penalty
}

/// The engines that should hold a prefix, in the order of their rendezvous hashes: all hosts come
/// to the same order without talking to each other.
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
    let ranked = ranked.into_iter().take(AFFINITY.len());
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
            let load = state.held.len() as f64 / slots * OWN_SHARE;
            let noise = rng.random::<f64>() * NOISE;
            let far = f64::from(state.instance.zone != *zone) * PLAIN_FAR;
            let failing = FAILING * state.health.failing(now);
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
