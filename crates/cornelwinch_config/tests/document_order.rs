//! A configuration document is read, ordered for writing and checked.

use cornelwinch_config::{ConfigState, Document};

/// Guards against a write before the entry it refers to, or a deletion before
/// the entries that refer to it.
#[test]
fn entries_are_ordered() {
    let text = r#"{
        // Kinds and names are in no order here.
        "zone": { "z1": { "region": "tunis" }, "old": null },
        "plan": { "gold": { "rate_per_s": 5, "burst": 2, "concurrency": 1, "priority": 0,
                            "searches": ["portal"] } },
        "upstream": { "gone": null },
        "search": { "portal": { "classes": ["fast"] } },
        "class": { "fast": { "deadline_ms": 100, "min_coverage": 1, "priority": 0 } },
    }"#;
    let document = Document::parse("plan.jsonc", text).expect("a valid document");
    let names: Vec<&str> = document.entries.iter().map(|entry| &*entry.name).collect();
    assert_eq!(names, ["fast", "portal", "gold", "z1", "gone", "old"]);
    assert_eq!(document.validate(&ConfigState::default()), Ok(()));
}

/// Guards against an error that does not lead to its place in the document.
#[test]
fn errors_name_entry() {
    let parse = |text: &str| Document::parse("doc.jsonc", text);
    let texts = [
        "{ \"zones\": {} }",
        "{ \"zone\": [] }",
        "{\n \"zone\": { \"z1\": { \"reign\": 1 } } }",
        "{\n \"zone\": {\n \"z 1\": { \"region\": \"tunis\" } } }",
        "{ \"zone\": { \"z1\": null, \"z1\": null } }",
        "{ \"search\": { \"portal\": { \"classes\": [] } } }",
    ];
    let mut found: Vec<String> = texts
        .map(|text| parse(text).expect_err(text).to_string())
        .to_vec();
    let text = r#"{ "search": {
        "portal": { "classes": ["fast"] },
        "stock": { "classes": ["slow"] }
    } }"#;
    let document = parse(text).expect("a readable document");
    found.extend(
        document
            .validate(&ConfigState::default())
            .expect_err("no classes"),
    );
    insta::assert_snapshot!(found.join("\n"), @r#"
    doc.jsonc:1: key "zones": expected one of class, search, plan, customer, zone, upstream, snapshot, host, found an unknown key
    doc.jsonc:1: key "zone": expected an object, found a list
    doc.jsonc:2: key "zone.z1": expected a valid zone, found unknown field `reign`, expected `region` or `state`
    doc.jsonc:3: zone "z 1": key "name": expected letters, digits or any of "._~-", found z 1
    doc.jsonc:1: key "zone.z1": expected one entry, found the key twice
    doc.jsonc:1: search "portal": key "classes": expected at least one class, found none
    doc.jsonc:2: search "portal": key "classes": class "fast" does not exist
    doc.jsonc:3: search "stock": key "classes": class "slow" does not exist
    "#);
}
