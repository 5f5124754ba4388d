use std::time::Instant;

use cornelwinch_config::ClassPolicy;
use cornelwinch_types::{AttemptId, Fingerprint, LegRequest, Name, QueryId};

use crate::Answer;

/// One query as its entry host accepted it.
#[derive(Debug, Clone, PartialEq)]
pub struct QuerySpec {
    /// Number of the query.
    pub query: QueryId,
    /// Search to run.
    pub search: Name,
    /// Traffic class.
    pub class: Name,
    /// Customer on whose behalf the query runs.
    pub customer: Name,
    /// Request body, passed to the upstreams unchanged.
    pub body: Name,
    /// Time at which the query is answered with what it has.
    pub deadline: Instant,
    /// Policy of the class.
    pub policy: ClassPolicy,
    /// Hash of search and body.
    pub fingerprint: Fingerprint,
    /// Priority of the legs, 0 is served first.
    pub priority: u8,
}

/// What the caller of a [`Gather`](crate::Gather) has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum GatherAction {
    /// Send a leg to the owner of its upstream.
    Send(LegRequest),
    /// Cancel an attempt; its result is ignored.
    Cancel {
        /// Attempt to cancel.
        attempt: AttemptId,
        /// Upstream that the attempt was sent to.
        upstream: Name,
    },
    /// Answer the caller; the query has ended.
    Finish(Answer),
}
