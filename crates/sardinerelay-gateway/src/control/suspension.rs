//! Notices that this process was suspended.
//!
//! The failure that this guards against: a request waits in the socket of a suspended process while the
//! operator has it carried out by another host and then orders the opposite. When the process goes on,
//! nothing in the request shows its age.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

/// Interval at which the process checks the time.
pub(super) const INTERVAL: Duration = Duration::from_millis(100);
/// Time without a check after which the process counts as having been suspended. It is longer than a busy
/// host delays a task, and shorter than the time after which operators turn to another host.
const MAX_GAP: Duration = Duration::from_millis(800);
/// Time after a suspension in which requests may be older than they seem.
const DISTRUST_DURATION: Duration = Duration::from_secs(1);

/// When the process last checked the time, and when it last went on after a suspension, in milliseconds since
/// this was created.
#[derive(Debug)]
pub struct Detector {
    created: Instant,
    checked: AtomicU64,
    resumed: AtomicU64,
}

impl Detector {
    /// Creates the detector of a process that wasn't suspended.
    pub fn new(now: Instant) -> Self {
        Self {
            created: now,
            checked: AtomicU64::new(0),
            resumed: AtomicU64::new(0),
        }
    }

    /// Checks the time. Returns whether a request that arrives now is as recent as it seems.
    pub fn check(&self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.created).as_millis() as u64;
        let checked = self.checked.fetch_max(elapsed, Ordering::Relaxed);
        if elapsed.saturating_sub(checked) > MAX_GAP.as_millis() as u64 {
            self.resumed.fetch_max(elapsed, Ordering::Relaxed);
        }
        let resumed = self.resumed.load(Ordering::Relaxed);
        resumed == 0 || elapsed.saturating_sub(resumed) > DISTRUST_DURATION.as_millis() as u64
    }
}
