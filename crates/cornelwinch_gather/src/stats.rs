use std::time::{Duration, Instant};

use cornelwinch_types::{AttemptId, LegFailure, LegResult, Name, Refusal, SnapshotId};
use fastrand::Rng;

use crate::budget::Budget;
use crate::latency::Latencies;
use crate::suspect::Ended;
use crate::upstream::{Service, UpstreamView};
use crate::{Quarantine, QuarantineConfig, QuerySpec};

/// The hedge delay is never shorter; timers of the event loop are not finer.
const HEDGE_DELAY_MIN: Duration = Duration::from_micros(500);
/// Share of the hedge budget that the learned delay plans to spend; the rest
/// pays for bursts.
const HEDGE_PLAN: f64 = 0.95;

/// Settings of [`GatherStats`].
#[derive(Debug, Clone, PartialEq)]
pub struct GatherConfig {
    /// Availability zone of the host; its upstreams are preferred.
    pub zone: Name,
    /// Hedges per first attempt, for the whole host.
    pub hedge_ratio: f64,
    /// Largest number of hedges saved up.
    pub hedge_burst: f64,
    /// Retries per first attempt, for the whole host and all causes.
    pub retry_ratio: f64,
    /// Retries per second that are possible without traffic.
    pub retry_per_s: f64,
    /// Largest number of retries saved up; a restart of a query on another
    /// snapshot takes one for each leg.
    pub retry_burst: f64,
    /// Panics when an answer fails its checks; set under test.
    pub panic_on_violation: bool,
    /// Settings of the quarantine.
    pub quarantine: QuarantineConfig,
}

impl GatherConfig {
    /// Makes the default settings for a host in `zone`.
    pub fn new(zone: Name) -> Self {
        Self {
            zone,
            hedge_ratio: 0.03,
            hedge_burst: 100.0,
            retry_ratio: 0.2,
            retry_per_s: 20.0,
            retry_burst: 400.0,
            panic_on_violation: cfg!(debug_assertions),
            quarantine: QuarantineConfig::default(),
        }
    }
}

/// Totals since the start of the host, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct GatherCounters {
    /// First attempts at a leg.
    pub legs: u64,
    /// Hedges.
    pub hedges: u64,
    /// Retries of all causes.
    pub retries: u64,
    /// Queries restarted on another snapshot.
    pub restarts: u64,
    /// Answers that named another attempt, snapshot, range or key.
    pub mismatched_answers: u64,
    /// Results of attempts that had ended.
    pub late_results: u64,
    /// Answers that failed their checks; a fault of the program.
    pub violations: u64,
}

/// What all queries of a host share: latency, budgets, upstreams, quarantine.
///
/// ```
/// use cornelwinch_gather::{GatherConfig, GatherStats};
///
/// let rng = fastrand::Rng::with_seed(1);
/// let mut stats = GatherStats::new(GatherConfig::new("north".into()), rng);
/// stats.set_upstreams([("u1".into(), "north".into()), ("u2".into(), "south".into())]);
/// stats.set_out_of_service("u2", true);
/// assert_eq!(stats.outstanding("u1"), 0);
/// ```
#[derive(Debug)]
pub struct GatherStats {
    pub(crate) config: GatherConfig,
    pub(crate) rng: Rng,
    pub(crate) latencies: Latencies,
    pub(crate) hedges: Budget,
    pub(crate) retries: Budget,
    pub(crate) quarantine: Quarantine,
    pub(crate) counters: GatherCounters,
    next_attempt: u64,
    upstreams: Vec<UpstreamView>,
    configured: bool,
}

impl GatherStats {
    /// Makes empty statistics; `rng` also seeds the attempt ids.
    pub fn new(config: GatherConfig, mut rng: Rng) -> Self {
        Self {
            // No hedge is saved up at first, so their number never exceeds the
            // ratio.
            hedges: Budget::new(0.0, config.hedge_ratio, 0.0, config.hedge_burst),
            retries: Budget::new(
                config.retry_burst,
                config.retry_ratio,
                config.retry_per_s,
                config.retry_burst,
            ),
            quarantine: Quarantine::new(config.quarantine.clone()),
            latencies: Latencies::default(),
            counters: GatherCounters::default(),
            next_attempt: rng.u64(..),
            upstreams: Vec::new(),
            configured: false,
            config,
            rng,
        }
    }

    /// Sets the configured upstreams and their availability zones. What was
    /// learned of those that stay is kept. From the first call on, upstreams
    /// that are not configured get no legs.
    pub fn set_upstreams(&mut self, upstreams: impl IntoIterator<Item = (Name, Name)>) {
        self.configured = true;
        for view in &mut self.upstreams {
            view.known = false;
        }
        for (name, zone) in upstreams {
            let view = self.upstream(&name);
            view.known = true;
            view.zone = Some(zone);
        }
        self.upstreams
            .retain(|view| view.known || view.outstanding > 0 || view.out);
    }

    /// Takes an upstream out of service or returns it. An upstream out of
    /// service gets no new legs; legs in progress finish.
    pub fn set_out_of_service(&mut self, upstream: &str, out: bool) {
        let view = self.upstream(&Name::from(upstream));
        if view.out && !out {
            view.on_returned();
        }
        view.out = out;
    }

    /// Marks an upstream as leaving for as long as the platform's list lags.
    pub fn set_leaving(&mut self, now: Instant, upstream: &str) {
        self.upstream(&Name::from(upstream)).on_leaving(now);
    }

    /// Sets the circuit hint of an upstream: `Some` avoids it until the time
    /// and probes it afterwards, `None` closes the circuit.
    pub fn set_circuit_breaker(&mut self, upstream: &str, until: Option<Instant>) {
        self.upstream(&Name::from(upstream))
            .set_circuit_breaker(until);
    }

    /// Returns the number of legs of this host without a result at an upstream.
    pub fn outstanding(&self, upstream: &str) -> u32 {
        self.find(upstream)
            .map_or(0, |i| self.upstreams[i].outstanding)
    }

    /// Returns the totals since the start.
    pub fn counters(&self) -> GatherCounters {
        self.counters
    }

    /// Returns the quarantine, to add marks of other hosts and read new ones.
    pub fn quarantine_mut(&mut self) -> &mut Quarantine {
        &mut self.quarantine
    }

    /// Takes in the result of an attempt whose query has ended. A crash may
    /// take longer than the query's deadline and still has to be counted.
    pub fn on_late_result(&mut self, now: Instant, attempt: AttemptId, result: &LegResult) {
        self.counters.late_results += 1;
        let ended = Ended::from(result);
        self.quarantine.end_stray(now, attempt, ended);
    }

    pub(crate) fn next_attempt(&mut self) -> AttemptId {
        self.next_attempt = self.next_attempt.wrapping_add(1);
        AttemptId(self.next_attempt)
    }

    /// Returns the hedge delay of a query, or `None` without hedging or with
    /// too few samples. A quantile that the budget cannot pay for is raised:
    /// otherwise legs that are slightly slow would use up the tokens before
    /// the stragglers reach the delay.
    pub(crate) fn hedge_delay(&mut self, now: Instant, spec: &QuerySpec) -> Option<Duration> {
        let quantile = spec.policy.hedge_quantile?;
        let affordable = 1.0 - self.config.hedge_ratio * HEDGE_PLAN;
        let quantile = quantile.max(affordable);
        let delay = self
            .latencies
            .quantile(now, &spec.search, &spec.class, quantile)?;
        Some(delay.max(HEDGE_DELAY_MIN))
    }

    pub(crate) fn service(
        &self,
        now: Instant,
        upstream: &Name,
        search: &Name,
        snapshot: SnapshotId,
    ) -> Service {
        match self.find(upstream) {
            Ok(i) if self.upstreams[i].known || !self.configured => {
                self.upstreams[i].service(now, search, snapshot)
            }
            Err(_) if !self.configured => Service::Good,
            _ => Service::None,
        }
    }

    pub(crate) fn cost(&self, now: Instant, upstream: &Name) -> u32 {
        self.find(upstream)
            .map_or(0, |i| self.upstreams[i].cost(now, &self.config.zone))
    }

    /// Returns the availability zone of an upstream.
    pub(crate) fn zone(&self, upstream: &Name) -> Option<&Name> {
        self.find(upstream)
            .ok()
            .and_then(|i| self.upstreams[i].zone.as_ref())
    }

    /// Reports whether the upstream is in the host's own availability zone.
    pub(crate) fn is_local(&self, upstream: &Name) -> bool {
        self.zone(upstream) == Some(&self.config.zone)
    }

    pub(crate) fn upstream(&mut self, name: &Name) -> &mut UpstreamView {
        let i = match self.find(name) {
            Ok(i) => i,
            Err(i) => {
                self.upstreams.insert(i, UpstreamView::new(name.clone()));
                i
            }
        };
        &mut self.upstreams[i]
    }

    /// Learns from the result of an attempt; `candidates` are the snapshots
    /// that the query could use.
    pub(crate) fn learn(
        &mut self,
        now: Instant,
        upstream: &Name,
        search: &Name,
        candidates: impl Iterator<Item = SnapshotId>,
        result: &LegResult,
    ) {
        let view = self.upstream(upstream);
        match result {
            LegResult::Answer(_) => view.on_answer(),
            LegResult::Refused(Refusal::SnapshotMissing { held }) => {
                for id in candidates.filter(|id| !held.contains(id)) {
                    view.on_lacks(now, search, id);
                }
            }
            LegResult::Refused(Refusal::Leaving) => view.on_leaving(now),
            LegResult::Refused(Refusal::Unreachable) => view.on_failure(now, true),
            LegResult::Refused(Refusal::Overloaded | Refusal::Shed) => view.on_shed(now),
            LegResult::Refused(_) | LegResult::Failed(LegFailure::Cancelled) => {}
            LegResult::Failed(_) => view.on_failure(now, false),
        }
    }

    fn find(&self, upstream: &str) -> Result<usize, usize> {
        self.upstreams
            .binary_search_by(|view| (*view.name).cmp(upstream))
    }
}
