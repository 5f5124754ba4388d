use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use cornelwinch_routing::{RequestFingerprint, Route, RouteKind};
use cornelwinch_types::Name;
use tokio::time::timeout_at;

use crate::answer::Reply;
use crate::core::Shared;
use crate::fetch::{FetchOutcome, FetchPlan, fetch, hedge_after};
use crate::leg::OutgoingRequest;

/// Share of the route's goal after which an idempotent request is hedged.
const HEDGE_GOAL_RATIO: f64 = 0.4;

/// Answers a request that is served by a single upstream of a service.
pub(crate) async fn answer_single(
    shared: Rc<Shared>,
    out: Rc<OutgoingRequest>,
    route: Arc<Route>,
    service: Name,
    fingerprint: RequestFingerprint,
) -> Reply {
    shared.count_request(&service);
    if !shared
        .core
        .borrow()
        .fleet
        .has_available_upstream(Instant::now(), &service)
    {
        return Reply::not_run("service_unserved");
    }
    let idempotent = route.kind == RouteKind::Idempotent;
    let plan = FetchPlan {
        hedge_after: idempotent.then(|| hedge_after(&shared, &route, HEDGE_GOAL_RATIO)),
        route,
        service,
        idempotent,
        fingerprint,
    };
    let deadline = out.deadline;
    match timeout_at(deadline.into(), fetch(shared, out, plan)).await {
        Ok(FetchOutcome::Answer(answer)) => Reply::relayed(answer),
        Ok(FetchOutcome::NotRun(reason)) => Reply::not_run(reason.as_str()),
        Ok(FetchOutcome::Lost(reason)) => Reply::unknown(reason),
        Err(_) => Reply::timed_out("deadline"),
    }
}
