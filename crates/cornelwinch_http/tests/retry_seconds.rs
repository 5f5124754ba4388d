//! Times for which clients are asked to wait.

use std::time::Duration;

use cornelwinch_http::format_seconds;

/// Guards against a time of zero for a wait below a microsecond, and against any that ends early.
#[test]
fn seconds_are_rounded_up() {
    for (nanos, expected) in [
        (0, "0.000"),
        (1, "0.001"),
        (500, "0.001"),
        (999_999, "0.001"),
        (1_000_000, "0.001"),
        (1_000_001, "0.002"),
        (999_000_001, "1.000"),
        (61_000_000_000, "61.000"),
    ] {
        assert_eq!(
            format_seconds(Duration::from_nanos(nanos)),
            expected,
            "{nanos} ns"
        );
    }
}
