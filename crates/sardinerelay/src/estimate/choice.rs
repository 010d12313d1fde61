//! How many hosts that know the same choose targets without choosing alike.
//!
//! What a host knows of a target's load is older than the time in which the other hosts choose. If all
//! took the target that looks best, they would overload one after another. See
//! `docs/design/even-load.md` for the ways that were compared.

use rand::{Rng, seq::index};

/// Expected time of a request at a target, as a multiple of that at an idle one of typical speed.
///
/// `occupancy` is the share of the target's slots that are in use, the request included; it may exceed
/// 1. What is known of it is old, so waiting becomes likelier before all slots are in use.
pub fn expected_delay(occupancy: f64, speed: f64) -> f64 {
    (1.0 + occupancy * occupancy) / speed.max(f64::MIN_POSITIVE)
}

/// Returns the position with the lowest delay among `count` random ones of `positions` ("The Power of
/// Two Choices in Randomized Load Balancing", Mitzenmacher, 2001), or none if there is none.
pub fn best_of<Delay, Random>(
    count: usize,
    positions: usize,
    delay: Delay,
    rng: &mut Random,
) -> Option<usize>
where
    Delay: Fn(usize) -> f64,
    Random: Rng + ?Sized,
{
    let sample = index::sample(rng, positions, count.min(positions));
    sample
        .into_iter()
        .min_by(|left, right| delay(*left).total_cmp(&delay(*right)))
}
