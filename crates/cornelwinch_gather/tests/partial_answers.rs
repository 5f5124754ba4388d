//! Guards against partial answers that are returned too early or too late, or that do not state
//! that their coverage is insufficient.

mod common;

use common::{TestHost, answer, config, ms, snapshot};
use cornelwinch_gather::{Answer, AnswerReason};
use cornelwinch_types::{KeyRange, Outcome};

/// Runs a query of four legs, of which `answered` are answered after 10 ms. Returns the query's
/// answer and the time it took in milliseconds.
fn query(answered: usize, min_coverage: f64, partial_after_ms: Option<u64>) -> (Answer, u128) {
    let mut host = TestHost::new(config());
    host.mark_answered("atlas");
    host.policy.min_coverage = min_coverage;
    host.policy.partial_after_ms = partial_after_ms;
    let start = host.now;
    let (mut gather, mut legs) = host.start("atlas", &[snapshot(1, 4, 1)]);
    legs.sort_by_key(|leg| leg.range);
    host.advance(&mut gather, ms(10));
    for leg in &legs[..answered] {
        host.result(&mut gather, leg, answer(leg));
    }
    for _ in 0..2000 {
        if let Some(answer) = host.finished() {
            assert_eq!(host.cancelled().len(), 4 - answered);
            return (answer, (host.now - start).as_millis());
        }
        host.advance(&mut gather, ms(1));
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
    let mut host = TestHost::new(config());
    host.stats.set_out_of_service("s0r0", true);
    let cases = [
        (vec![snapshot(1, 1, 1)], 1000, AnswerReason::NoReplica),
        (vec![], 1000, AnswerReason::NoSnapshot),
        (vec![snapshot(1, 2, 1)], 0, AnswerReason::DeadlinePassed),
    ];
    for (snapshots, deadline_ms, reason) in cases {
        host.policy.deadline_ms = deadline_ms;
        let (gather, legs) = host.start("atlas", &snapshots);
        assert!(legs.is_empty() && gather.next_wake().is_none());
        let answer = host.finished().expect("answered at once");
        assert_eq!(
            (answer.outcome, answer.reason),
            (Outcome::NotRun, Some(reason))
        );
    }
}

#[test]
fn caller_gone_cancels_every_leg() {
    let mut host = TestHost::new(config());
    host.mark_answered("atlas");
    let (mut gather, legs) = host.start("atlas", &[snapshot(1, 3, 1)]);
    host.result(&mut gather, &legs[0], answer(&legs[0]));
    gather.cancel(host.now, &mut host.stats, &mut host.out);
    let mut cancelled = host.cancelled();
    cancelled.sort_unstable();
    assert_eq!(cancelled, [legs[1].attempt, legs[2].attempt]);
    assert!(host.out.is_empty() && gather.next_wake().is_none());
    assert!(
        legs.iter()
            .all(|leg| host.stats.outstanding(&leg.upstream) == 0)
    );
}
