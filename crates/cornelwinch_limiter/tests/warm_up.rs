//! Guards against ending the cold start of an upstream too early: more legs than the
//! cold limit overload it, and it fails and has to warm up again.

mod fake;

use std::time::{Duration, Instant};

use cornelwinch_limiter::{Limiter, LimiterAction, LimiterConfig, OwnershipStart};
use cornelwinch_types::{LegRequest, LegResult, Refusal, UpstreamObservation};
use fake::MS;

/// Legs that the upstream serves before it is warm.
const LEGS_TO_WARM: u32 = 50;
const WARM_SERVICE: Duration = Duration::from_millis(5);
const COLD_SERVICE: Duration = Duration::from_millis(15);
const OVERLOAD_DOWNTIME: Duration = Duration::from_millis(500);

/// An upstream that fails from overload if it gets more than one leg at a time before
/// it is warm.
struct ColdUpstream {
    restart_id: u64,
    served: u32,
    overload_failures: u32,
    down_until: Instant,
    running: Vec<(Instant, LegRequest)>,
}

/// Keeps the queue filled for `duration` and returns how often the upstream failed
/// from overload.
fn run(start: OwnershipStart, restart_after: Option<Duration>, duration: Duration) -> u32 {
    let begin = Instant::now();
    let cfg = LimiterConfig {
        slots: 3,
        cold_limit: 1,
        guard_interval: 100 * MS,
        ..LimiterConfig::default()
    };
    let mut limiter = Limiter::new(begin, cfg, start);
    let mut upstream = ColdUpstream {
        restart_id: 1,
        served: if restart_after.is_some() {
            LEGS_TO_WARM
        } else {
            0
        },
        overload_failures: 0,
        down_until: begin,
        running: Vec::new(),
    };
    let mut attempt = 0;
    let mut now = begin;
    let mut restart_at = restart_after.map(|after| begin + after);
    while now < begin + duration {
        now += MS;
        let mut out = Vec::new();
        if restart_at.is_some_and(|at| at <= now) {
            restart_at = None;
            upstream.restart_id += 1;
            upstream.served = 0;
        }
        let observation = UpstreamObservation {
            restart_id: Some(upstream.restart_id),
            ..UpstreamObservation::default()
        };
        let (done, running) = upstream.running.drain(..).partition(|(end, _)| *end <= now);
        upstream.running = running;
        for (_, req) in done {
            upstream.served += 1;
            limiter.finish(now, req.attempt, fake::answer(&req), observation, &mut out);
        }
        limiter.on_wake(now, &mut out);
        while limiter.queued() < 4 {
            attempt += 1;
            let body = format!("title {attempt}");
            limiter.submit(
                now,
                fake::leg(attempt, &body, 0, 200 * MS),
                "h".into(),
                &mut out,
            );
        }
        let mut sent: Vec<LegRequest> = out.into_iter().filter_map(sent).collect();
        while let Some(req) = sent.pop() {
            let mut out = Vec::new();
            if !upstream.take(now, &req) {
                let shed = LegResult::Refused(Refusal::Shed);
                limiter.finish(now, req.attempt, shed, observation, &mut out);
            }
            sent.extend(out.into_iter().filter_map(self::sent));
        }
    }
    upstream.overload_failures
}

fn sent(action: LimiterAction) -> Option<LegRequest> {
    match action {
        LimiterAction::Send(req) => Some(req),
        _ => None,
    }
}

impl ColdUpstream {
    /// Starts a leg, or sheds it and returns false.
    fn take(&mut self, now: Instant, req: &LegRequest) -> bool {
        if now < self.down_until {
            return false;
        }
        let cold = self.served < LEGS_TO_WARM;
        if cold && !self.running.is_empty() {
            self.overload_failures += 1;
            self.served = 0;
            self.down_until = now + OVERLOAD_DOWNTIME;
            return false;
        }
        let service = if cold { COLD_SERVICE } else { WARM_SERVICE };
        self.running.push((now + service, req.clone()));
        true
    }
}

#[test]
fn slow_answers_hold_cold_limit() {
    let overload_failures = run(
        OwnershipStart::Cold,
        Some(Duration::from_secs(2)),
        Duration::from_secs(8),
    );
    // The legs in flight at the restart can cause one overload failure.
    assert!(overload_failures <= 1, "falls={overload_failures}");
}

#[test]
fn falls_lengthen_warm_up() {
    let overload_failures = run(OwnershipStart::Cold, None, Duration::from_secs(20));
    // Estimates of 16 and 32 legs would be too low and cause one failure each.
    assert!(overload_failures <= 2, "falls={overload_failures}");
}
