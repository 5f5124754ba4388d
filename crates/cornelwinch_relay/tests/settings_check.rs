//! Checks that invalid settings of a relay are rejected.

use cornelwinch_relay::RelaySettings;

const GOOD: &str = r#"{
    // A comment.
    "host": "a-1", "zone": "a",
    "caller": "127.0.0.1:8080", "readiness": "127.0.0.1:8081",
    "metrics": "127.0.0.1:8082", "peer": "127.0.0.1:8083", "store": "127.0.0.1:7000",
    "bounds": {
        "stable_ms": 4000, "grace_s": 6,
        "repeat_ratio": 0.2, "repeat_window_s": 10, "repeat_slack": 56,
        "cold_overshoot": 1.5, "cold_slack": 5
    }
}"#;

/// Guards against a relay that starts with invalid settings, and against errors that do not name
/// the file and the offending key.
#[test]
fn error_names_the_key() {
    assert!(RelaySettings::parse("relay.jsonc", GOOD).is_ok());
    let cases = [
        ("\"zone\": \"a\",", "", "zone"),
        ("\"zone\": \"a\"", "\"zone\": \"a\", \"zones\": 1", "zones"),
        ("127.0.0.1:8080", "nowhere", "socket address"),
        (
            "\"repeat_ratio\": 0.2",
            "\"repeat_ratio\": -1",
            "repeat_ratio",
        ),
        (
            "\"repeat_window_s\": 10",
            "\"repeat_window_s\": 0",
            "repeat_window_s",
        ),
        ("\"stable_ms\": 4000", "\"stable_ms\": 0", "stable_ms"),
        ("\"host\": \"a-1\",", "\"host\": \"a-1\"", "line 3"),
        // Times that no clock can represent.
        (
            "\"stable_ms\": 4000",
            "\"stable_ms\": 18446744073709551615",
            "stable_ms",
        ),
        ("\"grace_s\": 6", "\"grace_s\": 1e300", "grace_s"),
        (
            "\"repeat_window_s\": 10",
            "\"repeat_window_s\": 1e20",
            "repeat_window_s",
        ),
    ];
    for (from, to, expected) in cases {
        let text = GOOD.replacen(from, to, 1);
        assert_ne!(text, GOOD);
        let error = RelaySettings::parse("relay.jsonc", &text).unwrap_err();
        let error = error.to_string();
        assert!(error.contains(expected), "{error} lacks {expected}");
        assert!(error.contains("relay.jsonc"), "{error} lacks the file");
    }
}
