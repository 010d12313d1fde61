//! Controller that brings the engines to what the sheet wants, on the leader only.
//!
//! `docs/design/orders.md` states why orders are sent under a lease and with a fencing token, and
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

/// Interval between two comparisons of engines and sheet.
const INTERVAL: Duration = Duration::from_millis(500);

/// Time from sending an order to its answer, and the flight time that a new leader adds to its
/// wait. It fits into a renewed lease of 540 ms together with one missed heartbeat of 100 ms.
const DEADLINE: Duration = Duration::from_millis(250);

/// Age after which the rest of a plan is dropped, because what it rests on may have changed.
const PLAN_AGE: Duration = Duration::from_secs(2);

/// Time without orders to an engine that refused one, so that it does not keep the permits of
/// the weight store from the others.
const BACKOFF: Duration = Duration::from_secs(10);

/// What an engine reads back, by engine.
type Inventories = BTreeMap<Target, Inventory>;

/// Sends orders while this host leads.
#[derive(Debug)]
pub struct Controller {
    /// This host and the reports of the others.
    pub collector: Collector,
    /// Connections to engines.
    pub client: Client,
    /// Counters of orders.
    pub metrics: Arc<Metrics>,
    /// Bounds of the weight store.
    pub store: StoreLimits,
    /// Pause between deciding on an order and sending it, for tests of failover.
    pub send_delay: Duration,
}

/// What a leader knows within one term. A restarted leader has a new term.
#[derive(Debug)]
struct Leadership {
    term: Term,
    /// When this controller noticed that it leads, which is no earlier than the election.
    since: Instant,
    fence: FencingToken,
    planner: Planner,
    backoff: BTreeMap<Target, Instant>,
}

impl Controller {
    /// Runs until the task is aborted.
    pub async fn run(self) {
        let mut leadership = None;
        loop {
            leadership = self.round(leadership).await;
            sleep(INTERVAL).await;
        }
    }

    /// Compares engines and sheet once, if this host leads. What is known in a term is kept while
    /// the lease is missing, so that the sequence never starts again within it.
    async fn round(&self, before: Option<Leadership>) -> Option<Leadership> {
        let Some(tenure) = self.collector.control.tenure().await else {
            return before;
        };
        let mut leadership = before
            .filter(|leadership| leadership.term == tenure.term)
            .unwrap_or_else(|| Leadership::new(tenure.term, self.store));
        let published = self.collector.control.published().borrow().clone();
        // Without the lease, a newer sheet may be in force elsewhere.
        if let Some(sheet) = &published.sheet
            && tenure.lease.is_held(Instant::now())
        {
            self.reconcile(&mut leadership, sheet, published.version)
                .await;
        }
        Some(leadership)
    }

    async fn reconcile(&self, leadership: &mut Leadership, sheet: &Sheet, version: u64) {
        if settled(sheet, &self.inventories(sheet, leadership).await) {
            return;
        }
        let demand = demand::gather(&self.collector, sheet, version).await;
        // Read again, because an engine may have lost its models while other hosts were asked.
        let inventories = self.inventories(sheet, leadership).await;
        let now = Instant::now();
        let orders = leadership.planner.plan(sheet, &inventories, &demand, now);
        let targets = sheet.targets_by_name();
        for order in orders {
            let target = targets.get(order.target.as_str());
            match target.filter(|_| now.elapsed() < PLAN_AGE) {
                Some(target) => self.order(leadership, target, &order).await,
                None => leadership.planner.forget_unsent(&order),
            }
        }
    }

    /// What the engines of the sheet that take orders have loaded. Engines that can't be read are
    /// left out.
    async fn inventories(&self, sheet: &Sheet, leadership: &mut Leadership) -> Inventories {
        let now = Instant::now();
        leadership.backoff.retain(|_, until| now < *until);
        let scheduler = &self.collector.scheduler;
        let reports = scheduler.load_reports();
        let engines = sheet.targets.iter().filter(|target| {
            let leaves = reports.contains_key(&target.name) && !scheduler.is_eligible(&target.name);
            let waits = leadership.backoff.contains_key(&target.name);
            target.memory_tokens > 0 && !leaves && !waits
        });
        let read = engines.map(|target| async {
            let loaded = self.client.loaded_models(target.address).await.ok()?;
            Some((target.name.clone(), inventory(loaded)))
        });
        join_all(read).await.into_iter().flatten().collect()
    }

    async fn order(&self, leadership: &mut Leadership, target: &Server, order: &Order) {
        let fence = leadership.fence.advance();
        let body = body(order, fence);
        let outcome = self.send(leadership, target, &body).await;
        if outcome.is_unsent() {
            leadership.planner.forget_unsent(order);
        }
        if outcome == Outcome::Refused || outcome == Outcome::Stale {
            let until = Instant::now() + BACKOFF;
            leadership.backoff.insert(target.name.clone(), until);
        }
        self.metrics.ordered(body.action, outcome.as_str());
        log_order(target, &order.artifact, &body, outcome);
    }

    /// Sends one order if this host may. An engine that checks the token needs neither the lease
    /// nor the wait, because it refuses an order of an earlier leader itself.
    async fn send(&self, leadership: &Leadership, target: &Server, body: &Body) -> Outcome {
        let Some(connection) = order::connect(target.address).await else {
            return Outcome::Unreachable;
        };
        if !self.send_delay.is_zero() {
            self.metrics.ordered(body.action, "decided");
            sleep(self.send_delay).await;
        }
        if target.checks_fencing {
            let deadline = Instant::now() + DEADLINE;
            return connection.send(body, None, deadline).await;
        }
        let tenure = self.collector.control.tenure().await;
        let Some(tenure) = tenure.filter(|tenure| tenure.term == leadership.term) else {
            return Outcome::Uncovered;
        };
        let now = Instant::now();
        if now < tenure.lease.first_order_at(leadership.since, DEADLINE) {
            return Outcome::Uncovered;
        }
        connection
            .send(body, Some(tenure.lease), now + DEADLINE)
            .await
    }
}

impl Leadership {
    fn new(term: Term, store: StoreLimits) -> Self {
        Self {
            term,
            since: Instant::now(),
            fence: FencingToken::new(term),
            planner: Planner::new(store),
            backoff: BTreeMap::new(),
        }
    }
}

/// Whether every engine that was read has exactly what the sheet wants, ready.
fn settled(sheet: &Sheet, inventories: &Inventories) -> bool {
    let wanted = desired(sheet);
    inventories.iter().all(|(target, inventory)| {
        let here = wanted.get(target);
        let known = here.is_some_and(|here| inventory.keys().eq(here.iter()));
        known && inventory.values().all(|ready| *ready)
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

fn body(order: &Order, fence: FencingToken) -> Body {
    let artifact = &order.artifact;
    Body {
        term: fence.term,
        sequence: fence.sequence,
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
    let line = format!(
        "order {term}.{sequence} to {action} model '{model}', adapter '{adapter}', version \
         '{version}': {}",
        outcome.as_str()
    );
    match outcome {
        Outcome::Accepted | Outcome::Uncovered => info!(target = target.name.as_str(); "{line}"),
        _ => warn!(target = target.name.as_str(); "{line}"),
    }
}
