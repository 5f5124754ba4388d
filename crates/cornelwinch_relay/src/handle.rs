use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cornelwinch_routing::{
    RECORD_BYTES, RequestFingerprint, Route, RouteLookup, RouteTable, Target,
};
use cornelwinch_types::Fingerprint;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::{Request, Response, StatusCode};

use crate::answer::Reply;
use crate::headers::{millis, strip_hop_by_hop};
use crate::keys::Sender;
use crate::leg::OutgoingRequest;
use crate::scatter::answer_scatter;
use crate::shared::Shared;
use crate::single::answer_single;

/// Time reserved before the deadline for sending the answer to the caller.
const ANSWER_RETURN_MARGIN: Duration = Duration::from_millis(5);

/// Deadline of the legs of a gathered request, as a share of the route's goal. Later parts rarely
/// make it into an answer, and with this deadline an upstream drops them from its queue.
const GATHER_LEG_GOAL_RATIO: f64 = 0.92;

/// Largest accepted body of an answer that is passed on as it is.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Number of records that a part may have for each record of the gathered answer.
const PART_RECORDS_RATIO: usize = 64;

/// Size up to which a part is accepted on any route.
const MIN_PART_BYTES: usize = 256 * 1024;

/// Counts a request as active until dropped.
struct ActiveRequestGuard<'a>(&'a Shared);

impl<'a> ActiveRequestGuard<'a> {
    fn new(shared: &'a Shared) -> Self {
        shared.active.set(shared.active.get() + 1);
        Self(shared)
    }
}

impl Drop for ActiveRequestGuard<'_> {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
    }
}

/// Logs and counts a request as abandoned if it is dropped before an answer exists, because the
/// caller disconnected.
struct AbandonGuard<'a> {
    shared: &'a Shared,
    id: String,
    start: Instant,
    answered: bool,
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.shared.core.borrow_mut().metrics.abandoned += 1;
            log::info!(
                "event=request id={} outcome=abandoned ms={}",
                self.id,
                self.start.elapsed().as_millis()
            );
        }
    }
}

/// Answers one request of a caller, then logs it and records its metrics.
pub(crate) async fn handle(
    shared: Rc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let _active = ActiveRequestGuard::new(&shared);
    let start = Instant::now();
    let id = request
        .headers()
        .get(&shared.dialect.headers.request_id)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("-")
        .to_owned();
    let mut guard = AbandonGuard {
        shared: &shared,
        id,
        start,
        answered: false,
    };
    let (table, organisations) = {
        let core = shared.core.borrow();
        (core.table.clone(), core.organisations.clone())
    };
    let version = table.as_ref().map_or(0, |table| table.version());
    let route = table.as_deref().map(|table| find_route(table, &request));
    let sender = match &route {
        Some(Ok(route)) => Sender::identify(
            organisations.as_deref(),
            &shared.dialect,
            route,
            request.headers(),
        ),
        _ => Ok(Sender::NoKeys),
    };
    let organisation = match &sender {
        Ok(Sender::Organisation(organisation)) => Some(organisation.name.clone()),
        _ => None,
    };
    let left = millis(request.headers(), &shared.dialect.headers.deadline_ms);
    let is_timely = match &route {
        Some(Ok(route)) => shared.is_timely(route, left),
        _ => true,
    };
    let reply = match (&table, &route, sender) {
        (Some(_), Some(Ok(_)), Err(reason)) => Reply::rejected(StatusCode::UNAUTHORIZED, reason),
        (Some(_), Some(Ok(route)), Ok(_)) if stops_before_goal(&shared, route, start) => {
            Reply::not_run("stopping")
        }
        (Some(table), Some(Ok(route)), Ok(sender)) => {
            match shared.admit(&sender, route, is_timely).await {
                Ok(admission) => {
                    let reply = tokio::select! {
                        biased;
                        reply = answer(&shared, table, route.clone(), sender, is_timely, request, start) => reply,
                        () = shared.stop_due() => Reply::timed_out("stopping"),
                    };
                    shared.end_admission(admission, reply.outcome);
                    reply
                }
                Err(wait) => Reply::over_cap(wait),
            }
        }
        (_, Some(Err(reason)), _) => Reply::rejected(StatusCode::NOT_FOUND, reason),
        _ => Reply::not_run("no_configuration"),
    };
    guard.answered = true;
    let route = match &route {
        Some(Ok(route)) => &*route.name,
        _ => "-",
    };
    let elapsed = start.elapsed();
    log::info!(
        "event=request id={} route={route} version={version} outcome={} status={} reason={} missing={} ms={}",
        guard.id,
        reply.outcome.as_str(),
        reply.response.status().as_u16(),
        reply.reason,
        reply.missing,
        elapsed.as_millis(),
    );
    let mut core = shared.core.borrow_mut();
    core.metrics.record(route, elapsed, reply.outcome);
    if let Some(organisation) = organisation {
        let outcome = match reply.reason {
            "-" => reply.outcome.as_str(),
            reason => reason,
        };
        core.metrics
            .record_organisation(&organisation, elapsed, outcome);
    }
    drop(core);
    let mut response = reply.track(&shared.answers_in_writing);
    // The balancer sends the caller's next connection to another host.
    if !shared.is_ready() {
        response
            .headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Returns true if this host stops before the goal of the route has elapsed, so that a request that
/// is passed on now could end without an upstream's answer.
fn stops_before_goal(shared: &Shared, route: &Route, now: Instant) -> bool {
    let stop_at = shared.stop_at.get();
    stop_at.is_some_and(|at| at.saturating_duration_since(now) <= route.goal)
}

fn find_route(table: &RouteTable, request: &Request<Incoming>) -> Result<Arc<Route>, &'static str> {
    let host = request
        .headers()
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .ok_or("no_host")?;
    match table.find(host, request.uri().path()) {
        RouteLookup::Route(route) => Ok(route),
        RouteLookup::NoRoute => Err("no_route"),
    }
}

/// Returns the largest body that an upstream's answer may have. Of a part, only the greatest
/// records are used; a shard that sends many times as many is faulty.
fn max_answer_bytes(target: &Target) -> usize {
    match target {
        Target::Gather(plan) => plan
            .top
            .saturating_mul(RECORD_BYTES)
            .saturating_mul(PART_RECORDS_RATIO)
            .clamp(MIN_PART_BYTES, MAX_ANSWER_BYTES),
        Target::Service(_) | Target::Split(_) => MAX_ANSWER_BYTES,
    }
}

/// Returns the size of a request's headers on the wire, without the request line.
fn header_bytes(request: &Request<Incoming>) -> usize {
    const SEPARATORS: usize = ": \r\n".len();
    let headers = request.headers().iter();
    headers
        .map(|(name, value)| name.as_str().len() + value.len() + SEPARATORS)
        .sum()
}

async fn answer(
    shared: &Rc<Shared>,
    table: &RouteTable,
    route: Arc<Route>,
    sender: Sender,
    is_timely: bool,
    request: Request<Incoming>,
    start: Instant,
) -> Reply {
    let names = &shared.dialect.headers;
    if header_bytes(&request) > table.limits().header_bytes {
        return Reply::rejected(
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "head_too_large",
        );
    }
    let Some(request_id) = request.headers().get(&names.request_id).cloned() else {
        return Reply::rejected(StatusCode::BAD_REQUEST, "no_request_id");
    };
    let caller_timeout = millis(request.headers(), &names.deadline_ms).unwrap_or(route.timeout);
    let time = caller_timeout
        .min(route.timeout)
        .saturating_sub(ANSWER_RETURN_MARGIN);
    let (head, body) = request.into_parts();
    let body = tokio::select! {
        biased;
        body = Limited::new(body, table.limits().body_bytes).collect() => body,
        () = shared.stop_due() => return Reply::not_run("stopping"),
    };
    let body = match body {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            return Reply::rejected(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large");
        }
        Err(error) => {
            log::info!("event=request_cut id={request_id:?} reason=\"{error}\"");
            return Reply::rejected(StatusCode::BAD_REQUEST, "body_cut");
        }
    };
    // The body may have come long after the head.
    if stops_before_goal(shared, &route, Instant::now()) {
        return Reply::not_run("stopping");
    }
    let mut headers = head.headers;
    strip_hop_by_hop(&mut headers);
    sender.replace_key(&shared.dialect, &mut headers);
    let caller = sender.caller(&route, is_timely);
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let Ok(uri) = path.parse() else {
        return Reply::rejected(StatusCode::BAD_REQUEST, "path");
    };
    let fingerprint = RequestFingerprint::of_bytes(path.as_bytes(), &body);
    let is_admitted = {
        let mut core = shared.core.borrow_mut();
        core.crash_tracker.admit(start, fingerprint)
    };
    if !is_admitted {
        return Reply::not_run("crashes_upstreams");
    }
    let deadline = start + time;
    let leg_deadline = match &route.target {
        Target::Gather(_) => deadline.min(start + route.goal.mul_f64(GATHER_LEG_GOAL_RATIO)),
        Target::Service(_) | Target::Split(_) => deadline,
    };
    let out = Rc::new(OutgoingRequest {
        method: head.method,
        uri,
        headers,
        body,
        attempt: Fingerprint::of_bytes(b"attempt", request_id.as_bytes()),
        request_id,
        fingerprint,
        deadline,
        leg_deadline,
        max_answer_bytes: max_answer_bytes(&route.target),
        fresh_connection: route.kind == cornelwinch_routing::RouteKind::NonIdempotent,
    });
    let shared = shared.clone();
    match &route.target {
        Target::Service(service) => {
            let service = service.clone();
            answer_single(shared, out, route, service).await
        }
        Target::Split(parts) => {
            let service = shared.core.borrow_mut().next_of_split(&route, parts);
            match service {
                Some(service) => answer_single(shared, out, route, service).await,
                None => Reply::not_run("no_weight"),
            }
        }
        Target::Gather(plan) => {
            let plan = plan.clone();
            answer_scatter(shared, out, route, plan, caller).await
        }
    }
}
