use std::time::{Duration, Instant};

use cornelwinch_types::Name;

use crate::codec::ZoneRecord;
use crate::sync::EAGER_SYNC;
use crate::zone::Reach;
use crate::{Membership, MembershipAction};

/// Other zones that a delegate probes in a period. With 21 zones and three
/// delegates each zone is probed every 3.3 s.
const ZONE_PROBES: usize = 2;

/// Failed probes in a row after which a delegate suspects a zone.
const ZONE_MISSES: u32 = 3;

/// Time for which a zone that is reachable again is named in datagrams.
const ZONE_REPEAT: Duration = Duration::from_secs(10);

impl Membership {
    pub(crate) fn is_delegate(&mut self) -> bool {
        let Some(at) = self.table.zone_at(&self.me.zone) else {
            return false;
        };
        self.table.zones_mut()[at]
            .delegates()
            .contains(&self.me.name)
    }

    /// A random delegate of a random other zone.
    pub(crate) fn random_delegate(&mut self) -> Option<Name> {
        let own = &self.me.zone;
        let zones = self.table.zones_mut().iter_mut();
        let others: Vec<_> = zones
            .filter(|zone| zone.name != *own && !zone.hosts.is_empty())
            .collect();
        let zone = self.rng.choice(others)?;
        self.rng.choice(zone.delegates()).cloned()
    }

    pub(crate) fn random_host(&mut self, zone: &Name) -> Option<Name> {
        let zone = self.table.zone(zone)?;
        self.rng.choice(&zone.hosts).cloned()
    }

    /// Probes the next zones in turn; one that just missed a probe goes first,
    /// by way of any of its hosts.
    pub(crate) fn probe_zones(&mut self, now: Instant, out: &mut Vec<MembershipAction>) {
        let zones = self.table.zones();
        let count = zones.len();
        let is_other = |at: &usize| zones[*at].name != self.me.zone && !zones[*at].hosts.is_empty();
        let turn = |from: usize| (0..count).map(move |i| (from + i) % count);
        let doubtful = |at: &usize| (1..ZONE_MISSES).contains(&zones[*at].misses);
        let mut picks: Vec<usize> = turn(self.zone_cursor)
            .filter(is_other)
            .filter(doubtful)
            .take(1)
            .collect();
        for at in turn(self.zone_cursor).filter(is_other) {
            if picks.len() == ZONE_PROBES {
                break;
            }
            if !picks.contains(&at) {
                picks.push(at);
                self.zone_cursor = at + 1;
            }
        }
        for at in picks {
            let zone = &mut self.table.zones_mut()[at];
            let (name, missed) = (zone.name.clone(), zone.misses > 0);
            let target = if missed {
                self.rng.choice(&zone.hosts)
            } else {
                self.rng.choice(zone.delegates())
            };
            if let Some(target) = target.cloned() {
                self.start_probe(now, target, Some(name), out);
            }
        }
    }

    pub(crate) fn on_zone_miss(
        &mut self,
        now: Instant,
        zone: &Name,
        out: &mut Vec<MembershipAction>,
    ) {
        let Some(at) = self.table.zone_at(zone) else {
            return;
        };
        let zone = &mut self.table.zones_mut()[at];
        zone.misses += 1;
        if zone.misses >= ZONE_MISSES && zone.reach == Reach::Reachable {
            let version = zone.version;
            self.set_reach(now, at, version, Reach::Suspect, out);
        }
    }

    /// Takes a datagram from another zone as proof that it is reachable.
    pub(crate) fn on_zone_datagram(
        &mut self,
        now: Instant,
        zone: &Name,
        out: &mut Vec<MembershipAction>,
    ) {
        let Some(at) = self.table.zone_at(zone) else {
            return;
        };
        let zone = &mut self.table.zones_mut()[at];
        zone.misses = 0;
        zone.heard_at = Some(now);
        if zone.reach != Reach::Reachable {
            let version = zone.version + 1;
            self.set_reach(now, at, version, Reach::Reachable, out);
        }
    }

    /// Takes the view of a host of the own zone on other zones.
    pub(crate) fn on_zone_records(
        &mut self,
        now: Instant,
        records: &[ZoneRecord],
        out: &mut Vec<MembershipAction>,
    ) {
        for &(id, version, code) in records {
            let (Some(at), Some(reach)) = (self.table.zone_by_id(id), Reach::from_code(code))
            else {
                continue;
            };
            let zone = &mut self.table.zones_mut()[at];
            if zone.name == self.me.zone || (version, reach) == (zone.version, zone.reach) {
                continue;
            }
            if (version, reach) < (zone.version, zone.reach) {
                // The sender missed the change, for example during a pause.
                zone.named_until = Some(now + ZONE_REPEAT);
                continue;
            }
            zone.misses = 0;
            let heard = zone
                .heard_at
                .is_some_and(|heard| now < heard + self.cfg.suspicion);
            if reach != Reach::Reachable && heard {
                self.set_reach(now, at, version + 1, Reach::Reachable, out);
            } else {
                self.set_reach(now, at, version, reach, out);
            }
        }
    }

    /// Marks suspect zones unreachable whose time is over.
    pub(crate) fn expire_zones(&mut self, now: Instant, out: &mut Vec<MembershipAction>) {
        for at in 0..self.table.zones().len() {
            let zone = &self.table.zones()[at];
            if zone.deadline.is_some_and(|deadline| deadline <= now) {
                let version = zone.version;
                self.set_reach(now, at, version, Reach::Unreachable, out);
            }
        }
    }

    fn set_reach(
        &mut self,
        now: Instant,
        at: usize,
        version: u32,
        reach: Reach,
        out: &mut Vec<MembershipAction>,
    ) {
        let suspicion = self.cfg.suspicion;
        let zone = &mut self.table.zones_mut()[at];
        assert_ne!(zone.name, self.me.zone, "reachability of the own zone");
        assert!(
            (version, reach) > (zone.version, zone.reach),
            "zone={} went back to version={version}",
            zone.name
        );
        let before = std::mem::replace(&mut zone.reach, reach);
        zone.version = version;
        zone.reach_changed_at = Some(now);
        zone.named_until = Some(now + ZONE_REPEAT);
        zone.deadline = (reach == Reach::Suspect).then(|| now + suspicion);
        self.next_gossip = self.next_gossip.max(now);
        if before == Reach::Unreachable {
            self.eager_until = self.eager_until.max(now + EAGER_SYNC);
        }
        if (before == Reach::Unreachable) != (reach == Reach::Unreachable) {
            let reachable = reach != Reach::Unreachable;
            out.push(MembershipAction::ZoneReachable {
                zone: zone.name.clone(),
                reachable,
            });
        }
    }

    /// Zones that are not reachable, or whose change others may have missed.
    pub(crate) fn zone_records(&self, now: Instant) -> Vec<ZoneRecord> {
        let is_named = |until: Option<Instant>| until.is_some_and(|until| now < until);
        let zones = self.table.zones().iter();
        let named =
            zones.filter(|zone| zone.reach != Reach::Reachable || is_named(zone.named_until));
        named
            .map(|zone| (zone.id, zone.version, zone.reach as u8))
            .collect()
    }
}
