//! The replicated state: the newest configuration, and how many voters the group should have.
//!
//! The highest version wins. A submission at or below the version held changes nothing and is
//! accepted all the same, because it may be a resend whose first answer was lost.

use {
    bytes::Bytes,
    sardinerelay::id::Version,
    serde::{Deserialize, Serialize},
};

/// A configuration as the operator sent it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Its version.
    pub version: Version,
    /// Its text, byte for byte.
    pub body: Bytes,
}

/// A command of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Stores a configuration unless a version as high is held.
    Submit(Document),
    /// Raises the number of voters that the group is to have.
    Grow(u32),
}

/// The state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Register {
    /// The newest configuration.
    pub newest: Option<Document>,
    /// Number of voters that the group is to have, once it was raised.
    #[serde(rename = "voters")]
    pub desired_voters: u32,
}

impl Register {
    /// Applies a command and returns the version held afterwards.
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

    /// The version held; 0 before the first configuration.
    pub fn version(&self) -> Version {
        self.newest.as_ref().map_or(0, |document| document.version)
    }
}
