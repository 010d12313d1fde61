//! The queue of one priority, with deficit round robin among organisations.
//!
//! Each organisation's waiting requests form a flow. A flow may dispatch a request once its
//! deficit covers the request's reserved tokens; each round adds a quantum to the deficit.

use {
    super::Request,
    crate::{
        id::{Generation, Model, Organisation},
        rate::Average,
    },
    std::{
        collections::{BTreeMap, VecDeque},
        time::{Duration, Instant},
    },
};

/// Share of its longest wait after which a request is overdue. It then goes before all others of
/// its organisation.
const OVERDUE_WAIT_SHARE: f64 = 0.75;
/// Tokens that each round adds to a flow's deficit.
const QUANTUM_TOKENS: f64 = 2_000.0;

/// A request and the time since which it waits.
#[derive(Debug)]
pub(super) struct QueuedRequest {
    pub(super) request: Request,
    pub(super) queued_at: Instant,
}

impl QueuedRequest {
    /// Returns the rank within the flow; the lowest goes first. The weight of the expected cost
    /// falls with age, and an overdue request goes first whatever its cost.
    fn rank(&self, now: Instant) -> f64 {
        let overdue_age = self.request.max_wait.as_secs_f64() * OVERDUE_WAIT_SHARE;
        let age = now.saturating_duration_since(self.queued_at).as_secs_f64();
        if age >= overdue_age {
            return overdue_age - age;
        }
        self.request.cost * (1.0 - (age / overdue_age).powi(2))
    }

    fn is_overdue(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.queued_at)
            >= self.request.max_wait.mul_f64(OVERDUE_WAIT_SHARE)
    }
}

/// The waiting requests of one organisation.
#[derive(Debug, Default)]
struct Flow {
    /// Tokens that the flow may still dispatch.
    deficit: f64,
    /// Reserved tokens of all waiting requests.
    reserved_tokens: f64,
    requests: Vec<QueuedRequest>,
}

/// Share of its longest wait up to which a request of average cost is accepted.
const AVERAGE_COST_WAIT_SHARE: f64 = 0.5;
/// Share of its longest wait up to which a request of any cost is accepted.
const MIN_WAIT_SHARE: f64 = 0.05;
/// Weight of one request in the moving average of the cost.
const AVERAGE_COST_WEIGHT: f64 = 0.02;

/// Reserved tokens dispatched per second. While requests wait, the rate is limited by the targets'
/// free memory; at other times by what callers ask for, which is a lower bound. The larger of the
/// two is used, because a single request that waits for memory says little about the others.
#[derive(Debug, Default)]
struct ServiceRate {
    /// The rate while requests wait.
    backlogged: Average,
    /// The rate at all times.
    overall: Average,
}

/// The waiting requests of one priority, by organisation.
#[derive(Debug, Default)]
pub(super) struct Lane {
    /// Organisations with waiting requests, in round-robin order.
    active: VecDeque<Organisation>,
    flows: BTreeMap<Organisation, Flow>,
    /// Whether the flow in front has received its quantum in this round.
    quantum_added: bool,
    rate: ServiceRate,
    /// Moving average of the cost of offered requests.
    average_cost: f64,
}

impl Lane {
    pub(super) fn is_empty(&self) -> bool {
        self.active.is_empty()
    }

    pub(super) fn push(&mut self, queued: QueuedRequest) {
        let name = &queued.request.organisation;
        if !self.flows.contains_key(name) {
            self.active.push_back(name.clone());
        }
        let flow = self.flows.entry(name.clone()).or_default();
        flow.reserved_tokens += queued.request.reserved_tokens as f64;
        flow.requests.push(queued);
    }

    /// Returns the expected service rate in reserved tokens per second, or `None` as long as no
    /// request has waited.
    pub(super) fn rate(&self) -> Option<f64> {
        let overall = self.rate.overall.value().unwrap_or(0.0);
        self.rate.backlogged.value().map(|rate| rate.max(overall))
    }

    /// Adds the time since the last call to the service rates.
    pub(super) fn update_rates(&mut self, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        self.rate.overall.advance(seconds);
        if !self.active.is_empty() {
            self.rate.backlogged.advance(seconds);
        }
    }

    /// Returns the share of its longest wait up to which the predicted wait of a request is
    /// accepted, and adds the request to the average cost. The share falls steeply with the
    /// request's cost. Under overload, requests that hold more memory than the average are
    /// therefore refused first, which leaves more memory for the others.
    pub(super) fn max_wait_share(&mut self, request: &Request) -> f64 {
        if self.average_cost == 0.0 {
            self.average_cost = request.cost;
        }
        self.average_cost += AVERAGE_COST_WEIGHT * (request.cost - self.average_cost);
        let relative = self.average_cost / request.cost.max(1.0);
        (AVERAGE_COST_WAIT_SHARE * relative.powi(5)).clamp(MIN_WAIT_SHARE, 1.0)
    }

    /// Returns the tokens that are served before a new request: those of its own organisation's
    /// requests that cost no more and, because of round robin, at most as many of each other
    /// organisation as of its own, the new request included.
    pub(super) fn tokens_ahead(&self, request: &Request) -> f64 {
        let cheaper: f64 = self.flows.get(&request.organisation).map_or(0.0, |flow| {
            flow.requests
                .iter()
                .filter(|queued| queued.request.cost <= request.cost)
                .map(|queued| queued.request.reserved_tokens as f64)
                .sum()
        });
        let own = cheaper + request.reserved_tokens as f64;
        let others: f64 = self
            .flows
            .iter()
            .filter(|(name, _)| **name != request.organisation)
            .map(|(_, flow)| flow.reserved_tokens.min(own))
            .sum();
        cheaper + others
    }

    /// Offers requests to `place` in round-robin order until one is placed. An overdue request that
    /// doesn't fit blocks its model: no other request of the model is placed before it, so that
    /// memory for it becomes free.
    pub(super) fn next<T, F>(
        &mut self,
        now: Instant,
        search: &mut Search,
        place: &mut F,
    ) -> Option<(Request, T)>
    where
        F: FnMut(&Request) -> Option<T>,
    {
        let mut skipped = 0;
        while skipped < self.active.len() && search.attempts_left > 0 {
            let name = self.active.front()?.clone();
            let flow = self.flows.get_mut(&name)?;
            let Some(index) = flow.next_index(now, &search.blocked_models) else {
                self.rotate();
                skipped += 1;
                continue;
            };
            let tokens = flow.requests[index].request.reserved_tokens as f64;
            if tokens > flow.deficit {
                if self.quantum_added {
                    self.rotate();
                } else {
                    flow.deficit += QUANTUM_TOKENS;
                    self.quantum_added = true;
                }
                continue;
            }
            search.attempts_left -= 1;
            let queued = &flow.requests[index];
            if let Some(placed) = place(&queued.request) {
                flow.deficit -= tokens;
                flow.reserved_tokens -= tokens;
                let queued = flow.requests.swap_remove(index);
                if queued.queued_at < now || self.active.len() > 1 || !flow.requests.is_empty() {
                    self.rate.backlogged.add(tokens);
                }
                self.rate.overall.add(tokens);
                if flow.requests.is_empty() {
                    self.remove_flow(&name);
                }
                return Some((queued.request, placed));
            }
            if queued.is_overdue(now) {
                search.blocked_models.push(queued.request.model.clone());
                continue;
            }
            self.rotate();
            skipped += 1;
        }
        None
    }

    pub(super) fn remove(&mut self, generation: Generation, organisation: &str) -> bool {
        let Some(flow) = self.flows.get_mut(organisation) else {
            return false;
        };
        let Some(index) = flow
            .requests
            .iter()
            .position(|queued| queued.request.generation == generation)
        else {
            return false;
        };
        let queued = flow.requests.swap_remove(index);
        flow.reserved_tokens -= queued.request.reserved_tokens as f64;
        if flow.requests.is_empty() {
            self.remove_flow(organisation);
        }
        true
    }

    /// Removes the requests that have waited too long.
    pub(super) fn expire(&mut self, now: Instant, expired: &mut Vec<Request>) {
        let names: Vec<_> = self.active.iter().cloned().collect();
        for name in names {
            let Some(flow) = self.flows.get_mut(&name) else {
                continue;
            };
            let is_expired = |queued: &mut QueuedRequest| {
                now.saturating_duration_since(queued.queued_at) >= queued.request.max_wait
            };
            for queued in flow.requests.extract_if(.., is_expired) {
                flow.reserved_tokens -= queued.request.reserved_tokens as f64;
                expired.push(queued.request);
            }
            if flow.requests.is_empty() {
                self.remove_flow(&name);
            }
        }
    }

    /// Moves on to the next organisation.
    fn rotate(&mut self) {
        self.active.rotate_left(1);
        self.quantum_added = false;
    }

    fn remove_flow(&mut self, organisation: &str) {
        if self.active.front().is_some_and(|name| name == organisation) {
            self.quantum_added = false;
        }
        self.flows.remove(organisation);
        self.active.retain(|name| name != organisation);
    }
}

impl Flow {
    /// Returns the index of the request with the lowest rank whose model is not blocked.
    fn next_index(&self, now: Instant, blocked_models: &[Model]) -> Option<usize> {
        self.requests
            .iter()
            .enumerate()
            .filter(|(_, queued)| !blocked_models.contains(&queued.request.model))
            .map(|(index, queued)| (index, queued.rank(now)))
            .min_by(|left, right| left.1.total_cmp(&right.1))
            .map(|(index, _)| index)
    }
}

/// Progress of one search over all lanes.
pub(super) struct Search {
    /// Requests that may still be offered to the targets.
    pub(super) attempts_left: usize,
    /// Models of which an overdue request waits for memory.
    pub(super) blocked_models: Vec<Model>,
}
