//! The replicated state machine: the newest configuration, and how many voters the group should
//! have.
//!
//! The highest version wins. A submission with the current version or a lower one changes nothing
//! but succeeds all the same, because it may be a retry after the first response was lost.

use {
    bytes::Bytes,
    sardinerelay::id::Version,
    serde::{Deserialize, Serialize},
};

/// A configuration as the operator sent it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The version that the operator gave it. The highest one wins.
    pub version: Version,
    /// The text, byte for byte as it was sent.
    pub body: Bytes,
}

/// A command in the log. It is stored by position, so the order of the variants must not change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Stores a configuration, unless the register has the same or a higher version.
    Submit(Document),
    /// Raises the number of voters that the group should have. A lower number changes nothing.
    Grow(u32),
}

/// The replicated state, which snapshots contain.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Register {
    /// The newest configuration; none until the first one is accepted.
    pub newest: Option<Document>,
    /// Number of voters that the group should have, 0 until it is raised for the first time.
    #[serde(rename = "voters")]
    pub desired_voters: u32,
}

impl Register {
    /// Applies a command. Returns the configuration's version afterwards.
    pub fn apply(&mut self, command: Command) -> Version {
        match command {
            Command::Submit(document) if document.version > self.version() => {
                self.newest = Some(document);
            }
            Command::Submit(_) => {}
            Command::Grow(voters) => self.desired_voters = self.desired_voters.max(voters),
        }
        self.version()
    }

    /// Returns the configuration's version, 0 if there is none.
    pub fn version(&self) -> Version {
        self.newest.as_ref().map_or(0, |document| document.version)
    }
}
