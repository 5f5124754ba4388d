use std::time::{Duration, Instant};

use cornelwinch_types::{Name, SnapshotId};

/// Time for which an upstream is avoided when its circuit opens. It doubles with each further
/// failure, up to [`MAX_CIRCUIT_DELAY`].
const MIN_CIRCUIT_DELAY: Duration = Duration::from_millis(100);
/// Longest time between two probes of a failing upstream.
const MAX_CIRCUIT_DELAY: Duration = Duration::from_secs(5);
/// Consecutive failures that open the circuit. One broken connection or one error is not enough;
/// a single `Unreachable` is.
const FAILURES_TO_OPEN_CIRCUIT: u32 = 2;
/// Time for which an upstream that reported a missing snapshot gets no legs for it.
const SNAPSHOT_MISSING_TTL: Duration = Duration::from_secs(2);
/// Time for which a leaving upstream is avoided; the platform's upstream list lags by 10 s.
const LEAVING_TTL: Duration = Duration::from_secs(15);
/// Time for which a refusal because of load raises the cost of an upstream.
const OVERLOAD_TTL: Duration = Duration::from_millis(50);
/// Cost that a recent refusal because of load adds, in outstanding legs.
const OVERLOAD_COST_LEGS: u32 = 8;
/// Cost that another availability zone adds, in outstanding legs.
const REMOTE_ZONE_COST_LEGS: u32 = 1;

/// State of one upstream as seen by this host.
#[derive(Debug)]
pub(crate) struct UpstreamState {
    pub(crate) name: Name,
    pub(crate) zone: Option<Name>,
    /// Whether the upstream is in the current configuration.
    pub(crate) configured: bool,
    /// Whether operators have taken the upstream out of service.
    pub(crate) out: bool,
    /// Legs of this host without a result.
    pub(crate) outstanding: u32,
    failures: u32,
    probe_at: Option<Instant>,
    overloaded_until: Option<Instant>,
    leaving_until: Option<Instant>,
    missing_snapshots: Vec<(Name, SnapshotId, Instant)>,
}

/// Whether an upstream can run a leg.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Availability {
    /// The upstream takes no new work.
    None,
    /// The upstream does not hold the snapshot.
    SnapshotMissing,
    /// The upstream failed recently and is used only if there is no better replica.
    Failing,
    /// The upstream failed recently and is due for a probe by a single attempt.
    ProbeDue,
    /// The upstream has no known fault.
    Healthy,
}

impl UpstreamState {
    pub(crate) fn new(name: Name) -> Self {
        Self {
            name,
            zone: None,
            configured: false,
            out: false,
            outstanding: 0,
            failures: 0,
            probe_at: None,
            overloaded_until: None,
            leaving_until: None,
            missing_snapshots: Vec::new(),
        }
    }

    pub(crate) fn availability(
        &self,
        now: Instant,
        search: &Name,
        snapshot: SnapshotId,
    ) -> Availability {
        let is_missing = |(of, id, until): &(Name, SnapshotId, Instant)| {
            *id == snapshot && of == search && *until > now
        };
        if self.out || self.leaving_until.is_some_and(|until| until > now) {
            Availability::None
        } else if self.missing_snapshots.iter().any(is_missing) {
            Availability::SnapshotMissing
        } else {
            match self.probe_at {
                None => Availability::Healthy,
                Some(at) if at <= now => Availability::ProbeDue,
                Some(_) => Availability::Failing,
            }
        }
    }

    /// Returns the cost of one more leg, in outstanding legs.
    pub(crate) fn cost(&self, now: Instant, zone: &Name) -> u32 {
        let overloaded = self.overloaded_until.is_some_and(|until| until > now);
        let remote = self.zone.as_ref().is_some_and(|z| z != zone);
        self.outstanding
            + if overloaded { OVERLOAD_COST_LEGS } else { 0 }
            + if remote { REMOTE_ZONE_COST_LEGS } else { 0 }
    }

    pub(crate) fn on_sent(&mut self, now: Instant) {
        self.outstanding += 1;
        // One probe at a time: the next is due after another delay.
        if self.probe_at.is_some_and(|at| at <= now) {
            self.probe_at = Some(now + self.circuit_delay());
        }
    }

    pub(crate) fn on_ended(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    pub(crate) fn on_answer(&mut self) {
        self.failures = 0;
        self.probe_at = None;
    }

    /// Counts a failure. An unreachable upstream is avoided at once.
    pub(crate) fn on_failure(&mut self, now: Instant, unreachable: bool) {
        self.failures = if unreachable {
            (self.failures + 1).max(FAILURES_TO_OPEN_CIRCUIT)
        } else {
            self.failures + 1
        };
        if self.failures >= FAILURES_TO_OPEN_CIRCUIT {
            self.probe_at = Some(now + self.circuit_delay());
        }
    }

    pub(crate) fn on_overload(&mut self, now: Instant) {
        self.overloaded_until = Some(now + OVERLOAD_TTL);
    }

    pub(crate) fn on_leaving(&mut self, now: Instant) {
        self.leaving_until = Some(now + LEAVING_TTL);
    }

    /// Clears the leaving mark and the failures of the upstream.
    pub(crate) fn on_returned(&mut self) {
        self.leaving_until = None;
        self.on_answer();
    }

    pub(crate) fn on_snapshot_missing(
        &mut self,
        now: Instant,
        search: &Name,
        snapshot: SnapshotId,
    ) {
        self.missing_snapshots
            .retain(|(of, id, until)| *until > now && (*id != snapshot || of != search));
        self.missing_snapshots
            .push((search.clone(), snapshot, now + SNAPSHOT_MISSING_TTL));
    }

    /// Opens the circuit until a time, after which the upstream is probed, or closes it.
    pub(crate) fn set_circuit_breaker(&mut self, until: Option<Instant>) {
        self.probe_at = until;
        self.failures = if until.is_some() {
            self.failures.max(FAILURES_TO_OPEN_CIRCUIT)
        } else {
            0
        };
    }

    fn circuit_delay(&self) -> Duration {
        let doublings = self
            .failures
            .saturating_sub(FAILURES_TO_OPEN_CIRCUIT)
            .min(10);
        (MIN_CIRCUIT_DELAY * (1 << doublings)).min(MAX_CIRCUIT_DELAY)
    }
}
