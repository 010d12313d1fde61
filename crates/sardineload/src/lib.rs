//! Load tool for the OpenAI-compatible HTTP API. It generates seeded open-loop arrivals, checks
//! every answer and writes reports. See `docs/LOAD.md`.

pub mod call;
pub mod chart;
pub mod check;
pub mod client;
pub mod config;
pub mod events;
pub mod measure;
pub mod plan;
pub mod report;
pub mod run;
pub mod verify;
pub mod workload;
