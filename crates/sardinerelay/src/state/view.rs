//! The part of the state that every host needs: the sheet, leaves and planned stops, with a version
//! and a running digest of all changes.

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

/// Maximum number of changes that are kept for hosts that lag behind. A host that lags further
/// pulls a whole view.
const MAX_CHANGES: usize = 512;

/// Maximum number of targets that have left, of hosts that have left, and of planned stops. Beyond
/// it, further names are refused and none is dropped, because a target whose leave is forgotten
/// could receive work again.
const MAX_SUBJECTS_PER_KIND: usize = 65_536;

/// A SHA-256 digest.
pub type Digest = [u8; 32];

/// Identity of an accepted sheet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedSheet {
    /// The number that the sheet carries.
    pub number: u64,
    /// The sheet's canonical digest.
    pub digest: Digest,
    /// The version of the view in which it came into force.
    pub version: Version,
    /// When it was accepted, by the state machine's clock.
    pub at: SystemTime,
}

/// The host or target that a planned stop is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Subject {
    /// A host, by number.
    Host(Host),
    /// A target, by name.
    Target(Target),
}

/// A stop to plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    /// The host or target to stop.
    pub subject: Subject,
    /// The incarnation to stop. The plan is dropped once it or a later one has left.
    pub incarnation: Incarnation,
    /// The time from which it drains.
    pub at: SystemTime,
    /// How long open work may take to finish.
    pub grace: Duration,
}

/// A planned stop whose subject is known from the context.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedStop {
    /// The incarnation to stop. The plan is dropped once it or a later one has left.
    pub incarnation: Incarnation,
    /// The time from which it drains.
    pub at: SystemTime,
    /// How long open work may take to finish.
    pub grace: Duration,
}

/// The highest incarnation that has left, by name. Lower incarnations count as left too.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaves {
    /// Targets that have left.
    pub targets: BTreeMap<Target, Incarnation>,
    /// Hosts that have left.
    pub hosts: BTreeMap<Host, Incarnation>,
}

impl Leaves {
    /// Whether this or a later incarnation of the target has left.
    pub fn has_target_left(&self, target: &str, incarnation: Incarnation) -> bool {
        self.targets
            .get(target)
            .is_some_and(|&left| incarnation <= left)
    }

    /// Whether this or a later incarnation of the host has left.
    pub fn has_host_left(&self, host: Host, incarnation: Incarnation) -> bool {
        self.hosts
            .get(&host)
            .is_some_and(|&left| incarnation <= left)
    }
}

/// A change to the view.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// A sheet comes into force. Its content is absent if a later change of the same update
    /// supersedes it.
    Sheet(AcceptedSheet, Option<Arc<Sheet>>),
    /// This incarnation of a target leaves. Lower ones count as left too.
    LeaveTarget(Target, Incarnation),
    /// This incarnation of a host leaves. Lower ones count as left too.
    LeaveHost(Host, Incarnation),
    /// A stop of a host or a target is planned.
    PlanStop(Stop),
}

impl Change {
    /// The bytes that the running digest covers. A sheet is represented by its digest, since its
    /// content may be absent.
    fn digest_input(&self) -> Vec<u8> {
        let without_content = match self {
            Self::Sheet(accepted, _) => Self::Sheet(accepted.clone(), None),
            other => other.clone(),
        };
        postcard::to_stdvec(&without_content).unwrap_or_default()
    }
}

/// A change with the version and digest of the view that results from it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VersionedChange {
    /// The view's version after the change.
    pub version: Version,
    /// The view's running digest after the change.
    pub digest: Digest,
    /// The change that leads to this version.
    pub change: Change,
}

/// What a host needs to bring its view up to date.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// Nothing: its view is current.
    Current,
    /// These changes, in order.
    Changes(Vec<VersionedChange>),
    /// The whole view, because the host's version is unknown here, is too old, or has a different
    /// digest.
    Whole(Box<View>),
}

/// Why a change can't be applied to a view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The change doesn't directly follow the view, so changes in between are missing.
    #[error("the change is for version {found}, expected {expected}")]
    Version {
        /// The version that follows the view's.
        expected: Version,
        /// The version that the change leads to.
        found: Version,
    },
    /// The views have diverged although their versions are equal.
    #[error("the digest after version {version} differs")]
    Digest {
        /// The version after which the digests differ.
        version: Version,
    },
}

/// What recording a change would do.
pub(super) enum Effect {
    /// Nothing: the view states it already, or something later.
    None,
    /// It changes the view.
    Change,
    /// It would need a new name, but [`MAX_SUBJECTS_PER_KIND`] is reached.
    Full,
}

/// The part of the replicated state that hosts pull.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// The number of accepted changes.
    pub version: Version,
    /// The running digest of all changes.
    pub digest: Digest,
    /// The sheet in force. `None` before the first one.
    pub accepted: Option<AcceptedSheet>,
    /// The content of the sheet in force.
    pub sheet: Option<Arc<Sheet>>,
    /// Hosts and targets that have left.
    pub leaves: Leaves,
    /// Planned stops whose subject has not left yet.
    pub stops: BTreeMap<Subject, PlannedStop>,
}

impl View {
    /// Applies the next change that a replica recorded.
    ///
    /// # Errors
    ///
    /// [`ApplyError`] if the change doesn't follow from this view. The view is then unchanged, and
    /// a whole one has to be pulled.
    pub fn apply(&mut self, next: &VersionedChange) -> Result<(), ApplyError> {
        let expected = self.version + 1;
        if next.version != expected {
            return Err(ApplyError::Version {
                expected,
                found: next.version,
            });
        }
        if self.next_digest(&next.change) != next.digest {
            return Err(ApplyError::Digest { version: expected });
        }
        self.record(next.change.clone());
        Ok(())
    }

    /// Returns what [`View::record`] would do with the change.
    pub(super) fn effect(&self, change: &Change) -> Effect {
        let (is_new, is_known, count) = match change {
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
                !self.has_left(&stop.subject, stop.incarnation)
                    && self
                        .stops
                        .get(&stop.subject)
                        .is_none_or(|planned| planned.incarnation < stop.incarnation),
                self.stops.contains_key(&stop.subject),
                self.stops.len(),
            ),
        };
        match (is_new, is_known || count < MAX_SUBJECTS_PER_KIND) {
            (false, _) => Effect::None,
            (true, true) => Effect::Change,
            (true, false) => Effect::Full,
        }
    }

    /// Makes the change, without regard to its [`View::effect`], and returns it with the resulting
    /// version and digest.
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
                self.remove_stop(Subject::Target(target.clone()), *incarnation);
            }
            Change::LeaveHost(host, incarnation) => {
                self.leaves.hosts.insert(*host, *incarnation);
                self.remove_stop(Subject::Host(*host), *incarnation);
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

    fn has_left(&self, subject: &Subject, incarnation: Incarnation) -> bool {
        match subject {
            Subject::Host(host) => self.leaves.has_host_left(*host, incarnation),
            Subject::Target(target) => self.leaves.has_target_left(target, incarnation),
        }
    }

    /// Removes the planned stop of a subject that has left.
    fn remove_stop(&mut self, subject: Subject, incarnation: Incarnation) {
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
            .chain_update(change.digest_input())
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

/// The latest changes, for hosts whose view lags a little.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Version and digest of the view before the oldest change that is kept.
    base: (Version, Digest),
    changes: VecDeque<VersionedChange>,
}

impl History {
    /// Creates an empty history that starts at `view`.
    pub fn new(view: &View) -> Self {
        Self {
            base: (view.version, view.digest),
            changes: VecDeque::new(),
        }
    }

    /// Adds the next change. A new sheet drops the content of the earlier ones, which no host
    /// needs any more.
    pub fn push(&mut self, next: VersionedChange) {
        if matches!(next.change, Change::Sheet(..)) {
            for earlier in &mut self.changes {
                if let Change::Sheet(_, content) = &mut earlier.change {
                    *content = None;
                }
            }
        }
        self.changes.push_back(next);
        if self.changes.len() > MAX_CHANGES
            && let Some(oldest) = self.changes.pop_front()
        {
            self.base = (oldest.version, oldest.digest);
        }
    }

    /// Returns what a host with a view of this version and digest is missing of `view`, the view
    /// after the last change.
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
