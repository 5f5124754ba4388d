use cornelwinch_types::{MemberState, Name, Revision};
use serde::Serialize;
use serde_json::Value;

use crate::{Host, OwnedStatus};

/// A member in the status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct MemberStatus {
    name: Name,
    zone: Name,
    state: MemberState,
}

/// State of a host for operators.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct HostStatus {
    /// Name of the host.
    pub host: Name,
    /// Availability zone of the host.
    pub zone: Name,
    /// Configuration revision in force.
    pub revision: Revision,
    /// Whether a load balancer may route requests to the host.
    pub ready: bool,
    /// Whether other members confirm the host's ownerships.
    pub confirmed: bool,
    /// Queries in progress.
    pub queries: usize,
    /// Non-idempotent requests that run here or are awaited from another host.
    pub runs: usize,
    /// Requests that wait for their claim, and results that are not durable yet.
    pub claims: usize,
    /// Legs sent without a result.
    pub legs: usize,
    /// Legs sent since the start.
    pub legs_total: u64,
    /// Hedges sent since the start.
    pub hedges_total: u64,
    /// Age in milliseconds that requests may have because of a pause; those
    /// that must not run late are refused if they have less time left.
    pub backlog_ms: u64,
    /// Invariant violations since the start.
    pub violations: u64,
    pub(crate) members: Vec<MemberStatus>,
    /// Upstreams that the host owns.
    pub owned: Vec<OwnedStatus>,
}

impl HostStatus {
    /// Converts the status to JSON.
    pub fn to_json(&self) -> Value {
        serde_json::to_value(self).unwrap_or(Value::Null)
    }
}

impl Host {
    /// The age at the last turn; requests and timers come at most a turn apart.
    fn backlog_ms(&self) -> u64 {
        let age = self.backlog.age(self.last_turn);
        u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
    }

    /// Failed invariant checks since the start.
    pub fn violations(&self) -> u64 {
        self.owners.violations()
            + self.sync.state.violations()
            + self.ticketing.tickets.violations()
            + self.claiming.violations()
            + self.stats.counters().violations
    }

    /// Reports the state of this host.
    pub fn status(&self) -> HostStatus {
        let counters = self.stats.counters();
        HostStatus {
            host: self.cfg.me.name.clone(),
            zone: self.cfg.me.zone.clone(),
            revision: self.sync.state.revision(),
            ready: self.is_ready(),
            confirmed: self.membership.is_confirmed(),
            queries: self.queries.len(),
            runs: self.runs.len(),
            claims: self.claiming.pending(),
            legs: self.router.outstanding(),
            legs_total: counters.legs,
            hedges_total: counters.hedges,
            backlog_ms: self.backlog_ms(),
            violations: self.violations(),
            members: self
                .membership
                .members()
                .iter()
                .map(|member| MemberStatus {
                    name: member.name.clone(),
                    zone: member.zone.clone(),
                    state: member.state,
                })
                .collect(),
            owned: self.owners.status(),
        }
    }
}
