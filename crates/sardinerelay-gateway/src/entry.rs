//! What all requests on an entry host share.

use {
    crate::{
        admission::Refusal,
        allocator::{Allocator, Reply, Scope, State, claim, claim_for_move},
        budget::Budget,
        codec::Codec,
        forecast::Forecast,
        group::{Note, Report},
        metrics::Metrics,
        moves::Departure,
        observations::Instance,
        placement::{self, Choice, Need, Secondary},
        pool::Pool,
        remote::RemoteAllocator,
        settings,
        table::Table,
        targets::{RunId, Targets},
    },
    arc_swap::ArcSwapOption,
    rand::rng,
    sardinerelay::id::{Service, Target},
    sardinerelayd::stop::Drain,
    std::{
        collections::HashMap,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{sync::mpsc::UnboundedSender, time::sleep},
};

/// Interval of the pool's cleaning.
const CLEAN: Duration = Duration::from_secs(1);
/// Entry hosts that are assumed before their number was told.
const ASSUMED_ENTRIES: u32 = 100;
/// Time for which an engine that is known to leave is still sent generations that go on there.
/// It is well below the time that the platform lets a leaving target work.
const LEAVING_USED: Duration = Duration::from_millis(1000);
/// Tokens of output that are reserved at an engine together with the prompt. They are more than it
/// makes in the two seconds of a reservation, so that those beside it can grow without displacing one.
const RESERVED_OUTPUT: u64 = 1000;
/// Bits of a request's number that count; those above them are drawn at the start, so that numbers
/// differ between processes.
const COUNTING_BITS: u32 = 32;

/// The shared state.
#[derive(Debug)]
pub struct EntryHost {
    /// The settings.
    pub settings: settings::Entry,
    /// The wire.
    pub codec: Codec,
    /// The configuration in force.
    pub table: ArcSwapOption<Table>,
    /// Kept connections.
    pub pool: Pool,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The planned stop.
    pub drain: Drain,
    /// Targets, and places while the group's allocator can't be reached.
    pub allocator: Allocator,
    /// The group's allocator.
    pub remote: RemoteAllocator,
    forecast: Mutex<Forecast>,
    budgets: Mutex<HashMap<Service, Budget>>,
    next_run: AtomicU64,
    outgoing: UnboundedSender<Report>,
}

/// A request's place among the running ones. It is given up when this is dropped.
#[derive(Debug)]
pub struct Allocation {
    entry: Arc<EntryHost>,
    /// The request's number.
    pub run: RunId,
    /// Where it runs, and who keeps a copy.
    pub choice: Choice,
    need: Need,
    /// Where it may move, and the host that allocated that.
    destination: Option<(Target, u32)>,
}

/// A request that waits. It is withdrawn when this is dropped, unless its place was taken over.
struct Wait<'a> {
    entry: &'a EntryHost,
    run: RunId,
    taken_over: bool,
}

impl EntryHost {
    /// The state of a host that has started.
    ///
    /// `outgoing` tells the allocating host what becomes of places.
    pub fn new(
        settings: settings::Entry,
        codec: Codec,
        metrics: Metrics,
        outgoing: UnboundedSender<Report>,
    ) -> Self {
        let prefix = u64::from(rand::random::<u32>()) << COUNTING_BITS;
        Self {
            outgoing,
            settings,
            codec,
            table: ArcSwapOption::empty(),
            pool: Pool::default(),
            metrics,
            drain: Drain::default(),
            allocator: Allocator::new(Scope::Local),
            remote: RemoteAllocator::default(),
            forecast: Mutex::default(),
            budgets: Mutex::default(),
            next_run: AtomicU64::new(prefix),
        }
    }

    /// What is known of targets.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.allocator.state()
    }

    /// Lengths of generations.
    pub fn forecast(&self) -> MutexGuard<'_, Forecast> {
        self.forecast.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A number for a request.
    pub fn next_run_id(&self) -> RunId {
        self.next_run.fetch_add(1, Ordering::Relaxed)
    }

    /// Waits for room and takes it.
    ///
    /// # Errors
    ///
    /// The refusal, and when the caller should come back.
    pub async fn acquire(
        self: &Arc<Self>,
        need: Need,
        until: Instant,
    ) -> Result<Allocation, (Refusal, Duration)> {
        let run = self.next_run_id();
        let mut wait = Wait {
            entry: self,
            run,
            taken_over: false,
        };
        let (answer, by) = match self.remote.acquire(run, &need, until).await {
            Some((answer, by)) => (answer, by),
            None => (self.acquire_here(run, &need, until).await, 0),
        };
        match answer {
            Reply::Placed(choice, instances) => {
                wait.taken_over = true;
                let mut state = self.state();
                state.targets.add_missing(instances, Instant::now());
                claim(&mut state.targets, run, &need, &choice, Instant::now());
                self.note(&mut state.targets, run, (&choice, by), (&need, need.prompt));
                drop(state);
                Ok(Allocation {
                    entry: Arc::clone(self),
                    run,
                    choice,
                    need,
                    destination: None,
                })
            }
            Reply::Refused(refusal, retry) => Err((refusal, retry)),
            Reply::Waiting => Err((Refusal::Expired, placement::MIN_RETRY_AFTER)),
        }
    }

    /// Allocates without the group, of which no host can be reached.
    async fn acquire_here(&self, run: RunId, need: &Need, until: Instant) -> Reply {
        let left = until.saturating_duration_since(Instant::now());
        let answer = self.allocator.acquire(run, need.clone(), until, left);
        answer.await
    }

    /// Waits for an engine to which a generation moves, and for its turn. Returns the engine and a
    /// number for the host that allocated it.
    pub async fn relocate(self: Arc<Self>, departure: Departure) -> Option<(Target, u32)> {
        let now = Instant::now();
        let Some((answer, by)) = self.remote.relocate(&departure).await else {
            return self.relocate_here(&departure, now).map(|to| (to, 0));
        };
        let Reply::Placed(choice, instances) = answer else {
            return None;
        };
        let mut state = self.state();
        state.targets.add_missing(instances, now);
        claim_for_move(&mut state.targets, &departure, &choice.target, now);
        Some((choice.target, by))
    }

    /// Allocates a move without the group, of which no host can be reached.
    fn relocate_here(&self, departure: &Departure, now: Instant) -> Option<Target> {
        let mut state = self.state();
        let from = state.targets.get(&departure.from)?;
        let place = (Secondary::Move, Scope::Local, from, &departure.avoid[..]);
        let to =
            placement::choose_secondary(&state.targets, &departure.need, place, &mut rng(), now)?;
        claim_for_move(&mut state.targets, departure, &to, now);
        self.tell((&to, 0), &departure.need, 0);
        Some(to)
    }

    /// Counts a first attempt at a service.
    pub fn record_first_attempt(&self, service: &Service) {
        self.with_budget(service, |budget| budget.record_request(Instant::now()));
    }

    /// Takes one repeat of the service's budget.
    pub fn try_take_retry(&self, service: &Service) -> bool {
        let entries = match self.state().targets.entry_hosts() {
            0 => ASSUMED_ENTRIES,
            entries => entries,
        };
        self.with_budget(service, |budget| {
            budget.try_take_retry(entries, Instant::now())
        })
    }

    fn with_budget<Use, Output>(&self, service: &Service, with: Use) -> Output
    where
        Use: FnOnce(&mut Budget) -> Output,
    {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let limit = self.settings.retries;
        let budget = budgets.entry(service.clone());
        with(budget.or_insert_with(|| Budget::new(limit, Instant::now())))
    }

    /// The platform's entry for a target.
    pub fn instance(&self, target: &str) -> Option<Instance> {
        let state = self.state();
        state
            .targets
            .get(target)
            .map(|state| state.instance.clone())
    }

    /// Cleans up, for ever.
    pub async fn run_cleanup(self: Arc<Self>) {
        loop {
            sleep(CLEAN).await;
            let state = self.state();
            let targets = &state.targets;
            self.pool
                .retain_targets(|target| targets.get(target).is_some());
        }
    }

    /// Counts a generation that is sent to an engine, which has to read `prompt` tokens for it, and
    /// tells the allocating host of it and its copy, unless that is the one, `by`, that gave it.
    fn note(
        &self,
        targets: &mut Targets,
        run: RunId,
        choice: (&Choice, u32),
        (need, prompt): (&Need, u64),
    ) {
        let (choice, by) = choice;
        if prompt > 0 {
            targets.record_sent(&choice.target, run, prompt, Instant::now());
        }
        self.tell((&choice.target, by), need, prompt);
        if let Some(copy) = &choice.copy {
            self.tell((copy, by), need, 0);
        }
    }

    /// Tells of a place that no other host gave.
    fn tell(&self, (target, by): (&Target, u32), need: &Need, prompt: u64) {
        if by == 0 {
            self.report(Report::Sent(Note {
                target: target.clone(),
                prompt: u32::try_from(prompt).unwrap_or(u32::MAX),
                memory: u32::try_from(need.prompt + need.output).unwrap_or(u32::MAX),
            }));
        }
    }

    fn report(&self, report: Report) {
        // Without a reader the process is ending.
        let _ = self.outgoing.send(report);
    }
}

impl Allocation {
    /// Records that the prompt was read: the first event has come.
    pub fn record_started(&self) {
        self.entry.allocator.record_prompt_read(self.run);
        self.entry.report(Report::Started(self.run));
    }

    /// Records how much memory the request holds by now.
    pub fn record_progress(&self, output: u64) {
        let now = Instant::now();
        let tokens = self.need.prompt + output;
        let mut state = self.entry.state();
        state
            .targets
            .record_progress(&self.choice.target, self.run, tokens, now);
        if let Some(copy) = &self.choice.copy {
            state.targets.record_progress(copy, self.run, tokens, now);
        }
    }

    /// Records that its engine has no room.
    pub fn record_no_room(&self) {
        let target = &self.choice.target;
        self.entry
            .state()
            .targets
            .record_no_room(target, Instant::now());
        self.entry.report(Report::Full(target.clone()));
    }

    /// Tokens that are to be reserved at its engine.
    pub fn reservation_tokens(&self) -> u64 {
        self.need.prompt + self.need.output.min(RESERVED_OUTPUT)
    }

    /// Chooses another engine, without waiting.
    pub fn try_reassign(&mut self, avoid: &[Target]) -> bool {
        let now = Instant::now();
        let mut state = self.entry.state();
        let place = (Scope::Local, avoid);
        let choice = placement::choose(&state.targets, &self.need, place, &mut rng(), now);
        let Some(choice) = choice else {
            return false;
        };
        self.take(&mut state.targets, choice.clone(), (self.need.prompt, 0));
        drop(state);
        self.choice = choice;
        true
    }

    /// Makes another engine, which has the memory, the one that runs the request, and chooses a new
    /// one for the next copy.
    pub fn switch_to(&mut self, target: Target) {
        let destination = self.destination.take().filter(|(to, _)| *to == target);
        let by = destination.map_or(0, |(_, by)| by);
        let now = Instant::now();
        let mut state = self.entry.state();
        let primary = state.targets.get(&target).filter(|_| self.need.copy);
        let copy = primary.and_then(|primary| {
            let place = (Secondary::Copy, Scope::Local, primary, &[][..]);
            placement::choose_secondary(&state.targets, &self.need, place, &mut rng(), now)
        });
        state.targets.release(&target, self.run);
        let choice = Choice { target, copy };
        // It has the prompt already.
        self.take(&mut state.targets, choice.clone(), (0, by));
        drop(state);
        self.choice = choice;
    }

    /// The engine with the copy, if it can be relied on: an engine that has been leaving for a
    /// while may end at any moment.
    pub fn usable_copy(&self) -> Option<Target> {
        let copy = self.choice.copy.as_ref()?;
        let now = Instant::now();
        let state = self.entry.state();
        let seen = state.targets.get(copy)?;
        let leaving = seen
            .leaving_since(now)
            .map(|since| now.saturating_duration_since(since));
        let sound = !seen.health.is_down(now) && leaving.is_none_or(|age| age < LEAVING_USED);
        sound.then(|| copy.clone())
    }

    /// Whether its engine, and the one with the copy, stay. Without a copy the latter is false.
    pub fn engines_stay(&self) -> (bool, bool) {
        let now = Instant::now();
        let state = self.entry.state();
        let stays = |target: &Target| {
            let seen = state.targets.get(target);
            seen.is_some_and(|seen| seen.leaving_since(now).is_none())
        };
        let copy = self.choice.copy.as_ref();
        (stays(&self.choice.target), copy.is_some_and(stays))
    }

    /// What has to be known to move the request to another engine than those in `avoid`.
    pub fn departure(&self, avoid: &[Target]) -> Option<Departure> {
        let state = self.entry.state();
        let from = state.targets.get(&self.choice.target)?;
        let held = from.claims.get(&self.run);
        Some(Departure {
            run: self.run,
            from: self.choice.target.clone(),
            need: Need {
                zone: from.instance.zone.clone(),
                ..self.need.clone()
            },
            tokens: held.map_or(self.need.prompt, |held| held.tokens),
            avoid: avoid.to_vec(),
        })
    }

    /// Records where the request may move.
    pub fn set_destination(&mut self, destination: (Target, u32)) {
        self.destination = Some(destination);
    }

    /// Gives up the room on the engine to which the request was not moved.
    pub fn release_destination(&mut self) {
        if let Some((to, _)) = self.destination.take() {
            self.entry.state().targets.release(&to, self.run);
            self.entry.report(Report::Moved(self.run, false));
        }
    }

    /// Takes another place instead of the present one, for which `prompt` tokens have to be read.
    /// `by` is the host that allocated it, 0 if this one did.
    fn take(&self, targets: &mut Targets, choice: Choice, (prompt, by): (u64, u32)) {
        targets.release(&self.choice.target, self.run);
        if let Some(copy) = &self.choice.copy {
            targets.release(copy, self.run);
        }
        claim(targets, self.run, &self.need, &choice, Instant::now());
        self.entry
            .note(targets, self.run, (&choice, by), (&self.need, prompt));
        self.entry.report(match by {
            0 => Report::Ended(self.run),
            _ => Report::Moved(self.run, true),
        });
    }
}

impl Drop for Allocation {
    fn drop(&mut self) {
        self.entry.allocator.release(self.run);
        self.entry.report(Report::Ended(self.run));
    }
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        if !self.taken_over {
            self.entry.allocator.release(self.run);
            self.entry.report(Report::Ended(self.run));
        }
    }
}
