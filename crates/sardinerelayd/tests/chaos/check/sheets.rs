//! Sheets: one register that only rises, read through the leader by submissions that must lose.

use {
    super::{
        Violation,
        linear::{Operation, is_linearizable},
    },
    crate::history::{History, Identity, Submission, Verdict},
    std::collections::{BTreeMap, BTreeSet},
    todc_utils::specifications::Specification,
};

/// Accepted sheets: number to digest.
type Accepted = BTreeMap<u64, String>;

struct Register;

impl Specification for Register {
    type State = Accepted;
    type Operation = (Identity, Verdict);

    fn init() -> Accepted {
        Accepted::new()
    }

    fn apply((sheet, verdict): &(Identity, Verdict), state: &Accepted) -> (bool, Accepted) {
        let same = state.get(&sheet.number) == Some(&sheet.digest);
        let newest = state.last_key_value();
        let higher = newest.is_none_or(|(number, _)| sheet.number > *number);
        let mut added = state.clone();
        added.insert(sheet.number, sheet.digest.clone());
        match verdict {
            Verdict::Accepted(_) if same => (true, state.clone()),
            Verdict::Accepted(_) => (higher, if higher { added } else { state.clone() }),
            Verdict::Conflict(held) => {
                let holds = state.get(&held.number) == Some(&held.digest);
                (holds && !same && held.number == sheet.number, state.clone())
            }
            Verdict::Outdated(held) => {
                let is_newest = newest == Some((&held.number, &held.digest));
                (is_newest && !higher && !same, state.clone())
            }
            Verdict::Lost if higher => (true, added),
            Verdict::Lost | Verdict::NotCommitted => (true, state.clone()),
        }
    }
}

/// Everything that is wrong with the sheets of a history.
pub fn violations(history: &History) -> Vec<Violation> {
    let mut found = winners(&history.submissions);
    let operations = operations(&history.submissions);
    if !is_linearizable::<Register>(&operations) {
        found.push(Violation::SheetsNotLinearizable(describe(&operations)));
    }
    found.extend(reverted(history));
    found.extend(not_in_force(history));
    found
}

fn describe(operations: &[Operation<(Identity, Verdict)>]) -> String {
    let lines = operations.iter().map(|operation| {
        let (sheet, verdict) = &operation.action;
        format!("{:?} {sheet:?} {verdict:?}", operation.span)
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// The sheets that a result names as accepted.
fn named(submission: &Submission) -> Option<&Identity> {
    match &submission.verdict {
        Verdict::Accepted(_) => Some(&submission.sheet),
        Verdict::Conflict(held) | Verdict::Outdated(held) => Some(held),
        Verdict::NotCommitted | Verdict::Lost => None,
    }
}

fn winners(submissions: &[Submission]) -> Vec<Violation> {
    let mut winners: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
    let mut positions: BTreeMap<u64, u64> = BTreeMap::new();
    let mut found = Vec::new();
    for submission in submissions {
        if let Some(sheet) = named(submission) {
            winners
                .entry(sheet.number)
                .or_default()
                .insert(&sheet.digest);
        }
        if let Verdict::Accepted(position) = submission.verdict {
            let number = submission.sheet.number;
            let first = *positions.entry(number).or_insert(position);
            if first != position {
                let text = format!("sheet {number} at positions {first} and {position}");
                found.push(Violation::TwoWinners(text));
            }
        }
    }
    for (number, digests) in winners {
        if digests.len() > 1 {
            found.push(Violation::TwoWinners(format!("{number}: {digests:?}")));
        }
    }
    found
}

/// A lost submission of a sheet that no result names is left out: without it, nothing is less
/// explained, and each one doubles the checker's work.
fn operations(submissions: &[Submission]) -> Vec<Operation<(Identity, Verdict)>> {
    let seen: BTreeSet<&Identity> = submissions.iter().filter_map(named).collect();
    let mut operations = Vec::new();
    for submission in submissions {
        let open = submission.verdict == Verdict::Lost;
        if open && !seen.contains(&submission.sheet) {
            continue;
        }
        operations.push(Operation {
            action: (submission.sheet.clone(), submission.verdict.clone()),
            span: submission.span,
            open,
        });
    }
    operations
}

fn reverted(history: &History) -> Vec<Violation> {
    let mut highest: BTreeMap<u64, u64> = BTreeMap::new();
    let mut found = Vec::new();
    for shown in &history.shown {
        let before = highest.entry(shown.host).or_insert(shown.number);
        if shown.number < *before {
            found.push(Violation::Reverted(format!("{shown:?} after {before}")));
        }
        *before = shown.number.max(*before);
    }
    found
}

fn not_in_force(history: &History) -> Vec<Violation> {
    let newest = history.submissions.iter().filter_map(named);
    let newest = newest.map(|sheet| sheet.number).max();
    let behind = history.settled.iter().filter(|(_, shown)| *shown < newest);
    behind
        .map(|(host, shown)| {
            Violation::NotInForce(format!("host {host} shows {shown:?}, accepted {newest:?}"))
        })
        .collect()
}
