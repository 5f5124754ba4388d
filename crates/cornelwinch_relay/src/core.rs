use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cornelwinch_routing::{
    CrashReport, CrashTracker, DesiredStateDelta, Fleet, GatherPlan, HostEntry, HostPermits,
    RepeatKind, RetryBudget, RetryBudgetConfig, Route, RouteTable, Service, Target,
    UpstreamEndpoint, UpstreamId, UpstreamLimits, WeightedRoundRobin,
};
use cornelwinch_types::{Name, SortedMap};
use tokio::sync::{broadcast, watch};

use crate::answer_memory::AnswerMemory;
use crate::apply::apply_changes;
use crate::dialect::{ObjectKind, ObjectValue, StoreObject};
use crate::feed::{FeedMessage, encode};
use crate::gather_limits::GatherLimits;
use crate::line_limit::LineLimit;
use crate::metrics::Metrics;
use crate::mirror::Mirror;
use crate::pool::Pool;
use crate::store_health::StoreHealth;
use crate::{Bounds, Dialect, RelaySettings};

/// Number of hosts that is assumed until the registered hosts have been listed.
const DEFAULT_HOST_COUNT: usize = 8;

/// Number of messages by which a subscriber may lag before its connection is closed.
const FEED_QUEUE_MESSAGES: usize = 256;

/// Share of the rate limit of a cold upstream that is used. Requests sent in one second may arrive
/// in the next, and count there.
const COLD_LIMIT_RATIO: f64 = 0.8;

/// Share of an upstream's connections that is used. The upstream still counts a closed connection
/// for a while.
const CONNECTION_LIMIT_RATIO: f64 = 0.9;

/// Connection limit of an upstream whose service is not in the desired state.
const DEFAULT_UPSTREAM_CONNECTIONS: usize = 4;

/// Relative step by which each sample moves the estimated median leg time up or down.
const LEG_TIME_STEP_RATIO: f64 = 0.03;

/// Share of a route's goal that is the initial estimate of its median leg time.
const INITIAL_LEG_TIME_GOAL_RATIO: f64 = 0.15;

/// Routing state, budgets and counters that all requests share.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) table: Option<Rc<RouteTable>>,
    pub(crate) fleet: Fleet,
    pub(crate) budget: RetryBudget,
    pub(crate) crash_tracker: CrashTracker,
    pub(crate) metrics: Metrics,
    /// Rate limit on log lines about failed legs.
    pub(crate) leg_log_limit: LineLimit,
    /// Largest number of registered hosts seen since this process started.
    pub(crate) max_host_count: Option<usize>,
    pub(crate) rng: fastrand::Rng,
    split_round_robins: SortedMap<Name, WeightedRoundRobin>,
    pub(crate) gather_limits: GatherLimits,
    /// Estimated median leg time by route name.
    median_leg_time: SortedMap<Name, Duration>,
}

/// State shared by the tasks of a relay, which all run on one thread.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) core: RefCell<Core>,
    pub(crate) pool: Pool,
    pub(crate) answer_memory: AnswerMemory,
    pub(crate) dialect: Dialect,
    pub(crate) settings: RefCell<RelaySettings>,
    /// Time at which the remaining requests are answered as timed out; set once the host is asked
    /// to stop.
    pub(crate) stop_at: Cell<Option<Instant>>,
    /// Becomes true once `stop_at` has passed.
    pub(crate) stop_due: watch::Sender<bool>,
    /// Number of caller requests that are being answered.
    pub(crate) active: Cell<usize>,
    /// Local copy of the store's objects.
    pub(crate) mirror: RefCell<Mirror>,
    /// The registered hosts.
    pub(crate) hosts: RefCell<Vec<HostEntry>>,
    pub(crate) store_health: StoreHealth,
    /// Sends encoded messages to the hosts that this one feeds.
    pub(crate) feed: broadcast::Sender<Bytes>,
    is_source: Cell<bool>,
    /// Time of the last valid heartbeat from the source that feeds this host.
    last_feed: Cell<Option<Instant>>,
    last_leg_token: Cell<u64>,
}

impl Shared {
    pub(crate) fn new(settings: RelaySettings, dialect: Dialect) -> Self {
        let mut fleet = Fleet::new();
        let this_host = settings.host.clone();
        fleet.set_hosts(HostPermits::new(this_host, Vec::new(), DEFAULT_HOST_COUNT));
        Self {
            core: RefCell::new(Core {
                table: None,
                fleet,
                budget: RetryBudget::new(Instant::now()),
                crash_tracker: CrashTracker::default(),
                metrics: Metrics::default(),
                leg_log_limit: LineLimit::default(),
                max_host_count: None,
                rng: fastrand::Rng::new(),
                split_round_robins: SortedMap::new(),
                gather_limits: GatherLimits::default(),
                median_leg_time: SortedMap::new(),
            }),
            pool: Pool::default(),
            answer_memory: AnswerMemory::new(settings.answer_memory()),
            dialect,
            settings: RefCell::new(settings),
            stop_at: Cell::new(None),
            stop_due: watch::Sender::new(false),
            active: Cell::new(0),
            mirror: RefCell::default(),
            hosts: RefCell::default(),
            store_health: StoreHealth::default(),
            feed: broadcast::channel(FEED_QUEUE_MESSAGES).0,
            is_source: Cell::new(false),
            last_feed: Cell::new(None),
            last_leg_token: Cell::new(0),
        }
    }

    pub(crate) fn next_leg_token(&self) -> u64 {
        self.last_leg_token.set(self.last_leg_token.get() + 1);
        self.last_leg_token.get()
    }

    /// Returns the entry under which this host is registered.
    pub(crate) fn own_entry(&self) -> HostEntry {
        let settings = self.settings.borrow();
        HostEntry {
            name: settings.host.clone(),
            zone: settings.zone.clone(),
            peer: settings.peer,
        }
    }

    /// Returns true if this host follows the store itself, so that it can feed other hosts.
    pub(crate) fn is_source(&self) -> bool {
        self.is_source.get()
    }

    /// Sets whether this host follows the store itself.
    pub(crate) fn set_source(&self, is_source: bool) {
        self.is_source.set(is_source);
    }

    /// Records a heartbeat from a source that is up to date with the store.
    pub(crate) fn record_feed(&self, now: Instant) {
        self.last_feed.set(Some(now));
    }

    /// Returns the time since this host's copy of the store was last confirmed.
    pub(crate) fn store_data_age(&self, now: Instant) -> Option<Duration> {
        if self.is_source() {
            return self.store_health.time_since_answer(now);
        }
        let fed = self.last_feed.get()?;
        Some(now.saturating_duration_since(fed))
    }

    /// Updates the mirror from a complete list of a kind, applies the changes and publishes them to
    /// the hosts that this one feeds.
    pub(crate) fn ingest_list(
        &self,
        kind: ObjectKind,
        revision: u64,
        items: Vec<StoreObject>,
        removal_grace: Option<Duration>,
    ) {
        let is_first = self.mirror.borrow().revision(kind).is_none();
        let version = self.desired_state_change(kind, &items);
        let changes = self.mirror.borrow_mut().apply_list(kind, revision, items);
        if is_first && let Some(items) = changes {
            // Subscribers may hold objects that are missing from the list, so it is sent whole.
            self.publish(&FeedMessage::List {
                kind,
                revision,
                items: items.clone(),
            });
            apply_changes(self, kind, items, removal_grace);
        } else {
            self.apply_and_publish(kind, revision, changes, removal_grace, version);
        }
    }

    /// Updates the mirror from changes of a kind, applies them and publishes them to the hosts that
    /// this one feeds.
    pub(crate) fn ingest_changes(
        &self,
        kind: ObjectKind,
        revision: u64,
        items: Vec<StoreObject>,
        removal_grace: Option<Duration>,
    ) {
        let version = self.desired_state_change(kind, &items);
        let changes = self
            .mirror
            .borrow_mut()
            .apply_changes(kind, revision, items);
        self.apply_and_publish(kind, revision, changes, removal_grace, version);
    }

    fn apply_and_publish(
        &self,
        kind: ObjectKind,
        revision: u64,
        changes: Option<Vec<StoreObject>>,
        removal_grace: Option<Duration>,
        version: Option<(Name, DesiredStateDelta)>,
    ) {
        let Some(items) = changes else {
            log::info!("event=stale_update_ignored kind={kind:?} revision={revision}");
            return;
        };
        if items.is_empty() {
            return;
        }
        self.publish(&match version {
            Some((name, change)) => FeedMessage::Version {
                revision,
                name,
                change,
            },
            None => FeedMessage::Changes {
                kind,
                revision,
                items: items.clone(),
                grace_ms: removal_grace.map(|removal_grace| {
                    u64::try_from(removal_grace.as_millis()).unwrap_or(u64::MAX)
                }),
            },
        });
        apply_changes(self, kind, items, removal_grace);
    }

    /// Returns the difference between the mirrored desired state and a new version of it. Returns
    /// `None` if no host is fed or the new version has to be sent whole.
    fn desired_state_change(
        &self,
        kind: ObjectKind,
        items: &[StoreObject],
    ) -> Option<(Name, DesiredStateDelta)> {
        if kind != ObjectKind::DesiredState || self.feed.receiver_count() == 0 {
            return None;
        }
        let [
            StoreObject {
                name,
                value: Some(ObjectValue::DesiredState(new)),
            },
        ] = items
        else {
            return None;
        };
        let mirror = self.mirror.borrow();
        let change = DesiredStateDelta::between(mirror.desired(name)?, new)?;
        Some((name.clone(), change))
    }

    /// Sends a message to the hosts that this one feeds.
    pub(crate) fn publish(&self, message: &FeedMessage) {
        let hosts = self.feed.receiver_count();
        if hosts > 0 {
            let buf = encode(message);
            log::info!(
                "event=feed_sent {message} bytes={} hosts={hosts}",
                buf.len()
            );
            // Sending fails only if the last receiver is gone, which is harmless.
            let _ = self.feed.send(buf);
        }
    }

    /// Returns this host's share of the limit on repeats.
    pub(crate) fn budget_config(&self) -> RetryBudgetConfig {
        let bounds = self.settings.borrow().bounds;
        RetryBudgetConfig {
            ratio: bounds.repeat_ratio,
            window: Duration::from_secs_f64(bounds.repeat_window_s),
            slack: bounds.repeat_slack,
            hosts: self.core.borrow().host_count(),
        }
    }

    /// Returns true if this host was asked to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop_at.get().is_some()
    }

    /// Waits until the remaining requests have to be answered because this host stops.
    pub(crate) async fn stop_due(&self) {
        // The sender is owned by `self`, so the channel stays open.
        let _ = self.stop_due.subscribe().wait_for(|ended| *ended).await;
    }

    /// Counts a caller's request to a service.
    pub(crate) fn count_request(&self, service: &Name) {
        let config = self.budget_config();
        let mut core = self.core.borrow_mut();
        core.budget.count_request(Instant::now(), &config, service);
    }

    /// Takes a repeat to a service out of the budget. Returns false if the budget is exhausted.
    pub(crate) fn spend_repeat(&self, service: &Name, repeat: RepeatKind) -> bool {
        let config = self.budget_config();
        let mut core = self.core.borrow_mut();
        let granted = core
            .budget
            .try_spend(Instant::now(), &config, service, repeat);
        if granted {
            core.metrics.repeats += 1;
        } else {
            core.metrics.repeats_denied += 1;
        }
        granted
    }

    /// Records reports by other hosts of requests that crashed upstreams.
    pub(crate) fn record_crash_reports(&self, reports: &[CrashReport]) {
        let now = Instant::now();
        let mut core = self.core.borrow_mut();
        for report in reports {
            if core.crash_tracker.record_report(now, report) {
                log::warn!(
                    "event=request_marked print={:?} reason=reported upstreams={} attempts={}",
                    report.fingerprint,
                    report.upstreams.len(),
                    report.attempts.len()
                );
            }
        }
    }

    /// Returns true if this host should receive new connections from callers: it has a
    /// configuration and upstreams, is not stopping, and is either not isolated or can still serve
    /// all routes.
    pub(crate) fn is_ready(&self) -> bool {
        let core = self.core.borrow();
        let Some(table) = &core.table else {
            return false;
        };
        let now = Instant::now();
        if self.is_stopping() || core.fleet.is_empty() {
            return false;
        }
        let can_serve_all = || {
            table
                .routes()
                .iter()
                .all(|route| core.can_serve(now, route))
        };
        !core.fleet.is_isolated(now, &self.settings.borrow().zone) || can_serve_all()
    }

    /// Selects an upstream of a service for the next leg, except those in `tried`.
    pub(crate) fn pick_upstream(
        &self,
        service: &Name,
        tried: &[UpstreamId],
    ) -> Option<UpstreamEndpoint> {
        let settings = self.settings.borrow();
        let core = &mut *self.core.borrow_mut();
        let table = core.table.as_ref();
        let limits = match table.and_then(|table| table.service(service)) {
            Some(service) => core.upstream_limits(service, &settings.bounds),
            None => UpstreamLimits {
                connections: DEFAULT_UPSTREAM_CONNECTIONS,
                cold_per_s: None,
            },
        };
        core.fleet.pick(
            Instant::now(),
            service,
            &settings.zone,
            tried,
            limits,
            &mut core.rng,
        )
    }
}

impl Core {
    /// Returns the number of hosts among which shared limits are divided.
    pub(crate) fn host_count(&self) -> usize {
        self.max_host_count.unwrap_or(DEFAULT_HOST_COUNT).max(1)
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
            connections: (connections as usize).max(1),
            cold_per_s,
        }
    }

    /// Returns true if the route has upstreams that take requests and are not lost. A gather needs
    /// them for enough shards.
    fn can_serve(&self, now: Instant, route: &Route) -> bool {
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
            .unwrap_or_else(|| route.goal.mul_f64(INITIAL_LEG_TIME_GOAL_RATIO))
    }

    /// Moves the estimated median leg time of a route one step towards a sample.
    pub(crate) fn record_leg_time(&mut self, route: &Route, time: Duration) {
        let old = self.median_leg_time(route);
        let factor = if time > old {
            1.0 + LEG_TIME_STEP_RATIO
        } else {
            1.0 - LEG_TIME_STEP_RATIO
        };
        let new = old
            .mul_f64(factor)
            .clamp(Duration::from_micros(500), route.goal);
        self.median_leg_time.insert(route.name.clone(), new);
    }
}
