use cornelwinch_types::Name;
use xxhash_rust::xxh3::xxh3_64;

use crate::HostEntry;

/// Divides what one upstream bears among hosts, in whole units and without any
/// message.
///
/// Each host gets the whole part of an equal share. What is left, less than one
/// unit for each host, goes to the hosts that are first in an order of their own
/// for each upstream, those of its zone before others. So a bound that is smaller
/// than the number of hosts is still used, and the sum never exceeds it where
/// hosts know the same list.
#[derive(Debug, Clone)]
pub struct HostPermits {
    me: Name,
    hosts: Vec<HostEntry>,
    count: usize,
}

impl HostPermits {
    /// Divides among `count` hosts, of which `hosts` are known by name. Where `me`
    /// is not among them, it gets the whole part only.
    pub fn new(me: Name, hosts: Vec<HostEntry>, count: usize) -> Self {
        let count = count.max(hosts.len()).max(1);
        Self { me, hosts, count }
    }

    /// Units of `total` that this host has at an upstream of a zone.
    ///
    /// ```
    /// use cornelwinch_routing::HostPermits;
    ///
    /// let permits = HostPermits::new("a-1".into(), Vec::new(), 4);
    /// assert_eq!(permits.permits_for(10, &"i-7".into(), &"a".into()), 2);
    /// ```
    pub fn permits_for(&self, total: usize, upstream: &Name, zone: &Name) -> usize {
        let (whole, left) = (total / self.count, total % self.count);
        let rank = |host: &HostEntry| {
            let text = format!("{upstream}/{}", host.name);
            (host.zone != *zone, xxh3_64(text.as_bytes()))
        };
        let Some(me) = self.hosts.iter().find(|host| host.name == self.me) else {
            return whole;
        };
        let own = (rank(me), &me.name);
        let before = |host: &&HostEntry| (rank(host), &host.name) < own;
        whole + usize::from(self.hosts.iter().filter(before).count() < left)
    }
}
