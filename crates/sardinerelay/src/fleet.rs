//! Membership: which targets may get requests, and which hosts are live.
//!
//! It combines the platform's list, which lags, with what this host observes itself. Once an
//! incarnation of a target has left, it never becomes eligible again: the list can add a target but
//! not revert a leave, and only a new incarnation gets requests (guarantee G5 in `docs/design.md`).

use {
    crate::id::{Host, Incarnation, Target},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Time without news of a host after which it no longer counts as live.
const HOST_TIMEOUT: Duration = Duration::from_secs(10);

/// A target's state in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listed {
    /// The target is live. It may get requests unless this incarnation has left before.
    Live,
    /// The target was told to stop.
    Leaving,
}

/// One entry of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The target, by name.
    pub target: Target,
    /// The target's incarnation when the list was made.
    pub incarnation: Incarnation,
    /// The target's state when the list was made.
    pub listed: Listed,
}

#[derive(Debug, Clone, Copy)]
struct Member {
    incarnation: Incarnation,
    has_left: bool,
}

/// Membership of targets and hosts as this host knows it.
#[derive(Debug, Default)]
pub struct Fleet {
    targets: HashMap<Target, Member>,
    hosts: HashMap<Host, Instant>,
}

impl Fleet {
    /// Creates an empty fleet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges the platform's list. A target that is missing from the list keeps its state, because
    /// the list lags in both directions and a dead target is detected by refused connections.
    pub fn merge_list(&mut self, list: &[Entry]) {
        for entry in list {
            match entry.listed {
                Listed::Live => self.join(&entry.target, entry.incarnation),
                Listed::Leaving => self.leave(&entry.target, entry.incarnation),
            }
        }
    }

    /// Records that an incarnation is live. Has no effect on an incarnation that has left or
    /// that is older than the known one.
    pub fn join(&mut self, target: &Target, incarnation: Incarnation) {
        let member = self.targets.entry(target.clone()).or_insert(Member {
            incarnation,
            has_left: false,
        });
        if incarnation > member.incarnation {
            *member = Member {
                incarnation,
                has_left: false,
            };
        }
    }

    /// Records that an incarnation leaves or is dead. Has no effect on a later incarnation.
    pub fn leave(&mut self, target: &Target, incarnation: Incarnation) {
        let member = self.targets.entry(target.clone()).or_insert(Member {
            incarnation,
            has_left: true,
        });
        if incarnation >= member.incarnation {
            *member = Member {
                incarnation,
                has_left: true,
            };
        }
    }

    /// Whether the target may get new requests. This is checked at selection and again at dispatch.
    pub fn is_eligible(&self, target: &str) -> bool {
        self.targets
            .get(target)
            .is_some_and(|member| !member.has_left)
    }

    /// Returns the latest known incarnation of the target.
    pub fn incarnation(&self, target: &str) -> Option<Incarnation> {
        self.targets.get(target).map(|member| member.incarnation)
    }

    /// Records that there was news of another host at `now`.
    pub fn record_host(&mut self, host: Host, now: Instant) {
        self.hosts.insert(host, now);
    }

    /// Returns the number of other hosts of which there was news within the timeout.
    pub fn live_hosts(&self, now: Instant) -> usize {
        self.hosts
            .values()
            .filter(|last_heard| now.saturating_duration_since(**last_heard) <= HOST_TIMEOUT)
            .count()
    }
}
