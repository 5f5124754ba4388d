use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cornelwinch_routing::{Fleet, HealthSignal, UpstreamEndpoint};
use cornelwinch_types::Fingerprint;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{self, HeaderValue};
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};

use crate::core::Shared;
use crate::headers::{is_closing, keep_alive_timeout, millis, millis_value};

/// Multiple of the usual time from which a leg that is given up says that its
/// upstream is silent.
const SILENT_RATIO: f64 = 3.0;

/// Largest body of an upstream's answer in bytes.
const ANSWER_BYTES: usize = 16 << 20;

/// A caller's request, ready to be sent to upstreams.
#[derive(Debug)]
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// End-to-end headers as the caller sent them.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) request_id: HeaderValue,
    /// Identity of the caller's attempt, the same on each host.
    pub(crate) attempt: Fingerprint,
    pub(crate) deadline: Instant,
    /// End of the time that upstreams are given.
    pub(crate) leg_deadline: Instant,
    /// A new connection is used for this request only, so that no earlier answer
    /// can arrive on it.
    pub(crate) fresh_connection: bool,
}

/// The complete answer of the upstream that was named.
#[derive(Debug)]
pub(crate) struct UpstreamAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Why a request was not run and never will be by an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NotRun {
    /// No connection could be made.
    Connect,
    /// The upstream left, or its zone was taken out, during the connect.
    Left,
    /// No time was left after the connect.
    Deadline,
    /// The connection ended before the request was written.
    Unsent,
    /// The upstream refused the request.
    Refused,
    /// Another upstream has the address now.
    Misdirected,
    /// No upstream could be chosen.
    NoUpstream,
    /// The bound on repeats was reached.
    RepeatBudget,
    /// The request breaks upstreams.
    CrashesUpstreams,
}

impl NotRun {
    /// The reason in logs.
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

    /// Reports whether a leg that ended so has reached an upstream.
    pub(crate) fn has_arrived(self) -> bool {
        matches!(self, Self::Refused | Self::Misdirected)
    }

    /// Reports whether upstreams run fewer legs than they are sent.
    pub(crate) fn is_shortage(self) -> bool {
        matches!(self, Self::Refused | Self::RepeatBudget)
    }
}

/// How a leg ended.
#[derive(Debug)]
pub(crate) enum LegEnd {
    /// The upstream ran the request and this is its answer.
    Answer(UpstreamAnswer),
    /// The upstream did not run the request and never will.
    NotRun(NotRun),
    /// The request may have run.
    Lost(&'static str),
    /// The request may have run, and the upstream closed the connection.
    Disconnected,
}

/// Reports the end of a leg to the fleet, also where its future is dropped.
struct Watched {
    shared: Rc<Shared>,
    upstream: UpstreamEndpoint,
    token: u64,
    sent: Instant,
    typical: Duration,
    reported: bool,
}

impl Watched {
    fn report(&mut self, sign: HealthSignal) {
        self.reported = true;
        let mut core = self.shared.core.borrow_mut();
        core.fleet
            .leg_ended(Instant::now(), self.upstream.id, self.token, sign);
    }

    fn ratio(&self) -> f64 {
        Fleet::latency_ratio(self.sent.elapsed(), self.typical)
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        if self.reported {
            return;
        }
        let ratio = self.ratio();
        self.report(if ratio >= SILENT_RATIO {
            HealthSignal::TimedOut { ratio }
        } else {
            HealthSignal::Neutral
        });
    }
}

/// Sends the request to one upstream and collects its whole answer.
pub(crate) async fn run_leg(
    shared: Rc<Shared>,
    out: Rc<Outgoing>,
    upstream: UpstreamEndpoint,
    typical: Duration,
) -> LegEnd {
    let token = shared.next_token();
    let now = Instant::now();
    shared
        .core
        .borrow_mut()
        .fleet
        .leg_sent(now, upstream.id, token, typical);
    let mut watched = Watched {
        shared: shared.clone(),
        upstream: upstream.clone(),
        token,
        sent: now,
        typical,
        reported: false,
    };
    let (end, sign) = exchange(&shared, &out, &upstream).await;
    let sign = match sign {
        Some(sign) => sign,
        None => HealthSignal::Answered {
            ratio: watched.ratio(),
        },
    };
    watched.report(sign);
    end
}

/// Returns how the leg ended and what it says of the upstream; `None` stands
/// for a complete answer.
async fn exchange(
    shared: &Shared,
    out: &Outgoing,
    upstream: &UpstreamEndpoint,
) -> (LegEnd, Option<HealthSignal>) {
    let connection = match shared.pool.acquire(upstream, out.fresh_connection).await {
        Ok(connection) => connection,
        Err(error) => {
            log::debug!(
                "event=connect_failed peer={} reason=\"{error}\"",
                upstream.name
            );
            return (
                LegEnd::NotRun(NotRun::Connect),
                Some(HealthSignal::Unreachable),
            );
        }
    };
    let is_new = connection.is_new;
    let mut sender = connection.sender;
    // The upstream may have left, or its zone been taken out, during the connect.
    if !shared
        .core
        .borrow()
        .fleet
        .takes_requests(Instant::now(), upstream.id)
    {
        return (LegEnd::NotRun(NotRun::Left), Some(HealthSignal::Neutral));
    }
    let Some(request) = build(shared, out, upstream) else {
        return (
            LegEnd::NotRun(NotRun::Deadline),
            Some(HealthSignal::Neutral),
        );
    };
    shared.core.borrow_mut().metrics.legs += 1;
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            if error.take_message().is_some() {
                return (LegEnd::NotRun(NotRun::Unsent), Some(HealthSignal::Neutral));
            }
            // An idle connection that ends may have been closed for its age.
            let sign = if is_new {
                HealthSignal::Failed
            } else {
                HealthSignal::Neutral
            };
            log::debug!(
                "event=leg_broken peer={} reason=\"{}\"",
                upstream.name,
                error.error()
            );
            return if error.error().is_parse() {
                (LegEnd::Lost("malformed"), Some(HealthSignal::Failed))
            } else {
                (LegEnd::Disconnected, Some(sign))
            };
        }
    };
    let (head, body) = response.into_parts();
    if let Some(left) = millis(&head.headers, &shared.dialect.headers.cold_ms) {
        let mut core = shared.core.borrow_mut();
        core.fleet.set_cold_left(Instant::now(), upstream.id, left);
    }
    let id_matches = head.headers.get(&shared.dialect.headers.request_id) == Some(&out.request_id);
    let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
    let not_run = is_misdirected
        || head
            .headers
            .contains_key(&shared.dialect.headers.not_executed);
    let names_other = head
        .headers
        .contains_key(&shared.dialect.headers.request_id)
        && !id_matches;
    if names_other || (head.status.is_success() && !id_matches) {
        return (LegEnd::Lost("other_request"), Some(HealthSignal::Failed));
    }
    let body = match Limited::new(body, ANSWER_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            log::debug!("event=answer_cut peer={} reason=\"{error}\"", upstream.name);
            return (LegEnd::Lost("cut"), Some(HealthSignal::Failed));
        }
    };
    if !out.fresh_connection && !is_closing(&head.headers) && !sender.is_closed() {
        let keep_alive = keep_alive_timeout(&head.headers);
        shared.pool.release(upstream.id, sender, keep_alive);
    }
    if is_misdirected {
        return (
            LegEnd::NotRun(NotRun::Misdirected),
            Some(HealthSignal::Misdirected),
        );
    }
    if not_run {
        return (LegEnd::NotRun(NotRun::Refused), Some(HealthSignal::Refused));
    }
    if !head.headers.contains_key(&shared.dialect.headers.stamp) {
        return (LegEnd::Lost("unstamped"), Some(HealthSignal::Failed));
    }
    if head.headers.contains_key(header::CONTENT_ENCODING) {
        return (LegEnd::Lost("encoded"), Some(HealthSignal::Failed));
    }
    let sign = head
        .status
        .is_server_error()
        .then_some(HealthSignal::Failed);
    let answer = UpstreamAnswer {
        status: head.status,
        headers: head.headers,
        body,
    };
    (LegEnd::Answer(answer), sign)
}

/// Builds the request for one upstream; `None` if no time is left.
fn build(
    shared: &Shared,
    out: &Outgoing,
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
    headers.insert(names.target.clone(), target);
    Some(request)
}
