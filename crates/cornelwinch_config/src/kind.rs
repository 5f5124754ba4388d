use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{Entry, EntryValue};

/// Kind of a configuration entry.
///
/// The order is the order of dependency: an entry refers only to entries of
/// earlier kinds, so writes go in ascending and deletions in descending order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Policy of a traffic class.
    Class,
    /// A search and its traffic classes.
    Search,
    /// What a plan may use.
    Plan,
    /// Plan and credentials of an organisation.
    #[serde(rename = "customer")]
    Organisation,
    /// An availability zone.
    Zone,
    /// An upstream and its limits.
    Upstream,
    /// Shard map of one index version.
    Snapshot,
    /// Operators' mark on an entry host.
    Host,
}

impl Kind {
    /// All kinds in order of dependency.
    pub const ALL: [Self; 8] = [
        Self::Class,
        Self::Search,
        Self::Plan,
        Self::Organisation,
        Self::Zone,
        Self::Upstream,
        Self::Snapshot,
        Self::Host,
    ];

    /// Name of the kind on the platform and in configuration documents.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Class => "class",
            Self::Search => "search",
            Self::Plan => "plan",
            Self::Organisation => "customer",
            Self::Zone => "zone",
            Self::Upstream => "upstream",
            Self::Snapshot => "snapshot",
            Self::Host => "host",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// A text that names no kind of configuration entry.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "expected class, search, plan, customer, zone, upstream, snapshot or host, found \"{found}\""
))]
pub struct UnknownKind {
    /// The text.
    pub found: String,
}

impl FromStr for Kind {
    type Err = UnknownKind;

    fn from_str(s: &str) -> Result<Self, UnknownKind> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.as_str() == s)
            .ok_or_else(|| UnknownKind {
                found: s.to_owned(),
            })
    }
}

impl Entry {
    /// Kind of the entry.
    pub fn kind(&self) -> Kind {
        self.value.kind()
    }

    /// Reports whether the entry is the tombstone of a deleted object.
    pub fn is_deleted(&self) -> bool {
        self.value.is_deleted()
    }
}

impl EntryValue {
    /// Kind of the contents.
    pub fn kind(&self) -> Kind {
        match self {
            Self::Plan(_) => Kind::Plan,
            Self::Organisation(_) => Kind::Organisation,
            Self::Search(_) => Kind::Search,
            Self::Class(_) => Kind::Class,
            Self::Snapshot(_) => Kind::Snapshot,
            Self::Upstream(_) => Kind::Upstream,
            Self::Zone(_) => Kind::Zone,
            Self::Host(_) => Kind::Host,
        }
    }

    /// Reports whether the contents mark a deleted object.
    pub fn is_deleted(&self) -> bool {
        match self {
            Self::Plan(spec) => spec.is_none(),
            Self::Organisation(spec) => spec.is_none(),
            Self::Search(spec) => spec.is_none(),
            Self::Class(spec) => spec.is_none(),
            Self::Snapshot(spec) => spec.is_none(),
            Self::Upstream(spec) => spec.is_none(),
            Self::Zone(spec) => spec.is_none(),
            Self::Host(spec) => spec.is_none(),
        }
    }

    /// Contents that mark a deleted object of a kind.
    pub fn deleted(kind: Kind) -> Self {
        match kind {
            Kind::Plan => Self::Plan(None),
            Kind::Organisation => Self::Organisation(None),
            Kind::Search => Self::Search(None),
            Kind::Class => Self::Class(None),
            Kind::Snapshot => Self::Snapshot(None),
            Kind::Upstream => Self::Upstream(None),
            Kind::Zone => Self::Zone(None),
            Kind::Host => Self::Host(None),
        }
    }

    /// Reads the contents of a kind from the platform's `spec` value.
    ///
    /// # Errors
    ///
    /// Returns the first key that does not fit the kind.
    pub fn from_spec(kind: Kind, spec: serde_json::Value) -> Result<Self, serde_json::Error> {
        use serde_json::from_value as read;
        Ok(match kind {
            Kind::Plan => Self::Plan(Some(read(spec)?)),
            Kind::Organisation => Self::Organisation(Some(read(spec)?)),
            Kind::Search => Self::Search(Some(read(spec)?)),
            Kind::Class => Self::Class(Some(read(spec)?)),
            Kind::Snapshot => Self::Snapshot(Some(read(spec)?)),
            Kind::Upstream => Self::Upstream(Some(read(spec)?)),
            Kind::Zone => Self::Zone(Some(read(spec)?)),
            Kind::Host => Self::Host(Some(read(spec)?)),
        })
    }

    /// The contents as the platform's `spec` value; null for a deleted object.
    ///
    /// # Errors
    ///
    /// Returns an error if the contents have no JSON form.
    pub fn to_spec(&self) -> Result<serde_json::Value, serde_json::Error> {
        use serde_json::to_value as write;
        match self {
            Self::Plan(spec) => write(spec),
            Self::Organisation(spec) => write(spec),
            Self::Search(spec) => write(spec),
            Self::Class(spec) => write(spec),
            Self::Snapshot(spec) => write(spec),
            Self::Upstream(spec) => write(spec),
            Self::Zone(spec) => write(spec),
            Self::Host(spec) => write(spec),
        }
    }
}
