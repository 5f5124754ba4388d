//! Configuration converges and never reverts, in whatever order it arrives.

use std::env;

use cornelwinch_config::{ConfigState, Entry, EntryValue, Kind, PlanSpec, ServiceState, ZoneSpec};
use cornelwinch_types::Revision;

fn iterations() -> u64 {
    env::var("CORNELWINCH_ITERATIONS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(200)
}

/// A plan or zone entry; about one in eight breaks a rule or is deleted.
fn entry(rng: &mut fastrand::Rng, revision: u64) -> Entry {
    let rate_per_s = if rng.u8(..8) == 0 { -1.0 } else { 5.0 };
    let plan = PlanSpec {
        rate_per_s,
        burst: 1,
        concurrency: 1,
        priority: 0,
        searches: vec![],
    };
    let zone = ZoneSpec {
        region: "tunis".into(),
        state: ServiceState::Out,
    };
    let value = match rng.u8(..8) {
        0 => EntryValue::Plan(None),
        1..4 => EntryValue::Zone(Some(zone)),
        _ => EntryValue::Plan(Some(plan)),
    };
    let name = format!("n{}", rng.u8(..6)).into();
    Entry {
        name,
        revision: Revision(revision),
        change: format!("c{revision}").into(),
        value,
    }
}

fn is_valid(entry: &Entry) -> bool {
    !matches!(&entry.value, EntryValue::Plan(Some(plan)) if plan.rate_per_s < 0.0)
}

/// Guards against a reverted entry, a lost update of a name that occurs twice
/// in one batch, and a table whose order breaks the binary search.
#[test]
fn any_order_converges() {
    for seed in 0..iterations() {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut history: Vec<Entry> = (1..=40).map(|i| entry(&mut rng, i)).collect();
        let mut expected: Vec<Entry> = Vec::new();
        for entry in history.iter().filter(|entry| is_valid(entry)) {
            expected.retain(|old| (old.kind(), &old.name) != (entry.kind(), &entry.name));
            expected.push(entry.clone());
        }
        // Every entry arrives at least once, in an arbitrary order.
        let again: Vec<Entry> = history.iter().filter(|_| rng.bool()).cloned().collect();
        history.extend(again);
        rng.shuffle(&mut history);
        let mut state = ConfigState::default();
        while !history.is_empty() {
            let batch = history.split_off(history.len() - rng.usize(1..=history.len()));
            let (held, before) = (state.clone(), state.revision());
            let applied = state.apply(batch, Revision(rng.u64(..=40)));
            assert!(state.revision() >= before, "seed {seed}");
            for entry in &applied {
                let old = held
                    .entry(entry.kind(), &entry.name)
                    .map(|old| old.revision);
                assert!(
                    old < Some(entry.revision),
                    "seed {seed}: {old:?} before {entry:?}"
                );
            }
            for old in held.entries() {
                let new = state
                    .entry(old.kind(), &old.name)
                    .expect("an entry vanished");
                assert!(
                    new.revision >= old.revision,
                    "seed {seed}: {old:?} became {new:?}"
                );
            }
        }
        expected.sort_by_key(|entry| entry.revision);
        assert_eq!(state.entries_after(Revision(0)), expected, "seed {seed}");
        let after: Vec<Entry> = expected
            .iter()
            .filter(|entry| entry.revision > Revision(20))
            .cloned()
            .collect();
        assert_eq!(state.entries_after(Revision(20)), after, "seed {seed}");
        assert_eq!(state.violations(), 0, "seed {seed}");
    }
}

/// Guards against a daemon that drops a good value for a broken one, or that
/// keeps reporting an entry after it was repaired.
#[test]
fn invalid_keeps_last_good() {
    let plan = |revision, rate_per_s| Entry {
        name: "gold".into(),
        revision: Revision(revision),
        change: "c".into(),
        value: EntryValue::Plan(Some(PlanSpec {
            rate_per_s,
            burst: 1,
            concurrency: 1,
            priority: 0,
            searches: vec![],
        })),
    };
    let mut state = ConfigState::default();
    assert!(!state.is_ready());
    state.apply(vec![plan(1, 5.0)], Revision(1));
    assert!(state.apply(vec![plan(2, -5.0)], Revision(2)).is_empty());
    assert_eq!(state.plan("gold").map(|plan| plan.rate_per_s), Some(5.0));
    assert_eq!(state.revision(), Revision(2));
    assert_eq!(state.rejected()[0].revision, Revision(2));
    state.apply(vec![plan(3, 7.0)], Revision(3));
    assert!(state.rejected().is_empty() && state.is_ready());
    assert_eq!(state.entries_of(Kind::Plan).len(), 1);
}
