//! State that all requests on an entry host share.

mod crashes;
mod evacuations;
mod shares;
mod statements;

use {
    crate::{
        admission::RefusalReason,
        allocation::Allocation,
        allocator::{Allocator, Reply, Scope, State, claim, claim_for_move},
        body,
        budget::Budget,
        codec::Codec,
        forecast::Forecast,
        group::{AllocationReport, LocalAllocation, Revision},
        metrics::Metrics,
        moves::Departure,
        observations::Instance,
        origin::Began,
        placement::{self, Choice, Need, Secondary},
        pool::Pool,
        remote::RemoteAllocator,
        reporter::Report,
        settings,
        table::Table,
        targets::{RunId, Targets},
    },
    arc_swap::ArcSwapOption,
    rand::rng,
    sardinerelay::id::{Service, Target},
    sardinerelayd::{peer::Client, stop::Drain},
    std::{
        collections::HashMap,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        sync::{
            Semaphore,
            broadcast::{self, Receiver},
            mpsc::UnboundedSender,
            watch,
        },
        time::sleep,
    },
};

/// Interval at which idle connections to targets are cleaned up.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);
/// Memory that long bodies of callers' requests may take together, in bytes. The smallest hosts have
/// 88 MB.
const REQUEST_MEMORY_BYTES: usize = 24 << 20;
/// Shortest time for which a part of a prompt must still be refused to be reported. Each report makes
/// that time a little longer, so without a limit it would never end.
const MIN_REPORTED_REFUSAL: Duration = Duration::from_secs(10);
/// Number of streams that may begin before a voter that is told of them late is told of all streams instead.
const STREAM_NEWS_CAPACITY: usize = 256;
/// Number of reports of engines that are read at a time to find out whether they work on a generation. Their engines may
/// send bytes without end.
const MAX_REPORT_READS: usize = 16;
/// Number of orders to stop a generation that are open at a time, for the same reason.
const MAX_STOP_ORDERS: usize = 16;
/// Number of low bits of a request's number that count up. The bits above them are drawn at random
/// when the process starts, so that numbers differ between processes.
const RUN_COUNTER_BITS: u32 = 32;

/// State of an entry host that all requests share.
#[derive(Debug)]
pub struct EntryHost {
    /// Settings of this process, as they were read at its start.
    pub settings: settings::Entry,
    /// Translation to and from the platform's wire format.
    pub codec: Codec,
    /// The configuration in force; none until the first one is received.
    pub table: ArcSwapOption<Table>,
    /// Idle connections to targets, for reuse.
    pub pool: Pool,
    /// Memory that long bodies of callers' requests may take together.
    pub request_memory: body::Memory,
    /// Counters and histograms of this process.
    pub metrics: Metrics,
    /// Counts open requests, so that a planned stop can wait for them.
    pub drain: Drain,
    /// This host's view of targets. It allocates engines only while the group's allocator can't be
    /// reached.
    pub allocator: Allocator,
    /// Client of the group's allocator.
    pub remote: RemoteAllocator,
    /// Highest revision of the orders for zones; none until this host has learned them.
    evacuations: watch::Sender<Option<Revision>>,
    /// Clients of the voters.
    voters: Mutex<Voters>,
    /// Crashes that this host has reported.
    pub(crate) crashes: crashes::Recent,
    /// Requests that run on engines.
    pub(crate) running: shares::Running,
    /// Bounds the reports that are read at a time to find out whether engines work on.
    pub(crate) report_reads: Semaphore,
    /// Bounds the orders to stop generations that are open at a time.
    pub(crate) stop_orders: Semaphore,
    /// Tells of streams that began, for the voters.
    stream_news: broadcast::Sender<Began>,
    forecast: Mutex<Forecast>,
    budgets: Mutex<HashMap<Service, Budget>>,
    next_run: AtomicU64,
    reports: UnboundedSender<Report>,
}

/// Clients of the voters that an entry host knows.
#[derive(Debug, Clone, Default)]
pub struct Voters {
    /// Those that it follows.
    pub followed: Vec<Arc<Client>>,
    /// All of them. Other entry hosts follow others.
    pub all: Vec<Arc<Client>>,
}

/// Guard of a request that waits for an engine. Dropping it withdraws the request, unless an engine
/// was allocated.
struct PendingAcquire<'a> {
    entry: &'a EntryHost,
    run: RunId,
    is_granted: bool,
}

impl EntryHost {
    /// Creates the state of a host that has just started and knows no target.
    ///
    /// The receiver of `reports` has to forward them to the allocating host.
    pub fn new(
        settings: settings::Entry,
        codec: Codec,
        metrics: Metrics,
        reports: UnboundedSender<Report>,
    ) -> Self {
        let prefix = u64::from(rand::random::<u32>()) << RUN_COUNTER_BITS;
        let allocator = Allocator::new(Scope::Local);
        allocator.configure(&settings.common);
        allocator.set_weights(&settings.common.weights);
        Self {
            reports,
            settings,
            codec,
            table: ArcSwapOption::empty(),
            pool: Pool::default(),
            request_memory: body::Memory::new(REQUEST_MEMORY_BYTES),
            metrics,
            drain: Drain::default(),
            allocator,
            remote: RemoteAllocator::default(),
            evacuations: watch::Sender::default(),
            voters: Mutex::default(),
            crashes: crashes::Recent::default(),
            running: shares::Running::default(),
            report_reads: Semaphore::new(MAX_REPORT_READS),
            stop_orders: Semaphore::new(MAX_STOP_ORDERS),
            stream_news: broadcast::Sender::new(STREAM_NEWS_CAPACITY),
            forecast: Mutex::default(),
            budgets: Mutex::default(),
            next_run: AtomicU64::new(prefix),
        }
    }

    /// Locks the state of this host's allocator, which includes all that is known of targets.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.allocator.state()
    }

    /// Locks the forecast of generation lengths.
    pub fn forecast(&self) -> MutexGuard<'_, Forecast> {
        self.forecast.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the clients of the voters.
    pub fn voters(&self) -> Voters {
        let voters = self.voters.lock().unwrap_or_else(PoisonError::into_inner);
        voters.clone()
    }

    /// Sets the clients of the voters.
    pub fn set_voters(&self, voters: Voters) {
        *self.voters.lock().unwrap_or_else(PoisonError::into_inner) = voters;
    }

    /// Remembers which build began a stream that its caller may take up, here and at voters.
    pub fn record_origin(&self, began: Began) {
        self.state().origins.record(&began, Instant::now());
        // Fails while no voter is followed. One that is followed later is told of all streams.
        let _ = self.stream_news.send(began);
    }

    /// Returns a channel with the streams that begin from now on.
    pub fn stream_news(&self) -> Receiver<Began> {
        self.stream_news.subscribe()
    }

    /// Returns an unused number for a request. A random prefix distinguishes this host's numbers
    /// from those of others.
    pub fn next_run_id(&self) -> RunId {
        self.next_run.fetch_add(1, Ordering::Relaxed)
    }

    /// Waits until `deadline` for an engine with enough free memory, and claims that memory.
    ///
    /// The group's allocator decides; if it can't be reached, this host does.
    ///
    /// # Errors
    ///
    /// Returns the reason for the refusal, and the time after which the caller should retry.
    pub async fn acquire(
        self: &Arc<Self>,
        need: Need,
        deadline: Instant,
    ) -> Result<Allocation, (RefusalReason, Duration)> {
        if let Some(remaining) = self.refuse_crashing(&need) {
            return Err((RefusalReason::CrashesEngines, remaining));
        }
        let run = self.next_run_id();
        let mut pending = PendingAcquire {
            entry: self,
            run,
            is_granted: false,
        };
        let (reply, allocated_by) = match self.remote.acquire(run, &need, deadline).await {
            Some((reply, allocated_by)) if self.may_send(&need, &reply) => (reply, allocated_by),
            _ => (self.acquire_locally(run, &need, deadline).await, 0),
        };
        match reply {
            Reply::Placed(mut choice, _) => {
                pending.is_granted = true;
                let mut state = self.state();
                choice
                    .copy
                    .take_if(|copy| state.targets.is_target_evacuated(copy));
                claim(&mut state.targets, run, &need, &choice, Instant::now());
                state.quarantine.record_sent(run, &need.shared_parts);
                self.record_sent(
                    &mut state.targets,
                    run,
                    (&choice, allocated_by),
                    (&need, need.prompt_tokens),
                );
                drop(state);
                Ok(Allocation::new(Arc::clone(self), run, choice, need))
            }
            Reply::Refused(reason, retry_after) => Err((reason, retry_after)),
            Reply::Waiting => Err((RefusalReason::Expired, placement::MIN_RETRY_AFTER)),
        }
    }

    /// Whether an engine was allocated that this host may send the generation to, and adds the engines that
    /// it didn't know. The allocating host may not know what the engine has said to this one, and if it
    /// has an earlier version, it doesn't know that only one build may run it.
    fn may_send(&self, need: &Need, reply: &Reply) -> bool {
        let Reply::Placed(choice, instances) = reply else {
            return true;
        };
        let now = Instant::now();
        let mut state = self.state();
        state.targets.add_missing(instances, now);
        let targets = &state.targets;
        let chosen = [Some(&choice.target), choice.copy.as_ref()];
        let mut chosen = chosen
            .into_iter()
            .flatten()
            .map(|target| targets.get(target));
        let is_home = chosen.all(|known| match known {
            Some(known) => targets.allow(&need.homes, known),
            None => need.homes.is_anywhere(),
        });
        is_home
            && match targets.get(&choice.target) {
                Some(known) => {
                    !known.wants_none(now)
                        && !targets.is_evacuated(known)
                        && need.accepts(&known.instance.build)
                }
                None => need.build.is_none(),
            }
    }

    /// Returns for how long a generation is refused because a part of its prompt makes engines
    /// crash, none if it isn't. Reports such parts, because the host that allocates may have taken
    /// over from the one that found them.
    pub fn refuse_crashing(&self, need: &Need) -> Option<Duration> {
        let now = Instant::now();
        let state = self.state();
        let parts = state.quarantine.refused_among(&need.shared_parts, now);
        drop(state);
        let remaining = parts.iter().map(|part| part.remaining).max()?;
        if remaining > MIN_REPORTED_REFUSAL {
            self.report(AllocationReport::Refused(parts));
        }
        Some(remaining)
    }

    /// Allocates on this host, because no host of the group can be reached.
    async fn acquire_locally(&self, run: RunId, need: &Need, deadline: Instant) -> Reply {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let reply = self
            .allocator
            .acquire(run, need.clone(), deadline, remaining);
        reply.await
    }

    /// Waits for an engine to which a generation can move, and for its turn to move. Returns the
    /// engine and the number of the host that allocated it, 0 if this host did. An engine in a zone that is
    /// evacuated isn't used, also if the allocating host doesn't know of the order yet.
    pub async fn relocate(self: Arc<Self>, departure: Departure) -> Option<(Target, u32)> {
        let now = Instant::now();
        let Some((reply, allocated_by)) = self.remote.relocate(&departure).await else {
            return self.relocate_locally(&departure, now).map(|to| (to, 0));
        };
        let Reply::Placed(choice, instances) = reply else {
            return None;
        };
        let mut state = self.state();
        // An allocating host of an earlier version doesn't know the regions that are allowed.
        state.targets.add_missing(&instances, now);
        let to = state.targets.get(&choice.target)?;
        if state.targets.is_evacuated(to) || !state.targets.allow(&departure.need.homes, to) {
            drop(state);
            self.report(AllocationReport::Moved(departure.run, false));
            return None;
        }
        claim_for_move(&mut state.targets, &departure, &choice.target, now);
        Some((choice.target, allocated_by))
    }

    /// Allocates a move's destination on this host, because no host of the group can be reached.
    fn relocate_locally(&self, departure: &Departure, now: Instant) -> Option<Target> {
        let mut state = self.state();
        let from = state.targets.get(&departure.from)?;
        // Only the allocating host knows whose turn it is. A generation on an engine that doesn't stop can wait.
        if from.leaving_since(now).is_none() && state.targets.is_evacuated(from) {
            return None;
        }
        let constraints = (Secondary::Move, Scope::Local, from, &departure.avoid[..]);
        let to = placement::choose_secondary(
            &state.targets,
            &departure.need,
            constraints,
            &mut rng(),
            now,
        )?;
        claim_for_move(&mut state.targets, departure, &to, now);
        state.targets.charge_limit(&to, Scope::Local, now);
        self.report_sent((&to, 0), &departure.need, 0);
        Some(to)
    }

    /// Counts a request's first attempt. The service's retry budget grows with their number.
    pub fn record_first_attempt(&self, service: &Service) {
        self.with_budget(service, |budget| budget.record_request(Instant::now()));
    }

    /// Takes one retry from the service's budget. Returns false if the budget is used up.
    pub fn try_take_retry(&self, service: &Service) -> bool {
        let entry_hosts = self.state().targets.sharing_hosts();
        self.with_budget(service, |budget| {
            budget.try_take_retry(entry_hosts, Instant::now())
        })
    }

    fn with_budget<Action, Output>(&self, service: &Service, action: Action) -> Output
    where
        Action: FnOnce(&mut Budget) -> Output,
    {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let limit = self.settings.retry_limit;
        let budget = budgets.entry(service.clone());
        action(budget.or_insert_with(|| Budget::new(limit, Instant::now())))
    }

    /// Returns what the platform lists for a target, or none if it isn't listed.
    pub fn instance(&self, target: &str) -> Option<Instance> {
        let state = self.state();
        state
            .targets
            .get(target)
            .map(|state| state.instance.clone())
    }

    /// Closes idle connections that have expired, and those to targets that are no longer listed.
    /// Never returns.
    pub async fn run_cleanup(self: Arc<Self>) {
        loop {
            sleep(CLEANUP_INTERVAL).await;
            let state = self.state();
            let targets = &state.targets;
            self.pool
                .retain_targets(|target| targets.get(target).is_some());
        }
    }

    /// Records that a generation is sent to an engine, which has to read `prompt` tokens for it.
    /// Reports this and the copy to the allocating host if this host allocated the engines itself.
    /// `allocated_by` is the number of the host that allocated them, 0 for this one.
    pub(crate) fn record_sent(
        &self,
        targets: &mut Targets,
        run: RunId,
        choice: (&Choice, u32),
        (need, prompt): (&Need, u64),
    ) {
        let (choice, allocated_by) = choice;
        if prompt > 0 {
            targets.record_sent(&choice.target, run, prompt, Instant::now());
        }
        self.report_sent((&choice.target, allocated_by), need, prompt);
        if let Some(copy) = &choice.copy {
            self.report_sent((copy, allocated_by), need, 0);
        }
    }

    /// Reports an allocation to the allocating host if this host made it by itself.
    fn report_sent(&self, (target, allocated_by): (&Target, u32), need: &Need, prompt: u64) {
        if allocated_by == 0 {
            self.report(AllocationReport::Sent(LocalAllocation {
                target: target.clone(),
                prompt_tokens: u32::try_from(prompt).unwrap_or(u32::MAX),
                memory_tokens: u32::try_from(need.total_tokens()).unwrap_or(u32::MAX),
            }));
        }
    }

    /// Queues a report for the allocating host.
    pub(crate) fn report<Given>(&self, report: Given)
    where
        Given: Into<Report>,
    {
        // Sending fails only when the receiver is gone, that is, while the process ends.
        let _ = self.reports.send(report.into());
    }
}

impl Drop for PendingAcquire<'_> {
    fn drop(&mut self) {
        if !self.is_granted {
            self.entry.allocator.release(self.run);
            self.entry.report(AllocationReport::Ended(self.run));
        }
    }
}
