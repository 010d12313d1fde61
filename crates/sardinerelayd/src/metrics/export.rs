//! The export of instruments, shared by all programs.

use {
    anyhow::Result,
    opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider as _},
    opentelemetry_sdk::metrics::SdkMeterProvider,
    prometheus::{Encoder as _, Registry, TextEncoder},
};

/// Where instruments are registered.
#[derive(Debug)]
pub struct Exporter {
    registry: Registry,
    // Dropping the provider would end the export.
    _provider: SdkMeterProvider,
}

impl Exporter {
    /// An export, and the meter that makes its instruments.
    ///
    /// # Errors
    ///
    /// Returns the exporter's error.
    pub fn new() -> Result<(Self, Meter)> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("sardinerelay");
        let export = Self {
            registry,
            _provider: provider,
        };
        Ok((export, meter))
    }

    /// The values now, as Prometheus text.
    ///
    /// # Errors
    ///
    /// Returns the encoder's error.
    pub fn text(&self) -> Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

/// A histogram of times, with these upper bounds in seconds.
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

/// A counter.
pub fn counter(meter: &Meter, name: &str, description: &'static str) -> Counter<u64> {
    meter
        .u64_counter(format!("sardinerelay_{name}"))
        .with_description(description)
        .build()
}
