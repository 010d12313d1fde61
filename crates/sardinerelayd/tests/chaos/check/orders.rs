//! Checks calls to the plain service. Each idempotency key is a register that holds the state of
//! its call.

use {
    super::{
        Violation,
        linear::{Operation, is_linearizable},
    },
    crate::history::{Attempt, CallKind, CallRecord, History, Outcome, Span},
    std::collections::BTreeMap,
    todc_utils::specifications::Specification,
};

/// The state of the call with a key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum KeyState {
    /// The call did not run.
    NotRun,
    /// The call ran, but no caller has got the answer.
    Ran,
    /// The call ran, and a caller got this answer.
    Answered(String),
}

/// An operation on the state of a key.
#[derive(Debug, Clone)]
enum Action {
    /// An attempt that got this answer.
    Acknowledged(String),
    /// An attempt without a known outcome. It may have run the call.
    MayRun,
    /// How often the call ran, read from the service's record at the end.
    Count(u64),
}

/// Specifies that a call runs at most once and that all answers are the same.
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

/// All violations in the calls of a history.
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

/// Checks that an answer is permitted and names the call of this attempt.
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

/// All violations in the calls with one key. `record` is `None` if the call never ran.
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

/// The operations on a key's register. An attempt that was refused as not run has no effect and is
/// left out.
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
