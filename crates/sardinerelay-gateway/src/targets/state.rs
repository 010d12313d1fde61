//! What is known of one target.

use {
    super::{MAX_REPORT_AGE, RunId},
    crate::{
        backlog::Backlog,
        health::Health,
        limit::Limit,
        observations::{Instance, Load},
    },
    sardinerelay::{estimate::Speed, fairness::OUTPUT_TOKENS_PER_SECOND, pacing::Window},
    std::{
        collections::{HashMap, VecDeque},
        time::{Duration, Instant},
    },
};

/// Lag of load reports: one that is read now shows the target as it was this long ago.
const REPORT_LAG: Duration = Duration::from_millis(500);
/// Time for which a target that closes its connections counts as leaving although neither the list
/// nor its load report confirms it. Both lag behind by less than this.
const CLOSING_TIMEOUT: Duration = Duration::from_millis(1500);
/// Smallest number of tokens by which a running generation is assumed to grow.
const MIN_REMAINING_TOKENS: u64 = 150;
/// Memory that a waiting request will need, as a multiple of the growth of a running one: it needs
/// its prompt too.
const WAITING_GROWTH_FACTOR: u64 = 6;

/// Memory of a target that one of this host's requests uses. A request of a plain service uses none
/// and is only counted. For the group's allocator, the requests of all entry hosts are its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryClaim {
    /// Tokens in use when the claim was last updated.
    pub tokens: u64,
    /// When `tokens` was last updated.
    pub updated: Instant,
    /// Tokens that the request is expected to use at its end.
    pub expected: u64,
    /// When the claim was made.
    pub since: Instant,
    /// Whether the request runs on the target. Otherwise the target keeps a copy, or the request is
    /// about to move there.
    pub is_running: bool,
}

/// What is known of one target.
#[derive(Debug, Clone)]
pub struct State {
    /// The platform's entry for it.
    pub instance: Instance,
    /// Since when the list or the target itself has shown that it is leaving.
    pub known_leaving_since: Option<Instant>,
    /// Whether it has said so in an answer to this host.
    pub has_said_to_leave: bool,
    /// Until when it wants no requests from this host.
    pub rests_until: Option<Instant>,
    /// Since when it has closed the connection after each response, which suggests that it is about
    /// to stop.
    pub closing_since: Option<Instant>,
    /// Its last load report, and when that was read.
    pub load: Option<(Load, Instant)>,
    /// When another host last told that its load reports have stopped, if it did in its newest
    /// observations.
    pub reported_silent: Option<Instant>,
    /// This host's requests on it and the copies that it keeps for them.
    pub claims: HashMap<RunId, MemoryClaim>,
    /// Generations that other hosts sent there recently: when, and the tokens of memory that each
    /// is expected to use.
    pub remote_sends: VecDeque<(Instant, u64)>,
    /// Prompts that it still has to read.
    pub backlog: Backlog,
    /// Recent outcomes of this host's requests to it.
    pub health: Health,
    /// Until when it counts as slow after its start.
    pub cold_until: Instant,
    /// Whether it counts as cold because the evacuation of its zone has ended and no list that was read later
    /// is known yet.
    pub is_presumed_cold: bool,
    /// Until when it counts as cold because it has said so itself.
    pub stated_cold_until: Option<Instant>,
    /// The requests of the last second, if its service states how many it can handle while cold.
    pub recent_requests: Window,
    /// Until when it gets no generations because it refused one for lack of memory.
    pub full_until: Option<Instant>,
    /// The rate of requests that it takes from all hosts together.
    pub limit: Limit,
    /// How fast it is, as far as this host knows.
    pub speed: Speed,
}

impl State {
    /// Tokens of memory that the target is expected to need for its present requests: its load
    /// report, plus what was sent there since, plus the growth of running requests. A request of
    /// another host is assumed to grow by `growth_tokens`.
    pub fn committed_tokens(&self, growth_tokens: u64, now: Instant) -> u64 {
        let own: u64 = self.claims.values().map(|claim| claim.expected).sum();
        let Some((load, read)) = self.fresh_load(now) else {
            return own;
        };
        let reported_at = read.checked_sub(REPORT_LAG).unwrap_or(read);
        let mut tokens = load.used;
        let unreported = self.remote_sends.iter().filter(|(at, _)| *at > reported_at);
        tokens += unreported.map(|(_, memory)| memory).sum::<u64>();
        let mut running = 0;
        for claim in self.claims.values() {
            if claim.since > reported_at {
                tokens += claim.expected;
            } else {
                tokens += claim.remaining_growth(reported_at);
                running += u64::from(claim.is_running);
            }
        }
        let others = u64::from(load.running).saturating_sub(running);
        tokens
            + others * growth_tokens
            + u64::from(load.waiting) * growth_tokens * WAITING_GROWTH_FACTOR
    }

    /// Returns since when it has been leaving, as far as this host can tell. Closed connections
    /// count only for `CLOSING_TIMEOUT`; by then the list or a load report would have confirmed a
    /// leave.
    pub fn leaving_since(&self, now: Instant) -> Option<Instant> {
        let is_recent = |since: &Instant| now.saturating_duration_since(*since) < CLOSING_TIMEOUT;
        self.known_leaving_since
            .or(self.closing_since.filter(is_recent))
    }

    /// Tokens of memory that are probably in use now: the load report, plus what this host sent
    /// there since.
    pub fn used_tokens(&self, now: Instant) -> u64 {
        let reported = self.fresh_load(now);
        let reported_at = reported.and_then(|(_, read)| read.checked_sub(REPORT_LAG));
        let unreported = self.claims.values().filter(|claim| {
            let is_reported = reported_at.is_some_and(|reported_at| claim.since <= reported_at);
            !is_reported
        });
        reported.map_or(0, |(load, _)| load.used)
            + unreported.map(|claim| claim.tokens).sum::<u64>()
    }

    /// The last load report and when it was read, unless it is older than `MAX_REPORT_AGE`.
    pub fn fresh_load(&self, now: Instant) -> Option<(Load, Instant)> {
        self.load
            .filter(|(_, read)| now.saturating_duration_since(*read) < MAX_REPORT_AGE)
    }

    /// Number of requests that run or wait on it, as far as this host knows.
    pub fn active_requests(&self, now: Instant) -> usize {
        let reported = self
            .fresh_load(now)
            .map_or(0, |(load, _)| load.running + load.waiting);
        self.claims.len().max(reported as usize)
    }

    /// Whether a run has a claim or an unread prompt there.
    pub fn has_run(&self, run: RunId) -> bool {
        self.claims.contains_key(&run) || self.backlog.contains(run)
    }

    /// Share of its slots that are in use with this many further requests, from 0 to 1.
    pub fn occupancy(&self, further: usize, now: Instant) -> f64 {
        let requests = self.active_requests(now) + further;
        (requests as f64 / f64::from(self.instance.slots.max(1))).min(1.0)
    }

    /// Whether it refused a request for lack of memory within the last `FULL_DURATION`.
    pub fn is_full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    /// Whether it has said that it wants no requests from this host now.
    pub fn is_resting(&self, now: Instant) -> bool {
        self.rests_until.is_some_and(|until| now < until)
    }

    /// Whether it has said to this host that it is about to stop or wants no requests.
    pub fn wants_none(&self, now: Instant) -> bool {
        self.has_said_to_leave || self.is_resting(now)
    }

    /// Whether it is still slow after its start.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.is_presumed_cold
            || now < self.cold_until
            || self.stated_cold_until.is_some_and(|until| now < until)
    }
}

impl MemoryClaim {
    /// Tokens by which the request will probably still grow after `at`. They are never 0, because a
    /// generation that is longer than expected usually goes on for a while.
    fn remaining_growth(&self, at: Instant) -> u64 {
        let elapsed = at.saturating_duration_since(self.updated).as_secs_f64();
        let grown = (elapsed * OUTPUT_TOKENS_PER_SECOND) as u64;
        let remaining = self.expected.saturating_sub(self.tokens + grown);
        remaining.max(MIN_REMAINING_TOKENS)
    }
}
