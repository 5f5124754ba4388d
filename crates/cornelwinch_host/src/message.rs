use std::time::Duration;

use cornelwinch_admission::AdmissionMsg;
use cornelwinch_config::Entry;
use cornelwinch_limiter::HandoverState;
use cornelwinch_tickets::TicketResult;
use cornelwinch_types::{
    AttemptId, Fingerprint, KeyRange, LegRequest, LegResult, Name, QueryId, Revision, SnapshotId,
};
use serde::{Deserialize, Serialize};

use crate::RunId;

/// Message between hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Legs of one query for upstreams of one owner.
    Legs(LegBatch),
    /// Results of legs.
    LegsDone(Vec<LegDone>),
    /// Attempts whose results are no longer needed.
    CancelLegs(Vec<LegRef>),
    /// State of an upstream for its new owner.
    Handover {
        /// Upstream that changes its owner.
        upstream: Name,
        /// State at the previous owner.
        state: HandoverState,
    },
    /// Legs of the previous owner that have finished since the handover.
    HandoverReleased {
        /// Upstream that changed its owner.
        upstream: Name,
        /// Number of legs finished.
        finished: u32,
    },
    /// Asks for a [`PeerMessage::FenceAck`] after a pause of the sender.
    Fence {
        /// Number of the pause.
        number: u64,
    },
    /// Answers a fence: what the sender of the fence received from this host
    /// before may have waited during the pause.
    FenceAck {
        /// Number of the pause.
        number: u64,
    },
    /// Upstreams that the platform marks as leaving; replaces the last list.
    UpstreamsLeaving {
        /// The upstreams by name.
        upstreams: Vec<Name>,
        /// Members to which the receiver passes the list on.
        relay: Relay,
    },
    /// Asks for the configuration entries after a revision.
    PullConfig {
        /// Highest revision that the asking host holds.
        after: Revision,
    },
    /// Configuration entries.
    Config(ConfigUpdate),
    /// Runs a ticket or a caller's key on the host that may run it.
    Run(RunRequest),
    /// Result of a forwarded ticket or key.
    RunDone {
        /// Number of the request at the forwarding host.
        request: u64,
        /// Result.
        result: TicketResult,
    },
    /// Shares of organisations' rates.
    Admission(AdmissionMsg),
    /// Requests that crash upstreams.
    Quarantine {
        /// The requests.
        marks: Vec<QuarantineMark>,
        /// Members to which the receiver passes the marks on.
        relay: Relay,
    },
}

/// Legs of one query for upstreams of one owner; the common fields are sent once.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LegBatch {
    /// The query.
    pub query: QueryId,
    /// Search to run.
    pub search: Name,
    /// Traffic class.
    pub class: Name,
    /// Organisation on whose behalf the legs run.
    #[serde(rename = "customer")]
    pub organisation: Name,
    /// Snapshot that the answers must come from.
    pub snapshot: SnapshotId,
    /// Request body.
    pub body: Name,
    /// False for a request that must run at most once.
    pub idempotent: bool,
    /// Priority, 0 is served first.
    pub priority: u8,
    /// Hash of search and body.
    pub fingerprint: Fingerprint,
    /// Time left until the deadline.
    pub budget: Duration,
    /// What differs between the legs.
    pub legs: Vec<LegItem>,
}

/// The part of a leg that differs within a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LegItem {
    /// Identifies the attempt.
    pub attempt: AttemptId,
    /// Upstream that runs the leg.
    pub upstream: Name,
    /// Key range to search.
    pub range: KeyRange,
}

impl LegBatch {
    /// Starts a batch with one leg.
    pub fn new(leg: LegRequest) -> Self {
        Self {
            query: leg.query,
            search: leg.search,
            class: leg.class,
            organisation: leg.organisation,
            snapshot: leg.snapshot,
            body: leg.body,
            idempotent: leg.idempotent,
            priority: leg.priority,
            fingerprint: leg.fingerprint,
            budget: leg.budget,
            legs: vec![LegItem {
                attempt: leg.attempt,
                upstream: leg.upstream,
                range: leg.range,
            }],
        }
    }

    /// Reports whether the leg has the same common fields.
    pub fn accepts(&self, leg: &LegRequest) -> bool {
        self.query == leg.query
            && self.snapshot == leg.snapshot
            && self.idempotent == leg.idempotent
            && self.fingerprint == leg.fingerprint
            && self.class == leg.class
            && self.organisation == leg.organisation
    }

    /// Adds a leg that [`LegBatch::accepts`]; the batch keeps the shorter
    /// budget.
    pub fn push(&mut self, leg: LegRequest) {
        self.budget = self.budget.min(leg.budget);
        self.legs.push(LegItem {
            attempt: leg.attempt,
            upstream: leg.upstream,
            range: leg.range,
        });
    }

    /// The legs one by one.
    pub fn into_legs(self) -> impl Iterator<Item = LegRequest> {
        let Self { legs, .. } = &self;
        let legs = legs.clone();
        legs.into_iter().map(move |item| LegRequest {
            attempt: item.attempt,
            query: self.query,
            search: self.search.clone(),
            class: self.class.clone(),
            organisation: self.organisation.clone(),
            snapshot: self.snapshot,
            range: item.range,
            upstream: item.upstream,
            body: self.body.clone(),
            idempotent: self.idempotent,
            priority: self.priority,
            fingerprint: self.fingerprint,
            budget: self.budget,
        })
    }
}

/// Result of one leg.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LegDone {
    /// Identifies the attempt.
    pub attempt: AttemptId,
    /// What became of it.
    pub result: LegResult,
}

/// An attempt and the upstream that it was sent to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LegRef {
    /// Identifies the attempt.
    pub attempt: AttemptId,
    /// Upstream of the leg.
    pub upstream: Name,
}

/// Configuration entries that bring a host from one revision to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigUpdate {
    /// Revision that the receiver must hold for the update to be complete.
    pub after: Revision,
    /// Revision that is complete with these entries.
    pub through: Revision,
    /// Entries changed in between.
    pub entries: Vec<Entry>,
    /// Members to which the receiver passes the update on.
    pub relay: Option<RelaySpan>,
}

/// Members to which the receiver of a message passes it on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Relay {
    /// None.
    None,
    /// Those of a span.
    Span(RelaySpan),
    /// All of the receiver's zone.
    Zone,
}

/// Members of a zone by name, from `first` to `last`, both included. The span
/// goes on from the lowest name if `last` comes before `first`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelaySpan {
    /// First name.
    pub first: Name,
    /// Last name.
    pub last: Name,
}

/// A non-idempotent request, sent to the host that may run it: the one that
/// issued its ticket, or the one that holds the claim of its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRequest {
    /// Number of the request at the forwarding host.
    pub request: u64,
    /// Ticket or claim.
    pub id: RunId,
    /// Organisation on whose behalf the request runs.
    #[serde(rename = "customer")]
    pub organisation: Name,
    /// Search to run it on.
    pub search: Name,
    /// Traffic class.
    pub class: Name,
    /// Key that selects the shard.
    pub key: u64,
    /// Request body.
    pub body: Name,
    /// Priority, 0 is served first.
    pub priority: u8,
    /// Time left until the deadline.
    pub budget: Duration,
}

/// A request that crashes upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineMark {
    /// Hash of search and body.
    pub fingerprint: Fingerprint,
    /// Time for which the request is refused.
    pub ttl: Duration,
}
