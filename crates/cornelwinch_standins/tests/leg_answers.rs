//! The upstream's protocol without faults.

mod support;

use std::time::Duration;

use cornelwinch_standins::upstream::{UpstreamFault, spawn};
use cornelwinch_standins::{document_count, documents};
use cornelwinch_types::{Hit, KeyRange, SnapshotId};
use serde_json::json;
use support::{agent, call, leg, upstream_config};

#[test]
fn answers_can_be_recomputed() {
    // Guards against a checker and an upstream that disagree on the documents.
    let upstream = spawn(upstream_config(Duration::ZERO)).unwrap();
    let agent = agent();
    let (status, answer) = call(
        &agent,
        "POST",
        upstream.address(),
        "/v1/leg",
        &leg(71, "400 atlas"),
    )
    .unwrap();
    assert_eq!(status, 200, "{answer}");
    let range = KeyRange { start: 0, end: 100 };
    let hits: Vec<Hit> = serde_json::from_value(answer["hits"].clone()).unwrap();
    assert_eq!(hits, documents("portal", SnapshotId(7), range, "400 atlas"));
    assert!(hits.len() > 10, "{}", hits.len());
    assert_eq!(answer["attempt"], 71);
    assert_eq!(answer["snapshot"], 7);
    assert_eq!(answer["range"], json!({"start": 0, "end": 100}));
    assert_eq!(
        answer["documents"],
        document_count("portal", SnapshotId(7), range)
    );
    assert_eq!(answer["restart"], upstream.counters().restart);
}

#[test]
fn document_counts_add_up() {
    // Guards against counts that differ from the documents themselves.
    let mut rng = fastrand::Rng::with_seed(5);
    for _ in 0..200 {
        let start = rng.u64(0..5000);
        let range = KeyRange {
            start,
            end: start + rng.u64(0..50),
        };
        let id = SnapshotId(rng.u64(0..9));
        // This body matches every document.
        let all = documents("portal", id, range, "1000000");
        assert_eq!(
            all.len() as u64,
            document_count("portal", id, range),
            "{range} {id}"
        );
    }
}

#[test]
fn refusals_start_nothing() {
    // Guards against a refusal status for a leg that ran.
    let upstream = spawn(upstream_config(Duration::ZERO)).unwrap();
    let (agent, addr) = (agent(), upstream.address());
    let mut other = leg(1, "x");
    other["snapshot"] = 9.into();
    let (status, answer) = call(&agent, "POST", addr, "/v1/leg", &other).unwrap();
    assert_eq!(
        (status, &answer["error"]),
        (409, &json!("snapshot_missing"))
    );
    assert_eq!(answer["held"], json!([6, 7]));
    let mut expired = leg(2, "x");
    expired["deadline_ms"] = 0.into();
    let (status, answer) = call(&agent, "POST", addr, "/v1/leg", &expired).unwrap();
    assert_eq!((status, &answer["started"]), (504, &json!(false)));
    upstream.apply(UpstreamFault::Shed { legs: 1 });
    let (status, answer) = call(&agent, "POST", addr, "/v1/leg", &leg(3, "x")).unwrap();
    assert_eq!((status, &answer["error"]), (429, &json!("shed")));
    upstream.apply(UpstreamFault::Drain);
    let (status, answer) = call(&agent, "POST", addr, "/v1/leg", &leg(4, "x")).unwrap();
    assert_eq!((status, &answer["error"]), (503, &json!("draining")));
    let (_, health) = call(&agent, "GET", addr, "/v1/health", &json!(null)).unwrap();
    assert_eq!(health["state"], "draining");
    let counters = upstream.counters();
    assert_eq!((counters.arrived, counters.started), (4, 0));
    assert_eq!(answer["attempt"], 4);
    assert_eq!(answer["restart"], counters.restart);
}

#[test]
fn deadline_ends_a_leg() {
    // Guards against an upstream that works on after the deadline.
    let upstream = spawn(upstream_config(Duration::from_secs(600))).unwrap();
    let mut short = leg(1, "x");
    short["deadline_ms"] = 5.into();
    let (status, answer) = call(&agent(), "POST", upstream.address(), "/v1/leg", &short).unwrap();
    assert_eq!((status, &answer["started"]), (504, &json!(true)));
    assert_eq!(upstream.counters().running, 0);
}

#[test]
fn cancellation_frees_the_slot() {
    // Guards against a cancelled leg that keeps its slot, and against a
    // cancellation that fails for an unknown attempt.
    let upstream = spawn(upstream_config(Duration::from_secs(600))).unwrap();
    let addr = upstream.address();
    let caller = std::thread::spawn(move || call(&agent(), "POST", addr, "/v1/leg", &leg(5, "x")));
    while upstream.counters().running == 0 {
        std::thread::yield_now();
    }
    for attempt in [5, 6] {
        let path = format!("/v1/leg/{attempt}");
        let (status, _) = call(&agent(), "DELETE", addr, &path, &json!(null)).unwrap();
        assert_eq!(status, 204);
    }
    assert_eq!(caller.join().unwrap().unwrap().0, 500);
    let counters = upstream.counters();
    assert_eq!(
        (
            counters.running,
            counters.cancelled,
            counters.cancelled_late
        ),
        (0, 1, 1)
    );
}
