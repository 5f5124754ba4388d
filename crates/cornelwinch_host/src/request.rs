use std::time::Duration;

use cornelwinch_admission as admission;
use cornelwinch_gather::Answer;
use cornelwinch_tickets::{TicketId, TicketResult};
use cornelwinch_types::Name;
use serde_json::Value;

use crate::RunId;

/// What a caller or an operator asks for.
#[derive(Debug, Clone)]
pub enum CallerRequest {
    /// Run a query.
    Query(QueryRequest),
    /// Issue tickets for non-idempotent requests.
    IssueTickets {
        /// Bearer token of the organisation.
        token: String,
        /// Number of tickets.
        count: u32,
    },
    /// Run the request of a ticket.
    RunTicket(TicketRequest),
    /// Run the request of a caller's own key.
    RunClaim(ClaimRequest),
    /// Report the state of this host.
    Status,
}

/// A query as the caller sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueryRequest {
    /// Bearer token of the organisation.
    pub token: String,
    /// Search to run.
    pub search: Name,
    /// Traffic class; the search's first if none is named.
    pub class: Option<Name>,
    /// Time until the answer must be there, if shorter than the class's.
    pub deadline: Option<Duration>,
    /// Request body.
    pub body: Name,
}

/// A non-idempotent request as the caller sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TicketRequest {
    /// The ticket.
    pub ticket: TicketId,
    /// Key that selects the shard.
    pub key: u64,
    /// The rest of the request.
    pub query: QueryRequest,
}

/// A non-idempotent request with a key of the caller's choice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Key that the caller repeats with each copy of the request.
    pub idempotency_key: Name,
    /// Key that selects the shard.
    pub key: u64,
    /// The rest of the request.
    pub query: QueryRequest,
}

/// Answer to a caller.
#[derive(Debug, Clone)]
pub enum CallerAnswer {
    /// Result of a query.
    Query(Answer),
    /// Tickets issued.
    Tickets(Vec<TicketId>),
    /// Result of a non-idempotent request.
    Run {
        /// Its ticket or key.
        id: RunId,
        /// Result.
        result: TicketResult,
    },
    /// The request was refused before anything ran.
    Rejected(Rejection),
    /// State of this host.
    Status(Value),
}

/// Why a request was refused before anything ran.
#[derive(Debug, Clone, PartialEq)]
pub enum Rejection {
    /// No organisation has this token.
    UnknownOrganisation,
    /// The organisation's plan does not allow the search.
    SearchNotAllowed,
    /// There is no such search.
    UnknownSearch,
    /// The search has no such class.
    UnknownClass,
    /// The organisation is over its rate.
    RateExceeded {
        /// Time after which a request may be admitted.
        retry_after: Duration,
    },
    /// The organisation has too many requests in progress.
    ConcurrencyExceeded,
    /// The deadline had passed when the request arrived.
    DeadlinePassed,
    /// The host has no configuration yet.
    NotReady,
    /// The host holds too many requests.
    Overloaded,
}

impl From<admission::Rejection> for Rejection {
    fn from(rejection: admission::Rejection) -> Self {
        match rejection {
            admission::Rejection::UnknownOrganisation => Self::UnknownOrganisation,
            admission::Rejection::SearchNotAllowed => Self::SearchNotAllowed,
            admission::Rejection::UnknownClass => Self::UnknownClass,
            admission::Rejection::RateExceeded { retry_after } => {
                Self::RateExceeded { retry_after }
            }
            admission::Rejection::ConcurrencyExceeded => Self::ConcurrencyExceeded,
        }
    }
}
