//! Differences between two sheets.

use serde::{Deserialize, Serialize};

/// How a field differs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// Only the new sheet has it.
    Added,
    /// Only the old sheet has it.
    Removed,
    /// Both have it, with different values.
    Changed,
}

/// One difference between two sheets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// How the field differs.
    pub kind: ChangeKind,
    /// What differs, by name and not by position, for example
    /// `organisation "yard".tokens_per_minute`.
    pub field: String,
    /// The old value, written as in the sheet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<String>,
    /// The new value, written as in the sheet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<String>,
}
