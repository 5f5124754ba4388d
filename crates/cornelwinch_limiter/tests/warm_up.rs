//! Guards against an upstream that is taken for warm too early: more than the
//! cold limit makes it fall over and start its warm-up again.

mod fake;

use std::time::{Duration, Instant};

use cornelwinch_limiter::{Limiter, LimiterAction, LimiterConfig, OwnershipStart};
use cornelwinch_types::{LegRequest, LegResult, Refusal, UpstreamObservation};
use fake::MS;

/// Legs that the upstream serves before it is warm, more than the limiter's
/// first guess.
const LEGS_TO_WARM: u32 = 50;
const WARM_SERVICE: Duration = Duration::from_millis(5);
const COLD_SERVICE: Duration = Duration::from_millis(15);
const FALL_TIME: Duration = Duration::from_millis(500);

/// An upstream that bears one leg at a time until it is warm.
struct ColdUpstream {
    restart: u64,
    served: u32,
    falls: u32,
    down_until: Instant,
    running: Vec<(Instant, LegRequest)>,
}

/// Offers legs without pause and returns how often the upstream fell over.
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
        restart: 1,
        served: if restart_after.is_some() {
            LEGS_TO_WARM
        } else {
            0
        },
        falls: 0,
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
            upstream.restart += 1;
            upstream.served = 0;
        }
        let signs = UpstreamObservation {
            restart_id: Some(upstream.restart),
            ..UpstreamObservation::default()
        };
        let (done, running) = upstream.running.drain(..).partition(|(end, _)| *end <= now);
        upstream.running = running;
        for (_, req) in done {
            upstream.served += 1;
            limiter.finish(now, req.attempt, fake::answer(&req), signs, &mut out);
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
                limiter.finish(now, req.attempt, shed, signs, &mut out);
            }
            sent.extend(out.into_iter().filter_map(self::sent));
        }
    }
    upstream.falls
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
            self.falls += 1;
            self.served = 0;
            self.down_until = now + FALL_TIME;
            return false;
        }
        let service = if cold { COLD_SERVICE } else { WARM_SERVICE };
        self.running.push((now + service, req.clone()));
        true
    }
}

#[test]
fn slow_answers_hold_cold_limit() {
    let falls = run(
        OwnershipStart::Cold,
        Some(Duration::from_secs(2)),
        Duration::from_secs(8),
    );
    // The legs that were in flight when it restarted can make it fall once.
    assert!(falls <= 1, "falls={falls}");
}

#[test]
fn falls_lengthen_warm_up() {
    let falls = run(OwnershipStart::Cold, None, Duration::from_secs(20));
    // Without a known speed the first guesses of 16 and 32 legs are too low.
    assert!(falls <= 2, "falls={falls}");
}
