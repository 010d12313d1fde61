//! Settings of a stand-in engine.

use {
    crate::{batch::Limits, cache, orders::Fencing},
    compact_str::CompactString,
    std::time::Duration,
};

/// Settings of one stand-in engine.
#[derive(Debug, Clone)]
pub struct Config {
    /// The engine's name, used in logs and in `/v1/load`.
    pub name: CompactString,
    /// Models that it answers for from the start, each as `model` or `model:adapter`.
    pub models: Vec<CompactString>,
    /// Whether a request for an adapter that isn't loaded is refused.
    pub check_adapters: bool,
    /// Limits of the batch.
    pub limits: Limits,
    /// Duration of one decode iteration.
    pub step_interval: Duration,
    /// How old the load report is that `/v1/load` answers.
    pub report_lag: Duration,
    /// How long a generation goes on without a reader before it is cancelled.
    pub orphan_window: Duration,
    /// How long a finished generation without a reader can still be resumed.
    pub retention: Duration,
    /// The prefix cache.
    pub cache: cache::Config,
    /// What happens to an order with an old fencing token.
    pub fencing: Fencing,
    /// Time that a model or adapter takes to load.
    pub load_time: Duration,
    /// Number of generations that the record holds.
    pub record_limit: usize,
    /// Number of this start of the engine, higher for a later one; the time of the start if not
    /// stated.
    pub incarnation: Option<CompactString>,
    /// Seed of the output lengths and of lost cache events.
    pub seed: u64,
    /// Mean output length in tokens where the request does not state one.
    pub mean_tokens: u64,
    /// Whether the text of each token ends with a mark of its generation, so that a reader can
    /// tell output of two generations for one prompt apart.
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
