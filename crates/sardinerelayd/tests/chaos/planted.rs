//! The checker on hand-written histories, each with one planted violation. Guards against a
//! checker that finds nothing.

use {
    crate::{
        check::{Violation, violations},
        history::{
            Attempt, Delivery, Drained, End, Generation, History, Identity, Kind, Outage, Outcome,
            Part, Run, Shown, Span, Submission, Verdict,
        },
    },
    rstest::rstest,
};

fn span(begin: u64, end: u64) -> Span {
    Span { begin, end }
}

fn attempt(kind: Kind, key: &str, at: Span, outcome: Outcome) -> Attempt {
    Attempt {
        key: key.to_owned(),
        kind,
        host: 1,
        digest: "body".to_owned(),
        span: at,
        outcome,
    }
}

fn acknowledged(key: &str, text: &str) -> Outcome {
    Outcome::Acknowledged {
        key: key.to_owned(),
        digest: "body".to_owned(),
        text: text.to_owned(),
    }
}

fn not_run() -> Outcome {
    Outcome::NotRun("no_quorum".to_owned())
}

fn calls(kind: Kind, outcomes: Vec<Outcome>, count: u64) -> History {
    let attempts = outcomes.into_iter().zip(0..);
    let attempts = attempts
        .map(|(outcome, turn)| attempt(kind, "k", span(turn * 10, turn * 10 + 5), outcome))
        .collect();
    let run = Run {
        key: "k".to_owned(),
        count,
        differing: 0,
        digest: "body".to_owned(),
    };
    History {
        attempts,
        runs: if count > 0 { vec![run] } else { Vec::new() },
        ..History::default()
    }
}

fn names(found: &[Violation]) -> Vec<String> {
    let names = found.iter().map(|violation| {
        let text = format!("{violation:?}");
        text.split('(').next().unwrap_or_default().to_owned()
    });
    names.collect()
}

fn assert_found(history: &History, wanted: &[&str]) {
    assert_eq!(names(&violations(history)), wanted);
}

/// Guards against a doubled order, a lost acknowledged order and a false "not run" that go unseen.
#[rstest]
#[case::doubled(vec![acknowledged("k", "a")], 2, &["Doubled", "KeyNotLinearizable"])]
#[case::doubled_after_a_lost_answer(vec![Outcome::Lost, Outcome::Lost], 2, &["Doubled", "KeyNotLinearizable"])]
#[case::lost_acknowledged(vec![acknowledged("k", "a")], 0, &["LostAcknowledged", "KeyNotLinearizable"])]
#[case::false_not_run(vec![not_run(), not_run()], 1, &["FalseNotRun", "KeyNotLinearizable"])]
#[case::two_answers(vec![acknowledged("k", "a"), acknowledged("k", "b")], 1, &["KeyNotLinearizable"])]
#[case::answer_to_another_call(vec![acknowledged("other", "a")], 1, &["WrongAnswer"])]
#[case::answer_of_no_kind(vec![acknowledged("k", "a"), Outcome::Unexpected("500".to_owned())], 1, &["WrongAnswer"])]
#[case::sound_resend(vec![Outcome::Lost, not_run(), acknowledged("k", "a"), acknowledged("k", "a")], 1, &[])]
#[case::sound_unknown(vec![Outcome::Unknown("outcome_unknown".to_owned()), not_run()], 1, &[])]
#[case::sound_unknown_that_never_ran(vec![Outcome::Lost], 0, &[])]
fn orders(#[case] outcomes: Vec<Outcome>, #[case] count: u64, #[case] wanted: &[&str]) {
    assert_found(&calls(Kind::Keyed, outcomes, count), wanted);
}

/// Guards against the same faults of calls without a key, and against alarms for repeatable ones.
#[rstest]
#[case::repeated(Kind::Repeatable, Outcome::Lost, 2, &[])]
#[case::repeated_single_call(Kind::Single, Outcome::Lost, 2, &["Doubled"])]
#[case::false_not_run(Kind::Repeatable, not_run(), 1, &["FalseNotRun"])]
#[case::acknowledged_without_a_run(Kind::Single, acknowledged("k", "a"), 0, &["LostAcknowledged"])]
fn calls_without_a_key(
    #[case] kind: Kind,
    #[case] outcome: Outcome,
    #[case] count: u64,
    #[case] wanted: &[&str],
) {
    assert_found(&calls(kind, vec![outcome], count), wanted);
}

/// Guards against a run of another call under the key that goes unseen.
#[test]
fn run_with_another_body() {
    let mut history = calls(Kind::Keyed, vec![acknowledged("k", "a")], 1);
    history.runs[0].digest = "other".to_owned();
    assert_found(&history, &["WrongAnswer"]);
}

/// A stream of four tokens; a semicolon separates its connections.
fn stream(parts: &str, end: End) -> History {
    let connections: Vec<&str> = parts.split(';').collect();
    let last = connections.len() - 1;
    let parts = connections
        .iter()
        .enumerate()
        .map(|(position, texts)| Part {
            request: "r".to_owned(),
            host: 1,
            span: span(position as u64 * 10, position as u64 * 10 + 5),
            tokens: texts.split_whitespace().map(str::to_owned).collect(),
            end: match position == last {
                true => end.clone(),
                false => End::Abandoned,
            },
        });
    History {
        deliveries: vec![Delivery {
            fingerprint: "aa".to_owned(),
            tokens: 4,
            parts: parts.collect(),
        }],
        ..History::default()
    }
}

/// Guards against wrong, doubled, missing, foreign or mixed tokens and false ends that go unseen.
#[rstest]
#[case::sound("aa.0.g aa.1.g aa.2.g aa.3.g", End::Done, &[])]
#[case::sound_resumed("aa.0.g aa.1.g; aa.2.g aa.3.g", End::Done, &[])]
#[case::sound_lost("aa.0.g aa.1.g", End::Error("generation_lost".to_owned()), &[])]
#[case::duplicated("aa.0.g aa.1.g aa.1.g aa.2.g", End::Done, &["OutOfOrder"])]
#[case::duplicated_on_resume("aa.0.g aa.1.g; aa.1.g aa.2.g", End::Done, &["OutOfOrder"])]
#[case::gapped("aa.0.g aa.2.g aa.3.g", End::Error("x".to_owned()), &["OutOfOrder"])]
#[case::gapped_on_resume("aa.0.g; aa.2.g aa.3.g", End::Error("x".to_owned()), &["OutOfOrder"])]
#[case::reordered("aa.0.g aa.2.g aa.1.g aa.3.g", End::Done, &["OutOfOrder"])]
#[case::crossed("aa.0.g bb.1.g aa.2.g aa.3.g", End::Done, &["Crossed"])]
#[case::spliced("aa.0.g aa.1.g; aa.2.h aa.3.h", End::Done, &["Spliced"])]
#[case::truncated("aa.0.g aa.1.g aa.2.g", End::Done, &["Truncated"])]
#[case::silenced("aa.0.g aa.1.g aa.2.g", End::Closed, &["Silenced"])]
fn streams(#[case] parts: &str, #[case] end: End, #[case] wanted: &[&str]) {
    assert_found(&stream(parts, end), wanted);
}

/// Guards against alarms for streams that broke with their host, and only for those.
#[test]
fn stream_that_broke_with_its_host() {
    let mut history = stream("aa.0.g", End::Closed);
    history.outages.push(Outage {
        host: 1,
        span: span(4, 9),
    });
    assert_found(&history, &[]);
    history.outages[0].host = 2;
    assert_found(&history, &["Silenced"]);
}

/// Guards against a generation of a refused request that goes unseen.
#[test]
fn refused_stream_that_ran() {
    let refused = |not_run| End::Refused {
        not_run,
        code: "no_target".to_owned(),
    };
    let mut history = stream("", refused(true));
    assert_found(&history, &[]);
    history.generations.push(Generation {
        id: "g".to_owned(),
        request: "r".to_owned(),
        engine: 0,
        started_ms: 5,
        preemptions: 0,
    });
    assert_found(&history, &["FalseNotRun"]);
    history.deliveries[0].parts[0].end = refused(false);
    assert_found(&history, &[]);
}

/// Guards against new work for a stopped engine that goes unseen.
#[test]
fn new_work_after_a_confirmed_stop() {
    let generation = |engine, started_ms| Generation {
        id: "g".to_owned(),
        request: "r".to_owned(),
        engine,
        started_ms,
        preemptions: 0,
    };
    let stop = Drained {
        engine: 0,
        planned_ms: 3,
        from_ms: 5,
        until_ms: 9,
    };
    let mut history = History {
        drained: vec![stop],
        generations: vec![generation(0, 4), generation(1, 7), generation(0, 10)],
        ..History::default()
    };
    assert_found(&history, &[]);
    history.generations.push(generation(0, 7));
    assert_found(&history, &["WorkAfterStop"]);
}

fn identity(number: u64, digest: &str) -> Identity {
    Identity {
        number,
        digest: digest.to_owned(),
    }
}

fn submission(sheet: (u64, &str), at: (u64, u64), verdict: Verdict) -> Submission {
    Submission {
        sheet: identity(sheet.0, sheet.1),
        span: span(at.0, at.1),
        verdict,
    }
}

fn conflict(number: u64, digest: &str) -> Verdict {
    Verdict::Conflict(identity(number, digest))
}

fn outdated(number: u64, digest: &str) -> Verdict {
    Verdict::Outdated(identity(number, digest))
}

/// Guards against two winners, a reverted sheet and a false refusal that go unseen.
#[rstest]
#[case::sound(vec![
    submission((5, "a"), (0, 9), Verdict::Accepted(1)),
    submission((5, "b"), (0, 9), conflict(5, "a")),
    submission((6, "c"), (10, 12), Verdict::Lost),
    submission((5, "a"), (13, 14), Verdict::Accepted(1)),
    submission((1, "d"), (15, 16), outdated(6, "c")),
    submission((5, "b"), (17, 18), outdated(6, "c")),
], &[])]
#[case::sound_lost_that_takes_effect_late(vec![
    submission((6, "c"), (0, 1), Verdict::Lost),
    submission((5, "a"), (2, 3), Verdict::Accepted(1)),
    submission((1, "d"), (4, 5), outdated(5, "a")),
    submission((1, "d"), (6, 7), outdated(6, "c")),
], &[])]
#[case::two_winners(vec![
    submission((5, "a"), (0, 9), Verdict::Accepted(1)),
    submission((5, "b"), (0, 9), Verdict::Accepted(2)),
], &["TwoWinners", "TwoWinners", "SheetsNotLinearizable"])]
#[case::forgotten(vec![
    submission((5, "a"), (0, 1), Verdict::Accepted(1)),
    submission((6, "b"), (2, 3), Verdict::Accepted(2)),
    submission((1, "c"), (4, 5), outdated(5, "a")),
], &["SheetsNotLinearizable"])]
#[case::reverted(vec![
    submission((6, "b"), (0, 1), Verdict::Accepted(1)),
    submission((5, "a"), (2, 3), Verdict::Accepted(2)),
], &["SheetsNotLinearizable"])]
#[case::refused_but_accepted(vec![
    submission((5, "a"), (0, 1), Verdict::Accepted(1)),
    submission((6, "b"), (2, 3), Verdict::NotCommitted),
    submission((1, "c"), (4, 5), outdated(6, "b")),
], &["SheetsNotLinearizable"])]
fn sheets(#[case] submissions: Vec<Submission>, #[case] wanted: &[&str]) {
    let history = History {
        submissions,
        ..History::default()
    };
    assert_found(&history, wanted);
}

/// Guards against a host that ends by itself unseen.
#[test]
fn host_that_ended_by_itself() {
    let history = History {
        crashes: vec![(1, "exit status: 1".to_owned())],
        ..History::default()
    };
    assert_found(&history, &["Crashed"]);
}

/// Guards against a host that reverts unseen.
#[test]
fn host_that_shows_an_older_sheet() {
    let shown = |host, number, at| Shown {
        host,
        span: span(at, at + 1),
        number,
    };
    let mut history = History {
        shown: vec![shown(1, 5, 0), shown(2, 4, 2), shown(1, 5, 4)],
        ..History::default()
    };
    assert_found(&history, &[]);
    history.shown.push(shown(1, 4, 6));
    assert_found(&history, &["Reverted"]);
}

/// Guards against a host that stays behind unseen.
#[test]
fn accepted_sheet_that_a_host_lacks() {
    let accepted = submission((5, "a"), (0, 1), Verdict::Accepted(1));
    let mut history = History {
        submissions: vec![accepted],
        settled: vec![(1, Some(5)), (2, Some(5))],
        ..History::default()
    };
    assert_found(&history, &[]);
    history.settled[1].1 = Some(4);
    assert_found(&history, &["NotInForce"]);
    history.settled[1].1 = None;
    assert_found(&history, &["NotInForce"]);
}
