//! How evenly many hosts that choose at the same time load targets, without a network. Run with
//! `--nocapture` for the figures of `docs/design/even-load.md`.

use {
    rand::{Rng as _, SeedableRng as _, rngs::StdRng, seq::index},
    sardinerelay::estimate::{
        Speed, Typical,
        choice::{best_of, expected_delay},
    },
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
        time::{Duration, Instant},
    },
};

const HOSTS: usize = 300;
const TARGETS: usize = 45;
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];
/// Share of the targets' capacity that is asked for.
const UTILISATION: f64 = 0.7;
const REPORT_AGE_US: u64 = 500_000;
const REPORT_INTERVAL_US: u64 = 100_000;
/// Interval at which some targets change their speed, and how many.
const CHANGE_INTERVAL_US: u64 = 1_000_000;
const CHANGED_TARGETS: usize = 8;

/// A rule by which a host chooses.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Rule {
    /// The lowest of four random targets by load, as hosts that allocate for themselves choose today.
    LeastLoadedOf4,
    /// The least of this host's own calls, as calls to plain targets choose today.
    OwnCalls,
    /// The lowest expected delay of this many random targets.
    BestOf(usize),
    /// At random, with probabilities inverse to the expected delay.
    ByWeight,
}

/// What is asked of the targets.
#[derive(Debug, Clone, Copy)]
struct Kind {
    /// Time of a request at an idle target of speed 1, in microseconds.
    work_us: f64,
    slots: usize,
    /// Whether targets report their loads. Targets of plain services don't.
    has_reports: bool,
    /// Length of the simulation in microseconds.
    end_us: u64,
}

const CALLS: Kind = Kind {
    work_us: 45_000.0,
    slots: 6,
    has_reports: false,
    end_us: 10_000_000,
};
const GENERATIONS: Kind = Kind {
    work_us: 3_000_000.0,
    slots: 24,
    has_reports: true,
    end_us: 60_000_000,
};

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Report,
    Change,
    Arrival(usize),
    /// The end of the call with this number.
    End(usize),
}

struct Call {
    host: usize,
    target: usize,
    arrived: u64,
    work_us: f64,
}

#[derive(Clone)]
struct Target {
    speed: f64,
    running: usize,
    queue: VecDeque<usize>,
    /// Work of running and waiting calls.
    work_us: f64,
}

/// What a host knows of one target.
#[derive(Clone, Default)]
struct Known {
    speed: Speed,
    own: usize,
}

struct Host {
    known: Vec<Known>,
    typical: Typical,
}

/// What came of one rule.
#[derive(Debug)]
struct Outcome {
    /// Time-weighted mean of the expected work of the busiest target, as a multiple of the mean one.
    spread: f64,
    /// Time-weighted mean of the expected work of the busiest target, in milliseconds.
    busiest_ms: f64,
    /// Milliseconds that 50, 95 and 99 % of calls took at most.
    took_ms: [f64; 3],
}

struct Simulation {
    rule: Rule,
    kind: Kind,
    rng: StdRng,
    start: Instant,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    targets: Vec<Target>,
    hosts: Vec<Host>,
    calls: Vec<Call>,
    /// Loads that were reported, and when.
    reports: VecDeque<(u64, Vec<usize>)>,
}

impl Simulation {
    fn new(rule: Rule, kind: Kind) -> Self {
        let target = |number: usize| Target {
            speed: SPEEDS[number % SPEEDS.len()],
            running: 0,
            queue: VecDeque::new(),
            work_us: 0.0,
        };
        let host = || Host {
            known: vec![Known::default(); TARGETS],
            typical: Typical::default(),
        };
        let mut simulation = Self {
            rule,
            kind,
            rng: StdRng::seed_from_u64(11),
            start: Instant::now(),
            events: BinaryHeap::new(),
            targets: (0..TARGETS).map(target).collect(),
            hosts: (0..HOSTS).map(|_| host()).collect(),
            calls: Vec::new(),
            reports: VecDeque::from([(0, vec![0; TARGETS])]),
        };
        simulation.schedule(0, Event::Report);
        simulation.schedule(CHANGE_INTERVAL_US, Event::Change);
        (0..HOSTS).for_each(|host| simulation.schedule_arrival(0, host));
        simulation
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    /// A time with this mean, exponentially distributed.
    fn random_time(&mut self, mean: f64) -> f64 {
        -(1.0 - self.rng.random::<f64>()).ln() * mean
    }

    fn schedule_arrival(&mut self, now: u64, host: usize) {
        let mean_speed = SPEEDS.iter().sum::<f64>() / SPEEDS.len() as f64;
        let capacity = (TARGETS * self.kind.slots) as f64 * mean_speed / self.kind.work_us;
        let interval = self.random_time(HOSTS as f64 / (capacity * UTILISATION));
        self.schedule(now + interval as u64, Event::Arrival(host));
    }

    fn at(&self, now: u64) -> Instant {
        self.start + Duration::from_micros(now)
    }

    fn choose(&mut self, host: usize, now: u64) -> usize {
        let at = self.at(now);
        let (read, reported) = &self.reports[0];
        let known = &self.hosts[host];
        let typical = &known.typical;
        let is_old = now.saturating_sub(*read) < 1;
        let loads = |target: usize| {
            let own = known.known[target].own;
            match self.kind.has_reports && !is_old {
                true => reported[target].max(own) as f64,
                false => own as f64 * 3.0,
            }
        };
        let delay = |target: usize| {
            let speed = known.known[target].speed.relative(typical, at);
            expected_delay((loads(target) + 1.0) / self.kind.slots as f64, speed)
        };
        let rng = &mut self.rng;
        let chosen = match self.rule {
            Rule::LeastLoadedOf4 => best_of(4, TARGETS, loads, rng),
            Rule::OwnCalls => {
                let own = |target: usize| known.known[target].own as f64 * 3.0;
                let random = |_| rng.random::<f64>() * 0.05 * self.kind.slots as f64;
                let random: Vec<f64> = (0..TARGETS).map(random).collect();
                best_of(TARGETS, TARGETS, |target| own(target) + random[target], rng)
            }
            Rule::BestOf(count) => best_of(count, TARGETS, delay, rng),
            Rule::ByWeight => {
                let weights: Vec<f64> = (0..TARGETS).map(|target| 1.0 / delay(target)).collect();
                let mut rest = rng.random::<f64>() * weights.iter().sum::<f64>();
                weights.iter().position(|weight| {
                    rest -= weight;
                    rest <= 0.0
                })
            }
        };
        chosen.unwrap_or(0)
    }

    fn arrive(&mut self, host: usize, now: u64) {
        self.schedule_arrival(now, host);
        let target = self.choose(host, now);
        let work_us = self.random_time(self.kind.work_us / 2.0) + self.kind.work_us / 2.0;
        let number = self.calls.len();
        self.calls.push(Call {
            host,
            target,
            arrived: now,
            work_us,
        });
        self.hosts[host].known[target].own += 1;
        self.targets[target].work_us += work_us;
        self.targets[target].queue.push_back(number);
        self.run_next(target, now);
    }

    fn run_next(&mut self, target: usize, now: u64) {
        let state = &mut self.targets[target];
        if state.running >= self.kind.slots {
            return;
        }
        let Some(number) = state.queue.pop_front() else {
            return;
        };
        state.running += 1;
        let took = self.calls[number].work_us / state.speed;
        self.schedule(now + took as u64, Event::End(number));
    }

    fn end(&mut self, number: usize, now: u64) -> u64 {
        let at = self.at(now);
        let Call {
            host,
            target,
            arrived,
            work_us,
        } = self.calls[number];
        let state = &mut self.targets[target];
        state.running -= 1;
        state.work_us -= work_us;
        let took = (now - arrived).max(1);
        let host = &mut self.hosts[host];
        let rate = 1e6 / took as f64;
        host.typical.record(rate);
        host.known[target].own -= 1;
        host.known[target].speed.record(rate, at);
        self.run_next(target, now);
        took
    }

    /// Expected work of the busiest target and of all on average, in microseconds for one slot.
    fn expected_work(&self) -> (f64, f64) {
        let work = self
            .targets
            .iter()
            .map(|target| target.work_us / target.speed);
        let (mut max, mut sum) = (0.0_f64, 0.0);
        for work in work {
            max = max.max(work);
            sum += work;
        }
        (max, sum / TARGETS as f64)
    }

    fn run(mut self) -> Outcome {
        let mut took = Vec::new();
        let (mut spread, mut busiest, mut last) = (0.0, 0.0, 0);
        while let Some(Reverse((now, event))) = self.events.pop() {
            if now > self.kind.end_us {
                break;
            }
            let (max, mean) = self.expected_work();
            spread += max / mean.max(1.0) * (now - last) as f64;
            busiest += max * (now - last) as f64;
            last = now;
            match event {
                Event::Arrival(host) => self.arrive(host, now),
                Event::End(number) => took.push(self.end(number, now)),
                Event::Report => {
                    let loads = self.targets.iter();
                    let loads = loads
                        .map(|target| target.running + target.queue.len())
                        .collect();
                    self.reports.push_back((now, loads));
                    while self
                        .reports
                        .get(1)
                        .is_some_and(|(at, _)| at + REPORT_AGE_US <= now)
                    {
                        self.reports.pop_front();
                    }
                    self.schedule(now + REPORT_INTERVAL_US, Event::Report);
                }
                Event::Change => {
                    for target in index::sample(&mut self.rng, TARGETS, CHANGED_TARGETS) {
                        self.targets[target].speed = SPEEDS[self.rng.random_range(0..SPEEDS.len())];
                    }
                    self.schedule(now + CHANGE_INTERVAL_US, Event::Change);
                }
            }
        }
        took.sort_unstable();
        let percentile = |percent: usize| took[took.len() * percent / 100] as f64 / 1000.0;
        Outcome {
            spread: spread / last as f64,
            busiest_ms: busiest / last as f64 / 1000.0,
            took_ms: [percentile(50), percentile(95), percentile(99)],
        }
    }
}

fn simulate(rule: Rule, kind: Kind) -> Outcome {
    let outcome = Simulation::new(rule, kind).run();
    let Outcome {
        spread,
        busiest_ms,
        took_ms,
    } = &outcome;
    println!(
        "{} slots, {rule:?}: spread {spread:.2}, busiest {busiest_ms:.0} ms, p50, p95, p99 {took_ms:.0?} ms",
        kind.slots
    );
    outcome
}

/// Hosts that see only their own calls to plain targets load slow ones like fast ones.
#[test]
fn callers_of_plain_targets_wait_less_by_expected_delay() {
    let [_, before, _] = simulate(Rule::OwnCalls, CALLS).took_ms;
    let _ = simulate(Rule::ByWeight, CALLS);
    let [_, after, _] = simulate(Rule::BestOf(2), CALLS).took_ms;
    assert!(after < 0.5 * before, "{after} ms against {before} ms");
}

/// Hosts that allocate engines on their own compare four by load. The time to finish must not make
/// callers wait longer; it can't gain much there, since reports show slow engines as full.
#[test]
fn callers_of_engines_do_not_wait_longer_by_expected_delay() {
    let [_, before, _] = simulate(Rule::LeastLoadedOf4, GENERATIONS).took_ms;
    let _ = simulate(Rule::ByWeight, GENERATIONS);
    let _ = simulate(Rule::BestOf(2), GENERATIONS);
    let [_, after, _] = simulate(Rule::BestOf(4), GENERATIONS).took_ms;
    assert!(after < 1.05 * before, "{after} ms against {before} ms");
}
