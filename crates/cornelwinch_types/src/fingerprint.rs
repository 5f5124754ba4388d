use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

/// 128-bit hash of two byte strings, such as a request's search and body. It
/// identifies a request that is sent again.
///
/// ```
/// use cornelwinch_types::Fingerprint;
///
/// assert_eq!(Fingerprint::of("portal", "atlas"), Fingerprint::of("portal", "atlas"));
/// assert_ne!(Fingerprint::of("portal", "atlas"), Fingerprint::of("stock", "atlas"));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Hashes a search name and a request body.
    pub fn of(search: &str, body: &str) -> Self {
        Self::of_bytes(search.as_bytes(), body.as_bytes())
    }

    /// Hashes a search or path and a body that need not be UTF-8.
    pub fn of_bytes(search: &[u8], body: &[u8]) -> Self {
        let mut buf = Vec::with_capacity(search.len() + body.len() + 1);
        buf.extend_from_slice(search);
        buf.push(0);
        buf.extend_from_slice(body);
        Self(xxh3_128(&buf))
    }

    /// Returns the index of this fingerprint in a table of `len` entries.
    ///
    /// # Panics
    ///
    /// Panics if `len` is 0.
    pub fn slot(self, len: usize) -> usize {
        let low = self.0 as u64 as usize;
        low % len
    }
}

/// Formats the hash as 32 hexadecimal digits.
impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Parses a hash as its `Display` writes it.
impl FromStr for Fingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}
