//! Lookup of organisations by the keys of their callers.

use std::time::Instant;

use cornelwinch_routing::{IndexKey, KeyDigest, Organisation, OrganisationTable};

fn organisation(name: &str, keys: &[&str]) -> Organisation {
    Organisation {
        name: name.into(),
        keys: keys.iter().map(|k| KeyDigest::of(k.as_bytes())).collect(),
        priority: None,
        cap: None,
    }
}

fn owner<'a>(table: &'a OrganisationTable, key: &str) -> Option<&'a str> {
    table.find(key.as_bytes()).map(|found| &*found.name)
}

/// Guards against a key that is accepted for the wrong organisation, and against a faulty entry
/// that affects others.
#[test]
fn ambiguous_entries_affect_only_themselves() {
    let all = [
        organisation("a", &["k-1", "k-1", "both"]),
        organisation("b", &["k-2", "both"]),
        organisation("c", &["k-3"]),
        organisation("c", &["k-4"]),
        organisation("d", &[""]),
    ];
    let table = OrganisationTable::new(&all, &IndexKey::new([3; 32]));
    let long = "k".repeat(5_000);
    let found = ["k-1", "k-2", "both", "k-3", "k-4", "", "k-", &long].map(|k| owner(&table, k));
    let expected = [Some("a"), Some("b"), None, None, None, None, None, None];
    assert_eq!(found, expected);
    assert_eq!((table.shared_key_count(), table.omitted_count()), (1, 2));
    let old = OrganisationTable::new(&all[..1], &IndexKey::new([3; 32]));
    // `both` was accepted for `a`.
    assert_eq!(table.key_changes(&old), (2, 1));
}

/// Guards against a table that loses keys or exceeds its size with many of them. Prints the time
/// of a lookup and of a new version.
#[test]
fn many_keys_are_found() {
    for count in [84, 10_000, 50_000, 140_000] {
        let all: Vec<Organisation> = (0..count)
            .map(|n| organisation(&format!("o{:05}", n / 10), &[&format!("key-{n}")]))
            .collect::<Vec<_>>()
            .chunk_by(|a, b| a.name == b.name)
            .map(|group| Organisation {
                keys: group.iter().flat_map(|o| o.keys.clone()).collect(),
                ..group[0].clone()
            })
            .collect();
        let start = Instant::now();
        let table = OrganisationTable::new(&all, &IndexKey::new([9; 32]));
        let build = start.elapsed();
        let accepted = table.key_count();
        assert_eq!(accepted, count.min(131_070));
        let keys: Vec<String> = (0..accepted).map(|n| format!("key-{n}")).collect();
        let start = Instant::now();
        for (n, key) in keys.iter().enumerate() {
            assert_eq!(owner(&table, key), Some(&*format!("o{:05}", n / 10)));
        }
        let lookup = start.elapsed() / u32::try_from(keys.len()).unwrap();
        let start = Instant::now();
        assert_eq!(table.key_changes(&table), (0, 0));
        let compare = start.elapsed();
        println!(
            "keys={count} accepted={accepted} build={build:?} compare={compare:?} lookup={lookup:?}"
        );
        assert_eq!(owner(&table, "key-x"), None);
    }
}
