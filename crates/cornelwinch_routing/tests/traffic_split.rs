//! Division of requests by the weights of a split.

use cornelwinch_routing::WeightedRoundRobin;
use cornelwinch_types::Name;

/// Guards against requests that all go to one part after the weights or the parts changed, because
/// the credits of the old ones are kept.
#[test]
fn changed_split_applies_at_once() {
    let parts =
        |first: &str, a, b| -> Vec<(Name, u32)> { vec![(first.into(), a), ("b".into(), b)] };
    for requests in [1, 3, 700, 6_000] {
        let mut round_robin = WeightedRoundRobin::default();
        for _ in 0..requests {
            round_robin.next(&parts("a", 9_000, 1_000));
        }
        for first in ["a", "c"] {
            let changed = parts(first, 1, 1);
            let picks: Vec<Name> = (0..20).filter_map(|_| round_robin.next(&changed)).collect();
            let of_b = picks.iter().filter(|name| &***name == "b").count();
            assert_eq!(of_b, 10, "after {requests} requests");
        }
    }
}
