//! Queue, router, length estimate and reservation quantile behind one struct.
//!
//! The daemon holds a [`Scheduler`] behind a mutex and calls it for each event. Every call
//! returns the decisions that the event made possible: waiting requests that are dispatched to a
//! target or refused. The baselines of the measurements run in the same code, selected by
//! [`Policy`].

mod stream;

use {
    crate::{
        admission::{self, Objective, Offer, Quantile, Queue, Seen},
        fleet::Fleet,
        id::{Class, Generation, Model, Organisation, Target, Zone},
        length::{Estimator, Key, Output},
        router::{self, AHEAD, CacheEvent, Curve, Description, Pick, Prefix, Report, Router},
    },
    rand::{Rng, seq::IndexedRandom},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    stream::Stream,
};

/// How targets are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Admission by forecast memory, fair queueing and load-aware choice.
    Adaptive,
    /// Baseline: targets in turn, without admission control.
    RoundRobin,
    /// Baseline: the target with the fewest of this host's requests in flight, without admission
    /// control.
    LeastInFlight,
}

/// Fixed properties of a [`Scheduler`].
#[derive(Debug, Clone)]
pub struct Settings {
    /// This host's availability zone.
    pub zone: Zone,
    /// Number of entry hosts, this one included, until [`Scheduler::set_hosts`] tells otherwise.
    pub hosts: usize,
    /// How targets are chosen.
    pub policy: Policy,
    /// What the reservation quantile weighs highest.
    pub objective: Objective,
    /// Most requests that wait on this host.
    pub queue_limit: usize,
}

/// A request that is offered. One attempt has one generation; a retry is a new request.
#[derive(Debug, Clone)]
pub struct Request {
    /// The attempt's generation.
    pub generation: Generation,
    /// The calling organisation.
    pub organisation: Organisation,
    /// The model asked for.
    pub model: Model,
    /// The request class.
    pub class: Class,
    /// Priority of the class; 0 comes first.
    pub priority: u8,
    /// The longest time to wait.
    pub max_wait: Duration,
    /// Prompt tokens.
    pub prompt: u64,
    /// The caller's upper bound on output tokens.
    pub max_tokens: u64,
    /// Hashes of the prompt's blocks, from short to long. May be empty.
    pub prefixes: Vec<Prefix>,
}

/// What has to be done with a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Hand the request to the target. The scheduler already counts it as in flight.
    Dispatch {
        /// The attempt.
        generation: Generation,
        /// Where it goes.
        pick: Pick,
    },
    /// Refuse the request. It did not run.
    Refuse {
        /// The attempt.
        generation: Generation,
        /// Why.
        refusal: Refusal,
    },
}

/// Why a request was refused before it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The queue refused it.
    #[error(transparent)]
    Admission(#[from] admission::Refusal),
    /// No target can serve it.
    #[error(transparent)]
    Router(#[from] router::Refusal),
}

/// How a dispatched request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The model ended the output.
    Complete,
    /// The caller cancelled it or its token limit was reached.
    Cancelled,
    /// The target failed, or refused the request.
    Failed,
}

/// Counters since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests handed to a target.
    pub dispatched: u64,
    /// Requests handed to a target of another availability zone.
    pub spilled: u64,
    /// Requests refused.
    pub refused: u64,
    /// Preemptions of this host's streams.
    pub preempted: u64,
}

/// Decides for one entry host which waiting request runs where.
#[derive(Debug)]
pub struct Scheduler {
    settings: Settings,
    queue: Queue,
    router: Router,
    fleet: Fleet,
    lengths: Estimator,
    quantile: Quantile,
    waiting: HashMap<Generation, (Request, router::Request)>,
    streams: HashMap<Generation, Stream>,
    seen: Seen,
    adapted: Instant,
    turn: usize,
    counters: Counters,
}

/// Tokens of progress after which a stream's forecast is updated.
const PROGRESS_STEP: u64 = 16;
/// A started stream without a token for longer than this counts as stalled.
pub const STALL_AFTER: Duration = Duration::from_millis(250);
/// Interval in which the quantile adapts.
const ADAPT_EVERY: Duration = Duration::from_secs(1);
/// Decisions that one call returns at most, which bounds its duration.
const MAX_DECISIONS: usize = 16;

impl Scheduler {
    /// A scheduler without targets.
    pub fn new(settings: Settings, now: Instant) -> Self {
        Self {
            queue: Queue::new(settings.queue_limit, now),
            router: Router::new(settings.zone.clone(), settings.hosts),
            fleet: Fleet::new(),
            lengths: Estimator::default(),
            quantile: Quantile::new(settings.objective),
            waiting: HashMap::new(),
            streams: HashMap::new(),
            seen: Seen::default(),
            adapted: now,
            turn: 0,
            counters: Counters::default(),
            settings,
        }
    }

    /// Adds a target or replaces its description. It receives work once the fleet knows it too.
    pub fn describe(&mut self, about: Description, now: Instant) {
        self.router.describe(about, now);
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
        let refusal = match self.router.serves(&placed, &self.fleet) {
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
    pub fn report<R>(
        &mut self,
        target: &str,
        report: Report,
        rng: &mut R,
        now: Instant,
    ) -> Vec<Decision>
    where
        R: Rng + ?Sized,
    {
        let delta = self.router.report(target, report, rng, now);
        self.seen.preemptions += delta.preemptions;
        self.seen.running_time += delta.running_time;
        self.dispatch(rng, now)
    }

    /// Takes over an event of a target's prefix cache.
    pub fn cache_event(&mut self, target: &str, event: CacheEvent, now: Instant) {
        self.router.cache_event(target, event, now);
    }

    /// Forgets what was learned about an earlier incarnation of the target.
    pub fn restarted(&mut self, target: &str) {
        self.router.restarted(target);
    }

    /// Records the first token of a stream.
    pub fn first_token(&mut self, generation: Generation, now: Instant) {
        self.router.first_token(generation, now);
        self.token_progress(generation, 1, now);
    }

    /// Records that a stream has `generated` tokens. May be called for each token: the forecast
    /// is updated only every few tokens.
    pub fn token_progress(&mut self, generation: Generation, generated: u64, now: Instant) {
        let Some(stream) = self.streams.get_mut(&generation) else {
            return;
        };
        self.seen.stall += stream.token(generated, now);
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
            stream.prompt,
            generated,
            stream.max_tokens,
        );
        self.router.progressed(generation, generated, gap, curve);
    }

    /// Records that the target preempted a stream, if the target tells.
    pub fn preempted(&mut self, generation: Generation) {
        self.counters.preempted += 1;
        self.router.preempted(generation);
    }

    /// Records the end of a dispatched request.
    pub fn finished<R>(
        &mut self,
        generation: Generation,
        ending: Ending,
        rng: &mut R,
        now: Instant,
    ) -> Vec<Decision>
    where
        R: Rng + ?Sized,
    {
        self.router.finished(generation, now);
        if let Some(mut stream) = self.streams.remove(&generation) {
            self.seen.stream_time += stream.account(now);
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
                self.router.pick(placed, &self.fleet, rng, now).ok()
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
            .dispatched(generation, &pick.target, placed, now);
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

    fn baseline<R>(
        &mut self,
        request: Request,
        placed: &router::Request,
        rng: &mut R,
        now: Instant,
    ) -> Decision
    where
        R: Rng + ?Sized,
    {
        let eligible: Vec<&Target> = self
            .router
            .running(&request.model)
            .filter(|target| self.fleet.eligible(target))
            .collect();
        let chosen = match self.settings.policy {
            Policy::LeastInFlight => {
                let least = eligible
                    .iter()
                    .map(|name| self.router.own_in_flight(name))
                    .min();
                let equal: Vec<_> = eligible
                    .iter()
                    .filter(|name| Some(self.router.own_in_flight(name)) == least)
                    .collect();
                equal.choose(rng).map(|name| (**name).clone())
            }
            Policy::RoundRobin | Policy::Adaptive => {
                self.turn += 1;
                eligible
                    .get(self.turn % eligible.len().max(1))
                    .map(|name| (*name).clone())
            }
        };
        let Some(target) = chosen else {
            return self.refuse(request.generation, router::Refusal::NoTarget.into());
        };
        let pick = Pick {
            target,
            reserved: placed.reserved,
            spilled: false,
            overlap: 0.0,
        };
        self.start(request, placed, pick, now)
    }

    fn placement(&self, request: &Request) -> router::Request {
        let key = request.key();
        let quantile = self.lengths.quantile(&key, 0, self.quantile.value());
        router::Request {
            model: request.model.clone(),
            prompt: request.prompt,
            reserved: request.prompt + quantile.min(request.max_tokens),
            curve: forecast(&self.lengths, &key, request.prompt, 0, request.max_tokens),
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
            reserved: placed.reserved,
            cost: expected * (request.prompt as f64 + expected / 2.0),
        }
    }

    fn learn(&mut self, stream: &Stream, ending: Ending) {
        let output = match (ending, stream.generated) {
            (Ending::Complete, tokens) => Output::Complete(tokens),
            (_, 0) => return,
            (Ending::Cancelled | Ending::Failed, tokens) => Output::Censored(tokens),
        };
        self.lengths.observe(&stream.key, output);
    }

    fn adapt(&mut self, now: Instant) {
        self.adapted = now;
        for stream in self.streams.values_mut() {
            self.seen.stream_time += stream.account(now);
            self.seen.stall += stream.stalled(now);
        }
        self.quantile.adapt(&std::mem::take(&mut self.seen));
        self.router.set_margin(self.quantile.margin());
    }
}

impl Request {
    fn key(&self) -> Key {
        Key {
            organisation: self.organisation.clone(),
            model: self.model.clone(),
            class: self.class.clone(),
        }
    }
}

/// The expected memory of a stream over time, which ends at the caller's token limit.
fn forecast(lengths: &Estimator, key: &Key, prompt: u64, generated: u64, limit: u64) -> Curve {
    let mut survival = lengths.survival(key, generated, &AHEAD);
    for (probability, ahead) in survival.iter_mut().zip(AHEAD) {
        if ahead > 0 && generated + ahead >= limit {
            *probability = 0.0;
        }
    }
    Curve::new(prompt + generated, survival)
}
