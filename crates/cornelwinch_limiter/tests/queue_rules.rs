//! Guards against wrong order, sends after the deadline, lost replies and extra
//! load when legs are queued, cancelled or share an execution, and against load
//! on an unreachable upstream.

mod fake;

use cornelwinch_limiter::{LimiterConfig, OwnershipStart};
use cornelwinch_types::{AttemptId, LegFailure, LegResult, Refusal, UpstreamObservation};
use fake::{LimiterHarness, MS, answer, leg, observation};

fn harness(queue_limit: usize, share_identical: bool) -> LimiterHarness {
    let cfg = LimiterConfig {
        queue_limit,
        share_identical,
        warm_after_successes: 1000,
        ..LimiterConfig::default()
    };
    LimiterHarness::new(cfg, OwnershipStart::Cold)
}

fn answer_next(harness: &mut LimiterHarness) {
    let ok = answer(&harness.sent[0]);
    harness.finish(ok, observation(1));
}

fn refused(attempt: u64, refusal: Refusal) -> (u64, LegResult) {
    (attempt, LegResult::Refused(refusal))
}

#[test]
fn order_is_priority_then_deadline() {
    let mut harness = harness(3, true);
    for (attempt, priority, budget) in [
        (1, 0, 400),
        (2, 2, 300),
        (3, 1, 400),
        (4, 1, 300),
        (5, 0, 400),
    ] {
        harness.submit(attempt, &attempt.to_string(), priority, budget);
    }
    // Attempt 1 is in flight; the queue of 3 refuses the leg of lowest priority.
    assert_eq!(harness.replies, [refused(2, Refusal::Overloaded)]);
    let mut order = Vec::new();
    while !harness.sent.is_empty() {
        order.push(harness.sent[0].attempt.0);
        answer_next(&mut harness);
    }
    assert_eq!(order, [1, 5, 4, 3]);
}

#[test]
fn late_legs_are_refused_early() {
    let mut harness = harness(99, true);
    harness.answer_legs(10);
    harness.replies.clear();
    for i in 0..10 {
        harness.submit(i, &i.to_string(), 0, 5);
    }
    // At 1 ms per leg, only the first five can finish within 5 ms.
    let expected = (5..10)
        .map(|i| refused(i, Refusal::Overloaded))
        .collect::<Vec<_>>();
    assert_eq!(harness.replies, expected);
    answer_next(&mut harness);
    assert_eq!(harness.sent[0].budget, 4 * MS);
    harness.advance(10 * MS);
    assert_eq!(harness.sent.len(), 1, "sent after its deadline");
    assert_eq!(harness.limiter.queued(), 0);
}

#[test]
fn cancelled_leg_keeps_slot() {
    let mut harness = harness(9, true);
    harness.submit(1, "a", 0, 100);
    harness.submit(2, "b", 0, 500);
    harness.submit(3, "c", 0, 500);
    harness.call(|l, now, out| l.cancel(now, AttemptId(3), out));
    harness.call(|l, now, out| l.cancel(now, AttemptId(1), out));
    let failed = (1, LegResult::Failed(LegFailure::Cancelled));
    assert_eq!(harness.replies, [refused(3, Refusal::Cancelled), failed]);
    assert_eq!(
        (harness.cancelled.as_slice(), harness.limiter.in_flight()),
        (&[1][..], 1)
    );
    harness.advance(99 * MS);
    assert_eq!(harness.sent.len(), 1, "slot reused before the deadline");
    harness.advance(10 * MS);
    assert_eq!(harness.sent.len(), 2);
}

#[test]
fn identical_legs_share_execution() {
    for share in [true, false] {
        let mut harness = harness(9, share);
        harness.submit(1, "first", 0, 500);
        for attempt in 2..6 {
            harness.submit(attempt, "same", 1, 500 + attempt);
        }
        harness.call(|l, now, out| l.cancel(now, AttemptId(2), out));
        let mut sends = 0;
        while !harness.sent.is_empty() {
            sends += 1;
            answer_next(&mut harness);
        }
        assert_eq!(sends, if share { 2 } else { 4 });
        for attempt in [1, 3, 4, 5] {
            let own = |(a, r): &&(u64, LegResult)| {
                *a == attempt && matches!(r, LegResult::Answer(x) if x.attempt.0 == attempt)
            };
            assert_eq!(
                harness.replies.iter().filter(own).count(),
                1,
                "answer to {attempt}"
            );
        }
    }
}

#[test]
fn circuit_probes_one_at_a_time() {
    let mut harness = harness(9, true);
    let unreachable = LegResult::Refused(Refusal::Unreachable);
    for attempt in 0..5 {
        harness.submit(attempt, &attempt.to_string(), 0, 5000);
        harness.finish(unreachable.clone(), UpstreamObservation::default());
    }
    harness.submit(10, "refused", 0, 5000);
    assert_eq!(
        harness.replies.last(),
        Some(&refused(10, Refusal::Unreachable))
    );
    for attempt in [20, 30] {
        harness.now += 250 * MS;
        harness.submit(attempt, "probe", 0, 5000);
        harness.submit(attempt + 1, "refused", 0, 5000);
        assert_eq!(harness.sent.len(), 1, "probes in flight");
        assert_eq!(
            harness.replies.last(),
            Some(&refused(attempt + 1, Refusal::Unreachable))
        );
        if attempt == 20 {
            harness.finish(unreachable.clone(), UpstreamObservation::default());
        }
    }
    answer_next(&mut harness);
    harness.submit(40, "closed", 0, 5000);
    harness.submit(41, "waits", 0, 5000);
    assert_eq!((harness.sent.len(), harness.limiter.queued()), (1, 1));
}

#[test]
fn leaving_upstream_gets_nothing() {
    let mut harness = harness(9, true);
    harness.submit(1, "a", 0, 500);
    harness.submit(2, "b", 0, 500);
    harness.call(|l, now, out| l.set_leaving(now, true, out));
    harness.submit(3, "c", 0, 500);
    assert_eq!(
        harness.replies,
        [refused(2, Refusal::Leaving), refused(3, Refusal::Leaving)]
    );
    answer_next(&mut harness);
    assert!(harness.sent.is_empty());
    harness.call(|l, now, out| l.set_leaving(now, false, out));
    // The upstream announces that it is leaving; later reports that it is serving
    // may be outdated.
    harness.submit(4, "d", 0, 500);
    harness.finish(LegResult::Refused(Refusal::Leaving), observation(1));
    for (wait, sent) in [(9999 * MS, 0), (MS, 1)] {
        harness.now += wait;
        harness.limiter.on_serving_report(harness.now);
        harness.submit(5, "e", 0, 500);
        assert_eq!(harness.sent.len(), sent, "sent after {wait:?}");
    }
}

#[test]
fn foreign_answers_are_dropped() {
    let mut harness = harness(9, true);
    harness.submit(1, "first", 0, 500);
    harness.submit(2, "same", 0, 500);
    // Simulates a hash collision: equal fingerprints, different bodies.
    let mut colliding = leg(3, "other", 0, 500 * MS);
    colliding.fingerprint = leg(2, "same", 0, MS).fingerprint;
    harness.call(|l, now, out| l.submit(now, colliding, "host-1".into(), out));
    let mismatched = answer(&leg(2, "first", 0, MS));
    harness.call(|l, now, out| l.finish(now, AttemptId(1), mismatched, observation(1), out));
    assert_eq!(
        harness.replies,
        [(1, LegResult::Failed(LegFailure::Mismatched))]
    );
    harness.sent.remove(0);
    answer_next(&mut harness);
    assert_eq!(
        harness.sent.len(),
        1,
        "execution shared by legs with different bodies"
    );
}
