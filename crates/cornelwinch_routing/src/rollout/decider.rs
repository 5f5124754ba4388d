use std::time::{Duration, Instant};

use cornelwinch_types::{Name, SortedMap};

use crate::rollout::{
    Evidence, Finding, RolloutOrder, RolloutPhase, RolloutState, RouteTally, VersionReport,
    VersionStage,
};

/// Time after its last report for which a host may use tokens and the other versions. It covers
/// the loss of a coordinator (1.5 s) and the first exchange with the next one.
pub(crate) const STAGE_LEASE: Duration = Duration::from_secs(3);

/// Relative difference of clocks that the end of a lease allows for.
const CLOCK_DRIFT_RATIO: f64 = 0.05;

/// Time between the verdict and the end of the order: hosts leave the other versions, and the
/// status is written, with one repetition.
const MIN_FINISH_TIME: Duration = Duration::from_millis(2_500);

/// Share of a long order that is left between the verdict and its end.
const FINISH_RATIO: f64 = 0.1;

/// Time before the end of the order after which two things no longer prevent `completed`: legs in
/// flight, and hosts that are registered but were never heard, which are most likely gone.
const LATE_MARGIN: Duration = Duration::from_millis(1_000);

/// Share of the slack that is never granted. It covers requests whose responses are counted by
/// the upstream later than the leg to the target version.
const RESERVE_RATIO: f64 = 0.1;

/// Share of the slack that is granted at the start. A version that fails at once fails this often.
const FIRST_STEP_RATIO: f64 = 0.25;

/// Number of steps in which the rest of the slack is granted until the verdict.
const SLACK_STEPS: f64 = 8.0;

/// Time for which a decider collects reports before its verdict, so that one that takes over at the
/// end does not judge by the first of them.
const MIN_COLLECT_TIME: Duration = Duration::from_millis(1_000);

/// Fewest requests from which the share of a host in the traffic is estimated.
const MIN_SHARE_REQUESTS: f64 = 50.0;

/// Largest number of unused tokens of one host.
const MAX_HELD_TOKENS: u64 = 8;

/// How much of the traffic the target version may get before the verdict.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutLimits {
    /// Share of the requests that reached the service since the order.
    pub exposure_ratio: f64,
    /// Number of requests in addition.
    pub exposure_slack: f64,
}

#[derive(Debug)]
struct HostRecord {
    report: VersionReport,
    granted: u64,
    responded: Instant,
}

/// Decides on one order from the reports of the hosts.
///
/// The sum of the granted tokens stays within the exposure of the requests that were reported, so
/// the bound holds whatever is lost or late. A decider that takes over from another one grants
/// only for requests that were reported to itself, since it cannot know the grants to hosts that
/// are gone; two deciders at a time therefore stay within the bound together.
#[derive(Debug)]
pub struct RolloutDecider {
    service: Name,
    target_version: Name,
    limits: RolloutLimits,
    duration: Duration,
    /// Start of the order, as far as it is known.
    started: Instant,
    /// Time at which this decider started.
    collecting_since: Instant,
    slack: f64,
    hosts: SortedMap<Name, HostRecord>,
    evidence: Evidence,
    /// Requests that were reported to this decider while it counted on their host.
    reached: u64,
    /// Requests in all reports, including those before this decider took over.
    seen: u64,
    granted: u64,
    phase: RolloutPhase,
    finding: Option<Finding>,
}

impl RolloutDecider {
    /// Starts deciding on an order. `is_first` states that this decider has written the first
    /// status of the order itself; only then may it grant the slack.
    pub fn new(now: Instant, limits: RolloutLimits, order: &RolloutOrder, is_first: bool) -> Self {
        let slack = limits.exposure_slack * (1.0 - RESERVE_RATIO);
        Self {
            service: order.service.clone(),
            target_version: order.target_version.clone(),
            limits,
            duration: order.duration,
            started: now,
            collecting_since: now,
            slack: if is_first { slack } else { 0.0 },
            hosts: SortedMap::new(),
            evidence: Evidence::default(),
            reached: 0,
            seen: 0,
            granted: 0,
            phase: RolloutPhase::Testing,
            finding: None,
        }
    }

    /// Records the report of a host and returns its stage. A report for another target version
    /// gets none.
    pub fn report(
        &mut self,
        now: Instant,
        host: &Name,
        mut report: VersionReport,
    ) -> Option<VersionStage> {
        if report.service != self.service || report.target_version != self.target_version {
            return None;
        }
        // A decider that takes over learns the start of the order from the hosts.
        if let Some(start) = now.checked_sub(report.age) {
            self.started = self.started.min(start);
        }
        let known = self.hosts.get(host).filter(|h| h.report.run == report.run);
        if known.is_some_and(|known| report.reached < known.report.reached) {
            return None;
        }
        let progress = self.progress(now);
        for legs in &report.routes {
            let earlier = known.and_then(|known| {
                let mut routes = known.report.routes.iter();
                routes.find(|earlier| earlier.route == legs.route)
            });
            self.evidence.add(progress, &new_legs(legs, earlier));
        }
        // Requests before the first report to this decider may have been counted by another one.
        let is_active = known.is_some_and(|known| report.reached > known.report.reached);
        let (reached, seen, mut granted) = match known {
            Some(known) => {
                let reached = report.reached - known.report.reached;
                (reached, reached, known.granted)
            }
            None => (0, report.reached, report.granted),
        };
        self.reached += reached;
        self.seen += seen;
        // The response permits the other versions again to a host whose last stage had ended.
        if self.phase == RolloutPhase::Testing {
            self.phase = report.phase;
        }
        report.has_left_others &= self.phase != RolloutPhase::Testing;
        // A host without requests would hold its tokens unused until the verdict.
        if self.phase == RolloutPhase::Testing && is_active {
            let tokens = self.tokens_for(now, &report, granted);
            self.granted += tokens;
            granted += tokens;
        }
        let responded = now;
        let age = report.age;
        self.hosts.insert(
            host.clone(),
            HostRecord {
                report,
                granted,
                responded,
            },
        );
        Some(VersionStage {
            service: self.service.clone(),
            target_version: self.target_version.clone(),
            age,
            phase: self.phase,
            granted,
        })
    }

    /// Advances the order. Returns the state that has to be written now. It is returned again
    /// until the order in the store has it.
    pub fn decide(&mut self, now: Instant, registered: &[Name]) -> Option<RolloutState> {
        if self.phase == RolloutPhase::Testing {
            let progress = self.progress(now);
            let has_collected = now >= self.collecting_since + MIN_COLLECT_TIME;
            self.finding = self.evidence.early_finding(progress);
            if self.finding.is_none() && progress >= 1.0 && has_collected {
                self.finding = self.evidence.final_finding(progress);
                self.phase = if self.finding.is_none() && self.evidence.is_sufficient() {
                    RolloutPhase::Finishing
                } else {
                    RolloutPhase::Reverted
                };
            } else if self.finding.is_some() {
                self.phase = RolloutPhase::Reverted;
            }
        }
        match self.phase {
            RolloutPhase::Testing => None,
            RolloutPhase::Reverted => Some(RolloutState::Reverted),
            RolloutPhase::Finishing => self
                .all_have_left(now, registered)
                .then_some(RolloutState::Completed),
        }
    }

    /// Returns the step of the order.
    pub fn phase(&self) -> RolloutPhase {
        self.phase
    }

    /// Returns the reason of a verdict against the target version. It is `None` if the version
    /// was not tried often enough.
    pub fn finding(&self) -> Option<&Finding> {
        self.finding.as_ref()
    }

    /// Returns the number of granted tokens and the number of requests that they are granted for.
    pub fn exposure(&self) -> (u64, u64) {
        (self.granted, self.reached)
    }

    fn verdict_time(&self) -> Duration {
        let finish = MIN_FINISH_TIME.max(self.duration.mul_f64(FINISH_RATIO));
        self.duration
            .saturating_sub(finish)
            .max(self.duration.mul_f64(0.5))
    }

    /// Returns the elapsed share of the time until the verdict.
    fn progress(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.started).as_secs_f64();
        elapsed / self.verdict_time().as_secs_f64().max(0.001)
    }

    fn tokens_for(&self, now: Instant, report: &VersionReport, granted: u64) -> u64 {
        let steps = (self.progress(now).min(1.0) * SLACK_STEPS).floor() / SLACK_STEPS;
        let slack = self.slack * (FIRST_STEP_RATIO + (1.0 - FIRST_STEP_RATIO) * steps * steps);
        let bound = self.limits.exposure_ratio * self.reached as f64 + slack;
        let left = (bound.max(0.0) as u64).saturating_sub(self.granted);
        let share = report.reached as f64 / (self.seen as f64).max(MIN_SHARE_REQUESTS);
        let wanted = ((left as f64 * share) as u64).clamp(1, MAX_HELD_TOKENS);
        let held = granted.saturating_sub(report.used);
        wanted.saturating_sub(held).min(left)
    }

    /// Reports whether no host may send to the other versions any more.
    fn all_have_left(&self, now: Instant, registered: &[Name]) -> bool {
        let lease = STAGE_LEASE.mul_f64(1.0 + CLOCK_DRIFT_RATIO);
        let elapsed = now.saturating_duration_since(self.started);
        let is_late = elapsed + LATE_MARGIN >= self.duration;
        let has_left = |host: &HostRecord| {
            let is_idle = is_late || host.report.others_in_flight == 0;
            (host.report.has_left_others && is_idle) || now >= host.responded + lease
        };
        self.hosts.values().all(has_left)
            && (is_late || registered.iter().all(|name| self.hosts.contains_key(name)))
    }
}

fn new_legs(legs: &RouteTally, earlier: Option<&RouteTally>) -> RouteTally {
    let Some(earlier) = earlier else {
        return legs.clone();
    };
    RouteTally {
        route: legs.route.clone(),
        target: legs.target.since(&earlier.target),
        other: legs.other.since(&earlier.other),
    }
}
