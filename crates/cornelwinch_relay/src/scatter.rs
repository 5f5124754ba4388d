use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cornelwinch_routing::{Caller, GatherOutcome, GatherPlan, Route, TopKMerge};
use cornelwinch_types::Name;
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use tokio::time::sleep_until;

use crate::answer::{Reply, unserved};
use crate::fetch::{FetchOutcome, FetchPlan, drain_in_background, fetch, hedge_after};
use crate::leg::OutgoingRequest;
use crate::shared::Shared;

/// Share of the route's goal after which an answer with missing parts is returned.
const PARTIAL_ANSWER_GOAL_RATIO: f64 = 0.8;

/// Share of the route's goal after which the request to a shard is hedged.
const HEDGE_GOAL_RATIO: f64 = 0.3;

/// Share of the time left to a caller after which it returns at the latest. A caller waits no
/// longer, and needs the rest for its next attempt.
const RETURN_TIME_RATIO: f64 = 1.0 / 3.0;

/// Parts and failures collected so far for a gathered request.
struct GatherProgress {
    merge: TopKMerge,
    stamps: Vec<HeaderValue>,
    shard_count: usize,
    min_parts: usize,
    /// Shards that failed and cannot contribute a part.
    failed_shards: usize,
    /// A shard failed because its upstreams refused the legs or the repeat budget was exhausted.
    is_overloaded: bool,
    /// An upstream may have run the request.
    may_have_run: bool,
    reason: &'static str,
}

/// Answers a request by gathering parts from many shards.
pub(crate) async fn answer_scatter(
    shared: Rc<Shared>,
    out: Rc<OutgoingRequest>,
    route: Arc<Route>,
    plan: GatherPlan,
    caller: Caller,
) -> Reply {
    let arrived = Instant::now();
    for shard in &plan.shards {
        shared.count_request(shard);
    }
    let mut progress = GatherProgress::new(&plan);
    if !shared.core.borrow().can_gather(arrived, &plan) {
        let end_of_rest = shared.core.borrow().end_of_rest(arrived, &plan);
        return unserved(end_of_rest, arrived, "shards_resting", "shards_unserved");
    }
    let mut shards = plan.shards.clone();
    shards.sort_unstable();
    if !try_start(&shared, &shards, &caller, arrived) {
        let time = return_time(&shared, &shards, &out);
        return Reply::not_run_for("overloaded", time);
    }
    let mut guard = GatherGuard {
        shared: shared.clone(),
        shards,
        arrived,
        end: GatherOutcome::Other,
    };
    let hedge_after = hedge_after(&shared, &route, HEDGE_GOAL_RATIO);
    let mut fetches: FuturesUnordered<LocalBoxFuture<'static, FetchOutcome>> = plan
        .shards
        .iter()
        .map(|shard| {
            let plan = FetchPlan {
                route: route.clone(),
                service: shard.clone(),
                idempotent: true,
                hedge_after: Some(hedge_after),
            };
            let future: LocalBoxFuture<_> = Box::pin(fetch(shared.clone(), out.clone(), plan));
            future
        })
        .collect();
    let partial_answer_at = arrived + route.goal.mul_f64(PARTIAL_ANSWER_GOAL_RATIO);
    let mut timer = pin!(sleep_until(partial_answer_at.min(out.deadline).into()));
    let mut accepts_partial = false;
    while !progress.is_finished(accepts_partial) {
        tokio::select! {
            biased;
            Some(outcome) = fetches.next() => progress.add_outcome(&shared, outcome),
            () = &mut timer => {
                if accepts_partial || Instant::now() >= out.deadline {
                    return progress.finish(&shared, &guard.shards, &out, true);
                }
                accepts_partial = true;
                timer.as_mut().reset(out.deadline.into());
            }
        }
    }
    guard.end = progress.end();
    // Legs that are still in flight may have run.
    progress.may_have_run |= !fetches.is_empty();
    if progress.is_success() {
        drain_in_background(fetches);
    }
    progress.finish(&shared, &guard.shards, &out, false)
}

/// Starts a request if the limit on gathered requests to its shards allows it. Requests are ordered
/// by priority and organisation only where the settings have bounds of caps, or the desired state
/// has organisations.
fn try_start(shared: &Shared, shards: &[Name], caller: &Caller, now: Instant) -> bool {
    let has_cap_bounds = shared.settings.borrow().bounds.cap.is_some();
    let mut core = shared.core.borrow_mut();
    let hosts = core.host_count();
    if !has_cap_bounds && core.organisations.is_none() {
        return core.gather_limits.start(shards, hosts, now, None);
    }
    let draw = core.rng.f64();
    let may_start = core
        .gather_limits
        .start(shards, hosts, now, Some((caller, draw)));
    if !may_start {
        core.metrics.record_refused_gather(caller.priority);
    }
    may_start
}

/// Returns the time after which the caller of a request that did not run returns.
fn return_time(shared: &Shared, shards: &[Name], out: &OutgoingRequest) -> Duration {
    let now = Instant::now();
    let longest = out
        .deadline
        .saturating_duration_since(now)
        .mul_f64(RETURN_TIME_RATIO);
    let mut core = shared.core.borrow_mut();
    core.gather_limits.next_return(shards, now, longest)
}

/// Reports the end of a gathered request to the gather limits, even if its future is dropped.
struct GatherGuard {
    shared: Rc<Shared>,
    shards: Vec<Name>,
    arrived: Instant,
    end: GatherOutcome,
}

impl Drop for GatherGuard {
    fn drop(&mut self) {
        let mut core = self.shared.core.borrow_mut();
        let now = Instant::now();
        let time = now.saturating_duration_since(self.arrived);
        core.gather_limits.end(&self.shards, now, time, self.end);
    }
}

impl GatherProgress {
    fn new(plan: &GatherPlan) -> Self {
        Self {
            merge: TopKMerge::new(plan.top),
            stamps: Vec::with_capacity(plan.shards.len()),
            shard_count: plan.shards.len(),
            min_parts: plan.min_parts(),
            failed_shards: 0,
            is_overloaded: false,
            may_have_run: false,
            reason: "-",
        }
    }

    fn add_outcome(&mut self, shared: &Shared, outcome: FetchOutcome) {
        match outcome {
            FetchOutcome::Answer(answer) if answer.status.is_success() => {
                let stamp = answer.headers.get(&shared.dialect.headers.server_stamp);
                // `run_leg` returns no answer for a response without a stamp.
                let stamp = stamp.expect("answers carry a stamp").clone();
                self.may_have_run = true;
                self.stamps.push(stamp);
                self.merge.add(&answer.body);
            }
            FetchOutcome::Answer(answer) => {
                // The leg was queued or ran until its deadline.
                self.is_overloaded |= answer.status == StatusCode::GATEWAY_TIMEOUT;
                self.add_failure("upstream_failure", true);
            }
            FetchOutcome::NotRun(reason) => {
                self.is_overloaded |= reason.indicates_overload();
                self.add_failure(reason.as_str(), false);
            }
            FetchOutcome::Lost(reason) => self.add_failure(reason, true),
        }
    }

    fn add_failure(&mut self, reason: &'static str, may_have_run: bool) {
        self.failed_shards += 1;
        self.may_have_run |= may_have_run;
        self.reason = reason;
    }

    /// Returns the outcome that the gather limits take into account.
    fn end(&self) -> GatherOutcome {
        if self.is_success() {
            GatherOutcome::Served
        } else if self.is_overloaded {
            GatherOutcome::Overloaded
        } else {
            GatherOutcome::Other
        }
    }

    fn is_success(&self) -> bool {
        self.stamps.len() >= self.min_parts
    }

    /// Returns true if no further part is to be awaited: all shards have ended, too many have
    /// failed, or a partial answer is accepted and has enough parts.
    fn is_finished(&self, accepts_partial: bool) -> bool {
        let pending = self.shard_count - self.failed_shards - self.stamps.len();
        pending == 0
            || self.stamps.len() + pending < self.min_parts
            || (accepts_partial && self.is_success())
    }

    fn finish(
        self,
        shared: &Shared,
        shards: &[Name],
        out: &OutgoingRequest,
        timed_out: bool,
    ) -> Reply {
        if !self.is_success() {
            return match (timed_out, self.may_have_run) {
                (true, _) => Reply::timed_out("deadline"),
                (false, true) => Reply::unknown(self.reason),
                (false, false) => Reply::not_run_for(self.reason, return_time(shared, shards, out)),
            };
        }
        let missing = self.shard_count - self.stamps.len();
        let names = &shared.dialect.headers;
        let mut response = Response::new(Full::new(Bytes::from(self.merge.finish())));
        let headers = response.headers_mut();
        headers.insert(names.request_id.clone(), out.request_id.clone());
        headers.insert(names.missing_parts.clone(), HeaderValue::from(missing));
        for stamp in self.stamps {
            headers.append(names.part_stamps.clone(), stamp);
        }
        Reply::gathered(response, missing)
    }
}
