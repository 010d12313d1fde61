//! Progress of one decision through the waiting requests of a service.

use {
    super::{Waiter, is_long},
    crate::placement::Need,
    sardinerelay::{
        fairness::Headroom,
        id::{Service, Target},
    },
    std::{
        collections::{BTreeMap, HashMap},
        ops::Bound,
        time::Instant,
    },
};

/// Largest number of requests of a service that find no room in one decision, which bounds its
/// duration. Each is compared with all engines.
const MAX_FAILURES: usize = 8;
/// Largest number of engines of a service that are kept for requests which wait.
const MAX_KEPT: usize = 16;

/// What a placement has to leave to other requests.
#[derive(Debug, Clone, Default)]
pub struct Reserved {
    /// Engines that are kept for requests that go first.
    pub kept: Vec<Target>,
    /// Memory to leave free for more urgent requests.
    pub headroom: Option<Headroom>,
    /// Number of engines to keep if the request finds no room: those that will have room first.
    pub keep: usize,
}

/// Progress of one decision in one service.
#[derive(Debug, Default)]
pub(super) struct Search {
    failures: Vec<Failure>,
    kept: Vec<Kept>,
}

/// A request that found no room. None that needs as much does.
#[derive(Debug)]
struct Failure {
    priority: u8,
    tokens: u64,
    /// Whether memory had to be left for more urgent requests. Shorter requests may use it.
    had_headroom: bool,
}

/// An engine that is kept for a request that waits.
#[derive(Debug)]
struct Kept {
    target: Target,
    priority: u8,
    /// Whether it is kept from all later requests, also those of the same or a higher priority.
    is_from_all: bool,
}

/// How a request is treated in a decision.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Standing {
    /// Whether it goes first because its priority is owed a share.
    pub(super) is_owed: bool,
    /// Number of requests of its priority that wait, itself included.
    pub(super) peers: usize,
    /// Whether less urgent requests wait.
    pub(super) has_less_urgent: bool,
}

/// Numbers of requests that wait, by service and priority.
#[derive(Debug, Default)]
pub(super) struct Waiting(HashMap<Service, BTreeMap<u8, usize>>);

impl Waiting {
    /// Counts these requests.
    pub(super) fn new<'a, Needs>(needs: Needs) -> Self
    where
        Needs: Iterator<Item = &'a Need>,
    {
        let mut waiting = Self::default();
        for need in needs {
            let by_priority = waiting.0.entry(need.service.clone()).or_default();
            *by_priority.entry(need.priority).or_default() += 1;
        }
        waiting
    }

    /// Removes a request that was placed or refused.
    pub(super) fn remove(&mut self, need: &Need) {
        if let Some(by_priority) = self.0.get_mut(&need.service)
            && let Some(count) = by_priority.get_mut(&need.priority)
        {
            *count -= 1;
            if *count == 0 {
                by_priority.remove(&need.priority);
            }
        }
    }

    /// Returns how a request is treated among those of its service.
    pub(super) fn standing(&self, need: &Need, is_owed: bool) -> Standing {
        let Some(by_priority) = self.0.get(&need.service) else {
            return Standing::default();
        };
        let mut less_urgent = by_priority.range((Bound::Excluded(need.priority), Bound::Unbounded));
        Standing {
            is_owed,
            peers: by_priority.get(&need.priority).copied().unwrap_or(0),
            has_less_urgent: less_urgent.next().is_some(),
        }
    }
}

impl Search {
    /// Whether trying to place the request is useless, because one that needs no more has failed.
    pub(super) fn has_failed_alike(&self, need: &Need) -> bool {
        // One that only some targets may run shows nothing about the others.
        let covers = |failure: &Failure| {
            failure.priority <= need.priority
                && failure.tokens <= need.total_tokens()
                && (!failure.had_headroom || is_long(need))
        };
        need.build.is_none()
            && (self.failures.len() >= MAX_FAILURES || self.failures.iter().any(covers))
    }

    /// Returns what a placement of the request has to leave to others.
    pub(super) fn reserved(
        &self,
        waiter: &Waiter,
        standing: Standing,
        headroom: Option<Headroom>,
        now: Instant,
    ) -> Reserved {
        let priority = waiter.need.priority;
        let kept = self.kept.iter();
        let kept = kept.filter(|kept| kept.is_from_all || kept.priority < priority);
        let is_first = !self.kept.iter().any(|kept| kept.priority == priority);
        let keep = match (is_first, standing.has_less_urgent) {
            (true, true) => standing.peers,
            _ => usize::from(waiter.is_overdue(now) || standing.is_owed),
        };
        Reserved {
            kept: kept.map(|kept| kept.target.clone()).collect(),
            headroom,
            keep: keep.min(MAX_KEPT.saturating_sub(self.kept.len())),
        }
    }

    /// Records that a request found no room, and the engines that are kept for it and its peers.
    /// Only the first of them is kept from requests of the same priority.
    pub(super) fn record_failure(
        &mut self,
        waiter: &Waiter,
        (standing, reserved): (Standing, &Reserved),
        engines: Vec<Target>,
        now: Instant,
    ) {
        let need = &waiter.need;
        if need.build.is_none() {
            self.failures.push(Failure {
                priority: need.priority,
                tokens: need.total_tokens(),
                had_headroom: reserved.headroom.is_some(),
            });
        }
        let is_protected = waiter.is_overdue(now) || standing.is_owed;
        let engines = engines.into_iter().take(reserved.keep).enumerate();
        self.kept.extend(engines.map(|(index, target)| Kept {
            target,
            priority: need.priority,
            is_from_all: is_protected && index == 0,
        }));
    }
}
