//! Shares of hosts that come and leave.

use std::time::{Duration, Instant};

use cornelwinch_routing::{HostEntry, HostShares};

const SECOND: Duration = Duration::from_secs(1);

fn hosts(numbers: std::ops::Range<usize>) -> Vec<HostEntry> {
    let host = |n: usize| HostEntry {
        name: format!("h{n}").into(),
        zone: "z1".into(),
        peer: "127.0.0.1:9000".parse().unwrap(),
    };
    numbers.map(host).collect()
}

/// Guards against shares that add up to more than the limit while a host is removed from the list,
/// replaced by a new one and cannot learn of it, and against shares that never grow again.
#[test]
fn shares_grow_after_the_removed_one_ended() {
    // The removed host hears of nothing after the removal, or of an old list for 30 s.
    for last_confirmation in [0, 30] {
        let start = Instant::now();
        let mut all: Vec<HostShares> = (0..5).map(|_| HostShares::default()).collect();
        for shares in &mut all[..4] {
            shares.confirm(start);
            shares.record_list(start, &hosts(0..4));
        }
        let mut end_of_removed = None;
        for s in 0..7_200 {
            let now = start + SECOND * s;
            for shares in &mut all[1..4] {
                shares.confirm(now);
                shares.record_list(
                    now,
                    &hosts(usize::from(s >= 2)..4 + usize::from(s >= 1_000)),
                );
            }
            if s == 7_000 {
                all[4].record_list(now, &hosts(1..5));
                all[4].confirm(now);
            }
            if s <= last_confirmation {
                all[0].confirm(now);
            }
            let sum: f64 = all
                .iter()
                .filter_map(|shares| shares.count(now))
                .map(|count| 1.0 / count as f64)
                .sum();
            assert!(sum <= 1.0 + 1e-9, "{sum} after {s} s");
            if all[0].count(now).is_none() {
                end_of_removed.get_or_insert(s);
            }
        }
        assert!(end_of_removed.is_some_and(|s| s > 1_000));
        assert_eq!(all[1].count(start + SECOND * 7_199), Some(4));
    }
}

/// Guards against a share that shrinks late, one that is forgotten in a short outage, and one that
/// is still used after the host was removed.
#[test]
fn shares_shrink_at_once() {
    let start = Instant::now();
    let mut shares = HostShares::default();
    shares.record_list(start, &hosts(0..4));
    assert_eq!(shares.count(start), None);
    shares.confirm(start);
    shares.record_list(start, &hosts(0..5));
    assert_eq!(shares.count(start + SECOND * 600), Some(5));
    assert!(shares.record_removal());
    assert_eq!(shares.count(start), None);
}
