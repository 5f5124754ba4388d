use std::time::{Duration, Instant};

use cornelwinch_types::Name;

use crate::rollout::host::EndedLeg;
use crate::rollout::{HostRollouts, RolloutOrder, VersionReport, VersionStage};
use crate::{Fleet, HealthSignal, UpstreamId};

impl Fleet {
    /// Returns the orders that restrict the choice of upstreams.
    pub fn rollouts(&self) -> &HostRollouts {
        &self.rollouts
    }

    /// Replaces the orders that restrict the choice of upstreams.
    pub fn set_rollouts(&mut self, now: Instant, orders: Vec<RolloutOrder>) {
        self.rollouts.set_orders(now, orders);
    }

    /// Applies a stage. It holds for a fixed time from the report that it responds to.
    pub fn apply_stage(&mut self, now: Instant, stage: &VersionStage) {
        self.rollouts.apply_stage(now, stage);
    }

    /// Returns the reports about all orders that serve. `run` distinguishes runs of this host.
    pub fn version_reports(&self, now: Instant, run: u64) -> Vec<VersionReport> {
        let others_in_flight = |service: &Name, target: &Name| {
            let ids = self.services.get(service).into_iter().flatten();
            let upstreams = ids.filter_map(|id| self.upstreams.get(id));
            let others = upstreams.filter(|u| u.entry.version != *target);
            others.map(|u| u.health.in_flight() as u64).sum()
        };
        self.rollouts.reports(now, run, others_in_flight)
    }

    /// Records the end of a leg for the comparison of versions.
    pub fn record_version_leg(
        &mut self,
        now: Instant,
        id: UpstreamId,
        route: &Name,
        signal: HealthSignal,
        time: Duration,
        is_repeat: bool,
    ) {
        if self.rollouts.is_empty() {
            return;
        }
        let Some(upstream) = self.upstreams.get(&id) else {
            return;
        };
        let leg = EndedLeg {
            route,
            signal,
            time,
            is_cold: upstream.is_cold(now),
            is_repeat,
        };
        let entry = &upstream.entry;
        self.rollouts
            .leg_ended(&entry.service, &entry.version, &leg);
    }
}
