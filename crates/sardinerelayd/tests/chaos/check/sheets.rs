//! Checks the submissions of sheets. The accepted sheets are a register whose highest number only
//! rises. Submissions that can't be accepted read it, since their refusal names the newest sheet.

use {
    super::{
        Violation,
        linear::{Operation, is_linearizable},
    },
    crate::history::{History, SheetId, Submission, Verdict},
    std::collections::{BTreeMap, BTreeSet},
    todc_utils::specifications::Specification,
};

/// Accepted sheets: their digests by number.
type Accepted = BTreeMap<u64, String>;

/// Specifies that a sheet is accepted if its number is higher than all others, and that a resent
/// sheet gets its first result.
struct Register;

impl Specification for Register {
    type State = Accepted;
    type Operation = (SheetId, Verdict);

    fn init() -> Accepted {
        Accepted::new()
    }

    fn apply((sheet, verdict): &(SheetId, Verdict), state: &Accepted) -> (bool, Accepted) {
        let is_accepted = state.get(&sheet.number) == Some(&sheet.digest);
        let newest = state.last_key_value();
        let is_higher = newest.is_none_or(|(number, _)| sheet.number > *number);
        let mut added = state.clone();
        added.insert(sheet.number, sheet.digest.clone());
        match verdict {
            Verdict::Accepted(_) if is_accepted => (true, state.clone()),
            Verdict::Accepted(_) => (is_higher, if is_higher { added } else { state.clone() }),
            Verdict::Conflict(held) => {
                let holds = state.get(&held.number) == Some(&held.digest);
                (
                    holds && !is_accepted && held.number == sheet.number,
                    state.clone(),
                )
            }
            Verdict::Outdated(held) => {
                let is_newest = newest == Some((&held.number, &held.digest));
                (is_newest && !is_higher && !is_accepted, state.clone())
            }
            Verdict::Lost if is_higher => (true, added),
            Verdict::Lost | Verdict::NotCommitted => (true, state.clone()),
        }
    }
}

/// All violations in the sheets of a history.
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

/// The sheet that a result names as accepted, if any.
fn accepted_sheet(submission: &Submission) -> Option<&SheetId> {
    match &submission.verdict {
        Verdict::Accepted(_) => Some(&submission.sheet),
        Verdict::Conflict(held) | Verdict::Outdated(held) => Some(held),
        Verdict::NotCommitted | Verdict::Lost => None,
    }
}

/// Numbers under which several sheets, or one sheet as several versions, were accepted.
fn conflicting_sheets(submissions: &[Submission]) -> Vec<Violation> {
    let mut digests_by_number: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
    let mut versions: BTreeMap<u64, u64> = BTreeMap::new();
    let mut found = Vec::new();
    for submission in submissions {
        if let Some(sheet) = accepted_sheet(submission) {
            digests_by_number
                .entry(sheet.number)
                .or_default()
                .insert(&sheet.digest);
        }
        if let Verdict::Accepted(version) = submission.verdict {
            let number = submission.sheet.number;
            let first = *versions.entry(number).or_insert(version);
            if first != version {
                let text = format!("sheet {number} accepted as versions {first} and {version}");
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

/// The operations on the register. A lost submission of a sheet that no result names is left out:
/// it explains no result, and each pending operation doubles the work of the checker.
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

/// Hosts that had an older sheet in force than before.
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

/// Hosts without the newest accepted sheet at the end of the run.
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
