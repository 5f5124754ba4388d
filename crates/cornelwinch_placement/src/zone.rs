use std::cmp::Reverse;

use cornelwinch_types::Name;

use crate::rank::{hash_name, score};

/// Ranked hosts kept for each group. Placement reads past them only if all are
/// full, which the share bound makes rare.
const ROW: usize = 8;

/// A host that may own upstreams, ordered by hash.
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

/// Upstreams of a zone that share one owner.
#[derive(Debug, Clone)]
pub(crate) struct Group {
    pub(crate) name: Name,
    hash: u64,
    pub(crate) size: u32,
    /// Highest scores and host hashes in the pool, best first.
    row: Vec<(u64, u64)>,
    /// Position of the owner in the pool.
    pub(crate) owner: Option<u32>,
}

impl Group {
    pub(crate) fn new(name: Name) -> Self {
        let hash = hash_name(&name);
        Self {
            name,
            hash,
            size: 0,
            row: Vec::new(),
            owner: None,
        }
    }

    fn rank(&self, pool: &[PoolHost]) -> Vec<(u64, u64)> {
        pool.iter()
            .map(|host| (score(self.hash, host.hash), host.hash))
            .collect()
    }

    fn fill_row(&mut self, pool: &[PoolHost]) {
        self.row.clear();
        let mut least = 0;
        for host in pool {
            let score = score(self.hash, host.hash);
            if self.row.len() == ROW && score < least {
                continue;
            }
            let entry = (score, host.hash);
            let at = self.row.partition_point(|held| *held > entry);
            self.row.insert(at, entry);
            self.row.truncate(ROW);
            least = self.row.last().map_or(0, |entry| entry.0);
        }
    }
}

/// Groups of one availability zone, ordered by name, and the hosts that may
/// own them, ordered by hash.
#[derive(Debug, Clone)]
pub(crate) struct Zone {
    pub(crate) name: Name,
    pub(crate) groups: Vec<Group>,
    pub(crate) pool: Vec<PoolHost>,
}

impl Zone {
    /// Takes a new pool and brings each group's ranked hosts up to date.
    ///
    /// The cost of a change is a score per group for each host that joined,
    /// and a scan of the pool for groups that lost several ranked hosts.
    pub(crate) fn set_pool(&mut self, pool: Vec<PoolHost>) {
        let joined = missing(&pool, &self.pool);
        let left = missing(&self.pool, &pool);
        self.pool = pool;
        let least = (ROW / 2).min(self.pool.len());
        // Scoring the pool once costs less than inserting most of it.
        if joined.len() > self.pool.len() / 2 {
            let pool = &self.pool;
            self.groups
                .iter_mut()
                .for_each(|group| group.fill_row(pool));
            return;
        }
        for group in &mut self.groups {
            // The row stays a prefix of the ranking: removal keeps it one, and
            // so does leaving out a host below its last entry.
            group
                .row
                .retain(|(_, host)| left.binary_search(host).is_err());
            for &host in &joined {
                let entry = (score(group.hash, host), host);
                let at = group.row.partition_point(|held| *held > entry);
                if at < group.row.len() {
                    group.row.insert(at, entry);
                }
            }
            group.row.truncate(ROW);
            if group.row.len() < least {
                group.fill_row(&self.pool);
            }
        }
    }

    /// Takes the pool and the rankings of the same zone with other groups.
    pub(crate) fn adopt(&mut self, old: &mut Zone) {
        self.pool = std::mem::take(&mut old.pool);
        for group in &mut self.groups {
            match old
                .groups
                .binary_search_by(|held| held.name.cmp(&group.name))
            {
                Ok(at) => group.row = std::mem::take(&mut old.groups[at].row),
                Err(_) => group.fill_row(&self.pool),
            }
        }
    }

    /// Assigns each group to its best-ranked host that has room.
    ///
    /// Large groups go first, then the order of hashes decides, so the result
    /// depends on the pool and the groups only. The bound is a whole number of
    /// groups of the largest size: rounding down left hosts 96 % full, and a
    /// host that left moved three times as many upstreams. It is at least the
    /// mean plus the largest group, with which some host always has room.
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
                let at = self.pool.partition_point(|held| held.hash < host);
                (load[at] + size <= bound).then_some(at)
            };
            let owner = group.row.iter().find_map(fits).or_else(|| {
                let rank = group.rank(&self.pool);
                let free = rank.into_iter().filter(|entry| fits(entry).is_some());
                free.max().and_then(|entry| fits(&entry))
            });
            let owner = owner.expect("the bound leaves room on some host");
            load[owner] += size;
            assert!(
                load[owner] <= bound,
                "zone={} load={} bound={bound}",
                self.name,
                load[owner]
            );
            self.groups[i].owner = u32::try_from(owner).ok();
        }
    }
}

/// Hashes of the hosts of `from` that `other` lacks; both are ordered.
fn missing(from: &[PoolHost], other: &[PoolHost]) -> Vec<u64> {
    from.iter()
        .filter(|host| other.binary_search(host).is_err())
        .map(|host| host.hash)
        .collect()
}
