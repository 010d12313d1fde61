//! What all requests on an entry host share.

use {
    crate::{
        allocator::{Allocator, Answer, Scope, State, hold},
        board::Instance,
        budget::Budget,
        dialect::Dialect,
        feed::{self, Outgoing},
        forecast::Forecast,
        gate::Refusal,
        group::{Note, Report},
        metrics::Metrics,
        placement::{self, Choice, Need},
        pool::Pool,
        remote::Remote,
        settings,
        table::Table,
        targets::{Held, RunId, Targets},
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
/// Tokens of output that are reserved at an engine together with the prompt. A reservation lasts for
/// two seconds, in which a generation makes about as many.
const RESERVED_OUTPUT: u64 = 200;
/// Bits of a request's number that count; those above them are drawn at the start, so that numbers
/// differ between processes.
const COUNTING_BITS: u32 = 32;

/// The shared state.
#[derive(Debug)]
pub struct Entry {
    /// The settings.
    pub settings: settings::Entry,
    /// The wire.
    pub dialect: Dialect,
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
    pub remote: Remote,
    forecast: Mutex<Forecast>,
    budgets: Mutex<HashMap<Service, Budget>>,
    next_run: AtomicU64,
    outgoing: UnboundedSender<Outgoing>,
}

/// A request's place among the running ones. It is given up when this is dropped.
#[derive(Debug)]
pub struct Place {
    entry: Arc<Entry>,
    /// The request's number.
    pub run: RunId,
    /// Where it runs, and who keeps a copy.
    pub choice: Choice,
    need: Need,
}

/// A request that waits. It is withdrawn when this is dropped, unless its place was taken over.
struct Wait<'a> {
    entry: &'a Entry,
    run: RunId,
    taken_over: bool,
}

impl Entry {
    /// The state of a host that has started.
    ///
    /// `outgoing` tells other hosts what this one sends to engines.
    pub fn new(
        settings: settings::Entry,
        dialect: Dialect,
        metrics: Metrics,
        outgoing: UnboundedSender<Outgoing>,
    ) -> Self {
        let prefix = u64::from(rand::random::<u32>()) << COUNTING_BITS;
        Self {
            outgoing,
            settings,
            dialect,
            table: ArcSwapOption::empty(),
            pool: Pool::default(),
            metrics,
            drain: Drain::default(),
            allocator: Allocator::new(Scope::Own),
            remote: Remote::default(),
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
    pub fn run_id(&self) -> RunId {
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
    ) -> Result<Place, (Refusal, Duration)> {
        let run = self.run_id();
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
            Answer::Placed(choice, instances) => {
                wait.taken_over = true;
                let mut state = self.state();
                state.targets.learn(instances, Instant::now());
                hold(&mut state.targets, run, &need, &choice, Instant::now());
                self.note(&mut state.targets, run, (&choice, by), (&need, need.prompt));
                drop(state);
                Ok(Place {
                    entry: Arc::clone(self),
                    run,
                    choice,
                    need,
                })
            }
            Answer::Refused(refusal, retry) => Err((refusal, retry)),
            Answer::Waiting => Err((Refusal::Expired, placement::LEAST_RETRY)),
        }
    }

    /// Allocates without the group, of which no host can be reached.
    async fn acquire_here(&self, run: RunId, need: &Need, until: Instant) -> Answer {
        let left = until.saturating_duration_since(Instant::now());
        let answer = self.allocator.acquire(run, need.clone(), until, left);
        answer.await
    }

    /// Counts a first attempt at a service.
    pub fn count_request(&self, service: &Service) {
        self.with_budget(service, |budget| budget.request(Instant::now()));
    }

    /// Takes one repeat of the service's budget.
    pub fn may_repeat(&self, service: &Service) -> bool {
        let entries = match self.state().targets.entries() {
            0 => ASSUMED_ENTRIES,
            entries => entries,
        };
        self.with_budget(service, |budget| budget.repeat(entries, Instant::now()))
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
    pub async fn run(self: Arc<Self>) {
        loop {
            sleep(CLEAN).await;
            let state = self.state();
            let targets = &state.targets;
            self.pool.keep(|target| targets.get(target).is_some());
        }
    }

    /// Counts a generation that is sent to an engine, which has to read `prompt` tokens for it, and
    /// tells other hosts of it and its copy. `by` is the host that allocated it.
    fn note(
        &self,
        targets: &mut Targets,
        run: RunId,
        choice: (&Choice, u32),
        (need, prompt): (&Need, u64),
    ) {
        let (choice, by) = choice;
        if prompt > 0 {
            targets.sent(&choice.target, run, prompt, Instant::now());
        }
        self.tell((&choice.target, by), need, prompt);
        if let Some(copy) = &choice.copy {
            self.tell((copy, by), need, 0);
        }
    }

    fn tell(&self, (target, by): (&Target, u32), need: &Need, prompt: u64) {
        let note = Note {
            from: feed::name(&self.settings.common.host),
            target: target.clone(),
            prompt: u32::try_from(prompt).unwrap_or(u32::MAX),
            memory: u32::try_from(need.prompt + need.output).unwrap_or(u32::MAX),
            by,
        };
        // Without a reader the process is ending, here and below.
        let _ = self.outgoing.send(Outgoing::Note(note));
    }

    fn report(&self, report: Report) {
        let _ = self.outgoing.send(Outgoing::Report(report));
    }
}

impl Place {
    /// Records that the prompt was read: the first event has come.
    pub fn started(&self) {
        self.entry.allocator.started(self.run);
        self.entry.report(Report::Started(self.run));
    }

    /// Records how much memory the request holds by now.
    pub fn progress(&self, output: u64) {
        let now = Instant::now();
        let tokens = self.need.prompt + output;
        let mut state = self.entry.state();
        state
            .targets
            .progress(&self.choice.target, self.run, tokens, now);
        if let Some(copy) = &self.choice.copy {
            state.targets.progress(copy, self.run, tokens, now);
        }
    }

    /// Records that its engine has no room.
    pub fn full(&self) {
        let target = &self.choice.target;
        self.entry.state().targets.full(target, Instant::now());
        self.entry.report(Report::Full(target.clone()));
    }

    /// Tokens that are to be reserved at its engine.
    pub fn reserved(&self) -> u64 {
        self.need.prompt + self.need.output.min(RESERVED_OUTPUT)
    }

    /// Chooses another engine, without waiting.
    pub fn move_elsewhere(&mut self, avoid: &[Target]) -> bool {
        let now = Instant::now();
        let mut state = self.entry.state();
        let place = (Scope::Own, avoid);
        let choice = placement::choose(&state.targets, &self.need, place, &mut rng(), now);
        let Some(choice) = choice else {
            return false;
        };
        self.take(&mut state.targets, choice.clone(), self.need.prompt);
        drop(state);
        self.choice = choice;
        true
    }

    /// Makes another engine, which has a copy of the memory, the one that runs the request, and
    /// chooses a new one for the next copy.
    pub fn switch_to(&mut self, target: Target) {
        let now = Instant::now();
        let mut state = self.entry.state();
        let primary = state.targets.get(&target).filter(|_| self.need.copy);
        let copy = primary.and_then(|primary| {
            let place = (Scope::Own, primary, &[][..]);
            placement::choose_copy(&state.targets, &self.need, place, &mut rng(), now)
        });
        state.targets.release(&target, self.run);
        let choice = Choice { target, copy };
        // It has the prompt already.
        self.take(&mut state.targets, choice.clone(), 0);
        drop(state);
        self.choice = choice;
    }

    /// The engine with the copy, if it can be relied on: an engine that has been leaving for a
    /// while may end at any moment.
    pub fn sound_copy(&self) -> Option<Target> {
        let copy = self.choice.copy.as_ref()?;
        let now = Instant::now();
        let state = self.entry.state();
        let seen = state.targets.get(copy)?;
        let leaving = seen
            .leaves(now)
            .map(|since| now.saturating_duration_since(since));
        let sound = !seen.health.is_down(now) && leaving.is_none_or(|age| age < LEAVING_USED);
        sound.then(|| copy.clone())
    }

    /// Whether its engine, and the one with the copy, stay. Without a copy the latter is false.
    pub fn stays(&self) -> (bool, bool) {
        let now = Instant::now();
        let state = self.entry.state();
        let stays = |target: &Target| {
            let seen = state.targets.get(target);
            seen.is_some_and(|seen| seen.leaves(now).is_none())
        };
        let copy = self.choice.copy.as_ref();
        (stays(&self.choice.target), copy.is_some_and(stays))
    }

    /// Chooses an engine to move to, other than those in `avoid`, and keeps room there.
    pub fn plan_move(&self, avoid: &[Target]) -> Option<Target> {
        let now = Instant::now();
        let mut state = self.entry.state();
        let primary = state.targets.get(&self.choice.target)?;
        let place = (Scope::Own, primary, avoid);
        // Memory moves twice as fast within a zone, and little time is left.
        let need = Need {
            zone: primary.instance.zone.clone(),
            ..self.need.clone()
        };
        let target = placement::choose_move(&state.targets, &need, place, &mut rng(), now)?;
        let held = Held {
            tokens: self.need.prompt,
            expected: self.need.prompt + self.need.output,
            since: now,
            recorded: now,
            runs: false,
        };
        state.targets.hold(&target, self.run, held);
        self.entry.tell((&target, 0), &self.need, 0);
        Some(target)
    }

    /// Gives up the room on an engine that the request was not moved to.
    pub fn drop_move(&self, target: &Target) {
        self.entry.state().targets.release(target, self.run);
    }

    /// Takes a place that this host chose itself, instead of the present one.
    fn take(&self, targets: &mut Targets, choice: Choice, prompt: u64) {
        targets.release(&self.choice.target, self.run);
        if let Some(copy) = &self.choice.copy {
            targets.release(copy, self.run);
        }
        hold(targets, self.run, &self.need, &choice, Instant::now());
        self.entry
            .note(targets, self.run, (&choice, 0), (&self.need, prompt));
        self.entry.report(Report::Ended(self.run));
    }
}

impl Drop for Place {
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
