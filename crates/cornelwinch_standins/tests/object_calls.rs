//! The platform's protocol without faults.

mod support;

use std::time::Duration;

use cornelwinch_standins::platform::{
    HostRole, HostRow, HostState, Platform, PlatformConfig, PlatformFault, spawn,
};
use serde_json::{Value, json};
use support::{agent, call};

fn platform() -> Platform {
    spawn(PlatformConfig {
        latency: Duration::ZERO,
        ..PlatformConfig::default()
    })
    .unwrap()
}

#[test]
fn one_of_two_updates_wins() {
    // Guards against a lost update and against a conflict that hides what
    // changed.
    let platform = platform();
    let (agent, addr) = (agent(), platform.address());
    let put = |version: u64, value: &Value| {
        let path = format!("/v1/objects/plan/gold?version={version}");
        call(&agent, "PUT", addr, &path, value).unwrap()
    };
    let (status, object) = put(0, &json!({"change": "a"}));
    assert_eq!(
        (status, &object["version"], &object["revision"]),
        (200, &json!(1), &json!(1))
    );
    let (status, object) = put(0, &json!({"change": "b"}));
    assert_eq!((status, &object["value"]), (409, &json!({"change": "a"})));
    let (status, object) = put(1, &json!({"change": "b"}));
    assert_eq!((status, &object["version"]), (200, &json!(2)));
    let (status, object) = call(
        &agent,
        "PUT",
        addr,
        "/v1/objects/plan/none?version=3",
        &json!(1),
    )
    .unwrap();
    assert_eq!((status, object), (409, Value::Null));
    let path = "/v1/objects/plan/gold?version=2";
    let (status, object) = call(&agent, "DELETE", addr, path, &json!(null)).unwrap();
    assert_eq!(
        (status, &object["deleted"], &object["value"]),
        (200, &json!(true), &Value::Null)
    );
    let (status, _) = call(&agent, "GET", addr, "/v1/objects/plan/gold", &json!(null)).unwrap();
    assert_eq!(status, 404);
    // A writer that knows the object from before its deletion gets a conflict.
    assert_eq!(put(0, &json!(1)).1["version"], 4);
    assert_eq!(put(1, &json!(1)).0, 409);
    let (status, _) = call(&agent, "GET", addr, "/v1/objects/plan/a%2Fb", &json!(null)).unwrap();
    assert_eq!(status, 404);
}

#[test]
fn lists_go_by_revision() {
    // Guards against pages that skip a change or repeat one.
    let platform = platform();
    let (agent, addr) = (agent(), platform.address());
    for i in 0..10 {
        platform.set(
            ["plan", "zone"][i % 2],
            &format!("n{}", i / 4),
            Some(json!(i)),
        );
    }
    platform.set("zone", "n0", None);
    let list = |after: u64, limit: u64, kinds: &str| {
        let path = format!("/v1/objects?after={after}&limit={limit}{kinds}");
        call(&agent, "GET", addr, &path, &json!(null)).unwrap().1
    };
    let (mut after, mut seen) = (0, Vec::new());
    loop {
        let page = list(after, 2, "");
        let objects = page["objects"].as_array().unwrap();
        seen.extend(
            objects
                .iter()
                .map(|object| object["revision"].as_u64().unwrap()),
        );
        after = page["revision"].as_u64().unwrap();
        if page["more"] == false {
            break;
        }
        assert_eq!(Some(&after), seen.last());
    }
    // Each object appears once, at its last change.
    assert_eq!(seen, [3, 7, 8, 9, 10, 11]);
    assert_eq!(after, 11);
    let zones = list(0, 100, "&kinds=zone");
    let objects = zones["objects"].as_array().unwrap();
    assert_eq!(objects.len(), 3);
    assert_eq!(objects[2]["deleted"], true);
    assert_eq!(
        (&zones["revision"], &zones["more"]),
        (&json!(11), &json!(false))
    );
}

#[test]
fn watch_ends_with_a_change_or_its_time() {
    // Guards against a watch that misses a change of its kind or wakes for
    // another kind.
    let platform = platform();
    let addr = platform.address();
    let watch = move |kinds: &str, wait: u64| {
        let path = format!("/v1/watch?after=0&wait_ms={wait}&kinds={kinds}");
        call(&agent(), "GET", addr, &path, &json!(null)).unwrap().1
    };
    assert_eq!(watch("plan", 1)["objects"], json!([]));
    let waiting = std::thread::spawn(move || watch("plan,zone", 15_000));
    while platform.counters().watches == 0 {
        std::thread::yield_now();
    }
    platform.set("status", "h0", Some(json!(1)));
    assert_eq!(platform.counters().watches, 1);
    platform.set("zone", "a", Some(json!(2)));
    let list = waiting.join().unwrap();
    assert_eq!(list["revision"], 2);
    assert_eq!(list["objects"][0]["value"], 2);
    assert_eq!(watch("plan,zone", 15_000), list);
    assert_eq!(platform.counters().watches, 0);
    assert_eq!(platform.counters().reads, 3);
}

#[test]
fn host_list_lags() {
    // Guards against tests that pass only because the list is up to date.
    let platform = platform();
    let row = |state| HostRow {
        name: "h0".into(),
        zone: "a".into(),
        role: HostRole::Host,
        peer: "10.0.0.1:70".parse().ok(),
        gossip: "10.0.0.1:71".parse().ok(),
        state,
    };
    let state = || {
        let (_, list) = call(
            &agent(),
            "GET",
            platform.address(),
            "/v1/hosts",
            &json!(null),
        )
        .unwrap();
        list["hosts"][0]["state"].clone()
    };
    platform.apply(PlatformFault::Hosts {
        hosts: vec![row(HostState::Live)],
    });
    platform.apply(PlatformFault::SetHost {
        host: row(HostState::Leaving),
    });
    assert_eq!(state(), "live");
    platform.apply(PlatformFault::HostLag { ms: 0 });
    assert_eq!(state(), "leaving");
}
