//! Even load on targets of different speed.

use {
    super::fixtures::{SERVICE, ZONES, instance, need, targets},
    rand::{SeedableRng as _, rngs::StdRng},
    rstest::rstest,
    sardinerelay_gateway::{
        allocator::{Scope, claim},
        pace::{Batch, Meter, Pace},
        placement::{Need, choose, rank_plain},
        targets::{Targets, slowdown},
    },
    std::time::{Duration, Instant},
};

const ENGINES: usize = 9;
/// Tokens per second of one generation on an idle engine of speed 1.
const IDLE_RATE: f64 = 100.0;
const STEP: Duration = Duration::from_millis(100);

fn at(start: Instant, step: u64) -> Instant {
    start + STEP * step as u32
}

fn record_paces(targets: &mut Targets, speeds: &[f64], now: Instant) {
    for (number, speed) in speeds.iter().enumerate() {
        let state = targets.get(&instance(number).target).expect("listed");
        let rate = IDLE_RATE * speed / slowdown(state.occupancy(0, now));
        let pace = Pace {
            target: instance(number).target,
            incarnation: 1,
            tokens_per_second: rate as u32,
        };
        targets.record_pace(&pace, now);
    }
}

/// Outcome of [`simulate`].
struct Outcome {
    /// Generations by engine.
    placed: Vec<u32>,
    /// Mean time of a generation in seconds.
    mean: f64,
}

/// Places a generation each 100 ms for a minute on engines of these speeds, whose paces are reported
/// each second if `is_learned`.
fn simulate(need: &Need, speeds: &[f64], is_learned: bool) -> Outcome {
    let start = Instant::now();
    let mut targets = targets(&vec![0; speeds.len()], start);
    let mut rng = StdRng::seed_from_u64(7);
    let mut running: Vec<(Instant, u64)> = Vec::new();
    let mut placed = vec![0; speeds.len()];
    let mut times = Vec::new();
    for step in 0..600 {
        let now = at(start, step);
        running.retain(|(ends, run)| {
            let goes_on = *ends > now;
            if !goes_on {
                targets.release_everywhere(*run);
            }
            goes_on
        });
        if is_learned && step % 10 == 0 {
            record_paces(&mut targets, speeds, now);
        }
        let Some(choice) = choose(&targets, need, (Scope::Group, &[]), &mut rng, now) else {
            continue;
        };
        claim(&mut targets, step, need, &choice, now);
        let number = (0..speeds.len()).find(|number| instance(*number).target == choice.target);
        let number = number.expect("listed");
        let state = targets.get(&choice.target).expect("listed");
        let rate = IDLE_RATE * speeds[number] / slowdown(state.occupancy(0, now));
        let took = need.output_tokens as f64 / rate;
        running.push((
            now + Duration::try_from_secs_f64(took).expect("a time"),
            step,
        ));
        placed[number] += 1;
        times.push(took);
    }
    let mean = times.iter().sum::<f64>() / times.len() as f64;
    Outcome { placed, mean }
}

/// A generation that holds its memory for long must not go to a slow engine as often as to a fast
/// one, and a slow engine must not idle while the others are full.
#[test]
fn a_slow_engine_gets_fewer_long_generations_but_some() {
    let speeds = [0.6, 1.0, 1.6].repeat(ENGINES / 3);
    let mut need = need();
    need.prompt_tokens = 1_500;
    let (before, after) = (
        simulate(&need, &speeds, false),
        simulate(&need, &speeds, true),
    );
    let of_speed =
        |placed: &[u32], first: usize| -> u32 { placed.iter().skip(first).step_by(3).sum() };
    let shares: Vec<u32> = (0..3).map(|first| of_speed(&after.placed, first)).collect();
    println!(
        "before {:?} mean {:.2} s, after {:?} mean {:.2} s",
        before.placed, before.mean, after.placed, after.mean
    );
    assert!(shares[0] < shares[1] && shares[1] < shares[2], "{shares:?}");
    assert!(
        after.placed.iter().step_by(3).all(|count| *count > 0),
        "{:?}",
        after.placed
    );
    assert!(
        after.mean < 0.9 * before.mean,
        "{} against {}",
        after.mean,
        before.mean
    );
}

/// An engine that was slow must get its share again soon after it has recovered.
#[rstest]
#[case::slow(0.4, 0, false)]
#[case::recovered(0.4, 6, true)]
fn an_engine_that_recovers_is_chosen_again(
    #[case] speed: f64,
    #[case] good_paces: u64,
    #[case] expected: bool,
) {
    let start = Instant::now();
    let mut targets = targets(&[0, 1_500, 1_500], start);
    let slow = [speed, 1.0, 1.0];
    (0..6).for_each(|step| record_paces(&mut targets, &slow, at(start, step)));
    (6..6 + good_paces).for_each(|step| record_paces(&mut targets, &[1.0; 3], at(start, step)));
    let now = at(start, 12);
    let mut rng = StdRng::seed_from_u64(7);
    let choice = choose(&targets, &need(), (Scope::Group, &[]), &mut rng, now).expect("room");
    assert_eq!(choice.target == instance(0).target, expected);
}

/// The pace of an incarnation that has ended says nothing of the next one.
#[test]
fn the_pace_of_another_incarnation_is_ignored() {
    let now = Instant::now();
    let mut targets = targets(&[0], now);
    let pace = Pace {
        target: instance(0).target,
        incarnation: 2,
        tokens_per_second: 10,
    };
    targets.record_pace(&pace, now);
    assert_eq!(targets.typical_rate(&need().service).rate(), None);
}

/// Events that a slow caller held up, or that came in one burst, would make an engine look slow or
/// fast.
#[test]
fn a_stream_that_its_caller_held_up_is_not_measured() {
    let start = Instant::now();
    let mut meter = Meter::default();
    (0..11).for_each(|step| meter.record(1, at(start, step)));
    assert_eq!(meter.take(), Some(10.0));
    (11..14).for_each(|step| meter.record(1, at(start, step)));
    meter.reset();
    (50..54).for_each(|step| meter.record(1, at(start, step)));
    assert_eq!(meter.take(), None, "too short since the reset");
}

/// Each generation reports its pace. A message for each would load the allocating host.
#[test]
fn paces_are_sent_together_once_a_second() {
    let start = Instant::now();
    let pace = Pace {
        target: instance(0).target,
        incarnation: 1,
        tokens_per_second: 100,
    };
    let mut batch = Batch::default();
    let mut messages = 0;
    for step in 0..50 {
        batch.push(pace.clone());
        messages += u32::from(!batch.take_due(at(start, step)).is_empty());
    }
    assert_eq!(messages, 5);
}

/// Calls that go to each of three plain targets.
fn plain_choices(targets: &Targets, zone: usize, now: Instant) -> [u32; 3] {
    let mut chosen = [0; 3];
    let mut rng = StdRng::seed_from_u64(7);
    let zone = ZONES[zone].into();
    for _ in 0..600 {
        let ranked = rank_plain(targets, (SERVICE, &zone, &[]), &mut rng, now);
        assert_eq!(ranked.len(), 3, "all remain for retries");
        let number = (0..3).find(|number| instance(*number).target == ranked[0].instance.target);
        chosen[number.expect("listed")] += 1;
    }
    chosen
}

/// All hosts learn at the same time which target is fastest. If each chose it, it would be overloaded
/// next.
#[test]
fn the_fastest_plain_target_gets_more_calls_but_not_all() {
    let start = Instant::now();
    let mut targets = targets(&[0; 3], start);
    let took = [75, 45, 28].map(Duration::from_millis);
    for step in 0..20 {
        for (number, took) in took.into_iter().enumerate() {
            targets.record_service_time(&instance(number).target, took, at(start, step));
        }
    }
    let now = at(start, 20);
    // Away from all targets, so that the zone doesn't matter.
    let chosen = plain_choices(&targets, 1, now);
    assert!(chosen[2] > chosen[0], "{chosen:?}");
    assert!(chosen.iter().all(|count| *count < 480), "{chosen:?}");
}

/// A target that fails most of its calls must get none while another works.
#[test]
fn a_failing_plain_target_is_chosen_last() {
    let now = Instant::now();
    let mut targets = targets(&[0; 3], now);
    let failing = targets.get_mut(&instance(0).target).expect("listed");
    (0..4).for_each(|_| failing.health.record_failure(now));
    assert_eq!(plain_choices(&targets, 0, now)[0], 0);
}

/// Without other differences calls stay in their zone whenever they can.
#[test]
fn a_plain_target_of_the_zone_is_preferred() {
    let now = Instant::now();
    let targets = targets(&[0; 3], now);
    let chosen = plain_choices(&targets, 0, now);
    assert!(chosen[0] > chosen[1] && chosen[0] > chosen[2], "{chosen:?}");
}

/// Operators must see that one target has all the work.
#[test]
fn the_balance_of_a_service_shows_a_busy_target() {
    let now = Instant::now();
    let idle = targets(&[0; 3], now).balances(now);
    assert_eq!(idle[SERVICE].spread, 1.0);
    let busy = targets(&[9_000, 0, 0], now).balances(now);
    assert_eq!(busy[SERVICE].spread, 3.0);
    assert_eq!((busy[SERVICE].slowest, busy[SERVICE].fastest), (1.0, 1.0));
}
