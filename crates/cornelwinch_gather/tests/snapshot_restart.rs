//! Guards against queries that fail or mix snapshots while upstreams change
//! from one snapshot to the next.

mod common;

use common::{UNREACHABLE, World, answer, config, ms, snapshot};
use cornelwinch_types::{LegResult, Outcome, Refusal, SnapshotId};

fn missing() -> LegResult {
    LegResult::Refused(Refusal::SnapshotMissing {
        held: vec![SnapshotId(1)],
    })
}

#[test]
fn replica_without_the_snapshot_is_avoided() {
    let mut world = World::new(config());
    let (mut gather, legs) = world.start("atlas", &[snapshot(2, 1, 2)]);
    let other = world.result(&mut gather, &legs[0], missing());
    assert_ne!(other[0].upstream, legs[0].upstream);
    world.result(&mut gather, &other[0], answer(&other[0]));
    assert_eq!(world.finished().expect("answered").coverage, 1.0);
    for _ in 0..20 {
        let (_gather, legs) = world.start("atlas", &[snapshot(2, 1, 2)]);
        assert_eq!(legs[0].upstream, other[0].upstream);
    }
    world.now += ms(2000);
    let again = (0..20)
        .any(|_| world.start("atlas", &[snapshot(2, 1, 2)]).1[0].upstream != other[0].upstream);
    assert!(again, "the mark of a missing snapshot does not expire");
}

#[test]
fn query_restarts_on_another_snapshot() {
    let mut world = World::new(config());
    world.prove("atlas");
    // The older snapshot has other shards.
    let snapshots = [snapshot(1, 2, 2), snapshot(2, 3, 1)];
    let (mut gather, legs) = world.start("atlas", &snapshots);
    assert!(legs.len() == 3 && legs.iter().all(|leg| leg.snapshot == SnapshotId(2)));
    world.result(&mut gather, &legs[0], answer(&legs[0]));
    let restarted = world.result(&mut gather, &legs[1], missing());
    assert_eq!(world.cancelled(), [legs[2].attempt]);
    assert!(restarted.len() == 2 && restarted.iter().all(|leg| leg.snapshot == SnapshotId(1)));
    world.result(&mut gather, &legs[2], answer(&legs[2]));
    assert!(world.out.is_empty(), "an old leg had an effect");
    for leg in &restarted {
        world.result(&mut gather, leg, answer(leg));
    }
    let answered = world.finished().expect("answered");
    assert_eq!(
        (answered.snapshot, answered.coverage),
        (Some(SnapshotId(1)), 1.0)
    );
    assert_eq!(answered.documents_total, 20);
    let (_gather, legs) = world.start("atlas", &snapshots);
    assert_eq!(
        legs[0].snapshot,
        SnapshotId(1),
        "the next query tried the newer snapshot again"
    );
}

#[test]
fn no_restart_without_time() {
    let mut world = World::new(config());
    world.warm(200, ms(50));
    world.policy.deadline_ms = 40;
    let snapshots = [snapshot(1, 2, 2), snapshot(2, 2, 1)];
    let (mut gather, legs) = world.start("warm", &snapshots);
    world.result(&mut gather, &legs[0], answer(&legs[0]));
    assert!(world.result(&mut gather, &legs[1], missing()).is_empty());
    world.pass(&mut gather, ms(40));
    let answered = world.finished().expect("deadline");
    assert_eq!((answered.outcome, answered.coverage), (Outcome::Done, 0.5));
}

#[test]
fn servable_snapshot_is_chosen() {
    let mut world = World::new(config());
    world.prove("atlas");
    let snapshots = [snapshot(1, 2, 3), snapshot(2, 2, 1)];
    let unreachable = [snapshot(9, 1, 1)];
    let (mut gather, legs) = world.start("atlas", &unreachable);
    world.result(&mut gather, &legs[0], UNREACHABLE);
    let (_gather, legs) = world.start("atlas", &snapshots);
    assert_eq!(
        legs[0].snapshot,
        SnapshotId(1),
        "the newer snapshot's only replica is unreachable"
    );
    world.stats.set_circuit_breaker("s0r0", None);
    let (_gather, legs) = world.start("atlas", &snapshots);
    assert_eq!(legs[0].snapshot, SnapshotId(2));
    for replica in 0..3 {
        world
            .stats
            .set_out_of_service(&format!("s1r{replica}"), true);
    }
    let (_gather, legs) = world.start("atlas", &snapshots);
    assert!(
        legs.len() == 1 && legs[0].snapshot == SnapshotId(2),
        "newest of equals"
    );
}

#[test]
fn failing_replica_does_not_prevent_a_restart() {
    let mut world = World::new(config());
    let snapshots = [snapshot(1, 1, 2), snapshot(2, 1, 2)];
    let (mut gather, legs) = world.start("atlas", &snapshots);
    let other = world.result(&mut gather, &legs[0], missing());
    let restarted = world.result(&mut gather, &other[0], UNREACHABLE);
    assert_eq!(restarted.len(), 1);
    assert_eq!(restarted[0].snapshot, SnapshotId(1));
    assert_eq!(restarted[0].upstream, legs[0].upstream);
}
