//! The crashes that are blamed on one subject, and what they weigh.
//!
//! A crash before the first event is blamed at once: only the requests that the target had just begun can be
//! the cause. A crash later takes all generations of the target along, most of them sound. So crashes at the
//! same time, as when several targets lose power, weigh as one, and a request with the subject that outlives the
//! crashed ones takes them back.

use {
    super::{Rules, Subject},
    sardinerelay::id::{Incarnation, Target},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Number of crashes by which more are needed if some came after the first event. Sound generations are at such
/// crashes too.
const LATE_CRASH_MARGIN: usize = 1;
/// Time between crashes after the first event that are counted one by one.
const MIN_CRASH_INTERVAL: Duration = Duration::from_millis(150);
/// Number of crashes at the same time as others that weigh as much as one, and the most that they weigh together.
const SIMULTANEOUS_CRASHES: usize = 4;
const MAX_SIMULTANEOUS_WEIGHT: usize = 2;
/// Part of a request's time since its first event in which a crash under the same subject must have come to be taken
/// back, since the subject would have made this request's target crash by then.
const SURVIVAL_SHARE: f64 = 0.25;
/// Time since the first event that shows nothing, because the news of a crash may be on its way.
const SURVIVAL_MARGIN: Duration = Duration::from_millis(500);

/// A crash that a subject is blamed for.
#[derive(Debug, Clone, Copy)]
struct Blame {
    at: Instant,
    /// When this host learnt of it.
    known_since: Instant,
    /// Whether a request was there that had no event yet.
    is_at_begin: bool,
    /// Longest time from the first event of a request to the crash.
    lasted: Duration,
}

/// A subject that may make targets crash.
#[derive(Debug)]
pub(super) struct Suspect {
    crashes: BTreeMap<(Target, Incarnation), Blame>,
    requests: BTreeSet<Subject>,
    pub(super) last_crash: Instant,
    /// The last position that the subject had in a prompt.
    position: usize,
    /// Whether there was a crash since the last time that something else explained one.
    is_pending: bool,
}

/// How well a subject explains crashes, the better the greater: number of crashes, whether it was never answered, its
/// position in prompts, and how soon its targets crashed.
pub(super) type Rank = (usize, bool, usize, std::cmp::Reverse<Duration>);

impl Suspect {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            crashes: BTreeMap::new(),
            requests: BTreeSet::new(),
            last_crash: now,
            position: 0,
            is_pending: false,
        }
    }

    /// Records a crash at `at`, which came so long after the first event of `request`; none if there was no event.
    pub(super) fn record(
        &mut self,
        crashed: (Target, Incarnation),
        (request, position): (Subject, usize),
        lasted: Option<Duration>,
        (at, now): (Instant, Instant),
    ) {
        let blame = self.crashes.entry(crashed).or_insert(Blame {
            at,
            known_since: now,
            is_at_begin: false,
            lasted: Duration::ZERO,
        });
        blame.is_at_begin |= lasted.is_none();
        blame.lasted = blame.lasted.max(lasted.unwrap_or_default());
        self.requests.insert(request);
        self.last_crash = now;
        self.position = self.position.max(position);
        self.is_pending = true;
    }

    /// Returns the number of targets that crashed.
    pub(super) fn len(&self) -> usize {
        self.crashes.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Returns the targets that crashed.
    pub(super) fn crashed(&self) -> Vec<(Target, Incarnation)> {
        self.crashes.keys().cloned().collect()
    }

    /// Returns the times of the crashes.
    pub(super) fn times(&self) -> impl Iterator<Item = Instant> {
        self.crashes.values().map(|blame| blame.at)
    }

    /// Takes back a crash that something else explains. The subject isn't judged again before another one.
    pub(super) fn forgive(&mut self, crashed: &(Target, Incarnation)) {
        if self.crashes.remove(crashed).is_some() {
            self.is_pending = false;
        }
    }

    /// Takes back a crash at a target that was alive at `read`, so long after it that a crashed one wouldn't be back.
    pub(super) fn refute(
        &mut self,
        target: &(Target, Incarnation),
        read: Instant,
        limit: Duration,
    ) {
        let blame = self.crashes.get(target);
        if blame.is_some_and(|blame| blame.at < read && read < blame.at + limit) {
            self.crashes.remove(target);
        }
    }

    /// Takes back the crashes that a request which has lasted this long since its first event shows to have other
    /// causes.
    pub(super) fn credit(&mut self, lasted: Duration) {
        let survived = lasted
            .saturating_sub(SURVIVAL_MARGIN)
            .mul_f64(SURVIVAL_SHARE);
        if !survived.is_zero() {
            self.crashes.retain(|_, blame| blame.lasted >= survived);
        }
    }

    /// Records that the subject was considered together with one that explains its crashes better.
    pub(super) fn settle(&mut self) {
        self.is_pending = false;
    }

    /// Whether there are crashes before the first event of enough requests, targets and time.
    pub(super) fn is_enough_at_begin(&self, min_crashes: usize, rules: &Rules) -> bool {
        let at_begin = self.crashes.values().filter(|blame| blame.is_at_begin);
        at_begin.count() >= min_crashes && self.is_spread(rules)
    }

    /// Returns how well the subject explains its crashes, those before the first event and later ones together, or
    /// none if they are too few. Crashes count that were known before `settled`, so that all requests that were
    /// at these targets are known.
    pub(super) fn rank(
        &self,
        (is_answered, rules): (bool, &Rules),
        settled: Instant,
    ) -> Option<Rank> {
        if !self.is_pending || !self.is_spread(rules) {
            return None;
        }
        let known = self.crashes.values();
        let known = known.filter(|blame| blame.known_since <= settled);
        let mut later: Vec<Instant> = Vec::new();
        let mut at_begin = 0;
        let mut longest = Duration::ZERO;
        for blame in known {
            longest = longest.max(blame.lasted);
            match blame.is_at_begin {
                true => at_begin += 1,
                false => later.push(blame.at),
            }
        }
        let weight = at_begin + weight(later, is_answered);
        let min_crashes = match is_answered {
            true => rules.min_crashes_of_answered,
            false => rules.min_crashes,
        } + LATE_CRASH_MARGIN;
        let rank = (
            weight,
            !is_answered,
            self.position,
            std::cmp::Reverse(longest),
        );
        (weight >= min_crashes).then_some(rank)
    }

    fn is_spread(&self, rules: &Rules) -> bool {
        self.span() >= rules.min_span && self.requests.len() >= rules.min_requests
    }

    /// Returns the time between the first and the last crash.
    fn span(&self) -> Duration {
        match (self.times().min(), self.times().max()) {
            (Some(first), Some(last)) => last.saturating_duration_since(first),
            _ => Duration::ZERO,
        }
    }
}

/// Returns what crashes at these times weigh: those that are [`MIN_CRASH_INTERVAL`] apart one each, and the others
/// together a little, since some targets may also have crashed one after the other. They weigh nothing against a
/// subject that was answered before.
fn weight(mut times: Vec<Instant>, is_answered: bool) -> usize {
    times.sort_unstable();
    let mut last: Option<Instant> = None;
    let (mut apart, mut simultaneous) = (0, 0);
    for at in times {
        if last.is_none_or(|last| at >= last + MIN_CRASH_INTERVAL) {
            last = Some(at);
            apart += 1;
        } else {
            simultaneous += 1;
        }
    }
    match is_answered {
        true => apart,
        false => apart + (simultaneous / SIMULTANEOUS_CRASHES).min(MAX_SIMULTANEOUS_WEIGHT),
    }
}
