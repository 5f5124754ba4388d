//! Rollouts between versions of a service: the evidence that hosts collect, the verdict, and the
//! versions that a leg may use.

mod decider;
mod fleet;
mod host;
mod message;
mod order;
mod tally;
mod verdict;

pub use decider::{RolloutDecider, RolloutLimits};
pub use host::{HostRollout, HostRollouts};
pub use message::{RolloutPhase, RouteTally, VersionReport, VersionStage};
pub use order::{RolloutOrder, RolloutState, RolloutStatus};
pub use tally::{LegTally, VersionGroup};
pub use verdict::{Evidence, Finding};
