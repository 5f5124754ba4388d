//! Embeds the owner of one upstream without the daemon: a limiter that keeps the
//! legs in flight within the slots, on a clock that the program advances.

use std::time::{Duration, Instant};

use cornelwinch::limiter::{Limiter, LimiterAction, LimiterConfig, OwnershipStart};
use cornelwinch::types::{
    AttemptId, Fingerprint, KeyRange, LegAnswer, LegRequest, LegResult, QueryId, SnapshotId,
    UpstreamObservation,
};

/// Time that the imaginary upstream takes for a leg.
const SERVICE: Duration = Duration::from_millis(5);
const LEGS: u64 = 40;

fn main() {
    let start = Instant::now();
    let mut now = start;
    let cfg = LimiterConfig {
        slots: 3,
        warm_after_successes: 4,
        ..LimiterConfig::default()
    };
    let mut limiter = Limiter::new(now, cfg, OwnershipStart::Cold);
    let mut actions = Vec::new();
    for attempt in 0..LEGS {
        limiter.submit(now, leg(attempt), "this-host".into(), &mut actions);
    }

    let mut running: Vec<(Instant, LegRequest)> = Vec::new();
    let (mut answered, mut highest) = (0, 0);
    while answered < LEGS {
        for action in actions.drain(..) {
            match action {
                LimiterAction::Send(leg) => running.push((now + SERVICE, leg)),
                LimiterAction::Reply { .. } => answered += 1,
                LimiterAction::Cancel { .. } => {}
            }
        }
        highest = highest.max(running.len());
        let Some((end, leg)) = running.pop() else {
            break;
        };
        now = now.max(end);
        let signs = UpstreamObservation {
            restart_id: Some(1),
            latency: SERVICE,
            leaving: false,
        };
        limiter.finish(now, leg.attempt, answer(&leg), signs, &mut actions);
    }
    println!(
        "answered={answered} highest_in_flight={highest} cold={} virtual_ms={}",
        limiter.is_cold(),
        now.duration_since(start).as_millis()
    );
}

fn leg(attempt: u64) -> LegRequest {
    let body = format!("title {attempt}");
    LegRequest {
        attempt: AttemptId(attempt),
        query: QueryId(attempt),
        search: "portal".into(),
        class: "lookup".into(),
        organisation: "school".into(),
        snapshot: SnapshotId(1),
        range: KeyRange { start: 0, end: 100 },
        upstream: "portal-000-0".into(),
        fingerprint: Fingerprint::of("portal", &body),
        body: body.into(),
        idempotent: true,
        priority: 0,
        budget: Duration::from_secs(1),
    }
}

fn answer(leg: &LegRequest) -> LegResult {
    LegResult::Answer(LegAnswer {
        attempt: leg.attempt,
        snapshot: leg.snapshot,
        range: leg.range,
        documents: 100,
        hits: Vec::new(),
    })
}
