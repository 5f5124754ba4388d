use std::ops::RangeInclusive;

use hyper::StatusCode;

use crate::leg::NotRunReason;

/// What a complete answer of an upstream states about the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The upstream ran the request; the answer may be passed on.
    Ran,
    /// The upstream did not run the request and never will.
    NotRun(NotRunReason),
    /// The request may have run, and the answer must not be passed on; with the reason for the log.
    MayHaveRun(&'static str),
}

/// Statuses of complete HTTP responses (RFC 9110, section 15).
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Decides what an answer states. `docs/platform.md` has the table of all cases.
///
/// A caller takes some statuses as a guarantee that its request has not run and never will. An
/// upstream that ran the request can fail with one of them, so a stamped one is not passed on.
pub(crate) fn judge(status: StatusCode, is_stamped: bool, is_not_executed: bool) -> Verdict {
    // The HTTP library accepts 100 to 999, and takes 101 as a complete response.
    if !FINAL_STATUSES.contains(&status.as_u16()) {
        return Verdict::MayHaveRun("invalid_status");
    }
    if status == StatusCode::MISDIRECTED_REQUEST && !is_stamped {
        return Verdict::NotRun(NotRunReason::Misdirected);
    }
    match (is_not_executed, is_stamped) {
        (true, _) => Verdict::NotRun(NotRunReason::Refused),
        (false, false) => Verdict::MayHaveRun("unstamped"),
        (false, true) if guarantees_not_run(status) => Verdict::MayHaveRun("failed_as_refused"),
        (false, true) => Verdict::Ran,
    }
}

/// Returns true if a caller takes the status as a guarantee that its request did not run.
fn guarantees_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}
