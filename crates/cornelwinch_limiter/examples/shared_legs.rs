//! Measures how many executions are saved by sharing identical legs when the
//! requests follow a Zipf distribution.
//!
//! `cargo run --release -p cornelwinch_limiter --example shared_legs`

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use cornelwinch_limiter::{Limiter, LimiterAction, LimiterConfig, OwnershipStart};
use cornelwinch_types::{
    AttemptId, Fingerprint, KeyRange, LegAnswer, LegRequest, LegResult, QueryId, Refusal,
    SnapshotId, UpstreamObservation,
};

const LEGS: u64 = 100_000;
const TITLES: usize = 2000;
const SLOTS: usize = 3;
const SERVICE_US: f64 = 1500.0;
const BUDGET: Duration = Duration::from_millis(50);

#[derive(Debug, Default)]
struct Totals {
    sent: u64,
    answered: u64,
    overloaded: u64,
    latencies_us: Vec<u128>,
}

/// Draws an index from a Zipf distribution with exponent 1, given the running sums
/// of its weights.
fn draw_zipf(rng: &mut fastrand::Rng, cumulative_weights: &[f64]) -> usize {
    let x = rng.f64() * cumulative_weights[cumulative_weights.len() - 1];
    cumulative_weights.partition_point(|s| *s < x)
}

fn leg(attempt: u64, title: usize) -> LegRequest {
    let body = format!("title {title}");
    LegRequest {
        attempt: AttemptId(attempt),
        query: QueryId(attempt),
        search: "portal".into(),
        class: "interactive".into(),
        organisation: "school".into(),
        snapshot: SnapshotId(1),
        range: KeyRange { start: 0, end: 100 },
        upstream: "leaf-1".into(),
        fingerprint: Fingerprint::of("portal", &body),
        body: body.into(),
        idempotent: true,
        priority: 0,
        budget: BUDGET,
    }
}

/// Simulates the request mix at `load` times the capacity of the upstream.
fn run(load: f64, share_identical: bool) -> Totals {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut sum = 0.0;
    let weights = (1..=TITLES).map(|i| 1.0 / i as f64);
    let cumulative_weights = weights
        .map(|w| {
            sum += w;
            sum
        })
        .collect::<Vec<_>>();
    let mut now = Instant::now();
    let cfg = LimiterConfig {
        slots: SLOTS,
        share_identical,
        ..LimiterConfig::default()
    };
    let mut limiter = Limiter::new(now, cfg, OwnershipStart::Cold);
    let mean_gap_us = SERVICE_US / SLOTS as f64 / load;
    let mut totals = Totals::default();
    let mut submitted = BTreeMap::new();
    let mut running: BTreeMap<(Instant, AttemptId), LegRequest> = BTreeMap::new();
    let mut out = Vec::new();
    let mut attempt = 0;
    let mut arrival = now;
    loop {
        let done = running.first_key_value().map(|(k, _)| k.0);
        let wake = limiter.next_wake();
        let next_arrival = (attempt < LEGS).then_some(arrival);
        let Some(next) = [done, wake, next_arrival].into_iter().flatten().min() else {
            break;
        };
        now = now.max(next);
        if done == Some(next) {
            let Some((_, req)) = running.pop_first() else {
                break;
            };
            let answer = LegAnswer {
                attempt: req.attempt,
                snapshot: req.snapshot,
                range: req.range,
                documents: 1,
                hits: Vec::new(),
            };
            let latency = Duration::from_micros(SERVICE_US as u64);
            let observation = UpstreamObservation {
                restart_id: Some(1),
                latency,
                leaving: false,
            };
            limiter.finish(
                now,
                req.attempt,
                LegResult::Answer(answer),
                observation,
                &mut out,
            );
        } else if next_arrival == Some(next) {
            attempt += 1;
            submitted.insert(AttemptId(attempt), now);
            let req = leg(attempt, draw_zipf(&mut rng, &cumulative_weights));
            limiter.submit(now, req, "host-1".into(), &mut out);
            let gap_us = -mean_gap_us * (1.0 - rng.f64()).ln();
            arrival = now + Duration::from_nanos((gap_us * 1000.0) as u64);
        } else {
            limiter.on_wake(now, &mut out);
        }
        for action in out.drain(..) {
            match action {
                LimiterAction::Send(req) => {
                    totals.sent += 1;
                    let service = SERVICE_US * (0.5 + rng.f64());
                    let done = now + Duration::from_micros(service as u64);
                    running.insert((done, req.attempt), req);
                }
                LimiterAction::Reply {
                    attempt,
                    result: LegResult::Answer(_),
                    ..
                } => {
                    totals.answered += 1;
                    totals
                        .latencies_us
                        .push((now - submitted[&attempt]).as_micros());
                }
                LimiterAction::Reply {
                    result: LegResult::Refused(Refusal::Overloaded),
                    ..
                } => {
                    totals.overloaded += 1;
                }
                _ => {}
            }
        }
    }
    totals.latencies_us.sort_unstable();
    totals
}

fn main() {
    println!("load share     sent answered overloaded shared_% p50_us p99_us");
    for load in [0.5, 0.8, 1.0, 1.5, 2.0] {
        for share in [false, true] {
            let totals = run(load, share);
            let percentile = |q: usize| totals.latencies_us[totals.latencies_us.len() * q / 100];
            println!(
                "{load:4} {share:5} {:8} {:8} {:10} {:8.1} {:6} {:6}",
                totals.sent,
                totals.answered,
                totals.overloaded,
                100.0 * totals.answered.saturating_sub(totals.sent) as f64 / totals.answered as f64,
                percentile(50),
                percentile(99),
            );
        }
    }
}
