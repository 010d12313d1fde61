//! Queue, router, length estimate and reservation quantile behind one struct.
//!
//! The daemon holds a [`Scheduler`] behind a mutex and calls it for each event. Every call
//! returns the decisions that the event made possible: waiting requests that are dispatched to a
//! target or refused. The baselines of the measurements run in the same code, selected by
//! [`Policy`].

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

/// Decides for one entry host which waiting request runs where.
#[derive(Debug)]
pub struct Scheduler {
    settings: Settings,
    queue: Queue,
    router: Router,
    fleet: Fleet,
    ejector: Ejector,
    lengths: Estimator,
    quantile: Quantile,
    waiting: HashMap<Generation, (Request, router::Request)>,
    streams: HashMap<Generation, Stream>,
    observation: Observation,
    adapted: Instant,
    turn: usize,
    counters: Counters,
}

/// Tokens of progress after which a stream's forecast is updated.
const PROGRESS_STEP: u64 = 16;
/// A started stream without a token for longer than this counts as stalled.
pub const STALL_THRESHOLD: Duration = Duration::from_millis(250);
/// Interval in which the quantile adapts.
const ADAPT_EVERY: Duration = Duration::from_secs(1);
/// Largest share of the targets that is ejected at once.
const MAX_EJECTED_PERCENT: usize = 34;
/// Decisions that one call returns at most, which bounds its duration.
const MAX_DECISIONS: usize = 16;

impl Scheduler {
    /// A scheduler without targets.
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
            adapted: now,
            turn: 0,
            counters: Counters::default(),
            settings,
        }
    }

    /// Adds a target or replaces its description. It receives work once the fleet knows it too.
    pub fn upsert_target(&mut self, about: Description, now: Instant) {
        self.ejector.add(&about.name);
        self.router.upsert_target(about, now);
    }

    /// The membership that decides which targets are eligible.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The membership, for the platform's list and own observations.
    pub fn fleet_mut(&mut self) -> &mut Fleet {
        &mut self.fleet
    }

    /// Sets the number of live entry hosts, this one included.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.router.set_hosts(hosts);
    }

    /// Offers a new request. The answer contains the request itself unless it waits.
    pub fn offer<R>(&mut self, request: Request, rng: &mut R, now: Instant) -> Vec<Decision>
    where
        R: Rng + ?Sized,
    {
        let placed = self.placement(&request);
        let generation = request.generation;
        if self.settings.policy != Policy::Adaptive {
            return vec![self.baseline(request, &placed, rng, now)];
        }
        let refusal = match self.router.check_servable(&placed, &self.fleet) {
            Err(refusal) => Some(Refusal::Router(refusal)),
            Ok(()) => match self.queue.offer(self.entry(&request, &placed), now) {
                Offer::Refused(refusal) => Some(Refusal::Admission(refusal)),
                Offer::Queued => None,
            },
        };
        if let Some(refusal) = refusal {
            return vec![self.refuse(generation, refusal)];
        }
        self.waiting.insert(generation, (request, placed));
        self.dispatch(rng, now)
    }

    /// Removes a waiting request whose caller has disconnected. Returns whether it was waiting;
    /// otherwise it was dispatched and has to be cancelled there.
    pub fn withdraw(&mut self, generation: Generation) -> bool {
        self.waiting.remove(&generation);
        self.queue.withdraw(generation)
    }

    /// Takes over a target's load report.
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
        self.dispatch(rng, now)
    }

    /// Takes over an event of a target's prefix cache.
    pub fn apply_cache_event(&mut self, target: &str, event: CacheEvent, now: Instant) {
        self.router.apply_cache_event(target, event, now);
    }

    /// Forgets what was learned about an earlier incarnation of the target.
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

    /// Records that a stream has `generated` tokens. May be called for each token: the forecast
    /// is updated only every few tokens.
    pub fn record_progress(&mut self, generation: Generation, generated: u64, now: Instant) {
        let Some(stream) = self.streams.get_mut(&generation) else {
            return;
        };
        self.observation.stall_time += stream.token(generated, now);
        let tokens = generated.saturating_sub(stream.forecast_at);
        if tokens < PROGRESS_STEP {
            return;
        }
        let gap = now.saturating_duration_since(stream.forecast_time) / tokens as u32;
        stream.forecast_at = generated;
        stream.forecast_time = now;
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

    /// Records that the target preempted a stream, if the target tells.
    pub fn record_preemption(&mut self, generation: Generation) {
        self.counters.preempted += 1;
        self.router.record_preemption(generation);
    }

    /// Records the end of a dispatched request.
    pub fn record_finish<R>(
        &mut self,
        generation: Generation,
        ending: Outcome,
        rng: &mut R,
        now: Instant,
    ) -> Vec<Decision>
    where
        R: Rng + ?Sized,
    {
        if let Some(target) = self.router.target_of(generation) {
            match ending {
                Outcome::Complete => self.ejector.record_success(target),
                Outcome::Cancelled => {}
                Outcome::Failed => {
                    self.ejector.record_failure(target, rng, now);
                }
            }
        }
        self.router.record_finish(generation, now);
        if let Some(mut stream) = self.streams.remove(&generation) {
            self.observation.stream_time += stream.account(now);
            self.learn(&stream, ending);
        }
        self.dispatch(rng, now)
    }

    /// Does the periodic work. To be called about ten times a second.
    pub fn tick<R>(&mut self, rng: &mut R, now: Instant) -> Vec<Decision>
    where
        R: Rng + ?Sized,
    {
        self.router.tick(now);
        if now.saturating_duration_since(self.adapted) >= ADAPT_EVERY {
            self.adapt(now);
        }
        let mut decisions = Vec::new();
        for (request, refusal) in self.queue.tick(now) {
            self.waiting.remove(&request.generation);
            decisions.push(self.refuse(request.generation, refusal.into()));
        }
        decisions.append(&mut self.dispatch(rng, now));
        decisions
    }

    /// Requests that wait on this host.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Requests in flight on targets.
    pub fn in_flight(&self) -> usize {
        self.streams.len()
    }

    /// The target that serves a stream.
    pub fn target_of(&self, generation: Generation) -> Option<&Target> {
        self.router.target_of(generation)
    }

    /// The reservation quantile in use.
    pub fn quantile(&self) -> f64 {
        self.quantile.value()
    }

    /// Counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The length estimate, for explanations to operators and for token limits.
    pub fn lengths(&self) -> &Estimator {
        &self.lengths
    }

    /// Dispatches waiting requests as long as targets have room.
    fn dispatch<R>(&mut self, rng: &mut R, now: Instant) -> Vec<Decision>
    where
        R: Rng + ?Sized,
    {
        let mut decisions = Vec::new();
        while decisions.len() < MAX_DECISIONS && !self.queue.is_empty() {
            let place = |entry: &admission::Request| {
                let (_, placed) = self.waiting.get(&entry.generation)?;
                let allowed = |name: &str| self.ejector.is_allowed(name, now);
                self.router
                    .pick(placed, &self.fleet, allowed, rng, now)
                    .ok()
            };
            let Some((entry, pick)) = self.queue.next(now, place) else {
                break;
            };
            if let Some((request, placed)) = self.waiting.remove(&entry.generation) {
                decisions.push(self.start(request, &placed, pick, now));
            }
        }
        decisions
    }

    fn start(
        &mut self,
        request: Request,
        placed: &router::Request,
        pick: Pick,
        now: Instant,
    ) -> Decision {
        let generation = request.generation;
        self.router
            .record_dispatch(generation, &pick.target, placed, now);
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

    fn placement(&self, request: &Request) -> router::Request {
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

    fn entry(&self, request: &Request, placed: &router::Request) -> admission::Request {
        let mean = self.lengths.mean(&request.key(), 0);
        let expected = mean.min(request.max_tokens as f64);
        admission::Request {
            generation: request.generation,
            organisation: request.organisation.clone(),
            model: request.model.clone(),
            priority: request.priority,
            max_wait: request.max_wait,
            reserved_tokens: placed.reserved_tokens,
            cost: expected * (request.prompt_tokens as f64 + expected / 2.0),
        }
    }

    fn learn(&mut self, stream: &Stream, ending: Outcome) {
        let output = match (ending, stream.generated) {
            (Outcome::Complete, tokens) => Output::Complete(tokens),
            (_, 0) => return,
            (Outcome::Cancelled | Outcome::Failed, tokens) => Output::Censored(tokens),
        };
        self.lengths.observe(&stream.key, output);
    }

    fn adapt(&mut self, now: Instant) {
        self.adapted = now;
        for stream in self.streams.values_mut() {
            self.observation.stream_time += stream.account(now);
            self.observation.stall_time += stream.stalled(now);
        }
        self.quantile.adapt(&std::mem::take(&mut self.observation));
        self.router.set_margin(self.quantile.margin());
    }
}

/// The expected memory of a stream over time, which ends at the caller's token limit.
fn forecast(lengths: &Estimator, key: &Key, prompt: u64, generated: u64, limit: u64) -> Curve {
    let mut survival = lengths.survival(key, generated, &HORIZON_TOKENS);
    for (probability, ahead) in survival.iter_mut().zip(HORIZON_TOKENS) {
        if ahead > 0 && generated + ahead >= limit {
            *probability = 0.0;
        }
    }
    Curve::new(prompt + generated, survival)
}
