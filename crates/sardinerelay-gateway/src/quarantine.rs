//! Refuses what makes targets crash: parts of prompts, and requests that come again.
//!
//! A subject is blamed for a crash if a request with it was at the target and had no answer yet. It
//! is refused after several such crashes without a single answer begun in between, so a subject that
//! others share is cleared by the first of them that is answered. Of several parts that could be the
//! cause, those that were answered before are not blamed. See `docs/design/admission.md`.

use {
    crate::{call::PartId, targets::RunId},
    sardinerelay::id::{Incarnation, Target},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque},
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
    /// Number of requests that must have been at these targets.
    pub min_runs: usize,
    /// Time between the first and the last of these crashes, in which an answer clears the subject.
    /// Several targets may end at once for another reason.
    pub min_span: Duration,
}

impl Rules {
    /// For parts of prompts. A single request that is continued elsewhere may be at several engines
    /// that crash for another reason.
    pub const PARTS: Self = Self {
        min_crashes: 4,
        min_crashes_of_answered: 6,
        min_runs: 2,
        min_span: Duration::ZERO,
    };
    /// For requests that come again. Nothing else shares them, so fewer crashes are enough.
    pub const REQUESTS: Self = Self {
        min_crashes: 3,
        min_crashes_of_answered: 5,
        min_runs: 1,
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
/// Time after a supposed crash in which a load report shows that the engine did not crash. A crashed
/// engine takes longer to start again.
const ALIVE_CHECK_TIME: Duration = Duration::from_millis(1500);
/// Time after its last crash for which a part is remembered as suspect.
const SUSPICION_LIFETIME: Duration = Duration::from_secs(120);
/// Time for which a part is refused. After it the part has to be blamed anew.
const REFUSAL_DURATION: Duration = Duration::from_secs(600);
/// Largest number of parts that are remembered as answered. The one that was answered first makes
/// room for another.
const MAX_ANSWERED: usize = 8192;
/// Largest number of suspects. The one whose last crash is oldest makes room for another.
const MAX_SUSPECTS: usize = 1024;

/// What may make targets crash: a part of a prompt, or a whole request by its
/// [`crate::fingerprint`].
pub type Subject = u64;

/// A crash of an engine before it began to answer a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The request.
    pub run: RunId,
    /// The engine.
    pub target: Target,
    /// The incarnation that crashed.
    pub incarnation: Incarnation,
    /// The parts of the request's prompt that other requests may share.
    pub parts: Vec<PartId>,
}

/// A part that is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedPart {
    pub id: PartId,
    /// Time for which it is still refused.
    pub remaining: Duration,
}

/// The subjects that are suspect, refused or answered, and those of requests that wait for an answer.
#[derive(Debug, Default)]
pub struct Quarantine {
    rules: Rules,
    /// Suspects that the allocating host publishes.
    published: BTreeSet<Subject>,
    suspects: BTreeMap<PartId, Suspect>,
    /// Until when each part is refused.
    refused: BTreeMap<PartId, Instant>,
    unanswered: HashMap<RunId, Vec<PartId>>,
    /// The parts that were answered at least once.
    answered: HashSet<PartId>,
    /// The same parts in the order in which they were first answered.
    answered_order: VecDeque<PartId>,
}

#[derive(Debug)]
struct Suspect {
    /// The engines that crashed, and when.
    engines: BTreeMap<(Target, Incarnation), Instant>,
    runs: BTreeSet<RunId>,
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

    /// Whether nothing is suspect or refused.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.refused.is_empty() && self.published.is_empty()
    }

    /// Whether a crash was blamed on a subject, and it was not answered since.
    pub fn is_suspect(&self, subject: Subject) -> bool {
        self.suspects.contains_key(&subject) || self.published.contains(&subject)
    }

    /// Returns the suspects that other hosts should watch for answers, those with most crashes if
    /// there are too many.
    pub fn suspects(&self) -> Vec<Subject> {
        let mut suspects: Vec<(&Subject, &Suspect)> = self.suspects.iter().collect();
        suspects.sort_by_key(|(_, suspect)| std::cmp::Reverse(suspect.engines.len()));
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

    /// Clears all suspects of the crashes of these targets, which something else explains.
    pub fn explain(&mut self, crashed: &[(Target, Incarnation)]) {
        for suspect in self.suspects.values_mut() {
            suspect
                .engines
                .retain(|engine, _| !crashed.contains(engine));
        }
        self.suspects
            .retain(|_, suspect| !suspect.engines.is_empty());
    }

    /// Returns the targets whose crashes were blamed on a subject.
    pub fn crashed_by(&self, subject: Subject) -> Vec<(Target, Incarnation)> {
        let suspect = self.suspects.get(&subject);
        suspect.map_or(Vec::new(), |suspect| {
            suspect.engines.keys().cloned().collect()
        })
    }

    /// Returns for how long a request with these parts is still refused, if it is.
    pub fn refusal(&self, parts: &[PartId], now: Instant) -> Option<Duration> {
        let refused = parts
            .iter()
            .filter_map(|part| self.refused_part(*part, now));
        refused.map(|part| part.remaining).max()
    }

    fn refused_part(&self, id: PartId, now: Instant) -> Option<RefusedPart> {
        let until = self.refused.get(&id)?;
        let remaining = until.saturating_duration_since(now);
        (!remaining.is_zero()).then_some(RefusedPart { id, remaining })
    }

    /// Records that a request is sent to an engine.
    pub fn record_sent(&mut self, run: RunId, parts: &[PartId]) {
        if !parts.is_empty() {
            self.unanswered.insert(run, parts.to_vec());
        }
    }

    /// Records that an engine has begun to answer a request, which clears its parts.
    pub fn record_answered(&mut self, run: RunId) {
        for part in self.unanswered.remove(&run).unwrap_or_default() {
            self.clear(part);
        }
    }

    fn remember_answered(&mut self, part: PartId) {
        if !self.answered.insert(part) {
            return;
        }
        self.answered_order.push_back(part);
        if self.answered_order.len() > MAX_ANSWERED
            && let Some(first) = self.answered_order.pop_front()
        {
            self.answered.remove(&first);
        }
    }

    /// Records that a request has ended.
    pub fn record_end(&mut self, run: RunId) {
        self.unanswered.remove(&run);
    }

    /// Records a crash. Returns the subjects that are refused from now on.
    pub fn record_crash(&mut self, crash: &Crash, now: Instant) -> Vec<Subject> {
        self.expire(now);
        let is_explained = crash
            .parts
            .iter()
            .any(|part| self.refused.contains_key(part));
        if is_explained {
            return Vec::new();
        }
        for part in &crash.parts {
            let suspect = self.suspects.entry(*part).or_insert_with(|| Suspect {
                engines: BTreeMap::new(),
                runs: BTreeSet::new(),
                last_crash: now,
            });
            suspect
                .engines
                .entry((crash.target.clone(), crash.incarnation))
                .or_insert(now);
            suspect.runs.insert(crash.run);
            suspect.last_crash = now;
        }
        let (answered, unknown): (Vec<Subject>, Vec<Subject>) = crash
            .parts
            .iter()
            .partition(|part| self.answered.contains(part));
        let mut refused = self.with_crashes(&unknown, self.rules.min_crashes);
        if refused.is_empty() {
            refused = self.with_crashes(&answered, self.rules.min_crashes_of_answered);
        }
        for part in &refused {
            self.refuse(*part, now + REFUSAL_DURATION);
        }
        self.limit_suspects();
        refused
    }

    /// Returns those of `subjects` whose requests were at this many crashes.
    fn with_crashes(&self, subjects: &[Subject], min_crashes: usize) -> Vec<Subject> {
        let has_enough = |subject: &&Subject| {
            self.suspects.get(*subject).is_some_and(|suspect| {
                suspect.engines.len() >= min_crashes
                    && suspect.span() >= self.rules.min_span
                    && suspect.runs.len() >= self.rules.min_runs
            })
        };
        subjects.iter().filter(has_enough).copied().collect()
    }

    /// Refuses a part. Its crashes need no other explanation, so other suspects are cleared of them.
    fn refuse(&mut self, part: PartId, until: Instant) {
        self.refused.insert(part, until);
        let crashed = self.crashed_by(part);
        self.suspects.remove(&part);
        self.explain(&crashed);
    }

    /// Records that an engine's load report was read at `read`. If its connections broke just before,
    /// it did not crash.
    pub fn record_alive(&mut self, target: &Target, incarnation: Incarnation, read: Instant) {
        if self.suspects.is_empty() {
            return;
        }
        let engine = (target.clone(), incarnation);
        for suspect in self.suspects.values_mut() {
            let crashed = suspect.engines.get(&engine);
            let is_refuted = crashed.is_some_and(|at| *at < read && read < *at + ALIVE_CHECK_TIME);
            if is_refuted {
                suspect.engines.remove(&engine);
            }
        }
        self.suspects
            .retain(|_, suspect| !suspect.engines.is_empty());
    }

    /// Adopts what another host refuses. Returns whether any of it is new.
    pub fn adopt(&mut self, parts: &[RefusedPart], now: Instant) -> bool {
        let mut is_new = false;
        for part in parts {
            let until = now + part.remaining.min(REFUSAL_DURATION);
            is_new |= !self.refused.contains_key(&part.id);
            let known = self.refused.entry(part.id).or_insert(until);
            *known = until.max(*known);
            self.suspects.remove(&part.id);
        }
        is_new
    }

    /// Returns all parts that are refused at `now`.
    pub fn refused(&self, now: Instant) -> Vec<RefusedPart> {
        let parts = self.refused.keys();
        parts.filter_map(|id| self.refused_part(*id, now)).collect()
    }

    /// Returns those of `parts` that are refused at `now`.
    pub fn refused_among(&self, parts: &[PartId], now: Instant) -> Vec<RefusedPart> {
        let parts = parts.iter();
        parts.filter_map(|id| self.refused_part(*id, now)).collect()
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
            let Some(oldest) = oldest.map(|(part, _)| *part) else {
                return;
            };
            self.suspects.remove(&oldest);
        }
    }
}

impl Suspect {
    /// Returns the time between the first and the last crash.
    fn span(&self) -> Duration {
        let times = self.engines.values();
        match (times.clone().min(), times.max()) {
            (Some(first), Some(last)) => last.saturating_duration_since(*first),
            _ => Duration::ZERO,
        }
    }
}
