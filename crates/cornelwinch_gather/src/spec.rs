use std::time::Instant;

use cornelwinch_config::ClassPolicy;
use cornelwinch_types::{AttemptId, Fingerprint, LegRequest, Name, QueryId};

use crate::Answer;

/// A query as accepted by the host that the caller sent it to.
#[derive(Debug, Clone, PartialEq)]
pub struct QuerySpec {
    /// Id of the query.
    pub query: QueryId,
    /// Name of the search to run.
    pub search: Name,
    /// Name of the traffic class.
    pub class: Name,
    /// Organisation on whose behalf the query runs.
    pub organisation: Name,
    /// Request body, passed to the upstreams unchanged.
    pub body: Name,
    /// Time at which the query is answered with the legs that have been merged.
    pub deadline: Instant,
    /// Policy of the class.
    pub policy: ClassPolicy,
    /// Hash of the search and the body.
    pub fingerprint: Fingerprint,
    /// Priority of the legs; 0 is served first.
    pub priority: u8,
}

/// An action that the code driving a [`Gather`](crate::Gather) has to carry out.
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
