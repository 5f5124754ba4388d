//! Guards against urgent legs that wait for running legs of a lower priority, and
//! against a slot that stays reserved when no urgent legs are submitted.

mod fake;

use cornelwinch_limiter::{LimiterConfig, OwnershipStart};
use fake::{LimiterHarness, MS, answer, observation};

fn answer_next(harness: &mut LimiterHarness) {
    let ok = answer(&harness.sent[0]);
    harness.finish(ok, observation(1));
}

#[test]
fn urgent_leg_finds_slot() {
    let cfg = LimiterConfig {
        slots: 3,
        warm_after_successes: 1,
        ..LimiterConfig::default()
    };
    let mut harness = LimiterHarness::new(cfg, OwnershipStart::Cold);
    harness.answer_legs(20);
    while !harness.sent.is_empty() {
        answer_next(&mut harness);
    }
    assert_eq!(harness.limiter.limit(), 3);

    // Without a recent urgent leg, legs of low priority use every slot.
    harness.advance(2_000 * MS);
    harness.submit(100, "wakes", 5, 500);
    answer_next(&mut harness);
    for i in 101..106 {
        harness.submit(i, &format!("low {i}"), 5, 500);
    }
    assert_eq!(harness.limiter.in_flight(), 3);

    // After the first urgent leg, legs of low priority leave one slot free.
    harness.submit(200, "urgent", 0, 500);
    for _ in 0..2 {
        answer_next(&mut harness);
    }
    let urgent =
        |harness: &LimiterHarness| harness.sent.iter().filter(|leg| leg.priority == 0).count();
    assert_eq!((harness.limiter.in_flight(), urgent(&harness)), (2, 1));
    harness.submit(201, "urgent too", 0, 500);
    assert_eq!((harness.limiter.in_flight(), urgent(&harness)), (3, 2));
}
