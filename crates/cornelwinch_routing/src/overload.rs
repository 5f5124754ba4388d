use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Factor of a multiplicative decrease of the limit when upstreams are overloaded.
const DECREASE_FACTOR: f64 = 0.8;

/// Minimum time between two decreases, slightly more than a leg time of 15 ms. A limit
/// of hundreds of requests falls to a dozen within a third of a second.
const DECREASE_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which a request that failed for overload still counts against the limit,
/// twice a leg time of 15 ms. Its other legs may still run; requests that follow at
/// once would find the upstreams full of such legs, fail too and leave more of them.
const RELEASE_DELAY: Duration = Duration::from_millis(30);

/// Growth of the limit, in requests, for each `limit` answered requests.
const INCREASE_REQUESTS: f64 = 3.0;

/// Minimum limit in requests, so that the upstreams are still tried.
const MIN_REQUESTS: f64 = 3.0;

/// Time without a decrease after which the limit is removed: longer than the time
/// budget of a gathered request and its repeat by the caller.
const LIMIT_TTL: Duration = Duration::from_millis(1_200);

/// Result of a gathered request with regard to upstream overload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GatherOutcome {
    /// The request was answered.
    Served,
    /// The request failed because upstreams refused too many legs.
    Overloaded,
    /// The request ended for another reason.
    Other,
}

/// Adaptive limit on this host's concurrent gathered requests to the same shards. It
/// applies only while upstreams are overloaded. Each such request needs most of its
/// shards, so that slightly too many of them can leave none complete.
#[derive(Debug, Default)]
pub struct GatherLimit {
    in_progress: usize,
    overload: Option<Overload>,
    /// Times at which ended requests stop counting against the limit, earliest first.
    delayed_releases: VecDeque<Instant>,
}

#[derive(Debug, Clone, Copy)]
struct Overload {
    /// Maximum number of requests in progress.
    limit: f64,
    /// Time at which the limit was last set or decreased.
    decreased_at: Instant,
}

impl GatherLimit {
    /// Counts a request if it may start, and reports whether it may.
    pub fn try_start(&mut self, now: Instant) -> bool {
        self.expire(now);
        let taken = (self.in_progress + self.delayed_releases.len()) as f64;
        let may_start = self.overload.is_none_or(|overload| taken < overload.limit);
        self.in_progress += usize::from(may_start);
        may_start
    }

    /// Records the end of a request that was started.
    pub fn finish(&mut self, now: Instant, outcome: GatherOutcome) {
        let in_progress = self.in_progress as f64;
        self.in_progress = self.in_progress.saturating_sub(1);
        match (outcome, &mut self.overload) {
            (GatherOutcome::Served, Some(overload)) => {
                overload.limit += INCREASE_REQUESTS / overload.limit.max(1.0);
            }
            (GatherOutcome::Overloaded, overload) => {
                self.delayed_releases.push_back(now + RELEASE_DELAY);
                let limit = match overload {
                    Some(last) if elapsed(last.decreased_at, now) < DECREASE_INTERVAL => return,
                    Some(last) => last.limit.min(in_progress),
                    None => in_progress,
                };
                *overload = Some(Overload {
                    limit: (limit * DECREASE_FACTOR).max(MIN_REQUESTS),
                    decreased_at: now,
                });
            }
            (GatherOutcome::Served, None) | (GatherOutcome::Other, _) => {}
        }
    }

    /// Applies the delayed releases that are due and removes an expired limit.
    pub fn expire(&mut self, now: Instant) {
        self.overload
            .take_if(|overload| elapsed(overload.decreased_at, now) >= LIMIT_TTL);
        while self.delayed_releases.front().is_some_and(|at| *at <= now) {
            self.delayed_releases.pop_front();
        }
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress
    }

    /// Returns the maximum number of requests in progress; `None` without a limit.
    pub fn limit(&self) -> Option<usize> {
        self.overload.map(|overload| overload.limit.ceil() as usize)
    }

    /// Reports whether no request is in progress and there is no limit.
    pub fn is_idle(&self) -> bool {
        self.in_progress == 0 && self.overload.is_none()
    }
}

fn elapsed(at: Instant, now: Instant) -> Duration {
    now.saturating_duration_since(at)
}
