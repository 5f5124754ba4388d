//! Faults of the platform.

mod support;

use std::thread;
use std::time::Duration;

use cornelwinch_standins::platform::{OutageMode, Platform, PlatformConfig, PlatformFault, spawn};
use serde_json::{Value, json};
use support::{agent, call};

fn platform(writes_per_s: f64) -> Platform {
    spawn(PlatformConfig {
        latency: Duration::ZERO,
        writes_per_s,
        ..PlatformConfig::default()
    })
    .unwrap()
}

fn put(platform: &Platform, version: u64, value: &Value) -> Option<(u16, Value)> {
    let path = format!("/v1/objects/claim/c?version={version}");
    call(&agent(), "PUT", platform.address(), &path, value)
}

#[test]
fn outage_fails_calls_and_watches() {
    // Guards against an outage that leaves waiting watches unharmed or applies
    // writes by mistake.
    let platform = platform(1000.0);
    let addr = platform.address();
    let watch = || {
        let path = "/v1/watch?after=0&wait_ms=15000";
        thread::spawn(move || call(&agent(), "GET", addr, path, &Value::Null))
    };
    let waiting = watch();
    while platform.counters().watches == 0 {
        thread::yield_now();
    }
    let outage = |mode, apply_writes| platform.apply(PlatformFault::Outage { mode, apply_writes });
    outage(OutageMode::Unavailable, false);
    assert_eq!(waiting.join().unwrap().unwrap().0, 503);
    assert_eq!(put(&platform, 0, &json!(1)).unwrap().0, 503);
    assert_eq!(platform.counters().writes_applied, 0);
    outage(OutageMode::Reset, true);
    assert_eq!(put(&platform, 0, &json!(2)), None);
    assert_eq!(platform.value("claim", "c"), Some(json!(2)));
    outage(OutageMode::Silent, false);
    let failed = platform.counters().failed;
    let silent = watch();
    while platform.counters().failed == failed {
        thread::yield_now();
    }
    platform.apply(PlatformFault::Recover);
    assert_eq!(silent.join().unwrap(), None);
    assert_eq!(put(&platform, 1, &json!(3)).unwrap().0, 200);
}

#[test]
fn answer_of_an_applied_write_is_lost() {
    // Guards against a lost answer whose write was not applied.
    let platform = platform(1000.0);
    platform.apply(PlatformFault::LoseWriteAnswers {
        writes: 1,
        mode: OutageMode::Reset,
    });
    assert_eq!(put(&platform, 0, &json!(1)), None);
    assert_eq!(platform.value("claim", "c"), Some(json!(1)));
    assert_eq!(put(&platform, 1, &json!(2)).unwrap().0, 200);
    assert_eq!(platform.counters().answers_lost, 1);
}

#[test]
fn writes_over_the_rate_do_nothing() {
    // Guards against a 429 whose write was applied.
    let platform = platform(1e-9);
    assert_eq!(put(&platform, 0, &json!(1)).unwrap().0, 200);
    assert_eq!(put(&platform, 1, &json!(2)).unwrap().0, 429);
    assert_eq!(platform.value("claim", "c"), Some(json!(1)));
    let counters = platform.counters();
    assert_eq!(
        (counters.writes, counters.writes_applied, counters.over_rate),
        (2, 1, 1)
    );
    let read = call(
        &agent(),
        "GET",
        platform.address(),
        "/v1/objects",
        &Value::Null,
    );
    assert_eq!(read.unwrap().0, 200);
}

#[test]
fn large_value_is_refused() {
    // Guards against clients that rely on values above 1 MB.
    let platform = platform(1000.0);
    let fits = json!("x".repeat(1024 * 1024 - 2));
    assert_eq!(put(&platform, 0, &fits).unwrap().0, 200);
    let large = json!("x".repeat(1024 * 1024));
    assert_eq!(
        put(&platform, 1, &large).map_or(413, |answer| answer.0),
        413
    );
    assert_eq!(platform.counters().writes_applied, 1);
}
