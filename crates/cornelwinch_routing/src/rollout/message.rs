use std::time::Duration;

use cornelwinch_types::Name;
use serde::{Deserialize, Serialize};

use crate::rollout::LegTally;

/// Ended legs of one route by version group, since the host learned of the order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTally {
    /// Name of the route.
    #[serde(rename = "s")]
    pub route: Name,
    /// Legs to the target version.
    #[serde(rename = "t")]
    pub target: LegTally,
    /// Legs to the other versions.
    #[serde(rename = "o")]
    pub other: LegTally,
}

/// Report of a host about an order. All counts are totals since the host learned of the order, so
/// that a repeated or lost report changes nothing. Encoded fields have short names.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VersionReport {
    /// Service of the order.
    #[serde(rename = "s")]
    pub service: Name,
    /// Target version of the order.
    #[serde(rename = "v")]
    pub target_version: Name,
    /// Distinguishes runs of a host, whose counts start at 0.
    #[serde(rename = "r")]
    pub run: u64,
    /// Latest step that the host has been told. A decider that takes over continues from it.
    #[serde(rename = "p")]
    pub phase: RolloutPhase,
    /// Time since the host learned of the order.
    #[serde(rename = "a")]
    pub age: Duration,
    /// Requests that upstreams of the service have responded to; repeats are not counted.
    #[serde(rename = "n")]
    pub reached: u64,
    /// Tokens that the host has been granted.
    #[serde(rename = "g")]
    pub granted: u64,
    /// Legs that were sent to the target version.
    #[serde(rename = "u")]
    pub used: u64,
    /// True if the host sends nothing more to the other versions.
    #[serde(rename = "l")]
    pub has_left_others: bool,
    /// Legs to the other versions that have not ended.
    #[serde(rename = "i")]
    pub others_in_flight: u64,
    /// Ended legs by route.
    #[serde(rename = "t")]
    pub routes: Vec<RouteTally>,
}

/// Step of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutPhase {
    /// The target version gets legs for tokens only.
    Testing,
    /// Hosts stop sending to the other versions, so that the order can be completed.
    Finishing,
    /// The target version gets nothing more.
    Reverted,
}

/// Response to a [`VersionReport`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionStage {
    /// Service of the order.
    #[serde(rename = "s")]
    pub service: Name,
    /// Target version of the order.
    #[serde(rename = "v")]
    pub target_version: Name,
    /// Age of the report that this responds to. The stage holds from then.
    #[serde(rename = "a")]
    pub age: Duration,
    /// Step of the order.
    #[serde(rename = "p")]
    pub phase: RolloutPhase,
    /// Total number of legs that this run of the host may send to the target version.
    #[serde(rename = "g")]
    pub granted: u64,
}
