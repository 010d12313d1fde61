//! Which voters read load reports, and how the leader merges what they read.

use {
    super::fixtures::{instance, load, observations},
    rstest::rstest,
    sardinerelay_gateway::{
        observations::{
            Instance,
            publisher::Publisher,
            update::{Loads, Request},
        },
        observer::{
            readers::{MAX_SILENCE, MAX_UNDIVIDED_ENGINES, RETRY_DELAY, Readers, share},
            reports::Reports,
        },
        targets::Targets,
    },
    std::{
        collections::BTreeSet,
        net::Ipv4Addr,
        time::{Duration, Instant},
    },
};

const ENGINES: usize = 3_000;
const VOTERS: u8 = 6;
const STEP: Duration = Duration::from_millis(100);

fn voter(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, number)
}

/// Runs the leader (voter 0) for this long, while the voters in `sending` send messages and those in `reading`
/// read. Returns when the readers last changed, from the start of this run.
fn run(
    readers: &mut Readers,
    (sending, reading): (&[u8], &[u8]),
    engines: usize,
    (now, time): (&mut Instant, Duration),
) -> Duration {
    let began = *now;
    let heard: BTreeSet<Ipv4Addr> = (1..VOTERS).map(voter).collect();
    let mut changed = Duration::ZERO;
    while *now < began + time {
        for number in sending {
            let is_reader = readers.chosen().contains(&voter(*number));
            readers.record(voter(*number), is_reader && reading.contains(number), *now);
        }
        if readers.choose(voter(0), engines, &heard, *now) {
            changed = *now - began;
        }
        *now += STEP;
    }
    changed
}

/// Asserts that each engine is read by exactly one of these voters.
fn assert_read_by_one_of(readers: &Readers, voters: &[u8]) {
    let engines: Vec<Instance> = (0..ENGINES).map(instance).collect();
    let mut counts = vec![0; ENGINES];
    for number in voters {
        let all: Vec<&Instance> = engines.iter().collect();
        let share = share(readers.chosen(), all, voter(*number));
        for engine in &share {
            let number: usize = engine.target[1..].parse().expect("a number");
            counts[number] += 1;
        }
        let mean = ENGINES / voters.len();
        assert!(share.len().abs_diff(mean) < mean / 4, "{}", share.len());
    }
    assert!(counts.iter().all(|count| *count == 1));
}

/// Guards against engines that nobody reads, or several voters, for more than a second after a voter
/// came, ended, came back, or lost its links to the engines.
#[test]
fn each_engine_is_read_by_one_voter_when_readers_come_and_go() {
    let (mut readers, mut now) = (Readers::default(), Instant::now());
    let all = [1, 2, 3, 4, 5];
    let most = [1, 2, 3, 5];
    let second = Duration::from_secs(1);
    assert_read_by_one_of(&readers, &[0; 1]);
    let changed = run(&mut readers, (&all, &all), ENGINES, (&mut now, second));
    assert!(changed < second);
    assert_read_by_one_of(&readers, &[0, 1, 2, 3, 4, 5]);
    let changed = run(
        &mut readers,
        (&most, &most),
        ENGINES,
        (&mut now, 2 * second),
    );
    assert!(changed <= MAX_SILENCE + STEP, "{changed:?}");
    assert_read_by_one_of(&readers, &[0, 1, 2, 3, 5]);
    let changed = run(&mut readers, (&all, &all), ENGINES, (&mut now, RETRY_DELAY));
    assert!(changed <= RETRY_DELAY, "{changed:?}");
    assert_read_by_one_of(&readers, &[0, 1, 2, 3, 4, 5]);
    run(&mut readers, (&all, &most), ENGINES, (&mut now, 2 * second));
    assert_read_by_one_of(&readers, &[0, 1, 2, 3, 5]);
}

/// Guards against a change of all shares when one reader ends: each engine would begin a new interval.
#[test]
fn only_the_engines_of_a_reader_that_ended_change_their_reader() {
    let engines: Vec<Instance> = (0..ENGINES).map(instance).collect();
    let (before, after) = ([0, 1, 2, 3].map(voter), [0, 1, 3].map(voter));
    for own in after {
        let kept = share(&before, engines.iter().collect(), own);
        let now: BTreeSet<_> = share(&after, engines.iter().collect(), own)
            .into_iter()
            .map(|engine| &engine.target)
            .collect();
        assert!(kept.iter().all(|engine| now.contains(&engine.target)));
    }
}

/// Guards against messages between voters where one host reads all in time, and against reads that were
/// sent by a voter that is no reader, which may be old.
#[rstest]
#[case::few_engines(MAX_UNDIVIDED_ENGINES, false)]
#[case::many_engines(MAX_UNDIVIDED_ENGINES + 1, true)]
fn engines_are_divided_only_if_there_are_many(#[case] engines: usize, #[case] is_divided: bool) {
    let (mut readers, mut now) = (Readers::default(), Instant::now());
    assert!(!readers.record(voter(1), true, now));
    run(&mut readers, (&[1], &[1]), engines, (&mut now, MAX_SILENCE));
    assert_eq!(!readers.chosen().is_empty(), is_divided);
    assert_eq!(readers.record(voter(1), true, now), is_divided);
}

/// Guards against a report of another voter that replaces a newer one, and against a leave that is lost in
/// merging.
#[test]
fn merged_reports_replace_only_older_ones() {
    let now = Instant::now();
    let later = now + Duration::from_millis(50);
    let key = (instance(1).target, 1);
    let mut reports = Reports::default();
    assert!(!reports.record(key.clone(), load(10), false, now));
    assert!(!reports.merge(key.clone(), (load(9), now), Some(now)));
    assert_eq!(reports.load(&key), Some((load(10), now)));
    assert!(reports.merge(key.clone(), (load(11), later), Some(now)));
    assert_eq!(reports.load(&key), Some((load(11), later)));
    assert_eq!(reports.closing_since(&key), Some(now));
    let last = later + Duration::from_millis(50);
    assert!(
        !reports.merge(key.clone(), (load(12), last), Some(now)),
        "known"
    );
    reports.retain_listed(&[Instance {
        incarnation: 2,
        ..instance(1)
    }]);
    assert_eq!(reports.load(&key), None);
}

/// Guards against engines that count as silent after a restart because the interval is computed from the few
/// engines whose reports have been read so far: their second read is due when all others had their first.
#[test]
fn engines_whose_second_read_is_not_due_yet_are_not_silent() {
    const READS_PER_STEP: usize = 10;
    const STEPS: usize = 40;
    let start = Instant::now() + Duration::from_secs(60);
    let (mut publisher, mut targets) = (Publisher::new(1), Targets::default());
    for step in 1..=STEPS {
        let now = start + STEP * step as u32;
        let mut read = observations(step as u64, &[0; ENGINES]);
        read.loads.truncate(READS_PER_STEP * step);
        for (number, report) in read.loads.iter_mut().enumerate() {
            let steps_ago = step - 1 - number / READS_PER_STEP;
            report.age_ms = steps_ago as u64 * STEP.as_millis() as u64;
        }
        publisher.publish(&read, now);
        targets.merge(&read, now);
        let request = Request {
            loads: Loads::None,
            ..Request::default()
        };
        let update = publisher.update_for(&request, now).expect("published");
        let changes = update.changes.expect("a full snapshot");
        assert!(changes.silent.iter().all(|(_, is_silent)| !is_silent));
        assert!(!targets.is_silent(&instance(0).target, now));
    }
}
