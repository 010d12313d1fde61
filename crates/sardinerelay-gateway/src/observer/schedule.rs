//! When the load report of each engine is read.
//!
//! Every report is read once in each interval, and the reads are spread over it. The load that the
//! exception answers: several engines are reclaimed at once, and each has little time for its
//! generations to move. When one begins to leave, all are therefore read at once.

use {
    crate::observations::Instance,
    sardinerelay::id::Target,
    std::{
        collections::{BTreeMap, HashSet},
        time::{Duration, Instant},
    },
};

/// Interval at which the load report of an engine is read.
pub const INTERVAL: Duration = Duration::from_millis(300);
/// Time over which the reads of all load reports are spread after an engine has begun to leave.
pub const HURRIED_TIME: Duration = Duration::from_millis(30);
/// Shortest pause between two looks at what is due.
const MIN_PAUSE: Duration = Duration::from_millis(5);

/// The times at which load reports are due.
#[derive(Debug)]
pub struct Schedule {
    next_reads: BTreeMap<Target, Instant>,
    last_hurry: Instant,
}

impl Schedule {
    /// Creates a schedule that knows no engine.
    pub fn new(now: Instant) -> Self {
        Self {
            next_reads: BTreeMap::new(),
            last_hurry: now,
        }
    }

    /// Returns those of all `engines` whose reports are to be read now. Engines that it doesn't know yet
    /// are spread over the interval; others that it knew are forgotten.
    pub fn due(&mut self, engines: Vec<Instance>, now: Instant) -> Vec<Instance> {
        let listed: HashSet<&Target> = engines.iter().map(|engine| &engine.target).collect();
        self.next_reads.retain(|target, _| listed.contains(target));
        let spacing = INTERVAL / engines.len().max(1) as u32;
        let engines = engines.into_iter().zip(0..);
        let due = engines.filter(|(engine, index)| {
            let next = self.next_reads.entry(engine.target.clone());
            let next = next.or_insert(now + spacing * *index);
            let is_due = *next <= now;
            if is_due {
                *next = now + INTERVAL;
            }
            is_due
        });
        due.map(|(engine, _)| engine).collect()
    }

    /// Returns the time until the next report is due.
    pub fn wait(&self, now: Instant) -> Duration {
        let next = self.next_reads.values().min();
        let wait = next.map_or(INTERVAL, |next| next.saturating_duration_since(now));
        wait.clamp(MIN_PAUSE, INTERVAL)
    }

    /// Makes all reports due within [`HURRIED_TIME`], unless they are due earlier. Does so once in an
    /// interval.
    pub fn hurry(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_hurry) <= INTERVAL {
            return;
        }
        self.last_hurry = now;
        let spacing = HURRIED_TIME / self.next_reads.len().max(1) as u32;
        for (next, index) in self.next_reads.values_mut().zip(0..) {
            *next = (now + spacing * index).min(*next);
        }
    }
}
