//! Times of day as numbers, as messages and logs carry them.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Returns the milliseconds from 1970 to this time, 0 for an earlier one.
pub fn unix_ms(time: SystemTime) -> u64 {
    whole_ms(time.duration_since(UNIX_EPOCH).unwrap_or_default())
}

/// Returns a duration in whole milliseconds, the largest number if it is longer.
pub fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
