//! The retry budget of one service, as this host's share of a limit that all hosts have together.
//!
//! Load pattern that it answers: targets of a service fail in a row while many callers press, and
//! each host would repeat everything once. The sum of all repeats then stays below a share of the
//! requests. Hosts don't talk about it: each takes an equal part of the fixed allowance, and the
//! share of its own requests.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The limit that all hosts have together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Repeats for each request.
    pub retry_ratio: f64,
    /// Repeats beside those.
    pub base_retries: f64,
    /// Any span of this length counts.
    pub window: Duration,
}

/// Part of the limit that is used, because hosts see their windows at different times and the
/// number of hosts may just have grown.
const USED: f64 = 0.7;
/// Parts into which a window is divided.
const SLOTS: u32 = 20;

#[derive(Debug, Clone, Copy, Default)]
struct Slot {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// The budget.
#[derive(Debug)]
pub struct Budget {
    limit: Limit,
    start: Instant,
    slots: VecDeque<Slot>,
}

impl Budget {
    /// An unused budget.
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

    /// Takes one repeat, if the budget of this host, one of `hosts`, allows it.
    pub fn try_take_retry(&mut self, hosts: u32, now: Instant) -> bool {
        self.slot(now);
        let repeats: u32 = self.slots.iter().map(|slot| slot.repeats).sum();
        let requests: u32 = self.slots.iter().map(|slot| slot.requests).sum();
        let allowance = self.limit.base_retries / f64::from(hosts.max(1));
        let most = USED * (allowance + self.limit.retry_ratio * f64::from(requests));
        if f64::from(repeats) + 1.0 > most {
            return false;
        }
        self.slot(now).repeats += 1;
        true
    }

    /// The slot of now; slots outside the window are dropped.
    fn slot(&mut self, now: Instant) -> &mut Slot {
        let length = (self.limit.window / SLOTS).max(Duration::from_millis(1));
        let since = now.saturating_duration_since(self.start);
        let number = (since.as_millis() / length.as_millis()) as u64;
        let oldest = (number + 1).saturating_sub(u64::from(SLOTS) + 1);
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
