//! Members and reachability across zones.

mod common;

use std::time::Duration;

use common::{Net, slow_iterations};
use cornelwinch_membership::Membership;
use cornelwinch_types::{Member, MemberState};

const SECOND: Duration = Duration::from_secs(1);

const ZONES: [&str; 9] = ["a", "a", "a", "a", "b", "b", "b", "c", "d"];

fn membership(net: &Net, i: usize) -> &Membership {
    net.nodes[i].membership.as_ref().expect("process runs")
}

/// Guards against a partitioned zone whose hosts are declared dead, against
/// updates of the partition that stay unknown after it, and against a zone that
/// needs a restart to come back.
#[test]
fn partitioned_zone_returns() {
    for seed in 0..slow_iterations() {
        let mut net = Net::settled(seed, &ZONES);
        net.loss = 0.01;
        let cut = ["b", "c"][net.rng.usize(..2)];
        for (node, zone) in net.nodes.iter_mut().zip(ZONES) {
            node.side = u8::from(zone == cut);
        }
        net.run(20 * SECOND);
        for (i, own) in ZONES.iter().enumerate() {
            for zone in ["a", "b", "c", "d"] {
                let reachable = (zone == cut) == (*own == cut);
                let context = format!("seed={seed} cut={cut} by={i} zone={zone}");
                assert_eq!(
                    membership(&net, i).is_zone_reachable(zone),
                    reachable,
                    "{context}"
                );
            }
            let dead = membership(&net, i)
                .members()
                .iter()
                .find(|member| member.state == MemberState::Dead);
            assert_eq!(dead, None, "seed={seed} cut={cut} by={i}");
        }
        net.start(1);
        net.stop(2);
        net.start(4);
        net.run(40 * SECOND);
        net.nodes.iter_mut().for_each(|node| node.side = 0);
        net.run(30 * SECOND);
        net.check_complete(&format!("seed={seed} cut={cut}"));
        for i in (0..ZONES.len()).filter(|i| *i != 2) {
            for other in [1, 4] {
                let restarted = &net.nodes[other].member;
                assert!(
                    membership(&net, i).members().contains(restarted),
                    "seed={seed} by={i} other={other}"
                );
            }
            let all = ["a", "b", "c", "d"]
                .iter()
                .all(|zone| membership(&net, i).is_zone_reachable(zone));
            assert!(all, "seed={seed} cut={cut} by={i}");
        }
    }
}

/// Guards against a zone that loses contact with the others when the hosts that
/// exchange updates crash together, and against their deaths staying unknown
/// elsewhere.
#[test]
fn crashed_delegates_are_replaced() {
    for seed in 0..slow_iterations() {
        let zones: Vec<&str> = [["a"; 8], ["b"; 8]].concat();
        let mut net = Net::settled(seed, &zones);
        let mut stopped: Vec<usize> = (1..8).collect();
        net.rng.shuffle(&mut stopped);
        stopped[..5].iter().for_each(|i| net.stop(*i));
        net.run(40 * SECOND);
        net.check_complete(&format!("seed={seed}"));
        for i in (8..16).chain([0]) {
            let reachable = ["a", "b"]
                .iter()
                .all(|zone| membership(&net, i).is_zone_reachable(zone));
            assert!(reachable, "seed={seed} by={i}");
        }
    }
}

/// Guards against two sides of a zone that each hold the other for dead and
/// never contact it again.
#[test]
fn split_zone_merges() {
    for seed in 0..slow_iterations() {
        let mut net = Net::settled(seed, &["a"; 6]);
        (0..3).for_each(|i| net.nodes[i].side = 1);
        net.run(30 * SECOND);
        assert_eq!(net.state(0, 5), Some(MemberState::Dead), "seed={seed}");
        (0..3).for_each(|i| net.nodes[i].side = 0);
        net.run(40 * SECOND);
        net.check_complete(&format!("seed={seed}"));
    }
}

/// Guards against a replaced fleet: the new host of a zone whose only host
/// crashed has to clear the old entry.
#[test]
fn replacement_clears_lone_host() {
    for seed in 0..slow_iterations() {
        let mut net = Net::new(seed, &["a", "a", "b", "b"]);
        (0..3).for_each(|i| net.start(i));
        net.run(10 * SECOND);
        net.stop(2);
        net.run(15 * SECOND);
        assert!(!membership(&net, 0).is_zone_reachable("b"), "seed={seed}");
        net.start(3);
        net.run(20 * SECOND);
        net.check_complete(&format!("seed={seed}"));
        let old: Vec<Member> = membership(&net, 0).members().to_vec();
        assert_eq!(
            net.state(0, 2),
            Some(MemberState::Dead),
            "seed={seed} {old:?}"
        );
        assert!(membership(&net, 0).is_zone_reachable("b"), "seed={seed}");
    }
}
