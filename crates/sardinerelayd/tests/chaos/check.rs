//! Checks of a history against the guarantees, without any of the product's code.

pub mod linear;
pub mod orders;
pub mod sheets;
pub mod streams;

use crate::history::History;

/// A guarantee that a history breaks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// A call ran more often than it may (G4).
    RanTwice(String),
    /// An acknowledged call has no run (G4).
    AcknowledgedNotRun(String),
    /// A request refused as not run was run (G3).
    RefusedButRan(String),
    /// A caller got the answer to another call, or none that the page allows (G2).
    WrongAnswer(String),
    /// The attempts of a key and its runs fit no order of events (G3, G4).
    KeyNotLinearizable(String),
    /// A token of another prompt (G2).
    Crossed(String),
    /// A token that is not the next one (G1).
    OutOfOrder(String),
    /// Tokens of two generations (G1).
    MixedGenerations(String),
    /// A stream that ended as whole but is not (G2).
    Truncated(String),
    /// A stream that ended without a word although its host lived (G2, G6).
    EndedSilently(String),
    /// New work for a target after every host had confirmed its stop (G5).
    WorkAfterStop(String),
    /// A host showed an older sheet than before (G7).
    SheetReverted(String),
    /// Two sheets under one number (G7).
    ConflictingSheets(String),
    /// Submissions and their results fit no order of events (G7).
    SheetsNotLinearizable(String),
    /// A host ended although nothing ended it.
    HostCrashed(String),
    /// An accepted sheet did not reach a host after the last heal (G7).
    NotInForce(String),
}

/// Everything that is wrong with a history.
pub fn violations(history: &History) -> Vec<Violation> {
    let mut found = orders::violations(history);
    found.extend(streams::violations(history));
    found.extend(sheets::violations(history));
    let crashes = history.crashes.iter();
    found.extend(crashes.map(|crash| Violation::HostCrashed(format!("{crash:?}"))));
    found
}
