use std::time::Duration;

use cornelwinch_types::Name;
use serde::{Deserialize, Serialize};

use crate::Organisation;

/// One version of the routes and services that operators have configured.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DesiredState {
    /// Version number, which increases with each change, not always by one.
    pub version: u64,
    /// Routes, in any order.
    pub routes: Vec<Route>,
    /// Services that routes may name, in any order.
    pub services: Vec<Service>,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
    /// Organisations, in any order; `None` if callers have no keys.
    #[serde(default)]
    pub organisations: Option<Vec<Organisation>>,
}

/// Whether requests of a route may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
}

/// A rule that sends the requests of one host and path prefix to upstreams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route in logs and metrics.
    pub name: Name,
    /// Host header that selects the route, in lower case.
    pub host: Name,
    /// Path prefix that begins and ends with a slash.
    pub prefix: Name,
    /// Whether requests may be repeated.
    pub kind: RouteKind,
    /// Upstreams that get the requests.
    pub target: Target,
    /// Largest number of upstreams that may run one request, for each shard.
    pub attempts: u32,
    /// Maximum time until a caller gets an answer.
    pub timeout: Duration,
    /// Latency goal: an answer within this time has its full value.
    pub goal: Duration,
    /// Priority, 0 being the most urgent.
    #[serde(default)]
    pub priority: u32,
    /// Whether requests need no key although there are organisations.
    #[serde(default)]
    pub is_public: bool,
}

/// Upstreams that get the requests of a route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Target {
    /// One upstream of this service.
    Service(Name),
    /// One upstream of one of these services, chosen in proportion to the weights.
    Split(Vec<(Name, u32)>),
    /// One upstream of each shard.
    Gather(GatherPlan),
}

/// How the partial answers of the shards are combined into one answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GatherPlan {
    /// Services that serve one shard each.
    pub shards: Vec<Name>,
    /// Number of greatest records that the answer contains.
    pub top: usize,
    /// Minimum share of shards, from 0 to 1, that a successful answer covers.
    pub min_fraction: f64,
}

impl GatherPlan {
    /// Returns the minimum number of shards, at least one, that a successful answer
    /// covers.
    pub fn min_parts(&self) -> usize {
        let total = self.shards.len();
        (1..=total)
            .find(|n| *n as f64 / total as f64 >= self.min_fraction - 1e-9)
            .unwrap_or(total)
            .max(1)
    }
}

/// A group of interchangeable upstreams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name by which upstream entries refer to the service.
    pub name: Name,
    /// Maximum connections to one upstream from all hosts together.
    pub max_connections: u32,
    /// Maximum requests per second to a cold upstream from all hosts together;
    /// `None` without a limit.
    pub cold_per_s: Option<f64>,
}

/// Limits on requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum idle time of a connection between requests.
    pub idle: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            idle: Duration::from_secs(15),
        }
    }
}
