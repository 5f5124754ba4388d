//! The decisions of one host: those of the crate, and those that they replaced.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use cornelwinch_routing::{AdmissionOrder, Caller, GatherLimit, GatherOutcome, ReturnSchedule};

/// Why a request failed, the strongest reason last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Failure {
    Other,
    /// Upstreams did not run its legs in time.
    Late,
    /// Upstreams refused its legs.
    Refused,
}

/// Version of the decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Version {
    Current,
    /// As `Current`, and while the limit binds, requests start in the order of admission.
    Ordered,
    /// The limit falls only when legs are refused, to three requests on each host, and every
    /// refused caller returns after the same time.
    Previous,
}

#[derive(Debug)]
pub(crate) enum Admission {
    Current {
        limit: GatherLimit,
        returns: ReturnSchedule,
        order: Option<(AdmissionOrder, fastrand::Rng)>,
    },
    Previous(PreviousLimit),
}

impl Admission {
    pub(crate) fn new(version: Version, hosts: usize) -> Self {
        match version {
            Version::Current | Version::Ordered => {
                let mut limit = GatherLimit::default();
                limit.set_hosts(hosts);
                let returns = ReturnSchedule::default();
                let order = (version == Version::Ordered)
                    .then(|| (AdmissionOrder::default(), fastrand::Rng::with_seed(1)));
                Self::Current {
                    limit,
                    returns,
                    order,
                }
            }
            Version::Previous => Self::Previous(PreviousLimit::default()),
        }
    }

    pub(crate) fn try_start(&mut self, now: Instant, caller: &Caller) -> bool {
        match self {
            Self::Current {
                limit,
                order: Some((order, rng)),
                ..
            } => limit.try_start_in_order(now, order, caller, rng.f64()),
            Self::Current { limit, .. } => limit.try_start(now),
            Self::Previous(limit) => limit.try_start(now),
        }
    }

    /// Records the end of a request that was in progress for `time`; `None` if it was answered.
    pub(crate) fn finish(&mut self, now: Instant, time: Duration, failure: Option<Failure>) {
        match self {
            Self::Current {
                limit,
                returns,
                order,
            } => {
                if let Some((order, _)) = order {
                    order.record_end(time);
                }
                if failure.is_none() {
                    returns.record_answer(now);
                }
                limit.finish(
                    now,
                    match failure {
                        None => GatherOutcome::Served,
                        Some(Failure::Other) => GatherOutcome::Other,
                        Some(Failure::Late | Failure::Refused) => GatherOutcome::Overloaded,
                    },
                );
            }
            Self::Previous(limit) => limit.finish(now, failure),
        }
    }

    pub(crate) fn return_time(&mut self, now: Instant, longest: Duration) -> Duration {
        match self {
            Self::Current { returns, .. } => returns.next_return(now, longest),
            Self::Previous(_) => Duration::from_millis(50),
        }
    }
}

#[derive(Debug, Default)]
pub(crate) struct PreviousLimit {
    in_progress: usize,
    /// Limit, and the time at which it was set or decreased.
    overload: Option<(f64, Instant)>,
    delayed_releases: VecDeque<Instant>,
}

impl PreviousLimit {
    fn try_start(&mut self, now: Instant) -> bool {
        self.overload
            .take_if(|(_, at)| now - *at >= Duration::from_millis(1_200));
        while self.delayed_releases.front().is_some_and(|at| *at <= now) {
            self.delayed_releases.pop_front();
        }
        let taken = (self.in_progress + self.delayed_releases.len()) as f64;
        let may_start = self.overload.is_none_or(|(limit, _)| taken < limit);
        self.in_progress += usize::from(may_start);
        may_start
    }

    fn finish(&mut self, now: Instant, failure: Option<Failure>) {
        let in_progress = self.in_progress as f64;
        self.in_progress -= 1;
        match (failure, &mut self.overload) {
            (None, Some((limit, _))) => *limit += 3.0 / limit.max(1.0),
            (Some(Failure::Refused), overload) => {
                self.delayed_releases
                    .push_back(now + Duration::from_millis(30));
                let limit = match overload {
                    Some((_, at)) if now - *at < Duration::from_millis(20) => return,
                    Some((limit, _)) => limit.min(in_progress),
                    None => in_progress,
                };
                *overload = Some(((limit * 0.8).max(3.0), now));
            }
            _ => {}
        }
    }
}
