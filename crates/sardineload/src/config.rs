//! Settings of one run.

use {
    crate::workload::Workload,
    compact_str::CompactString,
    std::{net::SocketAddr, path::PathBuf, time::Duration},
};

/// Settings of one run, as given on the command line.
#[derive(Debug, Clone)]
pub struct Config {
    /// Servers that requests are sent to in turn.
    pub servers: Vec<SocketAddr>,
    /// Servers that plain calls are sent to in turn; if empty, `servers` is used.
    pub plain_servers: Vec<SocketAddr>,
    /// Stand-in engines whose records are verified after the run.
    pub engines: Vec<SocketAddr>,
    /// Stand-in services whose records are verified after the run.
    pub services: Vec<SocketAddr>,
    /// Mix of requests.
    pub workload: Workload,
    /// Model to request; by default that of the workload.
    pub model: CompactString,
    /// Mean number of arrivals per second.
    pub rate: f64,
    /// Length of the arrival window.
    pub duration: Duration,
    /// Time after the intended arrival at which a request is abandoned.
    pub timeout: Duration,
    /// Seed of arrivals, prompts and output lengths.
    pub seed: u64,
    /// Organisations, in descending order of their share of requests.
    pub organisations: Vec<Organisation>,
    /// Exponent of the shares: the share of the organisation at position `i` (from 1) is
    /// proportional to `i^-skew`.
    pub skew: f64,
    /// Share of callers, from 0 to 1, that disconnect before the end of their answer.
    pub leave_share: f64,
    /// Share of callers, from 0 to 1, that read slowly.
    pub slow_share: f64,
    /// Pause of a slow reader after each chunk of the response.
    pub slow_pause: Duration,
    /// Share of plain calls among all requests, from 0 to 1; `None` uses that of the workload.
    pub plain_share: Option<f64>,
    /// File that the report is written to as JSON.
    pub json: Option<PathBuf>,
    /// File that the report is written to as SVG.
    pub svg: Option<PathBuf>,
    /// Number of worker threads.
    pub threads: usize,
}

/// An organisation that sends requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Name of the organisation, which the report shows.
    pub name: CompactString,
    /// API key, sent as a bearer token. Without a key, the name is sent as `x-organisation`.
    pub key: Option<String>,
}
