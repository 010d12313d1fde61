//! Requests that make targets crash when they come again.

use {
    http::{Method, Uri},
    sardinerelay::id::Organisation,
    sardinerelay_gateway::{
        allocator::{Allocator, Scope},
        fingerprint,
        group::{RequestCrash, RequestReport},
        quarantine::{Crash, Quarantine, Rules, Subject},
    },
    std::{
        thread::sleep,
        time::{Duration, Instant},
    },
};

const REQUEST: Subject = 7;
/// A part of its prompt that other requests share.
const PART: Subject = 99;
const SECOND: Duration = Duration::from_secs(1);
/// Time in which an answer clears a request whatever the number of crashes is.
const SPAN: Duration = Rules::REQUESTS.min_span;

fn crash(target: usize) -> Crash {
    Crash {
        request: REQUEST,
        target: format!("s{target}").into(),
        incarnation: 1,
        subjects: vec![REQUEST],
    }
}

fn crash_all(quarantine: &mut Quarantine, targets: std::ops::Range<usize>, now: Instant) {
    for target in targets {
        quarantine.record_crash(&crash(target), now);
    }
}

fn is_refused(quarantine: &Quarantine, now: Instant) -> bool {
    quarantine.refusal(&[REQUEST], now).is_some()
}

#[test]
fn a_request_is_refused_after_the_third_crash() {
    let now = Instant::now();
    let mut quarantine = Quarantine::new(Rules::REQUESTS);
    crash_all(&mut quarantine, 0..2, now);
    // Two hosts report the same crash.
    crash_all(&mut quarantine, 1..2, now + SECOND);
    assert!(quarantine.is_suspect(REQUEST) && !is_refused(&quarantine, now + SECOND));
    let third = now + 10 * SECOND;
    crash_all(&mut quarantine, 2..3, third);
    assert!(is_refused(&quarantine, third));
    // Crashes that follow from requests on their way change nothing.
    crash_all(&mut quarantine, 3..9, third + SECOND);
    assert!(quarantine.suspects().is_empty());
}

/// Guards against a request that crashes targets as fast as they take it, so that all crashes are
/// close to each other.
#[test]
fn a_request_is_refused_however_fast_it_crashes_targets() {
    let now = Instant::now();
    let mut quarantine = Quarantine::new(Rules::REQUESTS);
    crash_all(&mut quarantine, 0..3, now);
    assert!(!is_refused(&quarantine, now));
    crash_all(&mut quarantine, 3..4, now + SPAN);
    assert!(is_refused(&quarantine, now + SPAN));
}

/// Guards against refusing a request that many callers send, because several targets that had it
/// end at once or one after another.
#[test]
fn a_request_that_is_answered_in_between_is_not_refused() {
    let mut now = Instant::now();
    let mut quarantine = Quarantine::new(Rules::REQUESTS);
    // All targets of a service end at once, so there is no answer for a while.
    crash_all(&mut quarantine, 0..6, now);
    assert!(!is_refused(&quarantine, now));
    now += 5 * SECOND;
    quarantine.clear(REQUEST);
    for target in 6..40 {
        now += SECOND;
        crash_all(&mut quarantine, target..target + 1, now);
        assert!(!is_refused(&quarantine, now));
        quarantine.clear(REQUEST);
    }
}

#[test]
fn a_request_that_was_answered_before_is_refused_after_the_fifth_crash() {
    let now = Instant::now();
    let mut quarantine = Quarantine::new(Rules::REQUESTS);
    quarantine.clear(REQUEST);
    crash_all(&mut quarantine, 0..4, now);
    crash_all(&mut quarantine, 3..4, now + SECOND);
    assert!(!is_refused(&quarantine, now + SECOND));
    crash_all(&mut quarantine, 4..5, now + 2 * SECOND);
    assert!(is_refused(&quarantine, now + 2 * SECOND));
}

/// Reports a crash of a target under a request whose prompt has the part.
fn report_crash(allocator: &Allocator, request: Subject, target: usize) {
    let blamed = Crash {
        request,
        subjects: vec![PART],
        ..crash(target)
    };
    allocator.record_crash(&blamed);
    allocator.record_request(&RequestReport::Crashed(RequestCrash {
        request,
        run: target as u64,
        target: blamed.target,
        incarnation: blamed.incarnation,
    }));
}

fn refused_parts(allocator: &Allocator) -> usize {
    allocator.state().quarantine.refused(Instant::now()).len()
}

/// Guards against refusing the neighbours of a single request that crashes engines.
#[test]
fn the_parts_of_a_refused_requests_prompt_are_not_refused() {
    let allocator = Allocator::new(Scope::Group);
    for target in 0..8 {
        report_crash(&allocator, REQUEST, target);
        sleep(SPAN / 4);
    }
    assert_eq!(allocator.state().requests.refused(Instant::now()).len(), 1);
    assert_eq!(refused_parts(&allocator), 0);
}

/// Guards against taking a refused request for the cause of crashes that a part of its prompt causes.
#[test]
fn a_part_is_refused_after_one_of_its_requests_was_refused() {
    let allocator = Allocator::new(Scope::Group);
    for target in 0..3 {
        report_crash(&allocator, REQUEST, target);
        sleep(SPAN / 2);
    }
    assert_eq!(allocator.state().requests.refused(Instant::now()).len(), 1);
    report_crash(&allocator, REQUEST + 1, 3);
    assert_eq!(refused_parts(&allocator), 1);
}

#[test]
fn an_answered_report_clears_a_suspect() {
    let allocator = Allocator::new(Scope::Group);
    for target in 0..3 {
        let run = target as u64;
        let Crash {
            target,
            incarnation,
            ..
        } = crash(target);
        allocator.record_request(&RequestReport::Crashed(RequestCrash {
            request: REQUEST,
            run,
            target,
            incarnation,
        }));
    }
    assert_eq!(allocator.state().requests.suspects(), [REQUEST]);
    allocator.record_request(&RequestReport::Answered(REQUEST));
    assert!(allocator.state().requests.suspects().is_empty());
}

#[test]
fn requests_are_the_same_if_path_caller_and_body_are() {
    let of = |method: Method, host: &str, uri: &'static str, organisation: &str, body: &str| {
        let uri = Uri::from_static(uri);
        let organisation = Organisation::from(organisation);
        fingerprint::of((&method, host, &uri), Some(&organisation), body.as_bytes())
    };
    let first = of(Method::POST, "h", "/order/1?a=1", "o", "body");
    assert_eq!(first, of(Method::POST, "h", "/order/1?a=1", "o", "body"));
    assert_eq!(
        first,
        of(Method::POST, "h", "http://h/order/1?a=1", "o", "body")
    );
    let others = [
        of(Method::PUT, "h", "/order/1?a=1", "o", "body"),
        of(Method::POST, "g", "/order/1?a=1", "o", "body"),
        of(Method::POST, "h", "/order/1?a=2", "o", "body"),
        of(Method::POST, "h", "/order/1?a=1", "p", "body"),
        of(Method::POST, "h", "/order/1?a=1", "o", "bodx"),
        // The same bytes, divided otherwise.
        of(Method::POST, "h", "/order/1?a=1", "ob", "ody"),
    ];
    assert!(others.iter().all(|other| *other != first));
}
