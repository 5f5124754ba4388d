//! Simulation of the limit on gathered requests with overloaded upstreams.

use std::time::{Duration, Instant};

use cornelwinch_routing::{GatherLimit, GatherOutcome};

const UPSTREAMS: usize = 6;
/// Legs that an upstream runs at the same time.
const SLOTS_PER_UPSTREAM: usize = 4;
/// Legs that an upstream queues in addition to those it runs.
const QUEUE_PER_UPSTREAM: usize = 12;
/// Length of a simulation in leg times.
const DURATION_LEG_TIMES: u64 = 80;
/// Delay of a caller between an answer and its next request.
const CALLER_DELAY_MS: u64 = 20;

/// Time until a refusal reaches the host.
const REFUSAL_DELAY_MS: u64 = 3;

#[derive(Debug)]
struct Case {
    seed: u64,
    callers: usize,
    /// Time within which the legs of a request reach their upstreams.
    spread_ms: u64,
    /// Mean time for which an upstream runs a leg.
    run_ms: u64,
}

struct Request {
    caller: usize,
    /// Time at which each leg reaches its upstream.
    arrivals: [u64; UPSTREAMS],
    /// Time at which each leg ends.
    ends: [Option<u64>; UPSTREAMS],
    /// Time at which a refusal reaches the host.
    refused: Option<u64>,
}

/// Simulates callers and upstreams and returns the number of complete answers.
fn simulate(case: &Case) -> usize {
    let mut random = fastrand::Rng::with_seed(case.seed);
    let mut draw = move |n: u64| random.u64(..n);
    let start = Instant::now();
    let mut limit = GatherLimit::default();
    let mut next_call: Vec<Option<u64>> = (0..case.callers)
        .map(|_| Some(draw(CALLER_DELAY_MS)))
        .collect();
    let mut upstreams: Vec<Vec<u64>> = vec![Vec::new(); UPSTREAMS];
    let mut open: Vec<Request> = Vec::new();
    let mut served = 0;
    for ms in 0..DURATION_LEG_TIMES * case.run_ms {
        let now = start + Duration::from_millis(ms);
        for upstream in &mut upstreams {
            upstream.retain(|end| *end > ms);
        }
        for (caller, next) in next_call.iter_mut().enumerate() {
            if next.is_none_or(|at| at > ms) {
                continue;
            }
            if limit.try_start(now) {
                *next = None;
                let arrivals = std::array::from_fn(|_| ms + draw(case.spread_ms));
                open.push(Request {
                    caller,
                    arrivals,
                    ends: [None; UPSTREAMS],
                    refused: None,
                });
            } else {
                *next = Some(ms + CALLER_DELAY_MS);
            }
        }
        for request in &mut open {
            for (n, upstream) in upstreams.iter_mut().enumerate() {
                if request.arrivals[n] != ms || request.refused.is_some_and(|at| at <= ms) {
                    continue;
                }
                if upstream.len() >= SLOTS_PER_UPSTREAM + QUEUE_PER_UPSTREAM {
                    request.refused.get_or_insert(ms + REFUSAL_DELAY_MS);
                    continue;
                }
                let start = upstream
                    .len()
                    .checked_sub(SLOTS_PER_UPSTREAM)
                    .map_or(ms, |n| upstream[n]);
                let end = start + case.run_ms / 2 + draw(case.run_ms);
                upstream.push(end);
                upstream.sort_unstable();
                request.ends[n] = Some(end);
            }
        }
        open.retain(|request| {
            let is_served = request
                .ends
                .iter()
                .all(|end| end.is_some_and(|end| end <= ms));
            let is_refused = request.refused.is_some_and(|at| at <= ms);
            if !is_served && !is_refused {
                return true;
            }
            served += usize::from(is_served);
            let outcome = if is_served {
                GatherOutcome::Served
            } else {
                GatherOutcome::Overloaded
            };
            limit.finish(now, outcome);
            next_call[request.caller] = Some(ms + CALLER_DELAY_MS);
            false
        });
    }
    served
}

/// Guards against a limit that lets upstreams spend their capacity on legs of failing
/// requests: at least half of the possible requests are answered, whatever the number
/// of callers, the time of a leg and its spread.
#[test]
fn half_of_what_upstreams_can_run_is_answered() {
    let possible = SLOTS_PER_UPSTREAM * DURATION_LEG_TIMES as usize;
    for run_ms in [15, 50, 100] {
        let mut least = possible;
        for spread_ms in [1, 4, 15, 30] {
            for callers in [20, 80, 320] {
                for seed in 0..6 {
                    let case = Case {
                        seed,
                        callers,
                        spread_ms,
                        run_ms,
                    };
                    let served = simulate(&case);
                    assert!(served >= possible / 2, "{served} of {possible}: {case:?}");
                    least = least.min(served);
                }
            }
        }
        println!("legs of {run_ms} ms: {least} of {possible} in the worst case");
    }
}
