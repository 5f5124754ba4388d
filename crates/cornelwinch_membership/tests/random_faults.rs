//! Random sequences of faults, after which every host agrees again.

mod common;

use std::time::Duration;

use common::{Net, iterations};
use cornelwinch_types::MemberState;

const SECOND: Duration = Duration::from_secs(1);

fn fault(net: &mut Net, context: &str) -> String {
    let i = net.rng.usize(..net.nodes.len());
    let running = net.nodes[i].membership.is_some();
    match net.rng.u8(..8) {
        0 if running => net.stop(i),
        0 | 1 => net.start(i),
        2 => net.pause(i),
        3 => net.resume(i),
        4 => net.nodes[i].side = net.rng.u8(..2),
        5 => {
            let (zone, side) = (net.nodes[i].member.zone.clone(), net.rng.u8(..2));
            net.nodes
                .iter_mut()
                .filter(|node| node.member.zone == zone)
                .for_each(|node| node.side = side);
        }
        6 => net.loss = [0.0, 0.01, 0.1, 0.3][net.rng.usize(..4)],
        _ => {
            let other = net.rng.usize(..net.nodes.len());
            net.broken = vec![(i, other)];
        }
    }
    format!("{context} {i}")
}

/// Guards against states from which the hosts do not recover without a restart:
/// hosts missing or wrongly dead, zones unreachable, hosts unconfirmed, and
/// datagrams that go on without cause. The assertions of the state machine run
/// all the time.
#[test]
fn hosts_agree_after_faults() {
    for seed in 0..iterations() {
        let mut rng = fastrand::Rng::with_seed(seed);
        let names = ["a", "b", "c", "d"];
        let zones: Vec<&str> = (0..rng.usize(2..12))
            .map(|_| names[rng.usize(..4)])
            .collect();
        let mut net = Net::settled(seed, &zones);
        let mut context = format!("seed={seed} zones={zones:?} faults on");
        for _ in 0..25 {
            context = fault(&mut net, &context);
            let time = Duration::from_millis(net.rng.u64(10..6_000));
            net.run(time);
        }
        net.loss = 0.0;
        net.broken.clear();
        for i in 0..zones.len() {
            net.nodes[i].side = 0;
            net.resume(i);
            if net.nodes[i].membership.is_none() {
                net.start(i);
            }
        }
        net.run(60 * SECOND);
        net.check_complete(&context);
        let datagrams: Vec<u64> = net.nodes.iter().map(|node| node.datagrams).collect();
        net.run(10 * SECOND);
        for (i, node) in net.nodes.iter().enumerate() {
            let membership = node.membership.as_ref().expect("process runs");
            assert!(membership.is_confirmed(), "{context} i={i}");
            assert!(
                names.iter().all(|zone| membership.is_zone_reachable(zone)),
                "{context} i={i}"
            );
            let states = membership
                .members()
                .iter()
                .all(|member| member.state == MemberState::Alive);
            assert!(states, "{context} i={i} {:?}", membership.members());
            let sent = node.datagrams - datagrams[i];
            assert!(sent <= 150, "{context} i={i} sent={sent} in 10 s");
        }
    }
}
