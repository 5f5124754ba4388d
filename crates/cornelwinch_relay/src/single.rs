use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use cornelwinch_routing::{Route, RouteKind};
use cornelwinch_types::Name;
use tokio::time::timeout_at;

use crate::answer::{Reply, unserved};
use crate::fetch::{FetchOutcome, FetchPlan, fetch, hedge_after};
use crate::leg::OutgoingRequest;
use crate::shared::Shared;

/// Share of the route's goal after which an idempotent request is hedged.
const HEDGE_GOAL_RATIO: f64 = 0.4;

/// Answers a request that is served by a single upstream of a service.
pub(crate) async fn answer_single(
    shared: Rc<Shared>,
    out: Rc<OutgoingRequest>,
    route: Arc<Route>,
    service: Name,
) -> Reply {
    shared.count_request(&service);
    if let Some(reply) = refuse_unserved(&shared, &service) {
        return reply;
    }
    let idempotent = route.kind == RouteKind::Idempotent;
    let plan = FetchPlan {
        hedge_after: idempotent.then(|| hedge_after(&shared, &route, HEDGE_GOAL_RATIO)),
        route,
        service,
        idempotent,
    };
    let deadline = out.deadline;
    let service = plan.service.clone();
    match timeout_at(deadline.into(), fetch(shared.clone(), out, plan)).await {
        Ok(FetchOutcome::Answer(answer)) => Reply::relayed(answer),
        Ok(FetchOutcome::NotRun(reason)) => {
            refuse_unserved(&shared, &service).unwrap_or_else(|| Reply::not_run(reason.as_str()))
        }
        Ok(FetchOutcome::Lost(reason)) => Reply::unknown(reason),
        Err(_) => Reply::timed_out("deadline"),
    }
}

/// Returns the refusal of a request to a service that no upstream serves now.
fn refuse_unserved(shared: &Shared, service: &Name) -> Option<Reply> {
    let now = Instant::now();
    let fleet = &shared.core.borrow().fleet;
    if fleet.has_available_upstream(now, service) {
        return None;
    }
    let end_of_rest = fleet.end_of_rest(now, service);
    Some(unserved(
        end_of_rest,
        now,
        "service_resting",
        "service_unserved",
    ))
}
