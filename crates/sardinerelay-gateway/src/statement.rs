//! What a target says of itself in its answers. See `docs/design/target-limits.md`.

use crate::limit;

/// What one answer says.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Statement {
    /// The rate of requests that it takes from all hosts together.
    pub limit: limit::Statement,
    /// Whether it is about to stop.
    pub is_leaving: bool,
}
