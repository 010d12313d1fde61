//! Parts of prompts that make engines crash.

use {
    super::fixtures::{need, observations},
    rand::{Rng as _, SeedableRng as _, rngs::StdRng},
    rstest::rstest,
    sardinerelay::id::Target,
    sardinerelay_gateway::{
        admission::RefusalReason,
        allocator::{Allocator, Reply, Scope},
        call::PartId,
        placement::Need,
        quarantine::{Crash, Quarantine},
    },
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

const CRASHING_PART: PartId = 0xbad0;
/// A part that requests with and without the crashing part share.
const SHARED_PART: PartId = 0xa;

fn crash(run: u64, engine: u64, parts: &[PartId]) -> Crash {
    Crash {
        request: run,
        target: format!("i-{engine}").as_str().into(),
        incarnation: 1,
        subjects: parts.to_vec(),
    }
}

fn is_refused(quarantine: &Quarantine, part: PartId, now: Instant) -> bool {
    quarantine.refusal(&[part], now).is_some()
}

#[test]
fn a_part_is_refused_after_crashes_of_four_engines() {
    let (mut quarantine, now) = (Quarantine::default(), Instant::now());
    quarantine.record_crash(&crash(1, 1, &[CRASHING_PART]), now);
    quarantine.record_crash(&crash(1, 2, &[CRASHING_PART]), now);
    quarantine.record_crash(&crash(1, 3, &[CRASHING_PART]), now);
    assert!(!is_refused(&quarantine, CRASHING_PART, now));
    let refused = quarantine.record_crash(&crash(2, 4, &[CRASHING_PART]), now);
    assert_eq!(refused, Some(CRASHING_PART));
    assert!(is_refused(&quarantine, CRASHING_PART, now));
}

#[test]
fn one_request_alone_does_not_get_a_part_refused() {
    let (mut quarantine, now) = (Quarantine::default(), Instant::now());
    for engine in 0..6 {
        quarantine.record_crash(&crash(1, engine, &[CRASHING_PART]), now);
    }
    assert!(!is_refused(&quarantine, CRASHING_PART, now));
}

#[test]
fn a_part_that_is_answered_elsewhere_is_not_refused() {
    let (mut quarantine, now) = (Quarantine::default(), Instant::now());
    for number in 0..20 {
        let parts = [SHARED_PART, CRASHING_PART];
        quarantine.record_crash(&crash(number, number, &parts), now);
        quarantine.record_sent(100 + number, &[SHARED_PART]);
        quarantine.record_answered(100 + number);
    }
    assert!(is_refused(&quarantine, CRASHING_PART, now));
    assert!(!is_refused(&quarantine, SHARED_PART, now));
}

/// Guards against the refusal of sound requests when a part's requests come so fast that none with its
/// neighbours is answered between the crashes, also at a host that has just begun to allocate and doesn't know that
/// they were answered before.
#[rstest]
#[case::answered_before(true)]
#[case::unknown(false)]
fn neighbours_of_a_crashing_part_are_not_refused_with_it(#[case] is_answered: bool) {
    let (mut quarantine, now) = (Quarantine::default(), Instant::now());
    if is_answered {
        quarantine.record_sent(0, &[SHARED_PART]);
        quarantine.record_answered(0);
    }
    for number in 1..=12 {
        let parts = [SHARED_PART, CRASHING_PART];
        quarantine.record_crash(&crash(number, number, &parts), now);
    }
    assert!(is_refused(&quarantine, CRASHING_PART, now));
    assert!(!is_refused(&quarantine, SHARED_PART, now));
}

/// Guards against a part that crashes engines and isn't refused because another one that follows it was.
#[test]
fn a_first_part_that_crashes_engines_is_refused_by_the_fifth_crash() {
    let (mut quarantine, now) = (Quarantine::default(), Instant::now());
    for number in 1..=4 {
        let parts = [CRASHING_PART, SHARED_PART];
        quarantine.record_crash(&crash(number, number, &parts), now);
    }
    assert!(is_refused(&quarantine, SHARED_PART, now));
    // Others with the crashing part crash engines too.
    quarantine.record_crash(&crash(5, 5, &[CRASHING_PART, 0xb05]), now);
    assert!(is_refused(&quarantine, CRASHING_PART, now));
}

/// Guards against a host that begins to allocate and blames a part that was answered while another one did.
#[test]
fn a_part_that_was_answered_at_another_host_is_refused_after_more_crashes() {
    let (mut entry, mut next, now) = (Quarantine::default(), Quarantine::default(), Instant::now());
    for (run, part) in [(1, CRASHING_PART), (2, SHARED_PART), (3, CRASHING_PART)] {
        entry.record_sent(run, &[part]);
        entry.record_answered(run);
    }
    assert_eq!(entry.lately_answered(1), [CRASHING_PART]);
    next.adopt_answered(&entry.lately_answered(2));
    for number in 1..=5 {
        next.record_crash(&crash(number, number, &[SHARED_PART]), now);
    }
    assert!(!is_refused(&next, SHARED_PART, now));
    next.record_crash(&crash(6, 6, &[SHARED_PART]), now);
    assert!(is_refused(&next, SHARED_PART, now));
}

/// A part that was sound may begin to crash engines.
#[test]
fn a_part_that_was_answered_before_is_refused_after_more_crashes() {
    let (mut quarantine, now) = (Quarantine::default(), Instant::now());
    quarantine.record_sent(0, &[CRASHING_PART]);
    quarantine.record_answered(0);
    for number in 1..=5 {
        quarantine.record_crash(&crash(number, number, &[CRASHING_PART]), now);
    }
    assert!(!is_refused(&quarantine, CRASHING_PART, now));
    quarantine.record_crash(&crash(6, 6, &[CRASHING_PART]), now);
    assert!(is_refused(&quarantine, CRASHING_PART, now));
}

/// A refusal ends, so that a part isn't refused for ever after engines were mended.
#[test]
fn a_refusal_ends() {
    let (mut quarantine, now) = (Quarantine::default(), Instant::now());
    for number in 0..4 {
        quarantine.record_crash(&crash(number, number, &[CRASHING_PART]), now);
    }
    let remaining = quarantine.refusal(&[CRASHING_PART], now);
    let end = now + remaining.expect("it is refused");
    assert!(!is_refused(&quarantine, CRASHING_PART, end));
}

/// Connections that break for a reason of their own, for a tenth of all requests, get no part
/// refused that requests share, since the engines go on reporting their load.
#[rstest]
#[case(1)]
#[case(7)]
#[case(42)]
fn broken_connections_get_no_shared_part_refused(#[case] seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let (mut quarantine, began) = (Quarantine::default(), Instant::now());
    let mut broken: VecDeque<(Instant, Target)> = VecDeque::new();
    for run in 0..20_000 {
        let now = began + Duration::from_millis(30 * run);
        while let Some((at, _)) = broken.front()
            && now > *at + Duration::from_millis(400)
        {
            let (_, target) = broken.pop_front().expect("it is there");
            quarantine.record_alive(&target, 1, now);
        }
        let part = rng.random_range(0..40);
        quarantine.record_sent(run, &[part]);
        if rng.random_bool(0.1) {
            let crash = crash(run, rng.random_range(0..56), &[part]);
            let refused = quarantine.record_crash(&crash, now);
            assert!(refused.is_none(), "seed {seed}, request {run}");
            broken.push_back((now, crash.target));
        } else {
            quarantine.record_answered(run);
        }
    }
}

/// Engines that crash for a reason of their own while requests wait there, one in thirty of all
/// requests, get no part refused that requests share.
#[rstest]
#[case(1)]
#[case(7)]
#[case(42)]
fn crashes_of_engines_get_no_shared_part_refused(#[case] seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let (mut quarantine, began) = (Quarantine::default(), Instant::now());
    for run in 0..20_000 {
        let now = began + Duration::from_millis(30 * run);
        let part = rng.random_range(0..40);
        quarantine.record_sent(run, &[part]);
        if rng.random_ratio(1, 30) {
            let crash = crash(run, rng.random_range(0..56), &[part]);
            let refused = quarantine.record_crash(&crash, now);
            assert!(refused.is_none(), "seed {seed}, request {run}");
        } else {
            quarantine.record_answered(run);
        }
    }
}

/// The host that allocates may be another one than before. It learns what is refused from a report.
#[tokio::test]
async fn an_allocator_refuses_what_it_adopted_and_what_waits() {
    let (allocator, now) = (Allocator::new(Scope::Group), Instant::now());
    let mut found = Quarantine::default();
    for number in 0..4 {
        found.record_crash(&crash(number, number, &[CRASHING_PART]), now);
    }
    let crashing = || Need {
        shared_parts: vec![SHARED_PART, CRASHING_PART],
        ..need()
    };
    let deadline = now + Duration::from_secs(2);
    let wait = Duration::from_secs(2);
    // Without engines the first request waits.
    let waiting = allocator.acquire(1, crashing(), deadline, wait);
    let adopting = async { allocator.adopt_refused_parts(&found.refused(now)) };
    let (reply, ()) = tokio::join!(waiting, adopting);
    assert!(
        matches!(reply, Reply::Refused(RefusalReason::CrashesEngines, _)),
        "{reply:?}"
    );
    allocator.merge(&observations(1, &[0, 0]));
    let reply = allocator.acquire(2, crashing(), deadline, wait).await;
    assert!(matches!(
        reply,
        Reply::Refused(RefusalReason::CrashesEngines, _)
    ));
    let sound = Need {
        shared_parts: vec![SHARED_PART],
        ..need()
    };
    let reply = allocator.acquire(3, sound, deadline, wait).await;
    assert!(matches!(reply, Reply::Placed(..)), "{reply:?}");
}
