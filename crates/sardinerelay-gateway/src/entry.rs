//! What all requests on an entry host share.

use {
    crate::{
        board::{Board, Instance},
        budget::Budget,
        dialect::Dialect,
        feed,
        forecast::Forecast,
        gate::{Decision, Gate, Refusal, Ticket, Waiting},
        group::Note,
        metrics::Metrics,
        placement::{self, Choice, Need},
        pool::Pool,
        settings,
        table::Table,
        targets::{Change, Held, RunId, Targets},
    },
    arc_swap::ArcSwapOption,
    log::info,
    sardinerelay::id::{Organisation, Service, Target},
    sardinerelayd::stop::Drain,
    std::{
        collections::HashMap,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        sync::{mpsc::UnboundedSender, oneshot},
        time::sleep,
    },
};

/// Interval in which waiting requests are looked at without an event.
const LOOK: Duration = Duration::from_millis(40);
/// Interval of the pool's cleaning.
const CLEAN: Duration = Duration::from_secs(1);
/// Entry hosts that are assumed before their number was told.
const ASSUMED_ENTRIES: u32 = 100;

/// Time for which an engine that is known to leave is still sent generations that go on there.
/// It is well below the time that the platform lets a leaving target work.
const LEAVING_USED: Duration = Duration::from_millis(1000);

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
    state: Mutex<State>,
    next_run: AtomicU64,
    notes: UnboundedSender<Note>,
}

/// State that decisions are made from.
#[derive(Debug, Default)]
pub struct State {
    /// Targets.
    pub targets: Targets,
    /// Lengths of generations.
    pub forecast: Forecast,
    gate: Gate,
    placed: HashMap<Ticket, oneshot::Sender<Decision>>,
    budgets: HashMap<Service, Budget>,
}

/// A request's place among the running ones. It is given up when this is dropped.
#[derive(Debug)]
pub struct Place {
    entry: Arc<Entry>,
    /// The request's number.
    pub run: RunId,
    organisation: Organisation,
    /// Where it runs, and who keeps a copy.
    pub choice: Choice,
    need: Need,
}

/// A request that waits. It is withdrawn when this is dropped, unless its place was taken over.
struct Wait<'a> {
    entry: &'a Arc<Entry>,
    ticket: Ticket,
    organisation: Organisation,
    taken_over: bool,
}

impl Entry {
    /// The state of a host that has started.
    ///
    /// `notes` tells other hosts what this one sends to engines.
    pub fn new(
        settings: settings::Entry,
        dialect: Dialect,
        metrics: Metrics,
        notes: UnboundedSender<Note>,
    ) -> Self {
        Self {
            notes,
            settings,
            dialect,
            table: ArcSwapOption::empty(),
            pool: Pool::default(),
            metrics,
            drain: Drain::default(),
            state: Mutex::default(),
            next_run: AtomicU64::new(1),
        }
    }

    /// The state. Nobody holds it for longer than a decision takes.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A number for a request.
    pub fn run_id(&self) -> RunId {
        self.next_run.fetch_add(1, Ordering::Relaxed)
    }

    /// Takes over a board.
    pub fn merge(&self, board: &Board) {
        let now = Instant::now();
        let mut state = self.state();
        let changes = state.targets.merge(board, now);
        for change in &changes {
            match change {
                Change::Joined(target) => info!(target_id = target.as_str(); "target listed"),
                Change::Leaving(target) => {
                    info!(target_id = target.as_str(), list_age_ms = board.list_age_ms; "target leaves");
                }
                Change::Gone(target) => {
                    info!(target_id = target.as_str(), list_age_ms = board.list_age_ms; "target gone");
                }
            }
        }
        self.decide(&mut state, now);
    }

    /// Waits for room and takes it.
    ///
    /// # Errors
    ///
    /// The refusal, and when the caller should come back.
    pub async fn acquire(
        self: &Arc<Self>,
        need: Need,
        organisation: Organisation,
        until: Instant,
    ) -> Result<Place, (Refusal, Duration)> {
        let now = Instant::now();
        let ticket = self.run_id();
        let (reply, decided) = oneshot::channel();
        {
            let mut state = self.state();
            let waiting = Waiting {
                ticket,
                need: need.clone(),
                organisation: organisation.clone(),
                arrived: now,
                until,
            };
            state.gate.offer(waiting, now)?;
            state.placed.insert(ticket, reply);
            self.decide(&mut state, now);
        }
        let mut wait = Wait {
            entry: self,
            ticket,
            organisation: organisation.clone(),
            taken_over: false,
        };
        match decided.await {
            Ok(Decision::Placed(choice)) => {
                wait.taken_over = true;
                Ok(Place {
                    entry: Arc::clone(self),
                    run: ticket,
                    organisation,
                    choice,
                    need,
                })
            }
            Ok(Decision::Refused(refusal, retry)) => Err((refusal, retry)),
            // The gate answers every ticket that it doesn't withdraw.
            Err(_) => Err((Refusal::Expired, LOOK)),
        }
    }

    /// Counts a first attempt at a service.
    pub fn count_request(&self, service: &Service) {
        self.budget(&mut self.state(), service)
            .request(Instant::now());
    }

    /// Takes one repeat of the service's budget.
    pub fn may_repeat(&self, service: &Service) -> bool {
        let mut state = self.state();
        let entries = match state.targets.entries() {
            0 => ASSUMED_ENTRIES,
            entries => entries,
        };
        self.budget(&mut state, service)
            .repeat(entries, Instant::now())
    }

    fn budget<'a>(&self, state: &'a mut State, service: &Service) -> &'a mut Budget {
        let limit = self.settings.retries;
        let budget = state.budgets.entry(service.clone());
        budget.or_insert_with(|| Budget::new(limit, Instant::now()))
    }

    /// The platform's entry for a target.
    pub fn instance(&self, target: &str) -> Option<Instance> {
        let state = self.state();
        state
            .targets
            .get(target)
            .map(|state| state.instance.clone())
    }

    /// Looks at waiting requests and cleans up, for ever.
    pub async fn run(self: Arc<Self>) {
        let mut cleaned = Instant::now();
        loop {
            sleep(LOOK).await;
            let now = Instant::now();
            let mut state = self.state();
            if !state.gate.is_empty() {
                self.decide(&mut state, now);
            }
            if now.saturating_duration_since(cleaned) > CLEAN {
                cleaned = now;
                let targets = &state.targets;
                self.pool.keep(|target| targets.get(target).is_some());
            }
        }
    }

    /// Counts a generation that is sent to an engine, which has to read `prompt` tokens for it, and
    /// tells other hosts of it and its copy.
    fn note(
        &self,
        targets: &mut Targets,
        choice: &Choice,
        (need, prompt): (&Need, u64),
        now: Instant,
    ) {
        targets.reads(&choice.target, prompt, now);
        self.tell(&choice.target, need, prompt);
        if let Some(copy) = &choice.copy {
            self.tell(copy, need, 0);
        }
    }

    fn tell(&self, target: &Target, need: &Need, prompt: u64) {
        let note = Note {
            from: feed::name(&self.settings.common.host),
            target: target.clone(),
            prompt: u32::try_from(prompt).unwrap_or(u32::MAX),
            memory: u32::try_from(need.prompt + need.output).unwrap_or(u32::MAX),
        };
        // Without a reader the process is ending.
        let _ = self.notes.send(note);
    }

    /// Takes over what other hosts sent to engines.
    pub fn heard<'a, Notes>(&self, notes: Notes)
    where
        Notes: Iterator<Item = &'a Note>,
    {
        let now = Instant::now();
        let mut state = self.state();
        for note in notes {
            let target = note.target.as_str();
            state.targets.reads(target, u64::from(note.prompt), now);
            state
                .targets
                .others_sent(target, u64::from(note.memory), now);
        }
    }

    fn decide(&self, state: &mut State, now: Instant) {
        let zone = &self.settings.common.zone;
        let State {
            targets,
            gate,
            placed,
            ..
        } = state;
        let decisions = gate.decide(now, |waiting| {
            let need = &waiting.need;
            let choice = placement::choose(targets, need, (zone, &[]), &mut rand::rng(), now)?;
            // Held at once, so that the next placement sees it.
            hold(targets, waiting.ticket, need, &choice, now);
            self.note(targets, &choice, (need, need.prompt), now);
            Some(choice)
        });
        for (ticket, decision) in decisions {
            if let Some(reply) = placed.remove(&ticket) {
                // Whoever stops waiting gives up what was placed for it.
                let _ = reply.send(decision);
            }
        }
    }
}

fn hold(targets: &mut Targets, run: RunId, need: &Need, choice: &Choice, now: Instant) {
    let held = Held {
        tokens: need.prompt,
        expected: need.prompt + need.output,
        since: now,
        runs: true,
    };
    targets.hold(&choice.target, run, held);
    if let Some(copy) = &choice.copy {
        let held = Held {
            runs: false,
            ..held
        };
        targets.hold(copy, run, held);
    }
}

impl Place {
    /// Records how much memory the request holds by now.
    pub fn progress(&self, output: u64) {
        let tokens = self.need.prompt + output;
        let mut state = self.entry.state();
        state
            .targets
            .progress(&self.choice.target, self.run, tokens);
        if let Some(copy) = &self.choice.copy {
            state.targets.progress(copy, self.run, tokens);
        }
    }

    /// Chooses another engine, without waiting.
    pub fn move_elsewhere(&mut self, avoid: &[Target]) -> bool {
        let now = Instant::now();
        let zone = &self.entry.settings.common.zone;
        let mut state = self.entry.state();
        let place = (zone, avoid);
        let choice = placement::choose(&state.targets, &self.need, place, &mut rand::rng(), now);
        let Some(choice) = choice else {
            return false;
        };
        self.give_up(&mut state.targets);
        hold(&mut state.targets, self.run, &self.need, &choice, now);
        let prompt = (&self.need, self.need.prompt);
        self.entry.note(&mut state.targets, &choice, prompt, now);
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
            let place = (&self.entry.settings.common.zone, primary, &[][..]);
            placement::choose_copy(&state.targets, &self.need, place, &mut rand::rng(), now)
        });
        self.give_up(&mut state.targets);
        state.targets.release(&target, self.run);
        let choice = Choice { target, copy };
        hold(&mut state.targets, self.run, &self.need, &choice, now);
        // It has the prompt already.
        self.entry
            .note(&mut state.targets, &choice, (&self.need, 0), now);
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
            .leaving
            .map(|since| now.saturating_duration_since(since));
        let sound = !seen.health.is_down(now) && leaving.is_none_or(|age| age < LEAVING_USED);
        sound.then(|| copy.clone())
    }

    /// Whether its engine, and the one with the copy, stay. Without a copy the latter is false.
    pub fn stays(&self) -> (bool, bool) {
        let state = self.entry.state();
        let stays = |target: &Target| {
            let seen = state.targets.get(target);
            seen.is_some_and(|seen| seen.leaving.is_none())
        };
        let copy = self.choice.copy.as_ref();
        (stays(&self.choice.target), copy.is_some_and(stays))
    }

    /// Records that another engine has a copy now.
    pub fn copied_to(&mut self, target: Target) {
        if let Some(old) = self.choice.copy.replace(target.clone())
            && old != target
        {
            self.entry.state().targets.release(&old, self.run);
        }
    }

    /// Chooses an engine for a copy, other than those in `avoid`, and keeps room there.
    pub fn plan_copy(&self, avoid: &[Target]) -> Option<Target> {
        let now = Instant::now();
        let mut state = self.entry.state();
        let primary = state.targets.get(&self.choice.target)?;
        let place = (&self.entry.settings.common.zone, primary, avoid);
        let targets = &state.targets;
        let target = placement::choose_copy(targets, &self.need, place, &mut rand::rng(), now)?;
        let held = Held {
            tokens: self.need.prompt,
            expected: self.need.prompt + self.need.output,
            since: now,
            runs: false,
        };
        state.targets.hold(&target, self.run, held);
        Some(target)
    }

    /// Gives up the room on an engine that got no copy.
    pub fn drop_copy(&self, target: &Target) {
        self.entry.state().targets.release(target, self.run);
    }

    fn give_up(&self, targets: &mut Targets) {
        targets.release(&self.choice.target, self.run);
        if let Some(copy) = &self.choice.copy {
            targets.release(copy, self.run);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.entry.state();
        self.give_up(&mut state.targets);
        state.gate.ended(&self.organisation);
        self.entry.decide(&mut state, Instant::now());
    }
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        if self.taken_over {
            return;
        }
        let mut state = self.entry.state();
        state.gate.withdraw(self.ticket);
        state.placed.remove(&self.ticket);
        if state.targets.release_everywhere(self.ticket) {
            state.gate.ended(&self.organisation);
        }
    }
}
