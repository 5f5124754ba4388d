use cornelwinch_types::Name;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the hash of a host name or of a rendezvous key.
pub(crate) fn hash_name(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Returns the rendezvous score of a host for a key, from the hashes of both.
///
/// Hosts rank by descending score.
pub(crate) fn score(key: u64, host: u64) -> u64 {
    let mut buf = [0; 16];
    buf[..8].copy_from_slice(&key.to_le_bytes());
    buf[8..].copy_from_slice(&host.to_le_bytes());
    xxh3_64(&buf)
}

/// Returns the `k` hosts that rank highest for a key, highest first.
///
/// Returns all hosts if there are fewer than `k`. The result does not depend on
/// the order of `hosts`.
///
/// ```
/// use cornelwinch_placement::top_hosts;
/// use cornelwinch_types::Name;
///
/// let hosts: Vec<Name> = ["a-1", "a-2", "a-3"].map(Name::from).to_vec();
/// let top = top_hosts("zone-a", &hosts, 2);
/// assert_eq!(top.len(), 2);
/// assert_eq!(top_hosts("zone-a", hosts.iter().rev(), 2), top);
/// ```
pub fn top_hosts<'a>(
    key: &str,
    hosts: impl IntoIterator<Item = &'a Name>,
    k: usize,
) -> Vec<&'a Name> {
    let key = hash_name(key);
    let mut top: Vec<(u64, &Name)> = Vec::with_capacity(k + 1);
    for host in hosts {
        let entry = (score(key, hash_name(host)), host);
        let at = top.partition_point(|ranked| *ranked > entry);
        if at < k {
            top.insert(at, entry);
            top.truncate(k);
        }
    }
    top.into_iter().map(|(_, host)| host).collect()
}
