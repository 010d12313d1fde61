//! Counters and histograms by `opentelemetry`, served as Prometheus text.

use {
    anyhow::Result,
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Histogram},
    },
    sardinerelayd::metrics::{Export, counter, seconds},
    std::time::Duration,
};

/// Bounds of latency histograms in seconds.
const SECONDS: [f64; 14] = [
    0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.18, 0.25, 0.5, 1.0, 1.5, 1.8, 5.0, 20.0,
];

/// All instruments.
#[derive(Debug)]
pub struct Metrics {
    export: Export,
    requests: Counter<u64>,
    latency: Histogram<f64>,
    first_event: Histogram<f64>,
    waited: Histogram<f64>,
    repeats: Counter<u64>,
    continued: Counter<u64>,
}

impl Metrics {
    /// Registers the instruments.
    ///
    /// # Errors
    ///
    /// The exporter's error.
    pub fn new() -> Result<Self> {
        let (export, meter) = Export::new()?;
        let seconds = |name, about| seconds(&meter, &SECONDS, name, about);
        let count = |name, about| counter(&meter, name, about);
        Ok(Self {
            requests: count("requests", "Requests by route and outcome"),
            latency: seconds("latency", "Time from request to end of answer"),
            first_event: seconds("first_event", "Time from request to first event"),
            waited: seconds("waited", "Time from request to placement"),
            repeats: count("repeats", "Requests sent to a further target"),
            continued: count("continued", "Generations continued elsewhere"),
            export,
        })
    }

    /// Records the end of a request.
    pub fn record_request(&self, route: &str, outcome: &'static str, took: Duration) {
        let labels = [
            KeyValue::new("route", route.to_owned()),
            KeyValue::new("outcome", outcome),
        ];
        self.requests.add(1, &labels);
        self.latency.record(took.as_secs_f64(), &labels);
    }

    /// Records a first event.
    pub fn record_first_event(&self, route: &str, took: Duration) {
        let labels = [KeyValue::new("route", route.to_owned())];
        self.first_event.record(took.as_secs_f64(), &labels);
    }

    /// Records a placement.
    pub fn record_placement(&self, route: &str, waited: Duration) {
        let labels = [KeyValue::new("route", route.to_owned())];
        self.waited.record(waited.as_secs_f64(), &labels);
    }

    /// Records a repeat.
    pub fn record_retry(&self, route: &str) {
        self.repeats
            .add(1, &[KeyValue::new("route", route.to_owned())]);
    }

    /// Records a continuation and how it went.
    pub fn record_continuation(&self, outcome: &'static str) {
        self.continued.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// The values now, as Prometheus text.
    ///
    /// # Errors
    ///
    /// The encoder's error.
    pub fn encode(&self) -> Result<Vec<u8>> {
        self.export.text()
    }
}
