//! Targets as one entry host sees them: boards of several hosts merged, and its own requests.
//!
//! A target that is about to stop never gets new work again in that incarnation, whatever an
//! older list says.

use {
    crate::{
        backlog::Backlog,
        group::LocalAllocation,
        health::Health,
        observations::{Instance, Load, Observations},
    },
    sardinerelay::id::{Incarnation, Target},
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        time::{Duration, Instant},
    },
};

/// Number of a request of this host while it runs.
pub type RunId = u64;

/// Time by which a target's report of itself lags when it is read.
const REPORT_LAG: Duration = Duration::from_millis(500);
/// Time for which an engine that said so counts as full.
const FULL: Duration = Duration::from_millis(250);
/// Time for which it is remembered that an incarnation is leaving.
const LEAVE_MEMORY: Duration = Duration::from_secs(120);
/// Time for which a target that closes its connections counts as leaving although neither the list
/// nor its report says so. Both lag behind by less than that.
const BELIEVED: Duration = Duration::from_millis(1500);
/// Age of a target's load report from which on it counts as silent, if others' are younger.
const SILENT_REPORT: Duration = Duration::from_millis(1300);
/// Age below which another target's report shows that reports arrive at all.
const LIVE_REPORT: Duration = Duration::from_millis(800);
/// Age of a load report above which the target's load counts as unknown.
const STALE: Duration = Duration::from_secs(3);

/// Memory of a target that one of this host's requests takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryClaim {
    /// Tokens that it held when that was recorded last.
    pub tokens: u64,
    /// When it was recorded.
    pub updated: Instant,
    /// Tokens that it is expected to hold at its end.
    pub expected: u64,
    /// Since when.
    pub since: Instant,
    /// Whether it runs there; else a copy of its memory is kept.
    pub is_running: bool,
}

/// One target.
#[derive(Debug, Clone)]
pub struct State {
    /// What the platform says of it.
    pub instance: Instance,
    /// Since when it is known to be leaving.
    pub known_leaving_since: Option<Instant>,
    /// Since when it closes the connections of its answers, as one does that is about to stop.
    pub closing_since: Option<Instant>,
    /// Its last load report, and when that was read.
    pub load: Option<(Load, Instant)>,
    /// This host's requests on it, and copies kept there.
    pub claims: HashMap<RunId, MemoryClaim>,
    /// What other hosts sent there lately: when, and the memory that it will take.
    pub remote_sends: VecDeque<(Instant, u64)>,
    /// Prompts that it has to read.
    pub backlog: Backlog,
    /// Its failures.
    pub health: Health,
    /// Until when it is slow after its start.
    pub cold_until: Instant,
    /// Until when it gets no generations because it said that it has no room.
    pub full_until: Option<Instant>,
}

/// All targets.
#[derive(Debug, Default)]
pub struct Targets {
    states: BTreeMap<Target, State>,
    list_read: Option<Instant>,
    left: HashMap<(Target, Incarnation), Instant>,
    entries: u32,
}

/// Something that changed by a board, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A target appeared.
    Joined(Target),
    /// A target closes its connections, and is probably about to stop.
    Closing(Target),
    /// A target is about to stop.
    Leaving(Target),
    /// A target is no longer listed.
    Gone(Target),
}

impl Targets {
    /// Takes over a board. Anything in it that is older than what is known changes nothing.
    pub fn merge(&mut self, board: &Observations, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        self.entries = self.entries.max(board.entries);
        let read = past(now, board.list_age_ms);
        if self.list_read.is_none_or(|known| read > known) && !board.instances.is_empty() {
            self.list_read = Some(read);
            self.merge_list(board, now, &mut changes);
        }
        for observation in &board.loads {
            let read = past(now, observation.age_ms);
            let Some(state) = self.states.get_mut(&observation.target) else {
                continue;
            };
            let older = state.load.is_some_and(|(_, known)| known >= read);
            if state.instance.incarnation != observation.incarnation || older {
                continue;
            }
            state.load = Some((observation.load, read));
            let closing = observation.closing_ms.map(|age| past(now, age));
            if closing.is_some() && state.closing_since.is_none() {
                changes.push(Change::Closing(observation.target.clone()));
            }
            state.closing_since = closing;
            if observation.load.leaving && state.known_leaving_since.is_none() {
                state.known_leaving_since = Some(now);
                changes.push(Change::Leaving(observation.target.clone()));
            }
        }
        changes
    }

    /// Takes over targets that another host knows already.
    pub fn add_missing(&mut self, instances: Vec<Instance>, now: Instant) {
        for instance in instances {
            if !self.states.contains_key(&instance.target) {
                self.merge_instance(&instance, now, &mut Vec::new());
            }
        }
    }

    /// Number of entry hosts, this one included; 0 if none was told yet.
    pub fn entry_hosts(&self) -> u32 {
        self.entries
    }

    /// Age of the list, if one was read.
    pub fn list_age(&self, now: Instant) -> Option<Duration> {
        self.list_read
            .map(|read| now.saturating_duration_since(read))
    }

    /// A target.
    pub fn get(&self, target: &str) -> Option<&State> {
        self.states.get(target)
    }

    /// A target, to record something.
    pub fn get_mut(&mut self, target: &str) -> Option<&mut State> {
        self.states.get_mut(target)
    }

    /// All targets.
    pub fn all(&self) -> impl Iterator<Item = &State> {
        self.states.values()
    }

    /// Whether a target shows no sign of life: it does not report, while others do. Without any
    /// fresh report, the reports themselves are what is lost.
    pub fn is_silent(&self, target: &str, now: Instant) -> bool {
        let Some(state) = self.states.get(target) else {
            return true;
        };
        self.is_state_silent(state, now)
    }

    fn is_state_silent(&self, state: &State, now: Instant) -> bool {
        let age = |read: Instant| now.saturating_duration_since(read);
        let silent = state
            .load
            .is_some_and(|(_, read)| age(read) > SILENT_REPORT);
        silent && {
            let mut loads = self.states.values().filter_map(|other| other.load);
            loads.any(|(_, read)| age(read) < LIVE_REPORT)
        }
    }

    /// Targets of a service that may get work.
    pub fn usable<'a>(
        &'a self,
        service: &'a str,
        now: Instant,
    ) -> impl Iterator<Item = &'a State> + 'a {
        self.states.values().filter(move |state| {
            state.instance.service == service
                && state.leaving_since(now).is_none()
                && !state.health.is_down(now)
                && !self.is_state_silent(state, now)
        })
    }

    /// Records that a target says or shows that it is about to stop.
    pub fn mark_leaving(&mut self, target: &str, now: Instant) {
        if let Some(state) = self.states.get_mut(target) {
            state.known_leaving_since.get_or_insert(now);
            let incarnation = state.instance.incarnation;
            self.left.insert((target.into(), incarnation), now);
        }
    }

    /// Records that a request takes memory of a target.
    pub fn claim(&mut self, target: &str, run: RunId, held: MemoryClaim) {
        if let Some(state) = self.states.get_mut(target) {
            state.claims.insert(run, held);
        }
    }

    /// Records that a request of this host was sent to an engine, which has to read its prompt.
    pub fn record_sent(&mut self, target: &str, run: RunId, prompt: u64, now: Instant) {
        if let Some(state) = self.states.get_mut(target) {
            state.backlog.record_sent(run, prompt, now);
        }
    }

    /// Records that an engine said that it has no room.
    pub fn record_no_room(&mut self, target: &str, now: Instant) {
        if let Some(state) = self.states.get_mut(target) {
            state.full_until = Some(now + FULL);
        }
    }

    /// Records that a request's prompt was read.
    pub fn record_prompt_read(&mut self, run: RunId, now: Instant) {
        for state in self.states.values_mut() {
            state.backlog.record_prompt_read(run, now);
        }
    }

    /// Takes over what another host sent to an engine.
    pub fn record_remote_send(&mut self, sent: &LocalAllocation, now: Instant) {
        let Some(state) = self.states.get_mut(&sent.target) else {
            return;
        };
        state
            .backlog
            .record_remote_send(u64::from(sent.prompt_tokens), now);
        state
            .remote_sends
            .push_back((now, u64::from(sent.memory_tokens)));
        let old = |(at, _): &(Instant, u64)| now.saturating_duration_since(*at) > STALE;
        while state.remote_sends.front().is_some_and(old) {
            state.remote_sends.pop_front();
        }
    }

    /// Records how much memory a request holds by now.
    pub fn record_progress(&mut self, target: &str, run: RunId, tokens: u64, now: Instant) {
        let state = self.states.get_mut(target);
        if let Some(held) = state.and_then(|state| state.claims.get_mut(&run)) {
            held.tokens = tokens;
            held.updated = now;
            held.expected = held.expected.max(tokens);
        }
    }

    /// Records that a request no longer takes memory of a target.
    pub fn release(&mut self, target: &str, run: RunId) {
        if let Some(state) = self.states.get_mut(target) {
            state.claims.remove(&run);
        }
    }

    /// Records that a request runs on a target now, to which its memory was moved.
    pub fn complete_move(&mut self, to: &str, run: RunId) {
        for (target, state) in &mut self.states {
            if target != to {
                state.claims.remove(&run);
            } else if let Some(held) = state.claims.get_mut(&run) {
                held.is_running = true;
            }
        }
    }

    /// Records that a request takes no memory anywhere, and returns whether it did.
    pub fn release_everywhere(&mut self, run: RunId) -> bool {
        let states = self.states.values_mut();
        let released = states.filter_map(|state| {
            state.backlog.remove(run);
            state.claims.remove(&run)
        });
        released.count() > 0
    }

    /// Gives up memory that was taken long ago, and returns the requests that took it.
    pub fn expire(&mut self, most: Duration, now: Instant) -> Vec<RunId> {
        let mut expired = Vec::new();
        for state in self.states.values_mut() {
            state.claims.retain(|run, held| {
                let old = now.saturating_duration_since(held.since) > most;
                if old {
                    expired.push(*run);
                }
                !old
            });
        }
        expired
    }

    fn merge_list(&mut self, board: &Observations, now: Instant, changes: &mut Vec<Change>) {
        self.left
            .retain(|_, since| now.saturating_duration_since(*since) < LEAVE_MEMORY);
        for instance in &board.instances {
            self.merge_instance(instance, now, changes);
        }
        let listed = |target: &Target| {
            let mut listed = board.instances.iter();
            listed.any(|instance| instance.target == *target)
        };
        let gone: Vec<Target> = self
            .states
            .keys()
            .filter(|target| !listed(target))
            .cloned()
            .collect();
        for target in gone {
            if let Some(state) = self.states.remove(&target) {
                let incarnation = state.instance.incarnation;
                self.left.insert((target.clone(), incarnation), now);
            }
            changes.push(Change::Gone(target));
        }
    }

    fn merge_instance(&mut self, instance: &Instance, now: Instant, changes: &mut Vec<Change>) {
        let target = &instance.target;
        let key = (target.clone(), instance.incarnation);
        let known = self.states.get(target);
        let same = known.is_some_and(|state| state.instance.incarnation == instance.incarnation);
        if !same {
            let left = self.left.get(&key).copied();
            let state = State {
                instance: instance.clone(),
                known_leaving_since: left,
                closing_since: None,
                load: None,
                claims: HashMap::new(),
                remote_sends: VecDeque::new(),
                backlog: Backlog::default(),
                health: Health::default(),
                cold_until: now,
                full_until: None,
            };
            self.states.insert(target.clone(), state);
            changes.push(Change::Joined(target.clone()));
        }
        let Some(state) = self.states.get_mut(target) else {
            return;
        };
        state.instance = instance.clone();
        state.cold_until = now + Duration::from_millis(instance.cold_ms);
        if instance.leaving && state.known_leaving_since.is_none() {
            state.known_leaving_since = Some(now);
            self.left.insert(key, now);
            changes.push(Change::Leaving(target.clone()));
        }
    }
}

impl State {
    /// Tokens that the target is expected to need for what it has: its report, corrected by what
    /// this host knows to be newer, and the growth of what runs.
    pub fn committed_tokens(&self, growth: u64, now: Instant) -> u64 {
        let own: u64 = self.claims.values().map(|held| held.expected).sum();
        let Some((load, read)) = self.fresh_load(now) else {
            return own;
        };
        let taken = read.checked_sub(REPORT_LAG).unwrap_or(read);
        let mut tokens = load.used;
        let unreported = self.remote_sends.iter().filter(|(at, _)| *at > taken);
        tokens += unreported.map(|(_, memory)| memory).sum::<u64>();
        let mut running = 0;
        for held in self.claims.values() {
            if held.since > taken {
                tokens += held.expected;
            } else {
                tokens += held.left(taken);
                running += u64::from(held.is_running);
            }
        }
        let others = u64::from(load.running).saturating_sub(running);
        tokens + others * growth + u64::from(load.waiting) * growth * WAITING_GROWTHS
    }

    /// Since when it is leaving, as far as can be told: the list and its report lag behind the
    /// connections that it closes.
    pub fn leaving_since(&self, now: Instant) -> Option<Instant> {
        let believed = |since: &Instant| now.saturating_duration_since(*since) < BELIEVED;
        self.known_leaving_since
            .or(self.closing_since.filter(believed))
    }

    /// Tokens of memory that are probably taken at this moment: its report, and what this host gave it
    /// since.
    pub fn used_tokens(&self, now: Instant) -> u64 {
        let reported = self.fresh_load(now);
        let since = reported.and_then(|(_, read)| read.checked_sub(REPORT_LAG));
        let newer = self.claims.values().filter(|held| {
            let known = since.is_some_and(|since| held.since <= since);
            !known
        });
        reported.map_or(0, |(load, _)| load.used) + newer.map(|held| held.tokens).sum::<u64>()
    }

    /// The load report, unless it is too old.
    pub fn fresh_load(&self, now: Instant) -> Option<(Load, Instant)> {
        self.load
            .filter(|(_, read)| now.saturating_duration_since(*read) < STALE)
    }

    /// Requests that run or wait on it, as far as this host knows.
    pub fn active_requests(&self, now: Instant) -> usize {
        let reported = self
            .fresh_load(now)
            .map_or(0, |(load, _)| load.running + load.waiting);
        self.claims.len().max(reported as usize)
    }

    /// Whether it said lately that it has no room.
    pub fn is_full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    /// Whether it is still slow after its start.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }
}

impl MemoryClaim {
    /// Tokens by which it will still grow, as of `at`. A generation that is longer than expected
    /// goes on for a while.
    fn left(&self, at: Instant) -> u64 {
        let since = at.saturating_duration_since(self.updated).as_secs_f64();
        let grown = (since * PACE) as u64;
        let expected = self.expected.saturating_sub(self.tokens + grown);
        expected.max(LEAST_LEFT)
    }
}

/// Tokens of output that a generation makes in a second.
const PACE: f64 = 80.0;
/// Tokens by which a generation grows at least that is longer than expected.
const LEAST_LEFT: u64 = 150;
/// A waiting request needs its prompt too, which is several times the growth of a running one.
const WAITING_GROWTHS: u64 = 6;

fn past(now: Instant, age_ms: u64) -> Instant {
    now.checked_sub(Duration::from_millis(age_ms))
        .unwrap_or(now)
}
