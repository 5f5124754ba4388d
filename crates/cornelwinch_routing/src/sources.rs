use std::net::SocketAddr;

use cornelwinch_types::Name;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Hosts that one source feeds at most.
const HOSTS_PER_SOURCE: usize = 48;

/// Smallest number of sources, so that one may fail.
const SOURCES_LEAST: usize = 2;

/// A registered host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the host.
    pub name: Name,
    /// Availability zone of the host.
    pub zone: Name,
    /// Address for peers.
    pub peer: SocketAddr,
}

/// Number of hosts that follow the store themselves and feed the others.
pub fn source_count(hosts: usize) -> usize {
    hosts.div_ceil(HOSTS_PER_SOURCE).max(SOURCES_LEAST)
}

/// Orders hosts by their claim to follow the store. Each host computes the same
/// order from the same list. Hosts that follow each other in it are of different
/// zones as far as possible, so that one zone does not hold all sources.
///
/// ```
/// use cornelwinch_routing::{HostEntry, source_order};
///
/// let host = |name: &str, zone: &str| HostEntry {
///     name: name.into(), zone: zone.into(), peer: "10.0.0.1:9000".parse().unwrap(),
/// };
/// let order = source_order(&[host("a-1", "a"), host("a-2", "a"), host("b-1", "b")]);
/// assert_ne!(order[0].zone, order[1].zone);
/// ```
pub fn source_order(hosts: &[HostEntry]) -> Vec<HostEntry> {
    let rank = |host: &HostEntry| (xxh3_64(host.name.as_bytes()), host.name.clone());
    let mut sorted = hosts.to_vec();
    sorted.sort_by_key(rank);
    let mut zones: Vec<(Name, usize)> = Vec::new();
    let mut order: Vec<(usize, HostEntry)> = Vec::with_capacity(sorted.len());
    for host in sorted {
        let turn = match zones.iter_mut().find(|(zone, _)| *zone == host.zone) {
            Some((_, turn)) => {
                *turn += 1;
                *turn
            }
            None => {
                zones.push((host.zone.clone(), 0));
                0
            }
        };
        order.push((turn, host));
    }
    order.sort_by_key(|(turn, _)| *turn);
    order.into_iter().map(|(_, host)| host).collect()
}
