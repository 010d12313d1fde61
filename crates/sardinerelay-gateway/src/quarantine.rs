//! Refuses what makes targets crash: parts of prompts, and requests that come again.
//!
//! A subject is blamed for a crash if a request with it was at the target and its answer was not complete. A first
//! event shows that the target has begun, not that it will live, so only a complete answer clears a subject, and a
//! request that goes on for longer than the crashed ones takes their crashes back. A subject is refused after
//! several crashes. Of several parts that could be the cause, those that were answered before are blamed later, and
//! of those that are left only the last one in the prompt: requests share the first parts of their prompts most.
//! See `docs/design/admission.md`.

mod suspect;

use {
    self::suspect::Suspect,
    crate::targets::RunId,
    sardinerelay::id::{Incarnation, Target},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
        time::{Duration, Instant},
    },
};

/// When a subject is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rules {
    /// Number of crashes after which a subject is refused.
    pub min_crashes: usize,
    /// Number of crashes after which a subject is refused that was answered before.
    pub min_crashes_of_answered: usize,
    /// Number of different requests that must have been at these targets.
    pub min_requests: usize,
    /// Time between the first and the last of these crashes, in which an answer clears the subject.
    /// Several targets may end at once for another reason.
    pub min_span: Duration,
}

impl Rules {
    /// For parts of prompts. A single request that comes again is refused by itself, and its parts are
    /// not to blame.
    pub const PARTS: Self = Self {
        min_crashes: 4,
        min_crashes_of_answered: 6,
        min_requests: 2,
        min_span: Duration::ZERO,
    };
    /// For requests that come again. Nothing else shares them, so fewer crashes are enough.
    pub const REQUESTS: Self = Self {
        min_crashes: 3,
        min_crashes_of_answered: 5,
        min_requests: 1,
        min_span: Duration::from_millis(700),
    };
}

impl Default for Rules {
    fn default() -> Self {
        Self::PARTS
    }
}

/// Time in which all hosts report the requests that were at a crashed target. Subjects are compared after it.
const REPORT_TIME: Duration = Duration::from_millis(250);
/// Largest number of suspects that other hosts are told of.
const MAX_PUBLISHED: usize = 64;
/// Time after a supposed crash in which a load report shows that the target did not crash. A crashed
/// target takes longer to start again.
const ALIVE_CHECK_TIME: Duration = Duration::from_millis(1500);
/// Time in which a load report that was read reaches an entry host.
const REPORT_DELAY: Duration = Duration::from_millis(800);
/// Time after its last crash for which a subject is remembered as suspect.
const SUSPICION_LIFETIME: Duration = Duration::from_secs(120);
/// Time for which a subject is refused. After it the subject has to be blamed anew.
const REFUSAL_DURATION: Duration = Duration::from_secs(600);
/// Largest number of subjects that are remembered as answered. The one that was answered first makes
/// room for another.
const MAX_ANSWERED: usize = 8192;
/// Largest number of suspects. The one whose last crash is oldest makes room for another.
const MAX_SUSPECTS: usize = 1024;

/// What may make targets crash: a part of a prompt, or a whole request by its
/// [`crate::fingerprint`].
pub type Subject = u64;

/// A crash of a target that had a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The request, by its [`crate::fingerprint`].
    pub request: Subject,
    /// The target.
    pub target: Target,
    /// The incarnation that crashed.
    pub incarnation: Incarnation,
    /// What may be the cause: the parts of the request's prompt that other requests may share, or the
    /// request itself.
    pub subjects: Vec<Subject>,
}

/// A crash of a target that had begun to answer a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LateCrash {
    pub crash: Crash,
    /// The request's number.
    pub run: RunId,
    /// Time from the answer's first event to the crash.
    pub lasted: Duration,
    /// Time since the crash.
    pub age: Duration,
}

/// A subject that is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    pub id: Subject,
    /// Time for which it is still refused.
    pub remaining: Duration,
}

/// The subjects that are suspect, refused or answered, and those of requests that wait for an answer.
#[derive(Debug, Default)]
pub struct Quarantine {
    rules: Rules,
    /// Suspects that the allocating host publishes.
    published: BTreeSet<Subject>,
    suspects: BTreeMap<Subject, Suspect>,
    /// Until when each subject is refused.
    refused: BTreeMap<Subject, Instant>,
    /// Crashes that a refused subject explains, and when they were explained.
    explained: BTreeMap<(Target, Incarnation), Instant>,
    running: HashMap<RunId, Running>,
    /// The subjects that were answered at least once, with the number of the last answer.
    answered: HashMap<Subject, u64>,
    /// Number of answers so far.
    answers: u64,
    /// The same subjects in the order in which they were first answered.
    answered_order: VecDeque<Subject>,
}

/// A request whose answer isn't complete.
#[derive(Debug)]
struct Running {
    subjects: Vec<Subject>,
    /// When its present target sent the first event.
    started: Option<Instant>,
}

impl Quarantine {
    /// Creates a quarantine with these rules.
    pub fn new(rules: Rules) -> Self {
        Self {
            rules,
            ..Self::default()
        }
    }

    /// Whether nothing is suspect or refused at `now`.
    pub fn is_empty(&self, now: Instant) -> bool {
        let is_refused = self.refused.values().any(|until| now < *until);
        self.suspects.is_empty() && self.published.is_empty() && !is_refused
    }

    /// Whether a crash was blamed on a subject, and it was not answered since.
    pub fn is_suspect(&self, subject: Subject) -> bool {
        self.suspects.contains_key(&subject) || self.published.contains(&subject)
    }

    /// Returns the suspects that other hosts should watch for answers, those with most crashes if
    /// there are too many.
    pub fn suspects(&self) -> Vec<Subject> {
        let mut suspects: Vec<(&Subject, &Suspect)> = self.suspects.iter().collect();
        suspects.sort_by_key(|(_, suspect)| std::cmp::Reverse(suspect.len()));
        suspects.truncate(MAX_PUBLISHED);
        suspects.into_iter().map(|(subject, _)| *subject).collect()
    }

    /// Replaces the suspects that the allocating host publishes.
    pub fn watch(&mut self, suspects: &[Subject]) {
        self.published = suspects.iter().copied().collect();
    }

    /// Records that a subject was answered to the end, which clears it.
    pub fn clear(&mut self, subject: Subject) {
        self.published.remove(&subject);
        self.suspects.remove(&subject);
        self.remember_answered(subject);
    }

    /// Returns the number of crashes that a subject is blamed for, and whether it was ever answered.
    pub fn evidence(&self, subject: Subject) -> (usize, bool) {
        let suspect = self.suspects.get(&subject);
        let crashes = suspect.map_or(0, Suspect::len);
        (crashes, self.answered.contains_key(&subject))
    }

    /// Whether a refused subject explains the crash of a target.
    pub fn explains(&self, target: &Target, incarnation: Incarnation) -> bool {
        let crashed = (target.clone(), incarnation);
        self.explained.contains_key(&crashed)
    }

    /// Takes back the crashes that something else explains.
    pub fn disregard<Explains>(&mut self, explains: Explains)
    where
        Explains: Fn(&Target, Incarnation) -> bool,
    {
        for suspect in self.suspects.values_mut() {
            for crashed in suspect.crashed() {
                if explains(&crashed.0, crashed.1) {
                    suspect.forgive(&crashed);
                }
            }
        }
        self.drop_cleared();
    }

    /// Clears all suspects of the crashes of these targets, which something else explains. Those with as many
    /// crashes may be the cause as well, and keep them until they are answered.
    fn explain(&mut self, crashed: &[(Target, Incarnation)], now: Instant) {
        for suspect in self.suspects.values_mut() {
            if suspect.len() < crashed.len() {
                crashed.iter().for_each(|target| suspect.forgive(target));
            } else {
                suspect.settle();
            }
        }
        self.drop_cleared();
        let explained = crashed.iter().map(|target| (target.clone(), now));
        self.explained.extend(explained);
    }

    fn drop_cleared(&mut self) {
        self.suspects.retain(|_, suspect| !suspect.is_empty());
    }

    /// Returns for how long a request with these subjects is still refused, if it is.
    pub fn refusal(&self, subjects: &[Subject], now: Instant) -> Option<Duration> {
        let refused = subjects
            .iter()
            .filter_map(|subject| self.refusal_of(*subject, now));
        refused.map(|refused| refused.remaining).max()
    }

    fn refusal_of(&self, id: Subject, now: Instant) -> Option<Refused> {
        let until = self.refused.get(&id)?;
        let remaining = until.saturating_duration_since(now);
        (!remaining.is_zero()).then_some(Refused { id, remaining })
    }

    /// Records that a request is sent to a target.
    pub fn record_sent(&mut self, run: RunId, subjects: &[Subject]) {
        if !subjects.is_empty() {
            let running = Running {
                subjects: subjects.to_vec(),
                started: None,
            };
            self.running.insert(run, running);
        }
    }

    /// Records that a target has sent the first event of an answer. From now on each moment without a crash speaks
    /// for the request's subjects.
    pub fn record_started(&mut self, run: RunId, now: Instant) {
        if let Some(running) = self.running.get_mut(&run) {
            running.started = Some(now);
        }
    }

    /// Records that a request was answered to the end, which clears its subjects.
    pub fn record_answered(&mut self, run: RunId) {
        let running = self.running.remove(&run);
        let subjects = running.map(|running| running.subjects);
        for subject in subjects.unwrap_or_default() {
            self.clear(subject);
        }
    }

    /// Takes back the crashes that requests which go on show to have other causes.
    fn credit_running(&mut self, now: Instant) {
        for running in self.running.values() {
            let Some(started) = running.started else {
                continue;
            };
            let lasted = now.saturating_duration_since(started);
            for subject in &running.subjects {
                if let Some(suspect) = self.suspects.get_mut(subject) {
                    suspect.credit(lasted);
                }
            }
        }
        self.drop_cleared();
    }

    fn remember_answered(&mut self, subject: Subject) {
        self.answers += 1;
        if self.answered.insert(subject, self.answers).is_some() {
            return;
        }
        self.answered_order.push_back(subject);
        if self.answered_order.len() > MAX_ANSWERED
            && let Some(first) = self.answered_order.pop_front()
        {
            self.answered.remove(&first);
        }
    }

    /// Returns the subjects that were answered last, at most this many, for a host that begins to allocate.
    pub fn lately_answered(&self, max: usize) -> Vec<Subject> {
        let mut answered: Vec<(&Subject, &u64)> = self.answered.iter().collect();
        answered.sort_unstable_by_key(|(_, number)| std::cmp::Reverse(**number));
        answered.truncate(max);
        answered.into_iter().map(|(subject, _)| *subject).collect()
    }

    /// Remembers subjects that were answered at another host some time ago. Crashes since then still count.
    pub fn adopt_answered(&mut self, subjects: &[Subject]) {
        for subject in subjects {
            self.remember_answered(*subject);
        }
    }

    /// Records that a request has ended.
    pub fn record_end(&mut self, run: RunId) {
        self.running.remove(&run);
    }

    /// Records a crash before the first event. Returns the subject that is refused from now on, if it has become one.
    pub fn record_crash(&mut self, crash: &Crash, now: Instant) -> Option<Subject> {
        self.expire(now);
        self.blame(crash, None, (now, now))?;
        let (answered, unknown): (Vec<Subject>, Vec<Subject>) = crash
            .subjects
            .iter()
            .partition(|subject| self.answered.contains_key(subject));
        let refused = self
            .most_suspect(&unknown, self.rules.min_crashes)
            .or_else(|| self.most_suspect(&answered, self.rules.min_crashes_of_answered));
        if let Some(subject) = refused {
            self.refuse(subject, now);
        }
        self.limit_suspects();
        refused
    }

    /// Records a crash after the first event. What it leads to is decided in [`Self::judge`].
    pub fn record_late_crash(&mut self, late: &LateCrash, now: Instant) {
        self.expire(now);
        if let Some(running) = self.running.get_mut(&late.run) {
            running.started = None;
        }
        let at = now.checked_sub(late.age).unwrap_or(now);
        self.blame(&late.crash, Some(late.lasted), (at, now));
        self.limit_suspects();
    }

    /// Blames a crash on the subjects of a request. Returns none if a refused subject explains it.
    fn blame(
        &mut self,
        crash: &Crash,
        lasted: Option<Duration>,
        (at, now): (Instant, Instant),
    ) -> Option<()> {
        let crashed = (crash.target.clone(), crash.incarnation);
        let mut subjects = crash.subjects.iter();
        if subjects.any(|subject| self.refused.contains_key(subject)) {
            self.explained.insert(crashed.clone(), now);
            self.disregard(|target, incarnation| (target, incarnation) == (&crashed.0, crashed.1));
            return None;
        }
        if self.explained.contains_key(&crashed) {
            return None;
        }
        for (position, subject) in crash.subjects.iter().enumerate() {
            let suspect = self.suspects.entry(*subject);
            let suspect = suspect.or_insert_with(|| Suspect::new(now));
            let request = (crash.request, position);
            suspect.record(crashed.clone(), request, lasted, (at, now));
        }
        Some(())
    }

    /// Refuses the subject that explains crashes best, once all requests at the crashed targets are known. Returns
    /// it. Has to be called regularly.
    pub fn judge(&mut self, now: Instant) -> Option<Subject> {
        if self.suspects.is_empty() {
            return None;
        }
        self.credit_running(now);
        let settled = now.checked_sub(REPORT_TIME)?;
        let ranked = self.suspects.iter().filter_map(|(subject, suspect)| {
            let is_answered = self.answered.contains_key(subject);
            let rank = suspect.rank((is_answered, &self.rules), settled)?;
            Some((rank, *subject))
        });
        let (_, subject) = ranked.max_by_key(|(rank, _)| *rank)?;
        self.refuse(subject, now);
        Some(subject)
    }

    /// Returns the one of `subjects` whose requests were at most crashes, if these are enough. Of several, it is
    /// the last one.
    fn most_suspect(&self, subjects: &[Subject], min_crashes: usize) -> Option<Subject> {
        let crashes = |subject: &Subject| {
            let suspect = self.suspects.get(subject)?;
            let has_enough = suspect.is_enough_at_begin(min_crashes, &self.rules);
            has_enough.then_some((suspect.len(), *subject))
        };
        let enough = subjects.iter().filter_map(crashes);
        let most = enough.max_by_key(|(crashes, _)| *crashes);
        most.map(|(_, subject)| subject)
    }

    /// Refuses a subject. Its crashes need no other explanation, so other suspects are cleared of them.
    fn refuse(&mut self, subject: Subject, now: Instant) {
        self.refused.insert(subject, now + REFUSAL_DURATION);
        let suspect = self.suspects.remove(&subject);
        let crashed = suspect.map_or(Vec::new(), |suspect| suspect.crashed());
        self.explain(&crashed, now);
    }

    /// Records that a target's load report was read at `read`. If its connections broke just before,
    /// it did not crash.
    pub fn record_alive(&mut self, target: &Target, incarnation: Incarnation, read: Instant) {
        if self.suspects.is_empty() {
            return;
        }
        let target = (target.clone(), incarnation);
        for suspect in self.suspects.values_mut() {
            suspect.refute(&target, read, ALIVE_CHECK_TIME);
        }
        self.drop_cleared();
    }

    /// Whether load reports may still show that a target did not crash.
    pub fn awaits_reports(&self, now: Instant) -> bool {
        let mut crashes = self.suspects.values().flat_map(Suspect::times);
        crashes.any(|at| now.saturating_duration_since(at) < ALIVE_CHECK_TIME + REPORT_DELAY)
    }

    /// Adopts what another host refuses. Returns whether any of it is new.
    pub fn adopt(&mut self, subjects: &[Refused], now: Instant) -> bool {
        let mut is_new = false;
        for subject in subjects {
            let until = now + subject.remaining.min(REFUSAL_DURATION);
            is_new |= !self.refused.contains_key(&subject.id);
            let known = self.refused.entry(subject.id).or_insert(until);
            *known = until.max(*known);
            self.suspects.remove(&subject.id);
        }
        is_new
    }

    /// Returns all subjects that are refused at `now`.
    pub fn refused(&self, now: Instant) -> Vec<Refused> {
        let subjects = self.refused.keys();
        subjects
            .filter_map(|id| self.refusal_of(*id, now))
            .collect()
    }

    /// Returns those of `subjects` that are refused at `now`.
    pub fn refused_among(&self, subjects: &[Subject], now: Instant) -> Vec<Refused> {
        let subjects = subjects.iter();
        subjects
            .filter_map(|id| self.refusal_of(*id, now))
            .collect()
    }

    /// Forgets what is too old.
    fn expire(&mut self, now: Instant) {
        self.refused.retain(|_, until| now < *until);
        self.explained
            .retain(|_, at| now < *at + SUSPICION_LIFETIME);
        self.suspects
            .retain(|_, suspect| now < suspect.last_crash + SUSPICION_LIFETIME);
    }

    fn limit_suspects(&mut self) {
        while self.suspects.len() > MAX_SUSPECTS {
            let suspects = self.suspects.iter();
            let oldest = suspects.min_by_key(|(_, suspect)| suspect.last_crash);
            let Some(oldest) = oldest.map(|(subject, _)| *subject) else {
                return;
            };
            self.suspects.remove(&oldest);
        }
    }
}
