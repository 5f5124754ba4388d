use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cornelwinch_routing::{Fleet, HealthSignal, RequestFingerprint, Route, UpstreamEndpoint};
use cornelwinch_types::Fingerprint;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::http::response::Parts;
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};

use crate::body::{MAX_FRAMING_BYTES, TooLarge, read_body};
use crate::crash_check::check_silent_leg;
use crate::headers::{is_closing, keep_alive_timeout, millis, millis_value, retry_after};
use crate::shared::Shared;
use crate::thread_lag::LegLag;
use crate::verdict::{Verdict, judge};

/// Multiple of the median leg time from which a cancelled leg counts as timed out by its upstream.
const TIMED_OUT_LATENCY_RATIO: f64 = 3.0;

/// Share of a leg's time from which a lag of this host's thread makes the time useless for learning
/// what the leg costs.
const MAX_LAG_RATIO: f64 = 0.5;

/// Reason of a leg whose upstream sent more than an answer may have.
const OVERSIZED: &str = "oversized";

/// A caller's request, prepared for sending to upstreams.
#[derive(Debug)]
pub(crate) struct OutgoingRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// End-to-end headers, unchanged from the caller's request.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) request_id: HeaderValue,
    /// Fingerprint of the request's path and body.
    pub(crate) fingerprint: RequestFingerprint,
    /// Fingerprint of the request ID of the caller's attempt; it is the same on every host.
    pub(crate) attempt: Fingerprint,
    pub(crate) deadline: Instant,
    /// Deadline that is sent to upstreams.
    pub(crate) leg_deadline: Instant,
    /// Largest body that an upstream's answer may have.
    pub(crate) max_answer_bytes: usize,
    /// Sends the request on a new connection that is not reused, so that the answer to an earlier
    /// request cannot arrive on it.
    pub(crate) fresh_connection: bool,
}

/// The complete answer of the upstream to which the request was addressed.
#[derive(Debug)]
pub(crate) struct UpstreamAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Reason why an upstream did not run a request and never will.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NotRunReason {
    /// No connection to the upstream could be opened.
    Connect,
    /// The upstream left, or its availability zone was evacuated, while connecting.
    Left,
    /// The deadline had passed once the connection was open.
    Deadline,
    /// The connection closed before the request was written.
    Unsent,
    /// The upstream refused the request.
    Refused,
    /// The address now belongs to another upstream.
    Misdirected,
    /// No upstream was available.
    NoUpstream,
    /// The budget for repeats was exhausted.
    RepeatBudget,
    /// The request is quarantined because it crashes upstreams.
    CrashesUpstreams,
}

impl NotRunReason {
    /// Returns the reason as it is written to logs and answers.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::Left => "left",
            Self::Deadline => "deadline",
            Self::Unsent => "unsent",
            Self::Refused => "refused",
            Self::Misdirected => "misdirected",
            Self::NoUpstream => "no_upstream",
            Self::RepeatBudget => "repeat_budget",
            Self::CrashesUpstreams => "crashes_upstreams",
        }
    }

    /// Returns true if a leg that ended for this reason reached an upstream.
    pub(crate) fn reached_upstream(self) -> bool {
        matches!(self, Self::Refused | Self::Misdirected)
    }

    /// Returns true if the reason shows that upstreams receive more legs than they can run.
    pub(crate) fn indicates_overload(self) -> bool {
        matches!(self, Self::Refused | Self::RepeatBudget)
    }
}

/// Outcome of a leg.
#[derive(Debug)]
pub(crate) enum LegOutcome {
    /// The upstream ran the request and returned this answer.
    Answer(UpstreamAnswer),
    /// The upstream did not run the request and never will.
    NotRun(NotRunReason),
    /// The request may have run; the reason is written to logs and answers.
    Lost(&'static str),
    /// The request may have run, and the connection ended before the end of the answer.
    Disconnected(&'static str),
}

/// Reports the end of a leg to the fleet, even if the leg's future is dropped.
struct LegGuard {
    shared: Rc<Shared>,
    out: Rc<OutgoingRequest>,
    upstream: UpstreamEndpoint,
    token: u64,
    sent_at: Instant,
    median_leg_time: Duration,
    lag: LegLag,
    route: Arc<Route>,
    is_repeat: bool,
    reported: bool,
}

impl LegGuard {
    fn report(&mut self, signal: HealthSignal) {
        self.reported = true;
        let now = Instant::now();
        let lag = self.shared.thread_lag.end_leg(now, &self.lag);
        let time = now.saturating_duration_since(self.sent_at);
        let (id, is_repeat) = (self.upstream.id, self.is_repeat);
        let fleet = &mut self.shared.core.borrow_mut().fleet;
        if lag > time.mul_f64(MAX_LAG_RATIO) {
            fleet.mark_untimely(id, self.token);
        }
        fleet.leg_ended(now, id, self.token, signal);
        fleet.record_version_leg(now, id, &self.route.name, signal, time, is_repeat);
    }

    fn latency_ratio(&self) -> f64 {
        Fleet::latency_ratio(self.sent_at.elapsed(), self.median_leg_time)
    }
}

impl Drop for LegGuard {
    fn drop(&mut self) {
        if self.reported {
            return;
        }
        let ratio = self.latency_ratio();
        if ratio < TIMED_OUT_LATENCY_RATIO {
            self.report(HealthSignal::Neutral);
            return;
        }
        self.report(HealthSignal::TimedOut { ratio });
        check_silent_leg(&self.shared, &self.out, &self.route, &self.upstream);
    }
}

/// Sends the request to one upstream and reads its complete answer.
pub(crate) async fn run_leg(
    shared: Rc<Shared>,
    out: Rc<OutgoingRequest>,
    route: Arc<Route>,
    upstream: UpstreamEndpoint,
    median_leg_time: Duration,
    is_repeat: bool,
) -> LegOutcome {
    let token = shared.next_leg_token();
    let now = Instant::now();
    shared.core.borrow_mut().fleet.leg_of_route_sent(
        now,
        upstream.id,
        token,
        median_leg_time,
        &route.name,
    );
    let mut guard = LegGuard {
        shared: shared.clone(),
        out: out.clone(),
        upstream: upstream.clone(),
        token,
        sent_at: now,
        median_leg_time,
        lag: shared.thread_lag.start_leg(),
        route: route.clone(),
        is_repeat,
        reported: false,
    };
    let (outcome, signal) = exchange(&shared, &out, &upstream, token).await;
    let signal = match signal {
        Some(signal) => signal,
        None => HealthSignal::Answered {
            ratio: guard.latency_ratio(),
        },
    };
    if signal == HealthSignal::Oversized {
        log::warn!(
            "event=upstream_oversized id={:?} upstream={}",
            out.request_id,
            upstream.name
        );
    }
    guard.report(signal);
    outcome
}

/// Performs the HTTP exchange of a leg. Returns its outcome and the signal of the
/// upstream's health, or `None` for a complete answer.
async fn exchange(
    shared: &Shared,
    out: &OutgoingRequest,
    upstream: &UpstreamEndpoint,
    token: u64,
) -> (LegOutcome, Option<HealthSignal>) {
    let connection = match shared.pool.acquire(upstream, out.fresh_connection).await {
        Ok(connection) => connection,
        Err(error) => {
            log::debug!(
                "event=connect_failed peer={} reason=\"{error}\"",
                upstream.name
            );
            return (
                LegOutcome::NotRun(NotRunReason::Connect),
                Some(HealthSignal::Unreachable),
            );
        }
    };
    let is_new = connection.is_new;
    if is_new {
        let fleet = &mut shared.core.borrow_mut().fleet;
        fleet.leg_connected(Instant::now(), upstream.id, token);
    }
    let mut http = connection.http;
    // The upstream may have left, or its zone may have been evacuated, while connecting.
    if !shared
        .core
        .borrow()
        .fleet
        .takes_requests(Instant::now(), upstream.id)
    {
        return (
            LegOutcome::NotRun(NotRunReason::Left),
            Some(HealthSignal::Neutral),
        );
    }
    let Some(request) = build_request(shared, out, upstream) else {
        return (
            LegOutcome::NotRun(NotRunReason::Deadline),
            Some(HealthSignal::Neutral),
        );
    };
    shared.core.borrow_mut().metrics.legs += 1;
    http.read_limit.allow(MAX_FRAMING_BYTES);
    let response = match http.sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            if error.take_message().is_some() {
                return (
                    LegOutcome::NotRun(NotRunReason::Unsent),
                    Some(HealthSignal::Neutral),
                );
            }
            let signal = if is_new {
                HealthSignal::Failed
            } else {
                HealthSignal::Dropped
            };
            log::debug!(
                "event=leg_broken peer={} reason=\"{}\"",
                upstream.name,
                error.error()
            );
            return if http.read_limit.is_exceeded() || error.error().is_parse_too_large() {
                (LegOutcome::Lost(OVERSIZED), Some(HealthSignal::Oversized))
            } else if error.error().is_parse() {
                (LegOutcome::Lost("malformed"), Some(HealthSignal::Failed))
            } else {
                (LegOutcome::Disconnected("disconnected"), Some(signal))
            };
        }
    };
    let (head, body) = response.into_parts();
    if let Some(left) = millis(&head.headers, &shared.dialect.headers.cold_ms) {
        let mut core = shared.core.borrow_mut();
        core.fleet.set_cold_left(Instant::now(), upstream.id, left);
    }
    let id_matches = head.headers.get(&shared.dialect.headers.request_id) == Some(&out.request_id);
    // An answer with this status comes from another upstream.
    if head.status != StatusCode::MISDIRECTED_REQUEST {
        record_withdrawal(shared, upstream, head.status, &head.headers);
    }
    let names_other = head
        .headers
        .contains_key(&shared.dialect.headers.request_id)
        && !id_matches;
    if names_other || (head.status.is_success() && !id_matches) {
        return (
            LegOutcome::Lost("other_request"),
            Some(HealthSignal::Failed),
        );
    }
    let held = Some(shared.answer_memory.start_answer());
    let body = match read_body(body, &http.read_limit, out.max_answer_bytes, held).await {
        Ok(body) => body,
        Err(error) => {
            log::debug!("event=answer_cut peer={} reason=\"{error}\"", upstream.name);
            let is_oversized = http.read_limit.is_exceeded() || error.is::<TooLarge>();
            return if is_oversized {
                (LegOutcome::Lost(OVERSIZED), Some(HealthSignal::Oversized))
            } else {
                (LegOutcome::Disconnected("cut"), Some(HealthSignal::Failed))
            };
        }
    };
    let is_used_again = shared
        .core
        .borrow()
        .fleet
        .takes_requests(Instant::now(), upstream.id);
    if is_used_again
        && !out.fresh_connection
        && !is_closing(&head.headers)
        && !http.sender.is_closed()
        && shared.core.borrow_mut().may_keep_idle(upstream.id)
    {
        let keep_alive = keep_alive_timeout(&head.headers);
        shared.pool.release(upstream.id, http, keep_alive);
    }
    judge_answer(shared, head, body)
}

/// Decides what a complete answer to this request means. Returns `None` as the signal of an answer
/// whose time tells the upstream's health.
fn judge_answer(shared: &Shared, head: Parts, body: Bytes) -> (LegOutcome, Option<HealthSignal>) {
    let names = &shared.dialect.headers;
    let is_stamped = head.headers.contains_key(&names.server_stamp);
    let is_not_executed = head.headers.contains_key(&names.not_executed);
    match judge(head.status, is_stamped, is_not_executed) {
        Verdict::Ran => {}
        Verdict::NotRun(reason) => {
            let signal = match reason {
                NotRunReason::Misdirected => HealthSignal::Misdirected,
                _ => HealthSignal::Refused,
            };
            return (LegOutcome::NotRun(reason), Some(signal));
        }
        Verdict::MayHaveRun(reason) => {
            return (LegOutcome::Lost(reason), Some(HealthSignal::Failed));
        }
    }
    if head.headers.contains_key(header::CONTENT_ENCODING) {
        return (LegOutcome::Lost("encoded"), Some(HealthSignal::Failed));
    }
    let signal = head
        .status
        .is_server_error()
        .then_some(HealthSignal::Failed);
    let answer = UpstreamAnswer {
        status: head.status,
        headers: head.headers,
        body,
    };
    (LegOutcome::Answer(answer), signal)
}

/// Records what an upstream says of itself in the head of an answer: that it leaves, or that it
/// wants a rest.
fn record_withdrawal(
    shared: &Shared,
    upstream: &UpstreamEndpoint,
    status: StatusCode,
    headers: &HeaderMap,
) {
    let fleet = &mut shared.core.borrow_mut().fleet;
    let is_leaving = headers
        .get(&shared.dialect.headers.leaving)
        .is_some_and(|value| value.as_bytes().trim_ascii() == b"1");
    if is_leaving && fleet.mark_leaving(upstream.id) {
        log::info!("event=upstream_leaving upstream={}", upstream.name);
        shared.pool.close(upstream.id);
    }
    if status == StatusCode::SERVICE_UNAVAILABLE
        && let Some(time) = retry_after(headers)
        && fleet.extend_rest(Instant::now(), upstream.id, time)
    {
        log::info!(
            "event=upstream_resting upstream={} ms={}",
            upstream.name,
            time.as_millis()
        );
    }
}

/// Builds the request for one upstream. Returns `None` if less than 1 ms is left until the
/// deadline.
fn build_request(
    shared: &Shared,
    out: &OutgoingRequest,
    upstream: &UpstreamEndpoint,
) -> Option<Request<Full<Bytes>>> {
    let left = out.leg_deadline.saturating_duration_since(Instant::now());
    if left < Duration::from_millis(1) {
        return None;
    }
    let target = HeaderValue::from_str(&upstream.name).ok()?;
    let mut request = Request::new(Full::new(out.body.clone()));
    *request.method_mut() = out.method.clone();
    *request.uri_mut() = out.uri.clone();
    *request.headers_mut() = out.headers.clone();
    let names = &shared.dialect.headers;
    let headers = request.headers_mut();
    headers.insert(names.deadline_ms.clone(), millis_value(left));
    headers.insert(names.target_instance.clone(), target);
    Some(request)
}
