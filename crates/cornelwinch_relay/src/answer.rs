use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

use crate::headers::strip_hop_by_hop;
use crate::leg::UpstreamAnswer;

/// Time after which a caller may come back when upstreams are short.
const COME_BACK: Duration = Duration::from_millis(50);

/// How a request ended, for the log and the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// An upstream's answer, or a gathered one, was returned.
    Served,
    /// An upstream's failure was returned.
    UpstreamFailure,
    /// The request did not run and never will.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The time was over; the request may have run.
    TimedOut,
    /// The request is not allowed.
    Rejected,
}

impl Outcome {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::UpstreamFailure => "upstream_failure",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::TimedOut => "timed_out",
            Self::Rejected => "rejected",
        }
    }
}

/// A response with what the log says of it.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) response: Response<Full<Bytes>>,
    pub(crate) outcome: Outcome,
    pub(crate) reason: &'static str,
    /// Shards that the answer lacks.
    pub(crate) missing: usize,
}

impl Reply {
    fn own(status: StatusCode, outcome: Outcome, reason: &'static str) -> Self {
        let body = format!("{{\"error\":\"{reason}\"}}");
        let mut response = Response::new(Full::new(Bytes::from(body)));
        *response.status_mut() = status;
        response.headers_mut().insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        Self {
            response,
            outcome,
            reason,
            missing: 0,
        }
    }

    /// The request is not allowed; a repeat would not be either.
    pub(crate) fn rejected(status: StatusCode, reason: &'static str) -> Self {
        Self::own(status, Outcome::Rejected, reason)
    }

    /// The request did not run and never will; the caller may come back.
    pub(crate) fn not_run(reason: &'static str) -> Self {
        let mut reply = Self::own(StatusCode::SERVICE_UNAVAILABLE, Outcome::NotRun, reason);
        let seconds = format!("{:.3}", COME_BACK.as_secs_f64());
        let value = HeaderValue::from_str(&seconds).expect("digits are a valid value");
        reply
            .response
            .headers_mut()
            .insert(header::RETRY_AFTER, value);
        reply
    }

    /// The request may have run.
    pub(crate) fn unknown(reason: &'static str) -> Self {
        Self::own(StatusCode::BAD_GATEWAY, Outcome::Unknown, reason)
    }

    /// The time was over before an answer came.
    pub(crate) fn timed_out(reason: &'static str) -> Self {
        Self::own(StatusCode::GATEWAY_TIMEOUT, Outcome::TimedOut, reason)
    }

    /// An upstream's own answer, unchanged.
    pub(crate) fn relayed(answer: UpstreamAnswer) -> Self {
        let outcome = if answer.status.is_success() {
            Outcome::Served
        } else {
            Outcome::UpstreamFailure
        };
        let mut response = Response::new(Full::new(answer.body));
        *response.status_mut() = answer.status;
        *response.headers_mut() = answer.headers;
        strip_hop_by_hop(response.headers_mut());
        Self {
            response,
            outcome,
            reason: "-",
            missing: 0,
        }
    }

    /// A gathered answer.
    pub(crate) fn gathered(response: Response<Full<Bytes>>, missing: usize) -> Self {
        Self {
            response,
            outcome: Outcome::Served,
            reason: "-",
            missing,
        }
    }
}
