//! Documents are checked, written in order, and conflicts are explained.

#[allow(dead_code)]
mod commands;
#[allow(dead_code)]
#[path = "../../cornelwinch_platform/tests/fake/mod.rs"]
mod fake;

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use commands::{file, run, spawn_host};
use fake::Fault;
use serde_json::json;

const DOCUMENT: &str = r#"{
    "plan": {
        "gold": { "rate_per_s": 50, "burst": 10, "concurrency": 4, "priority": 0,
                  "searches": ["portal"] },
    },
    "search": { "portal": { "classes": ["fast"] } },
    "class": { "fast": { "deadline_ms": 200, "min_coverage": 0.9, "priority": 1 } },
    "zone": { "tunis-a": { "region": "tunis" } }, // in service
}"#;

/// Guards against entries written twice, in an order that leaves references
/// open, or not at all.
#[test]
fn writes_what_differs() {
    let platform = fake::spawn(Duration::ZERO);
    let address = platform.addr.to_string();
    let document = file("first.jsonc", DOCUMENT);
    let (code, out, err) = run(&["apply", "--platform", &address, &document]);
    assert_eq!((code, err.as_str()), (0, ""));
    insta::assert_snapshot!(out, @r#"
    KIND    NAME     RESULT   REVISION
    class   fast     created  1
    search  portal   created  2
    plan    gold     created  3
    zone    tunis-a  created  4
    "#);
    let changed = file(
        "second.jsonc",
        &DOCUMENT.replace("50", "60").replace("0.9", "0.90"),
    );
    let (code, out, _) = run(&["apply", "--platform", &address, &changed]);
    assert_eq!(code, 0);
    insta::assert_snapshot!(out, @r#"
    KIND    NAME     RESULT     REVISION
    class   fast     unchanged  1
    search  portal   unchanged  2
    plan    gold     updated    5
    zone    tunis-a  unchanged  4
    "#);
    let (code, out, _) = run(&["get", "--platform", &address, "plan", "gold"]);
    assert_eq!(code, 0);
    assert!(out.contains("\"rate_per_s\": 60"), "{out}");
    assert_eq!(run(&["get", "--platform", &address, "plan", "silver"]).0, 1);
}

/// Guards against a conflict that does not show what the other change did, and
/// against later entries written in spite of it.
#[test]
fn conflict_is_explained() {
    let platform = fake::spawn(Duration::ZERO);
    let address = platform.addr.to_string();
    let document = file("conflict.jsonc", DOCUMENT);
    assert_eq!(run(&["apply", "--platform", &address, &document]).0, 0);
    // The class, the search and the zone are as before, so the plan is the
    // first write and meets the fault.
    platform.store.lock().expect("no panic in the store").faults = vec![Fault::Beaten];
    let changed = DOCUMENT
        .replace("50", "60")
        .replace("\"region\": \"tunis\"", "\"region\": \"t\"");
    let changed = file("conflicting.jsonc", &changed);
    let (code, out, err) = run(&["apply", "--platform", &address, &changed]);
    assert_eq!((code, err.as_str()), (1, ""));
    insta::assert_snapshot!(out, @r#"
    KIND    NAME     RESULT     REVISION
    class   fast     unchanged  1
    search  portal   unchanged  2
    plan    gold     conflict   5
    zone    tunis-a  skipped
    plan "gold" was changed meanwhile by change other:
      burst: present absent, yours 10
      concurrency: present absent, yours 4
      priority: present absent, yours 0
      rate_per_s: present 1.0, yours 60
      searches: present absent, yours ["portal"]
    "#);
}

/// Guards against an outage that hides which entries were written before it.
#[test]
fn outage_shows_progress() {
    let platform = fake::spawn(Duration::ZERO);
    let address = platform.addr.to_string();
    let document = file("outage.jsonc", DOCUMENT);
    platform.store.lock().expect("no panic in the store").faults = vec![Fault::Down, Fault::None];
    let (code, out, err) = run(&["apply", "--platform", &address, &document]);
    assert_eq!((code, err.as_str()), (1, ""));
    let change = out.find("change cli-").expect("the identifier") + "change cli-".len();
    let out = out
        .replace(&out[change..change + 32], "ID")
        .replace(&address, "ADDRESS");
    insta::assert_snapshot!(out, @r#"
    KIND    NAME     RESULT      REVISION
    class   fast     created     1
    search  portal   unresolved
    plan    gold     skipped
    zone    tunis-a  skipped
    search "portal": write /v1/objects/search/portal: change cli-ID may or may not have been applied, and reading the object back failed: GET /v1/objects/search/portal: the platform at ADDRESS is unavailable
    "#);
}

/// Guards against an invalid document that is written in part.
#[test]
fn invalid_writes_nothing() {
    let platform = fake::spawn(Duration::ZERO);
    let address = platform.addr.to_string();
    let document = file(
        "invalid.jsonc",
        &DOCUMENT.replace("[\"fast\"]", "[\"fast\", \"slow\"]"),
    );
    let (code, out, err) = run(&["apply", "--platform", &address, &document]);
    assert_eq!((code, out.as_str()), (2, ""));
    let err = err.replace(document.trim_end_matches("invalid.jsonc"), "");
    insta::assert_snapshot!(err, @r#"
    invalid.jsonc:6: search "portal": key "classes": class "slow" does not exist
    "#);
    assert_eq!(
        platform
            .store
            .lock()
            .expect("no panic in the store")
            .revision,
        0
    );
    assert_eq!(
        run(&["check", &document]).0,
        0,
        "references need the platform"
    );
    assert_eq!(run(&["check", "--platform", &address, &document]).0, 2);
}

/// Guards against a report that says "in force" while a host lags.
#[test]
fn wait_names_laggards() {
    let platform = fake::spawn(Duration::ZERO);
    let address = platform.addr.to_string();
    let hosts = [spawn_host("a-1", "tunis-a"), spawn_host("b-1", "tunis-b")];
    platform.store.lock().expect("no panic in the store").set(
        "zone",
        "tunis-a",
        &json!({"change": "c", "spec": {"region": "tunis"}}),
    );
    let token = file("token", "secret\n");
    let operators = hosts.each_ref().map(|host| host.addr.to_string());
    let zone = |mark: &str, timeout: &str| {
        run(&[
            "zone",
            "--platform",
            &address,
            "--wait",
            "--timeout-ms",
            timeout,
            "--operator-token-file",
            &token,
            "--operator",
            &operators[0],
            "--operator",
            &operators[1],
            mark,
            "tunis-a",
        ])
    };
    let steady = |out: &str| {
        let end = out.rfind(" after").expect("the wait");
        out[..end].to_owned()
    };
    hosts[0].revision.store(2, Ordering::Relaxed);
    let (code, out, _) = zone("out", "300");
    assert_eq!(code, 1);
    insta::assert_snapshot!(steady(&out), @r#"
    KIND  NAME     RESULT   REVISION
    zone  tunis-a  updated  2
    ZONE     HOSTS  STATE     LAGGING
    tunis-a  1/1    in force
    tunis-b  0/1    lagging   b-1 (revision 0)
    revision 2 is not in force on all hosts
    "#);
    let late = hosts[1].revision.clone();
    let helper = thread::spawn(move || {
        thread::sleep(Duration::from_millis(200));
        late.store(2, Ordering::Relaxed);
    });
    let (code, out, _) = zone("out", "30000");
    helper.join().expect("no panic in the helper");
    assert_eq!(code, 0);
    insta::assert_snapshot!(steady(&out), @r#"
    KIND  NAME     RESULT     REVISION
    zone  tunis-a  unchanged  2
    ZONE     HOSTS  STATE     LAGGING
    tunis-a  1/1    in force
    tunis-b  1/1    in force
    revision 2 is in force on all hosts
    "#);
    let object = platform
        .store
        .lock()
        .expect("no panic in the store")
        .find("zone", "tunis-a")
        .cloned();
    let spec = &object.expect("the zone")["value"]["spec"];
    assert_eq!(*spec, json!({"region": "tunis", "state": "out"}));
}
