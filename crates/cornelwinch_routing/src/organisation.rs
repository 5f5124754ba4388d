use std::fmt;

use cornelwinch_types::Name;
use serde::{Deserialize, Serialize};

/// Context of the hash that turns keys into digests. All hosts use the same one, since they exchange
/// digests.
const KEY_CONTEXT: &str = "cornelwinch 2026-12 organisation key";

/// Digest of the key by which an organisation's callers identify themselves. Hosts store and
/// exchange digests only.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, key))
    }

    /// Returns the bytes of the digest.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Limit on the requests of an organisation, for all hosts together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Cap {
    /// Requests per second.
    pub rate_per_s: f64,
    /// Requests that may come at once in addition.
    pub burst: f64,
}

/// A party whose callers use keys of their own.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name that upstreams get.
    pub name: Name,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Priority of its requests, 0 being the most urgent; `None` if that of the route counts.
    pub priority: Option<u32>,
    /// Limit on its requests; `None` without one.
    pub cap: Option<Cap>,
}
