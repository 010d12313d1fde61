//! Metrics of the daemon, recorded with `opentelemetry` and exported as Prometheus text.
//!
//! Each histogram has one series per organisation and class.

mod export;

pub use self::export::{Exporter, counter, gauge, latency_histogram};

use {
    crate::refusal::Code,
    anyhow::Result,
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Histogram},
    },
    std::time::Duration,
};

/// Time between two tokens beyond which the stream counts as stalled, as docs/MEASUREMENTS.md
/// defines it.
const STALL_THRESHOLD: Duration = Duration::from_millis(250);

/// Upper bounds of latency histograms in seconds.
const LATENCY_BOUNDS_SECONDS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.028, 0.05, 0.1, 0.25, 0.5, 1.3, 3.0, 10.0, 60.0,
];

/// Upper bounds of the histogram of answer lengths in tokens.
const OUTPUT_BOUNDS_TOKENS: [f64; 10] = [
    8.0, 32.0, 128.0, 512.0, 1024.0, 2048.0, 4096.0, 8192.0, 16384.0, 65536.0,
];

/// The labels of organisation and class, in this order.
pub type Labels = [KeyValue; 2];

/// All instruments of the daemon.
#[derive(Debug)]
pub struct Metrics {
    exporter: Exporter,
    first_token: Histogram<f64>,
    between_tokens: Histogram<f64>,
    stall: Histogram<f64>,
    queue_wait: Histogram<f64>,
    output_tokens: Histogram<f64>,
    answers: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    preemptions: Counter<u64>,
    orders: Counter<u64>,
}

impl Metrics {
    /// Registers the instruments.
    ///
    /// # Errors
    ///
    /// The error of the exporter.
    pub fn new() -> Result<Self> {
        let (exporter, meter) = Exporter::new()?;
        let seconds = |name, description| {
            latency_histogram(&meter, &LATENCY_BOUNDS_SECONDS, name, description)
        };
        Ok(Self {
            exporter,
            first_token: seconds("first_token", "Time from request to first token"),
            between_tokens: seconds("between_tokens", "Time between two tokens"),
            stall: seconds("stall", "Time beyond 250 ms in which a stream got no token"),
            queue_wait: seconds("queue_wait", "Time from request to dispatch"),
            output_tokens: meter
                .f64_histogram("sardinerelay_output_tokens")
                .with_description("Tokens of an answer")
                .with_boundaries(OUTPUT_BOUNDS_TOKENS.to_vec())
                .build(),
            answers: counter(&meter, "answers", "Answers by outcome"),
            refusals: counter(&meter, "refusals", "Refused requests by code"),
            retries: counter(
                &meter,
                "retries",
                "Generations started anew before their first token",
            ),
            preemptions: counter(&meter, "preemptions", "Preemptions that engines reported"),
            orders: counter(&meter, "orders", "Orders to engines by action and outcome"),
        })
    }

    /// Records the time from a request to its first token.
    pub fn first_token(&self, labels: &Labels, elapsed: Duration) {
        self.first_token.record(elapsed.as_secs_f64(), labels);
    }

    /// Records the time between two tokens, and the part of it that exceeds the stall threshold.
    pub fn between_tokens(&self, labels: &Labels, elapsed: Duration) {
        self.between_tokens.record(elapsed.as_secs_f64(), labels);
        if let Some(stall) = elapsed.checked_sub(STALL_THRESHOLD) {
            self.stall.record(stall.as_secs_f64(), labels);
        }
    }

    /// Records the time from a request to its dispatch to a target.
    pub fn queue_wait(&self, organisation: &str, class: &str, elapsed: Duration) {
        self.queue_wait
            .record(elapsed.as_secs_f64(), &labels(organisation, class));
    }

    /// Records the length of an answer and counts its outcome.
    pub fn ended(&self, labels: &Labels, tokens: u64, outcome: &'static str) {
        self.output_tokens.record(tokens as f64, labels);
        let [organisation, _] = labels;
        self.answers.add(
            1,
            &[organisation.clone(), KeyValue::new("outcome", outcome)],
        );
    }

    /// Counts a refused request under its error code.
    pub fn refused(&self, code: Code) {
        self.refusals
            .add(1, &[KeyValue::new("code", code.as_str())]);
    }

    /// Counts a generation that was retried before its first token.
    pub fn retried(&self, target: &str) {
        self.retries
            .add(1, &[KeyValue::new("target", target.to_owned())]);
    }

    /// Counts preemptions that an engine reported.
    pub fn preempted(&self, target: &str, count: u64) {
        self.preemptions
            .add(count, &[KeyValue::new("target", target.to_owned())]);
    }

    /// Counts an order to an engine with its outcome.
    pub fn ordered(&self, action: &'static str, outcome: &'static str) {
        self.orders.add(
            1,
            &[
                KeyValue::new("action", action),
                KeyValue::new("outcome", outcome),
            ],
        );
    }

    /// Returns all metrics as Prometheus text.
    ///
    /// # Errors
    ///
    /// The error of the encoder.
    pub fn text(&self) -> Result<Vec<u8>> {
        self.exporter.text()
    }
}

/// Builds the labels of an organisation and class. This takes two allocations, so a stream builds
/// them once and reuses them for each of its tokens.
pub fn labels(organisation: &str, class: &str) -> Labels {
    [
        KeyValue::new("organisation", organisation.to_owned()),
        KeyValue::new("class", class.to_owned()),
    ]
}
