//! The speed of a target that is learned from samples of its rate.

use {
    rstest::rstest,
    sardinerelay::estimate::{Speed, Typical},
    std::time::{Duration, Instant},
};

const TYPICAL_RATE: f64 = 100.0;

fn typical() -> Typical {
    let mut typical = Typical::default();
    (0..50).for_each(|_| typical.record(TYPICAL_RATE));
    typical
}

/// Speed after samples with these rates, one each 300 ms, and the time of the last one.
fn learned(rates: &[f64]) -> (Speed, Instant) {
    let mut now = Instant::now();
    let mut speed = Speed::default();
    for rate in rates {
        now += Duration::from_millis(300);
        speed.record(*rate, now);
    }
    (speed, now)
}

/// One pause of a target, or a small response, must not take its load away.
#[rstest]
#[case::after_many(&[100.0, 100.0, 100.0, 100.0, 5.0], 0.95)]
#[case::alone(&[5.0], 0.75)]
#[case::before_many(&[5.0, 100.0, 100.0, 100.0], 0.95)]
fn one_slow_request_changes_little(#[case] rates: &[f64], #[case] at_least: f64) {
    let (speed, now) = learned(rates);
    let relative = speed.relative(&typical(), now);
    assert!(relative >= at_least && relative <= 1.0, "{relative}");
}

/// A target that turns slow must lose load after a few requests, and one that recovers must get it
/// back within seconds.
#[test]
fn a_changed_speed_is_known_after_a_few_samples() {
    let (slow, now) = learned(&[100.0, 100.0, 100.0, 100.0, 50.0, 50.0, 50.0, 50.0]);
    let relative = slow.relative(&typical(), now);
    assert!(relative < 0.75, "{relative}");
    let (recovered, now) = learned(&[
        50.0, 50.0, 50.0, 50.0, 50.0, 50.0, 100.0, 100.0, 100.0, 100.0,
    ]);
    let relative = recovered.relative(&typical(), now);
    assert!(relative > 0.9, "{relative}");
}

/// A slow target that gets no more requests yields no samples. Without decay it would stay out of
/// use for ever.
#[test]
fn what_was_learned_decays_with_age() {
    let (slow, now) = learned(&[50.0; 6]);
    let at = |seconds| slow.relative(&typical(), now + Duration::from_secs(seconds));
    assert!(at(0) < 0.55, "{}", at(0));
    assert!(at(20) > 0.7, "{}", at(20));
    assert!(at(60) > 0.95, "{}", at(60));
}

/// Hosts decide as before until something is known.
#[test]
fn the_speed_is_1_while_nothing_is_known() {
    let now = Instant::now();
    assert_eq!(Speed::default().relative(&typical(), now), 1.0);
    let (speed, now) = learned(&[50.0; 6]);
    assert_eq!(speed.relative(&Typical::default(), now), 1.0);
    let (broken, now) = learned(&[0.0, f64::NAN, -1.0, f64::INFINITY]);
    assert_eq!(broken.relative(&typical(), now), 1.0);
}

/// The typical rate is that of most targets, also if some are far slower.
#[test]
fn the_typical_rate_is_a_median() {
    let mut typical = Typical::default();
    assert_eq!(typical.rate(), None);
    for _ in 0..200 {
        let rates = [60.0, 100.0, 100.0, 100.0, 1.0];
        rates.into_iter().for_each(|rate| typical.record(rate));
    }
    let rate = typical.rate().expect("recorded");
    assert!((80.0..115.0).contains(&rate), "{rate}");
}
