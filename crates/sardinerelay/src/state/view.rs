//! What every host needs: the sheet, leaves and planned stops, with version and running digest.

use {
    crate::{
        id::{Host, Incarnation, Target, Version},
        sheet::Sheet,
    },
    serde::{Deserialize, Serialize},
    sha2::{Digest as _, Sha256},
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
        time::{Duration, SystemTime},
    },
};

/// Changes that are kept for hosts that lag. A host further behind pulls a whole view.
const CHANGES: usize = 512;

/// Leaves or planned stops of one kind that are kept. Beyond it, further names are refused, since
/// a forgotten leave could return a leaving target to service.
const NAMES: usize = 65_536;

/// A SHA-256 digest.
pub type Digest = [u8; 32];

/// An accepted sheet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedSheet {
    /// The sheet's number.
    pub number: u64,
    /// The sheet's digest.
    pub digest: Digest,
    /// The version at which it came into force.
    pub version: Version,
    /// When it was accepted, by the clock of the state machine.
    pub at: SystemTime,
}

/// What stops or leaves.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Subject {
    /// A host.
    Host(Host),
    /// A target.
    Target(Target),
}

/// A planned stop.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    /// What is to stop.
    pub subject: Subject,
    /// The run that is to stop.
    pub incarnation: Incarnation,
    /// The time from which it drains.
    pub at: SystemTime,
    /// The time that open work has to finish.
    pub grace: Duration,
}

/// A recorded stop.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedStop {
    /// The run that is to stop.
    pub incarnation: Incarnation,
    /// The time from which it drains.
    pub at: SystemTime,
    /// The time that open work has to finish.
    pub grace: Duration,
}

/// The highest incarnation that left, by name. Lower ones count as left too.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaves {
    /// Targets.
    pub targets: BTreeMap<Target, Incarnation>,
    /// Hosts.
    pub hosts: BTreeMap<Host, Incarnation>,
}

impl Leaves {
    /// Whether this run of the target left.
    pub fn has_target_left(&self, target: &str, incarnation: Incarnation) -> bool {
        self.targets
            .get(target)
            .is_some_and(|&left| incarnation <= left)
    }

    /// Whether this process of the host left.
    pub fn has_host_left(&self, host: Host, incarnation: Incarnation) -> bool {
        self.hosts
            .get(&host)
            .is_some_and(|&left| incarnation <= left)
    }
}

/// A change to the view.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// A sheet comes into force. Without content it is superseded by a later change of the same
    /// update.
    Sheet(AcceptedSheet, Option<Arc<Sheet>>),
    /// A target's run leaves.
    LeaveTarget(Target, Incarnation),
    /// A host's process leaves.
    LeaveHost(Host, Incarnation),
    /// A stop is planned.
    PlanStop(Stop),
}

impl Change {
    /// The bytes that the running digest covers: a sheet by its digest and not its content.
    fn summary(&self) -> Vec<u8> {
        let summary = match self {
            Self::Sheet(accepted, _) => Self::Sheet(accepted.clone(), None),
            other => other.clone(),
        };
        postcard::to_stdvec(&summary).unwrap_or_default()
    }
}

/// A change as it was accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VersionedChange {
    /// The version after the change.
    pub version: Version,
    /// The running digest after the change.
    pub digest: Digest,
    /// The change.
    pub change: Change,
}

/// What a host lacks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// Nothing.
    Current,
    /// These changes, in order.
    Changes(Vec<VersionedChange>),
    /// The whole view, since the host's version is unknown here, too old, or has another digest.
    Whole(Box<View>),
}

/// Why a change was not applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// Changes in between are missing.
    #[error("the change is for version {found}, expected {expected}")]
    Version {
        /// The version expected.
        expected: Version,
        /// The version found.
        found: Version,
    },
    /// The views differ although their versions are equal.
    #[error("the digest after version {version} differs")]
    Digest {
        /// The version after which they differ.
        version: Version,
    },
}

pub(super) enum Effect {
    None,
    Change,
    Full,
}

/// What hosts pull.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// The number of accepted changes.
    pub version: Version,
    /// The running digest of all changes.
    pub digest: Digest,
    /// The sheet in force.
    pub accepted: Option<AcceptedSheet>,
    /// Its content.
    pub sheet: Option<Arc<Sheet>>,
    /// Leaves.
    pub leaves: Leaves,
    /// Planned stops whose subject has not left yet.
    pub stops: BTreeMap<Subject, PlannedStop>,
}

impl View {
    /// Applies one change that another host recorded.
    ///
    /// # Errors
    ///
    /// [`Mismatch`] if the change doesn't follow from this view. The view is then unchanged, and
    /// a whole one is needed.
    pub fn apply(&mut self, recorded: &VersionedChange) -> Result<(), ApplyError> {
        let expected = self.version + 1;
        if recorded.version != expected {
            return Err(ApplyError::Version {
                expected,
                found: recorded.version,
            });
        }
        if self.next_digest(&recorded.change) != recorded.digest {
            return Err(ApplyError::Digest { version: expected });
        }
        self.record(recorded.change.clone());
        Ok(())
    }

    pub(super) fn effect(&self, change: &Change) -> Effect {
        let (changes, known, names) = match change {
            Change::Sheet(..) => return Effect::Change,
            Change::LeaveTarget(target, incarnation) => (
                !self.leaves.has_target_left(target, *incarnation),
                self.leaves.targets.contains_key(target),
                self.leaves.targets.len(),
            ),
            Change::LeaveHost(host, incarnation) => (
                !self.leaves.has_host_left(*host, *incarnation),
                self.leaves.hosts.contains_key(host),
                self.leaves.hosts.len(),
            ),
            Change::PlanStop(stop) => (
                !self.left(&stop.subject, stop.incarnation)
                    && self
                        .stops
                        .get(&stop.subject)
                        .is_none_or(|planned| planned.incarnation < stop.incarnation),
                self.stops.contains_key(&stop.subject),
                self.stops.len(),
            ),
        };
        match (changes, known || names < NAMES) {
            (false, _) => Effect::None,
            (true, true) => Effect::Change,
            (true, false) => Effect::Full,
        }
    }

    pub(super) fn record(&mut self, change: Change) -> VersionedChange {
        self.digest = self.next_digest(&change);
        self.version += 1;
        match &change {
            Change::Sheet(accepted, sheet) => {
                self.accepted = Some(accepted.clone());
                self.sheet.clone_from(sheet);
            }
            Change::LeaveTarget(target, incarnation) => {
                self.leaves.targets.insert(target.clone(), *incarnation);
                self.drop_stop(Subject::Target(target.clone()), *incarnation);
            }
            Change::LeaveHost(host, incarnation) => {
                self.leaves.hosts.insert(*host, *incarnation);
                self.drop_stop(Subject::Host(*host), *incarnation);
            }
            Change::PlanStop(stop) => {
                self.stops.insert(stop.subject.clone(), stop.planned());
            }
        }
        VersionedChange {
            version: self.version,
            digest: self.digest,
            change,
        }
    }

    fn left(&self, subject: &Subject, incarnation: Incarnation) -> bool {
        match subject {
            Subject::Host(host) => self.leaves.has_host_left(*host, incarnation),
            Subject::Target(target) => self.leaves.has_target_left(target, incarnation),
        }
    }

    fn drop_stop(&mut self, subject: Subject, incarnation: Incarnation) {
        if self
            .stops
            .get(&subject)
            .is_some_and(|planned| planned.incarnation <= incarnation)
        {
            self.stops.remove(&subject);
        }
    }

    fn next_digest(&self, change: &Change) -> Digest {
        Sha256::new()
            .chain_update(self.digest)
            .chain_update(change.summary())
            .finalize()
            .into()
    }
}

impl Stop {
    fn planned(&self) -> PlannedStop {
        PlannedStop {
            incarnation: self.incarnation,
            at: self.at,
            grace: self.grace,
        }
    }
}

/// The latest changes, for hosts that lag a little.
#[derive(Debug, Clone, Default)]
pub struct History {
    base: (Version, Digest),
    changes: VecDeque<VersionedChange>,
}

impl History {
    /// Starts at a view.
    pub fn new(view: &View) -> Self {
        Self {
            base: (view.version, view.digest),
            changes: VecDeque::new(),
        }
    }

    /// Adds the next change. The content of an earlier sheet is dropped, as nobody needs it.
    pub fn push(&mut self, recorded: VersionedChange) {
        if matches!(recorded.change, Change::Sheet(..)) {
            for earlier in &mut self.changes {
                if let Change::Sheet(_, content) = &mut earlier.change {
                    *content = None;
                }
            }
        }
        self.changes.push_back(recorded);
        if self.changes.len() > CHANGES
            && let Some(oldest) = self.changes.pop_front()
        {
            self.base = (oldest.version, oldest.digest);
        }
    }

    /// What a host at this version and digest lacks of `view`, the view after the last change.
    pub fn update_since(&self, view: &View, version: Version, digest: &Digest) -> Update {
        let whole = || Update::Whole(Box::new(view.clone()));
        let Some(skip) = version.checked_sub(self.base.0) else {
            return whole();
        };
        let Ok(skip) = usize::try_from(skip) else {
            return whole();
        };
        let known = match skip.checked_sub(1) {
            None => Some(&self.base.1),
            Some(position) => self.changes.get(position).map(|change| &change.digest),
        };
        if known != Some(digest) {
            return whole();
        }
        if skip == self.changes.len() {
            return Update::Current;
        }
        Update::Changes(self.changes.range(skip..).cloned().collect())
    }
}
