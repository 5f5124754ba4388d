use std::net::SocketAddr;

use cornelwinch_types::{Hit, KeyRange, Outcome};
use serde::Deserialize;

use crate::MixItem;

/// A request as it was sent.
#[derive(Debug, Clone)]
pub struct SentRequest<'a> {
    /// Position in the plan.
    pub index: usize,
    /// Kind of request.
    pub item: &'a MixItem,
    /// Host that it went to.
    pub target: SocketAddr,
    /// Body, with the suffix of a ticket request.
    pub body: String,
    /// Key of a ticket request.
    pub key: u64,
    /// Ticket of a ticket request.
    pub ticket: Option<String>,
}

/// Answer to a query or ticket request; absent fields have default values.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct BenchAnswer {
    /// Status code.
    #[serde(skip)]
    pub status: u16,
    /// What became of the request; `None` if the answer does not say.
    pub outcome: Option<Outcome>,
    /// Reason of a refusal or failure.
    pub error: Option<String>,
    /// Snapshot of the answer.
    pub snapshot: Option<u64>,
    /// Share of documents covered, as reported.
    pub coverage: Option<f64>,
    /// Documents in the ranges covered.
    pub documents_covered: u64,
    /// Documents of the snapshot.
    pub documents_total: u64,
    /// Ranges covered.
    pub covered: Vec<KeyRange>,
    /// Ranges not covered.
    pub missing: Vec<KeyRange>,
    /// Rows found.
    pub hits: Vec<Hit>,
    /// Attempts sent to upstreams.
    pub attempts: u64,
    /// Attempts that were hedges.
    pub hedges: u64,
    /// Ticket of a ticket request.
    pub ticket: Option<String>,
}
