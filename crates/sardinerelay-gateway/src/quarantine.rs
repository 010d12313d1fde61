//! Refuses what makes targets crash: parts of prompts, and requests that come again.
//!
//! A subject is blamed for a crash if a request with it was at the target and had no answer yet. It
//! is refused after several such crashes without a single answer begun in between, so a subject that
//! others share is cleared by the first of them that is answered. Of several parts that could be the
//! cause, those that were answered before are not blamed, and of those that are left only the last one in the
//! prompt: requests share the first parts of their prompts most. See `docs/design/admission.md`.

use {
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

/// A crash of a target before it began to answer a request.
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
    unanswered: HashMap<RunId, Vec<Subject>>,
    /// The subjects that were answered at least once, with the number of the last answer.
    answered: HashMap<Subject, u64>,
    /// Number of answers so far.
    answers: u64,
    /// The same subjects in the order in which they were first answered.
    answered_order: VecDeque<Subject>,
}

#[derive(Debug)]
struct Suspect {
    /// The targets that crashed, and when.
    targets: BTreeMap<(Target, Incarnation), Instant>,
    requests: BTreeSet<Subject>,
    last_crash: Instant,
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
        suspects.sort_by_key(|(_, suspect)| std::cmp::Reverse(suspect.targets.len()));
        suspects.truncate(MAX_PUBLISHED);
        suspects.into_iter().map(|(subject, _)| *subject).collect()
    }

    /// Replaces the suspects that the allocating host publishes.
    pub fn watch(&mut self, suspects: &[Subject]) {
        self.published = suspects.iter().copied().collect();
    }

    /// Records that a subject was answered, which clears it.
    pub fn clear(&mut self, subject: Subject) {
        self.published.remove(&subject);
        self.suspects.remove(&subject);
        self.remember_answered(subject);
    }

    /// Returns the number of crashes that a subject is blamed for, and whether it was ever answered.
    pub fn evidence(&self, subject: Subject) -> (usize, bool) {
        let suspect = self.suspects.get(&subject);
        let crashes = suspect.map_or(0, |suspect| suspect.targets.len());
        (crashes, self.answered.contains_key(&subject))
    }

    /// Clears all suspects of the crashes of these targets, which something else explains. Those with as many
    /// crashes may be the cause as well, and keep them until they are answered.
    fn explain(&mut self, crashed: &[(Target, Incarnation)]) {
        for suspect in self.suspects.values_mut() {
            if suspect.targets.len() < crashed.len() {
                suspect
                    .targets
                    .retain(|target, _| !crashed.contains(target));
            }
        }
        self.suspects
            .retain(|_, suspect| !suspect.targets.is_empty());
    }

    /// Returns the targets whose crashes were blamed on a subject.
    fn crashed_by(&self, subject: Subject) -> Vec<(Target, Incarnation)> {
        let suspect = self.suspects.get(&subject);
        suspect.map_or(Vec::new(), |suspect| {
            suspect.targets.keys().cloned().collect()
        })
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
            self.unanswered.insert(run, subjects.to_vec());
        }
    }

    /// Records that a target has begun to answer a request, which clears its subjects.
    pub fn record_answered(&mut self, run: RunId) {
        for subject in self.unanswered.remove(&run).unwrap_or_default() {
            self.clear(subject);
        }
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
        self.unanswered.remove(&run);
    }

    /// Records a crash. Returns the subject that is refused from now on, if it has become one.
    pub fn record_crash(&mut self, crash: &Crash, now: Instant) -> Option<Subject> {
        self.expire(now);
        let is_explained = crash
            .subjects
            .iter()
            .any(|subject| self.refused.contains_key(subject));
        if is_explained {
            return None;
        }
        for subject in &crash.subjects {
            let suspect = self.suspects.entry(*subject).or_insert_with(|| Suspect {
                targets: BTreeMap::new(),
                requests: BTreeSet::new(),
                last_crash: now,
            });
            suspect
                .targets
                .entry((crash.target.clone(), crash.incarnation))
                .or_insert(now);
            suspect.requests.insert(crash.request);
            suspect.last_crash = now;
        }
        let (answered, unknown): (Vec<Subject>, Vec<Subject>) = crash
            .subjects
            .iter()
            .partition(|subject| self.answered.contains_key(subject));
        let refused = self
            .most_suspect(&unknown, self.rules.min_crashes)
            .or_else(|| self.most_suspect(&answered, self.rules.min_crashes_of_answered));
        if let Some(subject) = refused {
            self.refuse(subject, now + REFUSAL_DURATION);
        }
        self.limit_suspects();
        refused
    }

    /// Returns the one of `subjects` whose requests were at most crashes, if these are enough. Of several, it is
    /// the last one.
    fn most_suspect(&self, subjects: &[Subject], min_crashes: usize) -> Option<Subject> {
        let crashes = |subject: &Subject| {
            let suspect = self.suspects.get(subject)?;
            let has_enough = suspect.targets.len() >= min_crashes
                && suspect.span() >= self.rules.min_span
                && suspect.requests.len() >= self.rules.min_requests;
            has_enough.then_some((suspect.targets.len(), *subject))
        };
        let enough = subjects.iter().filter_map(crashes);
        let most = enough.max_by_key(|(crashes, _)| *crashes);
        most.map(|(_, subject)| subject)
    }

    /// Refuses a subject. Its crashes need no other explanation, so other suspects are cleared of them.
    fn refuse(&mut self, subject: Subject, until: Instant) {
        self.refused.insert(subject, until);
        let crashed = self.crashed_by(subject);
        self.suspects.remove(&subject);
        self.explain(&crashed);
    }

    /// Records that a target's load report was read at `read`. If its connections broke just before,
    /// it did not crash.
    pub fn record_alive(&mut self, target: &Target, incarnation: Incarnation, read: Instant) {
        if self.suspects.is_empty() {
            return;
        }
        let target = (target.clone(), incarnation);
        for suspect in self.suspects.values_mut() {
            let crashed = suspect.targets.get(&target);
            let is_refuted = crashed.is_some_and(|at| *at < read && read < *at + ALIVE_CHECK_TIME);
            if is_refuted {
                suspect.targets.remove(&target);
            }
        }
        self.suspects
            .retain(|_, suspect| !suspect.targets.is_empty());
    }

    /// Whether load reports may still show that a target did not crash.
    pub fn awaits_reports(&self, now: Instant) -> bool {
        let mut crashes = self
            .suspects
            .values()
            .flat_map(|suspect| suspect.targets.values());
        crashes.any(|at| now.saturating_duration_since(*at) < ALIVE_CHECK_TIME + REPORT_DELAY)
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

impl Suspect {
    /// Returns the time between the first and the last crash.
    fn span(&self) -> Duration {
        let times = self.targets.values();
        match (times.clone().min(), times.max()) {
            (Some(first), Some(last)) => last.saturating_duration_since(*first),
            _ => Duration::ZERO,
        }
    }
}
