//! Controller on the leader that has the engines load and unload models as the sheet states.
//!
//! `docs/design/orders.md` explains why orders are sent under a lease and with a fencing token, and
//! which fault remains for engines that ignore the token.

mod demand;

use {
    crate::{
        engine::{
            Client, LoadedModel,
            order::{self, Body, Outcome},
        },
        metrics::Metrics,
        report::Collector,
    },
    futures::future::join_all,
    log::{info, warn},
    sardinerelay::{
        id::{Target, Term},
        lease::FencingToken,
        orders::{Action, Artifact, Inventory, Order, Planner, StoreLimits, desired},
        sheet::{Server, Sheet},
    },
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Interval between two comparisons of the engines with the sheet.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(500);

/// How long an order may take from sending to its response. A new leader delays its first order by
/// this time too, for orders of its predecessor that are still in flight. The timeout and one
/// missed heartbeat of 100 ms together fit into a renewed lease of 540 ms.
const ORDER_TIMEOUT: Duration = Duration::from_millis(250);

/// Age after which the remaining orders of a plan are dropped, because its inputs may be outdated.
const MAX_PLAN_AGE: Duration = Duration::from_secs(2);

/// How long an engine that refused an order gets no further ones, so that it does not take the
/// limited load slots of the weight store from other engines.
const REFUSAL_BACKOFF: Duration = Duration::from_secs(10);

/// The models that each engine has loaded.
type Inventories = BTreeMap<Target, Inventory>;

/// Sends orders to the engines while this host is the leader.
#[derive(Debug)]
pub struct Controller {
    /// Source of this host's report, its control thread and its scheduler.
    pub collector: Collector,
    /// Client for engines.
    pub client: Client,
    /// Counts orders by outcome.
    pub metrics: Arc<Metrics>,
    /// Limits on concurrent loads from the weight store.
    pub store: StoreLimits,
    /// Delay between deciding on an order and sending it, for failover tests.
    pub send_delay: Duration,
}

/// A leader's state within one term. A restarted leader has a new term.
#[derive(Debug)]
struct TermState {
    term: Term,
    /// When this controller noticed the term, which is no earlier than the election.
    since: Instant,
    /// The token of the last order of this term.
    fencing_token: FencingToken,
    planner: Planner,
    /// Engines that refused an order, with the time until which they get no further ones.
    backoff: BTreeMap<Target, Instant>,
}

impl Controller {
    /// Reconciles periodically until the task is aborted.
    pub async fn run(self) {
        let mut state = None;
        loop {
            state = self.reconcile_if_leading(state).await;
            sleep(RECONCILE_INTERVAL).await;
        }
    }

    /// Reconciles once if this host is the leader and holds the lease. The term's state is kept
    /// while the lease is missing, so that fencing sequence numbers are never reused within a term.
    async fn reconcile_if_leading(&self, before: Option<TermState>) -> Option<TermState> {
        let Some(leadership) = self.collector.control.leadership().await else {
            return before;
        };
        let mut state = before
            .filter(|state| state.term == leadership.term)
            .unwrap_or_else(|| TermState::new(leadership.term, self.store));
        let published = self.collector.control.published().borrow().clone();
        // Without the lease, another leader may already have put a newer sheet in force.
        if let Some(sheet) = &published.sheet
            && leadership.lease.is_held(Instant::now())
        {
            self.reconcile(&mut state, sheet, published.version).await;
        }
        Some(state)
    }

    /// Plans and sends the orders that bring the engines to the state of the sheet.
    async fn reconcile(&self, state: &mut TermState, sheet: &Sheet, version: u64) {
        if is_settled(sheet, &self.inventories(sheet, state).await) {
            return;
        }
        let demand = demand::gather(&self.collector, sheet, version).await;
        // Queried again, because an engine may have restarted while the other hosts were asked.
        let inventories = self.inventories(sheet, state).await;
        let now = Instant::now();
        let orders = state.planner.plan(sheet, &inventories, &demand, now);
        let targets = sheet.targets_by_name();
        for order in orders {
            let target = targets.get(order.target.as_str());
            match target.filter(|_| now.elapsed() < MAX_PLAN_AGE) {
                Some(target) => self.send_order(state, target, &order).await,
                None => state.planner.forget_unsent(&order),
            }
        }
    }

    /// Queries the loaded models of the sheet's engines. Engines that are leaving, in backoff or do
    /// not answer are left out and get no orders.
    async fn inventories(&self, sheet: &Sheet, state: &mut TermState) -> Inventories {
        let now = Instant::now();
        state.backoff.retain(|_, until| now < *until);
        let scheduler = &self.collector.scheduler;
        let reports = scheduler.load_reports();
        let engines = sheet.targets.iter().filter(|target| {
            let is_unavailable =
                reports.contains_key(&target.name) && !scheduler.is_eligible(&target.name);
            let is_in_backoff = state.backoff.contains_key(&target.name);
            target.memory_tokens > 0 && !is_unavailable && !is_in_backoff
        });
        let queries = engines.map(|target| async {
            let loaded = self.client.loaded_models(target.address).await.ok()?;
            Some((target.name.clone(), inventory(loaded)))
        });
        join_all(queries).await.into_iter().flatten().collect()
    }

    /// Sends one order, and records and logs its outcome.
    async fn send_order(&self, state: &mut TermState, target: &Server, order: &Order) {
        let fencing_token = state.fencing_token.advance();
        let body = body(order, fencing_token);
        let outcome = self.send_if_allowed(state, target, &body).await;
        if outcome.is_unsent() {
            state.planner.forget_unsent(order);
        }
        if outcome == Outcome::Refused || outcome == Outcome::Stale {
            let until = Instant::now() + REFUSAL_BACKOFF;
            state.backoff.insert(target.name.clone(), until);
        }
        self.metrics.ordered(body.action, outcome.as_str());
        log_order(target, &order.artifact, &body, outcome);
    }

    /// Sends one order if this host may. For an engine that checks the fencing token, neither the
    /// lease nor a new leader's wait is needed, as it refuses orders of an earlier leader itself.
    async fn send_if_allowed(&self, state: &TermState, target: &Server, body: &Body) -> Outcome {
        let Some(connection) = order::connect(target.address).await else {
            return Outcome::Unreachable;
        };
        if !self.send_delay.is_zero() {
            self.metrics.ordered(body.action, "decided");
            sleep(self.send_delay).await;
        }
        if target.checks_fencing {
            let deadline = Instant::now() + ORDER_TIMEOUT;
            return connection.send(body, None, deadline).await;
        }
        let leadership = self.collector.control.leadership().await;
        let Some(leadership) = leadership.filter(|leadership| leadership.term == state.term) else {
            return Outcome::Uncovered;
        };
        let now = Instant::now();
        if now < leadership.lease.first_order_at(state.since, ORDER_TIMEOUT) {
            return Outcome::Uncovered;
        }
        connection
            .send(body, Some(leadership.lease), now + ORDER_TIMEOUT)
            .await
    }
}

impl TermState {
    fn new(term: Term, store: StoreLimits) -> Self {
        Self {
            term,
            since: Instant::now(),
            fencing_token: FencingToken::new(term),
            planner: Planner::new(store),
            backoff: BTreeMap::new(),
        }
    }
}

/// Whether every engine that was queried has exactly the models of the sheet loaded, all ready.
fn is_settled(sheet: &Sheet, inventories: &Inventories) -> bool {
    let wanted = desired(sheet);
    inventories.iter().all(|(target, inventory)| {
        let wanted = wanted.get(target);
        let is_exact = wanted.is_some_and(|wanted| inventory.keys().eq(wanted.iter()));
        is_exact && inventory.values().all(|ready| *ready)
    })
}

fn inventory(loaded: Vec<LoadedModel>) -> Inventory {
    let entry = |loaded: LoadedModel| {
        let artifact = Artifact {
            model: loaded.model,
            adapter: loaded.adapter.unwrap_or_default(),
            version: loaded.version.unwrap_or_default(),
        };
        (artifact, loaded.ready)
    };
    loaded.into_iter().map(entry).collect()
}

fn body(order: &Order, fencing_token: FencingToken) -> Body {
    let artifact = &order.artifact;
    Body {
        term: fencing_token.term,
        sequence: fencing_token.sequence,
        action: match order.action {
            Action::Load => "load",
            Action::Unload => "unload",
        },
        model: artifact.model.clone(),
        adapter: (!artifact.adapter.is_empty()).then(|| artifact.adapter.clone()),
        version: artifact.version.clone(),
    }
}

fn log_order(target: &Server, artifact: &Artifact, body: &Body, outcome: Outcome) {
    let Body {
        term,
        sequence,
        action,
        ..
    } = body;
    let Artifact {
        model,
        adapter,
        version,
    } = artifact;
    let message = format!(
        "order {term}.{sequence} to {action} model '{model}', adapter '{adapter}', version \
         '{version}': {}",
        outcome.as_str()
    );
    match outcome {
        Outcome::Accepted | Outcome::Uncovered => info!(target = target.name.as_str(); "{message}"),
        _ => warn!(target = target.name.as_str(); "{message}"),
    }
}
