//! Allocates engines to generations.
//!
//! One host of the group allocates for all entry hosts, so that waiting requests form one queue and
//! no memory is allocated twice. An entry host that can't reach it allocates for itself, with an
//! allocator of its own.
//!
//! Without the common queue, all hosts with waiting generations would see a load report with room
//! on an engine, and each would send its first waiting request there in the same millisecond.

mod answer;
mod crashes;
mod limits;
mod origins;
mod place;
mod shares;

pub use self::{answer::Answer, origins::Source, place::place};

use {
    crate::{
        admission::{Decision, Queue, RefusalReason, Waiter},
        group::Evacuations,
        homes::Regions,
        moves::{Departure, Moves},
        observations::{Instance, Observations},
        origin::Origins,
        placement::{self, Choice, Need, Secondary},
        quarantine::{Quarantine, Rules},
        settings,
        targets::{Change, MemoryClaim, RunId, Targets, instant_before},
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
        sync::{Notify, oneshot},
        time::{sleep, timeout},
    },
};

/// Interval at which waiting requests are reconsidered without an event.
const DECIDE_INTERVAL: Duration = Duration::from_millis(40);
/// Time for which a decision is kept until its host asks again.
const UNDELIVERED_DECISION_LIFETIME: Duration = Duration::from_millis(800);
/// Age at which a claim is dropped although its host has not reported the end of the request.
const MAX_CLAIM_AGE: Duration = Duration::from_secs(60);

/// Reply to a request for an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The request goes to the chosen engine. The reply also describes the chosen engines, because
    /// the host may not know them yet.
    Placed(Choice, Vec<Instance>),
    /// The request is refused. A retry makes sense after this time.
    Refused(RefusalReason, Duration),
    /// The request still waits. Another call continues the same wait.
    Waiting,
}

impl Reply {
    /// Returns the outcome's label in metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Placed(..) => "placed",
            Self::Refused(..) => "refused",
            Self::Waiting => "waiting",
        }
    }
}

/// The hosts that an allocator places requests for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// All entry hosts, so it knows what every engine was given.
    Group,
    /// This host only. Other hosts' requests are known only from load reports.
    Local,
}

/// Decides which generations run where, and which wait.
#[derive(Debug)]
pub struct Allocator {
    scope: Scope,
    state: Mutex<State>,
    /// Notified when what is refused or limited may have changed, which other hosts should learn
    /// soon.
    pub changed: Notify,
}

/// Data that an allocator decides from.
#[derive(Debug, Default)]
pub struct State {
    /// All known targets, with the claims on their memory.
    pub targets: Targets,
    /// The parts of prompts that make engines crash.
    pub quarantine: Quarantine,
    /// The requests that make targets crash.
    pub requests: Quarantine,
    /// The builds that began streams.
    pub origins: Origins,
    queue: Queue,
    moves: Moves,
    /// Senders to the calls that wait for a decision.
    subscribers: HashMap<RunId, oneshot::Sender<Decision>>,
    /// Decisions that were made while no call was waiting for them, and when.
    undelivered: HashMap<RunId, (Instant, Decision)>,
}

impl Allocator {
    /// Creates an allocator that knows no target.
    pub fn new(scope: Scope) -> Self {
        Self {
            scope,
            state: Mutex::new(State {
                requests: Quarantine::new(Rules::REQUESTS),
                ..State::default()
            }),
            changed: Notify::new(),
        }
    }

    /// Applies the settings of this host.
    pub fn configure(&self, settings: &settings::Common) {
        let mut state = self.state();
        state.targets.pacing.host = settings.host.clone();
        state.targets.pacing.tolerance = settings.cold_tolerance;
        state.targets.regions = Regions::new(settings.regions.clone());
    }

    /// Locks the state. Callers must not hold the lock for longer than a decision takes.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Merges a host's observations of targets and decides about waiting requests.
    pub fn merge(&self, observations: &Observations) {
        let now = Instant::now();
        let mut state = self.state();
        let changes = state.targets.merge(observations, now);
        for change in &changes {
            log_change(change, &state.targets, observations.list_age_ms);
        }
        for report in &observations.loads {
            let read = instant_before(now, report.age_ms);
            state
                .quarantine
                .record_alive(&report.target, report.incarnation, read);
        }
        state.quarantine.adopt(&observations.refused_parts, now);
        state.requests.adopt(&observations.refused_requests, now);
        if self.scope == Scope::Local {
            state.requests.watch(&observations.suspect_requests);
        }
        self.decide(&mut state, now);
    }

    /// Obeys orders for zones unless newer ones are known, and decides about waiting requests.
    pub fn set_evacuations(&self, evacuations: &Evacuations) {
        let now = Instant::now();
        let mut state = self.state();
        for (zone, order) in state.targets.set_evacuations(evacuations, now) {
            info!(
                zone = zone.as_str(), evacuated = order.is_evacuated, revision = order.revision;
                "obeying an order for a zone"
            );
        }
        self.decide(&mut state, now);
    }

    /// Requests an engine for `run`, which may be queued until `deadline`. Waits up to `wait` for
    /// the decision; another call with the same number continues the same request.
    pub async fn acquire(
        &self,
        run: RunId,
        need: Need,
        deadline: Instant,
        wait: Duration,
    ) -> Reply {
        let now = Instant::now();
        let receiver = {
            let mut state = self.state();
            if let Some((_, decision)) = state.undelivered.remove(&run) {
                return state.reply(decision);
            }
            if let Some(remaining) = state.quarantine.refusal(&need.shared_parts, now) {
                state.queue.withdraw(run);
                return Reply::Refused(RefusalReason::CrashesEngines, remaining);
            }
            if !state.queue.contains(run) {
                let waiter = Waiter {
                    run,
                    need,
                    arrived: now,
                    deadline,
                };
                if let Err((reason, retry_after)) = state.queue.offer(waiter, now) {
                    return Reply::Refused(reason, retry_after);
                }
            }
            self.subscribe(&mut state, run, now)
        };
        self.await_decision(run, receiver, wait).await
    }

    /// Requests an engine to which a generation can move because its own is about to stop. Waits up
    /// to `wait` until it is the generation's turn to move; another call continues the same move.
    pub async fn relocate(&self, departure: Departure, wait: Duration) -> Reply {
        let run = departure.run;
        let receiver = {
            let mut state = self.state();
            if let Some((_, decision)) = state.undelivered.remove(&run) {
                return state.reply(decision);
            }
            if let Some(failed) = state.moves.request(departure, Instant::now()) {
                state.targets.release(&failed, run);
            }
            self.subscribe(&mut state, run, Instant::now())
        };
        self.await_decision(run, receiver, wait).await
    }

    /// Subscribes to the decision about `run`, and tries to make it at once.
    fn subscribe(
        &self,
        state: &mut State,
        run: RunId,
        now: Instant,
    ) -> oneshot::Receiver<Decision> {
        let (sender, receiver) = oneshot::channel();
        state.subscribers.insert(run, sender);
        self.decide(state, now);
        receiver
    }

    /// Waits up to `wait` for a decision. One that is made at the last moment is not lost.
    async fn await_decision(
        &self,
        run: RunId,
        receiver: oneshot::Receiver<Decision>,
        wait: Duration,
    ) -> Reply {
        let decided = timeout(wait, receiver).await;
        let mut state = self.state();
        if let Ok(Ok(decision)) = decided {
            return state.reply(decision);
        }
        state.subscribers.remove(&run);
        match state.undelivered.remove(&run) {
            Some((_, decision)) => state.reply(decision),
            None => Reply::Waiting,
        }
    }

    /// Ends a request: withdraws it from the queue and drops all of its claims.
    pub fn release(&self, run: RunId) {
        let now = Instant::now();
        let mut state = self.state();
        state.queue.withdraw(run);
        state.undelivered.remove(&run);
        state.subscribers.remove(&run);
        state.moves.remove(run);
        state.targets.release_everywhere(run);
        state.record_end(run);
        self.decide(&mut state, now);
    }

    /// Ends the move of a generation. If it failed, its claim at the destination is dropped.
    pub fn finish_move(&self, run: RunId, succeeded: bool) {
        let mut state = self.state();
        let Some(to) = state.moves.remove(run) else {
            return;
        };
        match succeeded {
            true => state.targets.complete_move(&to, run),
            false => state.targets.release(&to, run),
        }
        self.decide(&mut state, Instant::now());
    }

    /// Records that an engine has refused a request or a move for lack of memory. An engine that is
    /// about to stop refuses moves too, before anything else shows that it stops.
    pub fn record_no_room(&self, engine: &Target) {
        let now = Instant::now();
        let mut state = self.state();
        state.targets.record_no_room(engine, now);
        state.drop_destinations(|_, to| to == engine);
    }

    /// Records that a request's engine has read its prompt and begun to answer it.
    pub fn record_started(&self, run: RunId) {
        let now = Instant::now();
        let mut state = self.state();
        state.targets.record_prompt_read(run, now);
        state.quarantine.record_started(run, now);
    }

    /// Records that a request was answered to the end.
    pub fn record_completed(&self, run: RunId) {
        self.state().quarantine.record_answered(run);
    }

    /// Reconsiders waiting requests and expires old state periodically. Never returns.
    pub async fn run_maintenance(&self) {
        loop {
            sleep(DECIDE_INTERVAL).await;
            self.judge_crashes();
            let now = Instant::now();
            let mut state = self.state();
            if !state.queue.is_empty() || !state.moves.is_empty() {
                self.decide(&mut state, now);
            }
            let is_expired =
                |at: &Instant| now.saturating_duration_since(*at) > UNDELIVERED_DECISION_LIFETIME;
            let expired = state
                .undelivered
                .iter()
                .filter(|(_, (at, _))| is_expired(at));
            let expired: Vec<RunId> = expired.map(|(run, _)| *run).collect();
            for run in expired {
                state.undelivered.remove(&run);
                match state.moves.remove(run) {
                    Some(to) => state.targets.release(&to, run),
                    None => {
                        state.targets.release_everywhere(run);
                        state.record_end(run);
                    }
                }
            }
            for (run, to) in state.moves.expire(now) {
                if let Some(to) = to {
                    state.targets.release(&to, run);
                }
            }
            for run in state.targets.expire(MAX_CLAIM_AGE, now) {
                state.record_end(run);
            }
        }
    }

    /// Places moving generations and waiting requests as far as there is memory, and delivers the
    /// decisions.
    fn decide(&self, state: &mut State, now: Instant) {
        // Several engines may be reclaimed at once, and not all are noticed at the same moment.
        state.drop_destinations(|targets, to| {
            let known = targets.get(to);
            known.is_none_or(|known| !targets.is_staying(known, now))
        });
        let State {
            targets,
            quarantine,
            requests: _,
            origins: _,
            queue,
            moves,
            subscribers,
            undelivered,
        } = state;
        moves.put_first(|from| {
            let known = targets.get(from);
            known.is_none_or(|known| {
                known.leaving_since(now).is_some() || !targets.is_evacuated(known)
            })
        });
        // Running generations get memory before new ones.
        let moving = moves.decide(now, |departure| {
            let from = targets.get(&departure.from)?;
            let constraints = (Secondary::Move, self.scope, from, &departure.avoid[..]);
            let to = placement::choose_secondary(
                targets,
                &departure.need,
                constraints,
                &mut rng(),
                now,
            )?;
            claim_for_move(targets, departure, &to, now);
            targets.charge_limit(&to, self.scope, now);
            Some(to)
        });
        let moving = moving.into_iter().map(|(run, target)| {
            let choice = Choice { target, copy: None };
            (run, Decision::Placed(choice))
        });
        let refused = queue.refuse(RefusalReason::CrashesEngines, |need| {
            quarantine.refusal(&need.shared_parts, now)
        });
        let placed = queue.decide(now, |waiter, reserved| {
            let need = &waiter.need;
            let choice = place(targets, waiter, (reserved, self.scope), &mut rng(), now)?;
            // Claimed at once, so that the next placement takes this one into account.
            claim(targets, waiter.run, need, &choice, now);
            targets.charge_limit(&choice.target, self.scope, now);
            targets.record_sent(&choice.target, waiter.run, need.prompt_tokens, now);
            quarantine.record_sent(waiter.run, &need.shared_parts);
            Ok(choice)
        });
        for (run, decision) in moving.chain(refused).chain(placed) {
            let unsent = match subscribers.remove(&run) {
                Some(sender) => sender.send(decision).err(),
                None => Some(decision),
            };
            if let Some(decision) = unsent {
                undelivered.insert(run, (now, decision));
            }
        }
    }
}

impl State {
    /// Takes the destinations that are `lost` from generations that still wait to move there, and
    /// releases the memory that was kept for them.
    fn drop_destinations<Lost>(&mut self, lost: Lost)
    where
        Lost: Fn(&Targets, &Target) -> bool,
    {
        let targets = &self.targets;
        let dropped = self.moves.drop_destinations(|to| lost(targets, to));
        for (run, to) in dropped {
            self.targets.release(&to, run);
        }
    }

    /// Records that a request has ended, apart from its claims on memory.
    fn record_end(&mut self, run: RunId) {
        self.queue.record_end(run, Instant::now());
        self.quarantine.record_end(run);
    }

    /// Adds the descriptions of the chosen engines to a decision.
    fn reply(&self, decision: Decision) -> Reply {
        match decision {
            Decision::Placed(choice) => {
                let engines = [Some(&choice.target), choice.copy.as_ref()];
                let engines = engines.into_iter().flatten();
                let known = engines.filter_map(|target| self.targets.get(target));
                let instances = known.map(|state| state.instance.clone()).collect();
                Reply::Placed(choice, instances)
            }
            Decision::Refused(reason, retry_after) => Reply::Refused(reason, retry_after),
        }
    }
}

/// Claims memory for a request at its engine, and at the engine that keeps its copy.
pub fn claim(targets: &mut Targets, run: RunId, need: &Need, choice: &Choice, now: Instant) {
    let claim = MemoryClaim {
        tokens: need.prompt_tokens,
        expected: need.total_tokens(),
        since: now,
        updated: now,
        is_running: true,
    };
    targets.claim(&choice.target, run, claim);
    if let Some(copy) = &choice.copy {
        let claim = MemoryClaim {
            is_running: false,
            ..claim
        };
        targets.claim(copy, run, claim);
    }
}

/// Claims memory for a moving generation at its destination.
pub fn claim_for_move(targets: &mut Targets, departure: &Departure, to: &Target, now: Instant) {
    let claim = MemoryClaim {
        tokens: departure.tokens,
        expected: departure.need.total_tokens(),
        since: now,
        updated: now,
        is_running: false,
    };
    targets.claim(to, departure.run, claim);
}

fn log_change(change: &Change, targets: &Targets, list_age_ms: u64) {
    let log = |target: &Target, event: &str| {
        let build = targets
            .get(target)
            .map(|state| state.instance.build.as_str());
        info!(
            target_id = target.as_str(), build = build.unwrap_or_default(), list_age_ms = list_age_ms;
            "target {event}"
        );
    };
    match change {
        Change::Listed(target) => log(target, "listed"),
        Change::Closing(target) => log(target, "closes its connections"),
        Change::Leaving(target) => log(target, "leaves"),
        Change::Gone(target) => log(target, "gone"),
        Change::Ended(target) => log(target, "ended without notice"),
    }
}
