//! Reconciles what the engines have loaded with what the sheet asks for.
//!
//! The planner compares the desired state with what the engines report as loaded (their read-back)
//! and returns the orders to send. It is called again and again, so a lost or repeated order does
//! no harm. Two rules keep a model available to callers: a target loads everything it should run
//! before it unloads anything, and the last ready copy of a model that is still desired or in use
//! is never unloaded. The weight store is rate-limited, so the number and frequency of loads are
//! limited, and models with waiting requests are loaded first.

use {
    crate::{
        id::{Model, Target},
        sheet::Sheet,
    },
    compact_str::CompactString,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Something that an engine can load: one version of a model or of an adapter of it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Artifact {
    /// The model's name, without an adapter.
    pub model: Model,
    /// The adapter, or empty for the model itself.
    pub adapter: CompactString,
    /// The model's version, which its adapters share. Empty if the engine reports none.
    pub version: CompactString,
}

/// What an engine reports as loaded or loading, each artifact with whether it is ready.
pub type Inventory = BTreeMap<Artifact, bool>;

/// What an engine has to do with an artifact.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Fetch the weights from the weight store and load them.
    Load,
    /// Free the memory of the weights.
    Unload,
}

/// An instruction to one engine to load or unload an artifact.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The engine that receives the order.
    pub target: Target,
    /// What the engine has to do.
    pub action: Action,
    /// The artifact to load or unload.
    pub artifact: Artifact,
}

/// Limits that protect the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreLimits {
    /// Maximum number of loads that run at the same time, on all engines together.
    pub max_concurrent: usize,
    /// Minimum time between the starts of two loads.
    pub min_interval: Duration,
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self {
            max_concurrent: 2,
            min_interval: Duration::from_millis(500),
        }
    }
}

/// Which models and targets callers use.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    /// Number of requests that wait for each model.
    pub waiting: BTreeMap<Model, u64>,
    /// Targets with requests in flight.
    pub busy: BTreeSet<Target>,
}

/// Plans the orders to all engines.
#[derive(Debug)]
pub struct Planner {
    store: StoreLimits,
    last_load_at: Option<Instant>,
    /// Loads that were ordered and that the engine doesn't report yet, with the time of the order.
    pending_loads: BTreeMap<(Target, Artifact), Instant>,
}

/// Time after which an order counts as lost if the engine doesn't report the artifact.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(5);

impl Planner {
    /// Creates a planner without pending loads, as after a change of leader.
    pub fn new(store: StoreLimits) -> Self {
        Self {
            store,
            last_load_at: None,
            pending_loads: BTreeMap::new(),
        }
    }

    /// Returns the orders to send now. An engine without an inventory gets none, because it is not
    /// known what it has loaded.
    pub fn plan(
        &mut self,
        sheet: &Sheet,
        inventories: &BTreeMap<Target, Inventory>,
        demand: &Demand,
        now: Instant,
    ) -> Vec<Order> {
        self.pending_loads.retain(|(target, artifact), at| {
            let is_reported = inventories
                .get(target)
                .is_some_and(|inventory| inventory.contains_key(artifact));
            !is_reported && now.saturating_duration_since(*at) < READ_BACK_TIMEOUT
        });
        let desired = desired(sheet);
        let mut orders = self.loads(&desired, inventories, demand, now);
        orders.extend(unloads(&desired, inventories, demand));
        orders
    }

    /// Removes a pending load whose order was certainly not sent, so that it doesn't count against
    /// the limit of concurrent loads.
    pub fn forget_unsent(&mut self, order: &Order) {
        self.pending_loads
            .remove(&(order.target.clone(), order.artifact.clone()));
    }

    fn loads(
        &mut self,
        desired: &BTreeMap<Target, BTreeSet<Artifact>>,
        inventories: &BTreeMap<Target, Inventory>,
        demand: &Demand,
        now: Instant,
    ) -> Vec<Order> {
        let mut missing = self.missing(desired, inventories);
        missing.sort_by_key(|(target, artifact)| {
            let waiting = demand.waiting.get(&artifact.model).copied().unwrap_or(0);
            let copies = ready_copies(inventories, artifact);
            // Waiting requests and few copies come first, and a model before its adapters.
            (
                Reverse(waiting),
                copies,
                !artifact.adapter.is_empty(),
                (*target).clone(),
                (*artifact).clone(),
            )
        });
        let loading = inventories
            .values()
            .flat_map(BTreeMap::values)
            .filter(|ready| !**ready)
            .count();
        let free = self
            .store
            .max_concurrent
            .saturating_sub(loading + self.pending_loads.len());
        let mut orders = Vec::new();
        for (target, artifact) in missing.into_iter().take(free) {
            let is_due = self
                .last_load_at
                .is_none_or(|at| now.saturating_duration_since(at) >= self.store.min_interval);
            if !is_due {
                break;
            }
            self.last_load_at = Some(now);
            self.pending_loads
                .insert((target.clone(), artifact.clone()), now);
            orders.push(Order {
                target: target.clone(),
                action: Action::Load,
                artifact: artifact.clone(),
            });
        }
        orders
    }

    /// Returns the desired artifacts that are neither loaded nor loading nor ordered. An adapter is
    /// included only once its model is ready.
    fn missing<'a>(
        &self,
        desired: &'a BTreeMap<Target, BTreeSet<Artifact>>,
        inventories: &BTreeMap<Target, Inventory>,
    ) -> Vec<(&'a Target, &'a Artifact)> {
        let mut missing = Vec::new();
        for (target, artifacts) in desired {
            let Some(inventory) = inventories.get(target) else {
                continue;
            };
            for artifact in artifacts {
                let known = inventory.contains_key(artifact)
                    || self
                        .pending_loads
                        .contains_key(&(target.clone(), artifact.clone()));
                let base_ready = artifact.adapter.is_empty()
                    || inventory.get(&artifact.base()).copied().unwrap_or(false);
                if !known && base_ready {
                    missing.push((target, artifact));
                }
            }
        }
        missing
    }
}

impl Artifact {
    /// Returns the model that an adapter belongs to, in the same version.
    fn base(&self) -> Self {
        Self {
            adapter: CompactString::default(),
            ..self.clone()
        }
    }
}

/// Returns what each engine should have loaded according to the sheet.
pub fn desired(sheet: &Sheet) -> BTreeMap<Target, BTreeSet<Artifact>> {
    let mut desired: BTreeMap<Target, BTreeSet<Artifact>> = BTreeMap::new();
    for target in sheet
        .targets
        .iter()
        .filter(|target| target.memory_tokens > 0)
    {
        desired.insert(target.name.clone(), BTreeSet::new());
    }
    for model in &sheet.models {
        let adapters = model.adapters.iter().cloned();
        let artifacts: Vec<Artifact> = std::iter::once(CompactString::default())
            .chain(adapters)
            .map(|adapter| Artifact {
                model: model.name.clone(),
                adapter,
                version: model.version.clone(),
            })
            .collect();
        for target in &model.targets {
            let entry = desired.entry(target.clone()).or_default();
            entry.extend(artifacts.iter().cloned());
        }
    }
    desired
}

fn unloads(
    desired: &BTreeMap<Target, BTreeSet<Artifact>>,
    inventories: &BTreeMap<Target, Inventory>,
    demand: &Demand,
) -> Vec<Order> {
    let mut orders = Vec::new();
    for (target, inventory) in inventories {
        let Some(desired_here) = desired.get(target) else {
            continue;
        };
        let ready = |artifact: &Artifact| inventory.get(artifact).copied().unwrap_or(false);
        if !desired_here.iter().all(ready) {
            continue;
        }
        let surplus = inventory
            .keys()
            .filter(|artifact| !desired_here.contains(*artifact));
        for artifact in surplus {
            if can_unload(target, artifact, desired, inventories, demand) {
                orders.push(Order {
                    target: target.clone(),
                    action: Action::Unload,
                    artifact: artifact.clone(),
                });
            }
        }
    }
    orders
}

/// Whether callers can do without this copy: its engine has no requests in flight, and a desired
/// copy is ready somewhere or nobody asks for the model any more.
fn can_unload(
    target: &Target,
    artifact: &Artifact,
    desired: &BTreeMap<Target, BTreeSet<Artifact>>,
    inventories: &BTreeMap<Target, Inventory>,
    demand: &Demand,
) -> bool {
    if demand.busy.contains(target) {
        return false;
    }
    let is_same_model =
        |other: &Artifact| other.model == artifact.model && other.adapter == artifact.adapter;
    let mut desired_somewhere = false;
    let mut ready_where_desired = false;
    for (name, artifacts) in desired {
        for other in artifacts.iter().filter(|other| is_same_model(other)) {
            desired_somewhere = true;
            let inventory = inventories.get(name);
            ready_where_desired |= inventory
                .and_then(|inventory| inventory.get(other))
                .copied()
                .unwrap_or(false);
        }
    }
    let waiting = demand.waiting.get(&artifact.model).copied().unwrap_or(0) > 0;
    ready_where_desired || (!desired_somewhere && !waiting)
}

fn ready_copies(inventories: &BTreeMap<Target, Inventory>, artifact: &Artifact) -> usize {
    let ready = |inventory: &&Inventory| inventory.get(artifact).copied().unwrap_or(false);
    inventories.values().filter(ready).count()
}
