//! Times of the hosts that follow the store and of those that they feed.

use std::time::Duration;

use cornelwinch_routing::SyncTiming;

fn timing(stable_ms: u64, bound_ms: Option<u64>) -> SyncTiming {
    SyncTiming::new(
        Duration::from_millis(stable_ms),
        bound_ms.map(Duration::from_millis),
    )
}

/// Guards against a chain of waits that exceeds the bound less its reserve of a tenth, against
/// calls that cost more than before, and against a source that is refused between two proofs.
#[test]
fn chain_stays_within_the_bound() {
    for stable_ms in [3_000, 4_000, 5_000, 8_000] {
        let before = timing(stable_ms, None);
        for bound_ms in [1_000, 1_500, 2_000, 3_000, 4_000, 5_000, 10_000] {
            let timing = timing(stable_ms, Some(bound_ms));
            let case = format!("stable_ms {stable_ms}, bound {bound_ms}: {timing:?}");
            let limit = Duration::from_millis(bound_ms * 9 / 10);
            assert!(timing.worst_delay() <= limit, "{case}");
            let cost = timing.store_cost_per_s();
            let may_cost_more = bound_ms * 4 < stable_ms;
            let is_cheap = cost <= before.store_cost_per_s() + 1e-6;
            assert!(is_cheap || may_cost_more, "{case}: {cost}");
            if let Some(probe) = timing.probe {
                assert!(probe.after + probe.timeout <= timing.max_age, "{case}");
                assert!(timing.watch_wait <= before.watch_wait * 2, "{case}");
            }
        }
    }
}

/// Guards against other times, and more calls, where no bound requires them.
#[test]
fn wide_bounds_change_nothing() {
    let before = timing(4_000, None);
    assert_eq!(before.watch_wait, Duration::from_millis(2_800));
    assert_eq!(before.max_age, Duration::from_millis(3_700));
    assert_eq!(before.probe, None);
    assert_eq!(timing(4_000, Some(5_000)), before);
}
