use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Factor on the limit when upstreams are short; a usual step of multiplicative
/// decrease.
const DECREASE: f64 = 0.8;

/// Time between two decreases, a leg time of 15 ms and a little: a limit of hundreds
/// of requests falls to a dozen within a third of a second.
const DECREASE_EVERY: Duration = Duration::from_millis(20);

/// Time for which a request that lacked upstreams keeps its place, twice a leg time
/// of 15 ms. Its other legs may still run; without a pause, requests that follow at
/// once find the upstreams full of such legs and leave more of them.
const HOLD: Duration = Duration::from_millis(30);

/// Growth of the limit, in requests, by each limit's worth of answers.
const INCREASE: f64 = 3.0;

/// Smallest limit in requests, so that the upstreams are still tried.
const LEAST: f64 = 3.0;

/// Time without a shortage after which there is no limit: longer than the time
/// budget of a gathered request with its repeat by the caller.
const CALM: Duration = Duration::from_millis(1_200);

/// How a gathered request ended, as far as it tells about the upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GatherOutcome {
    /// It was answered.
    Served,
    /// Upstreams refused too many legs.
    Overloaded,
    /// Neither.
    Other,
}

/// Bounds the gathered requests to the same shards that are in progress on this host
/// while upstreams cannot run all of them. Each such request needs most of its
/// shards, so a little too many of them leave none complete.
#[derive(Debug, Default)]
pub struct GatherLimit {
    in_progress: usize,
    shortage: Option<Shortage>,
    /// When the places of ended requests become free, earliest first.
    held: VecDeque<Instant>,
}

#[derive(Debug, Clone, Copy)]
struct Shortage {
    /// Requests that may be in progress.
    limit: f64,
    /// When the limit was set or lowered last.
    lowered: Instant,
}

impl GatherLimit {
    /// Counts a request and returns true if it may start.
    pub fn try_start(&mut self, now: Instant) -> bool {
        self.expire(now);
        let taken = (self.in_progress + self.held.len()) as f64;
        let may_start = self.shortage.is_none_or(|shortage| taken < shortage.limit);
        self.in_progress += usize::from(may_start);
        may_start
    }

    /// Records the end of a request that was started.
    pub fn finish(&mut self, now: Instant, end: GatherOutcome) {
        let in_progress = self.in_progress as f64;
        self.in_progress = self.in_progress.saturating_sub(1);
        match (end, &mut self.shortage) {
            (GatherOutcome::Served, Some(shortage)) => {
                shortage.limit += INCREASE / shortage.limit.max(1.0);
            }
            (GatherOutcome::Overloaded, shortage) => {
                self.held.push_back(now + HOLD);
                let limit = match shortage {
                    Some(last) if elapsed(last.lowered, now) < DECREASE_EVERY => return,
                    Some(last) => last.limit.min(in_progress),
                    None => in_progress,
                };
                *shortage = Some(Shortage {
                    limit: (limit * DECREASE).max(LEAST),
                    lowered: now,
                });
            }
            (GatherOutcome::Served, None) | (GatherOutcome::Other, _) => {}
        }
    }

    /// Frees places and ends the limit if their time has come.
    pub fn expire(&mut self, now: Instant) {
        self.shortage
            .take_if(|shortage| elapsed(shortage.lowered, now) >= CALM);
        while self.held.front().is_some_and(|free| *free <= now) {
            self.held.pop_front();
        }
    }

    /// Requests in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress
    }

    /// Requests that may be in progress; `None` without a limit.
    pub fn limit(&self) -> Option<usize> {
        self.shortage.map(|shortage| shortage.limit.ceil() as usize)
    }

    /// Reports whether no request is in progress and there is no limit.
    pub fn is_idle(&self) -> bool {
        self.in_progress == 0 && self.shortage.is_none()
    }
}

fn elapsed(at: Instant, now: Instant) -> Duration {
    now.saturating_duration_since(at)
}
