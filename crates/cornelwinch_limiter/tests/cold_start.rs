//! Guards against load above the cold limit after signs of a cold start, and
//! against a limit that more than doubles per round of successes.

mod fake;

use cornelwinch_limiter::{HandoverState, LimiterConfig, OwnershipStart};
use cornelwinch_types::{LegFailure, LegResult, Refusal, UpstreamObservation};
use fake::{LimiterHarness, MS, observation};

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
    let mut harness = LimiterHarness::new(config(), OwnershipStart::Cold);
    // Three answers end the cold start. Each later change of the limit requires
    // as many answers as the limit, to legs sent since the previous change.
    assert_eq!(harness.answer_legs(8), [1, 1, 2, 2, 4, 4, 4, 4]);
    assert!(!harness.limiter.is_cold());
}

#[test]
fn signs_bring_cold_limit_back() {
    let shed = LegResult::Refused(Refusal::Shed);
    let broken = LegResult::Failed(LegFailure::Disconnected);
    let cases = [
        (fake::answer(&fake::leg(0, "", 0, MS)), observation(2), 1),
        (broken, UpstreamObservation::default(), 1),
        (shed, observation(1), 3),
    ];
    for (result, observation, times) in cases {
        let mut harness = LimiterHarness::new(config(), OwnershipStart::Cold);
        harness.answer_legs(20);
        assert_eq!(harness.limiter.limit(), 4);
        for i in 0..4 {
            harness.submit(i, &format!("title {i}"), 0, 500);
        }
        for i in 0..times {
            assert!(!harness.limiter.is_cold(), "cold after {i} of {result:?}");
            harness.finish(result.clone(), observation);
        }
        assert!(harness.limiter.is_cold(), "warm after {result:?}");
        assert_eq!(harness.limiter.limit(), 1, "limit after {result:?}");
        let in_flight = harness.limiter.in_flight();
        harness.submit(100, "waits", 0, 500);
        assert_eq!(
            harness.limiter.in_flight(),
            in_flight,
            "sent above the cold limit"
        );
    }
}

#[test]
fn shed_halves_then_adds_one() {
    let mut harness = LimiterHarness::new(config(), OwnershipStart::Cold);
    harness.answer_legs(20);
    harness.submit(1, "a", 0, 500);
    harness.submit(2, "b", 0, 500);
    while harness.sent.len() > 2 {
        let ok = fake::answer(&harness.sent[0]);
        harness.finish(ok, observation(1));
    }
    harness.finish(LegResult::Refused(Refusal::Shed), observation(1));
    // The second shed is due to the same overload.
    harness.finish(LegResult::Refused(Refusal::Shed), observation(1));
    assert_eq!(harness.limiter.limit(), 2);
    // The leg that was in flight at the first change does not count towards a
    // round.
    assert_eq!(harness.answer_legs(6), [2, 3, 3, 3, 3, 4]);
}

#[test]
fn takeover_waits_for_settle_and_guard() {
    let cfg = LimiterConfig {
        takeover_delay: 20 * MS,
        ..config()
    };
    let mut harness = LimiterHarness::new(cfg, OwnershipStart::Takeover);
    harness.submit(1, "a", 0, 500);
    assert_eq!(harness.limiter.next_wake(), Some(harness.now + 20 * MS));
    harness.advance(19 * MS);
    assert!(
        harness.sent.is_empty(),
        "sent before the takeover delay ended"
    );
    harness.advance(MS);
    assert_eq!(harness.sent.len(), 1);
    assert!(
        harness.answer_legs(70).iter().all(|limit| *limit == 1),
        "limit grew inside the guard interval"
    );
    assert_eq!(harness.answer_legs(30).last(), Some(&4));
}

#[test]
fn handover_counts_previous_legs() {
    let state = HandoverState {
        limit: 4,
        warm: true,
        in_flight: 3,
        restart_id: Some(1),
    };
    let mut harness = LimiterHarness::new(config(), OwnershipStart::Handover(state));
    for i in 0..4 {
        harness.submit(i, &i.to_string(), 0, 500);
    }
    assert_eq!(harness.sent.len(), 1);
    harness.call(|l, now, out| l.on_handover_released(now, 2, out));
    assert_eq!(harness.sent.len(), 3);
    let mut next = None;
    harness.call(|l, now, out| next = Some(l.drain(now, out)));
    assert_eq!(
        next,
        Some(HandoverState {
            in_flight: 4,
            ..state
        })
    );
    assert_eq!(
        harness.replies,
        [(3, LegResult::Refused(Refusal::NotOwner { owner: None }))]
    );

    let mut harness = LimiterHarness::new(config(), OwnershipStart::Handover(state));
    harness.submit(1, "a", 0, 500);
    harness.submit(2, "b", 0, 500);
    harness.advance(100 * MS);
    assert_eq!(
        harness.sent.len(),
        2,
        "legs of the previous owner counted after the guard interval"
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
    let mut harness = LimiterHarness::new(config(), OwnershipStart::Handover(state));
    assert!(harness.answer_legs(99).iter().all(|limit| *limit == 1));
    assert_eq!(harness.answer_legs(30).last(), Some(&4));
}

#[test]
fn idle_upstream_is_tried_first() {
    let mut harness = LimiterHarness::new(config(), OwnershipStart::Cold);
    harness.answer_legs(20);
    while !harness.sent.is_empty() {
        let ok = fake::answer(&harness.sent[0]);
        harness.finish(ok, observation(1));
    }
    harness.now += 200 * MS;
    for i in 0..4 {
        harness.submit(i, &i.to_string(), 0, 500);
    }
    assert_eq!(
        harness.sent.len(),
        1,
        "sent to an upstream that may have restarted"
    );
    let ok = fake::answer(&harness.sent[0]);
    harness.finish(ok, observation(1));
    assert_eq!(harness.sent.len(), 3);
}

/// Guards against an upstream that never becomes warm: when the cold start lasts
/// longer than expected, the limit grows too early, and each resulting overload
/// failure starts the cold start again.
#[test]
fn long_cold_start_is_learned() {
    const COLD_LEGS: u32 = 200;
    let mut harness = LimiterHarness::new(config(), OwnershipStart::Cold);
    let (mut served, mut overload_failures) = (0, 0);
    for i in 0..5_000 {
        for attempt in [2 * i, 2 * i + 1] {
            harness.submit(attempt, &format!("title {attempt}"), 0, 5_000);
        }
        if harness.sent.len() > 1 && served < COLD_LEGS {
            served = 0;
            overload_failures += 1;
            while !harness.sent.is_empty() {
                harness.finish(LegResult::Refused(Refusal::Shed), observation(1));
            }
        } else if let Some(leg) = harness.sent.first() {
            let ok = fake::answer(leg);
            harness.finish(ok, observation(1));
            served += 1;
        }
        harness.advance(6 * MS);
    }
    assert_eq!(
        harness.limiter.limit(),
        4,
        "after {overload_failures} overload failures"
    );
}
