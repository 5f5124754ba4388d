use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cornelwinch_routing::{RepeatKind, Route, UpstreamEndpoint, UpstreamId};
use cornelwinch_types::Name;
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use tokio::time::{sleep, timeout};

use crate::crash_check::record_cut;
use crate::leg::{LegOutcome, NotRunReason, OutgoingRequest, UpstreamAnswer, run_leg};
use crate::shared::Shared;

/// Time for which the remaining legs of an answered request may complete. A completed leg keeps its
/// connection and reports the health of its upstream.
const LINGER_TIMEOUT: Duration = Duration::from_millis(400);

/// Multiple of the median leg time before which no hedge starts.
const HEDGE_LEG_TIME_RATIO: f64 = 2.0;

/// Delay before a hedge that could not start, mostly for lack of repeat budget, is tried again.
const HEDGE_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Number of legs not run by their upstreams after which a request to a service starts no more
/// legs.
const MAX_NOT_RUN_LEGS: usize = 3;

/// Parameters for sending a request to one upstream of a service.
#[derive(Debug, Clone)]
pub(crate) struct FetchPlan {
    pub(crate) route: Arc<Route>,
    pub(crate) service: Name,
    pub(crate) idempotent: bool,
    /// Delay after which a hedge is sent to a second upstream.
    pub(crate) hedge_after: Option<Duration>,
}

/// Outcome of all legs to one service.
#[derive(Debug)]
pub(crate) enum FetchOutcome {
    /// An upstream ran the request and returned this answer.
    Answer(UpstreamAnswer),
    /// No upstream ran the request, and none will.
    NotRun(NotRunReason),
    /// An upstream may have run the request; the reason is written to logs and answers.
    Lost(&'static str),
}

type LegFuture = LocalBoxFuture<'static, (UpstreamEndpoint, Instant, LegOutcome)>;

struct Fetch {
    shared: Rc<Shared>,
    out: Rc<OutgoingRequest>,
    plan: FetchPlan,
    tried: Vec<UpstreamId>,
    /// Tried upstreams whose connection failed. They are tried once more if there is no other.
    unconnected: Vec<UpstreamId>,
    legs: FuturesUnordered<LegFuture>,
    /// Legs that are in flight or may have run. They count towards the attempts of the route.
    attempts_used: u32,
    /// Legs that have reached an upstream or are in flight. Later legs need repeat budget.
    legs_arrived: usize,
    legs_not_run: usize,
    failed_answer: Option<UpstreamAnswer>,
    lost_reason: Option<&'static str>,
    not_run_reason: NotRunReason,
}

/// Sends a request to one upstream of a service, with retries and hedges as far as the plan, the
/// attempts of the route and the repeat budget allow.
pub(crate) async fn fetch(
    shared: Rc<Shared>,
    out: Rc<OutgoingRequest>,
    plan: FetchPlan,
) -> FetchOutcome {
    let hedge_after = plan.hedge_after;
    let mut fetch = Fetch {
        shared,
        out,
        plan,
        tried: Vec::new(),
        unconnected: Vec::new(),
        legs: FuturesUnordered::new(),
        attempts_used: 0,
        legs_arrived: 0,
        legs_not_run: 0,
        failed_answer: None,
        lost_reason: None,
        not_run_reason: NotRunReason::NoUpstream,
    };
    if !fetch.start_leg() {
        return fetch.finish();
    }
    let mut hedge_timer = pin!(sleep(hedge_after.unwrap_or_default()));
    let mut hedge_armed = hedge_after.is_some();
    loop {
        tokio::select! {
            biased;
            Some((upstream, sent_at, outcome)) = fetch.legs.next() => {
                if let Some(answer) = fetch.on_leg_end(&upstream, sent_at, outcome) {
                    drain_in_background(fetch.legs);
                    return FetchOutcome::Answer(answer);
                }
                if fetch.legs.is_empty() && !fetch.start_leg() {
                    return fetch.finish();
                }
            }
            () = &mut hedge_timer, if hedge_armed => {
                if fetch.legs.len() < 2 && fetch.may_start_leg() && !fetch.start_leg() {
                    hedge_timer.as_mut().reset((Instant::now() + HEDGE_RETRY_INTERVAL).into());
                } else {
                    hedge_armed = false;
                }
            }
        }
    }
}

/// Returns the delay after which a request is hedged: a share of the route's goal, or longer on
/// routes with slow legs.
pub(crate) fn hedge_after(shared: &Shared, route: &Route, share: f64) -> Duration {
    let median_leg_time = shared.core.borrow().median_leg_time(route);
    route
        .goal
        .mul_f64(share)
        .max(median_leg_time.mul_f64(HEDGE_LEG_TIME_RATIO))
}

/// Polls the remaining futures of an answered request in the background for a limited time.
pub(crate) fn drain_in_background<T: 'static>(
    pending: FuturesUnordered<LocalBoxFuture<'static, T>>,
) {
    if !pending.is_empty() {
        tokio::task::spawn_local(timeout(
            LINGER_TIMEOUT,
            pending.for_each(|_| std::future::ready(())),
        ));
    }
}

impl Fetch {
    fn may_start_leg(&self) -> bool {
        self.attempts_used < self.plan.route.attempts.max(1)
            && self.legs_not_run < MAX_NOT_RUN_LEGS
            && (self.plan.idempotent || self.attempts_used == 0)
            && Instant::now() < self.out.deadline
    }

    fn start_leg(&mut self) -> bool {
        if !self.may_start_leg() {
            return false;
        }
        let is_repeat = self.legs_arrived > 0;
        if is_repeat {
            let core = self.shared.core.borrow();
            if core
                .crash_tracker
                .is_quarantined(Instant::now(), self.out.fingerprint)
            {
                self.not_run_reason = NotRunReason::CrashesUpstreams;
                return false;
            }
        }
        let Some(upstream) = self.pick_upstream() else {
            return false;
        };
        let repeat = if self.legs.is_empty() {
            RepeatKind::Retry
        } else {
            RepeatKind::Hedge
        };
        if is_repeat && !self.shared.spend_repeat(&self.plan.service, repeat) {
            self.not_run_reason = NotRunReason::RepeatBudget;
            if repeat == RepeatKind::Retry && self.may_log_leg() {
                log::info!(
                    "event=repeat_denied id={:?} service={} legs={}",
                    self.out.request_id,
                    self.plan.service,
                    self.tried.len()
                );
            }
            return false;
        }
        log::debug!(
            "event=leg id={:?} service={} upstream={} repeat={is_repeat}",
            self.out.request_id,
            self.plan.service,
            upstream.name
        );
        self.tried.push(upstream.id);
        self.attempts_used += 1;
        self.legs_arrived += 1;
        let median_leg_time = self.shared.core.borrow().median_leg_time(&self.plan.route);
        let (shared, out) = (self.shared.clone(), self.out.clone());
        let route = self.plan.route.clone();
        self.legs.push(Box::pin(async move {
            let sent_at = Instant::now();
            let upstream_of_leg = upstream.clone();
            let outcome = run_leg(
                shared,
                out,
                route,
                upstream_of_leg,
                median_leg_time,
                is_repeat,
            )
            .await;
            (upstream, sent_at, outcome)
        }));
        true
    }

    /// Selects an upstream that was not tried, or else one whose connection failed.
    fn pick_upstream(&mut self) -> Option<UpstreamEndpoint> {
        let (route, service) = (&self.plan.route.name, &self.plan.service);
        if let Some(upstream) = self.shared.pick_upstream(route, service, &self.tried) {
            return Some(upstream);
        }
        if self.unconnected.is_empty() {
            return None;
        }
        let others: Vec<UpstreamId> = self
            .tried
            .iter()
            .filter(|id| !self.unconnected.contains(id))
            .copied()
            .collect();
        let upstream = self.shared.pick_upstream(route, service, &others)?;
        self.unconnected.retain(|id| *id != upstream.id);
        Some(upstream)
    }

    /// Records the outcome of a leg. Returns the answer if it completes the fetch.
    fn on_leg_end(
        &mut self,
        upstream: &UpstreamEndpoint,
        sent_at: Instant,
        outcome: LegOutcome,
    ) -> Option<UpstreamAnswer> {
        self.log_failure(upstream, sent_at, &outcome);
        let shared = self.shared.clone();
        let mut core = shared.core.borrow_mut();
        match outcome {
            LegOutcome::Answer(answer) => {
                if answer.status.is_success() {
                    core.record_leg_time(&self.plan.route, sent_at.elapsed());
                    let tracker = &mut core.crash_tracker;
                    if tracker.record_answer(Instant::now(), self.out.fingerprint) {
                        log::info!(
                            "event=crash_suspicion_ended id={:?} print={} reason=answered",
                            self.out.request_id,
                            self.out.fingerprint
                        );
                    }
                }
                if !answer.status.is_server_error() || !self.plan.idempotent {
                    return Some(answer);
                }
                self.failed_answer = Some(answer);
            }
            LegOutcome::NotRun(reason) => {
                self.attempts_used -= 1;
                self.legs_not_run += 1;
                self.not_run_reason = reason;
                if !reason.reached_upstream() {
                    self.legs_arrived -= 1;
                }
                if matches!(reason, NotRunReason::Connect | NotRunReason::Unsent) {
                    self.note_unconnected(upstream.id);
                }
            }
            LegOutcome::Lost(reason) => self.lost_reason = Some(reason),
            LegOutcome::Disconnected(reason) => {
                self.lost_reason = Some(reason);
                self.note_unconnected(upstream.id);
                drop(core);
                record_cut(&self.shared, &self.out, &self.plan.route, upstream);
            }
        }
        None
    }

    /// Allows an upstream to be tried once more, unless it was already.
    fn note_unconnected(&mut self, id: UpstreamId) {
        if self.tried.iter().filter(|tried| **tried == id).count() == 1 {
            self.unconnected.push(id);
        }
    }

    /// Logs a leg without a usable answer, subject to the rate limit on such lines.
    fn log_failure(&self, upstream: &UpstreamEndpoint, sent_at: Instant, outcome: &LegOutcome) {
        let (result, reason) = match outcome {
            LegOutcome::Answer(answer) if answer.status.is_server_error() => {
                ("failure", answer.status.as_str())
            }
            LegOutcome::Answer(_) => return,
            LegOutcome::NotRun(reason) => ("not_run", reason.as_str()),
            LegOutcome::Lost(reason) => ("unknown", *reason),
            LegOutcome::Disconnected(reason) => ("unknown", *reason),
        };
        if self.may_log_leg() {
            log::info!(
                "event=leg_failed id={:?} service={} upstream={} result={result} reason={reason} legs={} ms={}",
                self.out.request_id,
                self.plan.service,
                upstream.name,
                self.tried.len(),
                sent_at.elapsed().as_millis()
            );
        }
    }

    fn may_log_leg(&self) -> bool {
        let mut core = self.shared.core.borrow_mut();
        core.leg_log_limit.take(Instant::now())
    }

    fn finish(self) -> FetchOutcome {
        match (self.failed_answer, self.lost_reason) {
            (Some(answer), _) => FetchOutcome::Answer(answer),
            (None, Some(reason)) => FetchOutcome::Lost(reason),
            (None, None) => FetchOutcome::NotRun(self.not_run_reason),
        }
    }
}
