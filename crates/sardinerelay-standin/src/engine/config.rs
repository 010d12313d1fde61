//! Settings of a stand-in engine.

use {
    crate::{batch::Limits, cache, orders::Fencing},
    compact_str::CompactString,
    std::time::Duration,
};

/// Settings of one stand-in engine.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name of the engine in logs and in `/v1/load`.
    pub name: CompactString,
    /// Models loaded at the start, each as `model` or `model:adapter`.
    pub models: Vec<CompactString>,
    /// Whether requests for an adapter that is not loaded are refused.
    pub check_adapters: bool,
    pub limits: Limits,
    /// Duration of one decode iteration; must not be zero.
    pub step_interval: Duration,
    /// Age of the load report that `/v1/load` returns.
    pub report_lag: Duration,
    /// Time after which a running generation without a reader is cancelled.
    pub orphan_window: Duration,
    /// Time for which a finished generation without a reader can still be resumed.
    pub retention: Duration,
    pub cache: cache::Config,
    /// Whether an order with an old fencing token is refused.
    pub fencing: Fencing,
    /// Time taken to load a model or adapter.
    pub load_time: Duration,
    /// Maximum number of generations in the record. Running ones are kept beyond it.
    pub record_limit: usize,
    /// Name of this start of the engine; a later start must have a higher number. The default is
    /// the start time in milliseconds.
    pub incarnation: Option<CompactString>,
    /// Seed of the output lengths and of the choice of lost cache events.
    pub seed: u64,
    /// Mean output length in tokens of requests that do not specify one.
    pub mean_tokens: u64,
    /// Whether the text of each token ends with the id of its generation, so that a reader can
    /// distinguish two generations of the same prompt.
    pub mark_generations: bool,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            name: "engine".into(),
            models: vec!["bend-planner".into()],
            check_adapters: false,
            limits: Limits {
                memory_tokens: 60_000,
                max_running: 64,
                prefill_tokens_per_step: 4096,
            },
            step_interval: Duration::from_millis(20),
            report_lag: Duration::from_millis(500),
            orphan_window: Duration::from_secs(10),
            retention: Duration::from_secs(10),
            cache: cache::Config {
                capacity_tokens: 20_000,
                lag: Duration::from_millis(500),
                loss_share: 0.0,
            },
            fencing: Fencing::Checked,
            load_time: Duration::from_secs(2),
            record_limit: 65_536,
            incarnation: None,
            seed: 1,
            mean_tokens: 60,
            mark_generations: false,
        }
    }
}
