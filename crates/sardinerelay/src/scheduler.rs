//! The scheduler of an entry host: decides when and on which target each request runs.
//!
//! It combines the admission queue, the router, the length estimate and the reservation quantile.
//! The daemon holds a [`Scheduler`] behind a mutex and calls it for each event. Every call
//! returns the decisions that the event made possible: waiting requests that are dispatched to a
//! target or refused. The baseline policies for benchmarks run in the same code and are selected
//! by [`Policy`].

mod baseline;
mod event;
mod stream;

pub use event::{Counters, Decision, Outcome, Policy, Refusal, Request, Settings};

use {
    crate::{
        admission::{self, Observation, Offer, Quantile, Queue},
        fleet::Fleet,
        id::{Generation, Target},
        length::{Estimator, Key, Output},
        retry::Ejector,
        router::{self, CacheEvent, Curve, Description, HORIZON_TOKENS, LoadReport, Pick, Router},
    },
    rand::Rng,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    stream::Stream,
};

/// Queues one entry host's requests and assigns them to targets.
#[derive(Debug)]
pub struct Scheduler {
    settings: Settings,
    queue: Queue,
    router: Router,
    fleet: Fleet,
    ejector: Ejector,
    lengths: Estimator,
    quantile: Quantile,
    /// Requests in the queue, with what the router needs to place them.
    waiting: HashMap<Generation, (Request, router::Request)>,
    streams: HashMap<Generation, Stream>,
    /// Stall and preemptions since the quantile was last adapted.
    observation: Observation,
    last_adapted_at: Instant,
    round_robin_turn: usize,
    counters: Counters,
}

/// New tokens after which a stream's memory forecast is recomputed.
const FORECAST_UPDATE_TOKENS: u64 = 16;
/// A started stream counts as stalled once no token has arrived for this long.
pub const STALL_THRESHOLD: Duration = Duration::from_millis(250);
/// Time between two adjustments of the reservation quantile.
const ADAPT_INTERVAL: Duration = Duration::from_secs(1);
/// Share of the targets that may be ejected at once, in percent.
const MAX_EJECTED_PERCENT: usize = 34;
/// Maximum number of requests that one call dispatches, which bounds the call's duration.
const MAX_DECISIONS_PER_CALL: usize = 16;

impl Scheduler {
    /// Creates a scheduler without targets.
    pub fn new(settings: Settings, now: Instant) -> Self {
        Self {
            queue: Queue::new(settings.queue_limit, now),
            router: Router::new(settings.zone.clone(), settings.hosts),
            fleet: Fleet::new(),
            ejector: Ejector::new(MAX_EJECTED_PERCENT),
            lengths: Estimator::default(),
            quantile: Quantile::new(settings.objective),
            waiting: HashMap::new(),
            streams: HashMap::new(),
            observation: Observation::default(),
            last_adapted_at: now,
            round_robin_turn: 0,
            counters: Counters::default(),
            settings,
        }
    }

    /// Adds a target or replaces its description. The target gets requests once it has also joined
    /// the [`Fleet`].
    pub fn upsert_target(&mut self, description: Description, now: Instant) {
        self.ejector.add(&description.name);
        self.router.upsert_target(description, now);
    }

    /// Returns the fleet, which decides which targets are eligible.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the fleet for updates, which come from the platform's list and from the daemon's own
    /// observations.
    pub fn fleet_mut(&mut self) -> &mut Fleet {
        &mut self.fleet
    }

    /// Sets the number of live entry hosts, including this one.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.router.set_hosts(hosts);
    }

    /// Offers a new request. The returned decisions include the request itself unless it waits.
    pub fn offer<R>(&mut self, request: Request, rng: &mut R, now: Instant) -> Vec<Decision>
    where
        R: Rng + ?Sized,
    {
        let router_request = self.router_request(&request);
        let generation = request.generation;
        if self.settings.policy != Policy::Adaptive {
            return vec![self.dispatch_baseline(request, &router_request, rng, now)];
        }
        let refusal = match self.router.check_servable(&router_request, &self.fleet) {
            Err(refusal) => Some(Refusal::Router(refusal)),
            Ok(()) => match self
                .queue
                .offer(self.queue_request(&request, &router_request), now)
            {
                Offer::Refused(refusal) => Some(Refusal::Admission(refusal)),
                Offer::Queued => None,
            },
        };
        if let Some(refusal) = refusal {
            return vec![self.refuse(generation, refusal)];
        }
        self.waiting.insert(generation, (request, router_request));
        self.dispatch_waiting(rng, now)
    }

    /// Removes a waiting request whose caller has disconnected. Returns false if the request is not
    /// waiting any more; if it was dispatched, the caller has to report its end with
    /// [`Scheduler::record_finish`].
    pub fn withdraw(&mut self, generation: Generation) -> bool {
        self.waiting.remove(&generation);
        self.queue.withdraw(generation)
    }

    /// Applies a target's load report.
    pub fn apply_report<R>(
        &mut self,
        target: &str,
        report: LoadReport,
        rng: &mut R,
        now: Instant,
    ) -> Vec<Decision>
    where
        R: Rng + ?Sized,
    {
        let delta = self.router.apply_report(target, report, rng, now);
        self.observation.preemptions += delta.preemptions;
        self.observation.running_time += delta.running_time;
        self.dispatch_waiting(rng, now)
    }

    /// Applies an event of a target's prefix cache.
    pub fn apply_cache_event(&mut self, target: &str, event: CacheEvent, now: Instant) {
        self.router.apply_cache_event(target, event, now);
    }

    /// Discards the load report and cache content of an earlier incarnation of the target.
    pub fn reset_target(&mut self, target: &str) {
        self.router.reset_target(target);
    }

    /// Records the first token of a stream.
    pub fn record_first_token(&mut self, generation: Generation, now: Instant) {
        if let Some(target) = self.router.target_of(generation) {
            self.ejector.record_success(target);
        }
        self.router.record_first_token(generation, now);
        self.record_progress(generation, 1, now);
    }

    /// Records that a stream has `generated` tokens. It is cheap enough to call for each token,
    /// because the forecast is recomputed only every few tokens.
    pub fn record_progress(&mut self, generation: Generation, generated: u64, now: Instant) {
        let Some(stream) = self.streams.get_mut(&generation) else {
            return;
        };
        self.observation.stall_time += stream.record_tokens(generated, now);
        let tokens = generated.saturating_sub(stream.forecast_tokens);
        if tokens < FORECAST_UPDATE_TOKENS {
            return;
        }
        let gap = now.saturating_duration_since(stream.forecast_at) / tokens as u32;
        stream.forecast_tokens = generated;
        stream.forecast_at = now;
        let curve = forecast(
            &self.lengths,
            &stream.key,
            stream.prompt_tokens,
            generated,
            stream.max_tokens,
        );
        self.router
            .record_progress(generation, generated, gap, curve);
    }

    /// Records that the target preempted a stream. Not every target reports this.
    pub fn record_preemption(&mut self, generation: Generation) {
        self.counters.preempted += 1;
        self.router.record_preemption(generation);
    }

    /// Records the end of a dispatched request.
    pub fn record_finish<R>(
        &mut self,
        generation: Generation,
        outcome: Outcome,
        rng: &mut R,
        now: Instant,
    ) -> Vec<Decision>
    where
        R: Rng + ?Sized,
    {
        if let Some(target) = self.router.target_of(generation) {
            match outcome {
                Outcome::Complete => self.ejector.record_success(target),
                Outcome::Cancelled => {}
                Outcome::Failed => {
                    self.ejector.record_failure(target, rng, now);
                }
            }
        }
        self.router.record_finish(generation, now);
        if let Some(mut stream) = self.streams.remove(&generation) {
            self.observation.stream_time += stream.take_open_time(now);
            self.observe_length(&stream, outcome);
        }
        self.dispatch_waiting(rng, now)
    }

    /// Does the periodic work: expires waiting requests, adapts the quantile and dispatches. It has
    /// to be called about ten times a second.
    pub fn tick<R>(&mut self, rng: &mut R, now: Instant) -> Vec<Decision>
    where
        R: Rng + ?Sized,
    {
        self.router.tick(now);
        if now.saturating_duration_since(self.last_adapted_at) >= ADAPT_INTERVAL {
            self.adapt_quantile(now);
        }
        let mut decisions = Vec::new();
        for (request, refusal) in self.queue.tick(now) {
            self.waiting.remove(&request.generation);
            decisions.push(self.refuse(request.generation, refusal.into()));
        }
        decisions.append(&mut self.dispatch_waiting(rng, now));
        decisions
    }

    /// Returns the number of requests that wait on this host.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of this host's requests in flight on targets.
    pub fn in_flight(&self) -> usize {
        self.streams.len()
    }

    /// Returns the target that serves a stream.
    pub fn target_of(&self, generation: Generation) -> Option<&Target> {
        self.router.target_of(generation)
    }

    /// Returns the reservation quantile in use.
    pub fn quantile(&self) -> f64 {
        self.quantile.value()
    }

    /// Returns the counters since the scheduler was created.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the length estimate, for explanations to operators and for token limits.
    pub fn lengths(&self) -> &Estimator {
        &self.lengths
    }

    /// Dispatches waiting requests as long as targets have free memory for them.
    fn dispatch_waiting<R>(&mut self, rng: &mut R, now: Instant) -> Vec<Decision>
    where
        R: Rng + ?Sized,
    {
        let mut decisions = Vec::new();
        while decisions.len() < MAX_DECISIONS_PER_CALL && !self.queue.is_empty() {
            let place = |queued: &admission::Request| {
                let (_, router_request) = self.waiting.get(&queued.generation)?;
                let allowed = |name: &str| self.ejector.is_allowed(name, now);
                self.router
                    .pick(router_request, &self.fleet, allowed, rng, now)
                    .ok()
            };
            let Some((queued, pick)) = self.queue.next(now, place) else {
                break;
            };
            if let Some((request, router_request)) = self.waiting.remove(&queued.generation) {
                decisions.push(self.dispatch_to(request, &router_request, pick, now));
            }
        }
        decisions
    }

    fn dispatch_to(
        &mut self,
        request: Request,
        router_request: &router::Request,
        pick: Pick,
        now: Instant,
    ) -> Decision {
        let generation = request.generation;
        self.router
            .record_dispatch(generation, &pick.target, router_request, now);
        self.ejector.record_sent(&pick.target, now);
        self.streams.insert(generation, Stream::new(request, now));
        self.counters.dispatched += 1;
        self.counters.spilled += u64::from(pick.spilled);
        Decision::Dispatch { generation, pick }
    }

    fn refuse(&mut self, generation: Generation, refusal: Refusal) -> Decision {
        self.counters.refused += 1;
        Decision::Refuse {
            generation,
            refusal,
        }
    }

    fn router_request(&self, request: &Request) -> router::Request {
        let key = request.key();
        let quantile = self.lengths.quantile(&key, 0, self.quantile.value());
        router::Request {
            model: request.model.clone(),
            prompt_tokens: request.prompt_tokens,
            reserved_tokens: request.prompt_tokens + quantile.min(request.max_tokens),
            curve: forecast(
                &self.lengths,
                &key,
                request.prompt_tokens,
                0,
                request.max_tokens,
            ),
            priority: request.priority,
            prefixes: request.prefixes.clone(),
        }
    }

    fn queue_request(
        &self,
        request: &Request,
        router_request: &router::Request,
    ) -> admission::Request {
        let mean = self.lengths.mean(&request.key(), 0);
        let expected = mean.min(request.max_tokens as f64);
        admission::Request {
            generation: request.generation,
            organisation: request.organisation.clone(),
            model: request.model.clone(),
            priority: request.priority,
            max_wait: request.max_wait,
            reserved_tokens: router_request.reserved_tokens,
            cost: expected * (request.prompt_tokens as f64 + expected / 2.0),
        }
    }

    fn observe_length(&mut self, stream: &Stream, outcome: Outcome) {
        let output = match (outcome, stream.generated) {
            (Outcome::Complete, tokens) => Output::Complete(tokens),
            (_, 0) => return,
            (Outcome::Cancelled | Outcome::Failed, tokens) => Output::Censored(tokens),
        };
        self.lengths.observe(&stream.key, output);
    }

    fn adapt_quantile(&mut self, now: Instant) {
        self.last_adapted_at = now;
        for stream in self.streams.values_mut() {
            self.observation.stream_time += stream.take_open_time(now);
            self.observation.stall_time += stream.take_stall(now);
        }
        self.quantile.adapt(&std::mem::take(&mut self.observation));
        self.router.set_margin(self.quantile.margin());
    }
}

/// Forecasts a stream's memory over time. The caller's bound `max_tokens` cuts the forecast off.
fn forecast(
    lengths: &Estimator,
    key: &Key,
    prompt_tokens: u64,
    generated: u64,
    max_tokens: u64,
) -> Curve {
    let mut survival = lengths.survival(key, generated, &HORIZON_TOKENS);
    for (probability, ahead) in survival.iter_mut().zip(HORIZON_TOKENS) {
        if ahead > 0 && generated + ahead >= max_tokens {
            *probability = 0.0;
        }
    }
    Curve::new(prompt_tokens + generated, survival)
}
