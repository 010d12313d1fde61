//! Which orders bring the engines from what they have loaded to what the sheet wants.
//!
//! The planner states the wanted end and is asked again with what the engines read back, so a lost
//! or repeated order does no harm. Two rules keep callers from being stranded: a target loads
//! everything it shall run before it unloads anything, and the last ready copy of a model that is
//! still wanted or in use is never unloaded. The weight store is rate-limited, so loads are
//! started one permit at a time, those with waiting callers first.

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

/// Something that an engine can load: a model, or an adapter of it, in one version.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Artifact {
    /// The model.
    pub model: Model,
    /// The adapter, or empty for the model itself.
    pub adapter: CompactString,
    /// The version.
    pub version: CompactString,
}

/// What an engine reads back, each artifact with whether it is ready.
pub type Inventory = BTreeMap<Artifact, bool>;

/// What to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Fetch the weights and load them.
    Load,
    /// Free the memory.
    Unload,
}

/// One order to one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The engine.
    pub target: Target,
    /// What to do.
    pub action: Action,
    /// With what.
    pub artifact: Artifact,
}

/// Bounds of the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreLimits {
    /// Loads that may run at the same time, over all engines.
    pub max_concurrent: usize,
    /// Least time between the starts of two loads.
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

/// Use of models by callers.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    /// Requests that wait for each model.
    pub waiting: BTreeMap<Model, u64>,
    /// Targets with requests in flight.
    pub busy: BTreeSet<Target>,
}

/// Works out orders.
#[derive(Debug)]
pub struct Planner {
    store: StoreLimits,
    started: Option<Instant>,
    /// Loads that were ordered and don't show in the read-back yet.
    ordered: BTreeMap<(Target, Artifact), Instant>,
}

/// Time in which an accepted order shows in the read-back. After it, the order counts as lost.
const ECHO: Duration = Duration::from_secs(5);

impl Planner {
    /// A planner without orders under way, as after a change of leader.
    pub fn new(store: StoreLimits) -> Self {
        Self {
            store,
            started: None,
            ordered: BTreeMap::new(),
        }
    }

    /// The orders to send now. Engines without an inventory get none, because what they have is
    /// not known.
    pub fn plan(
        &mut self,
        sheet: &Sheet,
        inventories: &BTreeMap<Target, Inventory>,
        demand: &Demand,
        now: Instant,
    ) -> Vec<Order> {
        self.ordered.retain(|(target, artifact), at| {
            let shown = inventories
                .get(target)
                .is_some_and(|inventory| inventory.contains_key(artifact));
            !shown && now.saturating_duration_since(*at) < ECHO
        });
        let wanted = desired(sheet);
        let mut orders = self.loads(&wanted, inventories, demand, now);
        orders.extend(unloads(&wanted, inventories, demand));
        orders
    }

    /// Takes back a load that was certainly not sent, so that it holds no permit.
    pub fn forget_unsent(&mut self, order: &Order) {
        self.ordered
            .remove(&(order.target.clone(), order.artifact.clone()));
    }

    fn loads(
        &mut self,
        wanted: &BTreeMap<Target, BTreeSet<Artifact>>,
        inventories: &BTreeMap<Target, Inventory>,
        demand: &Demand,
        now: Instant,
    ) -> Vec<Order> {
        let mut missing = self.missing(wanted, inventories);
        missing.sort_by_key(|(target, artifact)| {
            let waiting = demand.waiting.get(&artifact.model).copied().unwrap_or(0);
            let copies = ready_copies(inventories, artifact);
            // A model has to be there before its adapters.
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
            .saturating_sub(loading + self.ordered.len());
        let mut orders = Vec::new();
        for (target, artifact) in missing.into_iter().take(free) {
            let due = self
                .started
                .is_none_or(|at| now.saturating_duration_since(at) >= self.store.min_interval);
            if !due {
                break;
            }
            self.started = Some(now);
            self.ordered.insert((target.clone(), artifact.clone()), now);
            orders.push(Order {
                target: target.clone(),
                action: Action::Load,
                artifact: artifact.clone(),
            });
        }
        orders
    }

    /// Wanted artifacts that are neither loaded, nor loading, nor ordered. An adapter is missing
    /// only once its model is ready.
    fn missing<'a>(
        &self,
        wanted: &'a BTreeMap<Target, BTreeSet<Artifact>>,
        inventories: &BTreeMap<Target, Inventory>,
    ) -> Vec<(&'a Target, &'a Artifact)> {
        let mut missing = Vec::new();
        for (target, artifacts) in wanted {
            let Some(inventory) = inventories.get(target) else {
                continue;
            };
            for artifact in artifacts {
                let known = inventory.contains_key(artifact)
                    || self
                        .ordered
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
    /// The model that an adapter belongs to, in the same version.
    fn base(&self) -> Self {
        Self {
            adapter: CompactString::default(),
            ..self.clone()
        }
    }
}

/// What each engine shall have loaded.
pub fn desired(sheet: &Sheet) -> BTreeMap<Target, BTreeSet<Artifact>> {
    let mut wanted: BTreeMap<Target, BTreeSet<Artifact>> = BTreeMap::new();
    for target in sheet
        .targets
        .iter()
        .filter(|target| target.memory_tokens > 0)
    {
        wanted.insert(target.name.clone(), BTreeSet::new());
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
            let entry = wanted.entry(target.clone()).or_default();
            entry.extend(artifacts.iter().cloned());
        }
    }
    wanted
}

fn unloads(
    wanted: &BTreeMap<Target, BTreeSet<Artifact>>,
    inventories: &BTreeMap<Target, Inventory>,
    demand: &Demand,
) -> Vec<Order> {
    let mut orders = Vec::new();
    for (target, inventory) in inventories {
        let Some(here) = wanted.get(target) else {
            continue;
        };
        let ready = |artifact: &Artifact| inventory.get(artifact).copied().unwrap_or(false);
        if !here.iter().all(ready) {
            continue;
        }
        let surplus = inventory
            .keys()
            .filter(|artifact| !here.contains(*artifact));
        for artifact in surplus {
            if may_unload(target, artifact, wanted, inventories, demand) {
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

/// Whether no caller is stranded without this copy.
fn may_unload(
    target: &Target,
    artifact: &Artifact,
    wanted: &BTreeMap<Target, BTreeSet<Artifact>>,
    inventories: &BTreeMap<Target, Inventory>,
    demand: &Demand,
) -> bool {
    if demand.busy.contains(target) {
        return false;
    }
    let serves =
        |other: &Artifact| other.model == artifact.model && other.adapter == artifact.adapter;
    let mut wanted_somewhere = false;
    let mut ready_where_wanted = false;
    for (name, artifacts) in wanted {
        for other in artifacts.iter().filter(|other| serves(other)) {
            wanted_somewhere = true;
            let inventory = inventories.get(name);
            ready_where_wanted |= inventory
                .and_then(|inventory| inventory.get(other))
                .copied()
                .unwrap_or(false);
        }
    }
    let waiting = demand.waiting.get(&artifact.model).copied().unwrap_or(0) > 0;
    ready_where_wanted || (!wanted_somewhere && !waiting)
}

fn ready_copies(inventories: &BTreeMap<Target, Inventory>, artifact: &Artifact) -> usize {
    let ready = |inventory: &&Inventory| inventory.get(artifact).copied().unwrap_or(false);
    inventories.values().filter(ready).count()
}
