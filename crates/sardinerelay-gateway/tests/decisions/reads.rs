//! When load reports are read.

use {
    super::fixtures::instance,
    sardinerelay_gateway::{
        observations::Instance,
        observer::schedule::{
            HURRIED_TIME, INTERVAL, Known, MAX_READS_PER_S, MIN_HURRY_INTERVAL, Schedule, stretch,
        },
    },
    std::time::{Duration, Instant},
};

const ENGINES: usize = 26;

fn engines() -> Vec<Instance> {
    (0..ENGINES).map(instance).collect()
}

/// An engine with requests that has answered all reads.
fn busy(now: Instant) -> Known {
    Known {
        reported: Some(now),
        has_claims: true,
        is_leaving: false,
    }
}

fn due<State>(schedule: &mut Schedule, known: State, now: Instant) -> Vec<Instance>
where
    State: Fn(&Instance) -> Known,
{
    let engines = engines();
    schedule.due(&engines.iter().collect::<Vec<_>>(), known, now)
}

/// Runs the schedule for this long. Returns how often each engine is read, and the largest number of
/// reads at one moment.
fn reads(schedule: &mut Schedule, began: Instant, time: Duration) -> (Vec<usize>, usize) {
    let mut counts = vec![0; ENGINES];
    let (mut now, mut most) = (began, 0);
    while now < began + time {
        let due = due(schedule, |_| busy(now), now);
        most = most.max(due.len());
        for engine in due {
            let number = (0..ENGINES).find(|number| instance(*number).target == engine.target);
            counts[number.expect("it is one of them")] += 1;
        }
        now += schedule.wait(now);
    }
    (counts, most)
}

#[test]
fn every_report_is_read_once_an_interval_and_not_all_at_once() {
    let now = Instant::now();
    let mut schedule = Schedule::new(now);
    let (counts, most) = reads(&mut schedule, now, INTERVAL * 4);
    assert_eq!(counts, [4; ENGINES]);
    assert_eq!(most, 1);
}

/// Two engines are reclaimed at once, and the report of one of them has just been read. The other's leave must not
/// wait for the rest of the interval.
#[test]
fn all_reports_are_read_soon_after_one_engine_has_begun_to_leave() {
    let began = Instant::now();
    let mut schedule = Schedule::new(began);
    reads(&mut schedule, began, INTERVAL * 2);
    let noticed = began + INTERVAL * 2;
    schedule.hurry(noticed);
    let (counts, _) = reads(&mut schedule, noticed, HURRIED_TIME * 2);
    assert_eq!(counts, [1; ENGINES]);
}

/// A group of engines that leaves one after another must not multiply the reads of all others.
#[test]
fn reports_are_hurried_once_in_the_shortest_time_for_it() {
    let began = Instant::now();
    let mut schedule = Schedule::new(began);
    reads(&mut schedule, began, INTERVAL * 2);
    let mut now = began + INTERVAL * 2;
    let mut total = 0;
    for _ in 0..10 {
        schedule.hurry(now);
        let (counts, _) = reads(&mut schedule, now, MIN_HURRY_INTERVAL / 10);
        total += counts.iter().sum::<usize>();
        now += MIN_HURRY_INTERVAL / 10;
    }
    assert!(total <= 2 * ENGINES, "{total} reads in one interval");
}

#[test]
fn an_engine_that_is_no_longer_listed_is_not_waited_for() {
    let now = Instant::now();
    let mut schedule = Schedule::new(now);
    due(&mut schedule, |_| busy(now), now);
    assert!(schedule.due(&[], |_| busy(now), now).is_empty());
    assert_eq!(schedule.wait(now), INTERVAL);
}

/// With 3,001 targets, reads of all reports every 780 ms, or all at once after a leave, would be more than a host with 0.3
/// cores can make. No engine may be left out while the others are read.
#[test]
fn a_host_makes_no_more_reads_in_any_second_than_allowed() {
    const MANY: usize = 600;
    let began = Instant::now();
    let mut schedule = Schedule::new(began);
    let engines: Vec<Instance> = (0..MANY).map(instance).collect();
    let engines: Vec<&Instance> = engines.iter().collect();
    let mut sent: Vec<(u64, Instance)> = Vec::new();
    let mut ms = 0;
    let time = 12_000;
    while ms < time {
        let now = began + Duration::from_millis(ms);
        if ms / 5_000 != (ms + 5) / 5_000 {
            schedule.hurry(now);
        }
        let due = schedule.due(&engines, |_| busy(now), now);
        sent.extend(due.into_iter().map(|engine| (ms, engine)));
        ms += 5;
    }
    for start in (0..time - 1_000).step_by(50) {
        let second = sent
            .iter()
            .filter(|(at, _)| (start..start + 1_000).contains(at));
        assert!(second.count() <= MAX_READS_PER_S, "from {start} ms");
    }
    // Engines count as silent from 1,300 ms × `stretch` on.
    let allowed = (1_200.0 * stretch(MANY)) as u64;
    for engine in engines {
        let times = sent.iter().filter(|(_, read)| read == engine);
        let times: Vec<u64> = times.map(|(at, _)| *at).collect();
        let longest = times.windows(2).map(|pair| pair[1] - pair[0]).max();
        assert!(longest.is_some_and(|gap| gap <= allowed), "{longest:?} ms");
    }
}
