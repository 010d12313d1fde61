//! Orders that an engine accepts: load or unload a model or adapter, or change role.

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// Most orders that are kept to be read back.
const MAX_ORDERS: usize = 4096;

/// An order with its fencing token, which is the pair of term and sequence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Term of the leader that sent it.
    pub term: u64,
    /// Position within the term.
    pub sequence: u64,
    /// What to do.
    pub action: Action,
    /// Model; needed by `load` and `unload`.
    #[serde(default)]
    pub model: CompactString,
    /// Adapter beside the model; without one the order concerns the model itself.
    #[serde(default)]
    pub adapter: Option<CompactString>,
    /// Version to load, or to unload while others stay.
    #[serde(default)]
    pub version: Option<CompactString>,
    /// New role; needed by `role`.
    #[serde(default)]
    pub role: Option<CompactString>,
}

/// What an order asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Load a model or an adapter.
    Load,
    /// Unload a model with its adapters, or an adapter.
    Unload,
    /// Change the engine's role.
    Role,
}

/// What an engine does with an old fencing token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// It refuses the order.
    Checked,
    /// It carries the order out.
    Ignored,
}

/// A model or adapter that is loaded or being loaded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Loaded {
    /// Name of the model.
    pub model: CompactString,
    /// Name of the adapter, if this is one.
    pub adapter: Option<CompactString>,
    /// Version, if one was stated.
    pub version: Option<CompactString>,
    /// Whether requests for it are answered yet.
    pub ready: bool,
}

/// Answer of `GET /v1/orders` and of an accepted order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StateResponse {
    /// Incarnation of the engine.
    pub incarnation: CompactString,
    /// Whether fencing tokens are checked.
    pub fencing: Fencing,
    /// Highest term and sequence accepted.
    pub term: u64,
    /// Sequence within that term.
    pub sequence: u64,
    /// The engine's role.
    pub role: CompactString,
    /// Models and adapters.
    pub loaded: Vec<Loaded>,
    /// Accepted orders, oldest first, the last 4096 of them.
    pub orders: Vec<Order>,
    /// Orders refused for their token.
    pub refused: u64,
}

/// Why an order was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderError {
    /// Its token is not above the highest one accepted.
    Stale,
    /// It lacks the model or the role that its action needs.
    Incomplete,
    /// The model or adapter to unload is not loaded, or an adapter's model isn't.
    NotLoaded,
}

/// Models, adapters and role of one engine.
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
    /// When loading is done; nothing if it was there from the start.
    ready_at: Option<Instant>,
}

impl Inventory {
    /// Models that are there from the start, each as `model` or `model:adapter`.
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

    /// Carries an order out. The same order sent again right away is accepted without effect.
    ///
    /// # Errors
    ///
    /// Returns why the order was refused; nothing has changed then.
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

    /// Whether requests for `model` or `model:adapter` are answered.
    pub fn serves(&self, name: &str, check_adapter: bool, now: Instant) -> bool {
        let (model, adapter) = split_model_name(name);
        let ready = |adapter: Option<&str>| {
            self.items.iter().any(|item| {
                item.model == model && item.adapter.as_deref() == adapter && item.is_ready(now)
            })
        };
        ready(None) && (adapter.is_none() || !check_adapter || ready(adapter))
    }

    /// Everything that can be read back.
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

    /// Frees one version, or all versions if the order states none. An empty version is that of
    /// models that are there from the start.
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

/// Splits `model:adapter`.
fn split_model_name(name: &str) -> (&str, Option<&str>) {
    match name.split_once(':') {
        Some((model, adapter)) => (model, Some(adapter)),
        None => (name, None),
    }
}
