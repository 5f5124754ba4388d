//! Guards against marks that reach each host from one sender, which does not
//! fit thousands of hosts, and against hosts left out when one that passes
//! marks on has failed.

mod fake;

use std::time::Duration;

use cornelwinch_host::PeerMessage;
use fake::World;

const HOSTS: usize = 40;
/// Most messages that one host sends for a mark: its part of two trees of
/// fan-out 8. The first sender sends 11: one tree and three relays' messages.
const SENT: usize = 16;
/// Most messages that one host gets: one from each tree; the root of a tree gets
/// the order to pass the mark on in place of one.
const RECEIVED: usize = 2;

fn started() -> World {
    let mut world = World::with_hosts(1, HOSTS);
    world.configure_search(&["u-a", "u-b"]);
    world.run(Duration::from_secs(12));
    world.check_spread();
    world
}

fn check_counts(world: &World, case: &str) {
    let highest = |counts: &[usize]| counts.iter().copied().max().unwrap_or(0);
    let (sent, received) = (highest(&world.marks_sent), highest(&world.marks_received));
    let total: usize = world.marks_received.iter().sum();
    println!("{case}: total={total} sent={sent} received={received}");
    assert!(sent <= SENT, "{case}: {:?}", world.marks_sent);
    assert!(received <= RECEIVED, "{case}: {:?}", world.marks_received);
}

/// All upstreams crash with the request, and after the second crash every host
/// of both zones refuses it.
#[test]
fn quarantine_reaches_all() {
    for paused in [None, Some(4), Some(9)] {
        let mut world = started();
        paused.into_iter().for_each(|node| world.pause(node));
        world.counted = |msg| matches!(msg, PeerMessage::Quarantine { .. });
        world.query(0, "portal", "token");
        world.run(Duration::from_secs(1));
        assert_eq!(world.legs, 2, "paused={paused:?}");
        check_counts(&world, "quarantine");
        for node in (0..HOSTS).filter(|node| Some(*node) != paused) {
            world.query(node, "portal", "token");
        }
        world.run(Duration::from_secs(1));
        assert_eq!(world.legs, 2, "paused={paused:?}");
    }
}

/// A watcher passes the platform's list on inside its zone.
#[test]
fn leaving_reaches_zone() {
    for paused in [None, Some(4), Some(9)] {
        let mut world = started();
        paused.into_iter().for_each(|node| world.pause(node));
        world.counted = |msg| matches!(msg, PeerMessage::UpstreamsLeaving { .. });
        world.leaving = vec!["u-a".into()];
        world.run(Duration::from_millis(2_200));
        let reached = world.marks_received.iter().filter(|count| **count > 0);
        // The first watcher of a zone to read the list gets no message itself.
        let senders = 2 + usize::from(paused.is_some());
        assert!(reached.count() >= HOSTS - senders, "paused={paused:?}");
        // Both watchers of a zone may spread the list.
        let sent = world.marks_sent.iter().max();
        assert!(sent <= Some(&(2 * SENT)), "{:?}", world.marks_sent);
    }
}
