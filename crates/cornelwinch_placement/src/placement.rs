use cornelwinch_types::{Member, Name};

use crate::SHARE_BOUND_PERCENT;
use crate::zone::{Group, PoolHost, Zone};

/// An upstream with the availability zone and the group that determine its owner.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpstreamSite {
    /// Name of the upstream.
    pub name: Name,
    /// Availability zone of the upstream.
    pub zone: Name,
    /// Group of upstreams in the zone that share one owner. The group is named
    /// after the upstream if it is the only member.
    pub group: Name,
}

/// Number of consecutive shards whose upstreams form a group with one owner.
///
/// With 376 hosts and 3,620 upstreams, groups of 5 reduce the owners that a
/// query of 65 legs is sent to from 60 to 13, and raise the most upstreams that
/// one host owns from 13 to 15. Groups of 10 reduce the owners to 7, but leave a
/// third of the hosts without any upstream.
pub const SHARDS_PER_GROUP: usize = 5;

/// Returns the group of the upstreams that hold a shard.
///
/// `search` is the name of the search, and `position` the index of the shard in
/// the snapshot.
pub fn shard_group(search: &str, position: usize) -> Name {
    Name::from(format!("{search}/{}", position / SHARDS_PER_GROUP))
}

/// Assignment of each upstream to the host that owns it.
///
/// ```
/// use cornelwinch_placement::{Placement, UpstreamSite};
/// use cornelwinch_types::{Incarnation, Member, MemberState, Name};
///
/// let host = Member {
///     name: Name::from("a-1"),
///     zone: Name::from("a"),
///     incarnation: Incarnation(1),
///     peer: "127.0.0.1:7000".parse().unwrap(),
///     gossip: "127.0.0.1:7001".parse().unwrap(),
///     state: MemberState::Alive,
/// };
/// let site = UpstreamSite { name: Name::from("u-1"), zone: Name::from("a"), group: Name::from("u-1") };
/// let placement = Placement::compute(&[site], &[host]);
/// assert_eq!(placement.owner("u-1"), Some(&Name::from("a-1")));
/// ```
#[derive(Debug, Clone)]
pub struct Placement {
    bound_percent: Option<u32>,
    /// Upstreams ordered by name, each with the index of its zone in `zones` and
    /// of its group in that zone.
    sites: Vec<(UpstreamSite, u32, u32)>,
    zones: Vec<Zone>,
    /// Hosts that may own upstreams, each with its zone; ordered by zone, then by
    /// hash.
    hosts: Vec<(Name, PoolHost)>,
}

impl Placement {
    /// Computes the owners with the bound [`SHARE_BOUND_PERCENT`] on the upstreams
    /// of one host.
    ///
    /// # Panics
    ///
    /// Panics if `upstreams` is not ordered by name or contains a name twice.
    pub fn compute(upstreams: &[UpstreamSite], members: &[Member]) -> Self {
        Self::compute_with(Some(SHARE_BOUND_PERCENT), upstreams, members)
    }

    /// Computes the owners with the given bound on the upstreams of one host.
    ///
    /// The bound is in percent of the mean per host; `None` sets no bound.
    ///
    /// # Panics
    ///
    /// Panics if `upstreams` is not ordered by name or contains a name twice.
    pub fn compute_with(
        bound_percent: Option<u32>,
        upstreams: &[UpstreamSite],
        members: &[Member],
    ) -> Self {
        let mut placement = Self {
            bound_percent,
            sites: Vec::new(),
            zones: Vec::new(),
            hosts: Vec::new(),
        };
        placement.set_upstreams(upstreams);
        placement.set_members(members);
        placement
    }

    /// Replaces the members and updates the owners.
    ///
    /// Only zones whose eligible hosts changed are recomputed, and the rankings
    /// of the previous call are reused. The owners are the same as from
    /// [`Placement::compute_with`] with the current upstreams and bound.
    pub fn set_members(&mut self, members: &[Member]) {
        self.hosts = members
            .iter()
            .filter(|member| member.can_own())
            .map(|member| (member.zone.clone(), PoolHost::new(&member.name)))
            .collect();
        self.hosts.sort_unstable();
        self.refresh_pools();
    }

    /// Sets the pool of each zone to the hosts in that zone, or to all hosts if
    /// there are none, and reassigns the owners in zones whose pool changed.
    fn refresh_pools(&mut self) {
        let mut all_hosts: Option<Vec<PoolHost>> = None;
        for zone in &mut self.zones {
            let start = self.hosts.partition_point(|(name, _)| *name < zone.name);
            let mut pool: Vec<PoolHost> = self.hosts[start..]
                .iter()
                .take_while(|(name, _)| *name == zone.name)
                .map(|(_, host)| host.clone())
                .collect();
            if pool.is_empty() {
                let all = all_hosts.get_or_insert_with(|| {
                    let mut all: Vec<PoolHost> =
                        self.hosts.iter().map(|(_, host)| host.clone()).collect();
                    all.sort_unstable();
                    all
                });
                pool.clone_from(all);
            }
            if pool != zone.pool {
                zone.set_pool(pool);
                zone.assign(self.bound_percent);
            }
        }
    }

    /// Replaces the upstreams and updates the owners.
    ///
    /// Groups that still exist keep their ranked hosts.
    ///
    /// # Panics
    ///
    /// Panics if `upstreams` is not ordered by name or contains a name twice.
    pub fn set_upstreams(&mut self, upstreams: &[UpstreamSite]) {
        let ordered = upstreams.windows(2).all(|pair| pair[0].name < pair[1].name);
        assert!(
            ordered,
            "{} upstreams are not ordered by name or contain a name twice",
            upstreams.len()
        );
        let mut keys: Vec<(&Name, &Name)> = upstreams
            .iter()
            .map(|site| (&site.zone, &site.group))
            .collect();
        keys.sort_unstable();
        let mut zones: Vec<Zone> = Vec::new();
        for (zone, group) in keys {
            if zones.last().is_none_or(|last| last.name != *zone) {
                zones.push(Zone {
                    name: zone.clone(),
                    groups: Vec::new(),
                    pool: Vec::new(),
                });
            }
            let Some(last) = zones.last_mut() else {
                continue;
            };
            if last
                .groups
                .last()
                .is_none_or(|last_group| last_group.name != *group)
            {
                last.groups.push(Group::new(group.clone()));
            }
            if let Some(last_group) = last.groups.last_mut() {
                last_group.size += 1;
            }
        }
        for zone in &mut zones {
            let Ok(at) = self
                .zones
                .binary_search_by(|old_zone| old_zone.name.cmp(&zone.name))
            else {
                continue;
            };
            zone.take_rankings(&mut self.zones[at]);
            zone.assign(self.bound_percent);
        }
        self.zones = zones;
        self.refresh_pools();
        self.sites = upstreams.iter().map(|site| self.locate(site)).collect();
    }

    /// Pairs an upstream with the index of its zone and of its group in that zone.
    fn locate(&self, site: &UpstreamSite) -> (UpstreamSite, u32, u32) {
        let zone = self.zones.partition_point(|zone| zone.name < site.zone);
        let group = self.zones[zone]
            .groups
            .partition_point(|group| group.name < site.group);
        (site.clone(), zone as u32, group as u32)
    }

    /// Returns the owner of an upstream, or `None` if the upstream is unknown or
    /// no host may own upstreams.
    pub fn owner(&self, upstream: &str) -> Option<&Name> {
        let at = self
            .sites
            .binary_search_by(|(site, ..)| site.name.as_ref().cmp(upstream))
            .ok()?;
        self.owner_at(at)
    }

    /// Returns each upstream with its owner, ordered by the name of the upstream.
    ///
    /// The owner is `None` if no host may own upstreams.
    pub fn owners(&self) -> impl Iterator<Item = (&Name, Option<&Name>)> {
        self.sites
            .iter()
            .enumerate()
            .map(|(at, (site, ..))| (&site.name, self.owner_at(at)))
    }

    fn owner_at(&self, at: usize) -> Option<&Name> {
        let (_, zone, group) = &self.sites[at];
        let zone = &self.zones[*zone as usize];
        let owner = zone.groups[*group as usize].owner?;
        Some(&zone.pool[owner as usize].name)
    }
}
