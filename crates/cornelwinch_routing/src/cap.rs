use std::time::Duration;

use cornelwinch_types::{Name, SortedMap};
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

    /// Returns the number of tokens that come into being in a second: those of a window, its burst
    /// included, spread over the window. Callers are entitled to these in any window, and a lower
    /// rate would refuse some of them below the cap.
    pub(crate) fn refill_per_s(&self, cap: &Cap) -> f64 {
        let seconds = self.window.as_secs_f64();
        if seconds > 0.0 {
            cap.rate_per_s + cap.burst / seconds
        } else {
            cap.rate_per_s
        }
    }

    /// Returns the number of tokens that buckets and stocks of all hosts may hold together: what
    /// the rule leaves beside the refill of a window and of the tokens on their way.
    fn stored(&self, cap: &Cap) -> f64 {
        let seconds = self.window.as_secs_f64() + TOKEN_TIME.as_secs_f64();
        (self.allowed(cap) - self.refill_per_s(cap) * seconds - 1.0).max(1.0)
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

/// What a host tells the coordinator. The encoded names of the fields are short, since a busy host
/// sends a report for most requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CapReport {
    /// Number of the report on this connection.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// Stamp of the last grant; `None` if the host keeps its refill.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub delegation: Option<u64>,
    /// Number of hosts among which this host divides limits.
    #[serde(rename = "h")]
    pub hosts: u32,
    /// Requests that were admitted since the last report, by organisation.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub spent: Vec<(Name, u32)>,
    /// Tokens that the host wants, by organisation.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub wanted: Vec<(Name, u32)>,
}

/// Answer of the coordinator to a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CapGrant {
    /// Number of the report that it answers.
    #[serde(rename = "n")]
    pub answered: u64,
    /// Time of the coordinator in milliseconds, which the host's next report repeats.
    #[serde(rename = "s")]
    pub stamp: u64,
    /// True if the coordinator has ended all delegations and accepts no more.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_last: bool,
    /// Tokens by organisation.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub tokens: Vec<(Name, u32)>,
    /// Time in milliseconds after which to ask again, by organisation.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub wait_ms: Vec<(Name, u32)>,
}

/// Removes the entries of organisations that are not in the sorted list.
pub(crate) fn retain_names<T>(entries: &mut SortedMap<Name, T>, caps: &[(&Name, &Cap)]) {
    let is_listed = |name: &Name| {
        caps.binary_search_by(|(other, _)| (*other).cmp(name))
            .is_ok()
    };
    let names = entries.keys().filter(|name| !is_listed(name));
    let removed: Vec<Name> = names.cloned().collect();
    for name in removed {
        entries.remove(&name);
    }
}
