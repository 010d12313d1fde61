//! When the load report of each engine is read.
//!
//! Every report is read once in each interval, and the reads are spread over it, with one exception.
//! Several engines may be reclaimed at once, and each has little time for its generations to move.
//! When one begins to leave, all reports are therefore read at once. The regular reads stay spread
//! afterwards: reads that all follow the same moment would notice the next reclaim only after up to a
//! whole interval.
//!
//! A read that stays unanswered is repeated soon, so that one lost report makes no engine count as
//! silent although the interval is long. See `docs/design/load-reports.md`.

use {
    crate::observations::Instance,
    sardinerelay::id::Target,
    std::{
        collections::{BTreeMap, HashSet, VecDeque},
        time::{Duration, Instant},
    },
};

/// Interval at which the load report of an engine with claims is read, unless there are few engines. See
/// `docs/design/load-reports.md`.
pub const INTERVAL: Duration = Duration::from_millis(780);
/// Interval for an engine without claims, or one that is known to leave and so gets no new work. It
/// is the longest time without a read after which a repeated one still arrives before the engine
/// counts as silent.
pub const QUIET_INTERVAL: Duration = Duration::from_millis(1000);
/// Interval while there are few engines. Whether one of them is silent is judged by how fresh the
/// others' reports are, and few reads cost little. The first of several engines that leave is found after the
/// interval divided by their number, so with few engines a longer interval takes time from their moves.
pub const FEW_INTERVAL: Duration = Duration::from_millis(300);
/// Largest number of engines that count as few.
pub const FEW_ENGINES: usize = 24;
/// Time without an answer after which a read is repeated.
pub const REPEAT_DELAY: Duration = Duration::from_millis(100);
/// Time over which the reads of all load reports are spread after an engine has begun to leave.
pub const HURRIED_TIME: Duration = Duration::from_millis(30);
/// Shortest time between two such reads of all load reports.
pub const MIN_HURRY_INTERVAL: Duration = Duration::from_millis(230);
/// Largest number of reads that repeat an unanswered one.
const MAX_REPEATS: u32 = 3;
/// Largest number of reads that one host makes in any second.
pub const MAX_READS_PER_S: usize = 250;
/// Number of reads a second for regular reads. The rest is for repeated reads and those after leaves.
const REGULAR_READS_PER_S: f64 = 200.0;
const SECOND: Duration = Duration::from_secs(1);
/// Shortest pause between two looks at what is due.
const MIN_PAUSE: Duration = Duration::from_millis(5);

/// What is known of an engine when its report may be due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Known {
    /// When its last report was read.
    pub reported: Option<Instant>,
    /// Whether requests run on it or are on their way to it.
    pub has_claims: bool,
    /// Whether it is known to leave.
    pub is_leaving: bool,
}

impl Known {
    fn interval(&self) -> Duration {
        match self.has_claims && !self.is_leaving {
            true => INTERVAL,
            false => QUIET_INTERVAL,
        }
    }
}

/// The times at which one engine's report is read.
#[derive(Debug)]
struct Reads {
    /// When it is looked at next.
    next: Instant,
    /// When its next regular read is due.
    regular: Instant,
    /// When the last read was sent.
    sent: Option<Instant>,
    /// Number of reads that repeated an unanswered one.
    repeats: u32,
    /// Whether the next read is one of all reports.
    is_hurried: bool,
}

/// The times at which load reports are due.
#[derive(Debug)]
pub struct Schedule {
    reads: BTreeMap<Target, Reads>,
    last_hurry: Instant,
    /// When all reports are read again because another engine began to leave soon after the last time.
    next_hurry: Option<Instant>,
    /// When the reads of the last second were sent.
    sent: VecDeque<Instant>,
    /// Whether engines that are new to this host may have been read by another one before.
    keeps_places: bool,
}

/// Returns the factor by which the intervals grow because one host reads the reports of this many engines.
pub fn stretch(engines: usize) -> f64 {
    let regular = INTERVAL.as_secs_f64() * REGULAR_READS_PER_S;
    (engines as f64 / regular).max(1.0)
}

/// Returns the interval at which the report of an engine with claims is read, one of this many.
pub fn interval(engines: usize) -> Duration {
    match engines <= FEW_ENGINES {
        true => FEW_INTERVAL,
        false => INTERVAL.mul_f64(stretch(engines)),
    }
}

impl Schedule {
    /// Creates a schedule that knows no engine.
    pub fn new(now: Instant) -> Self {
        Self {
            reads: BTreeMap::new(),
            last_hurry: now,
            next_hurry: None,
            sent: VecDeque::new(),
            keeps_places: false,
        }
    }

    /// Returns those of all `engines` whose reports are to be read now. Engines that it doesn't know yet
    /// are spread over the interval; others that it knew are forgotten.
    pub fn due<State>(&mut self, engines: &[&Instance], known: State, now: Instant) -> Vec<Instance>
    where
        State: Fn(&Instance) -> Known,
    {
        if self.next_hurry.is_some_and(|next| next <= now) {
            self.hurry(now);
        }
        let is_few = engines.len() <= FEW_ENGINES;
        let stretch = stretch(engines.len());
        let spacing = interval(engines.len()) / engines.len().max(1) as u32;
        let mut candidates = Vec::new();
        for (engine, index) in engines.iter().zip(0..) {
            let reads = self.reads.entry(engine.target.clone());
            let reads = reads.or_insert_with(|| {
                let spread = now + spacing * index;
                let reported = self.keeps_places.then(|| known(engine).reported).flatten();
                let regular = reported.map(|at| (at + INTERVAL.mul_f64(stretch)).max(now));
                Reads::new(regular.map_or(spread, |regular| regular.min(spread)))
            });
            if reads.next <= now {
                candidates.push((reads.next, *engine));
            }
        }
        candidates.sort_by_key(|(next, _)| *next);
        let is_old = |sent: &Instant| now.saturating_duration_since(*sent) >= SECOND;
        while self.sent.front().is_some_and(is_old) {
            self.sent.pop_front();
        }
        let mut due = Vec::new();
        for (_, engine) in candidates {
            if self.sent.len() >= MAX_READS_PER_S {
                break;
            }
            let known = known(engine);
            let interval = if is_few {
                FEW_INTERVAL
            } else {
                known.interval()
            };
            let reads = self.reads.get_mut(&engine.target);
            let interval = interval.mul_f64(stretch);
            let longest = QUIET_INTERVAL.mul_f64(stretch);
            if reads.is_some_and(|reads| reads.is_due(known, (interval, longest), now)) {
                self.sent.push_back(now);
                due.push(engine.clone());
            }
        }
        if self.reads.len() != engines.len() {
            let listed: HashSet<&Target> = engines.iter().map(|engine| &engine.target).collect();
            self.reads.retain(|target, _| listed.contains(target));
        }
        due
    }

    /// From now on, reads engines that are new to this host when their last reports are one interval old, since
    /// another host may have read them. Otherwise they are spread over the interval.
    pub fn keep_places(&mut self) {
        self.keeps_places = true;
    }

    /// Returns the time until a report may be due.
    pub fn wait(&self, now: Instant) -> Duration {
        let next = self.reads.values().map(|reads| reads.next);
        let next = next.chain(self.next_hurry).min();
        let wait = next.map_or(INTERVAL, |next| next.saturating_duration_since(now));
        wait.clamp(MIN_PAUSE, INTERVAL)
    }

    /// Makes all reports due within [`HURRIED_TIME`], unless they are due earlier. If the last time is less
    /// than [`MIN_HURRY_INTERVAL`] ago, multiplied by [`stretch`], does so after that time instead: the engines
    /// of a group don't begin to leave at the same moment.
    pub fn hurry(&mut self, now: Instant) {
        let pause = MIN_HURRY_INTERVAL.mul_f64(stretch(self.reads.len()));
        let earliest = self.last_hurry + pause;
        if now < earliest {
            self.next_hurry = Some(earliest);
            return;
        }
        self.last_hurry = now;
        self.next_hurry = None;
        let spacing = HURRIED_TIME / self.reads.len().max(1) as u32;
        for (reads, index) in self.reads.values_mut().zip(0..) {
            reads.next = (now + spacing * index).min(reads.next);
            reads.is_hurried = true;
        }
    }
}

impl Reads {
    fn new(first: Instant) -> Self {
        Self {
            next: first,
            regular: first,
            sent: None,
            repeats: 0,
            is_hurried: false,
        }
    }

    /// Whether the report is to be read now. Regular reads follow after `interval`, and after `longest` at
    /// most if an early read replaces one.
    fn is_due(
        &mut self,
        known: Known,
        (interval, longest): (Duration, Duration),
        now: Instant,
    ) -> bool {
        let is_answered = self.sent.is_none_or(|sent| known.reported >= Some(sent));
        let is_regular = self.regular <= now;
        let is_repeated = !is_answered && !known.is_leaving && self.repeats < MAX_REPEATS;
        let is_hurried = std::mem::take(&mut self.is_hurried) && !known.is_leaving;
        let is_due = is_regular || is_hurried || is_repeated;
        if is_due {
            // One that stays silent is read at the regular rate from then on.
            self.repeats = match is_answered {
                true => 0,
                false => (self.repeats + 1).min(MAX_REPEATS),
            };
            self.sent = Some(now);
        }
        if is_regular {
            // Keeps the engine's place among the others, unless it fell behind.
            self.regular = (self.regular + interval).max(now + interval / 2);
        } else if is_hurried && self.regular + interval <= now + longest {
            // The early read replaces the regular one.
            self.regular += interval;
        }
        self.next = match is_due {
            true => self.regular.min(now + REPEAT_DELAY),
            false => self.regular,
        };
        is_due
    }
}
