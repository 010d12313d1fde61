//! Sheets: one register that only rises, read through the leader by submissions that must lose.

use {
    super::{
        Violation,
        linear::{Operation, is_linearizable},
    },
    crate::history::{History, SheetId, Submission, Verdict},
    std::collections::{BTreeMap, BTreeSet},
    todc_utils::specifications::Specification,
};

/// Accepted sheets: number to digest.
type Accepted = BTreeMap<u64, String>;

struct Register;

impl Specification for Register {
    type State = Accepted;
    type Operation = (SheetId, Verdict);

    fn init() -> Accepted {
        Accepted::new()
    }

    fn apply((sheet, verdict): &(SheetId, Verdict), state: &Accepted) -> (bool, Accepted) {
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
    let mut found = conflicting_sheets(&history.submissions);
    let operations = operations(&history.submissions);
    if !is_linearizable::<Register>(&operations) {
        found.push(Violation::SheetsNotLinearizable(describe(&operations)));
    }
    found.extend(reverted(history));
    found.extend(not_in_force(history));
    found
}

fn describe(operations: &[Operation<(SheetId, Verdict)>]) -> String {
    let lines = operations.iter().map(|operation| {
        let (sheet, verdict) = &operation.action;
        format!("{:?} {sheet:?} {verdict:?}", operation.span)
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// The sheets that a result names as accepted.
fn accepted_sheet(submission: &Submission) -> Option<&SheetId> {
    match &submission.verdict {
        Verdict::Accepted(_) => Some(&submission.sheet),
        Verdict::Conflict(held) | Verdict::Outdated(held) => Some(held),
        Verdict::NotCommitted | Verdict::Lost => None,
    }
}

fn conflicting_sheets(submissions: &[Submission]) -> Vec<Violation> {
    let mut digests_by_number: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
    let mut positions: BTreeMap<u64, u64> = BTreeMap::new();
    let mut found = Vec::new();
    for submission in submissions {
        if let Some(sheet) = accepted_sheet(submission) {
            digests_by_number
                .entry(sheet.number)
                .or_default()
                .insert(&sheet.digest);
        }
        if let Verdict::Accepted(position) = submission.verdict {
            let number = submission.sheet.number;
            let first = *positions.entry(number).or_insert(position);
            if first != position {
                let text = format!("sheet {number} at positions {first} and {position}");
                found.push(Violation::ConflictingSheets(text));
            }
        }
    }
    for (number, digests) in digests_by_number {
        if digests.len() > 1 {
            found.push(Violation::ConflictingSheets(format!(
                "{number}: {digests:?}"
            )));
        }
    }
    found
}

/// A lost submission of a sheet that no result names is left out: without it, nothing is less
/// explained, and each one doubles the checker's work.
fn operations(submissions: &[Submission]) -> Vec<Operation<(SheetId, Verdict)>> {
    let seen: BTreeSet<&SheetId> = submissions.iter().filter_map(accepted_sheet).collect();
    let mut operations = Vec::new();
    for submission in submissions {
        let is_pending = submission.verdict == Verdict::Lost;
        if is_pending && !seen.contains(&submission.sheet) {
            continue;
        }
        operations.push(Operation {
            action: (submission.sheet.clone(), submission.verdict.clone()),
            span: submission.span,
            is_pending,
        });
    }
    operations
}

fn reverted(history: &History) -> Vec<Violation> {
    let mut highest: BTreeMap<u64, u64> = BTreeMap::new();
    let mut found = Vec::new();
    for observation in &history.observations {
        let before = highest
            .entry(observation.host)
            .or_insert(observation.number);
        if observation.number < *before {
            found.push(Violation::SheetReverted(format!(
                "{observation:?} after {before}"
            )));
        }
        *before = observation.number.max(*before);
    }
    found
}

fn not_in_force(history: &History) -> Vec<Violation> {
    let newest = history.submissions.iter().filter_map(accepted_sheet);
    let newest = newest.map(|sheet| sheet.number).max();
    let behind = history
        .final_sheets
        .iter()
        .filter(|(_, shown)| *shown < newest);
    behind
        .map(|(host, shown)| {
            Violation::NotInForce(format!("host {host} shows {shown:?}, accepted {newest:?}"))
        })
        .collect()
}
