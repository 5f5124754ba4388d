use std::error::Error;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{KeyRange, Name, SnapshotId};

/// One shard of a snapshot and the upstreams that hold it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shard {
    /// Key range of the shard.
    pub range: KeyRange,
    /// Number of documents in the shard.
    pub documents: u64,
    /// Upstreams that hold the shard, most preferred first.
    pub replicas: Vec<Name>,
}

/// The shard map of one version of a search's index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Search that the index belongs to.
    pub search: Name,
    /// Version of the index.
    pub id: SnapshotId,
    /// Shards by ascending range, without overlap.
    pub shards: Vec<Shard>,
}

impl Snapshot {
    /// Returns the number of documents in all shards.
    pub fn documents(&self) -> u64 {
        self.shards.iter().map(|shard| shard.documents).sum()
    }

    /// Checks that each shard has keys and a replica, and that the shards are in
    /// order without overlap.
    ///
    /// # Errors
    ///
    /// Returns a [`SnapshotError`] for the first invalid shard.
    pub fn validate(&self) -> Result<(), SnapshotError> {
        for (i, shard) in self.shards.iter().enumerate() {
            if shard.range.is_empty() {
                return Err(SnapshotError::EmptyRange { shard: i });
            }
            if shard.replicas.is_empty() {
                return Err(SnapshotError::NoReplica { shard: i });
            }
            if i > 0 && self.shards[i - 1].range.end > shard.range.start {
                return Err(SnapshotError::Overlap { shard: i });
            }
        }
        Ok(())
    }
}

/// Reason why a shard map is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SnapshotError {
    /// The shard's range holds no key.
    EmptyRange {
        /// Index of the shard in the snapshot.
        shard: usize,
    },
    /// The shard has no replica.
    NoReplica {
        /// Index of the shard in the snapshot.
        shard: usize,
    },
    /// The shard starts before the previous one ends.
    Overlap {
        /// Index of the shard in the snapshot.
        shard: usize,
    },
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::EmptyRange { shard } => write!(f, "shard {shard} has an empty key range"),
            Self::NoReplica { shard } => write!(f, "shard {shard} has no replica"),
            Self::Overlap { shard } => write!(f, "shard {shard} overlaps the shard before it"),
        }
    }
}

impl Error for SnapshotError {}
