//! The queue of an entry host: who is dispatched next, and who is refused early.
//!
//! Priorities are strict. Within a priority, organisations take turns by deficit round robin
//! weighted by reserved tokens, and within a turn short requests go before long ones until the
//! long one has waited for half of its longest wait. A request whose predicted wait exceeds its
//! longest wait is refused at once, with the time after which a retry makes sense. See
//! `docs/design/admission.md`.

mod lane;
mod quantile;

pub use quantile::{Objective, Observation, Quantile};

use {
    crate::id::{Generation, Model, Organisation},
    lane::{Item, Lane, Search},
    std::{
        collections::{BTreeMap, HashMap},
        time::{Duration, Instant},
    },
};

/// Requests offered to the targets in one call of [`Queue::next`].
const ATTEMPTS: usize = 6;
/// Shortest time after which a refused caller is asked to retry.
const MIN_RETRY: Duration = Duration::from_secs(1);
/// Longest time after which a refused caller is asked to retry.
const MAX_RETRY: Duration = Duration::from_secs(120);

/// A request as the queue sees it.
#[derive(Debug, Clone)]
pub struct Request {
    /// The attempt's generation.
    pub generation: Generation,
    /// The calling organisation.
    pub organisation: Organisation,
    /// The model asked for.
    pub model: Model,
    /// Priority; 0 comes first.
    pub priority: u8,
    /// The longest time to wait.
    pub max_wait: Duration,
    /// Prompt and the chosen quantile of the output length.
    pub reserved_tokens: u64,
    /// Expected use of memory: tokens held, summed over the tokens generated.
    pub cost: f64,
}

/// Answer to an offered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// The request waits.
    Queued,
    /// The request was refused and did not run.
    Refused(Refusal),
}

/// Why a request is not served. It did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The queue is full.
    #[error("the queue is full, retry after {} s", retry_after.as_secs())]
    QueueFull {
        /// When a retry makes sense.
        retry_after: Duration,
    },
    /// The predicted wait exceeds the class's longest wait.
    #[error("the predicted wait is too long, retry after {} s", retry_after.as_secs())]
    WaitTooLong {
        /// When a retry makes sense.
        retry_after: Duration,
    },
    /// The request waited for the class's longest wait.
    #[error("no target had room within the longest wait, retry after {} s", retry_after.as_secs())]
    Expired {
        /// When a retry makes sense.
        retry_after: Duration,
    },
}

/// The waiting requests of one entry host.
#[derive(Debug)]
pub struct Queue {
    lanes: BTreeMap<u8, Lane>,
    waiting: HashMap<Generation, (u8, Organisation)>,
    limit: usize,
    measured: Instant,
}

impl Queue {
    /// An empty queue that holds at most `limit` requests.
    pub fn new(limit: usize, now: Instant) -> Self {
        Self {
            lanes: BTreeMap::new(),
            waiting: HashMap::new(),
            limit,
            measured: now,
        }
    }

    /// Queues the request, or refuses it early.
    pub fn offer(&mut self, request: Request, now: Instant) -> Offer {
        self.measure(now);
        let wait = self.predicted_wait(&request);
        let lane = self.lanes.entry(request.priority).or_default();
        let over = wait.saturating_sub(request.max_wait.mul_f64(lane.patience(&request)));
        let retry_after = over.clamp(MIN_RETRY, MAX_RETRY);
        if self.waiting.len() >= self.limit {
            return Offer::Refused(Refusal::QueueFull { retry_after });
        }
        if over > Duration::ZERO {
            return Offer::Refused(Refusal::WaitTooLong { retry_after });
        }
        let place = (request.priority, request.organisation.clone());
        self.waiting.insert(request.generation, place);
        self.lanes.entry(request.priority).or_default().push(Item {
            request,
            since: now,
        });
        Offer::Queued
    }

    /// Removes a request whose caller has disconnected. Returns whether it was waiting.
    pub fn withdraw(&mut self, generation: Generation) -> bool {
        let Some((priority, organisation)) = self.waiting.remove(&generation) else {
            return false;
        };
        self.lanes
            .get_mut(&priority)
            .is_some_and(|lane| lane.remove(generation, &organisation))
    }

    /// Offers waiting requests to `place` in order and returns the first that it places.
    pub fn next<T, F>(&mut self, now: Instant, mut place: F) -> Option<(Request, T)>
    where
        F: FnMut(&Request) -> Option<T>,
    {
        self.measure(now);
        let mut search = Search {
            attempts: ATTEMPTS,
            blocked: Vec::new(),
        };
        for lane in self.lanes.values_mut().filter(|lane| !lane.is_empty()) {
            if let Some((request, placed)) = lane.next(now, &mut search, &mut place) {
                self.waiting.remove(&request.generation);
                return Some((request, placed));
            }
        }
        None
    }

    /// Updates the rate and returns the requests that have waited too long.
    pub fn tick(&mut self, now: Instant) -> Vec<(Request, Refusal)> {
        self.measure(now);
        let mut expired = Vec::new();
        for lane in self.lanes.values_mut() {
            lane.expire(now, &mut expired);
        }
        let mut refused = Vec::with_capacity(expired.len());
        for request in expired {
            self.waiting.remove(&request.generation);
            let retry_after = self.predicted_wait(&request).clamp(MIN_RETRY, MAX_RETRY);
            refused.push((request, Refusal::Expired { retry_after }));
        }
        refused
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The wait that a new request would have, from the tokens ahead of it and the rate at which
    /// its priority was served lately. Zero as long as nothing waits or no rate is known.
    pub fn predicted_wait(&self, request: &Request) -> Duration {
        let Some(lane) = self.lanes.get(&request.priority) else {
            return Duration::ZERO;
        };
        let ahead = lane.ahead(request);
        match lane.rate() {
            Some(rate) if ahead > 0.0 => {
                Duration::try_from_secs_f64(ahead / rate.max(1e-3)).unwrap_or(Duration::MAX)
            }
            _ => Duration::ZERO,
        }
    }

    fn measure(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.measured);
        if elapsed.is_zero() {
            return;
        }
        self.measured = now;
        for lane in self.lanes.values_mut() {
            lane.measure(elapsed);
        }
    }
}
