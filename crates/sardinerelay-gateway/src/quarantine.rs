//! Refuses generations whose prompt has a part that makes engines crash.
//!
//! A part is blamed for a crash if a request with it was sent to the engine and had not begun its
//! answer. It is refused after several such crashes without a single answer begun in between, so a
//! part that others share is cleared by the first of them that is answered. Of several parts that
//! could be the cause, those that were answered before are not blamed. See
//! `docs/design/admission.md`.

use {
    crate::{call::PartId, targets::RunId},
    sardinerelay::id::{Incarnation, Target},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque},
        time::{Duration, Instant},
    },
};

/// Number of engine incarnations that must have crashed before a part is refused.
const MIN_ENGINES: usize = 4;
/// Number of engine incarnations that must have crashed before a part is refused that was answered
/// before.
const MIN_ENGINES_OF_ANSWERED: usize = 6;
/// Number of requests that must have been at these engines, because one that is continued elsewhere
/// may be at several engines that crash for another reason.
const MIN_RUNS: usize = 2;
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

/// The parts that are suspect, refused or answered, and those of requests that wait for an answer.
#[derive(Debug, Default)]
pub struct Quarantine {
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
            self.suspects.remove(&part);
            self.remember_answered(part);
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

    /// Records a crash. Returns the parts that are refused from now on.
    pub fn record_crash(&mut self, crash: &Crash, now: Instant) -> Vec<PartId> {
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
                .insert((crash.target.clone(), crash.incarnation), now);
            suspect.runs.insert(crash.run);
            suspect.last_crash = now;
        }
        let (answered, unknown): (Vec<PartId>, Vec<PartId>) = crash
            .parts
            .iter()
            .partition(|part| self.answered.contains(part));
        let mut refused = self.with_crashes(&unknown, MIN_ENGINES);
        if refused.is_empty() {
            refused = self.with_crashes(&answered, MIN_ENGINES_OF_ANSWERED);
        }
        for part in &refused {
            self.refuse(*part, now + REFUSAL_DURATION);
        }
        self.limit_suspects();
        refused
    }

    /// Returns those of `parts` whose requests were at this many engines that crashed.
    fn with_crashes(&self, parts: &[PartId], min_engines: usize) -> Vec<PartId> {
        let has_enough = |part: &&PartId| {
            self.suspects.get(*part).is_some_and(|suspect| {
                suspect.engines.len() >= min_engines && suspect.runs.len() >= MIN_RUNS
            })
        };
        parts.iter().filter(has_enough).copied().collect()
    }

    /// Refuses a part. Its crashes need no other explanation, so other suspects are cleared of them.
    fn refuse(&mut self, part: PartId, until: Instant) {
        self.refused.insert(part, until);
        let Some(cause) = self.suspects.remove(&part) else {
            return;
        };
        for suspect in self.suspects.values_mut() {
            suspect
                .engines
                .retain(|engine, _| !cause.engines.contains_key(engine));
        }
        self.suspects
            .retain(|_, suspect| !suspect.engines.is_empty());
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
