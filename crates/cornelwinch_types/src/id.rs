use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A shared immutable string: the name of a host, availability zone, organisation,
/// upstream, search or class, or the text of a request or hit.
pub type Name = Arc<str>;

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

number_id! {
    /// Number of an index snapshot; a higher number is newer.
    SnapshotId
}
number_id! {
    /// Revision of the platform's object store; it increases with every write.
    Revision
}
number_id! {
    /// Incarnation of a host process; a restarted host has a higher one.
    Incarnation
}
number_id! {
    /// Number of a query, unique within one host incarnation.
    QueryId
}
number_id! {
    /// Number of one attempt at a leg, unique across hosts with high
    /// probability: the upper bits are random for each host incarnation.
    AttemptId
}
