//! The gateway: entry hosts that serve callers, and hosts with replicas of the configuration, for
//! deployments in which hosts are told only seeds.
//!
//! Decisions are apart from input and output: [`placement`], [`admission`], [`budget`], [`forecast`],
//! [`health`], [`moves`], [`targets`], [`table`] and [`group::repair`] open no socket and read no
//! clock. How things are written on the wire is the affair of a [`codec::Codec`]. The design is
//! described in `docs/design/platform.md`.

pub mod admission;
pub mod allocator;
pub mod backlog;
pub mod budget;
pub mod call;
pub mod codec;
pub mod control;
pub mod entry;
pub mod exit_code;
pub mod follow;
pub mod forecast;
pub mod front;
pub mod generation;
pub mod group;
pub mod health;
pub mod http_server;
pub mod logging;
pub mod metrics;
pub mod moves;
pub mod observations;
pub mod observer;
pub mod placement;
pub mod plain;
pub mod pool;
pub mod refusal;
pub mod reload;
pub mod remote;
pub mod reporter;
pub mod request;
pub mod run;
pub mod settings;
pub mod sse;
pub mod table;
pub mod targets;
