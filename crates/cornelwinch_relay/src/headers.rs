use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::{self, HeaderName, HeaderValue};

/// Headers that apply to a single connection and must not be forwarded.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Removes hop-by-hop headers and `Content-Length`, which the HTTP library sets from the body.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
    headers.remove(PROXY_CONNECTION);
    headers.remove(header::CONTENT_LENGTH);
}

/// Returns the idle timeout that a peer announces in `Keep-Alive`.
pub(crate) fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Returns true if the peer closes the connection after this message.
pub(crate) fn is_closing(headers: &HeaderMap) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"))
}

/// Parses a header that holds a number of milliseconds. Returns `None` for a number that is
/// negative or beyond the range of a [`Duration`].
pub(crate) fn millis(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    let ms: f64 = headers.get(name)?.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(ms / 1_000.0).ok()
}

/// Parses `Retry-After` as a number of seconds, which may have a fraction. Returns `None` for any
/// other text; a number beyond the range of a [`Duration`] becomes the largest one.
pub(crate) fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    let seconds: f64 = text.trim().parse().ok()?;
    let is_number = !seconds.is_nan() && seconds >= 0.0;
    is_number.then(|| Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// Formats a duration as a header value in whole milliseconds.
pub(crate) fn millis_value(time: Duration) -> HeaderValue {
    HeaderValue::from(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}
