//! The control listener, and many upstreams in one process.

mod support;

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use cornelwinch_standins::platform::PlatformConfig;
use cornelwinch_standins::upstream::{Upstream, UpstreamConfig, spawn};
use cornelwinch_standins::{platform, spawn_control};
use serde_json::{Value, json};
use support::{agent, call, leg, upstream_config};

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

#[test]
fn faults_go_to_the_named_upstream() {
    // Guards against a fault that reaches the wrong upstream or none.
    let upstreams: Vec<Upstream> = ["u0", "u1"]
        .iter()
        .map(|&name| {
            spawn(UpstreamConfig {
                name: name.into(),
                ..upstream_config(Duration::ZERO)
            })
            .unwrap()
        })
        .collect();
    let control = spawn_control(ANY, upstreams.clone(), None).unwrap();
    let (agent, addr) = (agent(), control.address());
    let post = |body: Value| call(&agent, "POST", addr, "/control", &body).unwrap();
    assert_eq!(
        post(json!({"upstream": "u1", "fault": "drain"})),
        (200, json!({"changed": 1}))
    );
    assert_eq!(
        post(json!({"fault": "late", "answers": 1, "delay_ms": 1})).1["changed"],
        2
    );
    assert_eq!(post(json!({"upstream": "u2", "fault": "drain"})).0, 404);
    assert_eq!(post(json!({"fault": "dance"})).0, 400);
    let run = |i: usize| {
        call(
            &agent,
            "POST",
            upstreams[i].address(),
            "/v1/leg",
            &leg(1, "x"),
        )
        .unwrap()
    };
    assert_eq!((run(0).0, run(1).0), (200, 503));
    let counters = call(&agent, "GET", addr, "/control", &Value::Null)
        .unwrap()
        .1;
    assert_eq!(counters["upstreams"][1]["refused_draining"], 1);
}

#[test]
fn faults_reach_the_platform() {
    // Guards against faults that another process cannot switch on.
    let platform = platform::spawn(PlatformConfig::default()).unwrap();
    let control = spawn_control(ANY, Vec::new(), Some(platform.clone())).unwrap();
    let outage = json!({"fault": "outage", "mode": "unavailable"});
    let (agent, addr) = (agent(), control.address());
    assert_eq!(
        call(&agent, "POST", addr, "/control", &outage).unwrap().0,
        200
    );
    let list = call(
        &agent,
        "GET",
        platform.address(),
        "/v1/objects",
        &Value::Null,
    );
    assert_eq!(list.unwrap().0, 503);
    let counters = call(&agent, "GET", addr, "/control", &Value::Null)
        .unwrap()
        .1;
    assert_eq!(counters["platform"]["failed"], 1);
}

#[test]
fn ninety_upstreams_share_threads() {
    // Guards against threads that grow with the number of upstreams or of idle
    // connections.
    let upstreams: Vec<Upstream> = (0..90)
        .map(|_| spawn(upstream_config(Duration::ZERO)).unwrap())
        .collect();
    let agent = agent();
    for (i, upstream) in upstreams.iter().enumerate() {
        let body = leg(i as u64, "x");
        assert_eq!(
            call(&agent, "POST", upstream.address(), "/v1/leg", &body)
                .unwrap()
                .0,
            200
        );
    }
    let threads = fs::read_dir("/proc/self/task").map_or(0, Iterator::count);
    assert!(threads < 60, "{threads} threads");
}
