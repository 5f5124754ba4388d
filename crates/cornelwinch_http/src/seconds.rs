use std::time::Duration;

/// Formats a time as seconds with three decimals, rounded up, so that a client that waits for it
/// does not return too early.
///
/// ```
/// use std::time::Duration;
///
/// assert_eq!(cornelwinch_http::format_seconds(Duration::from_millis(1_050)), "1.050");
/// ```
pub fn format_seconds(time: Duration) -> String {
    let millis = time.as_nanos().div_ceil(1_000_000);
    format!("{}.{:03}", millis / 1_000, millis % 1_000)
}
