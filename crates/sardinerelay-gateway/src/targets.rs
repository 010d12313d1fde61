//! Targets as one host sees them: the merged observations of several hosts, and its own requests.
//!
//! A target that is about to stop never gets new work again in that incarnation, even if an older
//! list still shows it as staying.

mod evacuation;
mod index;
mod pacing;
mod silence;
mod speed;
mod state;
mod statements;

pub(crate) use self::silence::ReportAges;
pub use self::{
    index::MAX_CANDIDATES,
    pacing::{Misdirected, Pacing},
    speed::{Balance, slowdown},
    state::{MemoryClaim, State},
};

use {
    crate::{
        allocator::Scope,
        backlog::Backlog,
        builds,
        group::LocalAllocation,
        health::Health,
        homes::{Homes, Regions},
        limit::Limit,
        observations::{Instance, Observations},
    },
    sardinerelay::{
        estimate::{Speed, Typical},
        id::{Incarnation, Service, Target},
        pacing::Window,
    },
    std::{
        collections::{BTreeMap, HashMap, HashSet, VecDeque},
        time::{Duration, Instant},
    },
};

/// Number of a running request, unique among all hosts.
pub type RunId = u64;

/// Time for which an engine counts as full after it refused a request for lack of memory.
const FULL_DURATION: Duration = Duration::from_millis(250);
/// Time for which it is remembered that an incarnation is leaving or has left.
const LEFT_RETENTION: Duration = Duration::from_secs(120);
/// Age of a load report from which the target's load counts as unknown.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// Time for which an end without notice is taken as a sign that others may follow.
const UNANNOUNCED_END_RETENTION: Duration = Duration::from_secs(120);
/// Longest time between two lists for the second one to show an end without notice. In a longer time
/// a target may have announced its end too.
const MAX_LIST_GAP: Duration = Duration::from_secs(3);

/// Number of hosts among which rate limits, retry budgets and bounds are divided until an observation states
/// the number of entry hosts.
const DEFAULT_SHARING_HOSTS: u32 = 100;

/// All targets that this host knows.
#[derive(Debug, Default)]
pub struct Targets {
    states: BTreeMap<Target, State>,
    /// When the newest list that was merged was read by its observer.
    list_read: Option<Instant>,
    /// Incarnations that were leaving or are no longer listed, and since when.
    left_incarnations: HashMap<(Target, Incarnation), Instant>,
    /// When a target of each service last ended without notice.
    unannounced_ends: HashMap<Service, Instant>,
    /// Largest number of entry hosts in any observations.
    entry_hosts: u32,
    /// Number of engines whose reports one host reads. The ages from which an engine counts as silent grow with
    /// it, as the intervals between reads do.
    engines_per_reader: usize,
    /// The builds that were listed lately.
    pub builds: builds::History,
    /// Which zones are evacuated.
    orders: evacuation::Orders,
    /// How fast the targets of each service are.
    typical_rates: HashMap<Service, Typical>,
    /// What bounds the requests to cold targets.
    pub pacing: Pacing,
    /// The region of each availability zone.
    pub regions: Regions,
    index: index::Index,
}

/// A change found by [`Targets::merge`], for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A target or a new incarnation of it is listed.
    Listed(Target),
    /// A target closes its connections, so it is probably about to stop.
    Closing(Target),
    /// A target is about to stop.
    Leaving(Target),
    /// A target is no longer listed.
    Gone(Target),
    /// A target has ended without notice.
    Ended(Target),
}

impl Targets {
    /// Merges a host's observations and returns what changed. Anything older than what is known is
    /// ignored.
    pub fn merge(&mut self, observations: &Observations, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        if observations.entry_hosts > self.entry_hosts {
            self.entry_hosts = observations.entry_hosts;
            self.divide_bounds();
        }
        let read = instant_before(now, observations.list_age_ms);
        if self.list_read.is_none_or(|known| read > known) && !observations.instances.is_empty() {
            let last_read = self.list_read.replace(read);
            let is_seamless =
                last_read.is_some_and(|last| read.saturating_duration_since(last) < MAX_LIST_GAP);
            let confirmed = observations.asked.unwrap_or(now);
            let confirmed = instant_before(confirmed, observations.list_age_ms);
            self.builds.record(&observations.instances, read, confirmed);
            if is_seamless {
                self.record_unannounced_ends(&observations.instances, now, &mut changes);
            }
            self.orders.record_list(confirmed);
            self.merge_list(observations, now, &mut changes);
            self.index.set_targets(&self.states);
        }
        for report in &observations.loads {
            let read = instant_before(now, report.age_ms);
            let Some(state) = self.states.get_mut(&report.target) else {
                continue;
            };
            let is_older = state.load.is_some_and(|(_, known)| known >= read);
            if state.instance.incarnation != report.incarnation || is_older {
                continue;
            }
            state.load = Some((report.load, read));
            let closing = report.closing_ms.map(|age| instant_before(now, age));
            if closing.is_some() && state.closing_since.is_none() {
                changes.push(Change::Closing(report.target.clone()));
            }
            state.closing_since = closing;
            if report.load.leaving && state.known_leaving_since.is_none() {
                state.known_leaving_since = Some(now);
                changes.push(Change::Leaving(report.target.clone()));
            }
        }
        self.count_engines(observations);
        if let Some(liveness) = &observations.liveness {
            self.merge_liveness(liveness, now, &mut changes);
        }
        self.index.set_loads(&self.states);
        changes
    }

    /// Adds targets that another host knows and this one doesn't.
    pub fn add_missing(&mut self, instances: &[Instance], now: Instant) {
        let known = self.states.len();
        for instance in instances {
            if !self.states.contains_key(&instance.target) {
                self.merge_instance(instance, now, &mut Vec::new());
            }
        }
        if self.states.len() != known {
            self.index.set_targets(&self.states);
        }
    }

    /// Returns the number of entry hosts, this one included: the largest that was ever observed, 0
    /// before the first observations.
    pub fn entry_hosts(&self) -> u32 {
        self.entry_hosts
    }

    /// Returns the number of hosts among which rate limits, retry budgets and bounds are divided.
    pub fn sharing_hosts(&self) -> u32 {
        match self.entry_hosts {
            0 => DEFAULT_SHARING_HOSTS,
            hosts => hosts,
        }
    }

    /// Age of the newest list, or `None` if none was merged yet.
    pub fn list_age(&self, now: Instant) -> Option<Duration> {
        self.list_read
            .map(|read| now.saturating_duration_since(read))
    }

    /// Returns what is known of a target.
    pub fn get(&self, target: &str) -> Option<&State> {
        self.states.get(target)
    }

    /// Returns what is known of a target, to change it.
    pub fn get_mut(&mut self, target: &str) -> Option<&mut State> {
        self.states.get_mut(target)
    }

    /// Iterates over all targets.
    pub fn all(&self) -> impl Iterator<Item = &State> {
        self.states.values()
    }

    /// Iterates over the targets of a service.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a State> + 'a {
        let targets = self.index.targets_of_service(service);
        targets.filter_map(|target| self.states.get(target))
    }

    /// Iterates over the targets of a service that may get work.
    pub fn usable<'a>(
        &'a self,
        service: &'a str,
        now: Instant,
    ) -> impl Iterator<Item = &'a State> + 'a {
        self.of_service(service)
            .filter(move |state| self.is_usable(state, now))
    }

    /// Whether a target may get work.
    fn is_usable(&self, state: &State, now: Instant) -> bool {
        self.is_staying(state, now)
            && !state.is_resting(now)
            && !state.health.is_down(now)
            && !self.is_state_silent(state, now)
    }

    /// Whether a request with these homes may reach the target.
    pub fn allow(&self, homes: &Homes, state: &State) -> bool {
        self.regions.allow(homes, &state.instance.zone)
    }

    /// Whether the service has targets, of which those that may get work are all outside the homes.
    pub fn lack_home(&self, service: &str, homes: &Homes, now: Instant) -> bool {
        let is_listed = || self.of_service(service).next().is_some();
        let mut usable = self.usable(service, now);
        !homes.is_anywhere() && is_listed() && !usable.any(|state| self.allow(homes, state))
    }

    /// Records that a request uses memory of a target.
    pub fn claim(&mut self, target: &str, run: RunId, claim: MemoryClaim) {
        if let Some(state) = self.states.get_mut(target) {
            state.claims.insert(run, claim);
            self.index.add(run, target, &self.states);
        }
    }

    /// Records that a request was sent to an engine, which has to read its prompt.
    pub fn record_sent(&mut self, target: &str, run: RunId, prompt: u64, now: Instant) {
        if let Some(state) = self.states.get_mut(target) {
            state.backlog.record_sent(run, prompt, now);
            self.index.add(run, target, &self.states);
        }
    }

    /// Records that an engine refused a request for lack of memory.
    pub fn record_no_room(&mut self, target: &str, now: Instant) {
        if let Some(state) = self.states.get_mut(target) {
            state.full_until = Some(now + FULL_DURATION);
        }
    }

    /// Records that a request's engine has read its prompt.
    pub fn record_prompt_read(&mut self, run: RunId, now: Instant) {
        for target in self.index.targets_of(run) {
            if let Some(state) = self.states.get_mut(target) {
                state.backlog.record_prompt_read(run, now);
            }
        }
    }

    /// Records what another host sent to an engine.
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
        let is_old = |(at, _): &(Instant, u64)| now.saturating_duration_since(*at) > MAX_REPORT_AGE;
        while state.remote_sends.front().is_some_and(is_old) {
            state.remote_sends.pop_front();
        }
        self.charge_limit(&sent.target, Scope::Group, now);
    }

    /// Records how many tokens of memory a request uses now.
    pub fn record_progress(&mut self, target: &str, run: RunId, tokens: u64, now: Instant) {
        let state = self.states.get_mut(target);
        if let Some(claim) = state.and_then(|state| state.claims.get_mut(&run)) {
            claim.tokens = tokens;
            claim.updated = now;
            claim.expected = claim.expected.max(tokens);
        }
    }

    /// Drops a request's claim on a target.
    pub fn release(&mut self, target: &str, run: RunId) {
        if let Some(state) = self.states.get_mut(target) {
            state.claims.remove(&run);
        }
    }

    /// Records that a request now runs on the target that its memory was moved to. Its claims on
    /// other targets are dropped.
    pub fn complete_move(&mut self, to: &str, run: RunId) {
        for target in self.index.targets_of(run) {
            let Some(state) = self.states.get_mut(target) else {
                continue;
            };
            if target != to {
                state.claims.remove(&run);
            } else if let Some(claim) = state.claims.get_mut(&run) {
                claim.is_running = true;
            }
        }
    }

    /// Drops all claims of a request and its prompt from the backlogs. Returns whether there were
    /// any claims.
    pub fn release_everywhere(&mut self, run: RunId) -> bool {
        let mut is_released = false;
        for target in self.index.remove(run) {
            if let Some(state) = self.states.get_mut(&target) {
                state.backlog.remove(run);
                is_released |= state.claims.remove(&run).is_some();
            }
        }
        is_released
    }

    /// Drops claims that were made longer than `max_age` ago. Returns their requests.
    pub fn expire(&mut self, max_age: Duration, now: Instant) -> Vec<RunId> {
        let mut expired = Vec::new();
        for state in self.states.values_mut() {
            state.claims.retain(|run, claim| {
                let is_old = now.saturating_duration_since(claim.since) > max_age;
                if is_old {
                    expired.push(*run);
                }
                !is_old
            });
        }
        expired
    }

    /// Whether a target of the service has recently ended without notice, so that others may.
    pub fn ends_unannounced(&self, service: &str, now: Instant) -> bool {
        let last = self.unannounced_ends.get(service);
        last.is_some_and(|last| is_recent_end(*last, now))
    }

    /// Records which known targets have ended without notice, by a list that was read soon after the
    /// one before.
    fn record_unannounced_ends(
        &mut self,
        listed: &[Instance],
        now: Instant,
        changes: &mut Vec<Change>,
    ) {
        self.unannounced_ends
            .retain(|_, last| is_recent_end(*last, now));
        let listed: HashSet<(&Target, Incarnation)> = listed
            .iter()
            .map(|instance| (&instance.target, instance.incarnation))
            .collect();
        let unannounced = self.states.values().filter(|state| {
            let instance = &state.instance;
            !listed.contains(&(&instance.target, instance.incarnation))
                && state.known_leaving_since.is_none()
                && state.closing_since.is_none()
        });
        for state in unannounced {
            let service = state.instance.service.clone();
            self.unannounced_ends.insert(service, now);
            changes.push(Change::Ended(state.instance.target.clone()));
        }
    }

    fn merge_list(&mut self, observations: &Observations, now: Instant, changes: &mut Vec<Change>) {
        self.left_incarnations
            .retain(|_, since| now.saturating_duration_since(*since) < LEFT_RETENTION);
        for instance in &observations.instances {
            self.merge_instance(instance, now, changes);
        }
        let listed = observations.instances.iter();
        let listed: HashSet<&Target> = listed.map(|instance| &instance.target).collect();
        let gone: Vec<Target> = self
            .states
            .keys()
            .filter(|target| !listed.contains(target))
            .cloned()
            .collect();
        for target in gone {
            if let Some(state) = self.states.remove(&target) {
                let incarnation = state.instance.incarnation;
                self.left_incarnations
                    .insert((target.clone(), incarnation), now);
            }
            changes.push(Change::Gone(target));
        }
    }

    fn merge_instance(&mut self, instance: &Instance, now: Instant, changes: &mut Vec<Change>) {
        let target = &instance.target;
        let key = (target.clone(), instance.incarnation);
        let known = self.states.get(target);
        let is_same = known.is_some_and(|state| state.instance.incarnation == instance.incarnation);
        if !is_same {
            let left_since = self.left_incarnations.get(&key).copied();
            let state = State {
                instance: instance.clone(),
                known_leaving_since: left_since,
                has_said_to_leave: false,
                rests_until: None,
                closing_since: None,
                load: None,
                reported_silent: None,
                claims: HashMap::new(),
                remote_sends: VecDeque::new(),
                backlog: Backlog::default(),
                health: Health::default(),
                cold_until: now,
                is_presumed_cold: false,
                stated_cold_until: None,
                recent_requests: Window::default(),
                full_until: None,
                limit: Limit::default(),
                speed: Speed::default(),
            };
            self.states.insert(target.clone(), state);
            changes.push(Change::Listed(target.clone()));
        }
        let Some(state) = self.states.get_mut(target) else {
            return;
        };
        state.instance = instance.clone();
        state.cold_until = now + Duration::from_millis(instance.cold_ms);
        state.is_presumed_cold = self.orders.is_presumed_cold(&instance.zone);
        if instance.leaving && state.known_leaving_since.is_none() {
            state.known_leaving_since = Some(now);
            self.left_incarnations.insert(key, now);
            changes.push(Change::Leaving(target.clone()));
        }
    }
}

fn is_recent_end(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < UNANNOUNCED_END_RETENTION
}

/// Returns the time `age_ms` milliseconds before `now`, or `now` if the clock doesn't reach so far
/// back.
pub(crate) fn instant_before(now: Instant, age_ms: u64) -> Instant {
    now.checked_sub(Duration::from_millis(age_ms))
        .unwrap_or(now)
}
