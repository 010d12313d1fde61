//! Bounds for numbers from outside: headers, JSON documents and settings files.
//!
//! Additions to an [`std::time::Instant`] and conversions to a [`Duration`] panic if the result can't be
//! represented, and sums of counts overflow. A number from outside is therefore read with one of these functions,
//! so that no later computation meets one with which that could happen. A number that is too large becomes the
//! largest one, because it is often meant as "no limit". The linter forbids the conversions that panic.

use std::time::Duration;

/// Longest time that is told apart from forever: a year.
pub const MAX_TIME: Duration = Duration::from_secs(365 * 24 * 3600);

/// Largest number of tokens. Sums of many such numbers can be represented.
pub const MAX_TOKENS: u64 = 1 << 40;

/// Largest number of requests or slots. Sums of many such numbers can be represented.
pub const MAX_REQUESTS: u32 = 1 << 20;

/// Returns a time of this many milliseconds.
pub fn milliseconds(number: u64) -> Duration {
    Duration::from_millis(number).min(MAX_TIME)
}

/// Returns a time of this many seconds.
pub fn seconds(number: u64) -> Duration {
    Duration::from_secs(number).min(MAX_TIME)
}

/// Returns a time of this many seconds, or none for a number that is no time: a negative one, or not a number.
pub fn fractional_seconds(number: f64) -> Option<Duration> {
    let is_time = number >= 0.0;
    is_time.then(|| {
        let bounded = number.min(MAX_TIME.as_secs_f64());
        // It is in the range of times by now.
        Duration::try_from_secs_f64(bounded).unwrap_or(MAX_TIME)
    })
}

/// Returns a time of this many milliseconds, or none for a number that is no time.
pub fn fractional_milliseconds(number: f64) -> Option<Duration> {
    fractional_seconds(number / 1_000.0)
}

/// Returns the time that a computation estimates as this many seconds. What is no time takes none.
pub fn estimate(seconds: f64) -> Duration {
    fractional_seconds(seconds).unwrap_or_default()
}

/// Returns a number of tokens.
pub fn tokens(number: u64) -> u64 {
    number.min(MAX_TOKENS)
}

/// Returns a number of requests or slots.
pub fn requests(number: u32) -> u32 {
    number.min(MAX_REQUESTS)
}
