//! Parses the flags into one validated [`Config`].

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

/// Length in bytes of the shortest accepted secret.
const MIN_SECRET_BYTES: usize = 16;

/// All settings of the daemon, validated.
#[derive(Debug, Clone)]
pub struct Config {
    /// Id of this host, from 1. It is not to be reused after the host's disk is lost.
    pub host: Host,
    /// Availability zone of this host: up to 64 lower-case letters, digits and '-'.
    pub zone: Zone,
    /// Directory for durable state. Voters and learners need one; without `voters`, `None` means a
    /// temporary directory.
    pub data_dir: Option<PathBuf>,
    /// Address to listen on for other hosts.
    pub peer_listen: SocketAddr,
    /// Address to listen on for operators.
    pub operator_listen: SocketAddr,
    /// Hosts that vote in the consensus group. If empty, this host is the only voter.
    pub voters: Vec<Peer>,
    /// Hosts that don't vote.
    pub hosts: Vec<Peer>,
    /// Secrets shared by the hosts. The first one is sent, all are accepted.
    pub secrets: Vec<String>,
    /// URL of the platform's list of live and leaving targets. If `None`, no list is polled.
    pub hosts_url: Option<http::Uri>,
    /// Address to listen on for callers.
    pub listen: SocketAddr,
    /// Number of threads that serve requests, from 1 to 256.
    pub traffic_threads: usize,
    /// How requests are assigned to targets.
    pub policy: Policy,
    /// What admission minimizes first.
    pub objective: Objective,
    /// Largest request body in bytes. Larger ones are refused as `body_too_large`.
    pub max_body: usize,
    /// Largest request head in bytes.
    pub max_headers: usize,
    /// Time for a caller to send its request head.
    pub header_timeout: Duration,
    /// Silence after which an engine is probed on a new connection.
    pub token_gap: Duration,
    /// Time without an answer to probes after which an engine's streams are lost.
    pub engine_loss: Duration,
    /// Time for which a caller may leave its stream unread before the stream is cancelled.
    pub slow_reader: Duration,
    /// On a planned stop, how long the host is not ready but still accepts new requests.
    pub drain_delay: Duration,
    /// Time for open requests to finish on a planned stop, after which the daemon exits without
    /// waiting for the rest.
    pub drain_deadline: Duration,
    /// Limits of loads from the weight store.
    pub store: StoreLimits,
    /// Delay between the decision on an order and its sending, for tests of failover.
    pub order_pause: Duration,
    /// The least severe level that is logged.
    pub log_level: log::LevelFilter,
    pub log_format: LogFormat,
    /// Whether a voter with an empty data directory bootstraps a new group.
    pub bootstrap: bool,
    /// Whether this host has a replica although it isn't one of `voters`.
    pub learner: bool,
    /// Whether to start a stand-in engine and submit a sheet for it.
    pub dev: bool,
}

/// A host given by `--voter` or `--host`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its host id.
    pub host: Host,
    /// Its availability zone.
    pub zone: Zone,
    /// Its address for other hosts.
    pub address: SocketAddr,
}

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Readable text.
    Human,
    /// One JSON object per line.
    Json,
}

/// Why the settings are invalid.
#[derive(Debug, Error)]
pub enum Error {
    /// The value of a flag is invalid.
    #[error("invalid value {value:?} for --{flag}: expected {expected}")]
    Value {
        /// Name of the flag without the leading dashes.
        flag: &'static str,
        value: String,
        /// What is allowed.
        expected: &'static str,
    },
    /// The file given by a flag can't be read.
    #[error("can't read {path} (--{flag}): {source}")]
    File {
        /// Name of the flag without the leading dashes.
        flag: &'static str,
        path: PathBuf,
        source: io::Error,
    },
    /// Two settings contradict each other.
    #[error("{0}")]
    Conflict(Conflict),
}

/// Flags that contradict each other.
#[derive(Debug, Error)]
pub enum Conflict {
    /// A voter has no data directory, so its votes would not be durable.
    #[error("host {0} is a voter and needs --data-dir")]
    VoterWithoutData(Host),
    /// There are several hosts but no secret to authenticate them.
    #[error("--voter or --host requires --secret-file")]
    NoSecret,
    /// A secret is shorter than `MIN_SECRET_BYTES`.
    #[error("line {line} of the secret file is shorter than {MIN_SECRET_BYTES} bytes")]
    ShortSecret {
        /// Line in the secret file, counted from 1.
        line: usize,
    },
    /// Two entries have the same host id.
    #[error("host {0} is given more than once by --voter and --host")]
    DuplicateHost(Host),
    /// The number of voters is not supported. An even number tolerates no more failures than one
    /// voter fewer.
    #[error("{0} voters are given, but their number must be 1, 3 or 5")]
    VoterCount(usize),
    /// This host is missing in the lists of hosts.
    #[error("--host-id is {0}, but neither --voter nor --host lists this host")]
    Unlisted(Host),
}

/// Parses and validates the settings.
///
/// # Errors
///
/// The first invalid value with its flag, or the first conflict between settings.
pub fn resolve(matches: &ArgMatches) -> Result<Config, Error> {
    let flags = Flags { matches };
    let secret_file: Option<PathBuf> = flags.optional("secret-file", "a path")?;
    let config = Config {
        host: flags.bounded("host-id", 1, u64::MAX, "a number from 1")?,
        zone: flags.text(
            "zone",
            "a name of lower-case letters, digits and '-'",
            is_zone_name,
        )?,
        data_dir: flags.optional("data-dir", "a path")?,
        peer_listen: flags.value("peer-listen", EXPECTED_ADDRESS)?,
        operator_listen: flags.value("operator-listen", EXPECTED_ADDRESS)?,
        voters: flags.peers("voter")?,
        hosts: flags.peers("host")?,
        secrets: secret_file
            .as_deref()
            .map_or(Ok(Vec::new()), read_secrets)?,
        hosts_url: flags.optional("hosts-url", "an http URL")?,
        listen: flags.value("listen", EXPECTED_ADDRESS)?,
        traffic_threads: flags.bounded("traffic-threads", 1, 256, "a number from 1 to 256")?
            as usize,
        policy: flags.choice(
            "policy",
            POLICIES,
            "adaptive, round-robin or least-in-flight",
        )?,
        objective: flags.choice("objective", OBJECTIVES, "stall or preemption")?,
        max_body: flags.bounded("max-body", 1024, 1 << 30, "bytes from 1024 to 1 GiB")? as usize,
        max_headers: flags.bounded("max-headers", 8192, 1 << 20, "bytes from 8192 to 1 MiB")?
            as usize,
        header_timeout: flags.duration("header-timeout")?,
        token_gap: flags.duration("token-gap")?,
        engine_loss: flags.duration("engine-loss")?,
        slow_reader: flags.duration("slow-reader")?,
        drain_delay: flags.duration("drain-delay")?,
        drain_deadline: flags.duration("drain-deadline")?,
        store: StoreLimits {
            max_concurrent: flags.bounded(
                "store-concurrent",
                1,
                10_000,
                "a number from 1 to 10000",
            )? as usize,
            min_interval: flags.duration("store-interval")?,
        },
        order_pause: match flags.raw("order-pause") {
            Some(_) => flags.duration("order-pause")?,
            None => Duration::ZERO,
        },
        log_level: flags.value("log-level", "error, warn, info, debug or trace")?,
        log_format: flags.choice("log-format", LOG_FORMATS, "human or json")?,
        bootstrap: matches.get_flag("bootstrap"),
        learner: matches.get_flag("learner"),
        dev: matches.get_flag("dev"),
    };
    check(&config).map_err(Error::Conflict)?;
    Ok(config)
}

const EXPECTED_ADDRESS: &str = "an IP address and port, for example 127.0.0.1:8080";
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

/// Access to the values of flags.
struct Flags<'a> {
    matches: &'a ArgMatches,
}

impl Flags<'_> {
    /// The text of a flag, if it is given or has a default.
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
        min: u64,
        max: u64,
        expected: &'static str,
    ) -> Result<u64, Error> {
        let value = self.value(flag, expected)?;
        if (min..=max).contains(&value) {
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
    if !is_zone_name(zone) {
        return Err(invalid(flag, raw, EXPECTED));
    }
    Ok(Peer {
        host: host.parse().map_err(|_| invalid(flag, raw, EXPECTED))?,
        zone: zone.into(),
        address: address.parse().map_err(|_| invalid(flag, raw, EXPECTED))?,
    })
}

/// Whether the text is a valid name of an availability zone.
fn is_zone_name(value: &str) -> bool {
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

/// Checks that the settings of hosts are consistent.
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
    let is_voter = config.voters.iter().any(|voter| voter.host == config.host);
    if is_voter && config.data_dir.is_none() {
        return Err(Conflict::VoterWithoutData(config.host));
    }
    Ok(())
}
