//! Placement of legs by the expected time to the answer.

use std::time::{Duration, Instant};

use cornelwinch_types::Name;

use super::{Fleet, Upstream};
use crate::placement::{CHECK_INTERVAL, Placement};
use crate::work::LegQuery;
use crate::{PlacementMode, UpstreamId};

impl Fleet {
    /// Sets how upstreams are chosen. `zone` is the zone of this host.
    pub fn set_placement(&mut self, mode: PlacementMode, zone: Name) {
        self.placement.mode = mode;
        self.placement.zone = Some(zone);
    }

    /// Records that a leg of a route was sent, like [`leg_sent`](Self::leg_sent), for placement by
    /// expected time.
    pub fn leg_of_route_sent(
        &mut self,
        now: Instant,
        id: UpstreamId,
        token: u64,
        typical: Duration,
        route: &Name,
    ) {
        self.leg_sent(now, id, token, typical);
        let placement = &mut self.placement;
        if placement.mode == PlacementMode::Latency {
            return;
        }
        let typical = typical.as_secs_f64();
        let Some(route) = placement.model.use_route(now, route, typical) else {
            return;
        };
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            let other_zone = placement.other_zone(&upstream.entry.zone);
            let query = LegQuery {
                now,
                model: &placement.model,
                route,
                other_zone,
                slots: upstream.entry.slots,
            };
            upstream.work.leg_sent(query, token);
        }
    }

    /// Records that the connection of a leg is open. The time of the leg counts from now.
    pub fn leg_connected(&mut self, now: Instant, id: UpstreamId, token: u64) {
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.work.leg_connected(now, token);
        }
    }

    /// Records that this host was late itself while a leg was in flight, so that its time says
    /// little about the upstream.
    pub fn mark_untimely(&mut self, id: UpstreamId, token: u64) {
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.work.mark_untimely(token);
        }
    }

    /// Reports whether legs to a service are placed by expected time.
    pub fn uses_expected_time(&self, service: &Name) -> bool {
        match self.placement.mode {
            PlacementMode::Latency => false,
            PlacementMode::ExpectedWork => true,
            PlacementMode::Learned => self.placement.uneven.binary_search(service).is_ok(),
        }
    }

    /// Checks periodically which services have uneven speeds or costs.
    pub(super) fn check_evenness(&mut self, now: Instant) {
        let placement = &mut self.placement;
        if placement.mode != PlacementMode::Learned
            || placement.next_check.is_some_and(|at| now < at)
        {
            return;
        }
        placement.next_check = Some(now + CHECK_INTERVAL);
        let mut uneven = Vec::new();
        for (service, ids) in self.services.iter() {
            let was_uneven = placement.uneven.binary_search(service).is_ok();
            let routes = ids.iter().fold(0, |routes, id| {
                let upstream = self.upstreams.get_mut(id);
                routes | upstream.map_or(0, |u| u.work.take_routes())
            });
            // Only the extremes are compared: a service may have thousands of upstreams.
            let works = || {
                let upstreams = ids.iter().filter_map(|id| self.upstreams.get(id));
                upstreams.map(|u| (u.work.speed_range(now), &u.work))
            };
            let slowest = works().max_by(|(a, _), (b, _)| a.0.total_cmp(&b.0));
            let fastest = works().min_by(|(a, _), (b, _)| a.1.total_cmp(&b.1));
            let has_uneven_speeds = || {
                let pair = slowest.zip(fastest);
                pair.is_some_and(|((_, one), (_, other))| one.is_uneven(other, now, was_uneven))
            };
            if placement.model.has_uneven_costs(routes) || has_uneven_speeds() {
                uneven.push(service.clone());
            }
        }
        placement.uneven = uneven;
    }

    /// Returns lines about the learned costs, or none if legs are placed by latency.
    pub(super) fn describe_placement(&self) -> Vec<String> {
        let placement = &self.placement;
        if placement.mode == PlacementMode::Latency {
            return Vec::new();
        }
        let mut lines = vec![format!(
            "placement={:?} uneven_services={}",
            placement.mode,
            placement.uneven.len()
        )];
        lines.extend(placement.model.describe());
        lines
    }
}

impl Upstream {
    /// Returns the factor of the score for legs that the upstream refused or failed of late; 1 if
    /// legs are placed by latency.
    pub(super) fn failure_factor(&self, now: Instant, placement: &Placement) -> f64 {
        match placement.mode {
            PlacementMode::Latency => 1.0,
            PlacementMode::ExpectedWork | PlacementMode::Learned => self.health.failure_factor(now),
        }
    }
}
