//! Tests of the idempotency records.

use {
    rstest::rstest,
    sardinerelay::ledger::{
        Answer, Begin, Completion, Finish, Intent, Key, Ledger, MAX_ANSWER_BYTES, Outcome, Owner,
        Quota, RECORD_LIFETIME,
    },
    std::time::{Duration, SystemTime, UNIX_EPOCH},
    uuid::{NoContext, Timestamp, Uuid},
};

const OWNER: Owner = Owner {
    host: 1,
    incarnation: 1,
};

fn time(seconds: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_800_000_000 + seconds)
}

fn key(key: &str) -> Key {
    Key {
        organisation: "harakeke".into(),
        key: key.into(),
    }
}

/// A UUIDv7 key with the given time.
fn timed(seconds: u64) -> Key {
    let stamp = Timestamp::from_unix(NoContext, 1_800_000_000 + seconds, 0);
    key(&Uuid::new_v7(stamp).to_string())
}

fn intent(key: Key) -> Intent {
    Intent {
        key,
        fingerprint: [1; 32],
        owner: OWNER,
        attempt: Uuid::from_u128(7),
        deadline: time(60),
    }
}

fn done(key: Key, length: usize) -> Completion {
    let answer = Answer {
        status: 200,
        content_type: "text/plain".into(),
        body: Some(vec![b'x'; length]),
    };
    Completion {
        key,
        attempt: Uuid::from_u128(7),
        outcome: Outcome::Done(answer),
    }
}

fn begin(ledger: &mut Ledger, key: &Key, seconds: u64) -> Begin {
    ledger.begin(&intent(key.clone()), time(seconds), |_| false)
}

// Guards against a record that two organisations with the same key share, and against one key for
// two different calls.
#[test]
fn organisations_do_not_share_keys() {
    let mut ledger = Ledger::new(Quota::default());
    assert_eq!(Begin::New, begin(&mut ledger, &key("a"), 0));
    let mut other = intent(key("a"));
    other.fingerprint = [2; 32];
    assert_eq!(Begin::Conflict, ledger.begin(&other, time(0), |_| false));
    other.key.organisation = "brakeline".into();
    assert_eq!(Begin::New, ledger.begin(&other, time(0), |_| false));
    other.key.organisation = "harakek".into();
    other.key.key = "ea".into();
    assert_eq!(Begin::New, ledger.begin(&other, time(0), |_| false));
}

// Guards against a second run of a call whose deadline has passed or whose owner has ended (G4).
#[test]
fn open_call_is_never_new() {
    let mut ledger = Ledger::new(Quota::default());
    assert_eq!(Begin::New, begin(&mut ledger, &key("a"), 0));
    assert_eq!(Begin::InProgress(OWNER), begin(&mut ledger, &key("a"), 59));
    let ended = ledger.begin(&intent(key("a")), time(59), |owner| owner == OWNER);
    assert_eq!(Begin::Unknown, ended);
    assert_eq!(Begin::Unknown, begin(&mut ledger, &key("a"), 60));
    assert_eq!(Begin::Unknown, begin(&mut ledger, &key("a"), 1));
}

// Guards against a resend that runs again after its answer was stored or its key has expired, for
// keys with and without a time, and for a proposer whose clock is behind.
#[rstest]
#[case::without_time(key("order-9"), 1)]
#[case::with_time(timed(0), 0)]
#[case::far_ahead(timed(90_000), 1)]
fn resend_is_answered_and_then_refused(#[case] key: Key, #[case] tombstones: usize) {
    let day = RECORD_LIFETIME.as_secs();
    let mut ledger = Ledger::new(Quota::default());
    assert_eq!(Begin::New, begin(&mut ledger, &key, 0));
    let late = done(key.clone(), 3);
    assert_eq!(Finish::Recorded, ledger.finish(late, time(70)));
    assert!(matches!(begin(&mut ledger, &key, day - 1), Begin::Done(_)));
    for seconds in [day, day + 1, 0, 90_000 + day, 20 * day] {
        assert_eq!(
            Begin::Expired,
            begin(&mut ledger, &key, seconds),
            "at {seconds} s"
        );
    }
    let usage = ledger.usage("harakeke");
    assert_eq!(
        (0, tombstones, 0),
        (usage.records, usage.tombstones, usage.answer_bytes)
    );
    assert_eq!(Finish::Absent, ledger.finish(done(key, 3), time(0)));
}

// Guards against a record for a key that had already expired when it arrived.
#[test]
fn old_key_leaves_no_state() {
    let mut ledger = Ledger::new(Quota::default());
    let day = RECORD_LIFETIME.as_secs();
    assert_eq!(Begin::Expired, begin(&mut ledger, &timed(0), day));
    assert_eq!(0, ledger.usage("harakeke").records);
}

// Guards against an organisation that fills the memory of all replicas, and against tombstones
// that don't count against the quota.
#[test]
fn quota_bounds_each_organisation() {
    let mut ledger = Ledger::new(Quota {
        records: 3,
        untimed: 2,
        answer_bytes: 100,
    });
    let later = RECORD_LIFETIME.as_secs() + 1;
    assert_eq!(Begin::New, begin(&mut ledger, &key("a"), 0));
    assert_eq!(Begin::New, begin(&mut ledger, &key("b"), 0));
    assert_eq!(Begin::QuotaExceeded, begin(&mut ledger, &key("c"), 0));
    assert_eq!(Begin::New, begin(&mut ledger, &timed(0), 0));
    assert_eq!(Begin::QuotaExceeded, begin(&mut ledger, &timed(0), 0));
    assert_eq!(Begin::QuotaExceeded, begin(&mut ledger, &key("c"), later));
    assert_eq!(Begin::New, begin(&mut ledger, &timed(later), later));
}

// Guards against an answer beyond the limit that is stored with its body, or whose outcome is lost.
#[rstest]
#[case::within(MAX_ANSWER_BYTES - 10, true)]
#[case::beyond(MAX_ANSWER_BYTES + 1, false)]
fn answers_are_bounded(#[case] length: usize, #[case] stored: bool) {
    let mut ledger = Ledger::new(Quota::default());
    begin(&mut ledger, &key("a"), 0);
    ledger.finish(done(key("a"), length), time(1));
    let Begin::Done(answer) = begin(&mut ledger, &key("a"), 2) else {
        panic!("the outcome is lost");
    };
    assert_eq!((200, stored), (answer.status, answer.body.is_some()));
}

// Guards against a key that stays in use although the target refused the call, and against a
// completion of another attempt that ends the call.
#[test]
fn only_the_attempt_ends_its_call() {
    let mut ledger = Ledger::new(Quota::default());
    begin(&mut ledger, &key("a"), 0);
    let mut end = done(key("a"), 1);
    end.outcome = Outcome::NotRun;
    end.attempt = Uuid::from_u128(8);
    assert_eq!(Finish::Absent, ledger.finish(end.clone(), time(1)));
    assert_eq!(Begin::InProgress(OWNER), begin(&mut ledger, &key("a"), 1));
    end.attempt = Uuid::from_u128(7);
    assert_eq!(Finish::Recorded, ledger.finish(end, time(1)));
    assert_eq!(Begin::New, begin(&mut ledger, &key("a"), 1));
}
