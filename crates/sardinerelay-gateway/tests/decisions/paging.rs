//! When pages of the list are read.

use {
    super::fixtures::instance,
    sardinerelay_gateway::{
        codec::ListPage,
        observer::paging::{Failure, LIMITED_PAUSE, MAX_LEADERLESS_READERS, Paging},
    },
    std::time::{Duration, Instant},
};

const MAX_RATE: f64 = 210.0;
/// Pages of 3,001 targets.
const PAGES: usize = 61;

fn page(number: usize) -> ListPage {
    ListPage {
        instances: vec![instance(number)],
        skipped: Vec::new(),
        next: (number + 1 < PAGES).then(|| (number + 1).to_string()),
    }
}

/// The number of the page that a token names.
fn number(token: Option<&str>) -> usize {
    token.map_or(0, |token| token.parse().expect("a number"))
}

/// A list of many pages must not use up the rate that the platform allows, even while a leader and all hosts without
/// one read, and the leader's list must stay fresh.
#[test]
fn all_readers_together_stay_within_their_share_of_the_rate() {
    let began = Instant::now();
    let hosts = 1 + MAX_LEADERLESS_READERS as usize;
    let mut readers: Vec<_> = (0..hosts).map(|_| Paging::new(MAX_RATE, began)).collect();
    let (mut calls, mut lists) = (Vec::new(), Vec::new());
    for ms in 0..10_000 {
        let now = began + Duration::from_millis(ms);
        for (host, paging) in readers.iter_mut().enumerate() {
            if !paging.wait(now).is_zero() {
                continue;
            }
            let asked = number(paging.begin(host == 0, now));
            calls.push(ms);
            let list = paging.record(page(asked), now).expect("few enough pages");
            if let Some(list) = list.filter(|_| host == 0) {
                assert_eq!(list.instances.len(), PAGES);
                lists.push(now - list.began);
            }
        }
    }
    for start in 0..9_000 {
        let second = calls
            .iter()
            .filter(|ms| (start..start + 1_000).contains(*ms));
        let allowed = MAX_RATE * 0.6 + hosts as f64;
        assert!(second.count() as f64 <= allowed, "from {start} ms");
    }
    assert!(lists.len() >= 9, "{} lists", lists.len());
    assert!(lists.iter().all(|age| *age <= Duration::from_millis(1_000)));
}

/// A call that is refused for too many calls must not be followed by another at once, and 40 pages that were read
/// need not be read again.
#[test]
fn a_refusal_for_too_many_calls_pauses_and_keeps_the_pages() {
    let mut now = Instant::now();
    let mut paging = Paging::new(MAX_RATE, now);
    for expected in 0..40 {
        assert_eq!(number(paging.begin(true, now)), expected);
        paging.record(page(expected), now).expect("few pages");
        now += paging.wait(now);
    }
    paging.begin(true, now);
    paging.record_failure(Failure::Limited, now);
    assert_eq!(paging.wait(now), LIMITED_PAUSE);
    now += LIMITED_PAUSE;
    assert_eq!(number(paging.begin(true, now)), 40);
    paging.record_failure(Failure::Limited, now);
    assert_eq!(paging.wait(now), LIMITED_PAUSE * 2);
}

/// Pages that lead to a token which the platform no longer accepts would never become a list.
#[test]
fn a_refused_token_or_a_long_interruption_begins_the_list_anew() {
    let mut now = Instant::now();
    let mut paging = Paging::new(MAX_RATE, now);
    paging.begin(true, now);
    paging.record(page(0), now).expect("few pages");
    paging.begin(true, now);
    paging.record_failure(Failure::Refused, now);
    now += paging.wait(now);
    assert_eq!(paging.begin(true, now), None);
    paging.record(page(0), now).expect("few pages");
    now += Duration::from_secs(3);
    assert_eq!(paging.begin(true, now), None);
}
