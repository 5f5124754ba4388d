use std::time::{Duration, Instant};

use cornelwinch_routing::{
    CrashTracker, Fleet, GatherPlan, HostPermits, HostShares, IndexKey, OrganisationTable,
    RetryBudget, Route, RouteTable, Service, Target, TimeBudgets, UpstreamId, UpstreamLimits,
    WeightedRoundRobin,
};
use cornelwinch_types::{Name, SortedMap};
use std::rc::Rc;

use crate::Bounds;
use crate::caps::Caps;
use crate::gather_limits::GatherLimits;
use crate::keys::random_index_key;
use crate::line_limit::LineLimit;
use crate::metrics::Metrics;

/// Number of hosts that is assumed until a host list contains this host. It is the largest tier that
/// the software is designed for: the others may already divide the whole limit, so this host may add
/// next to nothing to it. A share still has one connection to each upstream.
const UNKNOWN_HOST_COUNT: usize = 7_900;

/// Share of the rate limit of a cold upstream that is used. Requests sent in one second may arrive
/// in the next, and count there.
const COLD_LIMIT_RATIO: f64 = 0.8;

/// Share of an upstream's connections that is used. The upstream still counts a closed connection
/// for a while.
const CONNECTION_LIMIT_RATIO: f64 = 0.9;

/// Connection limit of an upstream whose service is not in the desired state.
const DEFAULT_UPSTREAM_CONNECTIONS: usize = 4;

/// Connections of one host to an upstream where there are more hosts than connections. Few hosts use
/// them at the same time, and an upstream resets those beyond its limit, which runs nothing.
const MIN_CONNECTIONS: usize = 3;

/// Share of an upstream's connections that all hosts together keep open while they are idle. The
/// rest is for hosts that open a connection for each leg.
const IDLE_CONNECTION_RATIO: f64 = 0.7;

/// Relative step by which each sample moves the estimated median leg time up or down.
const LEG_TIME_STEP_RATIO: f64 = 0.03;

/// Lower bound of the estimated median leg time, also on routes with a shorter goal.
const MIN_LEG_TIME: Duration = Duration::from_micros(500);

/// Share of a route's goal that is the initial estimate of its median leg time.
const INITIAL_LEG_TIME_GOAL_RATIO: f64 = 0.15;

/// Routing state, budgets and counters that all requests share.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) table: Option<Rc<RouteTable>>,
    /// Organisations of the version in `table`; `None` if callers have no keys.
    pub(crate) organisations: Option<Rc<OrganisationTable>>,
    pub(crate) index_key: IndexKey,
    pub(crate) caps: Caps,
    pub(crate) fleet: Fleet,
    pub(crate) budget: RetryBudget,
    pub(crate) crash_tracker: CrashTracker,
    pub(crate) metrics: Metrics,
    /// Rate limit on log lines about failed legs.
    pub(crate) leg_log_limit: LineLimit,
    pub(crate) host_shares: HostShares,
    /// Number of hosts among which limits are divided, as last returned by `host_shares`.
    known_host_count: Option<usize>,
    /// True while the host list may be short because this host registered late, possibly together
    /// with others.
    pub(crate) is_settling: bool,
    pub(crate) rng: fastrand::Rng,
    split_round_robins: SortedMap<Name, WeightedRoundRobin>,
    pub(crate) gather_limits: GatherLimits,
    pub(crate) time_budgets: TimeBudgets,
    /// Estimated median leg time by route name.
    median_leg_time: SortedMap<Name, Duration>,
}

impl Core {
    pub(crate) fn new(this_host: Name) -> Self {
        let mut fleet = Fleet::new();
        fleet.set_hosts(HostPermits::new(this_host, Vec::new(), UNKNOWN_HOST_COUNT));
        Self {
            table: None,
            organisations: None,
            index_key: random_index_key(),
            caps: Caps::new(Instant::now()),
            fleet,
            budget: RetryBudget::new(Instant::now()),
            crash_tracker: CrashTracker::default(),
            metrics: Metrics::default(),
            leg_log_limit: LineLimit::default(),
            host_shares: HostShares::default(),
            known_host_count: None,
            is_settling: false,
            rng: fastrand::Rng::new(),
            split_round_robins: SortedMap::new(),
            gather_limits: GatherLimits::default(),
            time_budgets: TimeBudgets::default(),
            median_leg_time: SortedMap::new(),
        }
    }

    /// Returns the number of hosts among which shared limits are divided.
    pub(crate) fn host_count(&self) -> usize {
        self.known_host_count.unwrap_or(UNKNOWN_HOST_COUNT).max(1)
    }

    /// Updates the number of hosts among which limits are divided. Returns true if it changed.
    pub(crate) fn update_host_count(&mut self, now: Instant) -> bool {
        let known = if self.is_settling {
            None
        } else {
            self.host_shares.count(now)
        };
        let before = std::mem::replace(&mut self.known_host_count, known);
        if before != known {
            log::info!("event=host_share_changed hosts={known:?} before={before:?}");
        }
        before != known
    }

    /// Returns true if this host may use a share of limits.
    pub(crate) fn has_share(&self) -> bool {
        self.known_host_count.is_some()
    }

    /// Returns this host's share of an upstream's connections, and the rate that a cold upstream
    /// accepts from all hosts together.
    pub(crate) fn upstream_limits(&self, service: &Service, bounds: &Bounds) -> UpstreamLimits {
        let hosts = self.host_count() as f64;
        let connections = f64::from(service.max_connections) * CONNECTION_LIMIT_RATIO / hosts;
        let cold_per_s = service.cold_per_s.map(|rate| {
            let all = rate * bounds.cold_overshoot + bounds.cold_slack;
            (all * COLD_LIMIT_RATIO) as usize
        });
        UpstreamLimits {
            connections: if connections < 1.0 {
                MIN_CONNECTIONS
            } else {
                connections as usize
            },
            cold_per_s,
        }
    }

    /// Returns the limits of the upstreams of a service, which may not be in the desired state.
    pub(crate) fn limits_of(&self, service: &Name, bounds: &Bounds) -> UpstreamLimits {
        let table = self.table.as_ref();
        match table.and_then(|table| table.service(service)) {
            Some(service) => self.upstream_limits(service, bounds),
            None => UpstreamLimits {
                connections: DEFAULT_UPSTREAM_CONNECTIONS,
                cold_per_s: None,
            },
        }
    }

    /// Returns true if this host may keep an idle connection to an upstream.
    pub(crate) fn may_keep_idle(&mut self, id: UpstreamId) -> bool {
        let table = self.table.as_ref();
        self.fleet.may_keep_idle(id, |service| {
            let service = table.and_then(|table| table.service(service));
            service.map_or(usize::MAX, |service| {
                (f64::from(service.max_connections) * IDLE_CONNECTION_RATIO) as usize
            })
        })
    }

    /// Returns true if the route has upstreams that take requests and are not lost. A gather needs
    /// them for enough shards.
    pub(crate) fn can_serve(&self, now: Instant, route: &Route) -> bool {
        let is_available = |service: &Name| self.fleet.has_available_upstream(now, service);
        match &route.target {
            Target::Service(service) => is_available(service),
            Target::Split(parts) => parts.iter().any(|(service, _)| is_available(service)),
            Target::Gather(plan) => self.can_gather(now, plan),
        }
    }

    /// Returns true if enough shards for an answer have upstreams that take requests and are not
    /// lost.
    pub(crate) fn can_gather(&self, now: Instant, plan: &GatherPlan) -> bool {
        let is_available = |shard: &&Name| self.fleet.has_available_upstream(now, shard);
        plan.shards.iter().filter(is_available).count() >= plan.min_parts()
    }

    /// Returns the time at which enough shards for an answer are available again, if those that
    /// are missing only rest.
    pub(crate) fn end_of_rest(&self, now: Instant, plan: &GatherPlan) -> Option<Instant> {
        let is_unavailable = |shard: &&Name| !self.fleet.has_available_upstream(now, shard);
        let away: Vec<&Name> = plan.shards.iter().filter(is_unavailable).collect();
        let available = plan.shards.len() - away.len();
        let needed = plan.min_parts().saturating_sub(available);
        let mut ends: Vec<Instant> = away
            .iter()
            .filter_map(|shard| self.fleet.end_of_rest(now, shard))
            .collect();
        ends.sort_unstable();
        ends.get(needed.checked_sub(1)?).copied()
    }

    /// Selects the service for the next request of a weighted split.
    pub(crate) fn next_of_split(&mut self, route: &Route, parts: &[(Name, u32)]) -> Option<Name> {
        self.split_round_robins
            .get_or_insert_with(route.name.clone(), WeightedRoundRobin::default)
            .next(parts)
    }

    /// Returns the estimated median leg time of a route.
    pub(crate) fn median_leg_time(&self, route: &Route) -> Duration {
        self.median_leg_time
            .get(&route.name)
            .copied()
            .unwrap_or_else(|| {
                let time = route.goal.mul_f64(INITIAL_LEG_TIME_GOAL_RATIO);
                time.max(MIN_LEG_TIME)
            })
    }

    /// Moves the estimated median leg time of a route one step towards a sample.
    pub(crate) fn record_leg_time(&mut self, route: &Route, time: Duration) {
        let old = self.median_leg_time(route);
        let factor = if time > old {
            1.0 + LEG_TIME_STEP_RATIO
        } else {
            1.0 - LEG_TIME_STEP_RATIO
        };
        let new = old.mul_f64(factor).min(route.goal).max(MIN_LEG_TIME);
        self.median_leg_time.insert(route.name.clone(), new);
    }
}
