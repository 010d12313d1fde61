//! How many requests a cold target may get.
//!
//! A target that has started a short time ago crashes if it gets many more requests than it can handle. Several
//! hosts send to it, and some may not reach the others. [`Window`] keeps one host within its part of the bound,
//! and [`Shares`] divides the bound so that all parts together stay within it.

use std::{
    hash::{DefaultHasher, Hash as _, Hasher as _},
    time::{Duration, Instant},
};

/// Time over which requests are counted.
const SPAN: Duration = Duration::from_secs(1);
/// Resolution of a [`Window`]. It counts up to this much more than [`SPAN`].
const BUCKET: Duration = Duration::from_millis(50);
/// Number of buckets that a span of one second can overlap.
const BUCKETS: usize = (SPAN.as_millis() / BUCKET.as_millis()) as usize + 1;
/// Share of the bound for a host that allocates for the group. Two hosts may do so for a short time after a
/// change of the leader.
const GROUP_SHARE: f64 = 0.4;
/// Number of hosts that may allocate for the group at the same time.
const MAX_GROUP_HOSTS: u32 = 2;
/// Largest probability with which more hosts that decide on their own are chosen for a target than the bound
/// leaves room for.
const MAX_EXCESS_PROBABILITY: f64 = 1e-6;
/// Number of steps in the search for the probability with which such a host is chosen.
const SEARCH_STEPS: u32 = 40;

/// How far beyond the rate that it states a cold target may be loaded.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// Factor of the stated rate.
    pub overrun: f64,
    /// Requests in a second that are allowed in addition.
    pub slack: f64,
}

impl Default for Tolerance {
    fn default() -> Self {
        Self {
            overrun: 1.5,
            slack: 5.0,
        }
    }
}

impl Tolerance {
    /// Returns the largest number of requests in any second for a target that states this rate.
    pub fn bound(&self, per_second: f64) -> u32 {
        // The conversion saturates, and converts NaN to 0.
        (per_second * self.overrun + self.slack) as u32
    }
}

/// How the bound of a cold target is divided among hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shares {
    /// Requests in any second for a host that allocates for the group.
    pub group: u32,
    /// Probability with which a host that decides on its own is chosen for a target.
    chosen_ratio: f64,
}

impl Shares {
    /// Divides the bound of a target among the hosts that allocate for the group and `hosts` others.
    pub fn new(bound: u32, hosts: u32) -> Self {
        let group = (f64::from(bound) * GROUP_SHARE) as u32;
        // Of small bounds the rounding leaves more than a fifth.
        let left = bound - group * MAX_GROUP_HOSTS;
        Self {
            group,
            chosen_ratio: chosen_ratio(left, hosts.max(1)),
        }
    }

    /// Whether a host that decides on its own may send to this incarnation of a target, one request in any
    /// second. Each host finds this out for itself without reaching the others.
    ///
    /// The number of chosen hosts is random. The probability is low enough for that number to stay within
    /// the bound, except for about one target in 1,000,000.
    pub fn is_chosen(&self, host: &str, target: &str, incarnation: u64) -> bool {
        let mut hasher = DefaultHasher::new();
        (host, target, incarnation).hash(&mut hasher);
        (hasher.finish() as f64 / u64::MAX as f64) < self.chosen_ratio
    }
}

/// Returns the largest probability for which more than `max_chosen` of `hosts` are chosen with at most
/// [`MAX_EXCESS_PROBABILITY`].
fn chosen_ratio(max_chosen: u32, hosts: u32) -> f64 {
    if hosts <= max_chosen {
        return 1.0;
    }
    let (mut low, mut high) = (0.0, f64::from(max_chosen) / f64::from(hosts));
    for _ in 0..SEARCH_STEPS {
        let middle = (low + high) / 2.0;
        match excess_probability(max_chosen, hosts, middle) <= MAX_EXCESS_PROBABILITY {
            true => low = middle,
            false => high = middle,
        }
    }
    low
}

/// Returns the probability that more than `max_chosen` of `hosts` are chosen, each with probability `ratio`.
fn excess_probability(max_chosen: u32, hosts: u32, ratio: f64) -> f64 {
    let odds = (ratio / (1.0 - ratio)).ln();
    let mut log_term = f64::from(hosts) * (1.0 - ratio).ln();
    let mut within = log_term.exp();
    for chosen in 1..=max_chosen {
        log_term += odds + (f64::from(hosts - chosen + 1) / f64::from(chosen)).ln();
        within += log_term.exp();
    }
    1.0 - within
}

/// Counts the requests of the last second, to within a bucket.
#[derive(Debug, Clone, Default)]
pub struct Window {
    /// Requests in each bucket, the newest first.
    counts: [u32; BUCKETS],
    /// When the newest bucket begins; none before the first request.
    newest: Option<Instant>,
}

impl Window {
    /// Takes one request if the window then has at most `bound`. Returns whether it did.
    pub fn take(&mut self, bound: u32, now: Instant) -> bool {
        let has_room = self.has_room(bound, now);
        if has_room {
            self.charge(now);
        }
        has_room
    }

    /// Whether one more request stays within the bound.
    pub fn has_room(&self, bound: u32, now: Instant) -> bool {
        self.count(now) < bound
    }

    /// Returns the number of requests of the last second.
    pub fn count(&self, now: Instant) -> u32 {
        let kept = BUCKETS.saturating_sub(self.elapsed_buckets(now));
        let counts = self.counts[..kept].iter();
        counts.fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// Counts a request that is sent in any case.
    pub fn charge(&mut self, now: Instant) {
        let elapsed = self.elapsed_buckets(now);
        let newest = self.newest.get_or_insert(now);
        if elapsed > 0 {
            let kept = BUCKETS.saturating_sub(elapsed);
            self.counts.copy_within(..kept, BUCKETS - kept);
            self.counts[..BUCKETS - kept].fill(0);
            let elapsed = u32::try_from(elapsed).ok();
            *newest = elapsed.map_or(now, |elapsed| *newest + BUCKET * elapsed);
        }
        self.counts[0] = self.counts[0].saturating_add(1);
    }

    /// Gives the newest request back, since the target didn't get it.
    pub fn give_back(&mut self, now: Instant) {
        let kept = BUCKETS.saturating_sub(self.elapsed_buckets(now));
        let newest = self.counts[..kept].iter_mut().find(|count| **count > 0);
        if let Some(count) = newest {
            *count -= 1;
        }
    }

    /// Returns the time after which a request has room, if no other one is counted before.
    pub fn wait(&self, bound: u32, now: Instant) -> Duration {
        let newest = self.newest.unwrap_or(now);
        let expiring = (0..=BUCKETS).find(|expired| {
            let kept = self.counts[..BUCKETS - expired].iter();
            kept.fold(0_u32, |sum, count| sum.saturating_add(*count)) < bound
        });
        expiring.map_or(SPAN, |expired| {
            (newest + BUCKET * expired as u32).saturating_duration_since(now)
        })
    }

    /// Returns the number of buckets that have begun since the newest one that is counted.
    fn elapsed_buckets(&self, now: Instant) -> usize {
        let newest = self.newest.unwrap_or(now);
        let elapsed = now.saturating_duration_since(newest);
        (elapsed.as_nanos() / BUCKET.as_nanos()) as usize
    }
}
