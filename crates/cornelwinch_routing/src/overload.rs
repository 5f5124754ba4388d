use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::{AdmissionOrder, AdmissionTurn, Caller};

/// Factor of a multiplicative decrease of the limit when upstreams are overloaded.
const DECREASE_FACTOR: f64 = 0.8;

/// Minimum time between two decreases, slightly more than a leg time of 15 ms. A limit
/// of hundreds of requests falls to a dozen within a third of a second.
const DECREASE_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which a request that failed for overload still counts against the limit,
/// twice a leg time of 15 ms. Its other legs may still run; requests that follow at
/// once would find the upstreams full of such legs, fail too and leave more of them.
const RELEASE_DELAY: Duration = Duration::from_millis(30);

/// Growth of the limits of all hosts together, in requests, while each of them answers as many
/// requests as its limit.
const INCREASE_REQUESTS: f64 = 3.0;

/// Minimum of the limits of all hosts together in requests, so that the upstreams are still tried.
const MIN_REQUESTS: f64 = 3.0;

/// Minimum limit of one host in requests: one start a second.
const MIN_REQUESTS_OF_ONE_HOST: f64 = 0.1;

/// Factor by which an answered request raises a limit below one request, in addition to the
/// increase, so that it recovers within a few starts.
const PACED_GROWTH_FACTOR: f64 = 1.5;

/// Time between two starts at a limit of one request; a lower limit makes it longer in proportion.
/// It is the time of a request whose legs are queued.
const PACE_AT_ONE_REQUEST: Duration = Duration::from_millis(100);

/// Time without a decrease after which the limit is removed: longer than the time
/// budget of a gathered request and its repeat by the caller.
const LIMIT_TTL: Duration = Duration::from_millis(1_200);

/// Factor of the limit for requests that precede others. Their sum is within the limit, but at the
/// limit itself many of them would find it taken by a request that came a little earlier.
const FIRST_LIMIT_FACTOR: f64 = 2.0;

/// Result of a gathered request with regard to upstream overload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GatherOutcome {
    /// The request was answered.
    Served,
    /// The request failed because upstreams refused too many legs, or did not run them in time.
    Overloaded,
    /// The request ended for another reason.
    Other,
}

/// Adaptive limit on this host's concurrent gathered requests to the same shards. It
/// applies only while upstreams are overloaded. Each such request needs most of its
/// shards, so that slightly too many of them can leave none complete.
///
/// It answers bursts, and the loss or slowness of upstreams under an unchanged load. A limit
/// below one request is kept by a pace: one request at a time, with a pause between two starts.
#[derive(Debug, Default)]
pub struct GatherLimit {
    /// Number of other hosts that gather from the same upstreams.
    other_hosts: usize,
    in_progress: usize,
    overload: Option<Overload>,
    last_start: Option<Instant>,
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
    /// Sets the number of hosts that gather from the same upstreams, this one included. Each has
    /// its own limit; the more hosts there are, the smaller are the steps and the minimum of each.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.other_hosts = hosts.saturating_sub(1);
    }

    /// Counts a request if it may start, and reports whether it may.
    pub fn try_start(&mut self, now: Instant) -> bool {
        self.expire(now);
        self.start_if_free(now, 1.0)
    }

    /// Counts a request if it may start, and reports whether it may. While the limit is in force,
    /// the order decides who gets its capacity; `draw` is a random number from 0 to 1.
    pub fn try_start_in_order(
        &mut self,
        now: Instant,
        order: &mut AdmissionOrder,
        caller: &Caller,
        draw: f64,
    ) -> bool {
        self.expire(now);
        order.record_arrival(now, caller);
        let turn = match self.overload {
            None => AdmissionTurn::Any,
            Some(Overload { limit, .. }) => order.turn(now, caller, limit, draw),
        };
        let may_start = match turn {
            AdmissionTurn::Any => self.start_if_free(now, 1.0),
            AdmissionTurn::First => self.start_if_free(now, FIRST_LIMIT_FACTOR),
            AdmissionTurn::Wait => false,
        };
        if may_start {
            order.record_start(now);
        }
        may_start
    }

    /// Counts a request if it may start at the limit times `factor`, and reports whether it may.
    fn start_if_free(&mut self, now: Instant, factor: f64) -> bool {
        let taken = (self.in_progress + self.delayed_releases.len()) as f64;
        let limit = self.overload.map(|overload| overload.limit * factor);
        let may_start = match limit {
            None => true,
            Some(limit) if limit >= 1.0 => taken < limit,
            Some(limit) => {
                taken < 1.0
                    && self
                        .last_start
                        .is_none_or(|at| elapsed(at, now) >= pace(limit))
            }
        };
        if may_start {
            self.in_progress += 1;
            self.last_start = Some(now);
        }
        may_start
    }

    /// Records the end of a request that was started.
    pub fn finish(&mut self, now: Instant, outcome: GatherOutcome) {
        let hosts = (self.other_hosts + 1) as f64;
        let min_limit = (MIN_REQUESTS / hosts).max(MIN_REQUESTS_OF_ONE_HOST);
        let in_progress = self.in_progress as f64;
        self.in_progress = self.in_progress.saturating_sub(1);
        match (outcome, &mut self.overload) {
            (GatherOutcome::Served, Some(overload)) => {
                let growth = INCREASE_REQUESTS / hosts / overload.limit.max(1.0);
                if overload.limit < 1.0 {
                    overload.limit *= PACED_GROWTH_FACTOR;
                }
                overload.limit += growth;
            }
            (GatherOutcome::Overloaded, overload) => {
                self.delayed_releases.push_back(now + RELEASE_DELAY);
                let limit = match overload {
                    Some(last) if elapsed(last.decreased_at, now) < DECREASE_INTERVAL => return,
                    Some(last) => last.limit.min(in_progress),
                    None => in_progress,
                };
                *overload = Some(Overload {
                    limit: (limit * DECREASE_FACTOR).max(min_limit),
                    decreased_at: now,
                });
            }
            (GatherOutcome::Served, None) | (GatherOutcome::Other, _) => {}
        }
    }

    /// Applies the delayed releases that are due and removes an expired limit.
    pub fn expire(&mut self, now: Instant) {
        self.overload.take_if(|overload| {
            // At a low limit, starts that show whether the overload lasts are far apart.
            let ttl = LIMIT_TTL.max(2 * pace(overload.limit));
            elapsed(overload.decreased_at, now) >= ttl
        });
        while self.delayed_releases.front().is_some_and(|at| *at <= now) {
            self.delayed_releases.pop_front();
        }
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress
    }

    /// Returns the maximum number of requests in progress; `None` without a limit.
    pub fn limit(&self) -> Option<f64> {
        self.overload.map(|overload| overload.limit)
    }

    /// Reports whether no request is in progress and there is no limit.
    pub fn is_idle(&self) -> bool {
        self.in_progress == 0 && self.overload.is_none()
    }
}

/// Returns the time between two starts at a limit of at most one request.
fn pace(limit: f64) -> Duration {
    PACE_AT_ONE_REQUEST.div_f64(limit.min(1.0))
}

fn elapsed(at: Instant, now: Instant) -> Duration {
    now.saturating_duration_since(at)
}
