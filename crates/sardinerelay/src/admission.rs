//! Admission queue of an entry host: which request is dispatched next, and which is refused early.
//!
//! Priorities are strict. Within a priority, organisations take turns by deficit round robin
//! weighted by reserved tokens. Within an organisation, requests of low expected cost go first
//! until a costly one has waited for three quarters of its longest wait. A request whose predicted
//! wait is too long is refused at once, with the time after which to retry. See
//! `docs/design/admission.md`.

mod lane;
mod quantile;

pub use quantile::{Objective, Observation, Quantile};

use {
    crate::id::{Generation, Model, Organisation},
    lane::{Lane, QueuedRequest, Search},
    std::{
        collections::{BTreeMap, HashMap},
        time::{Duration, Instant},
    },
};

/// Maximum number of requests offered to the targets in one call of [`Queue::next`], which bounds
/// its duration.
const MAX_PLACEMENT_ATTEMPTS: usize = 6;
/// Shortest time after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time after which a refused caller is asked to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(120);

/// What the queue has to know about a request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Identifies the attempt; a retry is a new request with its own generation.
    pub generation: Generation,
    /// The calling organisation. Organisations with requests of the same priority take turns.
    pub organisation: Organisation,
    /// The model name as the caller sent it.
    pub model: Model,
    /// Priority; 0 comes first.
    pub priority: u8,
    /// The longest time that the request may wait.
    pub max_wait: Duration,
    /// Tokens of the prompt and of the chosen quantile of the output length.
    pub reserved_tokens: u64,
    /// Expected use of memory over time: the tokens held at each generated token, summed up.
    pub cost: f64,
}

/// Result of [`Queue::offer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// The request waits.
    Queued,
    /// The request was refused and did not run.
    Refused(Refusal),
}

/// Why the queue refused a request. It did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The queue already holds as many requests as may wait on this host.
    #[error("the queue is full, retry after {} s", retry_after.as_secs())]
    QueueFull {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
    /// The predicted wait exceeds the accepted share of the class's longest wait.
    #[error("the predicted wait is too long, retry after {} s", retry_after.as_secs())]
    WaitTooLong {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
    /// The request waited for the class's longest wait without being dispatched.
    #[error("no target had room within the longest wait, retry after {} s", retry_after.as_secs())]
    Expired {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
}

/// The waiting requests of one entry host.
#[derive(Debug)]
pub struct Queue {
    lanes: BTreeMap<u8, Lane>,
    /// Priority and organisation of each waiting request, by which its lane and flow are found.
    waiting: HashMap<Generation, (u8, Organisation)>,
    max_waiting: usize,
    rates_updated_at: Instant,
}

impl Queue {
    /// Creates an empty queue that holds at most `max_waiting` requests.
    pub fn new(max_waiting: usize, now: Instant) -> Self {
        Self {
            lanes: BTreeMap::new(),
            waiting: HashMap::new(),
            max_waiting,
            rates_updated_at: now,
        }
    }

    /// Queues the request, or refuses it if the queue is full or the predicted wait too long.
    pub fn offer(&mut self, request: Request, now: Instant) -> Offer {
        self.update_rates(now);
        let wait = self.predicted_wait(&request);
        let lane = self.lanes.entry(request.priority).or_default();
        let excess = wait.saturating_sub(request.max_wait.mul_f64(lane.max_wait_share(&request)));
        let retry_after = excess.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        if self.waiting.len() >= self.max_waiting {
            return Offer::Refused(Refusal::QueueFull { retry_after });
        }
        if excess > Duration::ZERO {
            return Offer::Refused(Refusal::WaitTooLong { retry_after });
        }
        let lane_and_flow = (request.priority, request.organisation.clone());
        self.waiting.insert(request.generation, lane_and_flow);
        self.lanes
            .entry(request.priority)
            .or_default()
            .push(QueuedRequest {
                request,
                queued_at: now,
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

    /// Offers waiting requests to `place` in the order of dispatch. Removes and returns the first
    /// one that it places, with the result of `place`.
    pub fn next<T, F>(&mut self, now: Instant, mut place: F) -> Option<(Request, T)>
    where
        F: FnMut(&Request) -> Option<T>,
    {
        self.update_rates(now);
        let mut search = Search {
            attempts_left: MAX_PLACEMENT_ATTEMPTS,
            blocked_models: Vec::new(),
        };
        for lane in self.lanes.values_mut().filter(|lane| !lane.is_empty()) {
            if let Some((request, placed)) = lane.next(now, &mut search, &mut place) {
                self.waiting.remove(&request.generation);
                return Some((request, placed));
            }
        }
        None
    }

    /// Updates the service rates, and removes and returns the requests that have waited too long.
    pub fn tick(&mut self, now: Instant) -> Vec<(Request, Refusal)> {
        self.update_rates(now);
        let mut expired = Vec::new();
        for lane in self.lanes.values_mut() {
            lane.expire(now, &mut expired);
        }
        let mut refused = Vec::with_capacity(expired.len());
        for request in expired {
            self.waiting.remove(&request.generation);
            let retry_after = self
                .predicted_wait(&request)
                .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
            refused.push((request, Refusal::Expired { retry_after }));
        }
        refused
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Predicts the wait of a new request from the tokens ahead of it and the recent service rate
    /// of its priority. Zero as long as nothing waits or no rate is known.
    pub fn predicted_wait(&self, request: &Request) -> Duration {
        let Some(lane) = self.lanes.get(&request.priority) else {
            return Duration::ZERO;
        };
        let tokens_ahead = lane.tokens_ahead(request);
        match lane.rate() {
            Some(rate) if tokens_ahead > 0.0 => {
                Duration::try_from_secs_f64(tokens_ahead / rate.max(1e-3)).unwrap_or(Duration::MAX)
            }
            _ => Duration::ZERO,
        }
    }

    fn update_rates(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.rates_updated_at);
        if elapsed.is_zero() {
            return;
        }
        self.rates_updated_at = now;
        for lane in self.lanes.values_mut() {
            lane.update_rates(elapsed);
        }
    }
}
