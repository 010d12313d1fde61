//! The sheet, the operators' configuration document: which models and services run on which
//! targets, the priorities of request classes, and the limits of organisations.
//!
//! The format is TOML, described in `docs/SHEET.md`. [`parse()`] validates a whole file and reports
//! every error, so that all of them can be corrected in one pass.

use {
    crate::id::{Class, Model, Organisation, Service, Target, Zone},
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr},
};

mod canonical;
mod check;
mod diff;
mod error;
mod findings;
pub mod limit;
mod parse;
mod read;
mod text;

pub use {
    diff::{Change, ChangeKind, diff},
    error::{Error, ErrorKind, PathError, Quote, Warning, WarningKind},
    parse::{parse, warnings},
};

/// The daemon's own paths. The path of a plain service may be neither one of them nor below one.
pub const RESERVED_PATHS: [&str; 4] = ["/v1", "/livez", "/readyz", "/metrics"];

/// HTTP methods that a service's `repeatable` list may contain.
pub const HTTP_METHODS: [&str; 7] = ["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"];

/// HTTP methods that change nothing, so that a call can be repeated safely.
pub const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// A whole sheet. [`parse()`] returns only valid ones.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sheet {
    /// The number of the sheet, which its author chooses. A sheet replaces those with lower
    /// numbers.
    pub number: u64,
    /// Request classes with their priorities.
    #[serde(default, rename = "class")]
    pub classes: Vec<RequestClass>,
    /// Engines and the servers of plain services.
    #[serde(default, rename = "target")]
    pub targets: Vec<Server>,
    /// Models and the engines that run them.
    #[serde(default, rename = "model")]
    pub models: Vec<Deployment>,
    /// Plain HTTP services beside the models.
    #[serde(default, rename = "service")]
    pub services: Vec<PlainService>,
    /// Organisations and their limits.
    #[serde(default, rename = "organisation")]
    pub organisations: Vec<Account>,
}

/// A request class: how urgent its requests are and how long they may wait.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// The name that organisations refer to.
    pub name: Class,
    /// Priority. Lower numbers are served first.
    pub priority: u8,
    /// How long a request of this class may wait before it is refused, in milliseconds.
    pub max_wait_ms: u64,
}

/// A target: a server that requests are sent to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// The name by which models and services refer to it.
    pub name: Target,
    /// The availability zone that it runs in.
    pub zone: Zone,
    /// The address that requests are sent to.
    pub address: SocketAddr,
    /// Size of the key-value memory in tokens, for engines. 0 for servers of plain services.
    #[serde(default)]
    pub memory_tokens: u64,
    /// Whether it rejects orders that carry an old fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// One version of a model, and the engines that run it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// The name that callers ask for.
    pub name: Model,
    /// The version to load.
    pub version: CompactString,
    /// Adapters to load with it. A caller asks for one as `model:adapter`.
    #[serde(default)]
    pub adapters: Vec<CompactString>,
    /// Names of the targets that run it, all of which must be engines.
    pub targets: Vec<Target>,
}

/// A plain HTTP service, routed by path prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainService {
    /// The service's name.
    pub name: Service,
    /// The path prefix of its requests, for example `/shop`.
    pub path: CompactString,
    /// Names of the targets that serve it, none of which may be an engine.
    pub targets: Vec<Target>,
    /// HTTP methods whose calls may be repeated. Calls of all others run at most once.
    #[serde(default)]
    pub repeatable: Vec<CompactString>,
}

/// An organisation with its keys, classes and limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// The organisation's name.
    pub name: Organisation,
    /// SHA-256 digests of its API keys, in lower-case hexadecimal.
    pub key_sha256: Vec<CompactString>,
    /// Classes that its requests may use. The first is the default.
    pub classes: Vec<Class>,
    /// Limit in tokens per minute, prompt and output together.
    pub tokens_per_minute: u64,
    /// Limit in requests per minute.
    pub requests_per_minute: u64,
}

impl Sheet {
    /// Canonical SHA-256 digest of the sheet. Formatting, comments, fields with their default
    /// value, and the order of tables and lists make no difference. The order of an organisation's
    /// classes does, because the first is its default.
    pub fn digest(&self) -> [u8; 32] {
        canonical::digest(self)
    }

    /// Formats the sheet as TOML, with tables and lists in canonical order.
    pub fn to_toml(&self) -> String {
        canonical::to_toml(self)
    }

    /// Indexes the targets by name.
    pub fn targets_by_name(&self) -> BTreeMap<&str, &Server> {
        self.targets
            .iter()
            .map(|target| (target.name.as_str(), target))
            .collect()
    }
}
