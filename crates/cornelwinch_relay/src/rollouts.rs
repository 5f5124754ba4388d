use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cornelwinch_routing::{
    HostRollout, RolloutDecider, RolloutLimits, RolloutOrder, RolloutState, VersionReport,
    VersionStage,
};
use cornelwinch_types::{Name, SortedMap};
use tokio::time::{MissedTickBehavior, interval};

use crate::dialect::ObjectKind;
use crate::follow::{STORE_CALL_TIMEOUT, list_rollouts};
use crate::shared::Shared;
use crate::store::StoreClient;

/// Interval between two decisions on the orders.
const DECISION_INTERVAL: Duration = Duration::from_millis(200);

/// Pause after a failed write of a status.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Pause after another decider has written the status. It is shorter than the lease of a stage.
const CONFLICT_PAUSE: Duration = Duration::from_secs(2);

/// Time without a report after which a host no longer decides on an order.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Deciders of the orders on which this host decides, as the coordinator.
#[derive(Debug)]
pub(crate) struct Rollouts {
    /// Distinguishes runs of this host in its own reports.
    run: u64,
    orders: RefCell<SortedMap<Name, Entry>>,
}

#[derive(Debug)]
struct Entry {
    target_version: Name,
    last_report: Instant,
    /// `None` until the state `serving` is written. Each decider writes it before it grants
    /// anything, which gives the object a new revision, so that an earlier decider gets 409.
    decider: Option<RolloutDecider>,
    /// Revision of the object after this host's last write. A later one is of another decider, or
    /// of an operator.
    revision: Option<u64>,
    is_verdict_logged: bool,
    retry_at: Instant,
}

impl Default for Rollouts {
    fn default() -> Self {
        Self {
            run: fastrand::u64(..),
            orders: RefCell::default(),
        }
    }
}

impl Rollouts {
    /// Records the report of a host, which has chosen this host as its coordinator, and returns
    /// the stage of the order if there is one.
    fn answer_report(
        &self,
        now: Instant,
        host: &Name,
        report: VersionReport,
    ) -> Option<VersionStage> {
        let mut orders = self.orders.borrow_mut();
        let entry = orders.get_or_insert_with(report.service.clone(), || Entry::new(now, &report));
        if entry.target_version != report.target_version {
            *entry = Entry::new(now, &report);
        }
        entry.last_report = now;
        entry.decider.as_mut()?.report(now, host, report)
    }

    /// Returns one line per order on which this host decides.
    pub(crate) fn describe(&self) -> Vec<String> {
        let line = |(service, entry): (&Name, &Entry)| {
            let decider = entry.decider.as_ref();
            let (granted, reached) = decider.map_or((0, 0), RolloutDecider::exposure);
            format!(
                "rollout_decider={service} target={} phase={:?} granted={granted} reached={reached} finding={:?}",
                entry.target_version,
                decider.map(RolloutDecider::phase),
                decider.and_then(RolloutDecider::finding),
            )
        };
        self.orders.borrow().iter().map(line).collect()
    }

    /// Returns the services on which this host decides.
    fn services(&self) -> Vec<Name> {
        self.orders.borrow().keys().cloned().collect()
    }

    /// Returns the state of an order that has to be written now.
    fn due_state(
        &self,
        now: Instant,
        order: &RolloutOrder,
        registered: &[Name],
    ) -> Option<RolloutState> {
        let mut orders = self.orders.borrow_mut();
        let entry = orders.get_mut(&order.service)?;
        if now < entry.retry_at || entry.target_version != order.target_version {
            return None;
        }
        let Some(decider) = &mut entry.decider else {
            return Some(RolloutState::Serving);
        };
        if order.revision > *entry.revision.get_or_insert(order.revision) {
            log::info!(
                "event=rollout_yielded service={} revision={}",
                order.service,
                order.revision
            );
            entry.yield_to_other(now);
            return None;
        }
        let state = decider.decide(now, registered)?;
        if !entry.is_verdict_logged {
            entry.is_verdict_logged = true;
            log::info!(
                "event=rollout_verdict service={} target={} state={state:?} exposure={:?} finding={:?}",
                order.service,
                order.target_version,
                decider.exposure(),
                decider.finding()
            );
        }
        Some(state)
    }

    /// Records the end of a write. After a conflict this host decides no more until it has written
    /// the state `serving` again.
    fn write_ended(
        &self,
        now: Instant,
        order: &RolloutOrder,
        limits: RolloutLimits,
        result: WriteEnd,
    ) {
        let mut orders = self.orders.borrow_mut();
        let Some(entry) = orders.get_mut(&order.service) else {
            return;
        };
        match result {
            WriteEnd::Written if entry.decider.is_none() => {
                let is_first = !order.has_status();
                entry.revision = None;
                entry.decider = Some(RolloutDecider::new(now, limits, order, is_first));
            }
            WriteEnd::Written => {}
            WriteEnd::Conflict => entry.yield_to_other(now),
            WriteEnd::Failed => entry.retry_at = now + WRITE_RETRY_INTERVAL,
        }
    }
}

impl Entry {
    fn yield_to_other(&mut self, now: Instant) {
        self.decider = None;
        self.retry_at = now + CONFLICT_PAUSE;
    }

    fn new(now: Instant, report: &VersionReport) -> Self {
        Self {
            target_version: report.target_version.clone(),
            last_report: now,
            decider: None,
            revision: None,
            is_verdict_logged: false,
            retry_at: now,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteEnd {
    Written,
    Conflict,
    Failed,
}

/// Decides on the orders that hosts report to this one. Returns at once if orders were not followed
/// when the process started.
pub(crate) async fn coordinate_rollouts(shared: Rc<Shared>) {
    if !shared.follows(ObjectKind::Rollouts) {
        return;
    }
    let mut client = StoreClient::new(shared.settings.borrow().store);
    let mut ticks = interval(DECISION_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        decide_all(&shared, &mut client).await;
    }
}

impl Shared {
    /// Returns the reports of this host on the orders that serve.
    pub(crate) fn version_reports(&self) -> Vec<VersionReport> {
        let fleet = &self.core.borrow().fleet;
        fleet.version_reports(Instant::now(), self.rollouts.run)
    }

    /// Answers the report of a host as coordinator.
    pub(crate) fn answer_version_report(
        &self,
        host: &Name,
        report: VersionReport,
    ) -> Option<VersionStage> {
        if !self.follows(ObjectKind::Rollouts) || !self.can_coordinate() {
            return None;
        }
        self.rollouts.answer_report(Instant::now(), host, report)
    }

    /// Applies a stage from the coordinator.
    pub(crate) fn record_stage(&self, stage: &VersionStage) {
        let fleet = &mut self.core.borrow_mut().fleet;
        fleet.apply_stage(Instant::now(), stage);
    }

    /// Exchanges reports and stages within this host, which is the coordinator.
    pub(crate) fn report_versions_to_itself(&self) {
        let this_host = self.settings.borrow().host.clone();
        for report in self.version_reports() {
            if let Some(stage) = self.answer_version_report(&this_host, report) {
                self.record_stage(&stage);
            }
        }
    }
}

async fn decide_all(shared: &Rc<Shared>, client: &mut StoreClient) {
    let now = Instant::now();
    shared
        .rollouts
        .orders
        .borrow_mut()
        .retain(|service, entry| {
            let core = shared.core.borrow();
            let order = core.fleet.rollouts().get(service).map(HostRollout::order);
            let is_serving = order.is_some_and(|order| order.state() == RolloutState::Serving);
            is_serving && now.saturating_duration_since(entry.last_report) < REPORT_TIMEOUT
        });
    let limits = shared
        .settings
        .borrow()
        .bounds
        .rollout
        .map(|bounds| RolloutLimits {
            exposure_ratio: bounds.exposure_ratio,
            exposure_slack: bounds.exposure_slack,
        });
    let Some(limits) = limits else {
        return;
    };
    let registered: Vec<Name> = shared
        .hosts
        .borrow()
        .iter()
        .map(|h| h.name.clone())
        .collect();
    let mut has_written = false;
    for service in shared.rollouts.services() {
        let order = {
            let core = shared.core.borrow();
            core.fleet
                .rollouts()
                .get(&service)
                .map(|rollout| rollout.order().clone())
        };
        let Some(order) = order else { continue };
        let Some(state) = shared
            .rollouts
            .due_state(Instant::now(), &order, &registered)
        else {
            continue;
        };
        let end = write(shared, client, &order, state).await;
        shared
            .rollouts
            .write_ended(Instant::now(), &order, limits, end);
        has_written = true;
    }
    if has_written {
        // Reads the new revisions, and the states after a response that was lost.
        list_rollouts(shared, client).await;
    }
}

async fn write(
    shared: &Shared,
    client: &mut StoreClient,
    order: &RolloutOrder,
    state: RolloutState,
) -> WriteEnd {
    shared.core.borrow_mut().metrics.store_calls += 1;
    let request = (shared.dialect.store.write_rollout)(order, state);
    let end = match client.write(request, STORE_CALL_TIMEOUT).await {
        Ok(_) => WriteEnd::Written,
        Err(error) if error.is_conflict() => WriteEnd::Conflict,
        Err(error) => {
            log::warn!(
                "event=rollout_write_failed service={} {error}",
                order.service
            );
            return WriteEnd::Failed;
        }
    };
    log::info!(
        "event=rollout_written service={} target={} state={state:?} revision={} result={end:?}",
        order.service,
        order.target_version,
        order.revision
    );
    end
}
