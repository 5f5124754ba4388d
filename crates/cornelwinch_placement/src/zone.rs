use std::cmp::Reverse;

use cornelwinch_types::Name;

use crate::rank::{hash_name, score};

/// Number of highest-ranked hosts stored for each group.
///
/// The whole pool is ranked only if all of these hosts are full, which is rare
/// because the share bound leaves spare room on most hosts.
const RANKED_HOSTS_PER_GROUP: usize = 8;

/// A host that may own upstreams. Hosts are ordered by hash, then by name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PoolHost {
    hash: u64,
    pub(crate) name: Name,
}

impl PoolHost {
    pub(crate) fn new(name: &Name) -> Self {
        Self {
            hash: hash_name(name),
            name: name.clone(),
        }
    }
}

/// Upstreams of an availability zone that share one owner.
#[derive(Debug, Clone)]
pub(crate) struct Group {
    pub(crate) name: Name,
    hash: u64,
    /// Number of upstreams in the group.
    pub(crate) size: u32,
    /// Scores and hashes of the highest-ranked hosts in the pool, highest first.
    ranked_hosts: Vec<(u64, u64)>,
    /// Index of the owner in the zone's pool; `None` if the pool is empty.
    pub(crate) owner: Option<u32>,
}

impl Group {
    pub(crate) fn new(name: Name) -> Self {
        let hash = hash_name(&name);
        Self {
            name,
            hash,
            size: 0,
            ranked_hosts: Vec::new(),
            owner: None,
        }
    }

    /// Returns the score and the hash of each host, in the order of the pool.
    fn score_pool(&self, pool: &[PoolHost]) -> Vec<(u64, u64)> {
        pool.iter()
            .map(|host| (score(self.hash, host.hash), host.hash))
            .collect()
    }

    /// Replaces the ranked hosts by the [`RANKED_HOSTS_PER_GROUP`] highest-ranked of the pool.
    fn rank_pool(&mut self, pool: &[PoolHost]) {
        self.ranked_hosts.clear();
        let mut lowest_score = 0;
        for host in pool {
            let score = score(self.hash, host.hash);
            if self.ranked_hosts.len() == RANKED_HOSTS_PER_GROUP && score < lowest_score {
                continue;
            }
            let entry = (score, host.hash);
            let at = self.ranked_hosts.partition_point(|ranked| *ranked > entry);
            self.ranked_hosts.insert(at, entry);
            self.ranked_hosts.truncate(RANKED_HOSTS_PER_GROUP);
            lowest_score = self.ranked_hosts.last().map_or(0, |entry| entry.0);
        }
    }
}

/// An availability zone with its groups, ordered by name, and its pool: the
/// hosts that may own them, ordered by hash.
#[derive(Debug, Clone)]
pub(crate) struct Zone {
    pub(crate) name: Name,
    pub(crate) groups: Vec<Group>,
    pub(crate) pool: Vec<PoolHost>,
}

impl Zone {
    /// Replaces the pool and updates the ranked hosts of each group.
    ///
    /// This computes one score per group for each host that joined, and ranks
    /// the whole pool again for groups that lost several ranked hosts. If more
    /// than half of the pool joined, it ranks the whole pool for every group.
    pub(crate) fn set_pool(&mut self, pool: Vec<PoolHost>) {
        let joined = difference(&pool, &self.pool);
        let left = difference(&self.pool, &pool);
        self.pool = pool;
        let min_ranked = (RANKED_HOSTS_PER_GROUP / 2).min(self.pool.len());
        // Ranking the whole pool costs less than inserting most of its hosts
        // one by one.
        if joined.len() > self.pool.len() / 2 {
            let pool = &self.pool;
            self.groups
                .iter_mut()
                .for_each(|group| group.rank_pool(pool));
            return;
        }
        for group in &mut self.groups {
            // The stored hosts have to remain a prefix of the full ranking.
            // Removing a host preserves this, and so does skipping a joined host
            // that ranks below the last entry.
            group
                .ranked_hosts
                .retain(|(_, host)| left.binary_search(host).is_err());
            for &host in &joined {
                let entry = (score(group.hash, host), host);
                let at = group.ranked_hosts.partition_point(|ranked| *ranked > entry);
                if at < group.ranked_hosts.len() {
                    group.ranked_hosts.insert(at, entry);
                }
            }
            group.ranked_hosts.truncate(RANKED_HOSTS_PER_GROUP);
            if group.ranked_hosts.len() < min_ranked {
                group.rank_pool(&self.pool);
            }
        }
    }

    /// Moves the pool and the ranked hosts out of `old`, the same zone before its
    /// groups were replaced, and ranks the pool for new groups.
    pub(crate) fn take_rankings(&mut self, old: &mut Zone) {
        self.pool = std::mem::take(&mut old.pool);
        for group in &mut self.groups {
            match old
                .groups
                .binary_search_by(|old_group| old_group.name.cmp(&group.name))
            {
                Ok(at) => group.ranked_hosts = std::mem::take(&mut old.groups[at].ranked_hosts),
                Err(_) => group.rank_pool(&self.pool),
            }
        }
    }

    /// Assigns each group to its highest-ranked host that has room.
    ///
    /// Groups are assigned by descending size, then by hash, so that the result
    /// depends on the pool and the groups only. The bound on the upstreams of a
    /// host is rounded up to a multiple of the largest group size: rounding down
    /// left hosts 96 % full, and a leaving host then moved three times as many
    /// upstreams. The bound is at least the mean per host plus the largest group,
    /// so that some host always has room.
    pub(crate) fn assign(&mut self, bound_percent: Option<u32>) {
        if self.pool.is_empty() {
            self.groups.iter_mut().for_each(|group| group.owner = None);
            return;
        }
        let hosts = self.pool.len() as u64;
        let total: u64 = self.groups.iter().map(|group| u64::from(group.size)).sum();
        let largest = self
            .groups
            .iter()
            .map(|group| u64::from(group.size))
            .max()
            .unwrap_or(0);
        let bound = bound_percent.map_or(u64::MAX, |percent| {
            let share = (total * u64::from(percent)).div_ceil(100 * hosts);
            share
                .next_multiple_of(largest.max(1))
                .max(total / hosts + largest)
        });
        let mut order: Vec<usize> = (0..self.groups.len()).collect();
        order.sort_unstable_by_key(|&i| (Reverse(self.groups[i].size), self.groups[i].hash, i));
        let mut load = vec![0u64; self.pool.len()];
        for i in order {
            let group = &self.groups[i];
            let size = u64::from(group.size);
            let fits = |&(_, host): &(u64, u64)| {
                let at = self.pool.partition_point(|candidate| candidate.hash < host);
                (load[at] + size <= bound).then_some(at)
            };
            let owner = group.ranked_hosts.iter().find_map(fits).or_else(|| {
                let scored = group.score_pool(&self.pool);
                let free = scored.into_iter().filter(|entry| fits(entry).is_some());
                free.max().and_then(|entry| fits(&entry))
            });
            let owner = owner.expect("the bound leaves room on some host");
            load[owner] += size;
            assert!(
                load[owner] <= bound,
                "zone={} load={} exceeds bound={bound}",
                self.name,
                load[owner]
            );
            self.groups[i].owner = u32::try_from(owner).ok();
        }
    }
}

/// Returns the hashes of the hosts in `from` that are not in `other`.
///
/// `other` has to be ordered, and the result has the order of `from`.
fn difference(from: &[PoolHost], other: &[PoolHost]) -> Vec<u64> {
    from.iter()
        .filter(|host| other.binary_search(host).is_err())
        .map(|host| host.hash)
        .collect()
}
