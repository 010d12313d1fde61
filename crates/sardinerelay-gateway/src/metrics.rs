//! Counters and histograms by `opentelemetry`, served as Prometheus text.

use {
    anyhow::Result,
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Histogram, MeterProvider as _},
    },
    opentelemetry_sdk::metrics::SdkMeterProvider,
    prometheus::{Encoder as _, Registry, TextEncoder},
    std::{fmt, time::Duration},
};

/// Bounds of latency histograms in seconds.
const SECONDS: [f64; 14] = [
    0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.18, 0.25, 0.5, 1.0, 1.5, 1.8, 5.0, 20.0,
];

/// All instruments.
pub struct Metrics {
    registry: Registry,
    // Dropping the provider would end the export.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    latency: Histogram<f64>,
    first_event: Histogram<f64>,
    waited: Histogram<f64>,
    repeats: Counter<u64>,
    continued: Counter<u64>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Metrics {
    /// Registers the instruments.
    ///
    /// # Errors
    ///
    /// The exporter's error.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("sardinerelay");
        let seconds = |name: &'static str, about: &'static str| {
            meter
                .f64_histogram(name)
                .with_description(about)
                .with_unit("s")
                .with_boundaries(SECONDS.to_vec())
                .build()
        };
        let count = |name: &'static str, about: &'static str| {
            meter.u64_counter(name).with_description(about).build()
        };
        Ok(Self {
            requests: count("sardinerelay_requests", "Requests by route and outcome"),
            latency: seconds("sardinerelay_latency", "Time from request to end of answer"),
            first_event: seconds(
                "sardinerelay_first_event",
                "Time from request to first event",
            ),
            waited: seconds("sardinerelay_waited", "Time from request to placement"),
            repeats: count("sardinerelay_repeats", "Requests sent to a further target"),
            continued: count("sardinerelay_continued", "Generations continued elsewhere"),
            registry,
            _provider: provider,
        })
    }

    /// Records the end of a request.
    pub fn ended(&self, route: &str, outcome: &'static str, took: Duration) {
        let labels = [
            KeyValue::new("route", route.to_owned()),
            KeyValue::new("outcome", outcome),
        ];
        self.requests.add(1, &labels);
        self.latency.record(took.as_secs_f64(), &labels);
    }

    /// Records a first event.
    pub fn first_event(&self, route: &str, took: Duration) {
        let labels = [KeyValue::new("route", route.to_owned())];
        self.first_event.record(took.as_secs_f64(), &labels);
    }

    /// Records a placement.
    pub fn placed(&self, route: &str, waited: Duration) {
        let labels = [KeyValue::new("route", route.to_owned())];
        self.waited.record(waited.as_secs_f64(), &labels);
    }

    /// Records a repeat.
    pub fn repeated(&self, route: &str) {
        self.repeats
            .add(1, &[KeyValue::new("route", route.to_owned())]);
    }

    /// Records a continuation and how it went.
    pub fn continued(&self, outcome: &'static str) {
        self.continued.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// The values now, as Prometheus text.
    ///
    /// # Errors
    ///
    /// The encoder's error.
    pub fn text(&self) -> Result<String, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }
}
