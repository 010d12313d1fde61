//! Which targets and hosts may be used: the platform's lagging list combined with own observation.
//!
//! A leave is sticky for an incarnation of a target. The list lags, so it can announce a target
//! but never revert a leave; only a new incarnation does that (guarantee G5 in `docs/design.md`).

use {
    crate::id::{Host, Target},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// A start of a target's process. A higher number is a later start.
pub type Incarnation = u64;

/// A host that was not heard of for this long no longer counts as live.
const HOST_SILENCE: Duration = Duration::from_secs(10);

/// What the platform's list says about a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listed {
    /// The target is live.
    Live,
    /// The target was told to leave.
    Leaving,
}

/// One entry of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The target.
    pub target: Target,
    /// Its incarnation at the time of the list.
    pub incarnation: Incarnation,
    /// Its state at the time of the list.
    pub listed: Listed,
}

#[derive(Debug, Clone, Copy)]
struct Member {
    incarnation: Incarnation,
    left: bool,
}

/// Membership of targets and hosts as one host sees it.
#[derive(Debug, Default)]
pub struct Fleet {
    targets: HashMap<Target, Member>,
    hosts: HashMap<Host, Instant>,
}

impl Fleet {
    /// An empty fleet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges the platform's list. A target that the list no longer names stays as it is: the
    /// list lags in both directions, and a dead target is found by its refused connections.
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
            left: false,
        });
        if incarnation > member.incarnation {
            *member = Member {
                incarnation,
                left: false,
            };
        }
    }

    /// Records that an incarnation leaves or is dead. Has no effect on a later incarnation.
    pub fn leave(&mut self, target: &Target, incarnation: Incarnation) {
        let member = self.targets.entry(target.clone()).or_insert(Member {
            incarnation,
            left: true,
        });
        if incarnation >= member.incarnation {
            *member = Member {
                incarnation,
                left: true,
            };
        }
    }

    /// Whether the target may receive new work now. Asked at selection and again at dispatch.
    pub fn is_eligible(&self, target: &str) -> bool {
        self.targets.get(target).is_some_and(|member| !member.left)
    }

    /// The latest known incarnation of the target.
    pub fn incarnation(&self, target: &str) -> Option<Incarnation> {
        self.targets.get(target).map(|member| member.incarnation)
    }

    /// Records a sign of life of another host.
    pub fn record_host(&mut self, host: Host, now: Instant) {
        self.hosts.insert(host, now);
    }

    /// The number of other hosts heard of recently.
    pub fn live_hosts(&self, now: Instant) -> usize {
        self.hosts
            .values()
            .filter(|heard| now.saturating_duration_since(**heard) <= HOST_SILENCE)
            .count()
    }
}
