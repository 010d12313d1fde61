//! Checks the settings and resolves one [`Config`].

use {
    clap::ArgMatches,
    compact_str::CompactString,
    sardinerelay::{
        admission::Objective,
        id::{Host, Zone},
        orders::StoreLimits,
        scheduler::Policy,
    },
    std::{
        fmt::Display,
        fs, io,
        net::SocketAddr,
        path::{Path, PathBuf},
        str::FromStr,
        time::Duration,
    },
    thiserror::Error,
};

/// Shortest shared secret in bytes that is accepted.
const MIN_SECRET_BYTES: usize = 16;

/// All settings, checked.
#[derive(Debug, Clone)]
pub struct Config {
    /// This host's number.
    pub host: Host,
    /// This host's availability zone.
    pub zone: Zone,
    /// Directory for durable state.
    pub data_dir: Option<PathBuf>,
    /// Address for the other hosts.
    pub peer_listen: SocketAddr,
    /// Address for operators.
    pub operator_listen: SocketAddr,
    /// Hosts that vote.
    pub voters: Vec<Peer>,
    /// Hosts that don't vote.
    pub hosts: Vec<Peer>,
    /// Shared secrets; the first is sent, all are accepted.
    pub secrets: Vec<String>,
    /// The platform's host list.
    pub hosts_url: Option<http::Uri>,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Threads that serve traffic.
    pub traffic_threads: usize,
    /// How requests are scheduled.
    pub policy: Policy,
    /// What admission keeps low first.
    pub objective: Objective,
    /// Largest request body in bytes.
    pub max_body: usize,
    /// Largest request head in bytes.
    pub max_headers: usize,
    /// Time a caller has to send its request head.
    pub header_timeout: Duration,
    /// Silence after which an engine is probed on a new connection.
    pub token_gap: Duration,
    /// Time without an answer to probes after which an engine's streams are lost.
    pub engine_loss: Duration,
    /// Time a caller may leave its stream unread.
    pub slow_reader: Duration,
    /// Wait between not ready and refusing new requests.
    pub drain_delay: Duration,
    /// Time that open streams have to finish on a planned stop.
    pub drain_deadline: Duration,
    /// Bounds of the weight store.
    pub store: StoreLimits,
    /// Pause between deciding on an order and sending it, for tests of failover.
    pub order_pause: Duration,
    /// Least severe level that is logged.
    pub log_level: log::LevelFilter,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Whether an empty data directory founds a new group.
    pub bootstrap: bool,
    /// Whether this host holds a replica although it is no founding voter.
    pub learner: bool,
    /// Whether to start the stand-in engine and a sheet for it.
    pub dev: bool,
}

/// Another host, as the settings name it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its number.
    pub host: Host,
    /// Its availability zone.
    pub zone: Zone,
    /// Its peer address.
    pub address: SocketAddr,
}

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Human,
    /// One JSON object a line.
    Json,
}

/// A setting that can't be used.
#[derive(Debug, Error)]
pub enum Error {
    /// The value isn't one of those allowed.
    #[error("--{flag} {value:?} is not valid: expected {expected}")]
    Value {
        /// The flag.
        flag: &'static str,
        /// The value given.
        value: String,
        /// What is allowed.
        expected: &'static str,
    },
    /// A file that a setting names can't be read.
    #[error("--{flag} {path}: {source}")]
    File {
        /// The flag.
        flag: &'static str,
        /// The file.
        path: PathBuf,
        /// The reason.
        source: io::Error,
    },
    /// Two settings contradict each other.
    #[error("{0}")]
    Conflict(Conflict),
}

/// Settings that contradict each other.
#[derive(Debug, Error)]
pub enum Conflict {
    /// A voter can't keep its vote without a disk.
    #[error("host {0} is a voter and needs --data-dir")]
    VoterWithoutData(Host),
    /// Several hosts need a secret, so that strangers are refused.
    #[error("--voter or --host is set, so --secret-file is required")]
    NoSecret,
    /// A secret that is easy to guess.
    #[error("line {line} of the secret file is shorter than {MIN_SECRET_BYTES} bytes")]
    ShortSecret {
        /// The line, counted from 1.
        line: usize,
    },
    /// Two entries share a number.
    #[error("host {0} is named twice")]
    DuplicateHost(Host),
    /// A single voter or an even number can't survive more than one fewer.
    #[error("{0} voters are given: use 1, 3 or 5")]
    VoterCount(usize),
    /// The list of hosts lacks this one.
    #[error("host {0} is in neither --voter nor --host")]
    Unlisted(Host),
}

/// Resolves the settings.
///
/// # Errors
///
/// Returns the first setting that can't be used, with the flag and what is allowed.
pub fn resolve(matches: &ArgMatches) -> Result<Config, Error> {
    let get = Settings { matches };
    let secret_file: Option<PathBuf> = get.optional("secret-file", "a path")?;
    let config = Config {
        host: get.bounded("host-id", 1, u64::MAX, "a number from 1")?,
        zone: get.text(
            "zone",
            "a name of lower-case letters, digits and '-'",
            is_name,
        )?,
        data_dir: get.optional("data-dir", "a path")?,
        peer_listen: get.value("peer-listen", ADDRESS)?,
        operator_listen: get.value("operator-listen", ADDRESS)?,
        voters: get.peers("voter")?,
        hosts: get.peers("host")?,
        secrets: secret_file
            .as_deref()
            .map_or(Ok(Vec::new()), read_secrets)?,
        hosts_url: get.optional("hosts-url", "an http URL")?,
        listen: get.value("listen", ADDRESS)?,
        traffic_threads: get.bounded("traffic-threads", 1, 256, "a number from 1 to 256")? as usize,
        policy: get.choice(
            "policy",
            POLICIES,
            "adaptive, round-robin or least-in-flight",
        )?,
        objective: get.choice("objective", OBJECTIVES, "stall or preemption")?,
        max_body: get.bounded("max-body", 1024, 1 << 30, "bytes from 1024 to 1 GiB")? as usize,
        max_headers: get.bounded("max-headers", 8192, 1 << 20, "bytes from 8192 to 1 MiB")?
            as usize,
        header_timeout: get.duration("header-timeout")?,
        token_gap: get.duration("token-gap")?,
        engine_loss: get.duration("engine-loss")?,
        slow_reader: get.duration("slow-reader")?,
        drain_delay: get.duration("drain-delay")?,
        drain_deadline: get.duration("drain-deadline")?,
        store: StoreLimits {
            max_concurrent: get.bounded(
                "store-concurrent",
                1,
                10_000,
                "a number from 1 to 10000",
            )? as usize,
            min_interval: get.duration("store-interval")?,
        },
        order_pause: match get.raw("order-pause") {
            Some(_) => get.duration("order-pause")?,
            None => Duration::ZERO,
        },
        log_level: get.value("log-level", "error, warn, info, debug or trace")?,
        log_format: get.choice("log-format", LOG_FORMATS, "human or json")?,
        bootstrap: matches.get_flag("bootstrap"),
        learner: matches.get_flag("learner"),
        dev: matches.get_flag("dev"),
    };
    check(&config).map_err(Error::Conflict)?;
    Ok(config)
}

const ADDRESS: &str = "an IP address and port, for example 127.0.0.1:8080";
const POLICIES: &[(&str, Policy)] = &[
    ("adaptive", Policy::Adaptive),
    ("round-robin", Policy::RoundRobin),
    ("least-in-flight", Policy::LeastInFlight),
];
const OBJECTIVES: &[(&str, Objective)] = &[
    ("stall", Objective::Stall),
    ("preemption", Objective::Preemption),
];
const LOG_FORMATS: &[(&str, LogFormat)] = &[("human", LogFormat::Human), ("json", LogFormat::Json)];

struct Settings<'a> {
    matches: &'a ArgMatches,
}

impl Settings<'_> {
    fn raw(&self, flag: &'static str) -> Option<&String> {
        self.matches.get_one::<String>(flag)
    }

    fn optional<T>(&self, flag: &'static str, expected: &'static str) -> Result<Option<T>, Error>
    where
        T: FromStr,
    {
        self.raw(flag)
            .map(|raw| parse(flag, raw, expected))
            .transpose()
    }

    fn value<T>(&self, flag: &'static str, expected: &'static str) -> Result<T, Error>
    where
        T: FromStr,
    {
        let raw = self.raw(flag).map_or("", String::as_str);
        parse(flag, raw, expected)
    }

    fn bounded(
        &self,
        flag: &'static str,
        least: u64,
        most: u64,
        expected: &'static str,
    ) -> Result<u64, Error> {
        let value = self.value(flag, expected)?;
        if (least..=most).contains(&value) {
            return Ok(value);
        }
        Err(invalid(flag, value, expected))
    }

    fn text(
        &self,
        flag: &'static str,
        expected: &'static str,
        allowed: fn(&str) -> bool,
    ) -> Result<CompactString, Error> {
        let value: CompactString = self.value(flag, expected)?;
        if allowed(&value) {
            return Ok(value);
        }
        Err(invalid(flag, value, expected))
    }

    fn duration(&self, flag: &'static str) -> Result<Duration, Error> {
        const EXPECTED: &str = "a duration from 1ms to 1day, for example 500ms or 10s";
        let raw: String = self.value(flag, EXPECTED)?;
        let allowed = Duration::from_millis(1)..=Duration::from_secs(86_400);
        match humantime::parse_duration(&raw) {
            Ok(duration) if allowed.contains(&duration) => Ok(duration),
            _ => Err(invalid(flag, raw, EXPECTED)),
        }
    }

    fn choice<T>(
        &self,
        flag: &'static str,
        choices: &[(&str, T)],
        expected: &'static str,
    ) -> Result<T, Error>
    where
        T: Copy,
    {
        let raw: String = self.value(flag, expected)?;
        choices
            .iter()
            .find(|(name, _)| *name == raw)
            .map(|(_, value)| *value)
            .ok_or_else(|| invalid(flag, raw, expected))
    }

    fn peers(&self, flag: &'static str) -> Result<Vec<Peer>, Error> {
        let values = self.matches.get_many::<String>(flag).unwrap_or_default();
        values.map(|raw| peer(flag, raw)).collect()
    }
}

fn parse<T>(flag: &'static str, raw: &str, expected: &'static str) -> Result<T, Error>
where
    T: FromStr,
{
    raw.parse().map_err(|_| invalid(flag, raw, expected))
}

fn invalid<V>(flag: &'static str, value: V, expected: &'static str) -> Error
where
    V: Display,
{
    let value = value.to_string();
    Error::Value {
        flag,
        value,
        expected,
    }
}

fn peer(flag: &'static str, raw: &str) -> Result<Peer, Error> {
    const EXPECTED: &str = "ID,ZONE,ADDRESS, for example 2,lakes-b,10.0.2.1:7000";
    let fields: Vec<&str> = raw.split(',').collect();
    let [host, zone, address] = fields[..] else {
        return Err(invalid(flag, raw, EXPECTED));
    };
    if !is_name(zone) {
        return Err(invalid(flag, raw, EXPECTED));
    }
    Ok(Peer {
        host: host.parse().map_err(|_| invalid(flag, raw, EXPECTED))?,
        zone: zone.into(),
        address: address.parse().map_err(|_| invalid(flag, raw, EXPECTED))?,
    })
}

fn is_name(value: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    !value.is_empty() && value.len() <= 64 && value.bytes().all(allowed)
}

fn read_secrets(path: &Path) -> Result<Vec<String>, Error> {
    let text = fs::read_to_string(path).map_err(|source| Error::File {
        flag: "secret-file",
        path: path.to_owned(),
        source,
    })?;
    let lines = text.lines().map(str::trim).enumerate();
    let mut secrets = Vec::new();
    for (position, secret) in lines.filter(|(_, secret)| !secret.is_empty()) {
        if secret.len() < MIN_SECRET_BYTES {
            let line = position + 1;
            return Err(Error::Conflict(Conflict::ShortSecret { line }));
        }
        secrets.push(secret.to_owned());
    }
    Ok(secrets)
}

fn check(config: &Config) -> Result<(), Conflict> {
    let mut seen = Vec::new();
    for peer in config.voters.iter().chain(&config.hosts) {
        if seen.contains(&peer.host) {
            return Err(Conflict::DuplicateHost(peer.host));
        }
        seen.push(peer.host);
    }
    if seen.is_empty() {
        return Ok(());
    }
    if !seen.contains(&config.host) {
        return Err(Conflict::Unlisted(config.host));
    }
    if !matches!(config.voters.len(), 1 | 3 | 5) {
        return Err(Conflict::VoterCount(config.voters.len()));
    }
    if seen.len() > 1 && config.secrets.is_empty() {
        return Err(Conflict::NoSecret);
    }
    let votes = config.voters.iter().any(|voter| voter.host == config.host);
    if votes && config.data_dir.is_none() {
        return Err(Conflict::VoterWithoutData(config.host));
    }
    Ok(())
}
