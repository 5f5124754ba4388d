//! Rules of configuration entries, as the command line and daemon apply them.

use cornelwinch_config::{ConfigState, Entry, EntryValue, Kind, validate};
use cornelwinch_types::{Revision, SnapshotId};
use serde_json::{Value, json};

fn entry(kind: Kind, name: &str, spec: Value) -> Entry {
    let value = EntryValue::from_spec(kind, spec).expect("a readable spec");
    Entry {
        name: name.into(),
        revision: Revision(1),
        change: "c".into(),
        value,
    }
}

fn specs() -> Vec<(Kind, &'static str, Value)> {
    let token = |token: &str| blake3::hash(token.as_bytes()).to_hex().to_string();
    let shard = |start, end, up: &str| json!({"range": {"start": start, "end": end}, "documents": 10, "replicas": [up]});
    let snapshot = |id| {
        let shards = [shard(0, 10, "u1"), shard(10, 20, "u2")];
        json!({"search": "portal", "id": id, "shards": shards})
    };
    let upstream = |zone: &str, port: u16| {
        json!({"zone": zone, "address": format!("127.0.0.1:{port}"), "slots": 3,
               "connections": 30, "cold_limit": 1})
    };
    vec![
        (
            Kind::Class,
            "fast",
            json!({"deadline_ms": 200, "min_coverage": 0.9,
            "partial_after_ms": 150, "priority": 1, "hedge_quantile": 0.95}),
        ),
        (Kind::Search, "portal", json!({"classes": ["fast"]})),
        (
            Kind::Plan,
            "gold",
            json!({"rate_per_s": 50.0, "burst": 10, "concurrency": 4,
            "priority": 0, "searches": ["portal"]}),
        ),
        (
            Kind::Organisation,
            "school",
            json!({"plan": "gold", "token_hash": token("a")}),
        ),
        (
            Kind::Organisation,
            "shop",
            json!({"plan": "gold", "token_hash": token("b")}),
        ),
        (Kind::Zone, "z1", json!({"region": "tunis"})),
        (Kind::Zone, "z2", json!({"region": "tunis", "state": "out"})),
        (Kind::Upstream, "u1", upstream("z1", 9001)),
        (Kind::Upstream, "u2", upstream("z2", 9002)),
        (Kind::Snapshot, "portal-6", snapshot(6)),
        (Kind::Snapshot, "portal-10", snapshot(10)),
        (Kind::Host, "h1", json!({"state": "out"})),
    ]
}

fn state() -> ConfigState {
    let mut state = ConfigState::default();
    for (kind, name, spec) in specs() {
        let entry = entry(kind, name, spec);
        validate(&entry, &state).expect("dependency order");
        state.apply(vec![entry], Revision(1));
    }
    state
}

/// Guards against an accepted entry that a host cannot act on. Each case
/// changes one key of a valid entry.
#[test]
fn broken_entries_refused() {
    let state = state();
    let mut texts = Vec::new();
    let cases = [
        ("gold", "rate_per_s", json!(0.0)),
        ("gold", "burst", json!(0)),
        ("gold", "concurrency", json!(0)),
        ("gold", "searches", json!(["stock"])),
        ("school", "plan", json!("silver")),
        ("school", "token_hash", json!("12")),
        ("school", "token_hash", specs()[4].2["token_hash"].clone()),
        ("portal", "classes", json!([])),
        ("portal", "classes", json!(["fast", "slow"])),
        ("fast", "min_coverage", json!(1.01)),
        ("fast", "hedge_quantile", json!(1.0)),
        ("fast", "deadline_ms", json!(0)),
        ("fast", "partial_after_ms", json!(201)),
        ("u1", "cold_limit", json!(4)),
        ("u1", "slots", json!(0)),
        ("u1", "zone", json!("z3")),
        ("u1", "address", json!("127.0.0.1:0")),
        ("portal-6", "id", json!(10)),
        ("portal-6", "shards", json!([])),
        ("portal-6", "search", json!("stock")),
    ];
    for (name, key, value) in cases {
        let found = specs().into_iter().find(|spec| spec.1 == name);
        let (kind, _, mut spec) = found.expect("a known name");
        spec[key] = value;
        let error = validate(&entry(kind, name, spec), &state).expect_err(name);
        texts.push(error.to_string());
    }
    let (kind, name, mut spec) = specs().remove(9);
    spec["shards"][1]["range"]["start"] = json!(9);
    texts.push(
        validate(&entry(kind, name, spec), &state)
            .expect_err(name)
            .to_string(),
    );
    let odd = entry(Kind::Zone, "z 1", json!({"region": "tunis"}));
    texts.push(
        validate(&odd, &state)
            .expect_err("a space in the name")
            .to_string(),
    );
    insta::assert_snapshot!(texts.join("\n"), @r#"
    plan "gold": key "rate_per_s": expected a number above 0, found 0
    plan "gold": key "burst": expected an integer above 0, found 0
    plan "gold": key "concurrency": expected an integer above 0, found 0
    plan "gold": key "searches": search "stock" does not exist
    customer "school": key "plan": plan "silver" does not exist
    customer "school": key "token_hash": expected 64 hexadecimal digits, found 12
    customer "school": key "token_hash": customer "shop" has the same token
    search "portal": key "classes": expected at least one class, found none
    search "portal": key "classes": class "slow" does not exist
    class "fast": key "min_coverage": expected a number from 0 to 1, found 1.01
    class "fast": key "hedge_quantile": expected a number above 0 and below 1, found 1
    class "fast": key "deadline_ms": expected an integer above 0, found 0
    class "fast": key "partial_after_ms": expected at most deadline_ms, found 201
    upstream "u1": key "cold_limit": expected an integer from 1 to slots, found 4
    upstream "u1": key "slots": expected an integer above 0, found 0
    upstream "u1": key "zone": zone "z3" does not exist
    upstream "u1": key "address": expected a port from 1 to 65535, found 127.0.0.1:0
    snapshot "portal-6": key "id": snapshot "portal-10" already is number 10 of search "portal"
    snapshot "portal-6": key "shards": expected at least one shard, found none
    snapshot "portal-6": key "search": search "stock" does not exist
    snapshot "portal-6": key "shards": shard 1 overlaps the shard before it
    zone "z 1": key "name": expected letters, digits or any of "._~-", found z 1
    "#);
}

/// Guards against a deletion that leaves an entry referring to nothing.
#[test]
fn referenced_entries_stay() {
    let mut state = state();
    let referenced = ["fast", "portal", "gold", "z1", "z2", "u1", "u2"];
    // In reverse order of dependency every entry can be deleted.
    for (kind, name, _) in specs().into_iter().rev() {
        let deleted = Entry {
            name: name.into(),
            revision: Revision(2),
            change: "c".into(),
            value: EntryValue::deleted(kind),
        };
        let early = validate(&deleted, &self::state());
        assert_eq!(
            early.is_err(),
            referenced.contains(&name),
            "{name}: {early:?}"
        );
        validate(&deleted, &state).expect(name);
        state.apply(vec![deleted], Revision(2));
        assert!(!state.contains(kind, name) && state.entry(kind, name).is_some());
    }
}

/// Guards against lookups that miss an entry or use a stale index.
#[test]
fn lookups_follow_entries() {
    let mut state = state();
    let find = |state: &ConfigState, token: &str| {
        let hash = blake3::hash(token.as_bytes());
        state
            .organisation_by_token_hash(&hash)
            .map(|(name, _)| name.clone())
    };
    assert_eq!(find(&state, "a").as_deref(), Some("school"));
    assert_eq!(find(&state, "c"), None);
    let ids: Vec<SnapshotId> = state.snapshots("portal").iter().map(|s| s.id).collect();
    assert_eq!(ids, [SnapshotId(10), SnapshotId(6)]);
    assert!(!state.is_upstream_out("u1"));
    assert!(state.is_upstream_out("u2"), "the zone is out");
    assert!(state.is_upstream_out("u3"), "the upstream is unknown");
    assert_eq!(state.upstreams().count(), 2);
    let deleted = |kind, name: &str| Entry {
        name: name.into(),
        revision: Revision(2),
        change: "c".into(),
        value: EntryValue::deleted(kind),
    };
    let gone = vec![
        deleted(Kind::Organisation, "school"),
        deleted(Kind::Snapshot, "portal-10"),
    ];
    state.apply(gone, Revision(2));
    assert_eq!(find(&state, "a"), None);
    assert_eq!(state.snapshots("portal").len(), 1);
}
