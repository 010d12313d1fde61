//! The replicated state machine: the newest configuration, how many voters the group should have,
//! what is refused because it makes targets crash, and which zones are evacuated.
//!
//! The highest version wins. A submission with the current version or a lower one changes nothing
//! but succeeds all the same, because it may be a retry after the first response was lost.

use {
    super::evacuation::{Evacuations, Order},
    crate::{observations::or_default, quarantine::Subject},
    bytes::Bytes,
    log::warn,
    sardinerelay::{id::Version, unix_time::unix_ms},
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        time::{Duration, SystemTime},
    },
};

/// Version of a stored document that holds exclusions or an order. Configurations have a version of 1
/// or more.
const EXCLUSIONS_VERSION: Version = 0;
/// Largest number of exclusions. The one that ends first makes room for another.
const MAX_EXCLUSIONS: usize = 512;

/// A configuration as the operator sent it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The version that the operator gave it. The highest one wins.
    pub version: Version,
    /// The text, byte for byte as it was sent.
    pub body: Bytes,
}

/// What an exclusion is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Kind {
    /// A part of prompts.
    Part,
    /// A whole request, by its [`crate::fingerprint`].
    Request,
}

/// Something that all hosts refuse because it makes targets crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exclusion {
    pub kind: Kind,
    pub subject: Subject,
    /// When it ends, in milliseconds since 1970 by the clock of the leader that proposed it. Replicas
    /// that start again know of no other clock.
    pub until_ms: u64,
}

impl Exclusion {
    /// Creates an exclusion that ends after `remaining`.
    pub fn ending_in(kind: Kind, subject: Subject, remaining: Duration, now: SystemTime) -> Self {
        Self {
            kind,
            subject,
            until_ms: unix_ms(now + remaining),
        }
    }

    /// Returns the time until it ends, zero if it has ended.
    pub fn remaining(&self, now: SystemTime) -> Duration {
        Duration::from_millis(self.until_ms.saturating_sub(unix_ms(now)))
    }
}

/// A command in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Stores a configuration, unless the register has the same or a higher version.
    Submit(Document),
    /// Raises the number of voters that the group should have. A lower number changes nothing.
    Grow(u32),
    /// Refuses these subjects until they end.
    Exclude(Vec<Exclusion>),
    /// Evacuates a zone or ends its evacuation, unless the order is out of date.
    Order(Order),
}

/// A command as the log stores it, by position: the order of the variants must not change.
///
/// Replicas of earlier versions end if they find a variant that they don't know. Exclusions
/// and orders are therefore stored as a document with [`EXCLUSIONS_VERSION`], which those replicas
/// ignore because it is not above the register's version.
#[derive(Debug, Serialize, Deserialize)]
enum Stored {
    Submit(Document),
    Grow(u32),
}

impl Command {
    /// Encodes the command for the log.
    ///
    /// # Errors
    ///
    /// Returns the encoder's error. Integers and bytes can always be encoded.
    pub fn encode(self) -> Result<Vec<u8>, postcard::Error> {
        let stored = match self {
            Self::Submit(document) => Stored::Submit(document),
            Self::Grow(voters) => Stored::Grow(voters),
            Self::Exclude(exclusions) => Stored::Submit(Document {
                version: EXCLUSIONS_VERSION,
                body: postcard::to_stdvec(&exclusions)?.into(),
            }),
            Self::Order(order) => Stored::Submit(Document {
                version: EXCLUSIONS_VERSION,
                body: order.encode()?.into(),
            }),
        };
        postcard::to_stdvec(&stored)
    }

    /// Decodes a command from the log. Exclusions and orders in a form that a later version has
    /// written are left out, since that version still holds them.
    ///
    /// # Errors
    ///
    /// Returns the decoder's error if the bytes are no command.
    pub fn decode(data: &[u8]) -> Result<Self, postcard::Error> {
        Ok(match postcard::from_bytes(data)? {
            Stored::Submit(document) if document.version == EXCLUSIONS_VERSION => {
                Self::decode_unversioned(&document.body)
            }
            Stored::Submit(document) => Self::Submit(document),
            Stored::Grow(voters) => Self::Grow(voters),
        })
    }

    /// Decodes what is stored as a document without a version of its own.
    fn decode_unversioned(body: &[u8]) -> Self {
        let decoded = match Order::decode(body) {
            Some(order) => order.map(Self::Order),
            None => postcard::from_bytes(body).map(Self::Exclude),
        };
        decoded.unwrap_or_else(|error| {
            warn!(reason:% = error; "a command in the log can't be read and is left out");
            Self::Exclude(Vec::new())
        })
    }
}

/// The replicated state, which snapshots contain.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Register {
    /// The newest configuration; none until the first one is accepted.
    pub newest: Option<Document>,
    /// Number of voters that the group should have, 0 until it is raised for the first time.
    #[serde(rename = "voters")]
    pub desired_voters: u32,
    /// What is refused. Snapshots of earlier versions end before it.
    #[serde(deserialize_with = "or_default")]
    pub exclusions: Vec<Exclusion>,
    /// The orders for zones. Snapshots of earlier versions end before them.
    #[serde(deserialize_with = "or_default")]
    pub evacuations: Evacuations,
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
            Command::Exclude(exclusions) => self.exclude(&exclusions),
            Command::Order(order) => {
                self.evacuations.apply(&order);
            }
        }
        self.version()
    }

    /// Adds exclusions. One that is known already ends at the later of both times.
    fn exclude(&mut self, added: &[Exclusion]) {
        let all = self.exclusions.iter().chain(added);
        let mut latest: BTreeMap<(Kind, Subject), u64> = BTreeMap::new();
        for exclusion in all {
            let until_ms = latest
                .entry((exclusion.kind, exclusion.subject))
                .or_default();
            *until_ms = exclusion.until_ms.max(*until_ms);
        }
        let merged = latest
            .into_iter()
            .map(|((kind, subject), until_ms)| Exclusion {
                kind,
                subject,
                until_ms,
            });
        self.exclusions = merged.collect();
        self.exclusions
            .sort_by_key(|exclusion| std::cmp::Reverse(exclusion.until_ms));
        self.exclusions.truncate(MAX_EXCLUSIONS);
    }

    /// Returns the configuration's version, 0 if there is none.
    pub fn version(&self) -> Version {
        self.newest.as_ref().map_or(0, |document| document.version)
    }
}
