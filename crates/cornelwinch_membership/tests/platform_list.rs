//! The platform's list adds hosts and marks, and removes nobody.

mod common;

use std::time::Duration;

use common::{Net, iterations};
use cornelwinch_membership::{ListedHost, Membership};
use cornelwinch_types::MemberState;

const SECOND: Duration = Duration::from_secs(1);

fn list(net: &Net, leaving: Option<usize>) -> Vec<ListedHost> {
    let hosts = net.nodes.iter().enumerate().map(|(i, node)| ListedHost {
        name: node.member.name.clone(),
        zone: node.member.zone.clone(),
        peer: node.member.peer,
        gossip: node.member.gossip,
        leaving: leaving == Some(i),
    });
    hosts.collect()
}

fn give(net: &mut Net, i: usize, hosts: &[ListedHost]) {
    net.turn(i, |membership, now, out| {
        membership.on_list(now, hosts, out);
    });
}

/// Guards against a platform outage or a stale list that removes hosts.
#[test]
fn short_list_removes_nobody() {
    for seed in 0..iterations() {
        let mut net = Net::settled(seed, &["a", "a", "b", "b"]);
        let mut hosts = list(&net, None);
        hosts.truncate(net.rng.usize(..4));
        (0..4).for_each(|i| give(&mut net, i, &hosts));
        net.run(10 * SECOND);
        net.check_complete(&format!("seed={seed} listed={}", hosts.len()));
    }
}

/// Guards against hosts that never find each other when only the platform knows them.
#[test]
fn list_seeds_membership() {
    let mut net = Net::new(1, &["a", "a", "b"]);
    net.cfg.seeds.clear();
    (0..3).for_each(|i| net.start(i));
    let hosts = list(&net, None);
    (0..3).for_each(|i| give(&mut net, i, &hosts));
    net.run(5 * SECOND);
    net.check_complete("listed hosts");
}

/// Guards against a marked host that keeps its upstreams on hosts without the
/// newest list, against a mark that a stale list sets again, and against a host
/// that stays marked after its return.
#[test]
fn leaving_mark_spreads_and_ends() {
    for seed in 0..iterations() {
        let mut net = Net::settled(seed, &["a", "a", "a", "b", "b"]);
        let (marked, reader) = (net.rng.usize(..5), net.rng.usize(..5));
        let (before, during) = (list(&net, None), list(&net, Some(marked)));
        (0..5).for_each(|i| give(&mut net, i, &before));
        give(&mut net, reader, &during);
        let context = format!("seed={seed} marked={marked} reader={reader}");
        assert_eq!(
            net.state(reader, marked),
            Some(MemberState::Leaving),
            "{context}"
        );
        net.run(3 * SECOND);
        for by in 0..5 {
            assert_eq!(
                net.state(by, marked),
                Some(MemberState::Leaving),
                "{context} by={by}"
            );
        }
        for _ in 0..5 {
            net.run(4 * SECOND);
            (0..5)
                .filter(|i| *i != reader)
                .for_each(|i| give(&mut net, i, &before));
            give(
                &mut net,
                reader,
                if reader == marked { &before } else { &during },
            );
        }
        net.run(3 * SECOND);
        net.check_complete(&context);
    }
}

/// Guards against a leaving host that gets new work again because it refutes a
/// suspicion, and against suspicion time for a host that has left.
#[test]
fn leave_is_final() {
    for seed in 0..iterations() {
        let mut net = Net::settled(seed, &["a", "a", "a", "b"]);
        net.turn(1, Membership::leave);
        net.run(2 * SECOND);
        net.pause(1);
        let pause = SECOND.mul_f64(net.rng.f64() * 6.0);
        net.run(pause);
        net.resume(1);
        let since = net.now;
        net.run(10 * SECOND);
        for by in 0..4 {
            assert_eq!(
                net.state(by, 1),
                Some(MemberState::Leaving),
                "seed={seed} by={by} pause={pause:?}"
            );
        }
        let name = net.nodes[1].member.name.clone();
        let returned = net.logged(since, 9, |action| {
            common::is_change(action, &name, MemberState::Alive)
        });
        assert!(returned.is_empty(), "seed={seed} {returned:?}");
        net.stop(1);
        net.run(8 * SECOND);
        for by in [0, 2, 3] {
            assert_eq!(
                net.state(by, 1),
                Some(MemberState::Dead),
                "seed={seed} by={by}"
            );
        }
    }
}
