//! Places one waiting request, and leaves room for others as the queue demands.

use {
    super::Scope,
    crate::{
        admission::{Reserved, Waiter},
        placement::{self, Choice, Need},
        targets::{State, Targets},
    },
    rand::Rng,
    sardinerelay::{fairness::Headroom, id::Target},
    std::time::Instant,
};

/// Largest number of units of the headroom that the free memory of one engine provides. The prompts of
/// more urgent requests would wait to be read, one after the other.
const MAX_UNITS_PER_ENGINE: u64 = 2;

/// Chooses engines for a waiting request.
///
/// # Errors
///
/// If none has room, returns those that will have room first, as many as the queue keeps.
pub fn place<R>(
    targets: &Targets,
    waiter: &Waiter,
    (reserved, scope): (&Reserved, Scope),
    rng: &mut R,
    now: Instant,
) -> Result<Choice, Vec<Target>>
where
    R: Rng + ?Sized,
{
    let need = &waiter.need;
    let free = reserved.headroom.map(|headroom| {
        let usable = targets.usable(&need.service, now);
        let free = usable.map(|state| usable_tokens(headroom, state, need, 0, now));
        let (engines, free) = free.fold((0, 0), |(engines, sum), free| (engines + 1, sum + free));
        // At most one unit per engine is left free, or long generations would find no room at all.
        let tokens = headroom.tokens.min(engines * headroom.unit);
        (Headroom { tokens, ..headroom }, free)
    });
    let leaves_headroom = |state: &State| {
        free.is_none_or(|(headroom, free)| {
            let tokens = need.total_tokens();
            let taken = usable_tokens(headroom, state, need, 0, now)
                - usable_tokens(headroom, state, need, tokens, now);
            free - taken >= headroom.tokens
        })
    };
    let may_use =
        |state: &State| !reserved.kept.contains(&state.instance.target) && leaves_headroom(state);
    placement::choose_among(targets, need, (scope, may_use), rng, now)
        .ok_or_else(|| engines_to_keep(targets, need, reserved, now))
}

/// Returns the memory of an engine that urgent requests could use if `taken` tokens of it were used.
fn usable_tokens(headroom: Headroom, state: &State, need: &Need, taken: u64, now: Instant) -> u64 {
    let free = placement::free_tokens(state, need, now).saturating_sub(taken);
    headroom.usable(free, MAX_UNITS_PER_ENGINE)
}

/// Returns the engines with the most free memory on which a request could run, as many as the queue
/// keeps.
fn engines_to_keep(
    targets: &Targets,
    need: &Need,
    reserved: &Reserved,
    now: Instant,
) -> Vec<Target> {
    if reserved.keep == 0 {
        return Vec::new();
    }
    let mut engines: Vec<(u64, &Target)> = targets
        .usable(&need.service, now)
        .filter(|state| need.accepts(&state.instance.build))
        .filter(|state| !reserved.kept.contains(&state.instance.target))
        .map(|state| {
            (
                placement::free_tokens(state, need, now),
                &state.instance.target,
            )
        })
        .collect();
    engines.sort_unstable_by(|left, right| right.cmp(left));
    let engines = engines.into_iter().take(reserved.keep);
    engines.map(|(_, target)| target.clone()).collect()
}
