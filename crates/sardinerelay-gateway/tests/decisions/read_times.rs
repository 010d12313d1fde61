//! How soon leaves and crashes are noticed, and for how many reads, compared with one read of every report
//! each 300 ms.

use {
    super::fixtures::{instance, load},
    rand::{Rng as _, SeedableRng as _, rngs::StdRng, seq::SliceRandom as _},
    rstest::rstest,
    sardinerelay_gateway::{
        observations::{Instance, LoadReport, Observations},
        observer::schedule::{HURRIED_TIME, Known, Schedule},
        targets::Targets,
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

const ENGINES: usize = 45;
const RECLAIMED: usize = 8;
const RECLAIM_INTERVAL_MS: u64 = 3_300;
const NOTICE_MS: u64 = 1_700;
/// Time between the end of a reclaimed engine and the list that names its successor.
const LIST_LAG_MS: u64 = 800;
const RESPONSE_MS: u64 = 2;
const PUBLISH_INTERVAL_MS: u64 = 120;

/// The schedule of the release before: each report every 300 ms. After the reads of all reports, the regular
/// ones follow the same moment.
struct Before {
    next: BTreeMap<String, u64>,
    last_hurry: u64,
}

enum Reader {
    Before(Before),
    After(Schedule, Instant),
}

impl Reader {
    fn before() -> Self {
        Self::Before(Before {
            next: BTreeMap::new(),
            last_hurry: 0,
        })
    }

    fn after() -> Self {
        let now = Instant::now();
        Self::After(Schedule::new(now), now)
    }

    /// Returns the engines to read and the time of the next look.
    fn due(&mut self, engines: &[Engine], now: u64) -> (Vec<usize>, u64) {
        match self {
            Self::Before(before) => {
                let spacing = 300_000 / engines.len() as u64;
                let mut due = Vec::new();
                let mut next_look = now + 300;
                for (index, engine) in engines.iter().enumerate() {
                    let first = now + spacing * index as u64 / 1000;
                    let name = engine.instance.target.to_string();
                    let next = before.next.entry(name).or_insert(first);
                    if *next <= now {
                        *next = now + 300;
                        due.push(index);
                    }
                    next_look = next_look.min(*next);
                }
                (due, next_look.max(now + 5))
            }
            Self::After(schedule, began) => {
                let instant = |ms: u64| *began + Duration::from_millis(ms);
                let instances: Vec<_> = engines.iter().map(|engine| &engine.instance).collect();
                let known = |instance: &Instance| {
                    let engine = engines.iter().find(|engine| engine.instance == *instance);
                    let engine = engine.expect("it is listed");
                    Known {
                        reported: engine.reported.map(instant),
                        has_claims: engine.has_claims,
                        is_leaving: engine.noticed.is_some(),
                    }
                };
                let due = schedule.due(&instances, known, instant(now));
                let position = |instance: &Instance| {
                    let found = engines
                        .iter()
                        .position(|engine| engine.instance == *instance);
                    found.expect("it is listed")
                };
                let wait = schedule.wait(instant(now)).as_micros().div_ceil(1000);
                (due.iter().map(position).collect(), now + wait as u64)
            }
        }
    }

    fn hurry(&mut self, now: u64) {
        match self {
            Self::Before(before) => {
                if now - before.last_hurry <= 300 {
                    return;
                }
                before.last_hurry = now;
                let spacing = HURRIED_TIME.as_micros() as u64 / before.next.len() as u64;
                for (index, next) in before.next.values_mut().enumerate() {
                    *next = (now + spacing * index as u64 / 1000).min(*next);
                }
            }
            Self::After(schedule, began) => schedule.hurry(*began + Duration::from_millis(now)),
        }
    }
}

struct Engine {
    instance: Instance,
    has_claims: bool,
    /// When its last report was read.
    reported: Option<u64>,
    /// When it begins to leave.
    leaves: Option<u64>,
    noticed: Option<u64>,
    /// When it stops to answer.
    ends: u64,
}

impl Engine {
    fn new(number: usize) -> Self {
        Self {
            instance: instance(number),
            has_claims: true,
            reported: None,
            leaves: None,
            noticed: None,
            ends: u64::MAX,
        }
    }
}

#[derive(Debug, Default)]
struct Outcome {
    /// Milliseconds from the beginning of each leave until it was noticed.
    leaves: Vec<u64>,
    /// The same of the last of each group.
    groups: Vec<u64>,
    reads_per_s: f64,
}

impl Outcome {
    fn percentile(times: &[u64], share: f64) -> u64 {
        let mut sorted = times.to_vec();
        sorted.sort_unstable();
        sorted[((sorted.len() - 1) as f64 * share) as usize]
    }
}

/// Lets groups of engines be reclaimed, whose notices come up to `stagger_ms` apart.
fn reclaim(reader: &mut Reader, groups: u64, stagger_ms: u64, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut engines: Vec<_> = (0..ENGINES).map(Engine::new).collect();
    let mut outcome = Outcome::default();
    let (mut next_look, mut hurries, mut reads, mut created) = (0, Vec::new(), 0, ENGINES);
    let mut next_reclaim = 2_000 + rng.random_range(0..1_000);
    let time = next_reclaim + groups * RECLAIM_INTERVAL_MS;
    for now in 0..time {
        if now == next_reclaim {
            next_reclaim += RECLAIM_INTERVAL_MS - 300 + rng.random_range(0..600);
            let mut staying: Vec<_> = engines.iter_mut().collect();
            staying.retain(|engine| engine.leaves.is_none());
            staying.shuffle(&mut rng);
            for engine in staying.into_iter().take(RECLAIMED) {
                let begin = now + rng.random_range(0..=stagger_ms);
                (engine.leaves, engine.ends) = (Some(begin), begin + NOTICE_MS);
            }
        }
        for engine in &mut engines {
            if engine.ends.saturating_add(LIST_LAG_MS) == now {
                let begin = engine.leaves.expect("it left");
                let noticed = engine.noticed.map_or(NOTICE_MS, |noticed| noticed - begin);
                outcome.leaves.push(noticed);
                *engine = Engine::new(created);
                created += 1;
            }
        }
        if hurries.contains(&now) {
            hurries.clear();
            reader.hurry(now);
            next_look = now;
        }
        if now < next_look {
            continue;
        }
        let (due, look) = reader.due(&engines, now);
        next_look = look;
        for index in due {
            reads += 1;
            let engine = &mut engines[index];
            if now >= engine.ends {
                continue;
            }
            engine.reported = Some(now + RESPONSE_MS);
            let is_leaving = engine.leaves.is_some_and(|begin| begin <= now);
            if is_leaving && engine.noticed.is_none() {
                // The first response that closes its connection is followed by another read.
                reads += 1;
                engine.noticed = Some(now + 2 * RESPONSE_MS);
                hurries.push(now + 2 * RESPONSE_MS);
            }
        }
    }
    outcome.reads_per_s = reads as f64 * 1000.0 / time as f64;
    for group in outcome.leaves.chunks_exact(RECLAIMED) {
        outcome.groups.extend(group.iter().max());
    }
    outcome
}

fn print(name: &str, outcome: &Outcome) {
    let at = |share| Outcome::percentile(&outcome.leaves, share);
    let last = |share| Outcome::percentile(&outcome.groups, share);
    println!(
        "{name}: {:.1} reads/s, leave noticed after {} / {} / {} ms (p50, p95, most), last of a group {} / {} ms",
        outcome.reads_per_s,
        at(0.5),
        at(0.95),
        at(1.0),
        last(0.5),
        last(0.95)
    );
}

/// Fewer reads must not leave the generations of reclaimed engines less time to move, whether or not the notices of
/// a group come at the same moment.
#[rstest]
#[case::at_once(0)]
#[case::within_50_ms(50)]
#[case::within_100_ms(100)]
#[case::within_200_ms(200)]
fn leaves_are_noticed_as_soon_as_before_for_half_the_reads(#[case] stagger_ms: u64) {
    let before = reclaim(&mut Reader::before(), 150, stagger_ms, 1);
    let after = reclaim(&mut Reader::after(), 150, stagger_ms, 1);
    print("before", &before);
    print("after", &after);
    let p95 = |times: &[u64]| Outcome::percentile(times, 0.95);
    assert!(after.reads_per_s <= before.reads_per_s / 2.0);
    assert!(p95(&after.leaves) <= p95(&before.leaves) + 50);
    assert!(p95(&after.groups) <= p95(&before.groups) + 60);
}

/// Reads the reports of engines, of which every third has no claims and one crashes. Loses one read in fifty, but no
/// two of an engine in a row. Returns the time from the crash until the engine counts as silent.
fn crash(reader: &mut Reader, count: usize, seed: u64) -> u64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut engines: Vec<_> = (0..count).map(Engine::new).collect();
    for engine in engines.iter_mut().step_by(3) {
        engine.has_claims = false;
    }
    let crashed = rng.random_range(0..count);
    let crash = 3_000 + rng.random_range(0..1_500);
    engines[crashed].ends = crash;
    let began = Instant::now();
    let (mut targets, mut next_look, mut is_lost) = (Targets::default(), 0, vec![false; count]);
    for now in 0..crash + 3_000 {
        if now >= next_look {
            let (due, look) = reader.due(&engines, now);
            next_look = look;
            for index in due {
                is_lost[index] = !is_lost[index] && rng.random_ratio(1, 50);
                if now < engines[index].ends && !is_lost[index] {
                    engines[index].reported = Some(now + RESPONSE_MS);
                }
            }
        }
        if now % PUBLISH_INTERVAL_MS != 0 {
            continue;
        }
        let at = began + Duration::from_millis(now);
        targets.merge(&published(&engines, now), at);
        for (index, engine) in engines.iter().enumerate() {
            let is_silent = targets.is_silent(&engine.instance.target, at);
            if is_silent && index == crashed && now >= crash {
                return now - crash;
            }
            assert!(!is_silent, "engine {index} lives but counts as silent");
        }
    }
    panic!("the crash isn't noticed");
}

fn published(engines: &[Engine], now: u64) -> Observations {
    let loads = engines.iter().filter_map(|engine| {
        Some(LoadReport {
            target: engine.instance.target.clone(),
            incarnation: 1,
            load: load(0),
            age_ms: now.saturating_sub(engine.reported?),
            closing_ms: None,
        })
    });
    Observations {
        stamp: now + 1,
        loads: loads.collect(),
        instances: engines
            .iter()
            .map(|engine| engine.instance.clone())
            .collect(),
        ..Observations::default()
    }
}

/// An engine that died gets no work after 1.3 s, as before, and the loss of one report takes none away from a living
/// one, although reports are read less often.
#[rstest]
#[case::many(45)]
#[case::some(8)]
#[case::few(2)]
fn a_crash_is_noticed_as_soon_as_before_and_a_lost_report_is_no_crash(#[case] count: usize) {
    let times = |reader: fn() -> Reader| -> Vec<u64> {
        (0..40)
            .map(|seed| crash(&mut reader(), count, seed))
            .collect()
    };
    let (before, after) = (times(Reader::before), times(Reader::after));
    for (name, times) in [("before", &before), ("after", &after)] {
        let at = |share| Outcome::percentile(times, share);
        println!(
            "{name}: crash noticed after {} / {} / {} ms",
            at(0.5),
            at(0.95),
            at(1.0)
        );
    }
    let most = |times: &[u64]| Outcome::percentile(times, 1.0);
    assert!(most(&after) <= 1_300 + PUBLISH_INTERVAL_MS);
}

/// While no report arrives at all, no engine counts as silent, whichever was read last.
#[test]
fn engines_stay_in_use_while_no_report_arrives() {
    let mut engines: Vec<_> = (0..8).map(Engine::new).collect();
    let mut reader = Reader::after();
    let mut next_look = 0;
    engines[0].has_claims = false;
    for now in 0..3_000 {
        if now >= next_look {
            let (due, look) = reader.due(&engines, now);
            next_look = look;
            for index in due {
                engines[index].reported = Some(now);
            }
        }
    }
    let began = Instant::now();
    for later in (3_000..6_000).step_by(10) {
        let mut targets = Targets::default();
        let at = began + Duration::from_millis(later);
        targets.merge(&published(&engines, later), at);
        for engine in &engines {
            assert!(!targets.is_silent(&engine.instance.target, at));
        }
    }
}
