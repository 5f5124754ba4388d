use std::net::SocketAddr;

use cornelwinch_types::{Name, Revision, Snapshot};
use serde::{Deserialize, Serialize};

/// One configuration object of the platform.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the object, unique within its kind.
    pub name: Name,
    /// Platform revision of the last change.
    pub revision: Revision,
    /// Identifier of the last change, chosen by its writer.
    pub change: Name,
    /// Kind and contents.
    pub value: EntryValue,
}

/// Kind and contents of a configuration entry; `None` marks a deleted entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "spec", rename_all = "snake_case")]
pub enum EntryValue {
    /// What a plan may use.
    Plan(Option<PlanSpec>),
    /// Plan and credentials of an organisation.
    #[serde(rename = "customer")]
    Organisation(Option<OrganisationSpec>),
    /// A search and its traffic classes.
    Search(Option<SearchSpec>),
    /// Policy of a traffic class.
    Class(Option<ClassPolicy>),
    /// Shard map of one index version.
    Snapshot(Option<Snapshot>),
    /// An upstream and its limits.
    Upstream(Option<UpstreamSpec>),
    /// An availability zone.
    Zone(Option<ZoneSpec>),
    /// Operators' mark on an entry host.
    Host(Option<HostSpec>),
}

/// Whether operators keep a zone, host or upstream in service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceState {
    /// Takes new work.
    #[default]
    In,
    /// Takes no new work; work in flight finishes.
    Out,
}

/// What a plan may use.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanSpec {
    /// Requests per second over all hosts.
    pub rate_per_s: f64,
    /// Requests that may arrive at once.
    pub burst: u32,
    /// Requests in progress over all hosts.
    pub concurrency: u32,
    /// Priority, 0 is served first.
    pub priority: u8,
    /// Searches that the plan may use.
    pub searches: Vec<Name>,
}

/// Plan and credentials of an organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationSpec {
    /// Name of the organisation's plan.
    pub plan: Name,
    /// BLAKE3 hash of the bearer token, in hexadecimal.
    pub token_hash: Name,
}

/// A search and its traffic classes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SearchSpec {
    /// Classes that queries may name; the first is the default.
    pub classes: Vec<Name>,
}

/// Policy of a traffic class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassPolicy {
    /// Time for a whole query, in milliseconds, unless the caller asks for less.
    pub deadline_ms: u64,
    /// Smallest share of documents that an answer may cover, from 0 to 1.
    pub min_coverage: f64,
    /// Time after which an answer at or above `min_coverage` is returned
    /// without waiting for the rest, in milliseconds.
    pub partial_after_ms: Option<u64>,
    /// Priority, 0 is served first.
    pub priority: u8,
    /// Latency quantile after which a leg is hedged; `None` turns hedging off.
    pub hedge_quantile: Option<f64>,
}

/// An upstream and its limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSpec {
    /// Availability zone of the upstream.
    pub zone: Name,
    /// HTTP address.
    pub address: SocketAddr,
    /// Legs that it runs at once when warm.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Legs that it runs at once in a cold start.
    pub cold_limit: u32,
    /// Operators' mark.
    #[serde(default)]
    pub state: ServiceState,
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneSpec {
    /// Region of the zone.
    pub region: Name,
    /// Operators' mark.
    #[serde(default)]
    pub state: ServiceState,
}

/// Operators' mark on an entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSpec {
    /// Operators' mark.
    #[serde(default)]
    pub state: ServiceState,
}
