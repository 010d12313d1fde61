//! Which generations cold engines get.

use {
    super::{COLD_START_LOAD, Need},
    crate::targets::{State, Targets},
    std::time::Instant,
};

/// Longest prompt that a cold engine gets while warm ones have room, in tokens. A cold engine reads slowly.
const MAX_COLD_PROMPT_TOKENS: u64 = 512;
/// Load by which a cold engine may exceed a warm one and still get a short prompt.
const SHORT_PROMPT_PREFERENCE: f64 = 0.15;

/// Prefers cold engines for short prompts, and leaves them out for long ones if a warm engine has room. Without
/// a rate for cold targets the engines stay as they are.
pub(super) fn arrange(
    feasible: &mut Vec<(f64, &State)>,
    targets: &Targets,
    need: &Need,
    now: Instant,
) {
    if need.prompt_tokens <= MAX_COLD_PROMPT_TOKENS {
        let cold = feasible
            .iter_mut()
            .filter(|(_, state)| targets.is_paced(state, now));
        cold.for_each(|(load, _)| *load -= COLD_START_LOAD + SHORT_PROMPT_PREFERENCE);
    } else if feasible
        .iter()
        .any(|(_, state)| !targets.is_paced(state, now))
    {
        feasible.retain(|(_, state)| !targets.is_paced(state, now));
    }
}
