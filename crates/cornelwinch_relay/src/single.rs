use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use cornelwinch_routing::{RequestFingerprint, Route, RouteKind};
use cornelwinch_types::Name;
use tokio::time::timeout_at;

use crate::answer::Reply;
use crate::core::Shared;
use crate::fetch::{FetchEnd, FetchPlan, fetch, hedge_after};
use crate::leg::Outgoing;

/// Share of the goal after which a second upstream gets an idempotent request.
const HEDGE_SHARE: f64 = 0.4;

/// Answers a request that goes to one upstream of a service.
pub(crate) async fn answer_single(
    shared: Rc<Shared>,
    out: Rc<Outgoing>,
    route: Arc<Route>,
    service: Name,
    print: RequestFingerprint,
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
        hedge_after: idempotent.then(|| hedge_after(&shared, &route, HEDGE_SHARE)),
        route,
        service,
        idempotent,
        print,
    };
    let deadline = out.deadline;
    match timeout_at(deadline.into(), fetch(shared, out, plan)).await {
        Ok(FetchEnd::Answer(answer)) => Reply::relayed(answer),
        Ok(FetchEnd::NotRun(reason)) => Reply::not_run(reason.as_str()),
        Ok(FetchEnd::Lost(reason)) => Reply::unknown(reason),
        Err(_) => Reply::timed_out("deadline"),
    }
}
