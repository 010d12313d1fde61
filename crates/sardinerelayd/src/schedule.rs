//! Schedules requests on targets: the library's scheduler behind a mutex, shared by the traffic
//! threads.
//!
//! Each event holds the mutex for one short call into the library. The decisions that the call
//! returns wake the waiting requests.

mod inner;
mod observed;
mod refusal;
mod reservation;

pub use reservation::{Progress, Reservation};

use {
    self::{inner::Inner, refusal::api_refusal, reservation::WithdrawGuard},
    crate::{
        config::Config,
        filter::GenerationRequest,
        inventory,
        metrics::Metrics,
        refusal::{Code, Refusal},
        request_stats::RequestStats,
        snapshot::SharedView,
    },
    compact_str::format_compact,
    log::info,
    rand::{SeedableRng, rngs::StdRng},
    sardinerelay::{
        id::{Generation, Model, Target},
        retry::{self, Budget},
        router::{self, Pick},
        scheduler::{self, Outcome, Request, Settings},
    },
    std::{
        collections::{BTreeMap, HashMap},
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

/// Attempts on targets that one request gets, the first one included.
const MAX_GENERATION_ATTEMPTS: u32 = 3;

/// Retries that the retry budget allows for each hundred requests. Without a limit, the retries of
/// a partial outage would overload the remaining targets.
const RETRY_BUDGET_PERCENT: u64 = 20;

/// Further retries that the budget allows each second, so that hosts with little traffic can retry.
const RETRY_BUDGET_PER_SECOND: u64 = 1;

/// Requests that may wait in the admission queue of one host.
const MAX_QUEUED_REQUESTS: usize = 10_000;

/// `Retry-After` of a request whose model is still being loaded.
const MODEL_LOADING_RETRY_AFTER: Duration = Duration::from_secs(2);

/// How long a request waits for the first load report of an engine that serves its model.
const FIRST_REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which the library's scheduler expires queued requests and does other timed work.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Output limit in tokens that is assumed for a request without one.
const DEFAULT_MAX_TOKENS: u64 = 65_536;

/// Why an attempt failed before its first token arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The connection was refused or timed out, so the target certainly did not run the request.
    Unreachable,
    /// The target answered that it is leaving and did not run the request.
    Leaving,
    /// The target answered that it did not run the request, for another reason.
    Refused,
    /// The target may have run the request.
    Lost,
}

/// Queues this host's requests and assigns them to targets.
pub struct Scheduler {
    view: SharedView,
    metrics: Arc<Metrics>,
    request_stats: Arc<RequestStats>,
    /// Notified of each load report and of each ejected target.
    target_state_changed: Notify,
    inner: Mutex<Inner>,
    /// Number of target restarts seen so far.
    restarts: watch::Sender<u64>,
}

/// The target that was picked for a request, or why it gets none.
type Placement = Result<Pick, scheduler::Refusal>;

impl fmt::Debug for Scheduler {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Scheduler").finish_non_exhaustive()
    }
}

impl Scheduler {
    /// Creates a scheduler without targets; [`Scheduler::update_targets`] adds them.
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
            queue_limit: MAX_QUEUED_REQUESTS,
        };
        let inner = Inner {
            scheduler: scheduler::Scheduler::new(settings, Instant::now()),
            random: StdRng::from_os_rng(),
            retry_budget: Budget::new(
                RETRY_BUDGET_PERCENT,
                RETRY_BUDGET_PER_SECOND,
                Instant::now(),
            ),
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
            target_state_changed: Notify::new(),
            inner: Mutex::new(inner),
            restarts: watch::Sender::new(0),
        }
    }

    /// Drives the library's timers until the task is aborted.
    pub async fn run(self: Arc<Self>) {
        let mut ticks = interval(TICK_INTERVAL);
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

    /// Queues the request until a target has memory for it.
    ///
    /// # Errors
    ///
    /// Refuses the request as not run if no target can take it within the class's maximum wait.
    pub async fn admit(
        self: &Arc<Self>,
        request: &GenerationRequest,
    ) -> Result<Reservation, Refusal> {
        self.lock().retry_budget.deposit();
        let reservation = self.reserve(request, 1).await?;
        let waited = request.received.elapsed();
        self.metrics
            .queue_wait(&request.organisation, &request.class, waited);
        Ok(reservation)
    }

    /// Finds a target for the next attempt after a failed one, with a backoff.
    ///
    /// # Errors
    ///
    /// Returns `None` if the request's attempts or the host's retry budget are exhausted, and a
    /// refusal if no target could take the next attempt.
    pub async fn readmit(
        self: &Arc<Self>,
        request: &GenerationRequest,
        mut reservation: Reservation,
        failure: Failure,
    ) -> Result<Reservation, Option<Refusal>> {
        reservation.outcome = match failure {
            Failure::Leaving => Outcome::Cancelled,
            Failure::Unreachable | Failure::Refused | Failure::Lost => Outcome::Failed,
        };
        match failure {
            Failure::Leaving => self.mark_leaving(&reservation.target),
            Failure::Unreachable => self.eject(&reservation.target),
            Failure::Refused | Failure::Lost => {}
        }
        let attempt = reservation.attempt + 1;
        let target = reservation.target.clone();
        drop(reservation);
        let now = Instant::now();
        if attempt > MAX_GENERATION_ATTEMPTS || !self.lock().retry_budget.withdraw(now) {
            return Err(None);
        }
        let pause = retry::backoff(attempt - 2, &mut rand::rng());
        sleep(pause).await;
        self.metrics.retried(&target);
        self.reserve(request, attempt).await.map_err(Some)
    }

    /// Records that the target's current incarnation reported itself as leaving.
    fn mark_leaving(&self, target: &Target) {
        let mut inner = self.lock();
        let fleet = inner.scheduler.fleet_mut();
        if let Some(incarnation) = fleet.incarnation(target) {
            info!(target = target.as_str(); "target is leaving");
            fleet.leave(target, incarnation);
        }
    }

    /// Queues one attempt and waits for its reservation.
    async fn reserve(
        self: &Arc<Self>,
        request: &GenerationRequest,
        attempt: u32,
    ) -> Result<Reservation, Refusal> {
        self.await_first_report(request).await;
        let generation = Uuid::new_v4();
        let (sender, placement) = oneshot::channel();
        let mut guard = WithdrawGuard {
            scheduler: self,
            generation,
            is_armed: true,
        };
        let stats_guard = self.request_stats.add_waiting(request);
        self.offer(request, generation, sender);
        let pick = placement
            .await
            .map_err(|_| Refusal::new(Code::NoTarget, "the request lost its place in the queue"))?
            .map_err(|refusal| self.api_refusal(refusal, request))?;
        // From here on, dropping the reservation frees the memory on the target.
        guard.is_armed = false;
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
            // A caller that disconnects before the first token says nothing about the target.
            outcome: Outcome::Cancelled,
            attempt,
            _stats_guard: stats_guard,
        };
        reservation.address = address
            .ok_or_else(|| Refusal::new(Code::NoTarget, "the target is no longer in force"))?;
        Ok(reservation)
    }

    /// Waits until an engine that serves the model has sent a load report or all such engines are
    /// ejected. Just after a start, or after a sheet that names new engines, requests would
    /// otherwise be refused although an engine is available.
    async fn await_first_report(&self, request: &GenerationRequest) {
        let wait = async {
            loop {
                let changed = self.target_state_changed.notified();
                if self.has_target_state(&request.model) {
                    return;
                }
                changed.await;
            }
        };
        // After the timeout, the request is scheduled with what is known by then.
        let _ = timeout(FIRST_REPORT_TIMEOUT, wait).await;
    }

    /// Whether an engine that serves the model has reported its load, or all of them are ejected.
    fn has_target_state(&self, model: &Model) -> bool {
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

    /// Puts an attempt into the admission queue; `sender` gets the decision.
    fn offer(
        &self,
        request: &GenerationRequest,
        generation: Generation,
        sender: oneshot::Sender<Placement>,
    ) {
        let queued = Request {
            generation,
            organisation: request.organisation.clone(),
            model: request.model.clone(),
            class: request.class.clone(),
            priority: request.priority,
            max_wait: request.max_wait.saturating_sub(request.received.elapsed()),
            prompt_tokens: request.prompt_tokens,
            max_tokens: request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            prefixes: request.prefix_hashes.clone(),
        };
        let mut inner = self.lock();
        inner.waiters.insert(generation, sender);
        let Inner {
            scheduler, random, ..
        } = &mut *inner;
        let decisions = scheduler.offer(queued, random, Instant::now());
        inner.deliver(decisions);
    }

    /// Whether all engines that could serve the model were queried and none has it ready.
    fn has_no_ready_engine(&self, model: &Model) -> bool {
        let view = self.view.load();
        let inner = self.lock();
        view.sheet
            .as_ref()
            .is_some_and(|sheet| inventory::has_no_ready_engine(sheet, &inner.loaded_models, model))
    }

    /// Turns the scheduler's refusal into the API's. A model that is not loaded anywhere yet gets a
    /// code and retry time of its own.
    fn api_refusal(&self, refusal: scheduler::Refusal, request: &GenerationRequest) -> Refusal {
        let no_target = scheduler::Refusal::Router(router::Refusal::NoTarget);
        if refusal != no_target || !self.has_no_ready_engine(&request.model) {
            return api_refusal(refusal, request);
        }
        let message = format_compact!("no engine has loaded the model '{}' yet", request.model);
        Refusal::new(Code::ModelNotInForce, message).retry_after(MODEL_LOADING_RETRY_AFTER)
    }

    /// Frees the reservation of an attempt that has ended, and delivers the decisions that follow.
    fn finish(&self, generation: Generation, outcome: Outcome) {
        let mut inner = self.lock();
        inner.reservations.remove(&generation);
        let Inner {
            scheduler, random, ..
        } = &mut *inner;
        let decisions = scheduler.record_finish(generation, outcome, random, Instant::now());
        inner.deliver(decisions);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}
