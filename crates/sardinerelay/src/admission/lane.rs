//! The waiting requests of one priority: deficit round robin among organisations.

use {
    super::Request,
    crate::id::{Generation, Model, Organisation},
    std::{
        collections::{BTreeMap, VecDeque},
        time::{Duration, Instant},
    },
};

/// Share of the longest wait after which a request goes before all others of its organisation.
const OVERDUE: f64 = 0.75;
/// Tokens that an organisation's turn adds to its deficit.
const QUANTUM: f64 = 2_000.0;

#[derive(Debug)]
pub(super) struct Item {
    pub(super) request: Request,
    pub(super) since: Instant,
}

impl Item {
    /// Rank within the organisation's turn; the lowest goes first. The expected cost loses its
    /// weight with age, and an overdue request goes first whatever its cost.
    fn rank(&self, now: Instant) -> f64 {
        let late = self.request.max_wait.as_secs_f64() * OVERDUE;
        let age = now.saturating_duration_since(self.since).as_secs_f64();
        if age >= late {
            return late - age;
        }
        self.request.cost * (1.0 - (age / late).powi(2))
    }

    fn overdue(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.since) >= self.request.max_wait.mul_f64(OVERDUE)
    }
}

#[derive(Debug, Default)]
struct Account {
    deficit: f64,
    tokens: f64,
    items: Vec<Item>,
}

/// Share of the longest wait that a request of average cost may be predicted to wait.
const AVERAGE_PATIENCE: f64 = 0.5;
/// Least share of the longest wait that a costly request may be predicted to wait.
const LEAST_PATIENCE: f64 = 0.05;
/// Weight of one request in the average cost.
const COST_WEIGHT: f64 = 0.02;
/// Seconds over which the rate is averaged.
const RATE_WINDOW: f64 = 10.0;
/// Seconds that make one sample of the rate.
const RATE_SAMPLE: f64 = 0.5;

/// Reserved tokens served per second. While requests wait, this shows what the targets can take;
/// otherwise what callers ask for, which is a lower bound. The larger of the two counts, because
/// a single request that waits for room says little about the others.
#[derive(Debug, Default)]
struct Rate {
    waiting: Average,
    overall: Average,
}

#[derive(Debug, Default)]
struct Average {
    value: Option<f64>,
    tokens: f64,
    seconds: f64,
}

impl Average {
    fn pass(&mut self, seconds: f64) {
        self.seconds += seconds;
        if self.seconds < RATE_SAMPLE {
            return;
        }
        let sample = self.tokens / self.seconds;
        let weight = (self.seconds / RATE_WINDOW).min(1.0);
        let old = self.value.unwrap_or(sample);
        self.value = Some(old + weight * (sample - old));
        self.tokens = 0.0;
        self.seconds = 0.0;
    }
}

/// One priority's queue.
#[derive(Debug, Default)]
pub(super) struct Lane {
    turns: VecDeque<Organisation>,
    accounts: BTreeMap<Organisation, Account>,
    /// Whether the organisation in front has had its quantum in this turn.
    granted: bool,
    rate: Rate,
    average_cost: f64,
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
        account.tokens += item.request.reserved_tokens as f64;
        account.items.push(item);
    }

    /// Reserved tokens that the lane can expect to be served per second.
    pub(super) fn rate(&self) -> Option<f64> {
        let overall = self.rate.overall.value.unwrap_or(0.0);
        self.rate.waiting.value.map(|rate| rate.max(overall))
    }

    /// Records that time has passed since the last call.
    pub(super) fn measure(&mut self, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        self.rate.overall.pass(seconds);
        if !self.turns.is_empty() {
            self.rate.waiting.pass(seconds);
        }
    }

    /// The share of its longest wait that a request may be predicted to wait. When not everything
    /// can be served, requests that hold more memory than the average are refused first, which
    /// leaves more room for the others.
    pub(super) fn patience(&mut self, request: &Request) -> f64 {
        if self.average_cost == 0.0 {
            self.average_cost = request.cost;
        }
        self.average_cost += COST_WEIGHT * (request.cost - self.average_cost);
        let relative = self.average_cost / request.cost.max(1.0);
        (AVERAGE_PATIENCE * relative.powi(5)).clamp(LEAST_PATIENCE, 1.0)
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
                    .filter(|item| item.request.cost <= request.cost)
                    .map(|item| item.request.reserved_tokens as f64)
                    .sum()
            });
        let turn = shorter + request.reserved_tokens as f64;
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
            let cost = account.items[best].request.reserved_tokens as f64;
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
                if item.since < now || self.turns.len() > 1 || !account.items.is_empty() {
                    self.rate.waiting.tokens += cost;
                }
                self.rate.overall.tokens += cost;
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
        account.tokens -= item.request.reserved_tokens as f64;
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
                account.tokens -= item.request.reserved_tokens as f64;
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
