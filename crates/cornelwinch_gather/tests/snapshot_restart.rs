//! Guards against queries that fail or mix snapshots while upstreams switch from one snapshot to
//! the next and only some of them hold the one that a query uses.

mod common;

use common::{TestHost, UNREACHABLE, answer, config, ms, snapshot};
use cornelwinch_types::{LegResult, Outcome, Refusal, SnapshotId};

fn missing() -> LegResult {
    LegResult::Refused(Refusal::SnapshotMissing {
        held: vec![SnapshotId(1)],
    })
}

#[test]
fn replica_without_the_snapshot_is_avoided() {
    let mut host = TestHost::new(config());
    let (mut gather, legs) = host.start("atlas", &[snapshot(2, 1, 2)]);
    let other = host.result(&mut gather, &legs[0], missing());
    assert_ne!(other[0].upstream, legs[0].upstream);
    host.result(&mut gather, &other[0], answer(&other[0]));
    assert_eq!(host.finished().expect("answered").coverage, 1.0);
    for _ in 0..20 {
        let (_gather, legs) = host.start("atlas", &[snapshot(2, 1, 2)]);
        assert_eq!(legs[0].upstream, other[0].upstream);
    }
    host.now += ms(2000);
    let again = (0..20)
        .any(|_| host.start("atlas", &[snapshot(2, 1, 2)]).1[0].upstream != other[0].upstream);
    assert!(
        again,
        "an upstream that lacked the snapshot was never tried again"
    );
}

#[test]
fn query_restarts_on_another_snapshot() {
    let mut host = TestHost::new(config());
    host.mark_answered("atlas");
    // The two snapshots have different shards.
    let snapshots = [snapshot(1, 2, 2), snapshot(2, 3, 1)];
    let (mut gather, legs) = host.start("atlas", &snapshots);
    assert!(legs.len() == 3 && legs.iter().all(|leg| leg.snapshot == SnapshotId(2)));
    host.result(&mut gather, &legs[0], answer(&legs[0]));
    let restarted = host.result(&mut gather, &legs[1], missing());
    assert_eq!(host.cancelled(), [legs[2].attempt]);
    assert!(restarted.len() == 2 && restarted.iter().all(|leg| leg.snapshot == SnapshotId(1)));
    host.result(&mut gather, &legs[2], answer(&legs[2]));
    assert!(
        host.out.is_empty(),
        "the answer of a cancelled leg had an effect"
    );
    for leg in &restarted {
        host.result(&mut gather, leg, answer(leg));
    }
    let answered = host.finished().expect("answered");
    assert_eq!(
        (answered.snapshot, answered.coverage),
        (Some(SnapshotId(1)), 1.0)
    );
    assert_eq!(answered.documents_total, 20);
    let (_gather, legs) = host.start("atlas", &snapshots);
    assert_eq!(
        legs[0].snapshot,
        SnapshotId(1),
        "the next query used the snapshot that an upstream lacks"
    );
}

#[test]
fn no_restart_without_time() {
    let mut host = TestHost::new(config());
    host.record_latency(200, ms(50));
    host.policy.deadline_ms = 40;
    let snapshots = [snapshot(1, 2, 2), snapshot(2, 2, 1)];
    let (mut gather, legs) = host.start("warm", &snapshots);
    host.result(&mut gather, &legs[0], answer(&legs[0]));
    assert!(host.result(&mut gather, &legs[1], missing()).is_empty());
    host.advance(&mut gather, ms(40));
    let answered = host.finished().expect("deadline");
    assert_eq!((answered.outcome, answered.coverage), (Outcome::Done, 0.5));
}

#[test]
fn servable_snapshot_is_chosen() {
    let mut host = TestHost::new(config());
    host.mark_answered("atlas");
    let snapshots = [snapshot(1, 2, 3), snapshot(2, 2, 1)];
    let unreachable = [snapshot(9, 1, 1)];
    let (mut gather, legs) = host.start("atlas", &unreachable);
    host.result(&mut gather, &legs[0], UNREACHABLE);
    let (_gather, legs) = host.start("atlas", &snapshots);
    assert_eq!(
        legs[0].snapshot,
        SnapshotId(1),
        "the query used the newer snapshot, whose only replica is unreachable"
    );
    host.stats.set_circuit_breaker("s0r0", None);
    let (_gather, legs) = host.start("atlas", &snapshots);
    assert_eq!(legs[0].snapshot, SnapshotId(2));
    for replica in 0..3 {
        host.stats
            .set_out_of_service(&format!("s1r{replica}"), true);
    }
    let (_gather, legs) = host.start("atlas", &snapshots);
    assert!(
        legs.len() == 1 && legs[0].snapshot == SnapshotId(2),
        "the newest of equally servable snapshots was not used"
    );
}

#[test]
fn failing_replica_does_not_prevent_a_restart() {
    let mut host = TestHost::new(config());
    let snapshots = [snapshot(1, 1, 2), snapshot(2, 1, 2)];
    let (mut gather, legs) = host.start("atlas", &snapshots);
    let other = host.result(&mut gather, &legs[0], missing());
    let restarted = host.result(&mut gather, &other[0], UNREACHABLE);
    assert_eq!(restarted.len(), 1);
    assert_eq!(restarted[0].snapshot, SnapshotId(1));
    assert_eq!(restarted[0].upstream, legs[0].upstream);
}
