use std::time::Duration;

use cornelwinch_gather::{Answer, AnswerReason};
use cornelwinch_host::{
    CallerAnswer, CallerRequest, ClaimRequest, QueryRequest, Rejection, RunId, TicketRequest,
};
use cornelwinch_http::{HttpRequest, Responder};
use cornelwinch_tickets::TicketResult;
use cornelwinch_types::{Hit, KeyRange, Name, Outcome, QueryId, SnapshotId};
use serde::{Deserialize, Serialize};

/// Most tickets issued by one request.
const TICKETS_PER_REQUEST: u32 = 1_000;

/// Longest key of a caller; it is stored with each claim.
const KEY_BYTES: usize = 255;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct QueryBody {
    search: Name,
    class: Option<Name>,
    deadline_ms: Option<u64>,
    body: Name,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TicketsBody {
    count: u32,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RunBody {
    ticket: Option<String>,
    search: Name,
    class: Option<Name>,
    deadline_ms: Option<u64>,
    key: u64,
    body: Name,
}

/// Text of an error answer; every refusal says whether the request ran.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    outcome: Outcome,
    error: &'a str,
}

/// A request that cannot be understood; nothing ran.
#[derive(Debug)]
pub(crate) struct BadRequest {
    status: u16,
    error: String,
}

impl BadRequest {
    fn new(status: u16, error: impl Into<String>) -> Self {
        Self {
            status,
            error: error.into(),
        }
    }

    pub(crate) fn answer(&self, responder: Responder) {
        respond_error(responder, self.status, Outcome::NotRun, &self.error);
    }
}

/// Reads a request of a caller.
pub(crate) fn parse(req: &HttpRequest) -> Result<CallerRequest, BadRequest> {
    let route = (req.method.as_str(), req.path());
    if !matches!(route, ("POST", "/v1/query" | "/v1/tickets" | "/v1/run")) {
        return Err(BadRequest::new(404, "no such call"));
    }
    let token = req
        .bearer()
        .ok_or_else(|| {
            BadRequest::new(
                401,
                "an Authorization header with a bearer token is required",
            )
        })?
        .to_owned();
    match route.1 {
        "/v1/query" => {
            let body: QueryBody = parse_json(&req.body)?;
            Ok(CallerRequest::Query(QueryRequest {
                token,
                search: body.search,
                class: body.class,
                deadline: body.deadline_ms.map(Duration::from_millis),
                body: body.body,
            }))
        }
        "/v1/tickets" => {
            let body: TicketsBody = parse_json(&req.body)?;
            if body.count == 0 || body.count > TICKETS_PER_REQUEST {
                let error = format!("count must be from 1 to {TICKETS_PER_REQUEST}");
                return Err(BadRequest::new(400, error));
            }
            Ok(CallerRequest::IssueTickets {
                token,
                count: body.count,
            })
        }
        _ => {
            let body: RunBody = parse_json(&req.body)?;
            let (key, ticket) = (body.key, body.ticket);
            let query = QueryRequest {
                token,
                search: body.search,
                class: body.class,
                deadline: body.deadline_ms.map(Duration::from_millis),
                body: body.body,
            };
            match (ticket, req.header("idempotency-key")) {
                (Some(ticket), None) => {
                    let ticket = ticket.parse().map_err(|_| {
                        BadRequest::new(400, "ticket is not one that a host issued")
                    })?;
                    Ok(CallerRequest::RunTicket(TicketRequest {
                        ticket,
                        key,
                        query,
                    }))
                }
                (None, Some(text)) => Ok(CallerRequest::RunClaim(ClaimRequest {
                    idempotency_key: idempotency_key(text)?,
                    key,
                    query,
                })),
                _ => Err(BadRequest::new(
                    400,
                    "either a ticket or an Idempotency-Key header is required",
                )),
            }
        }
    }
}

fn idempotency_key(text: &str) -> Result<Name, BadRequest> {
    let text = text.trim();
    if text.is_empty() || text.len() > KEY_BYTES {
        let error = format!("an Idempotency-Key has 1 to {KEY_BYTES} bytes");
        return Err(BadRequest::new(400, error));
    }
    Ok(text.into())
}

fn parse_json<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, BadRequest> {
    serde_json::from_str(text).map_err(|error| BadRequest::new(400, error.to_string()))
}

#[derive(Debug, Serialize)]
struct AnswerBody<'a> {
    query: QueryId,
    outcome: Outcome,
    snapshot: Option<SnapshotId>,
    coverage: f64,
    documents_covered: u64,
    documents_total: u64,
    covered: &'a [KeyRange],
    missing: &'a [KeyRange],
    hits: &'a [Hit],
    attempts: u32,
    hedges: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<&'static str>,
}

#[derive(Debug, Serialize)]
struct RunAnswer<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    ticket: Option<String>,
    outcome: Outcome,
    #[serde(skip_serializing_if = "Option::is_none")]
    snapshot: Option<SnapshotId>,
    hits: &'a [Hit],
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

/// Sends the answer to a caller.
pub(crate) fn respond(responder: Responder, answer: &CallerAnswer) {
    match answer {
        CallerAnswer::Query(answer) => respond_query(responder, answer),
        CallerAnswer::Tickets(tickets) => {
            let tickets: Vec<String> = tickets.iter().map(ToString::to_string).collect();
            responder.json(200, serde_json::json!({ "tickets": tickets }).to_string());
        }
        CallerAnswer::Run { id, result } => respond_run(responder, id, result),
        CallerAnswer::Rejected(rejection) => respond_rejection(responder, rejection),
        CallerAnswer::Status(status) => responder.json(200, status.to_string()),
    }
}

fn respond_query(responder: Responder, answer: &Answer) {
    let body = AnswerBody {
        query: answer.query,
        outcome: answer.outcome,
        snapshot: answer.snapshot,
        coverage: answer.coverage,
        documents_covered: answer.documents_covered,
        documents_total: answer.documents_total,
        covered: &answer.covered,
        missing: &answer.missing,
        hits: &answer.hits,
        attempts: answer.attempts,
        hedges: answer.hedges,
        error: answer.reason.map(reason_text),
    };
    let status = match (answer.outcome, answer.reason) {
        (Outcome::Done, _) => 200,
        (Outcome::NotRun, Some(AnswerReason::Quarantined)) => 422,
        (Outcome::NotRun, Some(AnswerReason::DeadlinePassed)) | (Outcome::Unknown, _) => 504,
        (Outcome::NotRun, _) => 503,
    };
    respond_body(responder, status, &body);
}

fn reason_text(reason: AnswerReason) -> &'static str {
    match reason {
        AnswerReason::InsufficientCoverage => "insufficient coverage",
        AnswerReason::Quarantined => "the request has crashed upstreams and is quarantined",
        AnswerReason::DeadlinePassed => "deadline passed",
        AnswerReason::NoSnapshot => "the search has no usable snapshot",
        AnswerReason::NoReplica => "no upstream in service holds any shard",
        AnswerReason::Overloaded => "overloaded",
        AnswerReason::Inconsistent => "upstream answers contradicted each other",
    }
}

fn respond_run(responder: Responder, id: &RunId, result: &TicketResult) {
    let answer = result.answer.as_ref();
    let body = RunAnswer {
        ticket: match id {
            RunId::Ticket(ticket) => Some(ticket.to_string()),
            RunId::Claim(_) => None,
        },
        outcome: result.outcome,
        snapshot: answer.map(|answer| answer.snapshot),
        hits: answer.map_or(&[], |answer| &answer.hits),
        error: (!result.reason.is_empty()).then(|| result.reason.to_string()),
    };
    let status = match result.outcome {
        Outcome::Done => 200,
        Outcome::NotRun => 503,
        Outcome::Unknown => 504,
    };
    respond_body(responder, status, &body);
}

fn respond_rejection(responder: Responder, rejection: &Rejection) {
    let (status, error) = match rejection {
        Rejection::UnknownOrganisation => (401, "no customer has this token"),
        Rejection::SearchNotAllowed => (403, "the customer's plan does not allow this search"),
        Rejection::UnknownSearch => (404, "no such search"),
        Rejection::UnknownClass => (400, "the search has no such class"),
        Rejection::RateExceeded { .. } => (429, "the customer is over its rate"),
        Rejection::ConcurrencyExceeded => (429, "the customer has too many requests in progress"),
        Rejection::DeadlinePassed => (504, "deadline passed"),
        Rejection::NotReady => (503, "the host has no configuration yet"),
        Rejection::Overloaded => (503, "overloaded"),
    };
    let responder = match rejection {
        Rejection::RateExceeded { retry_after } => {
            let seconds = retry_after.as_secs_f64().ceil().max(1.0);
            responder.header("Retry-After", &format!("{seconds:.0}"))
        }
        _ => responder,
    };
    respond_error(responder, status, Outcome::NotRun, error);
}

fn respond_error(responder: Responder, status: u16, outcome: Outcome, error: &str) {
    respond_body(responder, status, &ErrorBody { outcome, error });
}

fn respond_body<T: Serialize>(responder: Responder, status: u16, body: &T) {
    match serde_json::to_string(body) {
        Ok(text) => responder.json(status, text),
        Err(error) => {
            log::error!("event=encode_answer_failed error=\"{error}\"");
            drop(responder);
        }
    }
}
