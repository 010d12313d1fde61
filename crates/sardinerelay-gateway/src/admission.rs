//! The queue of generations that wait for room on an engine.
//!
//! The order is by priority, then by the number of running generations of the organisation, then by
//! arrival. A request never overtakes another one of the same service because it is smaller, so
//! that long generations don't starve during a burst on engines that are full. A request that can't
//! be placed before its deadline is refused at once. The time after which its caller should retry
//! follows from the rate at which requests are placed.

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

/// Largest number of requests in a queue, of all services together. Further ones are refused.
const MAX_QUEUE_LEN: usize = 256;
/// Weight of a new sample in the moving average of the interval between placements.
const INTERVAL_WEIGHT: f64 = 0.2;
/// Upper limit of a sample of the interval between placements, in seconds.
const MAX_INTERVAL_SECONDS: f64 = 2.0;
/// Shortest and longest time after which a refused caller is asked to retry.
const RETRY_AFTER_RANGE: [Duration; 2] = [MIN_RETRY_AFTER, Duration::from_secs(8)];
/// Time added to the retry time after a request expired in the queue: engines were full for as long
/// as it waited, and most generations take seconds.
const EXPIRED_RETRY_DELAY: Duration = Duration::from_millis(1200);

/// A request in the queue.
#[derive(Debug, Clone, PartialEq)]
pub struct Waiter {
    /// Number of the request, unique among all entry hosts.
    pub run: RunId,
    /// What its placement depends on.
    pub need: Need,
    /// When it joined the queue.
    pub arrived: Instant,
    /// When it is refused unless it has been placed.
    pub deadline: Instant,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The queue is full, or the requests ahead of it can't all be placed before its deadline.
    #[error("the requests before it leave no room in time")]
    #[serde(rename = "Hopeless")]
    Overloaded,
    /// Its deadline has passed.
    #[error("no room became free in time")]
    Expired,
    /// Its prompt has a part that makes engines crash.
    #[error("a part of its prompt makes engines crash")]
    CrashesEngines,
}

/// Decision about a request in the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// It can run on the chosen engine.
    Placed(Choice),
    /// It is refused. A retry makes sense after this time.
    Refused(RefusalReason, Duration),
}

/// Waiting requests, and the running requests, which are counted for each organisation.
#[derive(Debug)]
pub struct Queue {
    waiters: Vec<Waiter>,
    /// Placed requests that have not ended, and their organisations.
    running: HashMap<RunId, Organisation>,
    /// Number of running requests by organisation. One without any has no entry.
    running_counts: HashMap<Organisation, u32>,
    /// When a request was last placed; `None` before the first time.
    last_placed: Option<Instant>,
    /// Moving average of the seconds between two placements while requests wait.
    mean_interval: f64,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            waiters: Vec::new(),
            running: HashMap::new(),
            running_counts: HashMap::new(),
            last_placed: None,
            mean_interval: 0.1,
        }
    }
}

impl Queue {
    /// Adds a request, unless it can't be placed before its deadline.
    ///
    /// # Errors
    ///
    /// Returns the reason for the refusal, and the time after which a retry makes sense.
    pub fn offer(&mut self, waiter: Waiter, now: Instant) -> Result<(), (RefusalReason, Duration)> {
        let ahead = self.count_ahead(&waiter);
        let expected = Duration::from_secs_f64(ahead as f64 * self.mean_interval);
        if self.waiters.len() >= MAX_QUEUE_LEN || now + expected > waiter.deadline {
            return Err((RefusalReason::Overloaded, self.retry_after(expected)));
        }
        self.waiters.push(waiter);
        Ok(())
    }

    /// Removes a request whose caller has disconnected.
    pub fn withdraw(&mut self, run: RunId) {
        self.waiters.retain(|waiter| waiter.run != run);
    }

    /// Whether a request is in the queue.
    pub fn contains(&self, run: RunId) -> bool {
        self.waiters.iter().any(|waiter| waiter.run == run)
    }

    /// Calls `place` for the requests in order, and refuses those whose deadline has passed. If a
    /// request finds no room and stays in the queue, no later one of its service is tried.
    pub fn decide<Place>(&mut self, now: Instant, mut place: Place) -> Vec<(RunId, Decision)>
    where
        Place: FnMut(&Waiter) -> Option<Choice>,
    {
        let mut decisions = Vec::new();
        self.sort();
        let mut full_services = Vec::new();
        let mut remaining = Vec::new();
        for waiter in std::mem::take(&mut self.waiters) {
            let service = &waiter.need.service;
            let choice = match full_services.contains(service) {
                true => None,
                false => place(&waiter),
            };
            match choice {
                Some(choice) => {
                    self.record_start(waiter.run, waiter.need.organisation);
                    self.update_interval(waiter.arrived, now);
                    decisions.push((waiter.run, Decision::Placed(choice)));
                }
                None if now >= waiter.deadline => {
                    let retry_after = self.retry_after(EXPIRED_RETRY_DELAY);
                    let refused = Decision::Refused(RefusalReason::Expired, retry_after);
                    decisions.push((waiter.run, refused));
                }
                None => {
                    // One that only some targets may run doesn't show that the others are full.
                    if waiter.need.build.is_none() {
                        full_services.push(service.clone());
                    }
                    remaining.push(waiter);
                }
            }
        }
        self.waiters = remaining;
        decisions
    }

    /// Refuses the requests for which `refusal` returns a time to retry after.
    pub fn refuse<Refusal>(
        &mut self,
        reason: RefusalReason,
        refusal: Refusal,
    ) -> Vec<(RunId, Decision)>
    where
        Refusal: Fn(&Need) -> Option<Duration>,
    {
        let mut decisions = Vec::new();
        self.waiters.retain(|waiter| {
            let retry_after = refusal(&waiter.need);
            decisions
                .extend(retry_after.map(|after| (waiter.run, Decision::Refused(reason, after))));
            retry_after.is_none()
        });
        decisions
    }

    /// Records that a placed request has ended.
    pub fn record_end(&mut self, run: RunId) {
        let Some(organisation) = self.running.remove(&run) else {
            return;
        };
        let count = self.running_counts.entry(organisation);
        if let Entry::Occupied(mut count) = count {
            *count.get_mut() -= 1;
            if *count.get() == 0 {
                count.remove();
            }
        }
    }

    fn record_start(&mut self, run: RunId, organisation: Organisation) {
        *self.running_counts.entry(organisation.clone()).or_default() += 1;
        self.running.insert(run, organisation);
    }

    /// Number of requests in the queue.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    fn sort(&mut self) {
        let counts = &self.running_counts;
        self.waiters.sort_by_key(|waiter| {
            let running = counts.get(&waiter.need.organisation).copied();
            let priority = waiter.need.priority;
            (priority, running.unwrap_or_default(), waiter.arrived)
        });
    }

    /// Number of requests that will probably be placed before a new one.
    fn count_ahead(&self, new: &Waiter) -> usize {
        let is_ahead = |waiter: &&Waiter| {
            waiter.need.service == new.need.service && waiter.need.priority <= new.need.priority
        };
        self.waiters.iter().filter(is_ahead).count()
    }

    /// Updates the mean interval between placements. A sample begins at the arrival of the placed
    /// request if that is later than the placement before, so that idle time doesn't count.
    fn update_interval(&mut self, arrived: Instant, now: Instant) {
        let since = self.last_placed.map_or(arrived, |last| last.max(arrived));
        let interval = now.saturating_duration_since(since).as_secs_f64();
        self.mean_interval +=
            INTERVAL_WEIGHT * (interval.min(MAX_INTERVAL_SECONDS) - self.mean_interval);
        self.last_placed = Some(now);
    }

    /// Time until all requests in the queue are placed, plus `expected`, within the allowed range.
    fn retry_after(&self, expected: Duration) -> Duration {
        let queue_time = Duration::from_secs_f64(self.waiters.len() as f64 * self.mean_interval);
        (queue_time + expected).clamp(RETRY_AFTER_RANGE[0], RETRY_AFTER_RANGE[1])
    }
}
