//! Generations that wait for room, and who goes first.
//!
//! Load pattern that it answers: a burst of long generations on engines that are full. The order
//! is by priority, then by how much the organisation has running, then by arrival, and nobody is
//! overtaken by a smaller request of the same rank, so that long ones don't starve. A request
//! that can't be placed in its time is refused at once, with a time to come back that follows
//! from the rate at which room becomes free.

use {
    crate::{
        placement::{Choice, MIN_RETRY_AFTER, Need},
        targets::RunId,
    },
    sardinerelay::id::Organisation,
    serde::{Deserialize, Serialize},
    std::{
        collections::{HashMap, hash_map::Entry},
        time::{Duration, Instant},
    },
    thiserror::Error,
};

/// Requests that wait on one host at most.
const MOST_WAITING: usize = 256;
/// Weight of a new interval in the mean interval between placements.
const WEIGHT: f64 = 0.2;
/// Longest mean interval between placements, in seconds.
const SLOWEST: f64 = 2.0;
/// Least and longest time after which a refused caller should come back.
const RETRY: [Duration; 2] = [MIN_RETRY_AFTER, Duration::from_secs(8)];

/// Time beside the queue's after which a caller should come back that waited in vain: engines were
/// full for all of its wait, and most generations take seconds.
const EXPIRED_RETRY: Duration = Duration::from_millis(1200);

/// A request that waits.
#[derive(Debug, Clone, PartialEq)]
pub struct Waiter {
    /// Its number.
    pub run: RunId,
    /// What it needs.
    pub need: Need,
    /// When it came.
    pub arrived: Instant,
    /// Until when it may wait.
    pub deadline: Instant,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Refusal {
    /// Too many wait already, or more than can be placed in its time.
    #[error("the requests before it leave no room in time")]
    #[serde(rename = "Hopeless")]
    Overloaded,
    /// Its time to wait has passed.
    #[error("no room became free in time")]
    Expired,
}

/// What becomes of a waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// It goes to an engine.
    Placed(Choice),
    /// It is refused; it should come back after this time.
    Refused(Refusal, Duration),
}

/// Waiting requests.
#[derive(Debug)]
pub struct Queue {
    waiting: Vec<Waiter>,
    running: HashMap<RunId, Organisation>,
    /// Number of running requests by organisation.
    counts: HashMap<Organisation, u32>,
    placed: Option<Instant>,
    /// Mean seconds between two placements while requests waited.
    interval: f64,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
            running: HashMap::new(),
            counts: HashMap::new(),
            placed: None,
            interval: 0.1,
        }
    }
}

impl Queue {
    /// Adds a request, unless it is hopeless.
    ///
    /// # Errors
    ///
    /// The refusal, and when the caller should come back.
    pub fn offer(&mut self, waiting: Waiter, now: Instant) -> Result<(), (Refusal, Duration)> {
        let before = self.before(&waiting);
        let expected = Duration::from_secs_f64(before as f64 * self.interval);
        if self.waiting.len() >= MOST_WAITING || now + expected > waiting.deadline {
            return Err((Refusal::Overloaded, self.retry_after(expected)));
        }
        self.waiting.push(waiting);
        Ok(())
    }

    /// Removes a request whose caller has left.
    pub fn withdraw(&mut self, run: RunId) {
        self.waiting.retain(|waiting| waiting.run != run);
    }

    /// Whether a request waits.
    pub fn contains(&self, run: RunId) -> bool {
        self.waiting.iter().any(|waiting| waiting.run == run)
    }

    /// Places what can be placed and refuses what has waited for too long.
    pub fn decide<Place>(&mut self, now: Instant, mut place: Place) -> Vec<(RunId, Decision)>
    where
        Place: FnMut(&Waiter) -> Option<Choice>,
    {
        let mut decisions = Vec::new();
        self.sort();
        let mut full = Vec::new();
        let mut left = Vec::new();
        for waiting in std::mem::take(&mut self.waiting) {
            let service = &waiting.need.service;
            let choice = match full.contains(service) {
                true => None,
                false => place(&waiting),
            };
            match choice {
                Some(choice) => {
                    self.started(waiting.run, waiting.need.organisation);
                    self.note_placement(waiting.arrived, now);
                    decisions.push((waiting.run, Decision::Placed(choice)));
                }
                None if now >= waiting.deadline => {
                    let retry = self.retry_after(EXPIRED_RETRY);
                    let refused = Decision::Refused(Refusal::Expired, retry);
                    decisions.push((waiting.run, refused));
                }
                None => {
                    full.push(service.clone());
                    left.push(waiting);
                }
            }
        }
        self.waiting = left;
        decisions
    }

    /// Records that a placed request has ended.
    pub fn record_end(&mut self, run: RunId) {
        let Some(organisation) = self.running.remove(&run) else {
            return;
        };
        let count = self.counts.entry(organisation);
        if let Entry::Occupied(mut count) = count {
            *count.get_mut() -= 1;
            if *count.get() == 0 {
                count.remove();
            }
        }
    }

    fn started(&mut self, run: RunId, organisation: Organisation) {
        *self.counts.entry(organisation.clone()).or_default() += 1;
        self.running.insert(run, organisation);
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn sort(&mut self) {
        let running = &self.counts;
        self.waiting.sort_by_key(|waiting| {
            let running = running.get(&waiting.need.organisation).copied();
            let priority = waiting.need.priority;
            (priority, running.unwrap_or_default(), waiting.arrived)
        });
    }

    fn before(&self, new: &Waiter) -> usize {
        let same = |waiting: &&Waiter| {
            waiting.need.service == new.need.service && waiting.need.priority <= new.need.priority
        };
        self.waiting.iter().filter(same).count()
    }

    /// Learns the rate of placements from requests that had to wait.
    fn note_placement(&mut self, arrived: Instant, now: Instant) {
        let since = self.placed.map_or(arrived, |placed| placed.max(arrived));
        let interval = now.saturating_duration_since(since).as_secs_f64();
        self.interval += WEIGHT * (interval.min(SLOWEST) - self.interval);
        self.placed = Some(now);
    }

    /// Time until the requests that wait by now are placed.
    fn retry_after(&self, expected: Duration) -> Duration {
        let queue = Duration::from_secs_f64(self.waiting.len() as f64 * self.interval);
        (queue + expected).clamp(RETRY[0], RETRY[1])
    }
}
