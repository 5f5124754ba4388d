//! Faults of upstreams.

mod support;

use std::net::TcpStream;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use cornelwinch_standins::documents;
use cornelwinch_standins::upstream::{
    ColdStart, HealthReport, Upstream, UpstreamConfig, UpstreamFault, spawn,
};
use cornelwinch_types::{Hit, KeyRange, SnapshotId};
use serde_json::{Value, json};
use support::{agent, call, leg, upstream_config};

/// Service time of legs that a test ends by other means.
const ENDLESS: Duration = Duration::from_secs(600);

type Call = JoinHandle<Option<(u16, Value)>>;

fn send(upstream: &Upstream, body: Value) -> Call {
    let addr = upstream.address();
    thread::spawn(move || call(&agent(), "POST", addr, "/v1/leg", &body))
}

fn wait(mut ready: impl FnMut() -> bool) {
    while !ready() {
        thread::yield_now();
    }
}

/// Sends a leg and waits until it runs.
fn start(upstream: &Upstream, body: Value) -> Call {
    let started = upstream.counters().started;
    let call = send(upstream, body);
    wait(|| upstream.counters().started > started);
    call
}

#[test]
fn legs_above_the_slots_are_shed() {
    // Guards against a record that misses legs above the slots, which would
    // hide a limiter that sends too many.
    let upstream = spawn(upstream_config(ENDLESS)).unwrap();
    let calls: Vec<_> = (0..3).map(|i| start(&upstream, leg(i, "x"))).collect();
    assert_eq!(send(&upstream, leg(9, "x")).join().unwrap().unwrap().0, 429);
    let counters = upstream.counters();
    assert_eq!(
        (counters.running, counters.highest, counters.shed),
        (3, 4, 1)
    );
    drop(upstream);
    for call in calls {
        assert_eq!(call.join().unwrap(), None);
    }
}

#[test]
fn cold_start_falls_over_and_warms_up() {
    // Guards against an upstream that bears a full load right after a start.
    let upstream = spawn(UpstreamConfig {
        cold: ColdStart {
            from_start: true,
            limit: 1,
            legs: 3,
            recovery: Duration::from_millis(20),
            ..ColdStart::default()
        },
        ..upstream_config(Duration::from_millis(1))
    })
    .unwrap();
    let (agent, addr) = (agent(), upstream.address());
    let run = |attempt| {
        call(&agent, "POST", addr, "/v1/leg", &leg(attempt, "x"))
            .unwrap()
            .0
    };
    assert_eq!((run(1), run(2)), (200, 200));
    upstream.apply(UpstreamFault::Slow { factor: 1e6 });
    let first = start(&upstream, leg(3, "x"));
    assert_eq!(run(4), 429);
    let counters = upstream.counters();
    assert_eq!(
        (counters.fell_over, counters.highest_cold, counters.cold),
        (1, 2, true)
    );
    call(&agent, "DELETE", addr, "/v1/leg/3", &json!(null)).unwrap();
    first.join().unwrap();
    upstream.apply(UpstreamFault::Slow { factor: 1.0 });
    // The upstream sheds until it has recovered and then starts anew.
    wait(|| run(5) == 200);
    assert!(upstream.counters().cold);
    assert_eq!((run(6), run(7)), (200, 200));
    assert!(!upstream.counters().cold);
    let restart = upstream.counters().restart;
    upstream.apply(UpstreamFault::Restart);
    assert!(upstream.counters().cold);
    assert_ne!(upstream.counters().restart, restart);
    // Guards against a restart that cannot be seen because the seed is the same.
    let again = spawn(upstream_config(Duration::ZERO)).unwrap();
    assert_ne!(again.counters().restart, restart);
}

#[test]
fn stop_refuses_connections() {
    // Guards against a stopped upstream that still accepts, and a restart that
    // leaves old connections open.
    let upstream = spawn(upstream_config(ENDLESS)).unwrap();
    let addr = upstream.address();
    let lost = start(&upstream, leg(1, "x"));
    upstream.apply(UpstreamFault::Stop);
    assert_eq!(lost.join().unwrap(), None);
    assert!(TcpStream::connect(addr).is_err());
    upstream.apply(UpstreamFault::Start);
    let (status, health) = call(&agent(), "GET", addr, "/v1/health", &json!(null)).unwrap();
    assert_eq!((status, &health["state"]), (200, &json!("cold")));
    assert_eq!(upstream.counters().lost, 1);
}

#[test]
fn marked_body_crashes() {
    // Guards against a crash that leaves other legs running or is not counted
    // as a run of the body.
    let upstream = spawn(upstream_config(ENDLESS)).unwrap();
    let marker = Some("poison".to_owned());
    upstream.apply(UpstreamFault::CrashOn { marker });
    let other = start(&upstream, leg(1, "x"));
    let mut body = leg(2, "a poison b");
    body["idempotent"] = false.into();
    let crashed = send(&upstream, body);
    assert_eq!(crashed.join().unwrap(), None);
    assert_eq!(other.join().unwrap(), None);
    wait(|| upstream.counters().lost == 2);
    let counters = upstream.counters();
    assert_eq!((counters.crashes, counters.cold), (1, true));
    assert_eq!(upstream.runs("a poison b"), 1);
    assert_eq!(upstream.runs("x"), 0);
}

#[test]
fn frozen_upstream_resumes() {
    // Guards against a freeze that answers, loses or repeats legs.
    let upstream = spawn(upstream_config(Duration::ZERO)).unwrap();
    upstream.apply(UpstreamFault::Freeze);
    let calls: Vec<_> = (0..3).map(|i| send(&upstream, leg(i, "x"))).collect();
    TcpStream::connect(upstream.address()).unwrap();
    assert_eq!(upstream.counters().arrived, 0);
    upstream.apply(UpstreamFault::Resume);
    for (i, call) in calls.into_iter().enumerate() {
        let (status, answer) = call.join().unwrap().unwrap();
        assert_eq!((status, &answer["attempt"]), (200, &json!(i)));
    }
    assert_eq!(upstream.counters().arrived, 3);
}

#[test]
fn wrong_snapshot_is_named() {
    // Guards against a wrong answer that a checker cannot tell from a right one.
    let upstream = spawn(upstream_config(Duration::ZERO)).unwrap();
    upstream.apply(UpstreamFault::WrongSnapshot { answers: 1 });
    let answer = send(&upstream, leg(1, "500")).join().unwrap().unwrap().1;
    let hits: Vec<Hit> = serde_json::from_value(answer["hits"].clone()).unwrap();
    let range = KeyRange { start: 0, end: 100 };
    assert_eq!(answer["snapshot"], 8);
    assert_eq!(hits, documents("portal", SnapshotId(8), range, "500"));
    assert_ne!(hits, documents("portal", SnapshotId(7), range, "500"));
    let answer = send(&upstream, leg(2, "500")).join().unwrap().unwrap().1;
    assert_eq!(answer["snapshot"], 7);
}

#[test]
fn late_answer_ignores_the_deadline() {
    // Guards against a late answer that turns into a 504 and so tests nothing.
    let upstream = spawn(upstream_config(Duration::from_millis(5))).unwrap();
    let late = UpstreamFault::Late {
        answers: 1,
        delay_ms: 5,
    };
    upstream.apply(late);
    let mut body = leg(1, "x");
    body["deadline_ms"] = 1.into();
    assert_eq!(
        send(&upstream, body.clone()).join().unwrap().unwrap().0,
        200
    );
    assert_eq!(send(&upstream, body).join().unwrap().unwrap().0, 504);
}

#[test]
fn answers_are_crossed_in_pairs() {
    // Guards against crossing that loses an answer or gives one to both callers.
    let upstream = spawn(upstream_config(Duration::from_millis(1))).unwrap();
    upstream.apply(UpstreamFault::Cross { pairs: 1 });
    // A lone leg gets its own answer after a while.
    let answer = send(&upstream, leg(1, "x")).join().unwrap().unwrap().1;
    assert_eq!(answer["attempt"], 1);
    upstream.apply(UpstreamFault::Freeze);
    let calls: Vec<_> = (2..4).map(|i| send(&upstream, leg(i, "x"))).collect();
    wait(|| upstream.counters().connections == 3);
    upstream.apply(UpstreamFault::Resume);
    let seen = calls
        .into_iter()
        .map(|call| call.join().unwrap().unwrap().1["attempt"].clone());
    assert_eq!(seen.collect::<Vec<_>>(), [3, 2]);
}

#[test]
fn health_can_lie() {
    // Guards against a tier that trusts the health endpoint unnoticed.
    let upstream = spawn(upstream_config(Duration::ZERO)).unwrap();
    let health = || {
        call(
            &agent(),
            "GET",
            upstream.address(),
            "/v1/health",
            &json!(null),
        )
        .unwrap()
        .1
    };
    upstream.apply(UpstreamFault::Health {
        report: HealthReport::Stale,
    });
    upstream.apply(UpstreamFault::Drain);
    assert_eq!(health()["state"], "ok");
    let report = HealthReport::Fixed {
        state: "cold".into(),
        load: 0.9,
    };
    upstream.apply(UpstreamFault::Health { report });
    assert_eq!(health()["load"], 0.9);
    upstream.apply(UpstreamFault::Health {
        report: HealthReport::True,
    });
    assert_eq!(health()["state"], "draining");
}

#[test]
fn mark_counts_new_work() {
    // Guards against checks of "no new work" that count work from before.
    let upstream = spawn(upstream_config(Duration::ZERO)).unwrap();
    send(&upstream, leg(1, "x")).join().unwrap();
    upstream.apply(UpstreamFault::Mark);
    assert_eq!(upstream.counters().arrived_after_mark, 0);
    let mut body = leg(2, "order 7");
    body["idempotent"] = false.into();
    send(&upstream, body.clone()).join().unwrap();
    send(&upstream, body).join().unwrap();
    let counters = upstream.counters();
    assert_eq!(
        (counters.arrived_after_mark, counters.started_after_mark),
        (2, 2)
    );
    assert_eq!(counters.runs, [("order 7".to_owned(), 2)]);
}

#[test]
fn new_connections_cost_time() {
    // Guards against connections that are free, which would hide a client that
    // opens one for each leg.
    let delay = Duration::from_millis(30);
    let upstream = spawn(UpstreamConfig {
        connection_delay: delay,
        ..upstream_config(Duration::ZERO)
    })
    .unwrap();
    let (agent, begin) = (agent(), Instant::now());
    for attempt in 0..3 {
        let answer = call(
            &agent,
            "POST",
            upstream.address(),
            "/v1/leg",
            &leg(attempt, "x"),
        );
        assert_eq!(answer.unwrap().0, 200);
    }
    assert!(begin.elapsed() >= delay);
    assert_eq!(upstream.counters().connections, 1);
}
