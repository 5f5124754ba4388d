use std::time::{Duration, Instant};

use cornelwinch_types::{AttemptId, LegFailure, LegResult, Name, Refusal, SnapshotId};
use fastrand::Rng;

use crate::budget::Budget;
use crate::latency::Latencies;
use crate::suspect::AttemptEnd;
use crate::upstream::{Availability, UpstreamState};
use crate::{Quarantine, QuarantineConfig, QuerySpec};

/// Shortest hedge delay, the resolution of the event loop's timers.
const MIN_HEDGE_DELAY: Duration = Duration::from_micros(500);
/// Share of the hedge budget that the hedge delay is computed to spend; the rest is left for
/// bursts.
const PLANNED_HEDGE_BUDGET_SHARE: f64 = 0.95;

/// Settings of [`GatherStats`].
#[derive(Debug, Clone, PartialEq)]
pub struct GatherConfig {
    /// Availability zone of the host, whose upstreams are preferred.
    pub zone: Name,
    /// Hedges allowed per first attempt, for the whole host.
    pub hedge_ratio: f64,
    /// Largest number of unused hedges that the budget keeps.
    pub hedge_burst: f64,
    /// Retries allowed per first attempt, for the whole host and all causes.
    pub retry_ratio: f64,
    /// Retries allowed per second in addition, also without traffic.
    pub retry_per_s: f64,
    /// Largest number of unused retries that the budget keeps. A restart of a query on another
    /// snapshot takes one for each leg.
    pub retry_burst: f64,
    /// Whether an answer that fails its checks causes a panic, which tests rely on.
    pub panic_on_violation: bool,
    /// Settings of the quarantine.
    pub quarantine: QuarantineConfig,
}

impl GatherConfig {
    /// Creates the default settings for a host in `zone`.
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

/// Counters since the start of the host, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct GatherCounters {
    /// Number of first attempts, one for each leg that was started.
    pub legs: u64,
    /// Number of hedges sent.
    pub hedges: u64,
    /// Number of retries, for all causes.
    pub retries: u64,
    /// Number of restarts of queries on another snapshot.
    pub restarts: u64,
    /// Number of leg answers that did not match their attempt, snapshot or shard.
    pub mismatched_answers: u64,
    /// Number of results of attempts that had already ended.
    pub late_results: u64,
    /// Number of query answers that failed their checks because of an internal inconsistency.
    pub violations: u64,
}

/// State shared by all queries of a host: latencies, budgets, upstreams and quarantine.
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
    upstreams: Vec<UpstreamState>,
    upstreams_configured: bool,
}

impl GatherStats {
    /// Creates the state without any samples or upstreams; `rng` also seeds the attempt ids.
    pub fn new(config: GatherConfig, mut rng: Rng) -> Self {
        Self {
            // The hedge budget starts empty, so that hedges never exceed their ratio.
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
            upstreams_configured: false,
            config,
            rng,
        }
    }

    /// Sets the configured upstreams and their availability zones. The
    /// state of upstreams that stay is kept. From the first call on, upstreams
    /// that are not configured get no legs.
    pub fn set_upstreams(&mut self, upstreams: impl IntoIterator<Item = (Name, Name)>) {
        self.upstreams_configured = true;
        for state in &mut self.upstreams {
            state.configured = false;
        }
        for (name, zone) in upstreams {
            let state = self.upstream(&name);
            state.configured = true;
            state.zone = Some(zone);
        }
        self.upstreams
            .retain(|state| state.configured || state.outstanding > 0 || state.out);
    }

    /// Takes an upstream out of service or returns it. An upstream out of
    /// service gets no new legs; legs in progress finish.
    pub fn set_out_of_service(&mut self, upstream: &str, out: bool) {
        let state = self.upstream(&Name::from(upstream));
        if state.out && !out {
            state.on_returned();
        }
        state.out = out;
    }

    /// Marks an upstream as leaving for as long as the platform's upstream list may lag.
    pub fn set_leaving(&mut self, now: Instant, upstream: &str) {
        self.upstream(&Name::from(upstream)).on_leaving(now);
    }

    /// Sets the circuit breaker of an upstream: `Some` avoids the upstream until the given time and
    /// probes it afterwards, `None` closes the circuit.
    pub fn set_circuit_breaker(&mut self, upstream: &str, until: Option<Instant>) {
        self.upstream(&Name::from(upstream))
            .set_circuit_breaker(until);
    }

    /// Returns the number of legs of this host without a result at an upstream.
    pub fn outstanding(&self, upstream: &str) -> u32 {
        self.find(upstream)
            .map_or(0, |i| self.upstreams[i].outstanding)
    }

    /// Returns the counters since the start of the host.
    pub fn counters(&self) -> GatherCounters {
        self.counters
    }

    /// Returns the quarantine, to add marks of other hosts and to take new ones.
    pub fn quarantine_mut(&mut self) -> &mut Quarantine {
        &mut self.quarantine
    }

    /// Processes the result of an attempt that has already ended. An upstream may crash after the
    /// query's deadline, and the crash still has to count for the quarantine.
    pub fn on_late_result(&mut self, now: Instant, attempt: AttemptId, result: &LegResult) {
        self.counters.late_results += 1;
        let ended = AttemptEnd::from(result);
        self.quarantine.end_late(now, attempt, ended);
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
        let affordable = 1.0 - self.config.hedge_ratio * PLANNED_HEDGE_BUDGET_SHARE;
        let quantile = quantile.max(affordable);
        let delay = self
            .latencies
            .quantile(now, &spec.search, &spec.class, quantile)?;
        Some(delay.max(MIN_HEDGE_DELAY))
    }

    pub(crate) fn availability(
        &self,
        now: Instant,
        upstream: &Name,
        search: &Name,
        snapshot: SnapshotId,
    ) -> Availability {
        match self.find(upstream) {
            Ok(i) if self.upstreams[i].configured || !self.upstreams_configured => {
                self.upstreams[i].availability(now, search, snapshot)
            }
            Err(_) if !self.upstreams_configured => Availability::Healthy,
            _ => Availability::None,
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

    pub(crate) fn upstream(&mut self, name: &Name) -> &mut UpstreamState {
        let i = match self.find(name) {
            Ok(i) => i,
            Err(i) => {
                self.upstreams.insert(i, UpstreamState::new(name.clone()));
                i
            }
        };
        &mut self.upstreams[i]
    }

    /// Updates the state of an upstream from the result of an attempt. `candidates` are the
    /// snapshots that the query could use.
    pub(crate) fn record_result(
        &mut self,
        now: Instant,
        upstream: &Name,
        search: &Name,
        candidates: impl Iterator<Item = SnapshotId>,
        result: &LegResult,
    ) {
        let state = self.upstream(upstream);
        match result {
            LegResult::Answer(_) => state.on_answer(),
            LegResult::Refused(Refusal::SnapshotMissing { held }) => {
                for id in candidates.filter(|id| !held.contains(id)) {
                    state.on_snapshot_missing(now, search, id);
                }
            }
            LegResult::Refused(Refusal::Leaving) => state.on_leaving(now),
            LegResult::Refused(Refusal::Unreachable) => state.on_failure(now, true),
            LegResult::Refused(Refusal::Overloaded | Refusal::Shed) => state.on_overload(now),
            LegResult::Refused(_) | LegResult::Failed(LegFailure::Cancelled) => {}
            LegResult::Failed(_) => state.on_failure(now, false),
        }
    }

    fn find(&self, upstream: &str) -> Result<usize, usize> {
        self.upstreams
            .binary_search_by(|state| (*state.name).cmp(upstream))
    }
}
