use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use cornelwinch_types::Name;

/// Key that authenticates membership datagrams.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct DatagramKey([u8; 32]);

impl DatagramKey {
    /// Derives the key from the deployment's name and secret.
    pub fn derive(deployment: &str, secret: &[u8]) -> Self {
        let mut hasher =
            blake3::Hasher::new_derive_key("cornelwinch 2026 membership datagram key v1");
        hasher.update(&(deployment.len() as u64).to_le_bytes());
        hasher.update(deployment.as_bytes());
        hasher.update(secret);
        Self(*hasher.finalize().as_bytes())
    }

    /// Computes the message authentication code of a datagram's contents.
    pub(crate) fn mac(&self, buf: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, buf)
    }
}

impl fmt::Debug for DatagramKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("DatagramKey(..)")
    }
}

/// Settings of the membership protocol.
#[derive(Debug, Clone)]
pub struct MembershipConfig {
    /// Key shared by the hosts of a deployment.
    pub key: DatagramKey,
    /// Gossip addresses to contact at the start.
    pub seeds: Vec<SocketAddr>,
    /// Time between two direct probes.
    pub period: Duration,
    /// Time to wait for a direct answer before indirect probes are sent;
    /// shorter than `period`.
    pub probe_timeout: Duration,
    /// Time that a suspect has to refute before it is declared dead. A longer
    /// gap between two calls makes the host unconfirmed.
    pub suspicion: Duration,
    /// Time after which a dead host is forgotten. It exceeds the longest
    /// expected partition, so that the other side's stale entries lose.
    pub forget: Duration,
}

impl MembershipConfig {
    /// Settings with default times.
    pub fn new(key: DatagramKey, seeds: Vec<SocketAddr>) -> Self {
        Self {
            key,
            seeds,
            period: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            suspicion: Duration::from_secs(3),
            forget: Duration::from_secs(2 * 3600),
        }
    }
}

/// A host as the platform's list names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedHost {
    /// Name of the host.
    pub name: Name,
    /// Availability zone of the host.
    pub zone: Name,
    /// TCP address for peer connections.
    pub peer: SocketAddr,
    /// UDP address for membership datagrams.
    pub gossip: SocketAddr,
    /// The platform has marked the host as leaving.
    pub leaving: bool,
}
