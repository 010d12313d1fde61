//! Settings of one run.

use {
    crate::workload::Workload,
    compact_str::CompactString,
    std::{net::SocketAddr, path::PathBuf, time::Duration},
};

/// Settings of one run.
#[derive(Debug, Clone)]
pub struct Config {
    /// Servers, used in rotation.
    pub servers: Vec<SocketAddr>,
    /// Servers for plain calls, used in rotation; empty means `servers`.
    pub plain_servers: Vec<SocketAddr>,
    /// Stand-in engines whose record is checked after the run.
    pub engines: Vec<SocketAddr>,
    /// Stand-in services whose record is checked after the run.
    pub services: Vec<SocketAddr>,
    /// Mix of requests.
    pub workload: Workload,
    /// Model to ask for.
    pub model: CompactString,
    /// Mean arrivals per second.
    pub rate: f64,
    /// Time during which requests arrive.
    pub duration: Duration,
    /// Time after which a request is given up, from its intended arrival.
    pub timeout: Duration,
    /// Seed of arrivals, prompts and lengths.
    pub seed: u64,
    /// Organisations, the one with the largest share first.
    pub organisations: Vec<Organisation>,
    /// Exponent of the shares: organisation `i` (from 1) gets `i^-skew`.
    pub skew: f64,
    /// Share of callers, 0 to 1, that leave before the end of their answer.
    pub leave_share: f64,
    /// Share of callers, 0 to 1, that read slowly.
    pub slow_share: f64,
    /// Pause of a slow reader after each chunk.
    pub slow_pause: Duration,
    /// Share of plain calls among all requests; `None` is the workload's own.
    pub plain_share: Option<f64>,
    /// File for the report as JSON.
    pub json: Option<PathBuf>,
    /// File for the report as SVG.
    pub svg: Option<PathBuf>,
    /// Worker threads.
    pub threads: usize,
}

/// An organisation that sends requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Its name.
    pub name: CompactString,
    /// Its API key, sent as a bearer token. Without one, the name is sent as `x-organisation`.
    pub key: Option<String>,
}
