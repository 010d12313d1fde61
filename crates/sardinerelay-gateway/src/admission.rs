//! The queue of generations that wait for room on an engine.
//!
//! The order is by priority, then by the virtual time of the organisation, then by arrival; a less
//! urgent priority that is owed its guaranteed share goes first. A request that finds no room
//! doesn't stop smaller ones, but engines are kept for it. A request that can't be placed before
//! its deadline is refused at once. See `docs/design/fair-shares.md`.

mod order;
mod search;
mod service;
mod slots;

pub use self::search::Reserved;

use {
    self::{
        search::{Search, Standing, Waiting},
        service::Service,
    },
    crate::{
        group::RunningRequest,
        placement::{Choice, Need},
        targets::{RunId, instant_before},
    },
    sardinerelay::{
        fairness::{Clock, Cost, expected_duration},
        id::{self, Organisation, Target},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeSet, HashMap},
        time::{Duration, Instant},
    },
    thiserror::Error,
};

/// Largest number of requests in a queue, of all services together. Further ones are refused.
const MAX_QUEUE_LEN: usize = 256;
/// Largest number of services whose state is kept. Services come and go with configurations.
const MAX_SERVICES: usize = 256;
/// Duration from which a generation has to leave memory to more urgent requests. Shorter ones free
/// theirs within the time for which an urgent request may wait.
const LONG_DURATION: Duration = Duration::from_secs(1);
/// Largest number of running requests from which others are no longer taken over from other hosts.
const MAX_RUNNING: usize = 65_536;
/// Interval at which the costs of running requests are corrected.
const CORRECTION_INTERVAL: Duration = Duration::from_secs(1);

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

impl Waiter {
    /// Whether half of its waiting time has passed.
    fn is_overdue(&self, now: Instant) -> bool {
        now >= self.arrived + self.deadline.saturating_duration_since(self.arrived) / 2
    }
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

/// Waiting requests, and what the running ones cost their organisations.
#[derive(Debug, Default)]
pub struct Queue {
    waiters: Vec<Queued>,
    /// Placed requests that have not ended.
    running: HashMap<RunId, Running>,
    clock: Clock,
    services: HashMap<id::Service, Service>,
    /// Refusals of requests that made room for others in the queue.
    displaced: Vec<(RunId, Decision)>,
    /// When the costs of running requests were last corrected.
    corrected: Option<Instant>,
}

/// A request in the queue, with its place among those of its organisation.
#[derive(Debug)]
struct Queued {
    waiter: Waiter,
    /// When it arrived, or when the refused request did whose place it took.
    since: Instant,
}

/// A placed request that has not ended.
#[derive(Debug)]
struct Running {
    service: id::Service,
    organisation: Organisation,
    priority: u8,
    prompt: u64,
    output: u64,
    since: Instant,
    /// What its organisation was charged.
    charged: Cost,
}

impl Queue {
    /// Sets the weights of organisations. The weight of others is 1.
    pub fn set_weights(&mut self, weights: HashMap<Organisation, f64>) {
        self.clock.set_weights(weights);
    }

    /// Adds a request, unless it can't be placed before its deadline. If the queue is full, the
    /// request that would be placed last is refused.
    ///
    /// # Errors
    ///
    /// Returns the reason for the refusal, and the time after which a retry makes sense.
    pub fn offer(&mut self, waiter: Waiter, now: Instant) -> Result<(), (RefusalReason, Duration)> {
        let need = &waiter.need;
        let flow = (need.priority, &need.organisation);
        let size = (need.prompt_tokens, need.output_tokens);
        let service = self.service(&need.service);
        service.demand.record(need.priority, size, now);
        let refused = service.slots.redeem(flow, now);
        let (run, deadline, organisation) =
            (waiter.run, waiter.deadline, need.organisation.clone());
        let priority = need.priority;
        self.clock.join(priority, &organisation, now);
        let since = refused.unwrap_or(waiter.arrived);
        self.waiters.push(Queued { waiter, since });
        let expected = self.expected_wait(run);
        let is_late = now + expected > deadline;
        if !is_late && self.waiters.len() <= MAX_QUEUE_LEN {
            return Ok(());
        }
        let last = self.order().last().copied();
        let last = last.filter(|_| !is_late);
        let removed = self
            .waiters
            .swap_remove(last.unwrap_or(self.waiters.len() - 1));
        let retry_after = self.dismiss(&removed.waiter, expected, now);
        if removed.waiter.run == run {
            return Err((RefusalReason::Overloaded, retry_after));
        }
        let refused = Decision::Refused(RefusalReason::Overloaded, retry_after);
        self.displaced.push((removed.waiter.run, refused));
        Ok(())
    }

    /// Removes a request whose caller has disconnected.
    pub fn withdraw(&mut self, run: RunId) {
        let clock = &mut self.clock;
        self.waiters.retain(|Queued { waiter, .. }| {
            let is_withdrawn = waiter.run == run;
            if is_withdrawn {
                clock.leave(waiter.need.priority, &waiter.need.organisation);
            }
            !is_withdrawn
        });
    }

    /// Whether a request is in the queue.
    pub fn contains(&self, run: RunId) -> bool {
        self.waiters.iter().any(|queued| queued.waiter.run == run)
    }

    /// Calls `place` for the requests in order, and refuses those whose deadline has passed.
    /// `place` gets what it has to leave to other requests. If a request finds no room, it returns
    /// the engines that will have room for it first, as many as are to be kept.
    pub fn decide<Place>(&mut self, now: Instant, mut place: Place) -> Vec<(RunId, Decision)>
    where
        Place: FnMut(&Waiter, &Reserved) -> Result<Choice, Vec<Target>>,
    {
        self.correct(now);
        let mut decisions = std::mem::take(&mut self.displaced);
        for service in self.services.values_mut() {
            service.update_rate(now);
        }
        let mut searches: HashMap<id::Service, Search> = HashMap::new();
        let mut waiting = Waiting::new(self.waiters.iter().map(|queued| &queued.waiter.need));
        let mut done = BTreeSet::new();
        for (index, is_owed) in self.order_with_owed(now) {
            let waiter = &self.waiters[index].waiter;
            let search = searches.entry(waiter.need.service.clone()).or_default();
            let standing = waiting.standing(&waiter.need, is_owed);
            let placed = self.try_place(waiter, (search, standing), now, &mut place);
            if placed.is_none() && now < waiter.deadline {
                continue;
            }
            let waiter = waiter.clone();
            waiting.remove(&waiter.need);
            let decision = match placed {
                Some(choice) => {
                    self.record_start(&waiter, now);
                    Decision::Placed(choice)
                }
                None => {
                    let retry_after = self.dismiss(&waiter, Duration::ZERO, now);
                    Decision::Refused(RefusalReason::Expired, retry_after)
                }
            };
            decisions.push((waiter.run, decision));
            done.insert(index);
        }
        let mut index = 0;
        self.waiters.retain(|_| {
            index += 1;
            !done.contains(&(index - 1))
        });
        for (name, service) in &mut self.services {
            let mut waiters = self.waiters.iter();
            let is_waiting = waiters.any(|queued| queued.waiter.need.service == *name);
            service.set_waiting(is_waiting, now);
        }
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
        let clock = &mut self.clock;
        self.waiters.retain(|Queued { waiter, .. }| {
            let retry_after = refusal(&waiter.need);
            if let Some(after) = retry_after {
                clock.leave(waiter.need.priority, &waiter.need.organisation);
                decisions.push((waiter.run, Decision::Refused(reason, after)));
            }
            retry_after.is_none()
        });
        decisions
    }

    /// Records that a placed request has ended, and charges its organisation what it held.
    pub fn record_end(&mut self, run: RunId, now: Instant) {
        if let Some(ended) = self.running.remove(&run) {
            let real = ended.held(now);
            let flow = (ended.priority, &ended.organisation);
            self.clock.settle(flow.0, flow.1, (ended.charged, real));
            if let Some(service) = self.services.get_mut(&ended.service) {
                let ran = (real.0 / ended.charged.0.max(1.0)).min(1.0);
                service.record_end(ended.prompt + ended.output, ran);
            }
        }
    }

    /// Takes over a running request that another host placed, and charges its organisation. One that
    /// is known already is not charged again.
    pub fn adopt(&mut self, report: &RunningRequest, now: Instant) {
        if self.running.contains_key(&report.run) || self.running.len() >= MAX_RUNNING {
            return;
        }
        let charged = Cost::expected(report.prompt_tokens, report.output_tokens);
        self.clock
            .charge(report.priority, &report.organisation, charged, now);
        let running = Running {
            service: report.service.clone(),
            organisation: report.organisation.clone(),
            priority: report.priority,
            prompt: report.prompt_tokens,
            output: report.output_tokens,
            since: instant_before(now, report.age_ms),
            charged,
        };
        self.running.insert(report.run, running);
    }

    /// Returns what the organisation is charged for its running requests, in token-seconds.
    pub fn running_cost(&self, organisation: &str) -> f64 {
        let running = self.running.values();
        let running = running.filter(|running| running.organisation == organisation);
        running.map(|running| running.charged.0).sum()
    }

    /// Number of requests in the queue.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Tries to place a request, unless it is known to find no room.
    fn try_place<Place>(
        &self,
        waiter: &Waiter,
        (search, standing): (&mut Search, Standing),
        now: Instant,
        place: &mut Place,
    ) -> Option<Choice>
    where
        Place: FnMut(&Waiter, &Reserved) -> Result<Choice, Vec<Target>>,
    {
        let need = &waiter.need;
        if search.has_failed_alike(need) {
            return None;
        }
        let demand = self.services.get(&need.service).map(|found| &found.demand);
        let headroom = match is_long(need) && !standing.is_owed {
            true => demand.and_then(|demand| demand.headroom(need.priority, now)),
            false => None,
        };
        let reserved = search.reserved(waiter, standing, headroom, now);
        match place(waiter, &reserved) {
            Ok(choice) => Some(choice),
            Err(engines) => {
                search.record_failure(waiter, (standing, &reserved), engines, now);
                None
            }
        }
    }

    /// Records that a request of the queue was placed.
    fn record_start(&mut self, waiter: &Waiter, now: Instant) {
        let need = &waiter.need;
        let charged = cost(need);
        self.clock.leave(need.priority, &need.organisation);
        self.clock
            .charge(need.priority, &need.organisation, charged, now);
        let waiting = self.waiters.iter().map(|queued| &queued.waiter.need);
        let waiting = waiting.filter(|other| other.service == need.service);
        let waiting: BTreeSet<u8> = waiting.map(|other| other.priority).collect();
        let waiting: Vec<u8> = waiting.into_iter().collect();
        let service = self.service(&need.service);
        service.guarantee.record(need.priority, charged, &waiting);
        service.record_placement(need);
        let running = Running {
            service: need.service.clone(),
            organisation: need.organisation.clone(),
            priority: need.priority,
            prompt: need.prompt_tokens,
            output: need.output_tokens,
            since: now,
            charged,
        };
        self.running.insert(waiter.run, running);
    }

    /// Records that a request leaves the queue without being placed. Returns the time after which
    /// its caller should retry.
    fn dismiss(&mut self, waiter: &Waiter, expected: Duration, now: Instant) -> Duration {
        let need = &waiter.need;
        self.clock.leave(need.priority, &need.organisation);
        let service = self.service(&need.service);
        let per_request = service.time_to_free(need.total_tokens());
        let flow = (need.priority, &need.organisation);
        let expected = expected.max(per_request);
        service.slots.assign(flow, (expected, per_request), now)
    }

    /// Charges organisations for running requests that hold more than was expected.
    fn correct(&mut self, now: Instant) {
        let is_due = |last: Instant| now.saturating_duration_since(last) >= CORRECTION_INTERVAL;
        if !self.corrected.is_none_or(is_due) {
            return;
        }
        self.corrected = Some(now);
        for running in self.running.values_mut() {
            let held = running.held(now);
            if held > running.charged {
                let flow = (running.priority, &running.organisation);
                self.clock.settle(flow.0, flow.1, (running.charged, held));
                running.charged = held;
            }
        }
    }

    fn service(&mut self, name: &id::Service) -> &mut Service {
        if self.services.len() >= MAX_SERVICES && !self.services.contains_key(name) {
            self.services.clear();
        }
        self.services.entry(name.clone()).or_default()
    }
}

impl Running {
    fn held(&self, now: Instant) -> Cost {
        let elapsed = now.saturating_duration_since(self.since);
        Cost::held(self.prompt, self.output, elapsed)
    }
}

fn cost(need: &Need) -> Cost {
    Cost::expected(need.prompt_tokens, need.output_tokens)
}

/// Whether a generation has to leave memory to more urgent requests.
fn is_long(need: &Need) -> bool {
    expected_duration(need.prompt_tokens, need.output_tokens) > LONG_DURATION
}
