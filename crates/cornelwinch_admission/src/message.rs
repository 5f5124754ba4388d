use std::time::Duration;

use cornelwinch_types::Name;
use serde::{Deserialize, Serialize};

/// What a share consists of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Resource {
    /// Requests per second.
    Rate,
    /// Requests in progress; always a whole number.
    Slots,
}

/// Part of an organisation's share, in a message between hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Portion {
    /// Organisation that the share belongs to.
    #[serde(rename = "customer")]
    pub organisation: Name,
    /// Rate or slots.
    pub resource: Resource,
    /// Number chosen by the asking host and echoed by the answer. It grows, and
    /// its upper bits are random for each process, which tells a restarted host
    /// from its predecessor.
    pub id: u64,
    /// Requests per second, or requests in progress.
    pub amount: f64,
    /// In a request: what the asking host still uses of earlier loans from the
    /// asked one. It promises not to use more before it gets an answer to this
    /// request, and ignores answers to earlier ones.
    pub held: f64,
    /// Requests that the share has accumulated and that move with it.
    pub tokens: f64,
    /// Time for which the portion is lent. The asking host counts it from
    /// before it asked and the answering host from its answer, so the asking
    /// host stops first, without synchronised clocks.
    pub duration: Duration,
}

/// Message between hosts about organisations' shares.
///
/// A portion replaces the one lent before between the same hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AdmissionMsg {
    /// The home host asks another host for the idle part of its share.
    PullShare(Portion),
    /// The lender's answer to `PullShare`.
    LendShare(Portion),
    /// A host asks the home host for more than its share.
    AskGrant(Portion),
    /// The home host's answer to `AskGrant`.
    Grant(Portion),
}

impl AdmissionMsg {
    /// The portion that the message is about.
    pub fn portion(&self) -> &Portion {
        match self {
            Self::PullShare(portion)
            | Self::LendShare(portion)
            | Self::AskGrant(portion)
            | Self::Grant(portion) => portion,
        }
    }
}

/// What an [`Admission`](crate::Admission) wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum AdmissionAction {
    /// Send a message to a host.
    Send {
        /// Host that receives it.
        to: Name,
        /// The message.
        msg: AdmissionMsg,
    },
}
