//! Guards against load above the cold limit after signs of a cold start, and
//! against growth faster than doubling per round of successes.

mod fake;

use cornelwinch_limiter::{HandoverState, LimiterConfig, OwnershipStart};
use cornelwinch_types::{LegFailure, LegResult, Refusal, UpstreamObservation};
use fake::{Desk, MS, signs};

fn config() -> LimiterConfig {
    LimiterConfig {
        slots: 4,
        cold_limit: 1,
        guard_interval: 100 * MS,
        warm_after_successes: 3,
        ..LimiterConfig::default()
    }
}

#[test]
fn limit_doubles_per_round() {
    let mut desk = Desk::open(config(), OwnershipStart::Cold);
    // Three answers end the cold start; each later change needs a round of as
    // many answers as the limit, of legs sent since the previous change.
    assert_eq!(desk.answer_legs(8), [1, 1, 2, 2, 4, 4, 4, 4]);
    assert!(!desk.limiter.is_cold());
}

#[test]
fn signs_bring_cold_limit_back() {
    let shed = LegResult::Refused(Refusal::Shed);
    let broken = LegResult::Failed(LegFailure::Disconnected);
    let cases = [
        (fake::answer(&fake::leg(0, "", 0, MS)), signs(2), 1),
        (broken, UpstreamObservation::default(), 1),
        (shed, signs(1), 3),
    ];
    for (result, signs, times) in cases {
        let mut desk = Desk::open(config(), OwnershipStart::Cold);
        desk.answer_legs(20);
        assert_eq!(desk.limiter.limit(), 4);
        for i in 0..4 {
            desk.submit(i, &format!("title {i}"), 0, 500);
        }
        for i in 0..times {
            assert!(!desk.limiter.is_cold(), "cold after {i} of {result:?}");
            desk.finish(result.clone(), signs);
        }
        assert!(desk.limiter.is_cold(), "warm after {result:?}");
        assert_eq!(desk.limiter.limit(), 1, "limit after {result:?}");
        let in_flight = desk.limiter.in_flight();
        desk.submit(100, "waits", 0, 500);
        assert_eq!(
            desk.limiter.in_flight(),
            in_flight,
            "sent above the cold limit"
        );
    }
}

#[test]
fn shed_halves_then_adds_one() {
    let mut desk = Desk::open(config(), OwnershipStart::Cold);
    desk.answer_legs(20);
    desk.submit(1, "a", 0, 500);
    desk.submit(2, "b", 0, 500);
    while desk.sent.len() > 2 {
        let ok = fake::answer(&desk.sent[0]);
        desk.finish(ok, signs(1));
    }
    desk.finish(LegResult::Refused(Refusal::Shed), signs(1));
    // The second shed belongs to the same overload.
    desk.finish(LegResult::Refused(Refusal::Shed), signs(1));
    assert_eq!(desk.limiter.limit(), 2);
    // The leg that was in flight at the first change counts for no round.
    assert_eq!(desk.answer_legs(6), [2, 3, 3, 3, 3, 4]);
}

#[test]
fn takeover_waits_for_settle_and_guard() {
    let cfg = LimiterConfig {
        takeover_delay: 20 * MS,
        ..config()
    };
    let mut desk = Desk::open(cfg, OwnershipStart::Takeover);
    desk.submit(1, "a", 0, 500);
    assert_eq!(desk.limiter.next_wake(), Some(desk.now + 20 * MS));
    desk.wake_after(19 * MS);
    assert!(desk.sent.is_empty(), "sent before the settle time");
    desk.wake_after(MS);
    assert_eq!(desk.sent.len(), 1);
    assert!(
        desk.answer_legs(70).iter().all(|limit| *limit == 1),
        "grew inside the guard"
    );
    assert_eq!(desk.answer_legs(30).last(), Some(&4));
}

#[test]
fn handover_counts_previous_legs() {
    let state = HandoverState {
        limit: 4,
        warm: true,
        in_flight: 3,
        restart_id: Some(1),
    };
    let mut desk = Desk::open(config(), OwnershipStart::Handover(state));
    for i in 0..4 {
        desk.submit(i, &i.to_string(), 0, 500);
    }
    assert_eq!(desk.sent.len(), 1);
    desk.call(|l, now, out| l.on_handover_released(now, 2, out));
    assert_eq!(desk.sent.len(), 3);
    let mut next = None;
    desk.call(|l, now, out| next = Some(l.drain(now, out)));
    assert_eq!(
        next,
        Some(HandoverState {
            in_flight: 4,
            ..state
        })
    );
    assert_eq!(
        desk.replies,
        [(3, LegResult::Refused(Refusal::NotOwner { owner: None }))]
    );

    let mut desk = Desk::open(config(), OwnershipStart::Handover(state));
    desk.submit(1, "a", 0, 500);
    desk.submit(2, "b", 0, 500);
    desk.wake_after(100 * MS);
    assert_eq!(
        desk.sent.len(),
        2,
        "legs of the previous owner counted after the guard"
    );
}

#[test]
fn cold_handover_keeps_guard() {
    // The previous owner may have been inside its own guard interval.
    let state = HandoverState {
        limit: 1,
        warm: false,
        in_flight: 0,
        restart_id: Some(1),
    };
    let mut desk = Desk::open(config(), OwnershipStart::Handover(state));
    assert!(desk.answer_legs(99).iter().all(|limit| *limit == 1));
    assert_eq!(desk.answer_legs(30).last(), Some(&4));
}

#[test]
fn idle_upstream_is_tried_first() {
    let mut desk = Desk::open(config(), OwnershipStart::Cold);
    desk.answer_legs(20);
    while !desk.sent.is_empty() {
        let ok = fake::answer(&desk.sent[0]);
        desk.finish(ok, signs(1));
    }
    desk.now += 200 * MS;
    for i in 0..4 {
        desk.submit(i, &i.to_string(), 0, 500);
    }
    assert_eq!(
        desk.sent.len(),
        1,
        "sent to an upstream that may have restarted"
    );
    let ok = fake::answer(&desk.sent[0]);
    desk.finish(ok, signs(1));
    assert_eq!(desk.sent.len(), 3);
}

/// Guards against an upstream that never gets warm: a cold start longer than
/// expected ended in repeated falls, each of which starts it anew.
#[test]
fn long_cold_start_is_learned() {
    const COLD_LEGS: u32 = 200;
    let mut desk = Desk::open(config(), OwnershipStart::Cold);
    let (mut served, mut falls) = (0, 0);
    for i in 0..5_000 {
        for attempt in [2 * i, 2 * i + 1] {
            desk.submit(attempt, &format!("title {attempt}"), 0, 5_000);
        }
        if desk.sent.len() > 1 && served < COLD_LEGS {
            served = 0;
            falls += 1;
            while !desk.sent.is_empty() {
                desk.finish(LegResult::Refused(Refusal::Shed), signs(1));
            }
        } else if let Some(leg) = desk.sent.first() {
            let ok = fake::answer(leg);
            desk.finish(ok, signs(1));
            served += 1;
        }
        desk.wake_after(6 * MS);
    }
    assert_eq!(desk.limiter.limit(), 4, "after {falls} falls");
}
