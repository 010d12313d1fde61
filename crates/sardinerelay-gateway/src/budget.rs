//! The retry budget of one service: this host's share of a limit for all hosts together.
//!
//! If a service's targets fail one after another while many callers send requests, each host would
//! retry every request. The budget keeps the sum of all retries below a share of the requests.
//! Hosts don't communicate about it: each may use an equal part of the base retries, plus the ratio
//! of its own requests.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Limit of retries for all hosts together, in any period of length `window`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Number of retries allowed for each request.
    pub retry_ratio: f64,
    /// Retries allowed in addition, however few requests there are.
    pub base_retries: f64,
    /// Length of the periods for which the limit holds.
    pub window: Duration,
}

/// Share of the limit that is used. The rest allows for hosts whose windows begin at different
/// times, and for hosts that have just been added.
const USED_SHARE: f64 = 0.7;
/// Number of slots that a window is divided into.
const WINDOW_SLOTS: u32 = 20;

/// Counts in one slot of the window.
#[derive(Debug, Clone, Copy, Default)]
struct Slot {
    /// Position of the slot, counted from the start of the budget.
    number: u64,
    requests: u32,
    retries: u32,
}

/// Requests and retries of one service on this host in the present window.
#[derive(Debug)]
pub struct Budget {
    limit: Limit,
    start: Instant,
    slots: VecDeque<Slot>,
}

impl Budget {
    /// Creates an unused budget.
    pub fn new(limit: Limit, now: Instant) -> Self {
        Self {
            limit,
            start: now,
            slots: VecDeque::new(),
        }
    }

    /// Counts a request's first attempt.
    pub fn record_request(&mut self, now: Instant) {
        self.slot(now).requests += 1;
    }

    /// Takes one retry from this host's share of the limit, of which the base retries are divided
    /// among `hosts` hosts. Returns false if the share is used up.
    pub fn try_take_retry(&mut self, hosts: u32, now: Instant) -> bool {
        self.slot(now);
        let retries: u32 = self.slots.iter().map(|slot| slot.retries).sum();
        let requests: u32 = self.slots.iter().map(|slot| slot.requests).sum();
        let base = self.limit.base_retries / f64::from(hosts.max(1));
        let max_retries = USED_SHARE * (base + self.limit.retry_ratio * f64::from(requests));
        if f64::from(retries) + 1.0 > max_retries {
            return false;
        }
        self.slot(now).retries += 1;
        true
    }

    /// Returns the present slot, and drops slots outside the window.
    fn slot(&mut self, now: Instant) -> &mut Slot {
        let length = (self.limit.window / WINDOW_SLOTS).max(Duration::from_millis(1));
        let elapsed = now.saturating_duration_since(self.start);
        let number = (elapsed.as_millis() / length.as_millis()) as u64;
        let oldest = (number + 1).saturating_sub(u64::from(WINDOW_SLOTS) + 1);
        while self.slots.front().is_some_and(|slot| slot.number < oldest) {
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|slot| slot.number != number) {
            self.slots.push_back(Slot {
                number,
                ..Slot::default()
            });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }
}
