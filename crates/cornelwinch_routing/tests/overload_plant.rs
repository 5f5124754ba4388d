//! The limit on gathered requests against leaves that are short.

use std::time::{Duration, Instant};

use cornelwinch_routing::{GatherLimit, GatherOutcome};

const LEAVES: usize = 6;
const SLOTS: usize = 4;
/// Requests that a leaf queues beside those at work.
const QUEUE: usize = 12;
/// Length of a play, in leg times.
const LENGTH_WORKS: u64 = 80;
/// Pause of a caller between an answer and its next request.
const PAUSE_MS: u64 = 20;

/// Time in which a refusal reaches the host.
const RETURN_MS: u64 = 3;

#[derive(Debug)]
struct Case {
    seed: u64,
    callers: usize,
    /// Legs of a request reach their leaves within this time.
    spread_ms: u64,
    /// Mean time of a leg at work.
    work_ms: u64,
}

struct Request {
    caller: usize,
    /// When each leg reaches its leaf.
    arrivals: [u64; LEAVES],
    /// When each leg ends.
    ends: [Option<u64>; LEAVES],
    /// When the host learns that a leaf refused.
    refused: Option<u64>,
}

/// Runs callers against leaves and returns the number of complete answers.
fn play(case: &Case) -> usize {
    let mut random = fastrand::Rng::with_seed(case.seed);
    let mut draw = move |n: u64| random.u64(..n);
    let start = Instant::now();
    let mut limit = GatherLimit::default();
    let mut next_call: Vec<Option<u64>> = (0..case.callers).map(|_| Some(draw(PAUSE_MS))).collect();
    let mut leaves: Vec<Vec<u64>> = vec![Vec::new(); LEAVES];
    let mut open: Vec<Request> = Vec::new();
    let mut served = 0;
    for ms in 0..LENGTH_WORKS * case.work_ms {
        let now = start + Duration::from_millis(ms);
        for leaf in &mut leaves {
            leaf.retain(|end| *end > ms);
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
                    ends: [None; LEAVES],
                    refused: None,
                });
            } else {
                *next = Some(ms + PAUSE_MS);
            }
        }
        for request in &mut open {
            for (n, leaf) in leaves.iter_mut().enumerate() {
                if request.arrivals[n] != ms || request.refused.is_some_and(|at| at <= ms) {
                    continue;
                }
                if leaf.len() >= SLOTS + QUEUE {
                    request.refused.get_or_insert(ms + RETURN_MS);
                    continue;
                }
                let start = leaf.len().checked_sub(SLOTS).map_or(ms, |n| leaf[n]);
                let end = start + case.work_ms / 2 + draw(case.work_ms);
                leaf.push(end);
                leaf.sort_unstable();
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
            let end = if is_served {
                GatherOutcome::Served
            } else {
                GatherOutcome::Overloaded
            };
            limit.finish(now, end);
            next_call[request.caller] = Some(ms + PAUSE_MS);
            false
        });
    }
    served
}

/// Guards against a limit that keeps upstreams busy with legs of requests that fail:
/// half of what they can run is answered, whatever the number of callers, the time
/// of a leg and its spread.
#[test]
fn half_of_what_leaves_can_run_is_answered() {
    let possible = SLOTS * LENGTH_WORKS as usize;
    for work_ms in [15, 50, 100] {
        let mut least = possible;
        for spread_ms in [1, 4, 15, 30] {
            for callers in [20, 80, 320] {
                for seed in 0..6 {
                    let case = Case {
                        seed,
                        callers,
                        spread_ms,
                        work_ms,
                    };
                    let served = play(&case);
                    assert!(served >= possible / 2, "{served} of {possible}: {case:?}");
                    least = least.min(served);
                }
            }
        }
        println!("legs of {work_ms} ms: {least} of {possible} in the worst case");
    }
}
