use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use bytes::Bytes;
use cornelwinch_routing::{
    CrashReport, HostEntry, LegRequest, RepeatKind, RetryBudgetConfig, SyncTiming,
    UpstreamEndpoint, UpstreamId,
};
use cornelwinch_types::Name;
use tokio::sync::{broadcast, watch};

use crate::answer_memory::{AnswerMemory, AnswersInWriting};
use crate::coordination::Coordination;
use crate::core::Core;
use crate::feed_message::{FeedMessage, encode};
use crate::mirror::Mirror;
use crate::pool::Pool;
use crate::rollouts::Rollouts;
use crate::store_health::StoreHealth;
use crate::thread_lag::ThreadLag;
use crate::{Dialect, RelaySettings};

/// Number of messages by which a subscriber may lag before its connection is closed.
const FEED_QUEUE_MESSAGES: usize = 256;

/// Longest time after the start for which a host that could serve waits for the marks of other
/// hosts. It gets them within milliseconds unless the first host that it asks is silent.
const MARKS_WAIT: Duration = Duration::from_millis(250);

/// State shared by the tasks of a relay, which all run on one thread.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) core: RefCell<Core>,
    pub(crate) pool: Pool,
    pub(crate) thread_lag: ThreadLag,
    pub(crate) answer_memory: AnswerMemory,
    pub(crate) answers_in_writing: AnswersInWriting,
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
    /// Time at which the store confirmed the host list.
    pub(crate) hosts_confirmed_at: Cell<Option<Instant>>,
    pub(crate) store_health: StoreHealth,
    pub(crate) rollouts: Rollouts,
    /// Sends encoded messages to the hosts that this one feeds.
    pub(crate) feed: broadcast::Sender<Bytes>,
    /// Time at which this process started.
    started: Instant,
    /// True once this host has got from others, or from the store, which requests crash upstreams.
    pub(crate) has_marks: Cell<bool>,
    /// Number of checks in progress whether an upstream crashed.
    pub(crate) crash_checks: Cell<usize>,
    /// Number of checks in progress whether the upstream of a silent leg crashed.
    pub(crate) silence_checks: Cell<usize>,
    pub(crate) coordination: Coordination,
    is_source: Cell<bool>,
    /// Time of the last valid heartbeat from the source that feeds this host.
    last_feed: Cell<Option<Instant>>,
    last_leg_token: Cell<u64>,
}

impl Shared {
    pub(crate) fn new(settings: RelaySettings, dialect: Dialect) -> Self {
        let mut core = Core::new(settings.host.clone());
        core.fleet
            .set_placement(settings.placement, settings.zone.clone());
        Self {
            core: RefCell::new(core),
            pool: Pool::default(),
            thread_lag: ThreadLag::default(),
            answer_memory: AnswerMemory::new(settings.answer_memory()),
            answers_in_writing: AnswersInWriting::default(),
            dialect,
            settings: RefCell::new(settings),
            stop_at: Cell::new(None),
            stop_due: watch::Sender::new(false),
            active: Cell::new(0),
            mirror: RefCell::default(),
            hosts: RefCell::default(),
            hosts_confirmed_at: Cell::new(None),
            store_health: StoreHealth::default(),
            rollouts: Rollouts::default(),
            feed: broadcast::channel(FEED_QUEUE_MESSAGES).0,
            started: Instant::now(),
            has_marks: Cell::new(false),
            crash_checks: Cell::new(0),
            silence_checks: Cell::new(0),
            coordination: Coordination::default(),
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

    /// Returns the times at which hosts prove and check that they are up to date.
    pub(crate) fn sync_timing(&self) -> SyncTiming {
        self.settings.borrow().bounds.sync_timing()
    }

    /// Returns true if this host follows the store itself, so that it can feed other hosts.
    pub(crate) fn is_source(&self) -> bool {
        self.is_source.get()
    }

    /// Sets whether this host follows the store itself.
    pub(crate) fn set_source(&self, is_source: bool) {
        self.is_source.set(is_source);
    }

    /// Records a heartbeat from a source that is up to date with the store. The source has sent its
    /// marks before.
    pub(crate) fn record_feed(&self, now: Instant) {
        self.has_marks.set(true);
        self.last_feed.set(Some(now));
    }

    /// Records that the store confirmed the host list at a time.
    pub(crate) fn confirm_hosts(&self, at: Instant) {
        let confirmed_at = self.hosts_confirmed_at.get().max(Some(at));
        self.hosts_confirmed_at.set(confirmed_at);
        self.core.borrow_mut().host_shares.confirm(at);
    }

    /// Returns the time since this host's copy of the store was last confirmed.
    pub(crate) fn store_data_age(&self, now: Instant) -> Option<Duration> {
        if self.is_source() {
            return self.store_health.time_since_answer(now);
        }
        let fed = self.last_feed.get()?;
        Some(now.saturating_duration_since(fed))
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
                    "event=request_marked print={} reason=reported {}",
                    report.fingerprint,
                    core.crash_tracker.describe(report.fingerprint)
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
        if !self.has_marks.get() && now.saturating_duration_since(self.started) < MARKS_WAIT {
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
        route: &Name,
        service: &Name,
        tried: &[UpstreamId],
    ) -> Option<UpstreamEndpoint> {
        let settings = self.settings.borrow();
        let core = &mut *self.core.borrow_mut();
        let limits = core.limits_of(service, &settings.bounds);
        let request = LegRequest {
            service,
            zone: &settings.zone,
            route: Some(route),
            tried,
        };
        core.fleet
            .pick_for(Instant::now(), request, limits, &mut core.rng)
    }
}
