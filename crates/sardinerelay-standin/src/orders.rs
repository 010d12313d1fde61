//! Orders to an engine: load or unload a model or adapter, or change the engine's role.

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// Number of accepted orders that are kept for reading back.
const MAX_ORDERS: usize = 4096;

/// An order. Its fencing token is the pair of term and sequence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Term of the leader that issued it.
    pub term: u64,
    /// Sequence number within the term.
    pub sequence: u64,
    pub action: Action,
    /// Model; required for `load` and `unload`.
    #[serde(default)]
    pub model: CompactString,
    /// Adapter of the model; if absent, the order applies to the model itself.
    #[serde(default)]
    pub adapter: Option<CompactString>,
    /// Version to load or unload. If absent, `unload` applies to all versions.
    #[serde(default)]
    pub version: Option<CompactString>,
    /// New role; required for `role`.
    #[serde(default)]
    pub role: Option<CompactString>,
}

/// Action that an order requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Load a model or an adapter.
    Load,
    /// Unload a model together with its adapters, or a single adapter.
    Unload,
    /// Change the engine's role.
    Role,
}

/// Treatment of an order whose fencing token is not higher than all accepted ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// The order is refused.
    Checked,
    /// The order is carried out.
    Ignored,
}

/// A model or adapter that is loaded or loading.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Loaded {
    pub model: CompactString,
    /// Name of the adapter; absent for the model itself.
    pub adapter: Option<CompactString>,
    /// Version, if the load order stated one.
    pub version: Option<CompactString>,
    /// Whether loading is complete and requests are served.
    pub ready: bool,
}

/// Response body of `GET /v1/orders` and of an accepted order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StateResponse {
    /// Opaque name of the current start of the engine.
    pub incarnation: CompactString,
    /// Whether fencing tokens are checked.
    pub fencing: Fencing,
    /// Term of the highest accepted fencing token.
    pub term: u64,
    /// Sequence number of the highest accepted fencing token.
    pub sequence: u64,
    /// Current role of the engine; `mixed` until an order changes it.
    pub role: CompactString,
    /// Models and adapters, including those still loading.
    pub loaded: Vec<Loaded>,
    /// The last 4096 accepted orders, oldest first.
    pub orders: Vec<Order>,
    /// Number of orders refused because of their fencing token.
    pub refused: u64,
}

/// Reason why an order was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderError {
    /// The fencing token is not higher than all accepted ones.
    Stale,
    /// The model or role that the action requires is missing.
    Incomplete,
    /// The model or adapter to unload is not loaded, or the model of an adapter to load is not.
    NotLoaded,
}

/// Models, adapters and role of an engine, and the orders that changed them.
#[derive(Debug)]
pub struct Inventory {
    fencing: Fencing,
    load_time: Duration,
    highest_token: (u64, u64),
    role: CompactString,
    items: Vec<ModelEntry>,
    orders: Vec<Order>,
    refused: u64,
}

#[derive(Debug)]
struct ModelEntry {
    model: CompactString,
    adapter: Option<CompactString>,
    version: Option<CompactString>,
    /// Time at which loading is complete; `None` if loaded from the start.
    ready_at: Option<Instant>,
}

impl Inventory {
    /// Creates an inventory with models that are loaded from the start, each as `model` or
    /// `model:adapter`.
    pub fn new(models: &[CompactString], fencing: Fencing, load_time: Duration) -> Self {
        let items = models.iter().map(|name| {
            let (model, adapter) = split_model_name(name);
            ModelEntry {
                model: model.into(),
                adapter: adapter.map(Into::into),
                version: None,
                ready_at: None,
            }
        });
        Self {
            fencing,
            load_time,
            highest_token: (0, 0),
            role: "mixed".into(),
            items: items.collect(),
            orders: Vec::new(),
            refused: 0,
        }
    }

    /// Carries out an order. A repeat of the last accepted order is accepted without effect.
    ///
    /// # Errors
    ///
    /// Returns the reason if the order is refused, in which case models and role are unchanged.
    pub fn accept(&mut self, order: Order, now: Instant) -> Result<(), OrderError> {
        if self.orders.last() == Some(&order) {
            return Ok(());
        }
        let token = (order.term, order.sequence);
        if self.fencing == Fencing::Checked && token <= self.highest_token {
            self.refused += 1;
            return Err(OrderError::Stale);
        }
        match order.action {
            Action::Load => self.load(&order, now)?,
            Action::Unload => self.unload(&order)?,
            Action::Role => self.role = order.role.clone().ok_or(OrderError::Incomplete)?,
        }
        self.highest_token = self.highest_token.max(token);
        self.orders.push(order);
        if self.orders.len() > MAX_ORDERS {
            self.orders.remove(0);
        }
        Ok(())
    }

    /// Whether requests for `model` or `model:adapter` are served. Without `check_adapter`, only
    /// the model has to be ready.
    pub fn serves(&self, name: &str, check_adapter: bool, now: Instant) -> bool {
        let (model, adapter) = split_model_name(name);
        let ready = |adapter: Option<&str>| {
            self.items.iter().any(|item| {
                item.model == model && item.adapter.as_deref() == adapter && item.is_ready(now)
            })
        };
        ready(None) && (adapter.is_none() || !check_adapter || ready(adapter))
    }

    /// Returns the current state, with the models and adapters that are ready at `now`.
    pub fn state(&self, incarnation: CompactString, now: Instant) -> StateResponse {
        let loaded = self.items.iter().map(|item| Loaded {
            model: item.model.clone(),
            adapter: item.adapter.clone(),
            version: item.version.clone(),
            ready: item.is_ready(now),
        });
        StateResponse {
            incarnation,
            fencing: self.fencing,
            term: self.highest_token.0,
            sequence: self.highest_token.1,
            role: self.role.clone(),
            loaded: loaded.collect(),
            orders: self.orders.clone(),
            refused: self.refused,
        }
    }

    fn load(&mut self, order: &Order, now: Instant) -> Result<(), OrderError> {
        if order.model.is_empty() {
            return Err(OrderError::Incomplete);
        }
        let base = |item: &ModelEntry| item.model == order.model && item.adapter.is_none();
        if order.adapter.is_some() && !self.items.iter().any(base) {
            return Err(OrderError::NotLoaded);
        }
        let is_present = |item: &ModelEntry| item.matches(order) && item.version == order.version;
        if self.items.iter().any(is_present) {
            return Ok(());
        }
        self.items.push(ModelEntry {
            model: order.model.clone(),
            adapter: order.adapter.clone(),
            version: order.version.clone(),
            ready_at: Some(now + self.load_time),
        });
        Ok(())
    }

    /// Removes the version that the order states, or all versions if it states none. An empty
    /// version stands for models loaded from the start.
    fn unload(&mut self, order: &Order) -> Result<(), OrderError> {
        let before = self.items.len();
        self.items.retain(|item| {
            let is_of_model = order.adapter.is_none() && item.model == order.model;
            let held = item.version.as_deref().unwrap_or_default();
            let has_version = order.version.as_ref().is_none_or(|version| held == version);
            !(has_version && (is_of_model || item.matches(order)))
        });
        if self.items.len() == before {
            return Err(OrderError::NotLoaded);
        }
        Ok(())
    }
}

impl ModelEntry {
    fn matches(&self, order: &Order) -> bool {
        self.model == order.model && self.adapter == order.adapter
    }

    fn is_ready(&self, now: Instant) -> bool {
        self.ready_at.is_none_or(|at| at <= now)
    }
}

/// Splits `model:adapter` into its parts.
fn split_model_name(name: &str) -> (&str, Option<&str>) {
    match name.split_once(':') {
        Some((model, adapter)) => (model, Some(adapter)),
        None => (name, None),
    }
}
