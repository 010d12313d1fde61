//! Which generations cold engines get.

use {
    super::{COLD_START_LOAD, Need, Terms},
    crate::targets::{State, Targets},
    std::time::Instant,
};

/// Length from which a prompt counts as long, in tokens. A cold engine reads slowly.
const LONG_PROMPT_TOKENS: u64 = 512;
/// Load by which a cold engine may exceed a warm one and still get a short prompt.
const SHORT_PROMPT_PREFERENCE: f64 = 0.15;
/// Load by which a cold engine must be below a warm one to get a long prompt. It is no exclusion: most prompts
/// are long, and an engine that is empty reads them sooner than a full one, although it is cold.
const LONG_PROMPT_LOAD: f64 = 0.3;

/// Prefers cold engines for short prompts and warm ones for long prompts. Without a rate for cold targets the
/// scores stay as they are.
pub(super) fn set_cold_terms(
    feasible: &mut [(Terms, &State)],
    targets: &Targets,
    need: &Need,
    now: Instant,
) {
    let cold_load = match need.prompt_tokens < LONG_PROMPT_TOKENS {
        true => -SHORT_PROMPT_PREFERENCE,
        false => LONG_PROMPT_LOAD.max(COLD_START_LOAD),
    };
    let cold = feasible
        .iter_mut()
        .filter(|(_, state)| targets.is_paced(state, now));
    cold.for_each(|(terms, _)| terms.cold = cold_load);
}
