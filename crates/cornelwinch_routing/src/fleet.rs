mod connections;
mod describe;
mod expected;
mod explain;
mod reachability;

pub use explain::{Candidate, Explanation};

use std::time::{Duration, Instant};

use cornelwinch_types::{Name, SortedMap};

use crate::health::latency_ratio;
use crate::placement::{Placement, normal};
use crate::withdrawal::Withdrawal;
use crate::work::UpstreamWork;
use crate::{
    ColdRateLimiter, HealthSignal, HostPermits, HostRollouts, LegRequest, UpstreamEndpoint,
    UpstreamEntry, UpstreamHealth, UpstreamId, UpstreamLimits, UpstreamState,
};

/// Score penalty of an upstream in another zone, in typical leg times. It stands for
/// the network latency and the price of bytes between zones.
const OTHER_ZONE_PENALTY: f64 = 0.5;

/// Maximum random increase of a score, as a share of it. The jitter keeps hosts from
/// choosing the same upstream at the same time.
const SCORE_JITTER: f64 = 0.1;

/// Longest time for which an upstream counts as cold after each report.
const MAX_COLD_TIME: Duration = Duration::from_secs(24 * 60 * 60);

/// Time for which the withdrawal of a run without an entry is remembered. An entry that expired
/// during a store outage returns within seconds of its end.
const REMOVED_RUN_TTL: Duration = Duration::from_secs(15 * 60);

/// Largest number of remembered withdrawals of runs without an entry.
const MAX_REMOVED_RUNS: usize = 4_096;

#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) entry: UpstreamEntry,
    pub(crate) health: UpstreamHealth,
    work: UpstreamWork,
    cold_until: Option<Instant>,
    cold_rate: ColdRateLimiter,
    /// Last limit shared by all hosts, and this host's permits of it.
    permits: Option<(usize, usize)>,
    /// Last limit on idle connections of all hosts, and whether this host has one of them.
    idle_permit: Option<(usize, bool)>,
    /// Time at which an entry that is missing from the list after an outage expires.
    missing_until: Option<Instant>,
    /// True if another upstream now uses the address. A request sent there would count
    /// as a repeat for the service of that upstream.
    is_displaced: bool,
    withdrawal: Withdrawal,
}

/// Withdrawal of a run whose entry is gone, in case the entry returns.
#[derive(Debug)]
struct RemovedRun {
    withdrawal: Withdrawal,
    /// Set by the first cleanup after the removal.
    forget_at: Option<Instant>,
}

/// Registered upstreams with the health that this host has observed.
#[derive(Debug, Default)]
pub struct Fleet {
    last_id: u64,
    pub(crate) upstreams: SortedMap<UpstreamId, Upstream>,
    /// Current run of each registered name.
    names: SortedMap<Name, UpstreamId>,
    pub(crate) services: SortedMap<Name, Vec<UpstreamId>>,
    evacuated: Vec<Name>,
    /// Withdrawn runs without an entry, by name and start time.
    removed_runs: SortedMap<(Name, u64), RemovedRun>,
    /// Division of limits among hosts; `None` if this host is the only one.
    hosts: Option<HostPermits>,
    placement: Placement,
    pub(crate) rollouts: HostRollouts,
}

impl Fleet {
    /// Creates an empty fleet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of upstreams.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Reports whether the fleet has no upstream.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Sets the evacuated zones, whose upstreams get no requests.
    pub fn set_evacuated_zones(&mut self, mut zones: Vec<Name>) {
        zones.sort();
        self.evacuated = zones;
    }

    /// Sets the hosts among which the limits of upstreams are divided.
    pub fn set_hosts(&mut self, hosts: HostPermits) {
        self.hosts = Some(hosts);
        for (_, upstream) in self.upstreams.iter_mut() {
            upstream.permits = None;
            upstream.idle_permit = None;
        }
    }

    /// Returns the evacuated zones, sorted.
    pub fn evacuated_zones(&self) -> &[Name] {
        &self.evacuated
    }

    /// Adds or updates an upstream. Returns the identifier of an earlier run that the
    /// entry replaces.
    pub fn apply(&mut self, now: Instant, entry: UpstreamEntry) -> Option<UpstreamId> {
        let cold_until = cold_until(now, entry.cold_left);
        let known = self.names.get(&entry.name).copied();
        if let Some(id) = known
            && let Some(upstream) = self.upstreams.get_mut(&id)
            && upstream.entry.born_ms == entry.born_ms
            && upstream.entry.addr == entry.addr
            && upstream.entry.service == entry.service
        {
            upstream.entry = entry;
            upstream.cold_until = cold_until;
            upstream.missing_until = None;
            return None;
        }
        let replaced = self.remove(&entry.name);
        let run = (entry.name.clone(), entry.born_ms);
        let withdrawal = self
            .removed_runs
            .remove(&run)
            .map_or_else(Withdrawal::default, |run| run.withdrawal);
        self.last_id += 1;
        let id = UpstreamId(self.last_id);
        self.names.insert(entry.name.clone(), id);
        self.services
            .get_or_insert_with(entry.service.clone(), Vec::new)
            .push(id);
        self.upstreams.insert(
            id,
            Upstream {
                entry,
                health: UpstreamHealth::new(now),
                work: UpstreamWork::new(now),
                cold_until,
                cold_rate: ColdRateLimiter::default(),
                permits: None,
                idle_permit: None,
                missing_until: None,
                is_displaced: false,
                withdrawal,
            },
        );
        replaced
    }

    /// Removes an upstream by its registered name and returns its identifier.
    pub fn remove(&mut self, name: &Name) -> Option<UpstreamId> {
        let id = self.names.remove(name)?;
        let upstream = self.upstreams.remove(&id)?;
        if let Some(ids) = self.services.get_mut(&upstream.entry.service) {
            ids.retain(|other| *other != id);
        }
        let withdrawal = upstream.withdrawal;
        if withdrawal != Withdrawal::default() && self.removed_runs.len() < MAX_REMOVED_RUNS {
            let run = (upstream.entry.name, upstream.entry.born_ms);
            let forget_at = None;
            self.removed_runs.insert(
                run,
                RemovedRun {
                    withdrawal,
                    forget_at,
                },
            );
        }
        Some(id)
    }

    /// Applies a complete list and returns the upstreams that were removed or replaced.
    /// Upstreams that are not listed are removed at once, or expire after
    /// `keep_missing` if their entries may merely have lapsed in the store.
    pub fn apply_list(
        &mut self,
        now: Instant,
        entries: Vec<UpstreamEntry>,
        keep_missing: Option<Duration>,
    ) -> Vec<UpstreamId> {
        let mut listed: Vec<Name> = entries.iter().map(|e| e.name.clone()).collect();
        listed.sort();
        let mut removed: Vec<UpstreamId> = entries
            .into_iter()
            .filter_map(|entry| self.apply(now, entry))
            .collect();
        let missing: Vec<Name> = self
            .names
            .keys()
            .filter(|name| listed.binary_search(name).is_err())
            .cloned()
            .collect();
        for name in missing {
            match keep_missing {
                Some(keep) => {
                    let upstream = self
                        .names
                        .get(&name)
                        .and_then(|id| self.upstreams.get_mut(id));
                    if let Some(upstream) = upstream {
                        upstream.missing_until.get_or_insert(now + keep);
                    }
                }
                None => removed.extend(self.remove(&name)),
            }
        }
        removed
    }

    /// Marks one upstream as missing until its entry returns or `keep` has elapsed.
    pub fn mark_missing(&mut self, now: Instant, name: &Name, keep: Duration) {
        let id = self.names.get(name).copied();
        if let Some(upstream) = id.and_then(|id| self.upstreams.get_mut(&id)) {
            upstream.missing_until.get_or_insert(now + keep);
        }
    }

    /// Removes the missing upstreams whose time has elapsed.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<UpstreamId> {
        self.removed_runs.retain(|_, run| {
            let forget_at = *run.forget_at.get_or_insert(now + REMOVED_RUN_TTL);
            now < forget_at
        });
        self.check_evenness(now);
        let expired: Vec<Name> = self
            .upstreams
            .values()
            .filter(|u| u.missing_until.is_some_and(|until| until <= now))
            .map(|u| u.entry.name.clone())
            .collect();
        expired
            .iter()
            .filter_map(|name| self.remove(name))
            .collect()
    }

    /// Chooses the upstream of a service that is expected to answer first, other
    /// than those in `tried`. `zone` is the zone of this host.
    pub fn pick(
        &mut self,
        now: Instant,
        service: &Name,
        zone: &Name,
        tried: &[UpstreamId],
        limits: UpstreamLimits,
        rng: &mut fastrand::Rng,
    ) -> Option<UpstreamEndpoint> {
        let request = LegRequest {
            service,
            zone,
            route: None,
            tried,
        };
        self.pick_for(now, request, limits, rng)
    }

    /// Chooses the upstream for a leg, like [`pick`](Self::pick). The mode of placement decides
    /// whether by latency or by the expected time of a leg of this route.
    pub fn pick_for(
        &mut self,
        now: Instant,
        request: LegRequest<'_>,
        limits: UpstreamLimits,
        rng: &mut fastrand::Rng,
    ) -> Option<UpstreamEndpoint> {
        let LegRequest { zone, tried, .. } = request;
        let ids = self.services.get(request.service)?;
        let placement = &self.placement;
        let route = placement.expected_route(request.service, request.route);
        let versions = self.rollouts.version_use(now, request.service);
        let mut best: Option<((bool, bool, f64), UpstreamId)> = None;
        for id in ids {
            if tried.contains(id) {
                continue;
            }
            let Some(upstream) = self.upstreams.get_mut(id) else {
                continue;
            };
            let hosts = self.hosts.as_ref();
            let exclusion = upstream.exclusion(now, &self.evacuated, hosts, limits);
            if exclusion.is_some() {
                continue;
            }
            let mut is_deferred = false;
            if let Some(versions) = versions {
                let group = self
                    .rollouts
                    .group(request.service, &upstream.entry.version);
                match versions.defers(group, tried.is_empty()) {
                    Some(deferred) => is_deferred = deferred,
                    None => continue,
                }
            }
            let mut score = match route {
                Some(route) => {
                    let query = upstream.leg_query(now, placement, route);
                    upstream.work.expected_time(query, normal(rng))
                }
                None => upstream.latency_score(now, zone, rng.f64()),
            };
            score *= upstream.failure_factor(now, placement);
            let rank = (upstream.health.is_lost(), is_deferred, score);
            if best.is_none_or(|(best, _)| rank < best) {
                best = Some((rank, *id));
            }
        }
        let id = best?.1;
        let upstream = self.upstreams.get_mut(&id)?;
        if versions.is_some() {
            self.rollouts
                .spend(request.service, &upstream.entry.version);
        }
        if let Some(cold_per_s) = limits.cold_per_s
            && upstream.is_cold(now)
        {
            let limit = upstream.permits(self.hosts.as_ref(), cold_per_s);
            upstream.cold_rate.take(now, limit);
        }
        Some(UpstreamEndpoint {
            id,
            name: upstream.entry.name.clone(),
            addr: upstream.entry.addr,
        })
    }

    /// Reports whether an upstream of the service takes requests and is not lost.
    pub fn has_available_upstream(&self, now: Instant, service: &Name) -> bool {
        self.services.get(service).is_some_and(|ids| {
            ids.iter().any(|id| {
                self.upstreams.get(id).is_some_and(|u| {
                    u.may_get_leg(now, &self.evacuated, &self.rollouts) && !u.health.is_lost()
                })
            })
        })
    }

    /// Returns the time at which the first upstream of the service has rested, if it is sound
    /// otherwise; `None` if there is no such upstream.
    pub fn end_of_rest(&self, now: Instant, service: &Name) -> Option<Instant> {
        let ids = self.services.get(service)?;
        let upstreams = ids.iter().filter_map(|id| self.upstreams.get(id));
        upstreams
            .filter_map(|upstream| {
                let end = upstream.withdrawal.rest.end(now)?;
                let is_available =
                    upstream.takes_requests(end, &self.evacuated) && !upstream.health.is_lost();
                is_available.then_some(end)
            })
            .min()
    }

    /// Records that an upstream has said that it leaves: this run gets nothing more. Returns
    /// true the first time.
    pub fn mark_leaving(&mut self, id: UpstreamId) -> bool {
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return false;
        };
        !std::mem::replace(&mut upstream.withdrawal.is_leaving, true)
    }

    /// Records that an upstream has asked for a rest: it gets nothing more for `time`. Returns
    /// true if it was not resting.
    pub fn extend_rest(&mut self, now: Instant, id: UpstreamId, time: Duration) -> bool {
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return false;
        };
        let is_new = upstream.withdrawal.rest.end(now).is_none();
        upstream.withdrawal.rest.extend(now, time);
        is_new
    }

    /// Reports whether a leg may be sent to this run of an upstream.
    pub fn takes_requests(&self, now: Instant, id: UpstreamId) -> bool {
        self.upstreams
            .get(&id)
            .is_some_and(|u| u.may_get_leg(now, &self.evacuated, &self.rollouts))
    }

    /// Records that a leg was sent; `typical` is the typical time of such a leg.
    pub fn leg_sent(&mut self, now: Instant, id: UpstreamId, token: u64, typical: Duration) {
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.health.leg_sent(now, token, typical);
        }
    }

    /// Records the end of a leg.
    pub fn leg_ended(&mut self, now: Instant, id: UpstreamId, token: u64, signal: HealthSignal) {
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            match signal {
                HealthSignal::Misdirected => upstream.is_displaced = true,
                HealthSignal::Oversized => upstream.withdrawal.faults.record_fault(now),
                HealthSignal::Answered { .. } => upstream.withdrawal.faults.record_answer(),
                _ => {}
            }
            upstream.health.leg_ended(now, token, signal);
            let other_zone = self.placement.other_zone(&upstream.entry.zone);
            let model = &mut self.placement.model;
            let work = &mut upstream.work;
            work.leg_ended(now, token, signal, other_zone, model);
        }
    }

    /// Sets the remaining cold time that an upstream reported in an answer.
    pub fn set_cold_left(&mut self, now: Instant, id: UpstreamId, left: Duration) {
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.cold_until = cold_until(now, left);
        }
    }

    /// Returns a time as a multiple of the typical one.
    pub fn latency_ratio(time: Duration, typical: Duration) -> f64 {
        latency_ratio(time, typical)
    }
}

fn cold_until(now: Instant, left: Duration) -> Option<Instant> {
    (!left.is_zero()).then(|| now + left.min(MAX_COLD_TIME))
}

impl Upstream {
    /// Returns the score by which legs are placed if not by expected time, with a random part from
    /// 0 to 1.
    fn latency_score(&self, now: Instant, zone: &Name, random: f64) -> f64 {
        let score = self.health.score(now) * (1.0 + SCORE_JITTER * random);
        if self.entry.zone == *zone {
            score
        } else {
            score + OTHER_ZONE_PENALTY
        }
    }

    /// Reports whether the upstream takes requests and its version may be used.
    fn may_get_leg(&self, now: Instant, evacuated: &[Name], rollouts: &HostRollouts) -> bool {
        self.takes_requests(now, evacuated)
            && (rollouts.is_empty()
                || rollouts.is_allowed(now, &self.entry.service, &self.entry.version))
    }

    fn takes_requests(&self, now: Instant, evacuated: &[Name]) -> bool {
        self.entry.state == UpstreamState::Ready
            && !self.is_displaced
            && !self.withdrawal.is_withdrawn(now)
            && self.missing_until.is_none_or(|until| now < until)
            && evacuated.binary_search(&self.entry.zone).is_err()
    }

    /// Returns this host's permits of a limit that all hosts share.
    fn permits(&mut self, hosts: Option<&HostPermits>, total: usize) -> usize {
        let Some(hosts) = hosts else {
            return total;
        };
        match self.permits {
            Some((last_total, permits)) if last_total == total => permits,
            _ => {
                let permits = hosts.permits_for(total, &self.entry.name, &self.entry.zone);
                self.permits = Some((total, permits));
                permits
            }
        }
    }

    pub(crate) fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }
}
