use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{AttemptId, Fingerprint, KeyRange, Name, QueryId, SnapshotId};

/// One attempt to run a request on one upstream over one key range.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LegRequest {
    /// Identifies the attempt; the upstream echoes it.
    pub attempt: AttemptId,
    /// The query this leg belongs to.
    pub query: QueryId,
    /// Search to run.
    pub search: Name,
    /// Traffic class, for histograms and policy.
    pub class: Name,
    /// Organisation on whose behalf the leg runs.
    #[serde(rename = "customer")]
    pub organisation: Name,
    /// Snapshot that the answer must come from.
    pub snapshot: SnapshotId,
    /// Key range to search.
    pub range: KeyRange,
    /// Upstream that runs the leg.
    pub upstream: Name,
    /// Request body, passed through unchanged.
    pub body: Name,
    /// False for a request that must run at most once.
    pub idempotent: bool,
    /// Priority of the leg; 0 is the highest.
    pub priority: u8,
    /// Hash of search and body.
    pub fingerprint: Fingerprint,
    /// Time left until the deadline when this message was created.
    pub budget: Duration,
}

/// One result row of a leg.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Hit {
    /// Key of the document, inside the leg's range.
    pub key: u64,
    /// Text of the document.
    pub text: Name,
}

/// Answer of an upstream to one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LegAnswer {
    /// Attempt echoed by the upstream.
    pub attempt: AttemptId,
    /// Snapshot that the upstream searched.
    pub snapshot: SnapshotId,
    /// Key range that the upstream searched.
    pub range: KeyRange,
    /// Number of documents searched.
    pub documents: u64,
    /// Matching rows, by ascending key.
    pub hits: Vec<Hit>,
}

/// Reason why a leg was refused; a refused leg never ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The host does not own the upstream; it returns the owner that its member
    /// table gives.
    NotOwner {
        /// Owner according to the refusing host.
        owner: Option<Name>,
    },
    /// The queue is full or the leg could not finish in time.
    Overloaded,
    /// The upstream shed the leg before it started.
    Shed,
    /// The deadline passed before the leg started.
    DeadlinePassed,
    /// The upstream or its availability zone is leaving.
    Leaving,
    /// The upstream does not hold the snapshot.
    SnapshotMissing {
        /// Snapshots that the upstream holds.
        held: Vec<SnapshotId>,
    },
    /// No connection to the upstream or to its owner could be made.
    Unreachable,
    /// The request has crashed upstreams and is quarantined.
    Quarantined,
    /// The attempt was cancelled before it started.
    Cancelled,
}

/// Reason why a leg that may have run failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LegFailure {
    /// The connection broke after the request was sent.
    Disconnected,
    /// No answer arrived in time.
    TimedOut,
    /// The attempt was cancelled after it was sent.
    Cancelled,
    /// The answer named another attempt, snapshot or range.
    Mismatched,
    /// The upstream reported an error or sent an unreadable answer.
    Upstream,
    /// The link to the owner host broke after the leg was sent to it.
    OwnerLost,
}

/// Final result of one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LegResult {
    /// The upstream answered.
    Answer(LegAnswer),
    /// The attempt never ran.
    Refused(Refusal),
    /// The attempt may have run.
    Failed(LegFailure),
}

/// State of an upstream as observed in one exchange with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct UpstreamObservation {
    /// Identifier of the upstream's current process; a different one means that
    /// it restarted.
    pub restart_id: Option<u64>,
    /// Time from sending the request to receiving the answer.
    pub latency: Duration,
    /// The upstream reported that it is leaving.
    pub leaving: bool,
}
