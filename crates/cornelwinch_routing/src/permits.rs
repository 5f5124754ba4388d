use cornelwinch_types::Name;
use xxhash_rust::xxh3::xxh3_64;

use crate::HostEntry;

/// Divides the capacity of one upstream among hosts in whole permits, without
/// exchanging messages.
///
/// Each host gets an equal share, rounded down. The remaining permits go one each to
/// the hosts that rank first by a hash of host and upstream, hosts of the upstream's
/// zone before others. A limit below the number of hosts is therefore still used, and
/// hosts with the same host list never exceed it together.
#[derive(Debug, Clone)]
pub struct HostPermits {
    me: Name,
    hosts: Vec<HostEntry>,
    count: usize,
}

impl HostPermits {
    /// Divides among `count` hosts, of which `hosts` are known by name. If `me` is not
    /// among them, it gets the rounded-down share only.
    pub fn new(me: Name, hosts: Vec<HostEntry>, count: usize) -> Self {
        let count = count.max(hosts.len()).max(1);
        Self { me, hosts, count }
    }

    /// Returns how many of an upstream's `total` permits this host gets; `zone` is the
    /// upstream's zone.
    ///
    /// ```
    /// use cornelwinch_routing::HostPermits;
    ///
    /// let permits = HostPermits::new("a-1".into(), Vec::new(), 4);
    /// assert_eq!(permits.permits_for(10, &"i-7".into(), &"a".into()), 2);
    /// ```
    pub fn permits_for(&self, total: usize, upstream: &Name, zone: &Name) -> usize {
        let (equal_share, remainder) = (total / self.count, total % self.count);
        let rank = |host: &HostEntry| {
            let text = format!("{upstream}/{}", host.name);
            (host.zone != *zone, xxh3_64(text.as_bytes()))
        };
        let Some(me) = self.hosts.iter().find(|host| host.name == self.me) else {
            return equal_share;
        };
        let own = (rank(me), &me.name);
        let before = |host: &&HostEntry| (rank(host), &host.name) < own;
        equal_share + usize::from(self.hosts.iter().filter(before).count() < remainder)
    }
}
