use std::net::SocketAddr;

use cornelwinch_types::Name;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of hosts to which one source forwards the store's changes.
const MAX_HOSTS_PER_SOURCE: usize = 48;

/// Minimum number of sources; one of them may fail.
const MIN_SOURCES: usize = 2;

/// Registration of a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the host.
    pub name: Name,
    /// Availability zone of the host.
    pub zone: Name,
    /// Address for connections from other hosts.
    pub peer: SocketAddr,
}

/// Returns the number of sources: hosts that watch the store directly and forward
/// its changes to the others.
pub fn source_count(hosts: usize) -> usize {
    hosts.div_ceil(MAX_HOSTS_PER_SOURCE).max(MIN_SOURCES)
}

/// Sorts hosts by their precedence as sources. The order depends on the list alone,
/// so each host computes the same one. It alternates between availability zones as
/// far as possible, so that one zone does not contain all sources.
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
        let position_in_zone = match zones.iter_mut().find(|(zone, _)| *zone == host.zone) {
            Some((_, position_in_zone)) => {
                *position_in_zone += 1;
                *position_in_zone
            }
            None => {
                zones.push((host.zone.clone(), 0));
                0
            }
        };
        order.push((position_in_zone, host));
    }
    order.sort_by_key(|(position_in_zone, _)| *position_in_zone);
    order.into_iter().map(|(_, host)| host).collect()
}
