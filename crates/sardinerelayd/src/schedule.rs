//! The library's scheduler, shared by the traffic threads.
//!
//! Every event is one short call under the mutex. The decisions that it returns wake the requests
//! that wait.

mod inner;
mod refusal;
mod reservation;

pub use reservation::{Progress, Reservation};

use {
    self::{inner::Inner, refusal::explain, reservation::Waiting},
    crate::{
        config::Config,
        engine::{CacheAction, CacheEvent, LoadReport, LoadedModel},
        filter::GenerationRequest,
        inventory,
        metrics::Metrics,
        refusal::{Code, Refusal},
        request_stats::RequestStats,
        snapshot::{SharedView, View},
    },
    compact_str::format_compact,
    log::{info, warn},
    rand::{SeedableRng, rngs::StdRng},
    sardinerelay::{
        fleet::{Entry, Incarnation},
        id::{Generation, Model, Target},
        retry::{self, Budget},
        router::{self, Pick},
        scheduler::{self, Counters, Outcome, Request, Settings},
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        fmt,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        time::{Duration, Instant},
    },
    tokio::{
        sync::{Notify, oneshot, watch},
        time::{interval, sleep, timeout},
    },
    uuid::Uuid,
};

/// Attempts that one request gets.
const MAX_ATTEMPTS: u32 = 3;

/// Retries as a share of requests, in percent. Without a bound, the retries of a partial outage
/// would overload the targets that are left.
const RETRY_PERCENT: u64 = 20;

/// Retries that are allowed each second beside that, for hosts with little traffic.
const RETRIES_PER_SECOND: u64 = 1;

/// Most requests that wait on one host.
const QUEUE_LIMIT: usize = 10_000;

/// Advised wait of a caller whose model is being loaded.
const LOAD_RETRY: Duration = Duration::from_secs(2);

/// Time that a request waits for the first load report of an engine of its model.
const FIRST_REPORT: Duration = Duration::from_secs(1);

/// Interval of periodic work.
const TICK: Duration = Duration::from_millis(100);

/// Bound on the output where the caller states none.
const MAX_OUTPUT: u64 = 65_536;

/// Why an attempt failed before its first token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The target can't be reached, so it certainly did not run the request.
    Unreachable,
    /// The target said that it is leaving and did not run the request.
    Leaving,
    /// The target said for another reason that it did not run the request.
    Refused,
    /// The target may have run the request.
    Lost,
}

/// Decides which request runs where.
pub struct Scheduler {
    view: SharedView,
    metrics: Arc<Metrics>,
    request_stats: Arc<RequestStats>,
    /// Told of each load report and of each target that falls silent.
    heard: Notify,
    inner: Mutex<Inner>,
    /// Counts the targets' restarts that were seen.
    restarts: watch::Sender<u64>,
}

type Verdict = Result<Pick, scheduler::Refusal>;

impl fmt::Debug for Scheduler {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Scheduler").finish_non_exhaustive()
    }
}

impl Scheduler {
    /// Starts without targets.
    pub fn new(
        config: &Config,
        view: SharedView,
        metrics: Arc<Metrics>,
        request_stats: Arc<RequestStats>,
    ) -> Self {
        let settings = Settings {
            zone: config.zone.clone(),
            hosts: (config.voters.len() + config.hosts.len()).max(1),
            policy: config.policy,
            objective: config.objective,
            queue_limit: QUEUE_LIMIT,
        };
        let inner = Inner {
            scheduler: scheduler::Scheduler::new(settings, Instant::now()),
            random: StdRng::from_os_rng(),
            budget: Budget::new(RETRY_PERCENT, RETRIES_PER_SECOND, Instant::now()),
            waiters: HashMap::new(),
            ejected: BTreeMap::new(),
            load_reports: BTreeMap::new(),
            loaded_models: BTreeMap::new(),
            reservations: HashMap::new(),
        };
        Self {
            view,
            metrics,
            request_stats,
            heard: Notify::new(),
            inner: Mutex::new(inner),
            restarts: watch::Sender::new(0),
        }
    }

    /// Does the periodic work until the task is aborted.
    pub async fn run(self: Arc<Self>) {
        let mut ticks = interval(TICK);
        loop {
            ticks.tick().await;
            let mut inner = self.lock();
            let Inner {
                scheduler, random, ..
            } = &mut *inner;
            let decisions = scheduler.tick(random, Instant::now());
            inner.deliver(decisions);
        }
    }

    /// Waits until a target has room for the request.
    ///
    /// # Errors
    ///
    /// Refuses the request as not run if no target can take it in time.
    pub async fn admit(
        self: &Arc<Self>,
        request: &GenerationRequest,
    ) -> Result<Reservation, Refusal> {
        self.lock().budget.deposit();
        let reservation = self.place(request, 1).await?;
        let waited = request.received.elapsed();
        self.metrics
            .queue_wait(&request.organisation, &request.class, waited);
        Ok(reservation)
    }

    /// Finds another target after a failed attempt.
    ///
    /// # Errors
    ///
    /// Returns why the request gets no further attempt, or nothing if it has used them up.
    pub async fn readmit(
        self: &Arc<Self>,
        request: &GenerationRequest,
        mut reservation: Reservation,
        failure: Failure,
    ) -> Result<Reservation, Option<Refusal>> {
        reservation.ending = match failure {
            Failure::Leaving => Outcome::Cancelled,
            Failure::Unreachable | Failure::Refused | Failure::Lost => Outcome::Failed,
        };
        match failure {
            Failure::Leaving => self.left(&reservation.target),
            Failure::Unreachable => self.eject(&reservation.target),
            Failure::Refused | Failure::Lost => {}
        }
        let attempt = reservation.attempt + 1;
        let target = reservation.target.clone();
        drop(reservation);
        let now = Instant::now();
        if attempt > MAX_ATTEMPTS || !self.lock().budget.withdraw(now) {
            return Err(None);
        }
        let pause = retry::backoff(attempt - 2, &mut rand::rng());
        sleep(pause).await;
        self.metrics.retried(&target);
        self.place(request, attempt).await.map_err(Some)
    }

    /// Records that the known run of the target said that it leaves.
    fn left(&self, target: &Target) {
        let mut inner = self.lock();
        let fleet = inner.scheduler.fleet_mut();
        if let Some(incarnation) = fleet.incarnation(target) {
            info!(target = target.as_str(); "target is leaving");
            fleet.leave(target, incarnation);
        }
    }

    async fn place(
        self: &Arc<Self>,
        request: &GenerationRequest,
        attempt: u32,
    ) -> Result<Reservation, Refusal> {
        self.await_first_report(request).await;
        let generation = Uuid::new_v4();
        let (sender, verdict) = oneshot::channel();
        let mut waiting = Waiting {
            scheduler: self,
            generation,
            armed: true,
        };
        let stats_guard = self.request_stats.add_waiting(request);
        self.offer(request, generation, sender);
        let pick = verdict
            .await
            .map_err(|_| Refusal::new(Code::NoTarget, "the request lost its place in the queue"))?
            .map_err(|refusal| self.explain(refusal, request))?;
        // From here on the reservation gives the place back.
        waiting.armed = false;
        stats_guard.set_running(pick.reserved_tokens);
        let address = self
            .view
            .load()
            .target(&pick.target)
            .map(|target| target.address);
        let mut reservation = Reservation {
            scheduler: self.clone(),
            generation,
            target: pick.target,
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            // A caller that leaves before the first token says nothing about the target.
            ending: Outcome::Cancelled,
            attempt,
            _stats_guard: stats_guard,
        };
        reservation.address = address
            .ok_or_else(|| Refusal::new(Code::NoTarget, "the target is no longer in force"))?;
        Ok(reservation)
    }

    /// Waits while no engine of the model was heard of yet, as just after a start or after a sheet
    /// that names new engines. Without the wait, the first requests would be refused although an
    /// engine is there.
    async fn await_first_report(&self, request: &GenerationRequest) {
        let wait = async {
            loop {
                let heard = self.heard.notified();
                if self.heard_of(&request.model) {
                    return;
                }
                heard.await;
            }
        };
        // After the bound, the request is decided by what is known.
        let _ = timeout(FIRST_REPORT, wait).await;
    }

    /// Whether an engine of the model has reported its load, or all of them were found silent.
    fn heard_of(&self, model: &Model) -> bool {
        let view = self.view.load();
        let Some(deployment) = view.model(model) else {
            return true;
        };
        let inner = self.lock();
        let mut targets = deployment.targets.iter();
        targets
            .clone()
            .any(|target| inner.load_reports.contains_key(target))
            || targets.all(|target| inner.ejected.contains_key(target))
    }

    fn offer(
        &self,
        request: &GenerationRequest,
        generation: Generation,
        sender: oneshot::Sender<Verdict>,
    ) {
        let request = Request {
            generation,
            organisation: request.organisation.clone(),
            model: request.model.clone(),
            class: request.class.clone(),
            priority: request.priority,
            max_wait: request.max_wait.saturating_sub(request.received.elapsed()),
            prompt_tokens: request.prompt_tokens,
            max_tokens: request.max_tokens.unwrap_or(MAX_OUTPUT),
            prefixes: request.prefix_hashes.clone(),
        };
        let mut inner = self.lock();
        inner.waiters.insert(generation, sender);
        let Inner {
            scheduler, random, ..
        } = &mut *inner;
        let decisions = scheduler.offer(request, random, Instant::now());
        inner.deliver(decisions);
    }

    /// Takes over the targets of the view.
    pub fn configure(&self, view: &View) {
        let mut inner = self.lock();
        inner.describe(view);
    }

    /// Takes over a load report.
    pub fn record_load(&self, target: &Target, incarnation: Incarnation, load: LoadReport) {
        let now = Instant::now();
        let mut inner = self.lock();
        let fleet = inner.scheduler.fleet_mut();
        let known = fleet.incarnation(target);
        if load.leaving {
            fleet.leave(target, incarnation);
        } else {
            fleet.join(target, incarnation);
        }
        if known.is_some_and(|known| known < incarnation) {
            inner.scheduler.reset_target(target);
            self.restarts.send_modify(|restarts| *restarts += 1);
        }
        if inner.ejected.remove(target).is_some() {
            info!(target = target.as_str(); "target answers again");
            let view = self.view.load();
            inner.describe(&view);
        }
        let report = router::LoadReport {
            used_tokens: load.used_tokens,
            running: load.running,
            waiting: load.waiting,
            preemptions: load.preemptions,
            age: Duration::from_millis(load.age_ms),
        };
        let earlier = inner
            .load_reports
            .insert(target.clone(), (load.clone(), now));
        let before = earlier.map_or(load.preemptions, |(earlier, _)| earlier.preemptions);
        self.metrics
            .preempted(target, load.preemptions.saturating_sub(before));
        let Inner {
            scheduler, random, ..
        } = &mut *inner;
        let decisions = scheduler.apply_report(target, report, random, now);
        inner.deliver(decisions);
        drop(inner);
        self.heard.notify_waiters();
    }

    /// Takes over changes of a target's prefix cache.
    pub fn cache_events(&self, target: &Target, events: &[CacheEvent]) {
        let now = Instant::now();
        let mut inner = self.lock();
        for event in events {
            let Ok(block) = u64::from_str_radix(&event.block, 16) else {
                continue;
            };
            let change = match event.action {
                CacheAction::Stored => router::CacheChange::Stored(block),
                CacheAction::Evicted => router::CacheChange::Removed(block),
            };
            // The library counts from 0, engines from 1.
            let sequence = event.sequence.saturating_sub(1);
            inner
                .scheduler
                .apply_cache_event(target, router::CacheEvent { sequence, change }, now);
        }
    }

    /// Merges the platform's list or the replicated leaves.
    pub fn observe(&self, list: &[Entry]) {
        self.lock().scheduler.fleet_mut().merge_list(list);
    }

    /// Keeps new work from a target that doesn't answer, until it does.
    pub fn eject(&self, target: &Target) {
        let mut inner = self.lock();
        if inner
            .ejected
            .insert(target.clone(), Instant::now())
            .is_none()
        {
            warn!(target = target.as_str(); "target does not answer, no new work until it does");
            let view = self.view.load();
            inner.describe(&view);
        }
        drop(inner);
        self.heard.notify_waiters();
    }

    /// Takes over what an engine has loaded.
    pub fn record_loaded(&self, target: &Target, loaded: Vec<LoadedModel>) {
        let mut inner = self.lock();
        if inner.loaded_models.get(target) != Some(&loaded) {
            inner.loaded_models.insert(target.clone(), loaded);
            let view = self.view.load();
            inner.describe(&view);
        }
    }

    /// What engines read back as loaded, as far as it is known.
    pub fn loaded_models(&self) -> inventory::LoadedModels {
        self.lock().loaded_models.clone()
    }

    /// Engines that get requests for a model that the sheet places elsewhere.
    pub fn surplus(&self) -> BTreeSet<Target> {
        let view = self.view.load();
        let Some(sheet) = &view.sheet else {
            return BTreeSet::new();
        };
        inventory::surplus(sheet, &self.lock().routes(&view))
    }

    /// Whether no engine has loaded the model yet.
    fn has_no_ready_engine(&self, model: &Model) -> bool {
        let view = self.view.load();
        let inner = self.lock();
        view.sheet
            .as_ref()
            .is_some_and(|sheet| inventory::has_no_ready_engine(sheet, &inner.loaded_models, model))
    }

    fn explain(&self, refusal: scheduler::Refusal, request: &GenerationRequest) -> Refusal {
        let no_target = scheduler::Refusal::Router(router::Refusal::NoTarget);
        if refusal != no_target || !self.has_no_ready_engine(&request.model) {
            return explain(refusal, request);
        }
        let message = format_compact!("no engine has loaded the model '{}' yet", request.model);
        Refusal::new(Code::ModelNotInForce, message).retry_after(LOAD_RETRY)
    }

    /// The last load report of each target, and its age.
    pub fn load_reports(&self) -> BTreeMap<Target, (LoadReport, Duration)> {
        let inner = self.lock();
        let reports = inner.load_reports.iter();
        reports
            .map(|(target, (load, taken))| (target.clone(), (load.clone(), taken.elapsed())))
            .collect()
    }

    /// Changes when a target was seen to run anew.
    pub fn restarts(&self) -> watch::Receiver<u64> {
        self.restarts.subscribe()
    }

    /// The last known run of the target.
    pub fn incarnation(&self, target: &str) -> Option<Incarnation> {
        self.lock().scheduler.fleet().incarnation(target)
    }

    /// Whether the target did not answer lately.
    pub fn is_ejected(&self, target: &str) -> bool {
        self.lock().ejected.contains_key(target)
    }

    /// This host's requests in flight on each target.
    pub fn in_flight(&self) -> BTreeMap<Target, u64> {
        let inner = self.lock();
        let mut in_flight = BTreeMap::new();
        for target in inner.reservations.values() {
            *in_flight.entry(target.clone()).or_default() += 1;
        }
        in_flight
    }

    /// Whether new work may go to the target.
    pub fn is_eligible(&self, target: &str) -> bool {
        let inner = self.lock();
        inner.scheduler.fleet().is_eligible(target) && !inner.ejected.contains_key(target)
    }

    /// Requests that wait, requests in flight, and counters since the start.
    pub fn stats(&self) -> (usize, usize, Counters) {
        let inner = self.lock();
        (
            inner.scheduler.waiting(),
            inner.scheduler.in_flight(),
            inner.scheduler.counters(),
        )
    }

    fn finish(&self, generation: Generation, ending: Outcome) {
        let mut inner = self.lock();
        inner.reservations.remove(&generation);
        let Inner {
            scheduler, random, ..
        } = &mut *inner;
        let decisions = scheduler.record_finish(generation, ending, random, Instant::now());
        inner.deliver(decisions);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}
