use std::time::Instant;

use cornelwinch_types::Name;

use super::{Fleet, Upstream};
use crate::placement::Placement;
use crate::work::LegQuery;
use crate::{HostPermits, LegRequest, UpstreamLimits};

/// Why an upstream would or would not get a leg now.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Registered name.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Reason for which it is not considered.
    pub exclusion: Option<&'static str>,
    /// True if it left its last legs unanswered; it then ranks after all others.
    pub is_lost: bool,
    /// Score without its random part: the expected time in ms, or the score of the placement by
    /// latency. The lowest one is chosen.
    pub score: f64,
    /// What the score is made of.
    pub details: String,
}

/// Where a leg would go now.
#[derive(Debug, Clone, PartialEq)]
pub struct Explanation {
    /// True if the leg is placed by expected time.
    pub uses_expected_time: bool,
    /// Upstreams of the service, the one that would most likely be chosen first.
    pub candidates: Vec<Candidate>,
}

impl Fleet {
    /// Tells where [`pick_for`](Self::pick_for) would send a leg now, without sending it. Only the
    /// random part of the scores is left out.
    pub fn explain(
        &mut self,
        now: Instant,
        request: LegRequest<'_>,
        limits: UpstreamLimits,
    ) -> Explanation {
        let placement = &self.placement;
        let route = placement.expected_route(request.service, request.route);
        let ids = self
            .services
            .get(request.service)
            .map_or(&[][..], |ids| ids);
        let mut candidates = Vec::new();
        for id in ids {
            let Some(upstream) = self.upstreams.get_mut(id) else {
                continue;
            };
            let hosts = self.hosts.as_ref();
            let exclusion = upstream.exclusion(now, &self.evacuated, hosts, limits);
            let failures = upstream.failure_factor(now, placement);
            let (score, details) = match route {
                Some(route) => {
                    let query = upstream.leg_query(now, placement, route);
                    let score = upstream.work.expected_time(query, 0.0) * 1_000.0;
                    let details = upstream.work.describe(now, upstream.entry.slots);
                    (score * failures, details)
                }
                None => (
                    upstream.latency_score(now, request.zone, 0.0) * failures,
                    format!("in_flight={}", upstream.health.in_flight()),
                ),
            };
            candidates.push(Candidate {
                name: upstream.entry.name.clone(),
                zone: upstream.entry.zone.clone(),
                exclusion,
                is_lost: upstream.health.is_lost(),
                score,
                details,
            });
        }
        candidates.sort_by(|a, b| {
            let key = |c: &Candidate| (c.exclusion.is_some(), c.is_lost);
            key(a).cmp(&key(b)).then(a.score.total_cmp(&b.score))
        });
        Explanation {
            uses_expected_time: route.is_some(),
            candidates,
        }
    }
}

impl Upstream {
    /// Returns the reason for which the upstream gets no leg now, if there is one.
    pub(super) fn exclusion(
        &mut self,
        now: Instant,
        evacuated: &[Name],
        hosts: Option<&HostPermits>,
        limits: UpstreamLimits,
    ) -> Option<&'static str> {
        if !self.takes_requests(now, evacuated) {
            return Some("takes_no_requests");
        }
        if self.health.in_flight() >= limits.connections {
            return Some("connections_in_use");
        }
        if let Some(cold_per_s) = limits.cold_per_s
            && self.is_cold(now)
        {
            let limit = self.permits(hosts, cold_per_s);
            if !self.cold_rate.has_capacity(now, limit) {
                return Some("cold_limit");
            }
        }
        None
    }

    /// Returns what the expected time of a leg to this upstream depends on.
    pub(super) fn leg_query<'a>(
        &'a self,
        now: Instant,
        placement: &'a Placement,
        route: usize,
    ) -> LegQuery<'a> {
        LegQuery {
            now,
            model: &placement.model,
            route,
            other_zone: placement.other_zone(&self.entry.zone),
            slots: self.entry.slots,
        }
    }
}
