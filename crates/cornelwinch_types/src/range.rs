use std::fmt;

use serde::{Deserialize, Serialize};

/// Half-open range of document keys.
///
/// ```
/// use cornelwinch_types::KeyRange;
///
/// let range = KeyRange { start: 10, end: 20 };
/// assert!(range.contains(10) && !range.contains(20));
/// assert!(!range.overlaps(KeyRange { start: 20, end: 30 }));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyRange {
    /// First key.
    pub start: u64,
    /// First key after the range.
    pub end: u64,
}

impl KeyRange {
    /// Reports whether the key lies in the range.
    pub fn contains(self, key: u64) -> bool {
        (self.start..self.end).contains(&key)
    }

    /// Reports whether the ranges share a key.
    pub fn overlaps(self, other: Self) -> bool {
        self.start < other.end && other.start < self.end
    }

    /// Reports whether the range holds no key.
    pub fn is_empty(self) -> bool {
        self.start >= self.end
    }
}

impl fmt::Display for KeyRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}..{}", self.start, self.end)
    }
}
