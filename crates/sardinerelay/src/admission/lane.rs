//! The waiting requests of one priority: deficit round robin among organisations.

use {
    super::Request,
    crate::id::{Generation, Model, Organisation},
    std::{
        collections::{HashMap, VecDeque},
        time::Instant,
    },
};

/// Tokens that an organisation's turn adds to its deficit.
const QUANTUM: f64 = 2_000.0;

#[derive(Debug)]
pub(super) struct Item {
    pub(super) request: Request,
    pub(super) since: Instant,
}

impl Item {
    /// Rank within the organisation's turn; the lowest goes first. The expected length loses its
    /// weight until half of the longest wait has passed; from then on the oldest goes first.
    fn rank(&self, now: Instant) -> f64 {
        let half = self.request.max_wait.as_secs_f64() / 2.0;
        let age = now.saturating_duration_since(self.since).as_secs_f64();
        if age >= half {
            return half - age;
        }
        self.request.expected * (1.0 - age / half)
    }

    fn overdue(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.since) * 2 >= self.request.max_wait
    }
}

#[derive(Debug, Default)]
struct Account {
    deficit: f64,
    tokens: f64,
    items: Vec<Item>,
}

/// One priority's queue.
#[derive(Debug, Default)]
pub(super) struct Lane {
    turns: VecDeque<Organisation>,
    accounts: HashMap<Organisation, Account>,
    /// Whether the organisation in front has had its quantum in this turn.
    granted: bool,
}

impl Lane {
    pub(super) fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }

    pub(super) fn push(&mut self, item: Item) {
        let name = &item.request.organisation;
        if !self.accounts.contains_key(name) {
            self.turns.push_back(name.clone());
        }
        let account = self.accounts.entry(name.clone()).or_default();
        account.tokens += item.request.reserved as f64;
        account.items.push(item);
    }

    /// Tokens waiting in all.
    pub(super) fn tokens(&self) -> f64 {
        self.accounts.values().map(|account| account.tokens).sum()
    }

    /// Tokens that are served before a new request of this organisation, with round robin among
    /// organisations and the shorter ones of its own organisation first.
    pub(super) fn ahead(&self, request: &Request) -> f64 {
        let shorter: f64 = self
            .accounts
            .get(&request.organisation)
            .map_or(0.0, |account| {
                account
                    .items
                    .iter()
                    .filter(|item| item.request.expected <= request.expected)
                    .map(|item| item.request.reserved as f64)
                    .sum()
            });
        let turn = shorter + request.reserved as f64;
        let others: f64 = self
            .accounts
            .iter()
            .filter(|(name, _)| **name != request.organisation)
            .map(|(_, account)| account.tokens.min(turn))
            .sum();
        shorter + others
    }

    /// Offers items to `place` in the order of turns until one is placed. An overdue item that
    /// doesn't fit blocks its model: nothing may overtake it, so that room for it builds up.
    pub(super) fn next<T, F>(
        &mut self,
        now: Instant,
        search: &mut Search,
        place: &mut F,
    ) -> Option<(Request, T)>
    where
        F: FnMut(&Request) -> Option<T>,
    {
        let mut passed = 0;
        while passed < self.turns.len() && search.attempts > 0 {
            let name = self.turns.front()?.clone();
            let account = self.accounts.get_mut(&name)?;
            let Some(best) = account.best(now, &search.blocked) else {
                self.rotate();
                passed += 1;
                continue;
            };
            let cost = account.items[best].request.reserved as f64;
            if cost > account.deficit {
                if self.granted {
                    self.rotate();
                } else {
                    account.deficit += QUANTUM;
                    self.granted = true;
                }
                continue;
            }
            search.attempts -= 1;
            let item = &account.items[best];
            if let Some(placed) = place(&item.request) {
                account.deficit -= cost;
                account.tokens -= cost;
                let item = account.items.swap_remove(best);
                if account.items.is_empty() {
                    self.close(&name);
                }
                return Some((item.request, placed));
            }
            if item.overdue(now) {
                search.blocked.push(item.request.model.clone());
                continue;
            }
            self.rotate();
            passed += 1;
        }
        None
    }

    pub(super) fn remove(&mut self, generation: Generation, organisation: &str) -> bool {
        let Some(account) = self.accounts.get_mut(organisation) else {
            return false;
        };
        let Some(at) = account
            .items
            .iter()
            .position(|item| item.request.generation == generation)
        else {
            return false;
        };
        let item = account.items.swap_remove(at);
        account.tokens -= item.request.reserved as f64;
        if account.items.is_empty() {
            self.close(organisation);
        }
        true
    }

    /// Removes the items that have waited too long.
    pub(super) fn expire(&mut self, now: Instant, expired: &mut Vec<Request>) {
        let names: Vec<_> = self.turns.iter().cloned().collect();
        for name in names {
            let Some(account) = self.accounts.get_mut(&name) else {
                continue;
            };
            let late = |item: &mut Item| {
                now.saturating_duration_since(item.since) >= item.request.max_wait
            };
            for item in account.items.extract_if(.., late) {
                account.tokens -= item.request.reserved as f64;
                expired.push(item.request);
            }
            if account.items.is_empty() {
                self.close(&name);
            }
        }
    }

    fn rotate(&mut self) {
        self.turns.rotate_left(1);
        self.granted = false;
    }

    fn close(&mut self, organisation: &str) {
        if self.turns.front().is_some_and(|name| name == organisation) {
            self.granted = false;
        }
        self.accounts.remove(organisation);
        self.turns.retain(|name| name != organisation);
    }
}

impl Account {
    fn best(&self, now: Instant, blocked: &[Model]) -> Option<usize> {
        self.items
            .iter()
            .enumerate()
            .filter(|(_, item)| !blocked.contains(&item.request.model))
            .map(|(at, item)| (at, item.rank(now)))
            .min_by(|left, right| left.1.total_cmp(&right.1))
            .map(|(at, _)| at)
    }
}

/// Progress of one search over all lanes.
pub(super) struct Search {
    /// Items that may still be offered to the targets.
    pub(super) attempts: usize,
    /// Models for which an overdue item waits.
    pub(super) blocked: Vec<Model>,
}
