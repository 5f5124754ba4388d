use std::time::Duration;

use cornelwinch_types::Name;
use serde::{Deserialize, Serialize};

use crate::rollout::LegTally;

/// Ended legs of one route by version group, since the host learned of the order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTally {
    /// Name of the route.
    pub route: Name,
    /// Legs to the target version.
    pub target: LegTally,
    /// Legs to the other versions.
    pub other: LegTally,
}

/// Report of a host about an order. All counts are totals since the host learned of the order, so
/// that a repeated or lost report changes nothing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VersionReport {
    /// Service of the order.
    pub service: Name,
    /// Target version of the order.
    pub target_version: Name,
    /// Distinguishes runs of a host, whose counts start at 0.
    pub run: u64,
    /// Latest step that the host has been told. A decider that takes over continues from it.
    pub phase: RolloutPhase,
    /// Time since the host learned of the order.
    pub age: Duration,
    /// Requests that upstreams of the service have responded to; repeats are not counted.
    pub reached: u64,
    /// Tokens that the host has been granted.
    pub granted: u64,
    /// Legs that were sent to the target version.
    pub used: u64,
    /// True if the host sends nothing more to the other versions.
    pub has_left_others: bool,
    /// Legs to the other versions that have not ended.
    pub others_in_flight: u64,
    /// Ended legs by route.
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
    pub service: Name,
    /// Target version of the order.
    pub target_version: Name,
    /// Step of the order.
    pub phase: RolloutPhase,
    /// Total number of legs that this run of the host may send to the target version.
    pub granted: u64,
}
