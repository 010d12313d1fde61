//! Tests of the checker. Each hand-written history contains one violation, or none, and the checker
//! must find just that. A violation of one kind may break several checks.

use {
    crate::{
        check::{Violation, violations},
        history::{
            Attempt, CallKind, CallRecord, ConfirmedStop, Connection, ConnectionEnd, Generation,
            History, Outage, Outcome, SheetId, SheetObservation, Span, Stream, Submission, Verdict,
        },
    },
    rstest::rstest,
};

fn span(begin: u64, end: u64) -> Span {
    Span { begin, end }
}

fn attempt(kind: CallKind, key: &str, at: Span, outcome: Outcome) -> Attempt {
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

fn calls(kind: CallKind, outcomes: Vec<Outcome>, count: u64) -> History {
    let attempts = outcomes.into_iter().zip(0..);
    let attempts = attempts
        .map(|(outcome, turn)| attempt(kind, "k", span(turn * 10, turn * 10 + 5), outcome))
        .collect();
    let run = CallRecord {
        key: "k".to_owned(),
        count,
        differing: 0,
        digest: "body".to_owned(),
    };
    History {
        attempts,
        call_records: if count > 0 { vec![run] } else { Vec::new() },
        ..History::default()
    }
}

fn violation_kinds(found: &[Violation]) -> Vec<String> {
    let kinds = found.iter().map(|violation| {
        let text = format!("{violation:?}");
        text.split('(').next().unwrap_or_default().to_owned()
    });
    kinds.collect()
}

fn assert_found(history: &History, expected: &[&str]) {
    assert_eq!(violation_kinds(&violations(history)), expected);
}

/// Guards against undetected second runs, acknowledged calls without a run and false "not run".
#[rstest]
#[case::ran_twice(vec![acknowledged("k", "a")], 2, &["RanTwice", "KeyNotLinearizable"])]
#[case::ran_twice_after_a_lost_answer(vec![Outcome::Lost, Outcome::Lost], 2, &["RanTwice", "KeyNotLinearizable"])]
#[case::acknowledged_not_run(vec![acknowledged("k", "a")], 0, &["AcknowledgedNotRun", "KeyNotLinearizable"])]
#[case::refused_but_ran(vec![not_run(), not_run()], 1, &["RefusedButRan", "KeyNotLinearizable"])]
#[case::two_answers(vec![acknowledged("k", "a"), acknowledged("k", "b")], 1, &["KeyNotLinearizable"])]
#[case::answer_to_another_call(vec![acknowledged("other", "a")], 1, &["WrongAnswer"])]
#[case::unexpected_response(vec![acknowledged("k", "a"), Outcome::Unexpected("500".to_owned())], 1, &["WrongAnswer"])]
#[case::valid_resend(vec![Outcome::Lost, not_run(), acknowledged("k", "a"), acknowledged("k", "a")], 1, &[])]
#[case::valid_unknown(vec![Outcome::Unknown("outcome_unknown".to_owned()), not_run()], 1, &[])]
#[case::valid_unknown_that_never_ran(vec![Outcome::Lost], 0, &[])]
fn orders(#[case] outcomes: Vec<Outcome>, #[case] count: u64, #[case] expected: &[&str]) {
    assert_found(&calls(CallKind::Keyed, outcomes, count), expected);
}

/// Guards against the same for calls without a key, and against false alarms for repeatable ones.
#[rstest]
#[case::repeated(CallKind::Repeatable, Outcome::Lost, 2, &[])]
#[case::repeated_non_repeatable_call(CallKind::NonRepeatable, Outcome::Lost, 2, &["RanTwice"])]
#[case::refused_but_ran(CallKind::Repeatable, not_run(), 1, &["RefusedButRan"])]
#[case::acknowledged_not_run(CallKind::NonRepeatable, acknowledged("k", "a"), 0, &["AcknowledgedNotRun"])]
fn calls_without_a_key(
    #[case] kind: CallKind,
    #[case] outcome: Outcome,
    #[case] count: u64,
    #[case] expected: &[&str],
) {
    assert_found(&calls(kind, vec![outcome], count), expected);
}

/// Guards against an undetected run with another body under the same key.
#[test]
fn run_with_another_body() {
    let mut history = calls(CallKind::Keyed, vec![acknowledged("k", "a")], 1);
    history.call_records[0].digest = "other".to_owned();
    assert_found(&history, &["WrongAnswer"]);
}

/// A history with a stream of four tokens. Semicolons separate its connections, spaces the tokens.
fn stream(connections: &str, end: ConnectionEnd) -> History {
    let connections: Vec<&str> = connections.split(';').collect();
    let last = connections.len() - 1;
    let connections = connections
        .iter()
        .enumerate()
        .map(|(position, texts)| Connection {
            request: "r".to_owned(),
            host: 1,
            span: span(position as u64 * 10, position as u64 * 10 + 5),
            tokens: texts.split_whitespace().map(str::to_owned).collect(),
            end: match position == last {
                true => end.clone(),
                false => ConnectionEnd::Abandoned,
            },
        });
    History {
        streams: vec![Stream {
            fingerprint: "aa".to_owned(),
            requested_tokens: 4,
            connections: connections.collect(),
        }],
        ..History::default()
    }
}

/// Guards against undetected tokens that are duplicated, missing, reordered, of another prompt or
/// of two generations, and against undetected incomplete answers.
#[rstest]
#[case::valid("aa.0.g aa.1.g aa.2.g aa.3.g", ConnectionEnd::Done, &[])]
#[case::valid_resumed("aa.0.g aa.1.g; aa.2.g aa.3.g", ConnectionEnd::Done, &[])]
#[case::valid_lost("aa.0.g aa.1.g", ConnectionEnd::Error("generation_lost".to_owned()), &[])]
#[case::duplicated("aa.0.g aa.1.g aa.1.g aa.2.g", ConnectionEnd::Done, &["OutOfOrder"])]
#[case::duplicated_on_resume("aa.0.g aa.1.g; aa.1.g aa.2.g", ConnectionEnd::Done, &["OutOfOrder"])]
#[case::gapped("aa.0.g aa.2.g aa.3.g", ConnectionEnd::Error("x".to_owned()), &["OutOfOrder"])]
#[case::gapped_on_resume("aa.0.g; aa.2.g aa.3.g", ConnectionEnd::Error("x".to_owned()), &["OutOfOrder"])]
#[case::reordered("aa.0.g aa.2.g aa.1.g aa.3.g", ConnectionEnd::Done, &["OutOfOrder"])]
#[case::crossed("aa.0.g bb.1.g aa.2.g aa.3.g", ConnectionEnd::Done, &["Crossed"])]
#[case::mixed_generations("aa.0.g aa.1.g; aa.2.h aa.3.h", ConnectionEnd::Done, &["MixedGenerations"])]
#[case::truncated("aa.0.g aa.1.g aa.2.g", ConnectionEnd::Done, &["Truncated"])]
#[case::ended_silently("aa.0.g aa.1.g aa.2.g", ConnectionEnd::Closed, &["EndedSilently"])]
fn streams(#[case] connections: &str, #[case] end: ConnectionEnd, #[case] expected: &[&str]) {
    assert_found(&stream(connections, end), expected);
}

/// Guards against false alarms for streams whose host was killed, and against missing ones for
/// others.
#[test]
fn stream_that_broke_with_its_host() {
    let mut history = stream("aa.0.g", ConnectionEnd::Closed);
    history.outages.push(Outage {
        host: 1,
        span: span(4, 9),
    });
    assert_found(&history, &[]);
    history.outages[0].host = 2;
    assert_found(&history, &["EndedSilently"]);
}

/// Guards against an undetected generation for a request that was refused as not run.
#[test]
fn refused_stream_that_ran() {
    let refused = |not_run| ConnectionEnd::Refused {
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
    assert_found(&history, &["RefusedButRan"]);
    history.streams[0].connections[0].end = refused(false);
    assert_found(&history, &[]);
}

/// Guards against undetected new work on a stopped engine.
#[test]
fn new_work_after_a_confirmed_stop() {
    let generation = |engine, started_ms| Generation {
        id: "g".to_owned(),
        request: "r".to_owned(),
        engine,
        started_ms,
        preemptions: 0,
    };
    let stop = ConfirmedStop {
        engine: 0,
        planned_ms: 3,
        confirmed_ms: 5,
        ended_ms: 9,
    };
    let mut history = History {
        confirmed_stops: vec![stop],
        generations: vec![generation(0, 4), generation(1, 7), generation(0, 10)],
        ..History::default()
    };
    assert_found(&history, &[]);
    history.generations.push(generation(0, 7));
    assert_found(&history, &["WorkAfterStop"]);
}

fn sheet_id(number: u64, digest: &str) -> SheetId {
    SheetId {
        number,
        digest: digest.to_owned(),
    }
}

fn submission(sheet: (u64, &str), at: (u64, u64), verdict: Verdict) -> Submission {
    Submission {
        sheet: sheet_id(sheet.0, sheet.1),
        span: span(at.0, at.1),
        verdict,
    }
}

fn conflict(number: u64, digest: &str) -> Verdict {
    Verdict::Conflict(sheet_id(number, digest))
}

fn outdated(number: u64, digest: &str) -> Verdict {
    Verdict::Outdated(sheet_id(number, digest))
}

/// Guards against undetected conflicting sheets, reverted sheets and false refusals.
#[rstest]
#[case::valid(vec![
    submission((5, "a"), (0, 9), Verdict::Accepted(1)),
    submission((5, "b"), (0, 9), conflict(5, "a")),
    submission((6, "c"), (10, 12), Verdict::Lost),
    submission((5, "a"), (13, 14), Verdict::Accepted(1)),
    submission((1, "d"), (15, 16), outdated(6, "c")),
    submission((5, "b"), (17, 18), outdated(6, "c")),
], &[])]
#[case::valid_lost_that_takes_effect_late(vec![
    submission((6, "c"), (0, 1), Verdict::Lost),
    submission((5, "a"), (2, 3), Verdict::Accepted(1)),
    submission((1, "d"), (4, 5), outdated(5, "a")),
    submission((1, "d"), (6, 7), outdated(6, "c")),
], &[])]
#[case::conflicting_sheets(vec![
    submission((5, "a"), (0, 9), Verdict::Accepted(1)),
    submission((5, "b"), (0, 9), Verdict::Accepted(2)),
], &["ConflictingSheets", "ConflictingSheets", "SheetsNotLinearizable"])]
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
fn sheets(#[case] submissions: Vec<Submission>, #[case] expected: &[&str]) {
    let history = History {
        submissions,
        ..History::default()
    };
    assert_found(&history, expected);
}

/// Guards against an undetected crash of a host.
#[test]
fn host_that_ended_by_itself() {
    let history = History {
        crashes: vec![(1, "exit status: 1".to_owned())],
        ..History::default()
    };
    assert_found(&history, &["HostCrashed"]);
}

/// Guards against an undetected host that reverts to an older sheet. Hosts may differ.
#[test]
fn host_that_shows_an_older_sheet() {
    let observation = |host, number, at| SheetObservation {
        host,
        span: span(at, at + 1),
        number,
    };
    let mut history = History {
        observations: vec![
            observation(1, 5, 0),
            observation(2, 4, 2),
            observation(1, 5, 4),
        ],
        ..History::default()
    };
    assert_found(&history, &[]);
    history.observations.push(observation(1, 4, 6));
    assert_found(&history, &["SheetReverted"]);
}

/// Guards against an undetected host that does not get the newest accepted sheet.
#[test]
fn accepted_sheet_that_a_host_lacks() {
    let accepted = submission((5, "a"), (0, 1), Verdict::Accepted(1));
    let mut history = History {
        submissions: vec![accepted],
        final_sheets: vec![(1, Some(5)), (2, Some(5))],
        ..History::default()
    };
    assert_found(&history, &[]);
    history.final_sheets[1].1 = Some(4);
    assert_found(&history, &["NotInForce"]);
    history.final_sheets[1].1 = None;
    assert_found(&history, &["NotInForce"]);
}
