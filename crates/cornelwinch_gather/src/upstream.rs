use std::time::{Duration, Instant};

use cornelwinch_types::{Name, SnapshotId};

/// First time that an upstream is avoided after failures; it doubles up to
/// [`CIRCUIT_MAX`].
const CIRCUIT_MIN: Duration = Duration::from_millis(100);
/// Longest time between two probes of an upstream that fails.
const CIRCUIT_MAX: Duration = Duration::from_secs(5);
/// Failures in a row, other than unreachable, that open the circuit hint. One
/// broken connection or one error is not enough.
const CIRCUIT_FAILURES: u32 = 2;
/// Time for which an upstream that said it lacks a snapshot is not asked for it.
const LACK_TTL: Duration = Duration::from_secs(2);
/// Time for which a leaving upstream is avoided: the platform's list lags 10 s.
const LEAVING_TTL: Duration = Duration::from_secs(15);
/// Time for which a refusal because of load raises the cost of an upstream.
const SHED_TTL: Duration = Duration::from_millis(50);
/// Cost of a refusal because of load, in outstanding legs.
const SHED_COST: u32 = 8;
/// Cost of another availability zone, in outstanding legs.
const ZONE_COST: u32 = 1;

/// What the host knows of one upstream.
#[derive(Debug)]
pub(crate) struct UpstreamView {
    pub(crate) name: Name,
    pub(crate) zone: Option<Name>,
    /// Configured at present.
    pub(crate) known: bool,
    /// Taken out of service by operators.
    pub(crate) out: bool,
    /// Legs of this host without a result.
    pub(crate) outstanding: u32,
    failures: u32,
    probe_at: Option<Instant>,
    shed_until: Option<Instant>,
    leaving_until: Option<Instant>,
    lacks: Vec<(Name, SnapshotId, Instant)>,
}

/// Whether an upstream can run a leg.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Service {
    /// Takes no new work.
    None,
    /// Does not hold the snapshot.
    Lacks,
    /// Failed recently; used only if there is no better replica.
    Doubtful,
    /// Failed recently and is due for a probe by a single attempt.
    Probe,
    /// No known fault.
    Good,
}

impl UpstreamView {
    pub(crate) fn new(name: Name) -> Self {
        Self {
            name,
            zone: None,
            known: false,
            out: false,
            outstanding: 0,
            failures: 0,
            probe_at: None,
            shed_until: None,
            leaving_until: None,
            lacks: Vec::new(),
        }
    }

    pub(crate) fn service(&self, now: Instant, search: &Name, snapshot: SnapshotId) -> Service {
        let lacks = |(of, id, until): &(Name, SnapshotId, Instant)| {
            *id == snapshot && of == search && *until > now
        };
        if self.out || self.leaving_until.is_some_and(|until| until > now) {
            Service::None
        } else if self.lacks.iter().any(lacks) {
            Service::Lacks
        } else {
            match self.probe_at {
                None => Service::Good,
                Some(at) if at <= now => Service::Probe,
                Some(_) => Service::Doubtful,
            }
        }
    }

    /// Cost of one more leg, in outstanding legs.
    pub(crate) fn cost(&self, now: Instant, zone: &Name) -> u32 {
        let shed = self.shed_until.is_some_and(|until| until > now);
        let remote = self.zone.as_ref().is_some_and(|z| z != zone);
        self.outstanding + if shed { SHED_COST } else { 0 } + if remote { ZONE_COST } else { 0 }
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

    /// Counts a failure; an unreachable upstream is avoided at once.
    pub(crate) fn on_failure(&mut self, now: Instant, unreachable: bool) {
        self.failures = if unreachable {
            (self.failures + 1).max(CIRCUIT_FAILURES)
        } else {
            self.failures + 1
        };
        if self.failures >= CIRCUIT_FAILURES {
            self.probe_at = Some(now + self.circuit_delay());
        }
    }

    pub(crate) fn on_shed(&mut self, now: Instant) {
        self.shed_until = Some(now + SHED_TTL);
    }

    pub(crate) fn on_leaving(&mut self, now: Instant) {
        self.leaving_until = Some(now + LEAVING_TTL);
    }

    /// Forgets that the upstream was leaving and that it failed.
    pub(crate) fn on_returned(&mut self) {
        self.leaving_until = None;
        self.on_answer();
    }

    pub(crate) fn on_lacks(&mut self, now: Instant, search: &Name, snapshot: SnapshotId) {
        self.lacks
            .retain(|(of, id, until)| *until > now && (*id != snapshot || of != search));
        self.lacks.push((search.clone(), snapshot, now + LACK_TTL));
    }

    /// Sets the circuit hint from outside: avoided until the time, then probed.
    pub(crate) fn set_circuit_breaker(&mut self, until: Option<Instant>) {
        self.probe_at = until;
        self.failures = if until.is_some() {
            self.failures.max(CIRCUIT_FAILURES)
        } else {
            0
        };
    }

    fn circuit_delay(&self) -> Duration {
        let doublings = self.failures.saturating_sub(CIRCUIT_FAILURES).min(10);
        (CIRCUIT_MIN * (1 << doublings)).min(CIRCUIT_MAX)
    }
}
