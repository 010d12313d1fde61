//! The morning sheet: what runs where, who comes first and how much each organisation may ask for.
//!
//! The format is TOML and described in `docs/SHEET.md`. [`parse`] validates a whole file and
//! reports every error, so that a planner corrects the morning's export in one round.

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

/// The daemon's own paths, which no plain service may cover or lie below.
pub const RESERVED_PATHS: [&str; 4] = ["/v1", "/livez", "/readyz", "/metrics"];

/// HTTP methods that `repeatable` may list.
pub const HTTP_METHODS: [&str; 7] = ["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"];

/// HTTP methods that change nothing, so that repeating them is harmless.
pub const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// A whole sheet, validated.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sheet {
    /// The planner's number; a higher number replaces a lower one.
    pub number: u64,
    /// Request classes, by priority.
    #[serde(default, rename = "class")]
    pub classes: Vec<RequestClass>,
    /// Engines and the servers of plain services.
    #[serde(default, rename = "target")]
    pub targets: Vec<Server>,
    /// Models and where they run.
    #[serde(default, rename = "model")]
    pub models: Vec<Deployment>,
    /// Plain services beside the engines.
    #[serde(default, rename = "service")]
    pub services: Vec<PlainService>,
    /// Organisations and their limits.
    #[serde(default, rename = "organisation")]
    pub organisations: Vec<Account>,
}

/// A request class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// The name that organisations refer to.
    pub name: Class,
    /// Priority; 0 comes first.
    pub priority: u8,
    /// The longest time in milliseconds that a request of this class waits before it is refused.
    pub max_wait_ms: u64,
}

/// One server that requests are sent to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// The target's name.
    pub name: Target,
    /// The availability zone it stands in.
    pub zone: Zone,
    /// Its address.
    pub address: SocketAddr,
    /// Key-value memory in tokens, for engines; 0 for servers of plain services.
    #[serde(default)]
    pub memory_tokens: u64,
    /// Whether it rejects an order that carries an old fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// A model in one version, and the engines that run it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// The name that callers ask for.
    pub name: Model,
    /// The version to load.
    pub version: CompactString,
    /// Adapters to load beside it. A caller asks for one as `model:adapter`.
    #[serde(default)]
    pub adapters: Vec<CompactString>,
    /// The engines that run it.
    pub targets: Vec<Target>,
}

/// A plain service, routed by path prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainService {
    /// The service's name.
    pub name: Service,
    /// The path prefix that selects it, for example `/shop`.
    pub path: CompactString,
    /// Its servers.
    pub targets: Vec<Target>,
    /// Methods whose calls may be repeated. All others run at most once.
    #[serde(default)]
    pub repeatable: Vec<CompactString>,
}

/// An organisation and what it may ask for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// The organisation's name.
    pub name: Organisation,
    /// SHA-256 digests of its API keys, in lower-case hexadecimal.
    pub key_sha256: Vec<CompactString>,
    /// Classes it may use; the first is the default.
    pub classes: Vec<Class>,
    /// Tokens a minute, prompt and output together.
    pub tokens_per_minute: u64,
    /// Requests a minute.
    pub requests_per_minute: u64,
}

impl Sheet {
    /// SHA-256 digest of the sheet's meaning. Formatting, comments, fields stated with their
    /// default, and the order of tables and lists make no difference, except for the order of
    /// an organisation's classes, the first of which is its default.
    pub fn digest(&self) -> [u8; 32] {
        canonical::digest(self)
    }

    /// The sheet as TOML, with tables and lists in canonical order.
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
