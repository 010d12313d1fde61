//! Parts of prompts that make engines crash after the first event, among sound generations that are taken along.

use {
    rand::{Rng as _, SeedableRng as _, rngs::StdRng},
    rstest::rstest,
    sardinerelay_gateway::{
        call::PartId,
        quarantine::{Crash, LateCrash, Quarantine},
        targets::RunId,
    },
    std::{
        collections::BTreeMap,
        ops::Range,
        time::{Duration, Instant},
    },
};

/// Time that a crashed engine is away.
const DOWN_TIME: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(10);
/// Time from the arrival of a request to its first event.
const READ_TIME: Duration = Duration::from_millis(100);
/// Time from a crash until the allocating host knows it.
const NEWS_TIME: Duration = Duration::from_millis(60);
/// Time after the fifth crash in which all hosts must refuse a part, and requests that may reach engines later, on the
/// users' platform.
const REFUSAL_TIME: Duration = Duration::from_secs(3);
const MAX_LATE_REQUESTS: usize = 3;
const CRASHES: usize = 5;
/// Time for which sound requests come before the first one with a crashing part.
const CALM: Duration = Duration::from_secs(12);
const END: Duration = Duration::from_secs(50);
const FIRST_CRASHING_PART: PartId = 0xbad0;

/// What comes and what fails.
#[derive(Debug, Clone)]
struct Load {
    engines: usize,
    requests_per_second: f64,
    /// Number of first parts that requests share.
    shared_parts: u64,
    /// Time from the first event to the last one of sound requests, in milliseconds.
    sound_ms: Range<u64>,
    /// Part of all requests that have a crashing part, number of these parts, and the times from the first event to
    /// the crash in milliseconds.
    crashing_share: f64,
    crashing_parts: u64,
    crash_ms: Range<u64>,
    /// Whether the crashing part stands before the one that requests share.
    is_first: bool,
    /// Engines that end for another reason, per second, and number of engines that end together.
    other_crashes_per_second: f64,
    other_crashes_at_once: usize,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            engines: 9,
            requests_per_second: 26.0,
            shared_parts: 1,
            sound_ms: 200..260,
            crashing_share: 0.1,
            crashing_parts: 1,
            crash_ms: 10..11,
            is_first: false,
            other_crashes_per_second: 0.0,
            other_crashes_at_once: 1,
        }
    }
}

#[derive(Debug, Clone)]
struct Run {
    id: RunId,
    parts: Vec<PartId>,
    began: Instant,
    /// When it ends, by its last event or a crash of its engine.
    ends: Instant,
    crashes: bool,
}

/// What happened.
#[derive(Debug, Default)]
struct Outcome {
    /// Sound requests that were refused.
    wrongly_refused: usize,
    /// For each crashing part, when engines crashed of it and when its requests reached engines.
    crashes: BTreeMap<PartId, Vec<Instant>>,
    reached: BTreeMap<PartId, Vec<Instant>>,
}

impl Outcome {
    /// Returns the largest number of requests with one crashing part that reached engines too late.
    fn late_requests(&self) -> usize {
        let late = |(part, crashes): (&PartId, &Vec<Instant>)| {
            let bound = *crashes.get(CRASHES - 1)? + REFUSAL_TIME;
            Some(self.reached[part].iter().filter(|at| **at > bound).count())
        };
        self.crashes.iter().filter_map(late).max().unwrap_or(0)
    }
}

/// An engine's runs, none while it is away.
type Engine = Result<Vec<Run>, Instant>;

struct Simulation {
    load: Load,
    rng: StdRng,
    quarantine: Quarantine,
    engines: Vec<(u64, Engine)>,
    next_run: RunId,
    outcome: Outcome,
}

impl Simulation {
    fn run(load: Load, seed: u64) -> Outcome {
        let mut simulation = Self {
            engines: (0..load.engines).map(|_| (1, Ok(Vec::new()))).collect(),
            load,
            rng: StdRng::seed_from_u64(seed),
            quarantine: Quarantine::default(),
            next_run: 0,
            outcome: Outcome::default(),
        };
        let began = Instant::now();
        let mut now = began;
        while now < began + END {
            simulation.step(now, now >= began + CALM);
            now += STEP;
        }
        simulation.outcome
    }

    fn step(&mut self, now: Instant, has_trouble: bool) {
        let arrives = self.chance(self.load.requests_per_second);
        if arrives {
            let crashes = has_trouble && self.rng.random_bool(self.load.crashing_share);
            self.arrive(crashes, now);
        }
        if has_trouble && self.chance(self.load.other_crashes_per_second) {
            for _ in 0..self.load.other_crashes_at_once {
                let number = self.rng.random_range(0..self.engines.len());
                self.crash(number, now);
            }
        }
        for number in 0..self.engines.len() {
            self.advance(number, now);
        }
        self.quarantine.judge(now);
    }

    /// Whether something that comes this often a second comes in this step.
    fn chance(&mut self, per_second: f64) -> bool {
        self.rng
            .random_bool((per_second * STEP.as_secs_f64()).min(1.0))
    }

    fn arrive(&mut self, crashes: bool, now: Instant) {
        let shared = self.rng.random_range(0..self.load.shared_parts);
        let crashing = FIRST_CRASHING_PART + self.rng.random_range(0..self.load.crashing_parts);
        let parts = match (crashes, self.load.is_first) {
            (false, _) => vec![shared],
            (true, false) => vec![shared, crashing],
            (true, true) => vec![crashing, shared],
        };
        if self.quarantine.refusal(&parts, now).is_some() {
            self.outcome.wrongly_refused += usize::from(!crashes);
            return;
        }
        let up = |(_, engine): &&mut (u64, Engine)| engine.is_ok();
        let mut up: Vec<_> = self.engines.iter_mut().filter(up).collect();
        if up.is_empty() {
            return;
        }
        let chosen = self.rng.random_range(0..up.len());
        self.next_run += 1;
        let lasts = match crashes {
            true => self.load.crash_ms.clone(),
            false => self.load.sound_ms.clone(),
        };
        let began = now + READ_TIME;
        let run = Run {
            id: self.next_run,
            ends: began + Duration::from_millis(self.rng.random_range(lasts)),
            parts,
            began,
            crashes,
        };
        if crashes {
            let reached = self.outcome.reached.entry(crashing).or_default();
            reached.push(now);
        }
        self.quarantine.record_sent(run.id, &run.parts);
        if let (_, Ok(runs)) = &mut up[chosen] {
            runs.push(run);
        }
    }

    /// Lets an engine work, crash or come back.
    fn advance(&mut self, number: usize, now: Instant) {
        let (incarnation, engine) = &mut self.engines[number];
        let runs = match engine {
            Ok(runs) => runs,
            Err(back) => {
                if now >= *back {
                    *incarnation += 1;
                    *engine = Ok(Vec::new());
                }
                return;
            }
        };
        for run in runs.iter() {
            if run.began <= now && now < run.began + STEP {
                self.quarantine.record_started(run.id, now);
            }
        }
        let ended: Vec<Run> = runs.extract_if(.., |run| run.ends <= now).collect();
        let mut crashing = ended.iter().filter(|run| run.crashes);
        if let Some(crashing) = crashing.next().cloned() {
            let part = crashing
                .parts
                .iter()
                .find(|part| **part >= FIRST_CRASHING_PART);
            let part = *part.expect("a crashing part");
            self.outcome.crashes.entry(part).or_default().push(now);
            if let (_, Ok(runs)) = &mut self.engines[number] {
                runs.extend(ended);
            }
            self.crash(number, now);
            return;
        }
        for run in ended {
            self.quarantine.record_answered(run.id);
        }
    }

    /// Ends an engine. All its runs are reported, in any order.
    fn crash(&mut self, number: usize, now: Instant) {
        let (incarnation, engine) = &mut self.engines[number];
        let Ok(mut runs) = std::mem::replace(engine, Err(now + DOWN_TIME)) else {
            return;
        };
        let incarnation = *incarnation;
        while !runs.is_empty() {
            let run = runs.swap_remove(self.rng.random_range(0..runs.len()));
            let crash = Crash {
                request: run.id,
                target: format!("e{number}").into(),
                incarnation,
                subjects: run.parts,
            };
            match now.checked_duration_since(run.began) {
                Some(lasted) => {
                    let late = LateCrash {
                        crash,
                        run: run.id,
                        lasted,
                        age: NEWS_TIME,
                    };
                    self.quarantine.record_late_crash(&late, now + NEWS_TIME);
                }
                None => {
                    self.quarantine.record_crash(&crash, now + NEWS_TIME);
                }
            }
            self.quarantine.record_end(run.id);
        }
    }
}

/// Guards against parts that crash engines after their first event and are never refused, and against sound requests
/// that are refused since they were at the same engines.
#[rstest]
#[case::just_after_the_first_event(Load::default())]
#[case::at_the_last_event(Load { crash_ms: 230..250, ..Load::default() })]
#[case::at_any_event(Load { crash_ms: 0..1500, ..Load::default() })]
#[case::rare(Load { crashing_share: 0.02, ..Load::default() })]
#[case::frequent(Load { crashing_share: 0.3, engines: 20, ..Load::default() })]
#[case::at_the_start_of_the_prompt(Load { is_first: true, ..Load::default() })]
#[case::two_parts(Load { crashing_parts: 2, engines: 20, ..Load::default() })]
#[case::long_generations(Load { sound_ms: 5_000..25_000, shared_parts: 20, requests_per_second: 4.0, ..Load::default() })]
#[case::long_until_the_crash(Load { sound_ms: 5_000..25_000, crash_ms: 2_000..4_000, shared_parts: 20, ..Load::default() })]
#[case::engines_end_too(Load { other_crashes_per_second: 0.3, shared_parts: 20, sound_ms: 1_000..8_000, ..Load::default() })]
#[case::many_engines_end_too(Load { other_crashes_per_second: 0.1, other_crashes_at_once: 5, shared_parts: 20, sound_ms: 1_000..8_000, ..Load::default() })]
#[case::only_engines_that_end(Load { crashing_share: 0.0, other_crashes_per_second: 0.2, other_crashes_at_once: 2, shared_parts: 20, sound_ms: 2_000..12_000, ..Load::default() })]
fn a_part_that_crashes_engines_after_their_first_event_is_not_refused(#[case] load: Load) {
    for seed in 0..40 {
        let outcome = Simulation::run(load.clone(), seed);
        assert_eq!(
            outcome.wrongly_refused, 0,
            "seed {seed}: sound requests refused"
        );
        let late = outcome.late_requests();
        assert!(
            late <= MAX_LATE_REQUESTS,
            "seed {seed}: {late} requests came too late"
        );
    }
}
