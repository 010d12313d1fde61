//! Calls to plain services: each key as a small register.

use {
    super::{
        Violation,
        linear::{Operation, is_linearizable},
    },
    crate::history::{Attempt, CallKind, CallRecord, History, Outcome, Span},
    std::collections::BTreeMap,
    todc_utils::specifications::Specification,
};

/// What happened to a key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum KeyState {
    /// It did not run.
    NotRun,
    /// It ran, and nobody has seen the answer yet.
    Ran,
    /// It ran with this answer.
    Answered(String),
}

/// An operation on a key.
#[derive(Debug, Clone)]
enum Action {
    /// An attempt that was answered.
    Acknowledged(String),
    /// An attempt that may have run.
    MayRun,
    /// The service's count after the run.
    Count(u64),
}

struct Register;

impl Specification for Register {
    type State = KeyState;
    type Operation = Action;

    fn init() -> KeyState {
        KeyState::NotRun
    }

    fn apply(action: &Action, state: &KeyState) -> (bool, KeyState) {
        match (action, state) {
            (Action::Acknowledged(answer), KeyState::Answered(seen)) => {
                (answer == seen, state.clone())
            }
            (Action::Acknowledged(answer), _) => (true, KeyState::Answered(answer.clone())),
            (Action::MayRun, KeyState::NotRun) => (true, KeyState::Ran),
            (Action::MayRun, _) => (true, state.clone()),
            (Action::Count(count), KeyState::NotRun) => (*count == 0, state.clone()),
            (Action::Count(count), _) => (*count == 1, state.clone()),
        }
    }
}

/// Everything that is wrong with the calls of a history.
pub fn violations(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut by_key: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
    for attempt in &history.attempts {
        by_key.entry(&attempt.key).or_default().push(attempt);
        found.extend(wrong_answer(attempt));
    }
    let records: BTreeMap<&str, &CallRecord> = history
        .call_records
        .iter()
        .map(|record| (record.key.as_str(), record))
        .collect();
    for (key, attempts) in by_key {
        found.extend(key_violations(key, &attempts, records.get(key).copied()));
    }
    found
}

fn wrong_answer(attempt: &Attempt) -> Option<Violation> {
    let wrong = match &attempt.outcome {
        Outcome::Acknowledged { key, digest, .. } => {
            *key != attempt.key || *digest != attempt.digest
        }
        Outcome::Unexpected(_) => true,
        _ => false,
    };
    wrong.then(|| Violation::WrongAnswer(format!("{attempt:?}")))
}

fn key_violations(key: &str, attempts: &[&Attempt], record: Option<&CallRecord>) -> Vec<Violation> {
    let mut found = Vec::new();
    let count = record.map_or(0, |record| record.count);
    let describe = || format!("{key} ran {count} times after {attempts:?}");
    let kind = attempts[0].kind;
    let acknowledged = attempts
        .iter()
        .any(|attempt| matches!(attempt.outcome, Outcome::Acknowledged { .. }));
    let refused = attempts
        .iter()
        .all(|attempt| matches!(attempt.outcome, Outcome::NotRun(_)));
    let differs =
        record.is_some_and(|record| record.differing > 0 || record.digest != attempts[0].digest);
    if kind != CallKind::Repeatable && count > 1 {
        found.push(Violation::RanTwice(describe()));
    }
    if acknowledged && count == 0 {
        found.push(Violation::AcknowledgedNotRun(describe()));
    }
    if refused && count > 0 {
        found.push(Violation::RefusedButRan(describe()));
    }
    if differs {
        found.push(Violation::WrongAnswer(describe()));
    }
    if kind == CallKind::Keyed && !is_linearizable::<Register>(&operations(attempts, count)) {
        found.push(Violation::KeyNotLinearizable(describe()));
    }
    found
}

/// An attempt refused as not run has no effect on the register and is left out.
fn operations(attempts: &[&Attempt], count: u64) -> Vec<Operation<Action>> {
    let mut operations = Vec::new();
    for attempt in attempts {
        let (action, is_pending) = match &attempt.outcome {
            Outcome::Acknowledged { text, .. } => (Action::Acknowledged(text.clone()), false),
            Outcome::NotRun(_) => continue,
            _ => (Action::MayRun, true),
        };
        operations.push(Operation {
            action,
            span: attempt.span,
            is_pending,
        });
    }
    let last = attempts.iter().map(|attempt| attempt.span.end).max();
    let after = last.unwrap_or_default() + 1;
    operations.push(Operation {
        action: Action::Count(count),
        span: Span {
            begin: after,
            end: after + 1,
        },
        is_pending: false,
    });
    operations
}
