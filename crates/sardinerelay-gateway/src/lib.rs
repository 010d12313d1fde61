//! The gateway for deployments whose hosts are configured only with seeds: entry hosts that serve
//! callers, and hosts with replicas of the configuration.
//!
//! Decisions are separate from input and output: [`placement`], [`admission`], [`budget`],
//! [`forecast`], [`health`], [`moves`], [`targets`], [`table`] and [`group::repair`] open no socket
//! and read no clock. A [`codec::Codec`] translates between these types and the wire format.
//! The design is described in `docs/design/platform.md`.

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
pub mod watch;
