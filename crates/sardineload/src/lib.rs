//! Load tool for the OpenAI-compatible HTTP API: open-loop seeded arrivals, a check of every
//! answer, and reports. `docs/LOAD.md` describes it.

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
