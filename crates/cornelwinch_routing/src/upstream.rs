use std::net::SocketAddr;
use std::time::Duration;

use cornelwinch_types::Name;
use serde::{Deserialize, Serialize};

/// Identifier of one run of an upstream, unique within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpstreamId(pub(crate) u64);

impl UpstreamId {
    /// Returns the number of the identifier, for logs.
    pub fn get(self) -> u64 {
        self.0
    }
}

/// Readiness of an upstream, as registered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamState {
    /// The upstream accepts requests.
    Ready,
    /// The upstream finishes its requests in progress and leaves.
    Draining,
}

/// Registration of one upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// Registered name.
    pub name: Name,
    /// Start time in Unix milliseconds. It distinguishes two runs with the same name.
    pub born_ms: u64,
    /// Service to which the upstream belongs.
    pub service: Name,
    /// Address that accepts requests.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Readiness.
    pub state: UpstreamState,
    /// Remaining time for which the upstream is cold.
    pub cold_left: Duration,
    /// Version of its software; empty if it states none.
    #[serde(default)]
    pub version: Name,
    /// Requests that it runs at a time; 0 if it states none.
    #[serde(default)]
    pub slots: u32,
}

/// The upstream that was chosen for a leg or a probe.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamEndpoint {
    /// Identifier of the upstream's run.
    pub id: UpstreamId,
    /// Registered name.
    pub name: Name,
    /// Address that accepts requests.
    pub addr: SocketAddr,
}

/// Limits on the load of one upstream of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamLimits {
    /// Maximum concurrent connections from this host.
    pub connections: usize,
    /// Maximum requests of all hosts together within any second while the upstream is
    /// cold; `None` without a limit.
    pub cold_per_s: Option<usize>,
}
