use std::time::{Duration, Instant};

use bytes::Bytes;
use cornelwinch_http::format_seconds;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

use crate::answer_memory::AnswersInWriting;
use crate::headers::strip_hop_by_hop;
use crate::leg::UpstreamAnswer;
use crate::outcome::Outcome;

/// Value of `Retry-After` for requests that were not run.
const RETRY_AFTER_TIME: Duration = Duration::from_millis(50);

/// Returns the refusal of a request that no upstream takes: with the time at which enough of them
/// have rested, if that is all that they lack.
pub(crate) fn unserved(
    end_of_rest: Option<Instant>,
    now: Instant,
    resting: &'static str,
    unserved: &'static str,
) -> Reply {
    match end_of_rest {
        Some(end) => Reply::not_run_for(resting, end.saturating_duration_since(now)),
        None => Reply::not_run(unserved),
    }
}

/// A response to a caller, with the fields that are logged for it.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) response: Response<Full<Bytes>>,
    pub(crate) outcome: Outcome,
    pub(crate) reason: &'static str,
    /// Number of shards that are missing from the answer.
    pub(crate) missing: usize,
}

impl Reply {
    fn error(status: StatusCode, outcome: Outcome, reason: &'static str) -> Self {
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

    /// Creates the reply to an invalid request. Repeating it does not help.
    pub(crate) fn rejected(status: StatusCode, reason: &'static str) -> Self {
        Self::error(status, Outcome::Rejected, reason)
    }

    /// Creates the reply to a request that did not run and never will. The caller may retry.
    pub(crate) fn not_run(reason: &'static str) -> Self {
        Self::not_run_for(reason, RETRY_AFTER_TIME)
    }

    /// Creates the reply to a request that did not run and never will, with the time after which
    /// the caller may retry.
    pub(crate) fn not_run_for(reason: &'static str, time: Duration) -> Self {
        let mut reply = Self::error(StatusCode::SERVICE_UNAVAILABLE, Outcome::NotRun, reason);
        let value = HeaderValue::from_str(&format_seconds(time)).expect("digits are a valid value");
        reply
            .response
            .headers_mut()
            .insert(header::RETRY_AFTER, value);
        reply
    }

    /// Creates the reply to a request that exceeds the cap of its organisation. It did not run and
    /// never will; the caller may retry after the time.
    pub(crate) fn over_cap(time: Duration) -> Self {
        let mut reply = Self::not_run_for("over_cap", time);
        *reply.response.status_mut() = StatusCode::TOO_MANY_REQUESTS;
        reply
    }

    /// Creates the reply to a request that may have run.
    pub(crate) fn unknown(reason: &'static str) -> Self {
        Self::error(StatusCode::BAD_GATEWAY, Outcome::Unknown, reason)
    }

    /// Creates the reply to a request whose deadline passed before an answer arrived.
    pub(crate) fn timed_out(reason: &'static str) -> Self {
        Self::error(StatusCode::GATEWAY_TIMEOUT, Outcome::TimedOut, reason)
    }

    /// Creates a reply from an upstream's answer, without its hop-by-hop headers.
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

    /// Counts the answer until it is written to the caller.
    pub(crate) fn track(mut self, answers: &AnswersInWriting) -> Response<Full<Bytes>> {
        let body = std::mem::take(self.response.body_mut());
        let bytes = body.into_inner().unwrap_or_default();
        *self.response.body_mut() = Full::new(answers.track(bytes));
        self.response
    }

    /// Creates a reply from a gathered answer.
    pub(crate) fn gathered(response: Response<Full<Bytes>>, missing: usize) -> Self {
        Self {
            response,
            outcome: Outcome::Served,
            reason: "-",
            missing,
        }
    }
}
