//! Calls to plain services: each key as a small register.

use {
    super::{
        Violation,
        linear::{Operation, is_linearizable},
    },
    crate::history::{Attempt, History, Kind, Outcome, Run, Span},
    std::collections::BTreeMap,
    todc_utils::specifications::Specification,
};

/// What happened to a key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Ran {
    /// It did not run.
    No,
    /// It ran, and nobody has seen the answer yet.
    Unseen,
    /// It ran with this answer.
    Seen(String),
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
    type State = Ran;
    type Operation = Action;

    fn init() -> Ran {
        Ran::No
    }

    fn apply(action: &Action, state: &Ran) -> (bool, Ran) {
        match (action, state) {
            (Action::Acknowledged(answer), Ran::Seen(seen)) => (answer == seen, state.clone()),
            (Action::Acknowledged(answer), _) => (true, Ran::Seen(answer.clone())),
            (Action::MayRun, Ran::No) => (true, Ran::Unseen),
            (Action::MayRun, _) => (true, state.clone()),
            (Action::Count(count), Ran::No) => (*count == 0, state.clone()),
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
    let runs: BTreeMap<&str, &Run> = history
        .runs
        .iter()
        .map(|run| (run.key.as_str(), run))
        .collect();
    for (key, attempts) in by_key {
        found.extend(key_violations(key, &attempts, runs.get(key).copied()));
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

fn key_violations(key: &str, attempts: &[&Attempt], run: Option<&Run>) -> Vec<Violation> {
    let mut found = Vec::new();
    let count = run.map_or(0, |run| run.count);
    let describe = || format!("{key} ran {count} times after {attempts:?}");
    let kind = attempts[0].kind;
    let acknowledged = attempts
        .iter()
        .any(|attempt| matches!(attempt.outcome, Outcome::Acknowledged { .. }));
    let refused = attempts
        .iter()
        .all(|attempt| matches!(attempt.outcome, Outcome::NotRun(_)));
    let differs = run.is_some_and(|run| run.differing > 0 || run.digest != attempts[0].digest);
    if kind != Kind::Repeatable && count > 1 {
        found.push(Violation::Doubled(describe()));
    }
    if acknowledged && count == 0 {
        found.push(Violation::LostAcknowledged(describe()));
    }
    if refused && count > 0 {
        found.push(Violation::FalseNotRun(describe()));
    }
    if differs {
        found.push(Violation::WrongAnswer(describe()));
    }
    if kind == Kind::Keyed && !is_linearizable::<Register>(&operations(attempts, count)) {
        found.push(Violation::KeyNotLinearizable(describe()));
    }
    found
}

/// An attempt refused as not run has no effect on the register and is left out.
fn operations(attempts: &[&Attempt], count: u64) -> Vec<Operation<Action>> {
    let mut operations = Vec::new();
    for attempt in attempts {
        let (action, open) = match &attempt.outcome {
            Outcome::Acknowledged { text, .. } => (Action::Acknowledged(text.clone()), false),
            Outcome::NotRun(_) => continue,
            _ => (Action::MayRun, true),
        };
        operations.push(Operation {
            action,
            span: attempt.span,
            open,
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
        open: false,
    });
    operations
}
