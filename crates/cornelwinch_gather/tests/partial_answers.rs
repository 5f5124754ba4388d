//! Guards against answers that come too early, too late, or without the
//! statement that they cover too little.

mod common;

use common::{World, answer, config, ms, snapshot};
use cornelwinch_gather::{Answer, AnswerReason};
use cornelwinch_types::{KeyRange, Outcome};

/// Answers `answered` of four legs after 10 ms and returns the query's answer
/// with its time in milliseconds.
fn query(answered: usize, min_coverage: f64, partial_after_ms: Option<u64>) -> (Answer, u128) {
    let mut world = World::new(config());
    world.prove("atlas");
    world.policy.min_coverage = min_coverage;
    world.policy.partial_after_ms = partial_after_ms;
    let start = world.now;
    let (mut gather, mut legs) = world.start("atlas", &[snapshot(1, 4, 1)]);
    legs.sort_by_key(|leg| leg.range);
    world.pass(&mut gather, ms(10));
    for leg in &legs[..answered] {
        world.result(&mut gather, leg, answer(leg));
    }
    for _ in 0..2000 {
        if let Some(answer) = world.finished() {
            assert_eq!(world.cancelled().len(), 4 - answered);
            return (answer, (world.now - start).as_millis());
        }
        world.pass(&mut gather, ms(1));
    }
    panic!("no answer within two seconds");
}

#[test]
fn partial_answer_needs_coverage_and_time() {
    assert_eq!(query(4, 0.5, Some(30)).1, 10, "complete");
    assert_eq!(query(2, 0.5, Some(30)).1, 30, "partial");
    assert_eq!(query(2, 0.5, Some(5)).1, 10, "partial at once");
    assert_eq!(query(2, 0.6, Some(30)).1, 1000, "below the minimum");
    assert_eq!(query(3, 0.5, None).1, 1000, "waits for coverage");
    assert_eq!(query(0, 0.0, Some(30)).1, 1000, "nothing to return");
}

#[test]
fn answer_states_its_coverage() {
    let (answer, _) = query(2, 0.6, Some(30));
    assert_eq!((answer.outcome, answer.coverage), (Outcome::Done, 0.5));
    assert_eq!(answer.reason, Some(AnswerReason::InsufficientCoverage));
    assert_eq!(answer.covered, [KeyRange { start: 0, end: 20 }]);
    assert_eq!(answer.missing, [KeyRange { start: 20, end: 40 }]);
    assert_eq!(query(2, 0.5, Some(30)).0.reason, None);
    let (answer, _) = query(0, 0.0, None);
    assert_eq!((answer.outcome, answer.coverage), (Outcome::Unknown, 0.0));
    assert_eq!(answer.reason, Some(AnswerReason::InsufficientCoverage));
}

#[test]
fn nothing_to_send_is_not_run() {
    let mut world = World::new(config());
    world.stats.set_out_of_service("s0r0", true);
    let cases = [
        (vec![snapshot(1, 1, 1)], 1000, AnswerReason::NoReplica),
        (vec![], 1000, AnswerReason::NoSnapshot),
        (vec![snapshot(1, 2, 1)], 0, AnswerReason::DeadlinePassed),
    ];
    for (snapshots, deadline_ms, reason) in cases {
        world.policy.deadline_ms = deadline_ms;
        let (gather, legs) = world.start("atlas", &snapshots);
        assert!(legs.is_empty() && gather.next_wake().is_none());
        let answer = world.finished().expect("answered at once");
        assert_eq!(
            (answer.outcome, answer.reason),
            (Outcome::NotRun, Some(reason))
        );
    }
}

#[test]
fn caller_gone_cancels_every_leg() {
    let mut world = World::new(config());
    world.prove("atlas");
    let (mut gather, legs) = world.start("atlas", &[snapshot(1, 3, 1)]);
    world.result(&mut gather, &legs[0], answer(&legs[0]));
    gather.cancel(world.now, &mut world.stats, &mut world.out);
    let mut cancelled = world.cancelled();
    cancelled.sort_unstable();
    assert_eq!(cancelled, [legs[1].attempt, legs[2].attempt]);
    assert!(world.out.is_empty() && gather.next_wake().is_none());
    assert!(
        legs.iter()
            .all(|leg| world.stats.outstanding(&leg.upstream) == 0)
    );
}
