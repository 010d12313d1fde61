//! The gateway: entry hosts that serve callers, and hosts with replicas of the configuration. It is
//! made for deployments in which a host knows only some seeds of the others.
//!
//! Decisions are separate from input and output: [`placement`], [`admission`], [`budget`],
//! [`forecast`], [`health`], [`limit`], [`moves`], [`targets`], [`table`] and [`group::repair`] open no
//! sockets and read no clock. A [`codec::Codec`] translates to and from the platform's wire format.
//! The design is described in `docs/design/platform.md`.

pub mod admission;
pub mod allocation;
pub mod allocator;
pub mod backlog;
pub mod body;
pub mod budget;
pub mod builds;
pub mod call;
pub mod codec;
pub mod control;
pub mod distribution;
pub mod entry;
pub mod exit_code;
pub mod fingerprint;
pub mod follow;
pub mod forecast;
pub mod front;
pub mod generation;
pub mod group;
pub mod health;
pub mod homes;
pub mod http_server;
pub mod limit;
pub mod logging;
pub mod metrics;
pub mod moves;
pub mod observations;
pub mod observer;
pub mod origin;
pub mod pace;
pub mod patch;
pub mod placement;
pub mod plain;
pub mod pool;
pub mod quarantine;
pub mod refusal;
pub mod reload;
pub mod remote;
pub mod reporter;
pub mod request;
pub mod run;
pub mod settings;
pub mod sse;
pub mod statement;
pub mod stop_order;
pub mod table;
pub mod targets;
