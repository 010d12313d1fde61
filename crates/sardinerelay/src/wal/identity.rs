//! Identity of a directory.

use {
    crate::id::Host,
    serde::{Deserialize, Serialize},
    uuid::Uuid,
};

/// Whose state a directory holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The group, drawn at random when it is founded.
    pub cluster: Uuid,
    /// The replica. An id is never used again after its directory was lost.
    pub replica: Host,
}
