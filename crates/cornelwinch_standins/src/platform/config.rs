use std::net::SocketAddr;
use std::time::Duration;

use cornelwinch_types::Name;
use serde::{Deserialize, Serialize};

/// Settings of a platform.
#[derive(Debug, Clone)]
pub struct PlatformConfig {
    /// Address to listen on; port 0 takes a free one.
    pub address: SocketAddr,
    /// Reads per second, each waiting watch counting once; more get 429.
    pub reads_per_s: f64,
    /// Writes per second; more get 429.
    pub writes_per_s: f64,
    /// Time that each call takes.
    pub latency: Duration,
    /// Age of the host list that callers get.
    pub host_lag: Duration,
}

impl Default for PlatformConfig {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            reads_per_s: 2000.0,
            writes_per_s: 300.0,
            latency: Duration::from_millis(1),
            host_lag: Duration::from_secs(10),
        }
    }
}

/// One row of the platform's host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRow {
    /// Name of the host or upstream.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// What it is.
    pub role: HostRole,
    /// TCP address for peer connections; `None` for an upstream.
    pub peer: Option<SocketAddr>,
    /// UDP address for membership datagrams; `None` for an upstream.
    pub gossip: Option<SocketAddr>,
    /// Whether it is leaving.
    pub state: HostState,
}

/// What a row of the host list stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostRole {
    /// An entry host.
    Host,
    /// An upstream.
    Upstream,
}

/// State of a row of the host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// In service.
    Live,
    /// About to be taken away.
    Leaving,
}

/// How the platform fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageMode {
    /// Answers 503.
    Unavailable,
    /// Gives no answer; the connections are reset when the outage ends.
    Silent,
    /// Resets the connection.
    Reset,
}

/// A change of the platform's behaviour, made through its handle or through
/// the control listener.
///
/// In JSON: `{"fault": "outage", "mode": "silent"}`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum PlatformFault {
    /// Fails every call and every waiting watch from now on.
    Outage {
        /// How calls fail.
        mode: OutageMode,
        /// Whether writes are applied all the same.
        #[serde(default)]
        apply_writes: bool,
    },
    /// Ends an outage.
    Recover,
    /// The next writes are applied and their answers lost.
    LoseWriteAnswers {
        /// Number of writes.
        writes: u32,
        /// What the writer sees.
        mode: OutageMode,
    },
    /// Sets the time that each call takes.
    Latency {
        /// Time.
        ms: u64,
    },
    /// Sets the rates.
    Rates {
        /// Reads per second.
        reads_per_s: f64,
        /// Writes per second.
        writes_per_s: f64,
    },
    /// Sets the age of the host list that callers get.
    HostLag {
        /// Age.
        ms: u64,
    },
    /// Replaces the host list.
    Hosts {
        /// New rows.
        hosts: Vec<HostRow>,
    },
    /// Adds a row to the host list or replaces the one with its name.
    SetHost {
        /// New row.
        host: HostRow,
    },
    /// Removes a row from the host list.
    RemoveHost {
        /// Name in the row.
        name: Name,
    },
}

/// What a platform has recorded.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounters {
    /// Present revision.
    pub revision: u64,
    /// Calls that read, watches and the host list included.
    pub reads: u64,
    /// Calls that write.
    pub writes: u64,
    /// Writes that changed an object.
    pub writes_applied: u64,
    /// Writes refused for a version.
    pub conflicts: u64,
    /// Calls answered 429.
    pub over_rate: u64,
    /// Calls that failed in an outage.
    pub failed: u64,
    /// Writes applied whose answer was lost.
    pub answers_lost: u64,
    /// Watches waiting now.
    pub watches: u32,
    /// Highest number of watches waiting at once.
    pub highest_watches: u32,
    /// Reads of the host list.
    pub host_reads: u64,
}
