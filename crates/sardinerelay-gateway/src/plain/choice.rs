//! Chooses the target of a call, and takes a permit if the target states a rate limit.
//!
//! A call goes to the best target that may get it. It waits for a permit, shortly, only if every
//! usable target has a limit. If none has a permit in time, the call is refused at once.

use {
    crate::{
        limit::permit::{Known, Reply, Request},
        placement,
        request::Job,
        targets::{State, Targets},
    },
    rand::Rng as _,
    sardinerelay::id::Target,
    std::{
        ops::Range,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Share of its route's latency objective that a call of the highest priority may wait for a permit.
/// Less urgent calls may wait for less, so that urgent ones get the next permit.
const MAX_WAIT_SHARE: f64 = 0.5;
/// Factors by which the time after which a caller should retry is varied at random.
const RETRY_AFTER_JITTER: Range<f64> = 1.0..1.4;

/// Where a call goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Choice {
    /// To this target, now.
    Target(Target),
    /// Nowhere, since all usable targets have reached their limits. A retry makes sense after this
    /// time.
    LimitReached(Duration),
    /// Nowhere, since all targets that could take it want no requests. A retry makes sense after this
    /// time.
    Resting(Duration),
    /// Nowhere, since no target is usable.
    Unavailable,
}

/// A target that can be chosen, and what this host knows of its limit.
struct Candidate {
    known: Known,
    /// Whether it may get the call only with a permit.
    is_limited: bool,
    /// Whether it is cold, and may therefore get only a part of the calls.
    is_cold: bool,
    /// For how long this host isn't given permits for it.
    denied_for: Duration,
}

impl Candidate {
    fn new(targets: &Targets, state: &State, now: Instant) -> Self {
        let is_cold = targets.is_paced(state, now);
        Self {
            is_cold,
            known: state.known_limit(),
            is_limited: is_cold || state.limit.is_limited(now),
            denied_for: state.limit.denied_for(now),
        }
    }
}

/// Chooses a target that was not tried yet, or any usable one if all were tried.
pub(super) async fn choose(job: &Job, tried: &[Target], now: Instant) -> Choice {
    let mut candidates = rank_candidates(job, tried, now);
    if candidates.is_empty() {
        candidates = rank_candidates(job, &[], now);
    }
    if candidates.is_empty()
        && let Some(retry_after) = job.entry.rest_of_all(&job.service)
    {
        return Choice::Resting(retry_after);
    }
    let unlimited = candidates
        .iter()
        .position(|candidate| !candidate.is_limited);
    let max_wait = match unlimited {
        Some(_) => Duration::ZERO,
        None => max_wait(job, now),
    };
    let better = unlimited.unwrap_or(candidates.len());
    let permit = take_permit(job, &candidates[..better], max_wait).await;
    match (permit, unlimited) {
        (Permit::Taken(target, wait), _) => {
            sleep(wait).await;
            Choice::Target(target)
        }
        (_, Some(position)) => Choice::Target(candidates[position].known.target.clone()),
        (Permit::Refused(duration), None) => {
            let jitter = rand::rng().random_range(RETRY_AFTER_JITTER);
            Choice::LimitReached(duration.mul_f64(jitter))
        }
        (Permit::Unavailable, None) => Choice::Unavailable,
    }
}

/// Returns the usable targets, best first.
fn rank_candidates(job: &Job, tried: &[Target], now: Instant) -> Vec<Candidate> {
    let state = job.entry.state();
    let zone = &job.entry.settings.common.zone;
    let constraints = (job.service.as_str(), zone, tried);
    let ranked = placement::rank_plain(&state.targets, constraints, &mut rand::rng(), now);
    ranked
        .into_iter()
        .filter(|known| state.targets.allow(&job.homes, known))
        .map(|known| Candidate::new(&state.targets, known, now))
        .collect()
}

/// Result of a request for a permit.
enum Permit {
    /// The call may be sent to this target after this time.
    Taken(Target, Duration),
    /// No target may get the call. A retry makes sense after this time.
    Refused(Duration),
    /// There is no target.
    Unavailable,
}

/// Takes a permit for one of these targets, unless this host was refused permits for all of them
/// just before.
async fn take_permit(job: &Job, limited: &[Candidate], max_wait: Duration) -> Permit {
    let can_be_asked = |candidate: &&Candidate| candidate.denied_for <= max_wait;
    let asked = limited.iter().filter(can_be_asked);
    let (targets, cold): (Vec<Known>, Vec<bool>) = asked
        .map(|candidate| (candidate.known.clone(), candidate.is_cold))
        .unzip();
    if targets.is_empty() {
        let denied = limited.iter().map(|candidate| candidate.denied_for);
        return denied.min().map_or(Permit::Unavailable, Permit::Refused);
    }
    let request = Request {
        targets,
        max_wait,
        cold,
    };
    let reply = job.entry.acquire_permit(request.clone()).await;
    job.entry.metrics.record_permit(reply.label());
    match reply {
        Reply::Granted(position, wait) => match request.targets.get(position as usize) {
            Some(known) => Permit::Taken(known.target.clone(), wait),
            None => Permit::Unavailable,
        },
        Reply::Refused(duration) => Permit::Refused(duration),
        Reply::Unknown => Permit::Unavailable,
    }
}

/// Time for which a call may wait for a permit.
fn max_wait(job: &Job, now: Instant) -> Duration {
    let share = MAX_WAIT_SHARE / (1.0 + f64::from(job.priority));
    let objective = job.arrived + job.route.objective.mul_f64(share);
    objective.min(job.deadline()).saturating_duration_since(now)
}
