use std::time::Duration;

use cornelwinch_types::Name;
use serde::{Deserialize, Serialize};

/// Progress of an order, as the store holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    /// Both versions serve, the target version within its exposure.
    Serving,
    /// Only the target version serves.
    Completed,
    /// All versions but the target version serve.
    Reverted,
}

/// Status of an order. It applies to the target version that it names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// Progress of the order.
    pub state: RolloutState,
    /// Target version to which the state applies.
    pub target_version: Name,
}

/// Order to move the traffic of a service to one version of its upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// Service whose upstreams change.
    pub service: Name,
    /// Version to which the traffic moves.
    pub target_version: Name,
    /// Time within which the verdict has to be written.
    pub duration: Duration,
    /// Last written status, if any.
    pub status: Option<RolloutStatus>,
    /// Revision of the object, under which its status is written.
    pub revision: u64,
}

impl RolloutOrder {
    /// Returns the progress for the current target version. The status of an earlier target does
    /// not apply.
    pub fn state(&self) -> RolloutState {
        match &self.status {
            Some(status) if status.target_version == self.target_version => status.state,
            _ => RolloutState::Serving,
        }
    }

    /// Reports whether a status for the current target version has been written.
    pub fn has_status(&self) -> bool {
        let status = self.status.as_ref();
        status.is_some_and(|status| status.target_version == self.target_version)
    }
}
