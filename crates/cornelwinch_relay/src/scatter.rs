use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use cornelwinch_routing::{GatherOutcome, GatherPlan, RequestFingerprint, Route, TopKMerge};
use cornelwinch_types::Name;
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use http_body_util::Full;
use hyper::Response;
use hyper::header::HeaderValue;
use tokio::time::sleep_until;

use crate::answer::Reply;
use crate::core::Shared;
use crate::fetch::{FetchEnd, FetchPlan, fetch, hedge_after, linger};
use crate::leg::Outgoing;

/// Share of the goal after which an answer without all parts is returned.
const ANSWER_SHARE: f64 = 0.8;

/// Share of the goal after which a second upstream of a shard gets the request.
const HEDGE_SHARE: f64 = 0.3;

struct Gathering {
    merge: TopKMerge,
    stamps: Vec<HeaderValue>,
    total: usize,
    least: usize,
    /// Shards that can no longer answer.
    failed: usize,
    /// Upstreams of some shard refused too many legs.
    is_short: bool,
    /// Some upstream may have run the request.
    ran: bool,
    reason: &'static str,
}

/// Answers a request with the parts of many shards.
pub(crate) async fn answer_scatter(
    shared: Rc<Shared>,
    out: Rc<Outgoing>,
    route: Arc<Route>,
    plan: GatherPlan,
    print: RequestFingerprint,
) -> Reply {
    let arrived = Instant::now();
    for shard in &plan.shards {
        shared.count_request(shard);
    }
    let mut gathering = Gathering::new(&plan);
    if !shared.core.borrow().can_gather(arrived, &plan) {
        return Reply::not_run("shards_unserved");
    }
    let mut shards = plan.shards.clone();
    shards.sort_unstable();
    if !shared.core.borrow_mut().gathers.start(&shards, arrived) {
        return Reply::not_run("overloaded");
    }
    let mut started = Started {
        shared: shared.clone(),
        shards,
        end: GatherOutcome::Other,
    };
    let hedge_after = hedge_after(&shared, &route, HEDGE_SHARE);
    let mut fetches: FuturesUnordered<LocalBoxFuture<'static, FetchEnd>> = plan
        .shards
        .iter()
        .map(|shard| {
            let plan = FetchPlan {
                route: route.clone(),
                service: shard.clone(),
                idempotent: true,
                hedge_after: Some(hedge_after),
                print,
            };
            let future: LocalBoxFuture<_> = Box::pin(fetch(shared.clone(), out.clone(), plan));
            future
        })
        .collect();
    let early = arrived + route.goal.mul_f64(ANSWER_SHARE);
    let mut alarm = pin!(sleep_until(early.min(out.deadline).into()));
    let mut is_due = false;
    while !gathering.is_over(is_due) {
        tokio::select! {
            biased;
            Some(end) = fetches.next() => gathering.add(&shared, end),
            () = &mut alarm => {
                if is_due || Instant::now() >= out.deadline {
                    return gathering.finish(&shared, &out, true);
                }
                is_due = true;
                alarm.as_mut().reset(out.deadline.into());
            }
        }
    }
    started.end = gathering.end();
    // Legs in flight are given up and may have run.
    gathering.ran |= !fetches.is_empty();
    if gathering.is_success() {
        linger(fetches);
    }
    gathering.finish(&shared, &out, false)
}

/// Ends a gathered request for the limit on them, also where its future is dropped.
struct Started {
    shared: Rc<Shared>,
    shards: Vec<Name>,
    end: GatherOutcome,
}

impl Drop for Started {
    fn drop(&mut self) {
        let mut core = self.shared.core.borrow_mut();
        core.gathers.end(&self.shards, Instant::now(), self.end);
    }
}

impl Gathering {
    fn new(plan: &GatherPlan) -> Self {
        Self {
            merge: TopKMerge::new(plan.top),
            stamps: Vec::with_capacity(plan.shards.len()),
            total: plan.shards.len(),
            least: plan.min_parts(),
            failed: 0,
            is_short: false,
            ran: false,
            reason: "-",
        }
    }

    fn add(&mut self, shared: &Shared, end: FetchEnd) {
        match end {
            FetchEnd::Answer(answer) if answer.status.is_success() => {
                let stamp = answer.headers.get(&shared.dialect.headers.stamp);
                // A leg without a stamp does not end with an answer.
                let stamp = stamp.expect("answers carry a stamp").clone();
                self.ran = true;
                self.stamps.push(stamp);
                self.merge.add(&answer.body);
            }
            FetchEnd::Answer(_) => self.fail("upstream_failure", true),
            FetchEnd::NotRun(reason) => {
                self.is_short |= reason.is_shortage();
                self.fail(reason.as_str(), false);
            }
            FetchEnd::Lost(reason) => self.fail(reason, true),
        }
    }

    fn fail(&mut self, reason: &'static str, ran: bool) {
        self.failed += 1;
        self.ran |= ran;
        self.reason = reason;
    }

    /// What the end tells about the upstreams.
    fn end(&self) -> GatherOutcome {
        if self.is_success() {
            GatherOutcome::Served
        } else if self.is_short {
            GatherOutcome::Overloaded
        } else {
            GatherOutcome::Other
        }
    }

    fn is_success(&self) -> bool {
        self.stamps.len() >= self.least
    }

    /// Reports whether the answer can be given now.
    fn is_over(&self, is_due: bool) -> bool {
        let open = self.total - self.failed - self.stamps.len();
        open == 0 || self.stamps.len() + open < self.least || (is_due && self.is_success())
    }

    fn finish(self, shared: &Shared, out: &Outgoing, timed_out: bool) -> Reply {
        if !self.is_success() {
            return match (timed_out, self.ran) {
                (true, _) => Reply::timed_out("deadline"),
                (false, true) => Reply::unknown(self.reason),
                (false, false) => Reply::not_run(self.reason),
            };
        }
        let missing = self.total - self.stamps.len();
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
