//! Detection of dead hosts within a zone, and of nothing else.

mod common;

use std::time::Duration;

use common::{Net, is_change, iterations, slow_iterations};
use cornelwinch_types::{MemberState, Revision};

const SECOND: Duration = Duration::from_secs(1);

/// Guards against dead hosts that keep their upstreams, and against hosts that
/// never learn of each other.
#[test]
fn dead_host_is_detected() {
    for seed in 0..slow_iterations() {
        let mut net = Net::settled(seed, &["a"; 12]);
        net.loss = 0.01;
        let since = net.now;
        net.stop(5);
        net.run(15 * SECOND);
        for by in (0..12).filter(|by| *by != 5) {
            assert_eq!(
                net.state(by, 5),
                Some(MemberState::Dead),
                "seed={seed} by={by}"
            );
        }
        let name = net.nodes[5].member.name.clone();
        let other_deaths = net.logged(since, 5, |action| {
            matches!(action, cornelwinch_membership::MembershipAction::Changed(member)
                if member.state == MemberState::Dead && member.name != name)
        });
        assert!(other_deaths.is_empty(), "seed={seed} {other_deaths:?}");
    }
}

/// Guards against a host that nobody probes for long after it joined.
#[test]
fn new_host_is_probed_soon() {
    let mut net = Net::settled(1, &["a"; 60]);
    for i in 1..8 {
        net.stop(i);
        net.run(15 * SECOND);
        net.nodes[i].member.name = format!("new-{i}").into();
        net.start(i);
        net.run(2 * SECOND);
        assert_eq!(net.state(0, i), Some(MemberState::Alive), "i={i}");
        net.stop(i);
        net.run(9 * SECOND);
        assert_eq!(net.state(0, i), Some(MemberState::Dead), "i={i}");
    }
}

/// Guards against a live host declared dead because datagrams are lost.
#[test]
fn loss_kills_nobody() {
    for seed in 0..slow_iterations() {
        let mut net = Net::settled(seed, &["a"; 30]);
        net.loss = 0.2;
        let since = net.now;
        net.run(60 * SECOND);
        let deaths: Vec<_> = (0..30)
            .flat_map(|i| {
                let name = net.nodes[i].member.name.clone();
                net.logged(since, 30, move |action| {
                    is_change(action, &name, MemberState::Dead)
                })
            })
            .collect();
        assert!(deaths.is_empty(), "seed={seed} {deaths:?}");
    }
}

/// Guards against a broken path between two hosts that counts as a death.
#[test]
fn indirect_probe_bypasses_broken_path() {
    for seed in 0..slow_iterations() {
        let mut net = Net::settled(seed, &["a", "a", "a", "b"]);
        net.broken = vec![(1, 2)];
        let since = net.now;
        net.run(30 * SECOND);
        let name = net.nodes[2].member.name.clone();
        let suspected = net.logged(since, 9, |action| {
            is_change(action, &name, MemberState::Suspect)
        });
        assert!(suspected.is_empty(), "seed={seed} {suspected:?}");
    }
}

/// Guards against a restarted host that has to wait until its old entry has
/// timed out.
#[test]
fn restart_replaces_entry() {
    for seed in 0..iterations() {
        let mut net = Net::settled(seed, &["a", "a", "a"]);
        net.stop(1);
        let outage = SECOND.mul_f64(net.rng.f64() * 8.0);
        net.run(outage);
        net.start(1);
        net.run(2 * SECOND);
        let member = net.nodes[1].member.clone();
        for by in [0, 2] {
            let members = net.nodes[by]
                .membership
                .as_ref()
                .expect("process runs")
                .members();
            assert!(members.contains(&member), "seed={seed} by={by} {members:?}");
        }
        net.check_complete(&format!("seed={seed}"));
    }
}

/// Guards against a restarted host without seeds that stays unknown, and against
/// two hosts that ask each other for their records without end.
#[test]
fn restart_without_seeds() {
    for seed in 0..iterations() {
        let mut net = Net::settled(seed, &["a", "a"]);
        net.cfg.seeds.clear();
        net.start(1);
        let before = net.nodes[0].datagrams + net.nodes[1].datagrams;
        net.run(3 * SECOND);
        let sent = net.nodes[0].datagrams + net.nodes[1].datagrams - before;
        assert!(sent < 100, "seed={seed} sent={sent}");
        net.check_complete(&format!("seed={seed}"));
    }
}

/// Guards against a configuration that spreads unnoticed.
#[test]
fn revision_is_reported() {
    let mut net = Net::settled(1, &["a", "a"]);
    let since = net.now;
    net.turn(0, |membership, _, _| membership.set_revision(Revision(7)));
    net.run(3 * SECOND);
    let reports = net.logged(since, 0, |action| {
        matches!(
            action,
            cornelwinch_membership::MembershipAction::PeerRevision {
                revision: Revision(7),
                ..
            }
        )
    });
    assert!(!reports.is_empty());
    net.turn(1, |membership, _, _| membership.set_revision(Revision(7)));
    let since = net.now;
    net.run(5 * SECOND);
    let repeated = net.logged(since, 0, |action| {
        matches!(
            action,
            cornelwinch_membership::MembershipAction::PeerRevision { .. }
        )
    });
    assert!(
        repeated.is_empty(),
        "an equal revision was reported again: {repeated:?}"
    );
}
