//! Guards against a configuration that reverts, loses an entry, does not reach
//! a host, or is out of date on a host that serves, whatever fails meanwhile.

mod fake;

use std::time::Duration;

use cornelwinch_config::Entry;
use cornelwinch_host::{ConfigUpdate, RelaySpan};
use cornelwinch_types::Revision;
use fake::{Outage, World};

/// Time in which every host has to hold a change once all faults are over.
const SPREAD: Duration = Duration::from_secs(3);

/// An iteration simulates about 30 s of 12 hosts, so that the common count is
/// divided by this.
const COST: u64 = 10;

fn iterations() -> u64 {
    let count = std::env::var("CORNELWINCH_ITERATIONS").map_or(200, |s| s.parse().unwrap());
    (count / COST).max(1)
}

/// Hosts that know each other and hold a first configuration.
fn started(seed: u64) -> World {
    let mut world = World::new(seed);
    world.write();
    world.run(Duration::from_secs(8));
    world.check_spread();
    world
}

/// Starts or ends one random fault.
fn disturb(world: &mut World) {
    let host = world.rng.usize(..world.nodes.len());
    let coin = world.rng.bool();
    match world.rng.u32(..10) {
        0 => world.set_outage(if coin { Outage::Fails } else { Outage::Silent }),
        1 => world.set_outage(Outage::None),
        2 => world.loss = if coin { 0.05 } else { 0.3 },
        3 => world.set_cut(coin),
        4 => world.stop(host),
        5 => world.start(host),
        6 => world.pause(host),
        7 => world.resume(host),
        _ => {
            // Writers that race for few names, at one moment.
            for _ in 0..world.rng.u32(1..5) {
                world.write();
            }
        }
    }
    let pause = world.rng.u64(1..2_000);
    world.run(Duration::from_millis(pause));
}

#[test]
fn config_survives_faults() {
    for seed in 0..iterations() {
        let mut world = started(seed);
        for _ in 0..world.rng.u32(5..25) {
            disturb(&mut world);
        }
        world.end_faults();
        world.write();
        world.run(SPREAD);
        world.check_spread();
    }
}

fn update(after: u64, entries: Vec<Entry>, relay: Option<RelaySpan>) -> ConfigUpdate {
    ConfigUpdate {
        after: Revision(after),
        through: entries[entries.len() - 1].revision,
        entries,
        relay,
    }
}

/// A host that holds a later entry already must still pass it on: the message
/// says that it is complete, so that a receiver without the entry would never
/// ask for it.
#[test]
fn relay_is_complete() {
    let mut world = started(1);
    let held = world.history.len() as u64;
    let entries = world.write_unseen(2);
    world.deliver_update(0, update(held + 1, vec![entries[1].clone()], None));
    let zone = world.zone_names(0);
    let span = RelaySpan {
        first: zone[0].clone(),
        last: zone[zone.len() - 1].clone(),
    };
    world.deliver_update(0, update(held, entries, Some(span)));
    world.run(SPREAD);
    world.check_spread();
}

/// A peer that restarts in an outage may have lost the revision that it
/// announced; a starting host that waits for it must not wait for ever.
#[test]
fn lost_revision_ends_wait() {
    let mut world = started(2);
    world.set_outage(Outage::Fails);
    world.set_deaf(true);
    let held = world.history.len() as u64;
    let entries = world.write_unseen(1);
    world.deliver_update(0, update(held, entries, None));
    world.stop(2);
    world.start(2);
    world.run(Duration::from_secs(2));
    world.stop(0);
    world.start(0);
    world.set_deaf(false);
    world.run(Duration::from_secs(10));
    assert!(world.serves(0) && world.serves(2));
}

/// Guards against watches that hang: the connections of a platform that was
/// replaced give no sign, and every watcher waited 22 s for its answer.
#[test]
fn lost_watches_end() {
    let mut world = started(3);
    world.set_outage(Outage::Silent);
    world.run(Duration::from_millis(100));
    world.set_outage(Outage::None);
    world.write();
    world.run(SPREAD);
    world.check_spread();
}
