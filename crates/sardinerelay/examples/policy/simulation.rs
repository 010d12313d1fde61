//! Simulation of engines and schedulers in virtual time.

use {
    crate::{
        ENGINES, MEMORY_TOKENS, Run, TICK, TICKS_PER_STEP,
        summary::Summary,
        traffic::{Call, call, capacity},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    sardinerelay::{
        admission,
        fleet::{Entry, Listed},
        router::{Description, LoadReport},
        scheduler::{Decision, Outcome, Refusal, Request, Scheduler, Settings},
    },
    sardinerelay_standin::batch::{Batch, Limits},
    std::{
        collections::{HashMap, VecDeque},
        time::Instant,
    },
    uuid::Uuid,
};

const HOSTS: usize = 9;
const ZONES: usize = 3;
const MAX_RUNNING: usize = 256;
const PREFILL_TOKENS_PER_STEP: u64 = 4_096;
/// Ticks between two load reports from one engine to one host.
const REPORT_INTERVAL_TICKS: u64 = 100;
/// Age of a load report on arrival, in ticks.
const REPORT_AGE_TICKS: u64 = 40;
const STALL_THRESHOLD_TICKS: u64 = 50;
const REQUEST_MAX_TOKENS: u64 = 32_000;

/// A call that waits or runs.
#[derive(Debug)]
struct OpenCall {
    call: Call,
    host: usize,
    arrived: u64,
    last_token: Option<u64>,
    generated: u64,
}

#[derive(Debug)]
struct Engine {
    name: String,
    batch: Batch,
    alive: bool,
    /// Load reports on their way to the hosts, oldest first.
    reports: VecDeque<LoadReport>,
}

/// The state of one simulation.
#[derive(Debug)]
pub struct Simulation {
    run: Run,
    rng: StdRng,
    start: Instant,
    tick: u64,
    engines: Vec<Engine>,
    hosts: Vec<Scheduler>,
    open: HashMap<Uuid, OpenCall>,
    summary: Summary,
}

impl Simulation {
    pub fn new(run: Run) -> Self {
        let start = Instant::now();
        let engines = (0..ENGINES)
            .map(|at| Engine {
                name: format!("engine-{at}"),
                batch: Batch::new(Limits {
                    memory_tokens: MEMORY_TOKENS,
                    max_running: MAX_RUNNING,
                    prefill_tokens_per_step: PREFILL_TOKENS_PER_STEP,
                }),
                alive: true,
                reports: VecDeque::new(),
            })
            .collect::<Vec<_>>();
        let hosts = (0..HOSTS)
            .map(|at| scheduler(at, &run, &engines, start))
            .collect();
        Self {
            run,
            rng: StdRng::seed_from_u64(run.seed),
            start,
            tick: 0,
            engines,
            hosts,
            open: HashMap::new(),
            summary: Summary::default(),
        }
    }

    /// Runs the simulation to its end.
    pub fn simulate(mut self) -> Summary {
        // Arrivals have their own random numbers, so that every policy gets the same calls.
        let mut arrivals = StdRng::seed_from_u64(self.run.seed ^ 0x5eed);
        let rate = self.run.load * capacity(self.run.mix);
        let mut next_arrival = 0.0;
        let ticks = self.run.seconds * 1_000 / TICK.as_millis() as u64;
        while self.tick < ticks {
            if self.tick == ticks / 2 {
                self.engines[0].alive = false;
                self.fail_engine(0);
            }
            while next_arrival <= (TICK * self.tick as u32).as_secs_f64() {
                let call = call(self.run.mix, &mut arrivals);
                let host = arrivals.random_range(0..HOSTS);
                self.summary.arrived += 1;
                self.summary.offered[call.organisation] += call.length;
                self.offer(call, host, self.tick);
                next_arrival += -arrivals.random::<f64>().max(1e-12).ln() / rate;
            }
            for engine in 0..ENGINES {
                if self.engines[engine].alive
                    && (self.tick + engine as u64).is_multiple_of(TICKS_PER_STEP)
                {
                    self.step(engine);
                }
            }
            self.report();
            self.tick += 1;
        }
        self.finish()
    }

    fn now(&self) -> Instant {
        self.start + TICK * self.tick as u32
    }

    /// Calls one host's scheduler, measures the real duration of the call and applies the
    /// decisions.
    fn decide<F>(&mut self, host: usize, event: F)
    where
        F: FnOnce(&mut Scheduler, &mut StdRng, Instant) -> Vec<Decision>,
    {
        let now = self.now();
        let started = Instant::now();
        let decisions = event(&mut self.hosts[host], &mut self.rng, now);
        let took = started.elapsed().as_nanos().min(u128::from(u32::MAX)) as u32;
        self.summary.call_ns.push(took);
        for decision in decisions {
            self.apply(host, decision);
        }
    }

    fn apply(&mut self, host: usize, decision: Decision) {
        match decision {
            Decision::Refuse {
                generation,
                refusal,
            } => {
                self.open.remove(&generation);
                let kind = match refusal {
                    Refusal::Admission(admission::Refusal::QueueFull { .. }) => "queue full",
                    Refusal::Admission(admission::Refusal::WaitTooLong { .. }) => "wait too long",
                    Refusal::Admission(admission::Refusal::Expired { .. }) => "expired",
                    Refusal::Router(_) => "no target",
                };
                *self.summary.refusals.entry(kind).or_default() += 1;
                self.summary.refused += 1;
            }
            Decision::Dispatch { generation, pick } => {
                let engine = self
                    .engines
                    .iter()
                    .position(|engine| engine.name == pick.target);
                let engine = engine.expect("a described target");
                let call = self.open[&generation].call.clone();
                if self.engines[engine].alive {
                    self.engines[engine].batch.add(
                        generation,
                        call.priority,
                        call.prompt,
                        0,
                        call.length,
                    );
                    return;
                }
                // The connection is refused, so the request did not run and is offered again.
                self.hosts[host].fleet_mut().leave(&pick.target, 1);
                self.retry(generation);
            }
        }
    }

    fn offer(&mut self, call: Call, host: usize, arrived: u64) {
        let generation = Uuid::from_u128(self.rng.random());
        let request = Request {
            generation,
            organisation: format!("organisation-{}", call.organisation).into(),
            model: "model".into(),
            class: call.class.into(),
            priority: call.priority,
            max_wait: call.max_wait,
            prompt_tokens: call.prompt,
            max_tokens: REQUEST_MAX_TOKENS,
            prefixes: Vec::new(),
        };
        let open = OpenCall {
            call,
            host,
            arrived,
            last_token: None,
            generated: 0,
        };
        self.open.insert(generation, open);
        self.decide(host, |scheduler, rng, now| {
            scheduler.offer(request, rng, now)
        });
    }

    fn retry(&mut self, generation: Uuid) {
        let Some(open) = self.open.remove(&generation) else {
            return;
        };
        self.decide(open.host, |scheduler, rng, now| {
            scheduler.record_finish(generation, Outcome::Failed, rng, now)
        });
        self.offer(open.call, open.host, open.arrived);
    }

    /// Resets an engine's connections. Streams with a token are lost; the others are retried.
    fn fail_engine(&mut self, engine: usize) {
        let name = self.engines[engine].name.clone();
        let mut affected: Vec<Uuid> = self
            .open
            .iter()
            .filter(|(id, open)| {
                let target = self.hosts[open.host].target_of(**id);
                target.is_some_and(|target| *target == name)
            })
            .map(|(id, _)| *id)
            .collect();
        affected.sort();
        for generation in affected {
            let open = &self.open[&generation];
            self.hosts[open.host]
                .fleet_mut()
                .leave(&name.as_str().into(), 1);
            if open.generated == 0 {
                self.retry(generation);
                continue;
            }
            self.summary.lost += 1;
            self.end(generation, Outcome::Failed);
        }
    }

    fn end(&mut self, generation: Uuid, outcome: Outcome) {
        let Some(open) = self.open.remove(&generation) else {
            return;
        };
        if outcome == Outcome::Complete {
            self.summary.complete += 1;
            self.summary.goodput += open.generated;
            self.summary.served[open.call.organisation] += open.generated;
        }
        self.decide(open.host, |scheduler, rng, now| {
            scheduler.record_finish(generation, outcome, rng, now)
        });
    }

    fn step(&mut self, engine: usize) {
        let progress = self.engines[engine].batch.step();
        self.summary.preemptions += progress.preempted.len() as u64;
        self.summary.used_tokens += self.engines[engine].batch.used_tokens() as f64;
        self.summary.used_samples += 1;
        let mut cancelled = Vec::new();
        for (generation, index) in progress.tokens {
            if self.token(generation, index + 1) {
                cancelled.push(generation);
            }
        }
        for generation in progress.finished {
            self.end(generation, Outcome::Complete);
        }
        for generation in cancelled {
            self.engines[engine].batch.cancel(generation);
            self.end(generation, Outcome::Cancelled);
        }
    }

    /// Delivers one token to its caller. Returns whether the caller then disconnects.
    fn token(&mut self, generation: Uuid, generated: u64) -> bool {
        let tick = self.tick;
        let now = self.now();
        let Some(open) = self.open.get_mut(&generation) else {
            return false;
        };
        let scheduler = &mut self.hosts[open.host];
        if let Some(last) = open.last_token {
            let gap = tick - last;
            *self.summary.gaps.entry(gap).or_default() += 1;
            self.summary.stall_ticks += gap.saturating_sub(STALL_THRESHOLD_TICKS);
            self.summary.stream_ticks += gap;
            let started = Instant::now();
            scheduler.record_progress(generation, generated, now);
            self.summary
                .call_ns
                .push(started.elapsed().as_nanos() as u32);
        } else {
            self.summary.first_token.push(tick - open.arrived);
            if open.call.priority == 0 {
                self.summary.first_token_short.push(tick - open.arrived);
            }
            scheduler.record_first_token(generation, now);
        }
        open.last_token = Some(tick);
        open.generated = generated;
        open.call.cancel_at == Some(generated) && generated < open.call.length
    }

    /// Creates and delivers load reports, and calls the schedulers' periodic work.
    fn report(&mut self) {
        for engine in self.engines.iter_mut().filter(|engine| engine.alive) {
            engine.reports.push_back(LoadReport {
                used_tokens: engine.batch.used_tokens(),
                running: engine.batch.running(),
                waiting: engine.batch.waiting(),
                preemptions: engine.batch.preemptions,
                age: TICK * REPORT_AGE_TICKS as u32,
            });
            if engine.reports.len() as u64 > REPORT_AGE_TICKS {
                engine.reports.pop_front();
            }
        }
        for host in 0..HOSTS {
            for engine in 0..ENGINES {
                let phase = (host * 37 + engine * 11) as u64;
                if !(self.tick + phase).is_multiple_of(REPORT_INTERVAL_TICKS)
                    || !self.engines[engine].alive
                {
                    continue;
                }
                let Some(report) = self.engines[engine].reports.front().copied() else {
                    continue;
                };
                let name = self.engines[engine].name.clone();
                self.decide(host, |scheduler, rng, now| {
                    scheduler.apply_report(&name, report, rng, now)
                });
            }
            if (self.tick + host as u64).is_multiple_of(20) {
                self.decide(host, |scheduler, rng, now| scheduler.tick(rng, now));
            }
        }
    }

    /// Adds the last gap of each open stream and returns the results.
    fn finish(mut self) -> Summary {
        for open in self.open.values() {
            let Some(last) = open.last_token else {
                continue;
            };
            let gap = self.tick - last;
            self.summary.stall_ticks += gap.saturating_sub(STALL_THRESHOLD_TICKS);
            self.summary.stream_ticks += gap;
        }
        self.summary.quantile =
            self.hosts.iter().map(Scheduler::quantile).sum::<f64>() / HOSTS as f64;
        self.summary
    }
}

fn scheduler(at: usize, run: &Run, engines: &[Engine], now: Instant) -> Scheduler {
    let settings = Settings {
        zone: format!("zone-{}", at % ZONES).into(),
        hosts: HOSTS,
        policy: run.policy,
        objective: run.objective,
        queue_limit: 512,
    };
    let mut scheduler = Scheduler::new(settings, now);
    for (at, engine) in engines.iter().enumerate() {
        let description = Description {
            name: engine.name.as_str().into(),
            zone: format!("zone-{}", at % ZONES).into(),
            memory_tokens: MEMORY_TOKENS,
            models: vec!["model".into()],
        };
        scheduler.fleet_mut().merge_list(&[Entry {
            target: description.name.clone(),
            incarnation: 1,
            listed: Listed::Live,
        }]);
        scheduler.upsert_target(description, now);
    }
    scheduler
}
