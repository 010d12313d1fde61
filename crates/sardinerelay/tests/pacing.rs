//! Tests of the bound on the requests that a cold target gets.

use {
    proptest::prelude::*,
    rstest::rstest,
    sardinerelay::pacing::{Shares, Tolerance, Window},
    std::time::{Duration, Instant},
};

const SECOND: Duration = Duration::from_secs(1);

/// Returns the largest number of these times in any span of one second.
fn most_in_a_second(times: &[Instant]) -> usize {
    let counts = times.iter().enumerate().map(|(first, start)| {
        let within = |time: &&Instant| time.saturating_duration_since(*start) < SECOND;
        times[first..].iter().take_while(within).count()
    });
    counts.max().unwrap_or_default()
}

proptest! {
    /// Guards against a burst that exceeds the bound across two periods of a counter.
    #[test]
    fn no_second_has_more_than_the_bound(
        bound in 0_u32..20,
        pauses in prop::collection::vec(0_u64..400, 1..300),
    ) {
        let mut now = Instant::now();
        let mut window = Window::default();
        let mut granted = Vec::new();
        for pause in pauses {
            now += Duration::from_millis(pause);
            if window.take(bound, now) {
                granted.push(now);
            }
        }
        prop_assert!(most_in_a_second(&granted) <= bound as usize);
    }

    /// Guards against a wait after which there still is no room, and against one that is too long.
    #[test]
    fn a_request_has_room_after_the_wait(
        bound in 1_u32..10,
        pauses in prop::collection::vec(0_u64..300, 1..60),
    ) {
        let mut now = Instant::now();
        let mut window = Window::default();
        for pause in pauses {
            now += Duration::from_millis(pause);
            window.charge(now);
        }
        let wait = window.wait(bound, now);
        prop_assert!(wait <= SECOND + Duration::from_millis(50));
        prop_assert!(window.has_room(bound, now + wait));
        prop_assert!(wait.is_zero() || !window.has_room(bound, now + wait - Duration::from_nanos(1)));
    }
}

#[test]
fn a_request_that_is_given_back_makes_room() {
    let now = Instant::now();
    let mut window = Window::default();
    assert!(window.take(2, now));
    assert!(window.take(2, now + SECOND / 2));
    assert!(!window.take(2, now + SECOND / 2));
    window.give_back(now + SECOND * 3 / 4);
    assert!(window.take(2, now + SECOND * 3 / 4));
    window.give_back(now + 4 * SECOND);
    assert_eq!(window.count(now + 4 * SECOND), 0);
}

/// Guards against a sum above the bound while 300 hosts decide on their own and two hosts allocate for the
/// group. Each sends as often as it may.
#[rstest]
#[case::slow(1.0)]
#[case::usual(4.0)]
#[case::fast(40.0)]
fn hosts_that_can_not_reach_one_another_stay_within_the_bound(#[case] cold_per_s: f64) {
    const HOSTS: u32 = 300;
    let bound = Tolerance::default().bound(cold_per_s);
    let shares = Shares::new(bound, HOSTS);
    let mut most_chosen = 0;
    for target in 0..200 {
        let target = format!("target-{target}");
        let chosen =
            (0..HOSTS).filter(|host| shares.is_chosen(&format!("host-{host}"), &target, 7));
        let mut windows: Vec<(u32, Window)> = chosen.map(|_| (1, Window::default())).collect();
        most_chosen = most_chosen.max(windows.len());
        windows.extend([
            (shares.group, Window::default()),
            (shares.group, Window::default()),
        ]);
        let start = Instant::now();
        let mut sent = Vec::new();
        for tick in 0..300 {
            let now = start + Duration::from_millis(10) * tick;
            for (bound, window) in &mut windows {
                while window.take(*bound, now) {
                    sent.push(now);
                }
            }
        }
        assert!(most_in_a_second(&sent) <= bound as usize, "{target}");
    }
    assert!(most_chosen > 0, "no host could send to any target");
}

/// Guards against a small deployment that can't use its cold targets while the group has no leader.
#[test]
fn a_few_hosts_are_all_chosen() {
    let shares = Shares::new(Tolerance::default().bound(4.0), 3);
    let chosen = |host: u32| shares.is_chosen(&format!("host-{host}"), "target", 1);
    assert!((0..3).all(chosen));
    assert_eq!(shares.group, 4);
}
