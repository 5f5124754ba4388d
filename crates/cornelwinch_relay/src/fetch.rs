use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cornelwinch_routing::{RepeatKind, RequestFingerprint, Route, UpstreamEndpoint, UpstreamId};
use cornelwinch_types::{Fingerprint, Name};
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use tokio::time::{sleep, timeout};

use crate::core::Shared;
use crate::leg::{LegEnd, NotRun, Outgoing, UpstreamAnswer, run_leg};

/// Time for which the other legs of an answered request may end by themselves,
/// which keeps their connections and tells how their upstreams are.
const LINGER: Duration = Duration::from_millis(400);

/// Multiple of the usual leg time before which no second leg starts.
const HEDGE_TYPICAL: f64 = 2.0;

/// Pause after which a second leg that the budget did not allow is asked for
/// again.
const BUDGET_RETRY: Duration = Duration::from_millis(10);

/// Legs of one request to one service that their upstreams did not run.
const NOT_RUN_LEGS: usize = 3;

/// How a request reaches one upstream of a service.
#[derive(Debug, Clone)]
pub(crate) struct FetchPlan {
    pub(crate) route: Arc<Route>,
    pub(crate) service: Name,
    pub(crate) idempotent: bool,
    /// Time after which a second upstream gets the request.
    pub(crate) hedge_after: Option<Duration>,
    pub(crate) print: RequestFingerprint,
}

/// How the legs to one service ended.
#[derive(Debug)]
pub(crate) enum FetchEnd {
    /// An upstream ran the request.
    Answer(UpstreamAnswer),
    /// No upstream ran the request or will.
    NotRun(NotRun),
    /// An upstream may have run the request.
    Lost(&'static str),
}

type Leg = LocalBoxFuture<'static, (UpstreamEndpoint, Instant, LegEnd)>;

struct Fetch {
    shared: Rc<Shared>,
    out: Rc<Outgoing>,
    plan: FetchPlan,
    tried: Vec<UpstreamId>,
    legs: FuturesUnordered<Leg>,
    /// Legs that are in flight or may have run.
    running: u32,
    /// Legs that reached an upstream, as far as is known.
    arrived: usize,
    not_run: usize,
    failure: Option<UpstreamAnswer>,
    lost: Option<&'static str>,
    not_run_reason: NotRun,
}

/// Sends a request to one upstream of a service, and to others as the plan,
/// the route's attempts and the budget allow.
pub(crate) async fn fetch(shared: Rc<Shared>, out: Rc<Outgoing>, plan: FetchPlan) -> FetchEnd {
    let hedge_after = plan.hedge_after;
    let mut fetch = Fetch {
        shared,
        out,
        plan,
        tried: Vec::new(),
        legs: FuturesUnordered::new(),
        running: 0,
        arrived: 0,
        not_run: 0,
        failure: None,
        lost: None,
        not_run_reason: NotRun::NoUpstream,
    };
    if !fetch.start_leg() {
        return fetch.finish();
    }
    let mut hedge = pin!(sleep(hedge_after.unwrap_or_default()));
    let mut hedge_armed = hedge_after.is_some();
    loop {
        tokio::select! {
            biased;
            Some((upstream, sent, end)) = fetch.legs.next() => {
                if let Some(answer) = fetch.on_end(&upstream, sent, end) {
                    linger(fetch.legs);
                    return FetchEnd::Answer(answer);
                }
                if fetch.legs.is_empty() && !fetch.start_leg() {
                    return fetch.finish();
                }
            }
            () = &mut hedge, if hedge_armed => {
                if fetch.legs.len() < 2 && fetch.may_start() && !fetch.start_leg() {
                    hedge.as_mut().reset((Instant::now() + BUDGET_RETRY).into());
                } else {
                    hedge_armed = false;
                }
            }
        }
    }
}

/// Time after which a second upstream gets a request: a share of the route's goal,
/// or later where legs usually take longer.
pub(crate) fn hedge_after(shared: &Shared, route: &Route, share: f64) -> Duration {
    let typical = shared.core.borrow().typical(route);
    route
        .goal
        .mul_f64(share)
        .max(typical.mul_f64(HEDGE_TYPICAL))
}

/// Lets what is open of an answered request end by itself for a while.
pub(crate) fn linger<T: 'static>(open: FuturesUnordered<LocalBoxFuture<'static, T>>) {
    if !open.is_empty() {
        tokio::task::spawn_local(timeout(LINGER, open.for_each(|_| std::future::ready(()))));
    }
}

impl Fetch {
    fn may_start(&self) -> bool {
        self.running < self.plan.route.attempts.max(1)
            && self.not_run < NOT_RUN_LEGS
            && (self.plan.idempotent || self.running == 0)
            && Instant::now() < self.out.deadline
    }

    fn start_leg(&mut self) -> bool {
        if !self.may_start() {
            return false;
        }
        let repeats = self.arrived > 0;
        if repeats {
            let core = self.shared.core.borrow();
            if core.marks.is_quarantined(Instant::now(), self.plan.print) {
                self.not_run_reason = NotRun::CrashesUpstreams;
                return false;
            }
        }
        let Some(upstream) = self.shared.pick(&self.plan.service, &self.tried) else {
            return false;
        };
        let repeat = if self.legs.is_empty() {
            RepeatKind::Retry
        } else {
            RepeatKind::Hedge
        };
        if repeats && !self.shared.spend_repeat(&self.plan.service, repeat) {
            self.not_run_reason = NotRun::RepeatBudget;
            if repeat == RepeatKind::Retry && self.may_log() {
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
            "event=leg id={:?} service={} upstream={} repeat={repeats}",
            self.out.request_id,
            self.plan.service,
            upstream.name
        );
        self.tried.push(upstream.id);
        self.running += 1;
        self.arrived += 1;
        let typical = self.shared.core.borrow().typical(&self.plan.route);
        let (shared, out) = (self.shared.clone(), self.out.clone());
        self.legs.push(Box::pin(async move {
            let sent = Instant::now();
            let end = run_leg(shared, out, upstream.clone(), typical).await;
            (upstream, sent, end)
        }));
        true
    }

    /// Takes in the end of a leg and returns the answer that ends the fetch.
    fn on_end(
        &mut self,
        upstream: &UpstreamEndpoint,
        sent: Instant,
        end: LegEnd,
    ) -> Option<UpstreamAnswer> {
        self.log_failure(upstream, sent, &end);
        let mut core = self.shared.core.borrow_mut();
        match end {
            LegEnd::Answer(answer) => {
                if answer.status.is_success() {
                    core.record_leg_time(&self.plan.route, sent.elapsed());
                    core.marks.record_answer(Instant::now(), self.plan.print);
                }
                if !answer.status.is_server_error() || !self.plan.idempotent {
                    return Some(answer);
                }
                self.failure = Some(answer);
            }
            LegEnd::NotRun(reason) => {
                self.running -= 1;
                self.not_run += 1;
                self.not_run_reason = reason;
                if !reason.has_arrived() {
                    self.arrived -= 1;
                }
            }
            LegEnd::Lost(reason) => self.lost = Some(reason),
            LegEnd::Disconnected => {
                self.lost = Some("disconnected");
                let now = Instant::now();
                let (print, attempt) = (self.plan.print, self.out.attempt);
                let upstream = Fingerprint::of_bytes(b"upstream", upstream.name.as_bytes());
                if core.marks.record_disconnect(now, print, attempt, upstream) {
                    log::warn!(
                        "event=request_marked id={:?} route={} reason=crashes_upstreams",
                        self.out.request_id,
                        self.plan.route.name
                    );
                }
            }
        }
        None
    }

    /// Logs a leg that brought no usable answer, within a bound on such lines.
    fn log_failure(&self, upstream: &UpstreamEndpoint, sent: Instant, end: &LegEnd) {
        let (result, reason) = match end {
            LegEnd::Answer(answer) if answer.status.is_server_error() => {
                ("failure", answer.status.as_str())
            }
            LegEnd::Answer(_) => return,
            LegEnd::NotRun(reason) => ("not_run", reason.as_str()),
            LegEnd::Lost(reason) => ("unknown", *reason),
            LegEnd::Disconnected => ("unknown", "disconnected"),
        };
        if self.may_log() {
            log::info!(
                "event=leg_failed id={:?} service={} upstream={} result={result} reason={reason} legs={} ms={}",
                self.out.request_id,
                self.plan.service,
                upstream.name,
                self.tried.len(),
                sent.elapsed().as_millis()
            );
        }
    }

    fn may_log(&self) -> bool {
        let mut core = self.shared.core.borrow_mut();
        core.leg_lines.take(Instant::now())
    }

    fn finish(self) -> FetchEnd {
        match (self.failure, self.lost) {
            (Some(answer), _) => FetchEnd::Answer(answer),
            (None, Some(reason)) => FetchEnd::Lost(reason),
            (None, None) => FetchEnd::NotRun(self.not_run_reason),
        }
    }
}
