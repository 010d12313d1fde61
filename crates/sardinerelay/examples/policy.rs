//! Measures the scheduling policies against each other in virtual time.
//!
//! Ten engines, nine schedulers with their own lagged view, open-loop seeded arrivals, and one
//! engine that dies midway. The figures are recorded in `docs/design/admission.md`.
//!
//! `policy [SECONDS] [SEED] [MIX] [LOAD]`, for example `policy 600 1 brakeline 120`. Left-out
//! arguments mean 600 seconds, seed 1, both mixes and loads of 60, 90 and 120 %.

use {
    rand::{Rng, SeedableRng, rngs::StdRng},
    sardinerelay::{
        admission::{self, Objective},
        fleet::{Entry, Listed},
        router::{Description, Report},
        scheduler::{Decision, Ending, Policy, Refusal, Request, Scheduler, Settings},
    },
    sardinerelay_standin::batch::{Batch, Size},
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        env,
        time::{Duration, Instant},
    },
    uuid::Uuid,
};

const ENGINES: usize = 10;
const HOSTS: usize = 9;
const ZONES: usize = 3;
const ORGANISATIONS: usize = 10;
const MEMORY_TOKENS: u64 = 60_000;
const MAX_RUNNING: usize = 256;
const PREFILL_PER_STEP: u64 = 4_096;
/// Resolution of virtual time.
const TICK: Duration = Duration::from_millis(5);
/// Ticks of one decode iteration.
const STEP_TICKS: u64 = 4;
/// Ticks between two load reports of one engine to one host.
const REPORT_TICKS: u64 = 100;
/// Age of a report on arrival, in ticks.
const REPORT_AGE_TICKS: u64 = 40;
const STALL_TICKS: u64 = 50;
const MAX_TOKENS: u64 = 32_000;
/// Share of the callers who disconnect at a random point of a long answer.
const IMPATIENT: f64 = 0.05;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mix {
    Brakeline,
    Harakeke,
}

/// A caller's request, with the length that only the engine knows.
#[derive(Debug, Clone)]
struct Call {
    organisation: usize,
    class: &'static str,
    priority: u8,
    max_wait: Duration,
    prompt: u64,
    length: u64,
    cancel_at: Option<u64>,
}

#[derive(Debug, Clone, Copy)]
struct Run {
    mix: Mix,
    load: f64,
    policy: Policy,
    objective: Objective,
    seconds: u64,
    seed: u64,
}

#[derive(Debug)]
struct Open {
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
    reports: VecDeque<Report>,
}

#[derive(Debug, Default)]
struct Outcome {
    arrived: u64,
    refused: u64,
    refusals: BTreeMap<&'static str, u64>,
    lost: u64,
    complete: u64,
    goodput: u64,
    stall_ticks: u64,
    stream_ticks: u64,
    preemptions: u64,
    gaps: BTreeMap<u64, u64>,
    first_token: Vec<u64>,
    first_token_short: Vec<u64>,
    offered: [u64; ORGANISATIONS],
    served: [u64; ORGANISATIONS],
    used: f64,
    used_samples: u64,
    quantile: f64,
    calls: Vec<u32>,
}

#[derive(Debug)]
struct World {
    run: Run,
    rng: StdRng,
    start: Instant,
    tick: u64,
    engines: Vec<Engine>,
    hosts: Vec<Scheduler>,
    open: HashMap<Uuid, Open>,
    outcome: Outcome,
}

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let number = |at: usize, default: u64| {
        arguments
            .get(at)
            .and_then(|text| text.parse().ok())
            .unwrap_or(default)
    };
    let seconds = number(0, 600);
    let seed = number(1, 1);
    println!(
        "{:<9} {:>4} {:<17} {:>8} {:>7} {:>8} {:>21} {:>15} {:>15} {:>8} {:>8} {:>5} {:>5} {:>5} {:>5}",
        "mix",
        "load",
        "policy",
        "stall s",
        "stall %",
        "preempt",
        "gap p50/95/99/99.9 ms",
        "ttft p50/p99 s",
        "short p50/99",
        "goodput",
        "refused",
        "lost",
        "jain",
        "mem %",
        "q"
    );
    for mix in [Mix::Brakeline, Mix::Harakeke] {
        let name = format!("{mix:?}").to_lowercase();
        if arguments
            .get(2)
            .is_some_and(|wanted| *wanted != name && wanted != "both")
        {
            continue;
        }
        for percent in [60, 90, 120] {
            if arguments
                .get(3)
                .is_some_and(|wanted| wanted.parse() != Ok(percent))
            {
                continue;
            }
            for (policy, objective) in [
                (Policy::RoundRobin, Objective::Stall),
                (Policy::LeastInFlight, Objective::Stall),
                (Policy::Adaptive, Objective::Stall),
                (Policy::Adaptive, Objective::Preemption),
            ] {
                let run = Run {
                    mix,
                    load: f64::from(percent) / 100.0,
                    policy,
                    objective,
                    seconds,
                    seed,
                };
                World::new(run).play().print(&run);
            }
        }
    }
}

impl World {
    fn new(run: Run) -> Self {
        let start = Instant::now();
        let engines = (0..ENGINES)
            .map(|at| Engine {
                name: format!("engine-{at}"),
                batch: Batch::new(Size {
                    memory_tokens: MEMORY_TOKENS,
                    max_running: MAX_RUNNING,
                    prefill_tokens_per_step: PREFILL_PER_STEP,
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
            outcome: Outcome::default(),
        }
    }

    fn play(mut self) -> Outcome {
        // Arrivals have their own generator, so that every policy gets the same calls.
        let mut arrivals = StdRng::seed_from_u64(self.run.seed ^ 0x5eed);
        let rate = self.run.load * capacity(self.run.mix);
        let mut next_arrival = 0.0;
        let ticks = self.run.seconds * 1_000 / TICK.as_millis() as u64;
        while self.tick < ticks {
            if self.tick == ticks / 2 {
                self.engines[0].alive = false;
                self.fail(0);
            }
            while next_arrival <= (TICK * self.tick as u32).as_secs_f64() {
                let call = call(self.run.mix, &mut arrivals);
                let host = arrivals.random_range(0..HOSTS);
                self.outcome.arrived += 1;
                self.outcome.offered[call.organisation] += call.length;
                self.offer(call, host, self.tick);
                next_arrival += -arrivals.random::<f64>().max(1e-12).ln() / rate;
            }
            for engine in 0..ENGINES {
                if self.engines[engine].alive
                    && (self.tick + engine as u64).is_multiple_of(STEP_TICKS)
                {
                    self.step(engine);
                }
            }
            self.report();
            self.tick += 1;
        }
        self.close()
    }

    fn now(&self) -> Instant {
        self.start + TICK * self.tick as u32
    }

    /// Calls one host's scheduler, measures the call's real duration and applies the decisions.
    fn decide<F>(&mut self, host: usize, event: F)
    where
        F: FnOnce(&mut Scheduler, &mut StdRng, Instant) -> Vec<Decision>,
    {
        let now = self.now();
        let begun = Instant::now();
        let decisions = event(&mut self.hosts[host], &mut self.rng, now);
        let took = begun.elapsed().as_nanos().min(u128::from(u32::MAX)) as u32;
        self.outcome.calls.push(took);
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
                *self.outcome.refusals.entry(kind).or_default() += 1;
                self.outcome.refused += 1;
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
            prompt: call.prompt,
            max_tokens: MAX_TOKENS,
            prefixes: Vec::new(),
        };
        let open = Open {
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
            scheduler.finished(generation, Ending::Failed, rng, now)
        });
        self.offer(open.call, open.host, open.arrived);
    }

    /// The engine's connections are reset: started streams are lost, the others run elsewhere.
    fn fail(&mut self, engine: usize) {
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
            self.outcome.lost += 1;
            self.end(generation, Ending::Failed);
        }
    }

    fn end(&mut self, generation: Uuid, ending: Ending) {
        let Some(open) = self.open.remove(&generation) else {
            return;
        };
        if ending == Ending::Complete {
            self.outcome.complete += 1;
            self.outcome.goodput += open.generated;
            self.outcome.served[open.call.organisation] += open.generated;
        }
        self.decide(open.host, |scheduler, rng, now| {
            scheduler.finished(generation, ending, rng, now)
        });
    }

    fn step(&mut self, engine: usize) {
        let progress = self.engines[engine].batch.step();
        self.outcome.preemptions += progress.preempted.len() as u64;
        self.outcome.used += self.engines[engine].batch.used_tokens() as f64;
        self.outcome.used_samples += 1;
        let mut cancelled = Vec::new();
        for (generation, index) in progress.tokens {
            if self.token(generation, index + 1) {
                cancelled.push(generation);
            }
        }
        for generation in progress.finished {
            self.end(generation, Ending::Complete);
        }
        for generation in cancelled {
            self.engines[engine].batch.cancel(generation);
            self.end(generation, Ending::Cancelled);
        }
    }

    /// Delivers one token. Returns whether the caller disconnects after it.
    fn token(&mut self, generation: Uuid, generated: u64) -> bool {
        let tick = self.tick;
        let now = self.now();
        let Some(open) = self.open.get_mut(&generation) else {
            return false;
        };
        let scheduler = &mut self.hosts[open.host];
        if let Some(last) = open.last_token {
            let gap = tick - last;
            *self.outcome.gaps.entry(gap).or_default() += 1;
            self.outcome.stall_ticks += gap.saturating_sub(STALL_TICKS);
            self.outcome.stream_ticks += gap;
            let begun = Instant::now();
            scheduler.token_progress(generation, generated, now);
            self.outcome.calls.push(begun.elapsed().as_nanos() as u32);
        } else {
            self.outcome.first_token.push(tick - open.arrived);
            if open.call.priority == 0 {
                self.outcome.first_token_short.push(tick - open.arrived);
            }
            scheduler.first_token(generation, now);
        }
        open.last_token = Some(tick);
        open.generated = generated;
        open.call.cancel_at == Some(generated) && generated < open.call.length
    }

    /// Takes and delivers load reports, and calls the schedulers' periodic work.
    fn report(&mut self) {
        for engine in self.engines.iter_mut().filter(|engine| engine.alive) {
            engine.reports.push_back(Report {
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
                if !(self.tick + phase).is_multiple_of(REPORT_TICKS) || !self.engines[engine].alive
                {
                    continue;
                }
                let Some(report) = self.engines[engine].reports.front().copied() else {
                    continue;
                };
                let name = self.engines[engine].name.clone();
                self.decide(host, |scheduler, rng, now| {
                    scheduler.report(&name, report, rng, now)
                });
            }
            if (self.tick + host as u64).is_multiple_of(20) {
                self.decide(host, |scheduler, rng, now| scheduler.tick(rng, now));
            }
        }
    }

    fn close(mut self) -> Outcome {
        for open in self.open.values() {
            let Some(last) = open.last_token else {
                continue;
            };
            let gap = self.tick - last;
            self.outcome.stall_ticks += gap.saturating_sub(STALL_TICKS);
            self.outcome.stream_ticks += gap;
        }
        self.outcome.quantile =
            self.hosts.iter().map(Scheduler::quantile).sum::<f64>() / HOSTS as f64;
        self.outcome
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
        let about = Description {
            name: engine.name.as_str().into(),
            zone: format!("zone-{}", at % ZONES).into(),
            memory_tokens: MEMORY_TOKENS,
            models: vec!["model".into()],
        };
        scheduler.fleet_mut().observe(&[Entry {
            target: about.name.clone(),
            incarnation: 1,
            listed: Listed::Live,
        }]);
        scheduler.describe(about, now);
    }
    scheduler
}

/// Requests per second that fill the engines' memory, from the memory-time of the average call.
fn capacity(mix: Mix) -> f64 {
    let mut rng = StdRng::seed_from_u64(7);
    let samples = 200_000;
    let total: f64 = (0..samples)
        .map(|_| {
            let call = call(mix, &mut rng);
            let length = call.cancel_at.unwrap_or(call.length) as f64;
            length * (call.prompt as f64 + length / 2.0)
        })
        .sum();
    let step = (TICK * STEP_TICKS as u32).as_secs_f64();
    (ENGINES as u64 * MEMORY_TOKENS) as f64 / (total / f64::from(samples) * step)
}

fn call(mix: Mix, rng: &mut StdRng) -> Call {
    // The share of the n-th organisation falls with its rank, so a few are large.
    let weights: f64 = (1..=ORGANISATIONS).map(|rank| 1.0 / rank as f64).sum();
    let mut left = rng.random::<f64>() * weights;
    let organisation = (0..ORGANISATIONS)
        .find(|rank| {
            left -= 1.0 / (rank + 1) as f64;
            left <= 0.0
        })
        .unwrap_or(0);
    let long = rng.random_bool(match mix {
        Mix::Brakeline => 0.25,
        Mix::Harakeke => 0.6,
    });
    let (class, prompt, length) = match (mix, long) {
        (Mix::Brakeline, true) => {
            let steps = rng.random_range(10..=80);
            let length = (0..steps).map(|_| rng.random_range(30..=50)).sum();
            ("plan", rng.random_range(300..=900), length)
        }
        (Mix::Brakeline, false) => (
            "question",
            rng.random_range(60..=200),
            rng.random_range(20..=80),
        ),
        (Mix::Harakeke, true) if rng.random_bool(0.05) => {
            let tail = 600.0 * rng.random::<f64>().max(1e-9).powf(-1.0 / 1.2);
            (
                "draft",
                rng.random_range(100..=400),
                (tail as u64).min(8_000),
            )
        }
        (Mix::Harakeke, true) => (
            "draft",
            rng.random_range(100..=400),
            rng.random_range(100..=600),
        ),
        (Mix::Harakeke, false) => (
            "sorting",
            rng.random_range(150..=500),
            rng.random_range(5..=20),
        ),
    };
    let impatient = long && rng.random_bool(IMPATIENT);
    let cancel_at = rng.random_range(1..=length);
    Call {
        organisation,
        class,
        priority: u8::from(long),
        max_wait: Duration::from_secs(if long { 30 } else { 5 }),
        prompt,
        length,
        cancel_at: impatient.then_some(cancel_at),
    }
}

impl Outcome {
    fn print(mut self, run: &Run) {
        let name = match run.policy {
            Policy::Adaptive => format!("adaptive/{:?}", run.objective).to_lowercase(),
            policy => format!("{policy:?}").to_lowercase(),
        };
        let seconds = |ticks: u64| (TICK * ticks as u32).as_secs_f64();
        let gaps: Vec<String> = [0.5, 0.95, 0.99, 0.999]
            .map(|q| format!("{:.0}", seconds(self.gap(q)) * 1_000.0))
            .to_vec();
        let mut first = |values: fn(&mut Self) -> &mut Vec<u64>, q: f64| {
            let values = values(&mut self);
            values.sort_unstable();
            seconds(at_quantile(values, q))
        };
        let ttft = [
            first(|outcome| &mut outcome.first_token, 0.5),
            first(|outcome| &mut outcome.first_token, 0.99),
            first(|outcome| &mut outcome.first_token_short, 0.5),
            first(|outcome| &mut outcome.first_token_short, 0.99),
        ];
        println!(
            "{:<9} {:>4.0} {:<17} {:>8.1} {:>7.3} {:>8} {:>21} {:>15} {:>15} {:>8.0} {:>8} {:>5} {:>5.3} {:>5.1} {:>5.3}",
            format!("{:?}", run.mix).to_lowercase(),
            run.load * 100.0,
            name,
            seconds(self.stall_ticks),
            100.0 * self.stall_ticks as f64 / self.stream_ticks.max(1) as f64,
            self.preemptions,
            gaps.join("/"),
            format!("{:.2}/{:.2}", ttft[0], ttft[1]),
            format!("{:.2}/{:.2}", ttft[2], ttft[3]),
            self.goodput as f64 / run.seconds as f64,
            self.refused,
            self.lost,
            self.jain(),
            100.0 * self.used / self.used_samples as f64 / MEMORY_TOKENS as f64,
            self.quantile,
        );
        self.calls.sort_unstable();
        let mean =
            self.calls.iter().map(|ns| f64::from(*ns)).sum::<f64>() / self.calls.len() as f64;
        eprintln!(
            "  refusals {:?}, calls {} arrived {} complete {}: mean {:.0} ns, p99 {} ns, p99.9 {} ns, max {} ns",
            self.refusals,
            self.calls.len(),
            self.arrived,
            self.complete,
            mean,
            at_quantile(&self.calls, 0.99),
            at_quantile(&self.calls, 0.999),
            self.calls.last().copied().unwrap_or(0),
        );
    }

    fn gap(&self, q: f64) -> u64 {
        let all: u64 = self.gaps.values().sum();
        let mut seen = 0;
        self.gaps
            .iter()
            .find(|(_, count)| {
                seen += **count;
                seen as f64 >= q * all as f64
            })
            .map_or(0, |(gap, _)| *gap)
    }

    /// Fairness of the served share of what each organisation asked for.
    fn jain(&self) -> f64 {
        let shares: Vec<f64> = self
            .offered
            .iter()
            .zip(self.served)
            .filter(|(offered, _)| **offered > 0)
            .map(|(offered, served)| served as f64 / *offered as f64)
            .collect();
        let sum: f64 = shares.iter().sum();
        let squares: f64 = shares.iter().map(|share| share * share).sum();
        sum * sum / (shares.len() as f64 * squares)
    }
}

fn at_quantile<T>(sorted: &[T], q: f64) -> T
where
    T: Copy + Default,
{
    let at = (q * sorted.len() as f64) as usize;
    sorted
        .get(at.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or_default()
}
