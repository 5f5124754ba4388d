use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use cornelwinch_types::Name;
use log::LevelFilter;
use snafu::{ResultExt, Snafu};

use crate::ValidationError;
use crate::reader::{Reader, Source, address, one_line};

const HOUR_MS: u64 = 3_600_000;
const DEFAULT_DRAIN_LIMIT_MS: u64 = 30_000;
const DEFAULT_BALANCER_DELAY_MS: u64 = 5_000;
const DEFAULT_CALLER_CONNECTIONS: u64 = 1_024;
const DEFAULT_BODY_BYTES: u64 = 1 << 20;
const DEFAULT_IDLE_MS: u64 = 60_000;
const DEFAULT_QUEUE_PER_UPSTREAM: u64 = 256;

const KEYS: [&str; 18] = [
    "deployment",
    "host",
    "zone",
    "region",
    "secret_file",
    "caller",
    "peer",
    "gossip",
    "operator",
    "platform",
    "seeds",
    "operator_token_hash",
    "drain_limit_ms",
    "balancer_delay_ms",
    "log",
    "metrics",
    "limits",
    "routing",
];
const LIMIT_KEYS: [&str; 4] = [
    "caller_connections",
    "body_bytes",
    "idle_ms",
    "queue_per_upstream",
];

/// Settings of one host, read from a file at start.
///
/// ```
/// use cornelwinch_config::Settings;
///
/// let settings = Settings::parse(
///     "host.jsonc",
///     r#"{
///         "deployment": "amman",
///         "host": "amman-a-1", "zone": "amman-a", "region": "amman",
///         "secret_file": "secret",
///         "caller": "0.0.0.0:8080", // behind the load balancer
///         "peer": "10.0.0.1:8081", "gossip": "10.0.0.1:8082", "operator": "10.0.0.1:8083",
///         "platform": "10.0.0.100:7000",
///         "operator_token_hash":
///             "af1349b9f5f9a1a6a0404dea36dcc9499bcb25c9adc112b7cc9a93cae41f3262",
///     }"#,
/// )?;
/// assert_eq!(settings.limits.queue_per_upstream, 256);
/// # Ok::<(), cornelwinch_config::SettingsError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Deployment that the host belongs to; peers of another one are refused.
    pub deployment: Name,
    /// Name of the host.
    pub host: Name,
    /// Availability zone of the host.
    pub zone: Name,
    /// Region of the zone.
    pub region: Name,
    /// File with the secret that peers share; a relative path starts at the
    /// directory of the settings file.
    pub secret_file: PathBuf,
    /// Listen address for callers.
    pub caller: SocketAddr,
    /// TCP address for peers, announced to them.
    pub peer: SocketAddr,
    /// UDP address for membership datagrams, announced to peers.
    pub gossip: SocketAddr,
    /// Listen address for operators.
    pub operator: SocketAddr,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Membership addresses of hosts to join through.
    pub seeds: Vec<SocketAddr>,
    /// BLAKE3 hash of the operators' bearer token.
    pub operator_token_hash: blake3::Hash,
    /// Time after which a graceful shutdown stops waiting for work in flight.
    pub drain_limit: Duration,
    /// Time for which the host accepts requests after readiness is off, until
    /// the load balancer has stopped routing to it.
    pub balancer_delay: Duration,
    /// Where and what to log.
    pub log: LogSettings,
    /// UDP address of a StatsD server.
    pub metrics: Option<SocketAddr>,
    /// Bounds on what the host holds at once.
    pub limits: LimitSettings,
    /// How legs reach upstreams.
    pub routing: RoutingSetting,
}

/// How legs reach upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RoutingSetting {
    /// Through the host that owns the upstream.
    #[default]
    Owner,
    /// From every host with an equal share of the slots, at least one; only
    /// for measurements, because the shares exceed small numbers of slots.
    Direct,
}

/// Where and what to log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// Lowest level that is logged.
    pub level: LevelFilter,
    /// File to append to; standard error without one.
    pub file: Option<PathBuf>,
}

/// Bounds on what a host holds at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitSettings {
    /// Connections of callers.
    pub caller_connections: usize,
    /// Bytes in the body of a request.
    pub body_bytes: usize,
    /// Time without traffic after which a caller's connection is closed.
    pub idle: Duration,
    /// Legs that wait for one upstream.
    pub queue_per_upstream: usize,
}

/// A settings file that cannot be used; the text is one line.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("{file}: cannot read the settings: {}", one_line(source)))]
    Read {
        /// Path of the file.
        file: String,
        /// Error of the system.
        source: std::io::Error,
    },
    /// An entry of a configuration document breaks a rule of its kind.
    #[snafu(display("{file}:{line}: {source}"))]
    Entry {
        /// Path of the file.
        file: String,
        /// Line, counted from 1.
        line: usize,
        /// The broken rule.
        source: ValidationError,
    },
    /// The contents of the file break a rule.
    #[snafu(display(
        "{file}:{line}: {}expected {expected}, found {found}",
        if key.is_empty() { String::new() } else { format!("key \"{key}\": ") }
    ))]
    Invalid {
        /// Path of the file.
        file: String,
        /// Line, counted from 1.
        line: usize,
        /// Full key, with dots; empty for an error of the whole file.
        key: String,
        /// Description of a valid value.
        expected: String,
        /// What the file has instead.
        found: String,
    },
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or breaks a rule.
    pub fn open(path: impl AsRef<Path>) -> Result<Self, SettingsError> {
        let path = path.as_ref();
        let file = path.display().to_string();
        let text = fs::read_to_string(path).context(ReadSnafu { file: &file })?;
        Self::parse(&file, &text)
    }

    /// Reads settings from a text; `file` stands for its origin in errors.
    ///
    /// # Errors
    ///
    /// Returns the first rule that the text breaks.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let source = Source { file, text };
        let value = source.parse()?;
        let root = Reader::open(source, &value, &KEYS)?;
        let base = Path::new(file).parent().unwrap_or(Path::new(""));
        let path = |text: &str| (!text.is_empty()).then(|| base.join(text));

        let deployment = name(&root, "deployment")?;
        let host = name(&root, "host")?;
        let zone = name(&root, "zone")?;
        let region = name(&root, "region")?;
        let secret_file = root.text("secret_file", PATH, path)?;
        let secret_file = root.require("secret_file", PATH, secret_file)?;
        let caller = listen_address(&root, "caller")?;
        let peer = announced_address(&root, "peer")?;
        let gossip = announced_address(&root, "gossip")?;
        let operator = listen_address(&root, "operator")?;
        let platform = root.text("platform", REMOTE, remote)?;
        let platform = root.require("platform", REMOTE, platform)?;
        let seeds = root.list("seeds", REMOTE, remote)?;
        let parse_hash = |text: &str| blake3::Hash::from_hex(text).ok();
        let token_hash = root.text("operator_token_hash", HASH, parse_hash)?;
        let operator_token_hash = root.require("operator_token_hash", HASH, token_hash)?;
        let drain_limit = root.integer("drain_limit_ms", 0..=HOUR_MS, DEFAULT_DRAIN_LIMIT_MS)?;
        let balancer_delay =
            root.integer("balancer_delay_ms", 0..=HOUR_MS, DEFAULT_BALANCER_DELAY_MS)?;
        let metrics = root.text("metrics", REMOTE, remote)?;

        let section = root.section("log", &["level", "file"])?;
        let level = section.text("level", LEVEL, |text| text.parse().ok())?;
        let log = LogSettings {
            level: level.unwrap_or(LevelFilter::Info),
            file: section.text("file", PATH, path)?,
        };

        let section = root.section("limits", &LIMIT_KEYS)?;
        let connections = section.integer(
            "caller_connections",
            1..=1_000_000,
            DEFAULT_CALLER_CONNECTIONS,
        )?;
        let body = section.integer("body_bytes", 1..=1 << 30, DEFAULT_BODY_BYTES)?;
        let idle = section.integer("idle_ms", 1..=HOUR_MS, DEFAULT_IDLE_MS)?;
        let queue = section.integer(
            "queue_per_upstream",
            1..=1_000_000,
            DEFAULT_QUEUE_PER_UPSTREAM,
        )?;
        let limits = LimitSettings {
            caller_connections: connections as usize,
            body_bytes: body as usize,
            idle: Duration::from_millis(idle),
            queue_per_upstream: queue as usize,
        };

        let routing = root.text("routing", ROUTING, |text| match text {
            "owner" => Some(RoutingSetting::Owner),
            "direct" => Some(RoutingSetting::Direct),
            _ => None,
        })?;

        Ok(Self {
            deployment,
            host,
            zone,
            region,
            secret_file,
            caller,
            peer,
            gossip,
            operator,
            platform,
            seeds,
            operator_token_hash,
            drain_limit: Duration::from_millis(drain_limit),
            balancer_delay: Duration::from_millis(balancer_delay),
            log,
            metrics,
            limits,
            routing: routing.unwrap_or_default(),
        })
    }
}

const NAME: &str = "a name of letters, digits or any of \"._~-\"";
const PATH: &str = "a path";
const LISTEN: &str = "an IP address and a port from 0 to 65535";
const ANNOUNCED: &str = "an IP address that peers can reach and a port from 0 to 65535";
const REMOTE: &str = "an IP address and a port from 1 to 65535";
const HASH: &str = "a BLAKE3 hash of 64 hexadecimal digits";
const ROUTING: &str = "owner or direct";
const LEVEL: &str = "off, error, warn, info, debug or trace";

fn name(reader: &Reader<'_, '_>, key: &str) -> Result<Name, SettingsError> {
    let value = reader.text(key, NAME, |text| {
        let ok = text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"._~-".contains(&b));
        (ok && !text.is_empty()).then(|| Name::from(text))
    })?;
    reader.require(key, NAME, value)
}

/// An address to listen on; port 0 lets the system choose one.
fn listen_address(reader: &Reader<'_, '_>, key: &str) -> Result<SocketAddr, SettingsError> {
    let value = reader.text(key, LISTEN, |text| address(text, |_| true))?;
    reader.require(key, LISTEN, value)
}

/// An address to listen on that is announced to peers, so it has to be one
/// that they can connect to.
fn announced_address(reader: &Reader<'_, '_>, key: &str) -> Result<SocketAddr, SettingsError> {
    let value = reader.text(key, ANNOUNCED, |text| {
        address(text, |a| !a.ip().is_unspecified())
    })?;
    reader.require(key, ANNOUNCED, value)
}

fn remote(text: &str) -> Option<SocketAddr> {
    address(text, |addr| addr.port() != 0 && !addr.ip().is_unspecified())
}
