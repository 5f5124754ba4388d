//! A write whose answer is lost is resolved by its change identifier.

mod fake;

use std::env;
use std::time::Duration;

use cornelwinch_config::Entry;
use cornelwinch_platform::{PlatformClient, PlatformError, Timeouts, Written};
use cornelwinch_types::Revision;
use fake::Fault;
use serde_json::json;

const CALL: Duration = Duration::from_millis(60);

fn open(platform: &fake::Platform) -> PlatformClient {
    let timeouts = Timeouts {
        connect: CALL,
        call: CALL,
        operation: Duration::from_secs(10),
    };
    PlatformClient::open(platform.addr, timeouts)
}

/// Guards against a lost write that is reported wrongly, applied twice, or
/// repeated over another writer's change.
#[test]
fn reports_match_store() {
    let iterations = env::var("CORNELWINCH_ITERATIONS")
        .ok()
        .and_then(|n| n.parse().ok());
    let platform = fake::spawn(CALL * 3);
    let client = open(&platform);
    for seed in 0..iterations.unwrap_or(200) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (name, change) = (format!("p{seed}"), format!("c{seed}"));
        let exists = rng.bool();
        let deletes = exists && rng.u8(..4) == 0;
        let mut faults = Vec::new();
        for _ in 0..rng.usize(..3) {
            let early = [
                Fault::OverRate,
                Fault::OutageBefore,
                Fault::OutageAfter,
                Fault::Overtaken,
            ];
            faults.push(*rng.choice(&early).expect("a fault"));
        }
        // Late answers cost a timeout of real time, so few runs have them.
        if rng.u8(..20) == 0 {
            faults.push(Fault::Late);
        } else if rng.u8(..4) == 0 {
            faults.push(Fault::Beaten);
        }
        {
            let mut store = platform.store.lock().expect("no panic in the store");
            if exists {
                store.set(
                    "plan",
                    &name,
                    &json!({"change": "first", "spec": {"rate_per_s": 9.0}}),
                );
            }
            store.faults.clone_from(&faults);
            store.failing_reads = rng.usize(..2);
            store.applied.clear();
        }
        let version = u64::from(exists);
        let result = if deletes {
            client.delete("plan", &name, version)
        } else {
            client.put("plan", &name, version, &change, &json!({"rate_per_s": 2.0}))
        };
        let store = platform.store.lock().expect("no panic in the store");
        let held = store
            .find("plan", &name)
            .filter(|held| held["deleted"] == false);
        let held_change = held.and_then(|held| held["value"]["change"].as_str());
        let text = format!("seed {seed}: {faults:?}, deletes {deletes}: {result:?}");
        assert!(store.applied.len() <= 1, "{text}");
        match result.as_ref().unwrap_or_else(|e| panic!("{text}: {e}")) {
            Written::Applied { .. } => {
                let expected = (!deletes).then_some(change.as_str());
                assert_eq!(held_change, expected, "{text}");
            }
            Written::Conflict { differences, .. } => {
                assert!(store.applied.is_empty(), "{text}");
                assert_eq!(
                    differences[0].path,
                    if deletes { "" } else { "rate_per_s" },
                    "{text}"
                );
            }
            Written::Overtaken { present, .. } => {
                assert_eq!(
                    present.as_ref().and_then(|o| o.change()),
                    Some("other"),
                    "{text}"
                );
            }
            Written::NotApplied { .. } => panic!("{text}: there was time for another attempt"),
        }
    }
}

/// Guards against an outage that is reported as a definite result.
#[test]
fn outage_is_unresolved() {
    let platform = fake::spawn(CALL);
    let timeouts = Timeouts {
        connect: CALL,
        call: CALL,
        operation: Duration::ZERO,
    };
    let client = PlatformClient::open(platform.addr, timeouts);
    {
        let mut store = platform.store.lock().expect("no panic in the store");
        store.faults = vec![Fault::OutageBefore, Fault::OverRate, Fault::OutageAfter];
        store.failing_reads = 1;
    }
    let write = || client.put("plan", "gold", 0, "c1", &json!({}));
    let error = write().expect_err("an outage");
    assert!(matches!(error, PlatformError::Unresolved { .. }), "{error}");
    let error = write().expect_err("over the rate");
    assert!(matches!(error, PlatformError::OverRate { .. }), "{error}");
    let written = client
        .put("plan", "blue", 0, "c2", &json!({}))
        .expect("a read");
    assert_eq!(written, Written::NotApplied { present: None });
    let text = error
        .to_string()
        .replace(&platform.addr.to_string(), "ADDRESS");
    insta::assert_snapshot!(text, @r#"
    PUT /v1/objects/plan/gold?version=0: the platform at ADDRESS is over its rate
    "#);
}

/// Guards against a list that ends at its first page, repeats a page or stops
/// at an object that is no valid entry.
#[test]
fn list_reads_pages() {
    let platform = fake::spawn(CALL);
    let client = open(&platform);
    {
        let mut store = platform.store.lock().expect("no panic in the store");
        for i in 0..1_234 {
            let value = json!({"change": "c", "spec": {"region": "tunis"}});
            store.set("zone", &format!("z{i}"), &value);
        }
        store.set("zone", "z0", &json!(null));
        store.set(
            "zone",
            "odd",
            &json!({"change": "c", "spec": {"reign": "tunis"}}),
        );
        store.set("claim", "bucket", &json!([]));
        store.failing_reads = 2;
    }
    let listing = client.list(Revision(0), &[]).expect("all pages");
    assert_eq!(
        (listing.objects.len(), listing.revision),
        (1_236, Revision(1_237))
    );
    let (entries, invalid) = listing.entries();
    assert_eq!((entries.len(), invalid.len()), (1_234, 1));
    assert!(entries.iter().any(Entry::is_deleted));
    insta::assert_snapshot!(invalid[0], @r#"
    zone "odd" at revision 1236: unknown field `reign`, expected `region` or `state`
    "#);
    let error = client.get("zone", "../plan").expect_err("an unsafe name");
    insta::assert_snapshot!(error, @r#"
    get zone/../plan: expected a kind and a name of letters, digits or any of "._~-"
    "#);
}
