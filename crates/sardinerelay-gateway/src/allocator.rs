//! Gives generations their engines.
//!
//! One host of the group allocates for all entry hosts, so that waiting requests form one queue
//! and no two hosts give away the same room. An entry host that can't reach it allocates for
//! itself, with an allocator of its own.
//!
//! Load pattern that it answers: more generations than fit wait on many hosts, and a load report
//! shows room on an engine. Each host alone would send its first waiting request there in the same
//! millisecond.

use {
    crate::{
        admission::{Decision, Queue, Refusal, Waiter},
        moves::{Departure, Moves},
        observations::{Instance, Observations},
        placement::{self, Choice, Need, Secondary},
        targets::{Change, MemoryClaim, RunId, Targets},
    },
    log::info,
    rand::rng,
    sardinerelay::id::Target,
    serde::{Deserialize, Serialize},
    std::{
        collections::HashMap,
        sync::{Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{
        sync::oneshot,
        time::{sleep, timeout},
    },
};

/// Interval in which waiting requests are looked at without an event.
const LOOK: Duration = Duration::from_millis(40);
/// Time for which a decision is kept for a host that doesn't wait for it at the moment.
const KEPT: Duration = Duration::from_millis(800);
/// Time after which a place is given up whose host has not said that it ended.
const MOST_HELD: Duration = Duration::from_secs(60);

/// What is answered to a request for a place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// It goes to an engine. The engines come along, because the caller may not know them yet.
    Placed(Choice, Vec<Instance>),
    /// It is refused and should come back after this time.
    Refused(Refusal, Duration),
    /// It still waits; asking again goes on with the same wait.
    Waiting,
}

impl Reply {
    /// A short name for metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Placed(..) => "placed",
            Self::Refused(..) => "refused",
            Self::Waiting => "waiting",
        }
    }
}

/// Whose view an allocator has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// All requests pass through it, so it knows what every engine got.
    Group,
    /// It knows of other hosts' requests only by hearsay.
    Local,
}

/// An allocator.
#[derive(Debug)]
pub struct Allocator {
    scope: Scope,
    state: Mutex<State>,
}

/// What an allocator decides from.
#[derive(Debug, Default)]
pub struct State {
    /// Targets.
    pub targets: Targets,
    queue: Queue,
    moves: Moves,
    asking: HashMap<RunId, oneshot::Sender<Decision>>,
    ready: HashMap<RunId, (Instant, Decision)>,
}

impl Allocator {
    /// An allocator that knows no target.
    pub fn new(scope: Scope) -> Self {
        Self {
            scope,
            state: Mutex::default(),
        }
    }

    /// The state. Nobody holds it for longer than a decision takes.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over a board.
    pub fn merge(&self, board: &Observations) {
        let now = Instant::now();
        let mut state = self.state();
        let changes = state.targets.merge(board, now);
        for change in &changes {
            log_change(change, board.list_age_ms);
        }
        self.decide(&mut state, now);
    }

    /// Asks for a place for the request `run`, which may wait until `until`. Waits for `wait` at
    /// most; asking again with the same number goes on with the same request.
    pub async fn acquire(&self, run: RunId, need: Need, until: Instant, wait: Duration) -> Reply {
        let now = Instant::now();
        let decided = {
            let mut state = self.state();
            if let Some((_, decision)) = state.ready.remove(&run) {
                return state.answer(decision);
            }
            if !state.queue.contains(run) {
                let waiting = Waiter {
                    run,
                    need,
                    arrived: now,
                    deadline: until,
                };
                if let Err((refusal, retry)) = state.queue.offer(waiting, now) {
                    return Reply::Refused(refusal, retry);
                }
            }
            self.ask(&mut state, run, now)
        };
        self.await_decision(run, decided, wait).await
    }

    /// Asks for an engine to which a generation moves whose engine is about to stop, and for its
    /// turn to move. Waits for `wait` at most; asking again goes on with the same move.
    pub async fn relocate(&self, departure: Departure, wait: Duration) -> Reply {
        let run = departure.run;
        let decided = {
            let mut state = self.state();
            if let Some((_, decision)) = state.ready.remove(&run) {
                return state.answer(decision);
            }
            if let Some(failed) = state.moves.request(departure, Instant::now()) {
                state.targets.release(&failed, run);
            }
            self.ask(&mut state, run, Instant::now())
        };
        self.await_decision(run, decided, wait).await
    }

    fn ask(&self, state: &mut State, run: RunId, now: Instant) -> oneshot::Receiver<Decision> {
        let (reply, decided) = oneshot::channel();
        state.asking.insert(run, reply);
        self.decide(state, now);
        decided
    }

    async fn await_decision(
        &self,
        run: RunId,
        decided: oneshot::Receiver<Decision>,
        wait: Duration,
    ) -> Reply {
        let decided = timeout(wait, decided).await;
        let mut state = self.state();
        if let Ok(Ok(decision)) = decided {
            return state.answer(decision);
        }
        state.asking.remove(&run);
        match state.ready.remove(&run) {
            Some((_, decision)) => state.answer(decision),
            None => Reply::Waiting,
        }
    }

    /// Gives up a request's place, or its wait.
    pub fn release(&self, run: RunId) {
        let now = Instant::now();
        let mut state = self.state();
        state.queue.withdraw(run);
        state.ready.remove(&run);
        state.asking.remove(&run);
        state.moves.remove(run);
        state.targets.release_everywhere(run);
        state.queue.record_end(run);
        self.decide(&mut state, now);
    }

    /// Records that a generation has moved, or could not be moved.
    pub fn finish_move(&self, run: RunId, arrived: bool) {
        let mut state = self.state();
        let Some(to) = state.moves.remove(run) else {
            return;
        };
        match arrived {
            true => state.targets.complete_move(&to, run),
            false => state.targets.release(&to, run),
        }
        self.decide(&mut state, Instant::now());
    }

    /// Records that a request's prompt was read.
    pub fn record_prompt_read(&self, run: RunId) {
        self.state().targets.record_prompt_read(run, Instant::now());
    }

    /// Looks at waiting requests and cleans up, for ever.
    pub async fn run_maintenance(&self) {
        loop {
            sleep(LOOK).await;
            let now = Instant::now();
            let mut state = self.state();
            if !state.queue.is_empty() || !state.moves.is_empty() {
                self.decide(&mut state, now);
            }
            let old = |at: &Instant| now.saturating_duration_since(*at) > KEPT;
            let unclaimed = state.ready.iter().filter(|(_, (at, _))| old(at));
            let unclaimed: Vec<RunId> = unclaimed.map(|(run, _)| *run).collect();
            for run in unclaimed {
                state.ready.remove(&run);
                match state.moves.remove(run) {
                    Some(to) => state.targets.release(&to, run),
                    None => {
                        state.targets.release_everywhere(run);
                        state.queue.record_end(run);
                    }
                }
            }
            for (run, to) in state.moves.expire(now) {
                if let Some(to) = to {
                    state.targets.release(&to, run);
                }
            }
            for run in state.targets.expire(MOST_HELD, now) {
                state.queue.record_end(run);
            }
        }
    }

    fn decide(&self, state: &mut State, now: Instant) {
        let State {
            targets,
            queue,
            moves,
            asking,
            ready,
        } = state;
        // What already runs goes before what is new.
        let moving = moves.decide(now, |departure| {
            let from = targets.get(&departure.from)?;
            let place = (Secondary::Move, self.scope, from, &departure.avoid[..]);
            let to = placement::choose_secondary(targets, &departure.need, place, &mut rng(), now)?;
            claim_for_move(targets, departure, &to, now);
            Some(to)
        });
        let moving = moving.into_iter().map(|(run, target)| {
            let choice = Choice { target, copy: None };
            (run, Decision::Placed(choice))
        });
        let placed = queue.decide(now, |waiting| {
            let need = &waiting.need;
            let choice = placement::choose(targets, need, (self.scope, &[]), &mut rng(), now)?;
            // Held at once, so that the next placement sees it.
            claim(targets, waiting.run, need, &choice, now);
            targets.record_sent(&choice.target, waiting.run, need.prompt, now);
            Some(choice)
        });
        for (run, decision) in moving.chain(placed) {
            let unsent = match asking.remove(&run) {
                Some(reply) => reply.send(decision).err(),
                None => Some(decision),
            };
            if let Some(decision) = unsent {
                ready.insert(run, (now, decision));
            }
        }
    }
}

impl State {
    fn answer(&self, decision: Decision) -> Reply {
        match decision {
            Decision::Placed(choice) => {
                let engines = [Some(&choice.target), choice.copy.as_ref()];
                let engines = engines.into_iter().flatten();
                let known = engines.filter_map(|target| self.targets.get(target));
                let instances = known.map(|state| state.instance.clone()).collect();
                Reply::Placed(choice, instances)
            }
            Decision::Refused(refusal, retry) => Reply::Refused(refusal, retry),
        }
    }
}

/// Records that a request takes memory of its engine, and of the one with its copy.
pub fn claim(targets: &mut Targets, run: RunId, need: &Need, choice: &Choice, now: Instant) {
    let held = MemoryClaim {
        tokens: need.prompt,
        expected: need.prompt + need.output,
        since: now,
        updated: now,
        is_running: true,
    };
    targets.claim(&choice.target, run, held);
    if let Some(copy) = &choice.copy {
        let held = MemoryClaim {
            is_running: false,
            ..held
        };
        targets.claim(copy, run, held);
    }
}

/// Records that a generation that moves takes memory of its destination.
pub fn claim_for_move(targets: &mut Targets, departure: &Departure, to: &Target, now: Instant) {
    let held = MemoryClaim {
        tokens: departure.tokens,
        expected: departure.need.prompt + departure.need.output,
        since: now,
        updated: now,
        is_running: false,
    };
    targets.claim(to, departure.run, held);
}

fn log_change(change: &Change, list_age_ms: u64) {
    let log = |target: &Target, event: &str| {
        info!(target_id = target.as_str(), list_age_ms = list_age_ms; "target {event}");
    };
    match change {
        Change::Joined(target) => log(target, "listed"),
        Change::Closing(target) => log(target, "closes its connections"),
        Change::Leaving(target) => log(target, "leaves"),
        Change::Gone(target) => log(target, "gone"),
    }
}
