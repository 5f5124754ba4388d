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

use crate::apply::apply_changes;
use crate::condition::StoreCondition;
use crate::dialect::{Item, Kind, Value};
use crate::feed::{FeedMessage, encode};
use crate::gathers::Gathers;
use crate::line_limit::LineLimit;
use crate::metrics::Metrics;
use crate::mirror::Mirror;
use crate::pool::Pool;
use crate::{Bounds, Dialect, RelaySettings};

/// Hosts that are assumed until the registered ones are known.
const HOSTS_ASSUMED: usize = 8;

/// Messages that a host which is fed may be behind.
const FEED_QUEUE: usize = 256;

/// Share of a bound on cold upstreams that is spent; messages of one second may
/// arrive in the next.
const COLD_MARGIN: f64 = 0.8;

/// Share of an upstream's connections that is used; a closed one counts there
/// for a while.
const CONNECTION_MARGIN: f64 = 0.9;

/// Connections to an upstream whose service is not described.
const CONNECTIONS_ASSUMED: usize = 4;

/// Change of the usual leg time by each sample above or below it.
const TYPICAL_STEP: f64 = 0.03;

/// Share of a route's goal that is assumed as usual leg time at first.
const TYPICAL_SHARE: f64 = 0.15;

/// What the decisions of all requests share.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) table: Option<Rc<RouteTable>>,
    pub(crate) fleet: Fleet,
    pub(crate) budget: RetryBudget,
    pub(crate) marks: CrashTracker,
    pub(crate) metrics: Metrics,
    /// Bound on the log lines about legs that failed.
    pub(crate) leg_lines: LineLimit,
    /// Largest number of hosts that was registered in this lifetime.
    pub(crate) most_hosts: Option<usize>,
    pub(crate) rng: fastrand::Rng,
    cursors: SortedMap<Name, WeightedRoundRobin>,
    pub(crate) gathers: Gathers,
    /// Median time of a leg, by route.
    typical: SortedMap<Name, Duration>,
}

/// State of a relay that its tasks share; all run on one thread.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) core: RefCell<Core>,
    pub(crate) pool: Pool,
    pub(crate) dialect: Dialect,
    pub(crate) settings: RefCell<RelaySettings>,
    /// Time at which the last requests are answered, from the request to stop on.
    pub(crate) stop_at: Cell<Option<Instant>>,
    /// Set when that time has come.
    pub(crate) ending: watch::Sender<bool>,
    /// Requests of callers that are being answered.
    pub(crate) active: Cell<usize>,
    /// Copy of the store's objects.
    pub(crate) mirror: RefCell<Mirror>,
    /// Registered hosts.
    pub(crate) hosts: RefCell<Vec<HostEntry>>,
    pub(crate) condition: StoreCondition,
    /// Encoded messages to the hosts that this one feeds.
    pub(crate) feed: broadcast::Sender<Bytes>,
    is_source: Cell<bool>,
    /// Last word of the source that feeds this host.
    fed: Cell<Option<Instant>>,
    tokens: Cell<u64>,
}

impl Shared {
    pub(crate) fn new(settings: RelaySettings, dialect: Dialect) -> Self {
        let mut fleet = Fleet::new();
        let me = settings.host.clone();
        fleet.set_hosts(HostPermits::new(me, Vec::new(), HOSTS_ASSUMED));
        Self {
            core: RefCell::new(Core {
                table: None,
                fleet,
                budget: RetryBudget::new(Instant::now()),
                marks: CrashTracker::default(),
                metrics: Metrics::default(),
                leg_lines: LineLimit::default(),
                most_hosts: None,
                rng: fastrand::Rng::new(),
                cursors: SortedMap::new(),
                gathers: Gathers::default(),
                typical: SortedMap::new(),
            }),
            pool: Pool::default(),
            dialect,
            settings: RefCell::new(settings),
            stop_at: Cell::new(None),
            ending: watch::Sender::new(false),
            active: Cell::new(0),
            mirror: RefCell::default(),
            hosts: RefCell::default(),
            condition: StoreCondition::default(),
            feed: broadcast::channel(FEED_QUEUE).0,
            is_source: Cell::new(false),
            fed: Cell::new(None),
            tokens: Cell::new(0),
        }
    }

    pub(crate) fn next_token(&self) -> u64 {
        self.tokens.set(self.tokens.get() + 1);
        self.tokens.get()
    }

    /// This host as it is registered.
    pub(crate) fn own_entry(&self) -> HostEntry {
        let settings = self.settings.borrow();
        HostEntry {
            name: settings.host.clone(),
            zone: settings.zone.clone(),
            peer: settings.peer,
        }
    }

    /// Reports whether this host follows the store itself.
    pub(crate) fn is_source(&self) -> bool {
        self.is_source.get()
    }

    /// Sets whether this host follows the store itself.
    pub(crate) fn set_source(&self, is_source: bool) {
        self.is_source.set(is_source);
    }

    /// Records that the source that feeds this host lives and knows the store.
    pub(crate) fn record_feed(&self, now: Instant) {
        self.fed.set(Some(now));
    }

    /// Time since this host last knew what the store holds.
    pub(crate) fn knowledge_age(&self, now: Instant) -> Option<Duration> {
        if self.is_source() {
            return self.condition.age(now);
        }
        let fed = self.fed.get()?;
        Some(now.saturating_duration_since(fed))
    }

    /// Takes over a whole list of a kind, puts what it changes in force and passes
    /// it on.
    pub(crate) fn take_list(
        &self,
        kind: Kind,
        revision: u64,
        items: Vec<Item>,
        grace: Option<Duration>,
    ) {
        let is_first = self.mirror.borrow().revision(kind).is_none();
        let version = self.version_change(kind, &items);
        let changes = self.mirror.borrow_mut().apply_list(kind, revision, items);
        if is_first && let Some(items) = changes {
            // Hosts that are fed already may hold objects that the list lacks.
            self.publish(&FeedMessage::List {
                kind,
                revision,
                items: items.clone(),
            });
            apply_changes(self, kind, items, grace);
        } else {
            self.put_in_force(kind, revision, changes, grace, version);
        }
    }

    /// Takes over changes of a kind, puts them in force and passes them on.
    pub(crate) fn take_changes(
        &self,
        kind: Kind,
        revision: u64,
        items: Vec<Item>,
        grace: Option<Duration>,
    ) {
        let version = self.version_change(kind, &items);
        let changes = self
            .mirror
            .borrow_mut()
            .apply_changes(kind, revision, items);
        self.put_in_force(kind, revision, changes, grace, version);
    }

    fn put_in_force(
        &self,
        kind: Kind,
        revision: u64,
        changes: Option<Vec<Item>>,
        grace: Option<Duration>,
        version: Option<(Name, DesiredStateDelta)>,
    ) {
        let Some(items) = changes else {
            log::info!("event=older_ignored kind={kind:?} revision={revision}");
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
                grace_ms: grace.map(|grace| u64::try_from(grace.as_millis()).unwrap_or(u64::MAX)),
            },
        });
        apply_changes(self, kind, items, grace);
    }

    /// What a new version changes in the copy, for the hosts that this one feeds;
    /// `None` if there is none of them or the version has to be sent whole.
    fn version_change(&self, kind: Kind, items: &[Item]) -> Option<(Name, DesiredStateDelta)> {
        if kind != Kind::DesiredState || self.feed.receiver_count() == 0 {
            return None;
        }
        let [
            Item {
                name,
                value: Some(Value::DesiredState(new)),
            },
        ] = items
        else {
            return None;
        };
        let mirror = self.mirror.borrow();
        let change = DesiredStateDelta::between(mirror.desired(name)?, new)?;
        Some((name.clone(), change))
    }

    /// Passes a message on to the hosts that this one feeds.
    pub(crate) fn publish(&self, message: &FeedMessage) {
        let hosts = self.feed.receiver_count();
        if hosts > 0 {
            let buf = encode(message);
            log::info!(
                "event=feed_sent {message} bytes={} hosts={hosts}",
                buf.len()
            );
            // Without a receiver there is nobody to feed.
            let _ = self.feed.send(buf);
        }
    }

    /// This host's part of the bound on repeats.
    pub(crate) fn budget_share(&self) -> RetryBudgetConfig {
        let bounds = self.settings.borrow().bounds;
        RetryBudgetConfig {
            ratio: bounds.repeat_ratio,
            window: Duration::from_secs_f64(bounds.repeat_window_s),
            slack: bounds.repeat_slack,
            hosts: self.core.borrow().host_count(),
        }
    }

    /// Reports whether this host was asked to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop_at.get().is_some()
    }

    /// Waits for the time at which the last requests are answered.
    pub(crate) async fn ended(&self) {
        // The sender lives as long as this state.
        let _ = self.ending.subscribe().wait_for(|ended| *ended).await;
    }

    /// Counts a caller's request to a service.
    pub(crate) fn count_request(&self, service: &Name) {
        let share = self.budget_share();
        let mut core = self.core.borrow_mut();
        core.budget.count_request(Instant::now(), &share, service);
    }

    /// Counts a repeat to a service and returns true if it is allowed.
    pub(crate) fn spend_repeat(&self, service: &Name, repeat: RepeatKind) -> bool {
        let share = self.budget_share();
        let mut core = self.core.borrow_mut();
        let granted = core
            .budget
            .try_spend(Instant::now(), &share, service, repeat);
        if granted {
            core.metrics.repeats += 1;
        } else {
            core.metrics.repeats_denied += 1;
        }
        granted
    }

    /// Takes over what other hosts have seen of requests that broke upstreams.
    pub(crate) fn take_reports(&self, reports: &[CrashReport]) {
        let now = Instant::now();
        let mut core = self.core.borrow_mut();
        for report in reports {
            if core.marks.record_report(now, report) {
                log::warn!(
                    "event=request_marked print={:?} reason=reported upstreams={} attempts={}",
                    report.fingerprint,
                    report.upstreams.len(),
                    report.attempts.len()
                );
            }
        }
    }

    /// Reports whether this host should get new connections of callers: it knows
    /// what to do with them, does not stop, and is not cut off from what they
    /// need.
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

    /// Chooses an upstream of a service for the next leg.
    pub(crate) fn pick(&self, service: &Name, tried: &[UpstreamId]) -> Option<UpstreamEndpoint> {
        let settings = self.settings.borrow();
        let core = &mut *self.core.borrow_mut();
        let table = core.table.as_ref();
        let share = match table.and_then(|table| table.service(service)) {
            Some(service) => core.share_of(service, &settings.bounds),
            None => UpstreamLimits {
                connections: CONNECTIONS_ASSUMED,
                cold_per_s: None,
            },
        };
        core.fleet.pick(
            Instant::now(),
            service,
            &settings.zone,
            tried,
            share,
            &mut core.rng,
        )
    }
}

impl Core {
    /// Number of hosts that divide what all hosts share.
    pub(crate) fn host_count(&self) -> usize {
        self.most_hosts.unwrap_or(HOSTS_ASSUMED).max(1)
    }

    /// What one upstream of a service bears from this host, and while it is cold
    /// from all hosts.
    pub(crate) fn share_of(&self, service: &Service, bounds: &Bounds) -> UpstreamLimits {
        let hosts = self.host_count() as f64;
        let connections = f64::from(service.max_connections) * CONNECTION_MARGIN / hosts;
        let cold_per_s = service.cold_per_s.map(|rate| {
            let all = rate * bounds.cold_overshoot + bounds.cold_slack;
            (all * COLD_MARGIN) as usize
        });
        UpstreamLimits {
            connections: (connections as usize).max(1),
            cold_per_s,
        }
    }

    /// Reports whether upstreams for the route are known and not lost.
    fn can_serve(&self, now: Instant, route: &Route) -> bool {
        let is_served = |service: &Name| self.fleet.has_available_upstream(now, service);
        match &route.target {
            Target::Service(service) => is_served(service),
            Target::Split(parts) => parts.iter().any(|(service, _)| is_served(service)),
            Target::Gather(plan) => self.can_gather(now, plan),
        }
    }

    /// Reports whether upstreams of enough shards for an answer are known and not
    /// lost.
    pub(crate) fn can_gather(&self, now: Instant, plan: &GatherPlan) -> bool {
        let is_served = |shard: &&Name| self.fleet.has_available_upstream(now, shard);
        plan.shards.iter().filter(is_served).count() >= plan.min_parts()
    }

    /// Service of the next request of a weighted split.
    pub(crate) fn next_of_split(&mut self, route: &Route, parts: &[(Name, u32)]) -> Option<Name> {
        self.cursors
            .get_or_insert_with(route.name.clone(), WeightedRoundRobin::default)
            .next(parts)
    }

    /// Usual time of a leg of a route.
    pub(crate) fn typical(&self, route: &Route) -> Duration {
        self.typical
            .get(&route.name)
            .copied()
            .unwrap_or_else(|| route.goal.mul_f64(TYPICAL_SHARE))
    }

    /// Moves the usual time of a leg towards a sample.
    pub(crate) fn record_leg_time(&mut self, route: &Route, time: Duration) {
        let old = self.typical(route);
        let factor = if time > old {
            1.0 + TYPICAL_STEP
        } else {
            1.0 - TYPICAL_STEP
        };
        let new = old
            .mul_f64(factor)
            .clamp(Duration::from_micros(500), route.goal);
        self.typical.insert(route.name.clone(), new);
    }
}
