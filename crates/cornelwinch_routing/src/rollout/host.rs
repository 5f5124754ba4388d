use std::fmt::Write;
use std::time::{Duration, Instant};

use cornelwinch_types::{Name, SortedMap};

use crate::HealthSignal;
use crate::rollout::decider::STAGE_LEASE;
use crate::rollout::{
    RolloutOrder, RolloutPhase, RolloutState, RouteTally, VersionGroup, VersionReport, VersionStage,
};

/// Largest number of routes with tallies of their own. Legs of further routes are not reported.
const MAX_ROUTES: usize = 64;

/// Version groups that a leg may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct VersionUse {
    pub(crate) target: bool,
    pub(crate) other: bool,
}

impl VersionUse {
    /// Returns whether an upstream of a group is chosen only if there is none of the other group,
    /// or `None` if it may not be used. A token is used by the first leg of a request, and by a
    /// repeat only if no other version can get it.
    pub(crate) fn defers(self, group: Option<VersionGroup>, is_first_leg: bool) -> Option<bool> {
        match group {
            Some(VersionGroup::Target) => self.target.then_some(!is_first_leg),
            _ => self.other.then_some(is_first_leg && self.target),
        }
    }
}

/// What a host holds of one order.
#[derive(Debug)]
pub struct HostRollout {
    order: RolloutOrder,
    learned: Instant,
    phase: RolloutPhase,
    /// Time until which the last stage is valid; `None` before the first stage.
    valid_until: Option<Instant>,
    granted: u64,
    used: u64,
    reached: u64,
    routes: SortedMap<Name, RouteTally>,
}

impl HostRollout {
    fn new(now: Instant, order: RolloutOrder) -> Self {
        Self {
            order,
            learned: now,
            phase: RolloutPhase::Testing,
            valid_until: None,
            granted: 0,
            used: 0,
            reached: 0,
            routes: SortedMap::new(),
        }
    }

    /// Returns the order.
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Returns the version groups that legs of the service may use now. Before the first stage, no
    /// decider counts on this host, so the other versions stay in use. Once the last stage has
    /// ended, the order may be completed without this host, so that neither group may be used: the
    /// request is refused as not run, and the caller reaches another host.
    pub(crate) fn version_use(&self, now: Instant) -> VersionUse {
        let (target, other) = match self.order.state() {
            RolloutState::Completed => (true, false),
            RolloutState::Reverted => (false, true),
            RolloutState::Serving => {
                let is_valid = self.valid_until.is_some_and(|until| now < until);
                match self.phase {
                    RolloutPhase::Reverted => (false, true),
                    RolloutPhase::Finishing => (true, false),
                    RolloutPhase::Testing => (
                        is_valid && self.used < self.granted,
                        is_valid || self.valid_until.is_none(),
                    ),
                }
            }
        };
        VersionUse { target, other }
    }

    fn group(&self, version: &Name) -> VersionGroup {
        if *version == self.order.target_version {
            VersionGroup::Target
        } else {
            VersionGroup::Other
        }
    }

    /// Returns the report for the decider.
    fn report(&self, now: Instant, run: u64, others_in_flight: u64) -> VersionReport {
        VersionReport {
            service: self.order.service.clone(),
            target_version: self.order.target_version.clone(),
            run,
            phase: self.phase,
            age: now.saturating_duration_since(self.learned),
            reached: self.reached,
            granted: self.granted,
            used: self.used,
            has_left_others: !self.version_use(now).other,
            others_in_flight,
            routes: self.routes.values().cloned().collect(),
        }
    }
}

/// Reports whether an order that was decided serves again.
fn is_repeated(old: &RolloutOrder, new: &RolloutOrder) -> bool {
    old.state() != RolloutState::Serving && new.state() == RolloutState::Serving
}

/// Orders that a host knows, by service.
#[derive(Debug, Default)]
pub struct HostRollouts {
    services: SortedMap<Name, HostRollout>,
}

impl HostRollouts {
    /// Reports whether there are no orders.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Reports whether an order has no verdict yet.
    pub fn is_any_serving(&self) -> bool {
        let mut all = self.services.values();
        all.any(|rollout| rollout.order.state() == RolloutState::Serving)
    }

    /// Returns the order of a service.
    pub fn get(&self, service: &Name) -> Option<&HostRollout> {
        self.services.get(service)
    }

    /// Replaces all orders. An order with another target version, or
    /// one that was decided and is given again, starts from 0. An older object changes nothing.
    pub fn set_orders(&mut self, now: Instant, orders: Vec<RolloutOrder>) {
        self.services
            .retain(|service, _| orders.iter().any(|order| order.service == *service));
        for order in orders {
            match self.services.get_mut(&order.service) {
                Some(known) if known.order.revision > order.revision => {}
                Some(known)
                    if known.order.target_version == order.target_version
                        && !is_repeated(&known.order, &order) =>
                {
                    known.order = order;
                }
                _ => {
                    let service = order.service.clone();
                    self.services.insert(service, HostRollout::new(now, order));
                }
            }
        }
    }

    /// Returns the reports for the deciders. `run` distinguishes runs of this host;
    /// `others_in_flight` counts the legs to the upstreams of a service that do not run a version.
    pub fn reports(
        &self,
        now: Instant,
        run: u64,
        others_in_flight: impl Fn(&Name, &Name) -> u64,
    ) -> Vec<VersionReport> {
        let serving = self
            .services
            .values()
            .filter(|rollout| rollout.order.state() == RolloutState::Serving);
        serving
            .map(|rollout| {
                let order = &rollout.order;
                let in_flight = others_in_flight(&order.service, &order.target_version);
                rollout.report(now, run, in_flight)
            })
            .collect()
    }

    /// Applies a stage. It holds for a fixed time from the report that it responds to.
    pub fn apply_stage(&mut self, now: Instant, stage: &VersionStage) {
        let Some(rollout) = self.services.get_mut(&stage.service) else {
            return;
        };
        if rollout.order.target_version != stage.target_version {
            return;
        }
        // A host that has stopped using a version does not return to it for a decider that took
        // over and has not come as far.
        if rollout.phase == RolloutPhase::Testing {
            rollout.phase = stage.phase;
        }
        rollout.granted = rollout.granted.max(stage.granted);
        let reported = (rollout.learned + stage.age).min(now);
        rollout.valid_until = rollout.valid_until.max(Some(reported + STAGE_LEASE));
    }

    /// Returns the version groups that legs of a service may use.
    pub(crate) fn version_use(&self, now: Instant, service: &Name) -> Option<VersionUse> {
        Some(self.services.get(service)?.version_use(now))
    }

    /// Reports whether a leg that was chosen before may still be sent to a version.
    pub(crate) fn is_allowed(&self, now: Instant, service: &Name, version: &Name) -> bool {
        let Some(rollout) = self.services.get(service) else {
            return true;
        };
        match rollout.group(version) {
            VersionGroup::Other => rollout.version_use(now).other,
            // The token of the leg is spent already.
            VersionGroup::Target => {
                rollout.order.state() != RolloutState::Reverted
                    && rollout.phase != RolloutPhase::Reverted
            }
        }
    }

    /// Returns the group of a version, or `None` without an order.
    pub(crate) fn group(&self, service: &Name, version: &Name) -> Option<VersionGroup> {
        Some(self.services.get(service)?.group(version))
    }

    /// Records that an upstream of a version was chosen. A leg to the target version spends a token.
    pub(crate) fn spend(&mut self, service: &Name, version: &Name) {
        if let Some(rollout) = self.services.get_mut(service)
            && rollout.group(version) == VersionGroup::Target
        {
            rollout.used += 1;
        }
    }

    /// Records the end of a leg.
    pub(crate) fn leg_ended(&mut self, service: &Name, version: &Name, leg: &EndedLeg<'_>) {
        let Some(rollout) = self.services.get_mut(service) else {
            return;
        };
        let group = rollout.group(version);
        if matches!(leg.signal, HealthSignal::Answered { .. }) && !leg.is_repeat {
            rollout.reached += 1;
        }
        if !rollout.routes.contains_key(leg.route) && rollout.routes.len() >= MAX_ROUTES {
            return;
        }
        let tallies = rollout
            .routes
            .get_or_insert_with(leg.route.clone(), || RouteTally {
                route: leg.route.clone(),
                target: Default::default(),
                other: Default::default(),
            });
        let tally = match group {
            VersionGroup::Target => &mut tallies.target,
            VersionGroup::Other => &mut tallies.other,
        };
        tally.record(leg.signal, leg.time, leg.is_cold);
    }

    /// Returns the legs by service, version group and route as lines of metrics.
    pub fn to_metrics(&self) -> String {
        let mut text = String::new();
        for (service, rollout) in self.services.iter() {
            for legs in rollout.routes.values() {
                for (group, tally) in [("target", &legs.target), ("other", &legs.other)] {
                    for (result, count) in [("ended", tally.ended), ("failed", tally.failed)] {
                        let route = &legs.route;
                        writeln!(
                            text,
                            "cornelwinch_version_legs_total{{service=\"{service}\",version=\"{group}\",route=\"{route}\",result=\"{result}\"}} {count}"
                        )
                        .expect("writing to a string does not fail");
                    }
                }
            }
        }
        text
    }

    /// Returns one line per order.
    pub fn describe(&self, now: Instant) -> Vec<String> {
        let line = |rollout: &HostRollout| {
            let order = &rollout.order;
            let allowed = rollout.version_use(now);
            format!(
                "rollout={} target={} state={:?} phase={:?} granted={} used={} reached={} target_allowed={} others_allowed={}",
                order.service,
                order.target_version,
                order.state(),
                rollout.phase,
                rollout.granted,
                rollout.used,
                rollout.reached,
                allowed.target,
                allowed.other,
            )
        };
        self.services.values().map(line).collect()
    }
}

/// End of a leg as the version of its upstream is judged by it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndedLeg<'a> {
    pub(crate) route: &'a Name,
    pub(crate) signal: HealthSignal,
    pub(crate) time: Duration,
    pub(crate) is_cold: bool,
    pub(crate) is_repeat: bool,
}
