use std::time::Duration;

use cornelwinch_types::Name;
use serde::{Deserialize, Serialize};

use crate::Cap;

/// Time for which a delegation lasts, counted by the coordinator from the stamp that the host
/// repeats. It spans three reports.
pub(crate) const DELEGATION_TIME: Duration = Duration::from_millis(1_500);

/// Factor by which a host counts longer than the coordinator, for clocks that run at different
/// rates.
pub(crate) const CLOCK_DRIFT_FACTOR: f64 = 1.01;

/// Time within which a token that has left a bucket is used or lost. The bound leaves room for the
/// refill of this time.
pub(crate) const TOKEN_TIME: Duration = Duration::from_millis(200);

/// Share of the stored tokens that hosts may hold, all together; the buckets of coordinators hold
/// the rest.
const STOCK_SHARE: f64 = 0.4;

/// Largest number of tokens or waits of one organisation in a message.
pub(crate) const MAX_TOKENS_PER_GRANT: u32 = 64;

/// How far the requests of an organisation may exceed its cap within a window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CapRule {
    /// Length of the sliding window.
    pub window: Duration,
    /// Share of the cap in a window that may come in addition.
    pub overshoot: f64,
    /// Number of requests in a window that may come in addition.
    pub slack: f64,
}

impl CapRule {
    /// Returns the largest number of requests of an organisation in a window.
    pub fn allowed(&self, cap: &Cap) -> f64 {
        let refill = cap.rate_per_s * self.window.as_secs_f64();
        (refill + cap.burst) * (1.0 + self.overshoot) + self.slack
    }

    /// Returns the number of tokens that buckets and stocks of all hosts may hold together: what
    /// the rule leaves beside the refill of a window and of the tokens on their way.
    fn stored(&self, cap: &Cap) -> f64 {
        let seconds = self.window.as_secs_f64() + TOKEN_TIME.as_secs_f64();
        (self.allowed(cap) - cap.rate_per_s * seconds - 1.0).max(1.0)
    }

    /// Returns the part of the stored tokens that the buckets of coordinators may hold.
    pub(crate) fn pooled(&self, cap: &Cap) -> f64 {
        self.stored(cap) * (1.0 - STOCK_SHARE)
    }

    /// Returns the number of tokens that one of `hosts` may hold.
    pub(crate) fn stocked(&self, cap: &Cap, hosts: usize, is_delegated: bool) -> f64 {
        let share = if is_delegated { STOCK_SHARE } else { 1.0 };
        self.stored(cap) * share / hosts.max(1) as f64
    }
}

/// What a host tells the coordinator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CapReport {
    /// Number of the report on this connection.
    pub sequence: u64,
    /// Stamp of the last grant; `None` if the host keeps its refill.
    pub delegation: Option<u64>,
    /// Number of hosts among which this host divides limits.
    pub hosts: u32,
    /// Requests that were admitted since the last report, by organisation.
    pub spent: Vec<(Name, u32)>,
    /// Tokens that the host wants, by organisation.
    pub wanted: Vec<(Name, u32)>,
}

/// Answer of the coordinator to a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CapGrant {
    /// Number of the report that it answers.
    pub answered: u64,
    /// Time of the coordinator, which the host's next report repeats.
    pub stamp: u64,
    /// True if the coordinator has ended all delegations and accepts no more.
    pub is_last: bool,
    /// Tokens by organisation.
    pub tokens: Vec<(Name, u32)>,
    /// Time in milliseconds after which to ask again, by organisation.
    pub wait_ms: Vec<(Name, u32)>,
}
