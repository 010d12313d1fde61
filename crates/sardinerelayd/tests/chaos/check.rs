//! Checks a history against the guarantees. Uses none of the daemon's code, so that
//! a fault in it can't affect the check.

pub mod linear;
pub mod orders;
pub mod sheets;
pub mod streams;

use crate::history::History;

/// A guarantee that a history breaks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// A call that must not be repeated ran more than once (G4).
    RanTwice(String),
    /// A call was acknowledged but did not run (G4).
    AcknowledgedNotRun(String),
    /// A request was refused as not run but ran (G3).
    RefusedButRan(String),
    /// A caller got the answer to another call, or one that the interface does not permit (G2).
    WrongAnswer(String),
    /// No sequential order explains the attempts of a key and its runs (G3, G4).
    KeyNotLinearizable(String),
    /// A stream contains a token of another prompt (G2).
    Crossed(String),
    /// A token is not the next one of its stream (G1).
    OutOfOrder(String),
    /// A stream contains tokens of two generations (G1).
    MixedGenerations(String),
    /// A stream ended with `[DONE]` but does not have the requested number of tokens (G2).
    Truncated(String),
    /// A stream ended without `[DONE]` or an error although its host was not killed (G2, G6).
    EndedSilently(String),
    /// A target got new work after every host had confirmed its stop (G5).
    WorkAfterStop(String),
    /// A host had an older sheet in force than before (G7).
    SheetReverted(String),
    /// Two sheets, or one sheet as two versions, were accepted under one number (G7).
    ConflictingSheets(String),
    /// No sequential order explains the submissions and their results (G7).
    SheetsNotLinearizable(String),
    /// A host's process ended although the schedule had not ended it.
    HostCrashed(String),
    /// A host did not have the newest accepted sheet in force after all faults had ended (G7).
    NotInForce(String),
}

/// All violations in a history.
pub fn violations(history: &History) -> Vec<Violation> {
    let mut found = orders::violations(history);
    found.extend(streams::violations(history));
    found.extend(sheets::violations(history));
    let crashes = history.crashes.iter();
    found.extend(crashes.map(|crash| Violation::HostCrashed(format!("{crash:?}"))));
    found
}
