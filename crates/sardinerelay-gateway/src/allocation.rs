//! The engines that a request was given, and its claim on their memory.

use {
    crate::{
        allocator::{Scope, claim},
        entry::EntryHost,
        group::AllocationReport,
        moves::Departure,
        observations::Instance,
        pace::Pace,
        placement::{self, Choice, Need, Secondary},
        quarantine::Crash,
        reporter::Report,
        request::Job,
        targets::{RunId, Targets},
    },
    rand::rng,
    sardinerelay::id::{Build, Target},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Longest time for which an engine may have been leaving if a generation is to continue from a
/// copy there. It is well below the time for which the platform lets a leaving target work.
const MAX_LEAVING_TIME: Duration = Duration::from_millis(1000);
/// Largest number of output tokens that a reservation covers in addition to the prompt. It is more
/// than is generated in the two seconds that a reservation lasts, so that other generations on the
/// engine can grow without displacing this one.
const MAX_RESERVED_OUTPUT_TOKENS: u64 = 1000;
/// Smallest number of tokens that a generation must still be expected to produce to be moved out of an
/// evacuated zone. They take about two seconds, a move between zones takes up to one.
const MIN_EVACUATION_TOKENS: u64 = 200;

/// A running request's claim on the memory of its engines. Dropping it releases the memory.
#[derive(Debug)]
pub struct Allocation {
    entry: Arc<EntryHost>,
    /// The request's number, unique among all entry hosts.
    pub run: RunId,
    /// The engine that runs the request, and the one that keeps a copy of its memory.
    pub choice: Choice,
    need: Need,
    /// The engine to which the request is about to move, and the number of the host that allocated
    /// that engine.
    destination: Option<(Target, u32)>,
}

impl Allocation {
    /// Creates the guard of a claim that is recorded already.
    pub(crate) fn new(entry: Arc<EntryHost>, run: RunId, choice: Choice, need: Need) -> Self {
        entry.running.insert(run, &need);
        Self {
            entry,
            run,
            choice,
            need,
            destination: None,
        }
    }

    /// Records that the engine has begun to answer, which means that it has read the prompt.
    pub fn record_started(&self) {
        self.entry.allocator.record_started(self.run);
        self.entry.report(AllocationReport::Started(self.run));
    }

    /// Records that the engine has answered to the end, which clears the parts of the prompt.
    pub fn record_completed(&self) {
        self.entry.allocator.record_completed(self.run);
        self.entry.report(Report::Completed(self.run));
    }

    /// Records that the engine's connection broke this long after its first event. If its process has ended, it is
    /// reported as a crash that this request may have caused.
    pub fn record_late_break(&self, job: &Job, lasted: Duration) {
        let lost = (self.run, &self.need.shared_parts[..]);
        self.entry
            .record_lost(job, &self.choice.target, lost, Some(lasted));
    }

    /// Records that the engine's connection broke before it began to answer. An engine that is
    /// leaving isn't taken to have crashed.
    pub fn record_crash(&self, job: &Job) {
        let target = &self.choice.target;
        let lost = (self.run, &self.need.shared_parts[..]);
        let request = self.entry.record_lost(job, target, lost, None);
        let now = Instant::now();
        let state = self.entry.state();
        let target = state.targets.get(&self.choice.target);
        let staying = target.filter(|target| target.leaving_since(now).is_none());
        let Some(incarnation) = staying.map(|target| target.instance.incarnation) else {
            return;
        };
        drop(state);
        let crash = Crash {
            request,
            target: self.choice.target.clone(),
            incarnation,
            subjects: self.need.shared_parts.clone(),
        };
        self.entry.allocator.record_crash(&crash);
        self.entry.report(AllocationReport::Crashed(crash));
    }

    /// Whether the request has become one that is refused because it makes engines crash.
    pub fn is_refused(&self) -> bool {
        self.entry.refuse_crashing(&self.need).is_some()
    }

    /// Restricts the request to a build from now on.
    pub fn require_build(&mut self, build: Build) {
        self.need.build = Some(build);
    }

    /// Whether the request may run on this target.
    pub fn accepts(&self, instance: &Instance) -> bool {
        self.need.accepts(&instance.build)
    }

    /// Records the memory that the request uses after `output` tokens of output.
    pub fn record_progress(&self, output: u64) {
        let now = Instant::now();
        let tokens = self.need.prompt_tokens + output;
        let mut state = self.entry.state();
        state
            .targets
            .record_progress(&self.choice.target, self.run, tokens, now);
        if let Some(copy) = &self.choice.copy {
            state.targets.record_progress(copy, self.run, tokens, now);
        }
    }

    /// Records how many tokens per second the engine decoded for the request, here and at the
    /// allocating host.
    pub fn record_pace(&self, tokens_per_second: f64) {
        let target = &self.choice.target;
        let mut state = self.entry.state();
        let Some(known) = state.targets.get(target) else {
            return;
        };
        let pace = Pace {
            target: target.clone(),
            incarnation: known.instance.incarnation,
            tokens_per_second: tokens_per_second.round() as u32,
        };
        state.targets.record_pace(&pace, Instant::now());
        drop(state);
        self.entry.report(pace);
    }

    /// Records that the engine has refused the request for lack of memory.
    pub fn record_no_room(&self) {
        self.record_full(&self.choice.target);
    }

    /// Records that the destination has refused the request's memory, and releases what was kept for it
    /// there.
    pub fn refuse_destination(&mut self) {
        if let Some((to, _)) = &self.destination {
            self.record_full(to);
        }
        self.release_destination();
    }

    fn record_full(&self, engine: &Target) {
        self.entry.allocator.record_no_room(engine);
        self.entry.report(AllocationReport::Full(engine.clone()));
    }

    /// Returns the tokens of memory to reserve at the engine: the prompt and the expected output,
    /// the latter up to `MAX_RESERVED_OUTPUT_TOKENS`.
    pub fn reservation_tokens(&self) -> u64 {
        self.need.prompt_tokens + self.need.output_tokens.min(MAX_RESERVED_OUTPUT_TOKENS)
    }

    /// Reassigns the request to an engine that is not in `avoid`, without waiting. Returns false if
    /// none has enough free memory.
    pub fn try_reassign(&mut self, avoid: &[Target]) -> bool {
        let now = Instant::now();
        let mut state = self.entry.state();
        let constraints = (Scope::Local, avoid);
        let choice = placement::choose(&state.targets, &self.need, constraints, &mut rng(), now);
        let Some(choice) = choice else {
            return false;
        };
        self.replace(
            &mut state.targets,
            choice.clone(),
            (self.need.prompt_tokens, 0),
        );
        drop(state);
        self.choice = choice;
        true
    }

    /// Reassigns the request to `target`, which already has the generation's memory, and chooses a
    /// new engine for the copy.
    pub fn switch_to(&mut self, target: Target) {
        let destination = self.destination.take().filter(|(to, _)| *to == target);
        let allocated_by = destination.map_or(0, |(_, allocated_by)| allocated_by);
        let now = Instant::now();
        let mut state = self.entry.state();
        let primary = state.targets.get(&target).filter(|_| self.need.wants_copy);
        let copy = primary.and_then(|primary| {
            let constraints = (Secondary::Copy, Scope::Local, primary, &[][..]);
            placement::choose_secondary(&state.targets, &self.need, constraints, &mut rng(), now)
        });
        state.targets.release(&target, self.run);
        let choice = Choice { target, copy };
        // The engine doesn't have to read the prompt again.
        self.replace(&mut state.targets, choice.clone(), (0, allocated_by));
        drop(state);
        self.choice = choice;
    }

    /// Returns the engine with the copy if the generation can continue there. An engine that is
    /// down can't be used, nor one that has been leaving for `MAX_LEAVING_TIME`, since it may end
    /// at any moment.
    pub fn usable_copy(&self) -> Option<Target> {
        let copy = self.choice.copy.as_ref()?;
        let now = Instant::now();
        let state = self.entry.state();
        let copy_state = state.targets.get(copy)?;
        let leaving_for = copy_state
            .leaving_since(now)
            .map(|since| now.saturating_duration_since(since));
        let is_usable = state
            .targets
            .is_within_cold_bound(copy_state, Scope::Local, now)
            && !copy_state.health.is_down(now)
            && !state.targets.is_evacuated(copy_state)
            && leaving_for.is_none_or(|age| age < MAX_LEAVING_TIME);
        is_usable.then(|| copy.clone())
    }

    /// Whether the engine stays, and whether the one with the copy does. An engine stays unless it
    /// is gone or leaving, or its zone is evacuated. Without a copy the second value is false.
    pub fn engines_stay(&self) -> (bool, bool) {
        let now = Instant::now();
        let state = self.entry.state();
        let stays = |target: &Target| {
            let known = state.targets.get(target);
            known.is_some_and(|known| state.targets.is_staying(known, now))
        };
        let copy = self.choice.copy.as_ref();
        (stays(&self.choice.target), copy.is_some_and(stays))
    }

    /// Describes a move off the present engine, to one that is not in `avoid`. Returns none if the
    /// present engine is gone, or if only its zone is evacuated and the generation ends soon.
    pub fn departure(&self, avoid: &[Target]) -> Option<Departure> {
        let state = self.entry.state();
        let from = state.targets.get(&self.choice.target)?;
        let claim = from.claims.get(&self.run);
        let tokens = claim.map_or(self.need.prompt_tokens, |claim| claim.tokens);
        let expected = self.need.total_tokens();
        let is_leaving = from.leaving_since(Instant::now()).is_some();
        if !is_leaving && expected.saturating_sub(tokens) < MIN_EVACUATION_TOKENS {
            return None;
        }
        Some(Departure {
            run: self.run,
            from: self.choice.target.clone(),
            need: Need {
                zone: from.instance.zone.clone(),
                ..self.need.clone()
            },
            tokens,
            avoid: avoid.to_vec(),
        })
    }

    /// Sets the engine to which the request may move, and the number of the host that allocated it.
    pub fn set_destination(&mut self, destination: (Target, u32)) {
        self.destination = Some(destination);
    }

    /// Releases the memory on the destination after a move has failed.
    pub fn release_destination(&mut self) {
        if let Some((to, _)) = self.destination.take() {
            self.entry.state().targets.release(&to, self.run);
            self.entry.report(AllocationReport::Moved(self.run, false));
        }
    }

    /// Releases the memory on the present engines and claims it on those of `choice` instead. The
    /// new engine has to read `prompt` tokens. `allocated_by` is the number of the host that
    /// allocated the new engines, 0 for this one.
    fn replace(&self, targets: &mut Targets, choice: Choice, (prompt, allocated_by): (u64, u32)) {
        targets.release(&self.choice.target, self.run);
        if let Some(copy) = &self.choice.copy {
            targets.release(copy, self.run);
        }
        let now = Instant::now();
        claim(targets, self.run, &self.need, &choice, now);
        if allocated_by == 0 {
            targets.charge_limit(&choice.target, Scope::Local, now);
        }
        self.entry.record_sent(
            targets,
            self.run,
            (&choice, allocated_by),
            (&self.need, prompt),
        );
        self.entry.report(match allocated_by {
            0 => AllocationReport::Ended(self.run),
            _ => AllocationReport::Moved(self.run, true),
        });
    }
}

impl Drop for Allocation {
    fn drop(&mut self) {
        self.entry.running.remove(self.run);
        self.entry.allocator.release(self.run);
        self.entry.report(AllocationReport::Ended(self.run));
    }
}
