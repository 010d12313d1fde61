//! Export of metrics as Prometheus text, shared by all programs.

use {
    crate::panics,
    anyhow::Result,
    opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider as _},
    opentelemetry_sdk::metrics::SdkMeterProvider,
    prometheus::{Encoder as _, Registry, TextEncoder},
};

/// Exports the metrics of one process.
#[derive(Debug)]
pub struct Exporter {
    registry: Registry,
    // Dropping the provider would end the collection.
    _provider: SdkMeterProvider,
}

impl Exporter {
    /// Creates an exporter, and the meter that creates its instruments.
    ///
    /// # Errors
    ///
    /// The error of the Prometheus exporter.
    pub fn new() -> Result<(Self, Meter)> {
        let registry = Registry::new();
        let reader = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(reader).build();
        let meter = provider.meter("sardinerelay");
        meter
            .u64_observable_counter("sardinerelay_panics")
            .with_description("Panics of this process")
            .with_callback(|observer| observer.observe(panics::count(), &[]))
            .build();
        let exporter = Self {
            registry,
            _provider: provider,
        };
        Ok((exporter, meter))
    }

    /// Returns the current values as Prometheus text.
    ///
    /// # Errors
    ///
    /// The error of the encoder.
    pub fn text(&self) -> Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

/// Builds a histogram of times in seconds with the given upper bounds. The prefix `sardinerelay_`
/// is added to its name.
pub fn latency_histogram(
    meter: &Meter,
    bounds: &[f64],
    name: &str,
    description: &'static str,
) -> Histogram<f64> {
    meter
        .f64_histogram(format!("sardinerelay_{name}"))
        .with_unit("s")
        .with_description(description)
        .with_boundaries(bounds.to_vec())
        .build()
}

/// Builds a counter. The prefix `sardinerelay_` is added to its name.
pub fn counter(meter: &Meter, name: &str, description: &'static str) -> Counter<u64> {
    meter
        .u64_counter(format!("sardinerelay_{name}"))
        .with_description(description)
        .build()
}

/// Builds a gauge. The prefix `sardinerelay_` is added to its name.
pub fn gauge(meter: &Meter, name: &str, description: &'static str) -> Gauge<u64> {
    meter
        .u64_gauge(format!("sardinerelay_{name}"))
        .with_description(description)
        .build()
}
