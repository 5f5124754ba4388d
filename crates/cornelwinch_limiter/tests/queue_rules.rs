//! Guards against wrong order, late sends, lost waiters and extra load when
//! legs wait, are cancelled or share an execution, and against load on an
//! unreachable upstream.

mod fake;

use cornelwinch_limiter::{LimiterConfig, OwnershipStart};
use cornelwinch_types::{AttemptId, LegFailure, LegResult, Refusal, UpstreamObservation};
use fake::{Desk, MS, answer, leg, signs};

fn desk(queue_limit: usize, share_identical: bool) -> Desk {
    let cfg = LimiterConfig {
        queue_limit,
        share_identical,
        warm_after_successes: 1000,
        ..LimiterConfig::default()
    };
    Desk::open(cfg, OwnershipStart::Cold)
}

fn answer_next(desk: &mut Desk) {
    let ok = answer(&desk.sent[0]);
    desk.finish(ok, signs(1));
}

fn refused(attempt: u64, refusal: Refusal) -> (u64, LegResult) {
    (attempt, LegResult::Refused(refusal))
}

#[test]
fn order_is_priority_then_deadline() {
    let mut desk = desk(3, true);
    for (attempt, priority, budget) in [
        (1, 0, 400),
        (2, 2, 300),
        (3, 1, 400),
        (4, 1, 300),
        (5, 0, 400),
    ] {
        desk.submit(attempt, &attempt.to_string(), priority, budget);
    }
    // Attempt 1 is in flight; the queue of 3 drops the lowest priority.
    assert_eq!(desk.replies, [refused(2, Refusal::Overloaded)]);
    let mut order = Vec::new();
    while !desk.sent.is_empty() {
        order.push(desk.sent[0].attempt.0);
        answer_next(&mut desk);
    }
    assert_eq!(order, [1, 5, 4, 3]);
}

#[test]
fn late_legs_are_refused_early() {
    let mut desk = desk(99, true);
    desk.answer_legs(10);
    desk.replies.clear();
    for i in 0..10 {
        desk.submit(i, &i.to_string(), 0, 5);
    }
    // At 1 ms a leg, only the first five can finish within 5 ms.
    let expected = (5..10)
        .map(|i| refused(i, Refusal::Overloaded))
        .collect::<Vec<_>>();
    assert_eq!(desk.replies, expected);
    answer_next(&mut desk);
    assert_eq!(desk.sent[0].budget, 4 * MS);
    desk.wake_after(10 * MS);
    assert_eq!(desk.sent.len(), 1, "sent after its deadline");
    assert_eq!(desk.limiter.queued(), 0);
}

#[test]
fn cancelled_leg_keeps_slot() {
    let mut desk = desk(9, true);
    desk.submit(1, "a", 0, 100);
    desk.submit(2, "b", 0, 500);
    desk.submit(3, "c", 0, 500);
    desk.call(|l, now, out| l.cancel(now, AttemptId(3), out));
    desk.call(|l, now, out| l.cancel(now, AttemptId(1), out));
    let failed = (1, LegResult::Failed(LegFailure::Cancelled));
    assert_eq!(desk.replies, [refused(3, Refusal::Cancelled), failed]);
    assert_eq!(
        (desk.cancelled.as_slice(), desk.limiter.in_flight()),
        (&[1][..], 1)
    );
    desk.wake_after(99 * MS);
    assert_eq!(desk.sent.len(), 1, "slot reused before the deadline");
    desk.wake_after(10 * MS);
    assert_eq!(desk.sent.len(), 2);
}

#[test]
fn identical_legs_share_execution() {
    for share in [true, false] {
        let mut desk = desk(9, share);
        desk.submit(1, "first", 0, 500);
        for attempt in 2..6 {
            desk.submit(attempt, "same", 1, 500 + attempt);
        }
        desk.call(|l, now, out| l.cancel(now, AttemptId(2), out));
        let mut sends = 0;
        while !desk.sent.is_empty() {
            sends += 1;
            answer_next(&mut desk);
        }
        assert_eq!(sends, if share { 2 } else { 4 });
        for attempt in [1, 3, 4, 5] {
            let own = |(a, r): &&(u64, LegResult)| {
                *a == attempt && matches!(r, LegResult::Answer(x) if x.attempt.0 == attempt)
            };
            assert_eq!(
                desk.replies.iter().filter(own).count(),
                1,
                "answer to {attempt}"
            );
        }
    }
}

#[test]
fn circuit_probes_one_at_a_time() {
    let mut desk = desk(9, true);
    let unreachable = LegResult::Refused(Refusal::Unreachable);
    for attempt in 0..5 {
        desk.submit(attempt, &attempt.to_string(), 0, 5000);
        desk.finish(unreachable.clone(), UpstreamObservation::default());
    }
    desk.submit(10, "refused", 0, 5000);
    assert_eq!(
        desk.replies.last(),
        Some(&refused(10, Refusal::Unreachable))
    );
    for attempt in [20, 30] {
        desk.now += 250 * MS;
        desk.submit(attempt, "probe", 0, 5000);
        desk.submit(attempt + 1, "refused", 0, 5000);
        assert_eq!(desk.sent.len(), 1, "probes in flight");
        assert_eq!(
            desk.replies.last(),
            Some(&refused(attempt + 1, Refusal::Unreachable))
        );
        if attempt == 20 {
            desk.finish(unreachable.clone(), UpstreamObservation::default());
        }
    }
    answer_next(&mut desk);
    desk.submit(40, "closed", 0, 5000);
    desk.submit(41, "waits", 0, 5000);
    assert_eq!((desk.sent.len(), desk.limiter.queued()), (1, 1));
}

#[test]
fn leaving_upstream_gets_nothing() {
    let mut desk = desk(9, true);
    desk.submit(1, "a", 0, 500);
    desk.submit(2, "b", 0, 500);
    desk.call(|l, now, out| l.set_leaving(now, true, out));
    desk.submit(3, "c", 0, 500);
    assert_eq!(
        desk.replies,
        [refused(2, Refusal::Leaving), refused(3, Refusal::Leaving)]
    );
    answer_next(&mut desk);
    assert!(desk.sent.is_empty());
    desk.call(|l, now, out| l.set_leaving(now, false, out));
    // The upstream says that it is leaving; reports to the contrary lag.
    desk.submit(4, "d", 0, 500);
    desk.finish(LegResult::Refused(Refusal::Leaving), signs(1));
    for (wait, sent) in [(9999 * MS, 0), (MS, 1)] {
        desk.now += wait;
        desk.limiter.on_serving_report(desk.now);
        desk.submit(5, "e", 0, 500);
        assert_eq!(desk.sent.len(), sent, "sent after {wait:?}");
    }
}

#[test]
fn foreign_answers_are_dropped() {
    let mut desk = desk(9, true);
    desk.submit(1, "first", 0, 500);
    desk.submit(2, "same", 0, 500);
    // A hash collision: equal fingerprint, other body.
    let mut twin = leg(3, "other", 0, 500 * MS);
    twin.fingerprint = leg(2, "same", 0, MS).fingerprint;
    desk.call(|l, now, out| l.submit(now, twin, "host-1".into(), out));
    let foreign = answer(&leg(2, "first", 0, MS));
    desk.call(|l, now, out| l.finish(now, AttemptId(1), foreign, signs(1), out));
    assert_eq!(
        desk.replies,
        [(1, LegResult::Failed(LegFailure::Mismatched))]
    );
    desk.sent.remove(0);
    answer_next(&mut desk);
    assert_eq!(desk.sent.len(), 1, "shared with another body");
}
