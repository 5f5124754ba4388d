//! The client and the platform's stand-in agree on the protocol.

use std::thread;
use std::time::{Duration, Instant};

use cornelwinch_config::{ConfigState, ServiceState};
use cornelwinch_platform::{
    HostRole, HostState, PlatformClient, PlatformError, Timeouts, Written, entry_value,
};
use cornelwinch_standins::platform::{self, OutageMode, Platform, PlatformConfig, PlatformFault};
use cornelwinch_types::Revision;
use serde_json::json;

fn open(operation: Duration) -> (Platform, PlatformClient) {
    let platform = platform::spawn(PlatformConfig::default()).expect("a free port");
    let call = Duration::from_millis(200);
    let timeouts = Timeouts {
        connect: call,
        call,
        operation,
    };
    let client = PlatformClient::open(platform.address(), timeouts);
    (platform, client)
}

/// Guards against a client that understands only its own fake: versions,
/// conflicts, tombstones, kinds and entries.
#[test]
fn objects_round_trip() {
    let (_platform, client) = open(Duration::from_secs(5));
    let spec = json!({"region": "tunis", "state": "out"});
    let created = client.put("zone", "z1", 0, "c1", &spec).expect("a write");
    let Written::Applied {
        object: Some(object),
    } = created
    else {
        panic!("{created:?}")
    };
    assert_eq!((object.version, object.change()), (1, Some("c1")));
    let entry = object.to_entry().expect("a zone");
    assert_eq!(Some(entry_value(&entry).expect("a value")), object.value);

    let again = client.put("zone", "z1", 0, "c2", &spec).expect("an answer");
    assert!(
        matches!(
            again,
            Written::Conflict {
                present: Some(_),
                ..
            }
        ),
        "{again:?}"
    );
    client
        .put("status", "s", 0, "c3", &json!({}))
        .expect("a write");
    let listing = client.list(Revision(0), &["zone"]).expect("a list");
    assert_eq!((listing.objects.len(), listing.revision), (1, Revision(2)));
    let mut state = ConfigState::default();
    state.apply(listing.entries().0, listing.revision);
    assert_eq!(
        state.zone("z1").map(|zone| zone.state),
        Some(ServiceState::Out)
    );

    let deleted = client.delete("zone", "z1", 1).expect("a write");
    assert!(matches!(deleted, Written::Applied { .. }), "{deleted:?}");
    assert_eq!(client.get("zone", "z1").expect("an answer"), None);
    let listing = client.list(listing.revision, &["zone"]).expect("a list");
    state.apply(listing.entries().0, listing.revision);
    assert_eq!((state.zone("z1"), state.revision()), (None, Revision(3)));
    let recreated = client.put("zone", "z1", 0, "c4", &spec).expect("an answer");
    assert!(
        matches!(recreated, Written::Applied { .. }),
        "{recreated:?}"
    );
}

/// Guards against a watch that misses a change, hangs or is cut short by the
/// time limit of ordinary calls.
#[test]
fn watch_sees_change() {
    let (platform, client) = open(Duration::from_secs(5));
    let start = Instant::now();
    let idle = client
        .watch(Revision(0), Duration::from_millis(400), &[])
        .expect("an answer");
    assert!(idle.objects.is_empty() && start.elapsed() >= Duration::from_millis(400));
    let writer = platform.clone();
    let writer = thread::spawn(move || {
        thread::sleep(Duration::from_millis(300));
        writer.set(
            "zone",
            "z1",
            Some(json!({"change": "c", "spec": {"region": "t"}})),
        )
    });
    let seen = client
        .watch(Revision(0), Duration::from_secs(20), &["zone"])
        .expect("an answer");
    let revision = writer.join().expect("no panic in the writer");
    assert_eq!((seen.objects.len(), seen.revision), (1, Revision(revision)));
}

/// Guards against a lost write on a connection that stays silent or is reset.
#[test]
fn lost_answers_resolved() {
    let (platform, client) = open(Duration::from_secs(5));
    for (i, mode) in [
        OutageMode::Unavailable,
        OutageMode::Silent,
        OutageMode::Reset,
    ]
    .into_iter()
    .enumerate()
    {
        platform.apply(PlatformFault::LoseWriteAnswers { writes: 1, mode });
        let name = format!("z{i}");
        let spec = json!({"region": "tunis"});
        let written = client
            .put("zone", &name, 0, &name, &spec)
            .expect("a resolved write");
        assert!(
            matches!(written, Written::Applied { .. }),
            "{mode:?}: {written:?}"
        );
        assert_eq!(platform.counters().writes_applied, i as u64 + 1, "{mode:?}");
    }
}

/// Guards against a lagging list that cannot be read, and an outage without an
/// error.
#[test]
fn hosts_and_outage() {
    let (platform, client) = open(Duration::ZERO);
    let host = json!({"name": "h1", "zone": "z1", "role": "host", "peer": "10.0.0.1:1",
        "gossip": "10.0.0.1:2", "state": "live"});
    let upstream = json!({"name": "u1", "zone": "z1", "role": "upstream", "peer": null,
        "gossip": null, "state": "leaving"});
    let rows = json!({"fault": "hosts", "hosts": [host, upstream]});
    platform.apply(serde_json::from_value(json!({"fault": "host_lag", "ms": 0})).expect("a fault"));
    platform.apply(serde_json::from_value(rows).expect("a fault"));
    let hosts = client.hosts().expect("a list");
    assert_eq!(
        (hosts[0].role, hosts[0].state),
        (HostRole::Host, HostState::Live)
    );
    assert_eq!(
        (hosts[1].role, hosts[1].state),
        (HostRole::Upstream, HostState::Leaving)
    );
    assert!(hosts[0].peer.is_some() && hosts[1].gossip.is_none());
    let mode = OutageMode::Reset;
    platform.apply(PlatformFault::Outage {
        mode,
        apply_writes: false,
    });
    let error = client.get("zone", "z1").expect_err("an outage");
    assert!(matches!(error, PlatformError::NoAnswer { .. }), "{error}");
    let error = client
        .put("zone", "z1", 0, "c", &json!({}))
        .expect_err("an outage");
    assert!(matches!(error, PlatformError::Unresolved { .. }), "{error}");
}
