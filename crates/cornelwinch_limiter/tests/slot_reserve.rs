//! Guards against urgent legs that wait behind running legs of a lower
//! priority, and against a slot that stays unused when nothing is urgent.

mod fake;

use cornelwinch_limiter::{LimiterConfig, OwnershipStart};
use fake::{Desk, MS, answer, signs};

fn answer_next(desk: &mut Desk) {
    let ok = answer(&desk.sent[0]);
    desk.finish(ok, signs(1));
}

#[test]
fn urgent_leg_finds_slot() {
    let cfg = LimiterConfig {
        slots: 3,
        warm_after_successes: 1,
        ..LimiterConfig::default()
    };
    let mut desk = Desk::open(cfg, OwnershipStart::Cold);
    desk.answer_legs(20);
    while !desk.sent.is_empty() {
        answer_next(&mut desk);
    }
    assert_eq!(desk.limiter.limit(), 3);

    // Without an urgent leg of late, low legs use every slot.
    desk.wake_after(2_000 * MS);
    desk.submit(100, "wakes", 5, 500);
    answer_next(&mut desk);
    for i in 101..106 {
        desk.submit(i, &format!("low {i}"), 5, 500);
    }
    assert_eq!(desk.limiter.in_flight(), 3);

    // From the first urgent leg on, low legs leave one slot free.
    desk.submit(200, "urgent", 0, 500);
    for _ in 0..2 {
        answer_next(&mut desk);
    }
    let urgent = |desk: &Desk| desk.sent.iter().filter(|leg| leg.priority == 0).count();
    assert_eq!((desk.limiter.in_flight(), urgent(&desk)), (2, 1));
    desk.submit(201, "urgent too", 0, 500);
    assert_eq!((desk.limiter.in_flight(), urgent(&desk)), (3, 2));
}
