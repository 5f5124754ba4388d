use std::time::Duration;

use cornelwinch_types::Name;
use serde::{Deserialize, Serialize};

/// One version of the routes and services that operators want in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DesiredState {
    /// Rises with each change, in uneven steps.
    pub version: u64,
    /// Routes, in any order.
    pub routes: Vec<Route>,
    /// Services that routes may name, in any order.
    pub services: Vec<Service>,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
}

/// What may be repeated on a route.
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
    /// Name for logs and metrics.
    pub name: Name,
    /// Host header that selects the route, in lower case.
    pub host: Name,
    /// Path prefix that begins and ends with a slash.
    pub prefix: Name,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Where requests go.
    pub target: Target,
    /// Largest number of upstreams that may run one request, for each shard.
    pub attempts: u32,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer has its full value.
    pub goal: Duration,
}

/// Where the requests of a route go.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Target {
    /// To one upstream of this service.
    Service(Name),
    /// To one upstream of one of these services, in proportion to the weights.
    Split(Vec<(Name, u32)>),
    /// To one upstream of each shard.
    Gather(GatherPlan),
}

/// How the parts of a scattered request make up its answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GatherPlan {
    /// The services that are the shards.
    pub shards: Vec<Name>,
    /// Number of greatest records that the answer holds.
    pub top: usize,
    /// Smallest share of shards, from 0 to 1, of a successful answer.
    pub min_fraction: f64,
}

impl GatherPlan {
    /// Smallest number of shards of a successful answer; at least one.
    pub fn min_parts(&self) -> usize {
        let total = self.shards.len();
        (1..=total)
            .find(|n| *n as f64 / total as f64 >= self.min_fraction - 1e-9)
            .unwrap_or(total)
            .max(1)
    }
}

/// A group of equal upstreams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name that upstream entries carry.
    pub name: Name,
    /// Connections that one upstream accepts from all hosts together.
    pub max_connections: u32,
    /// Requests a second that a cold upstream tolerates; `None` if it has no
    /// such bound.
    pub cold_per_s: Option<f64>,
}

/// Bounds on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head in bytes.
    pub header_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Longest time for which a connection may be idle between requests.
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
