use std::fmt;

use bytes::Bytes;
use ciborium::Value;
use cornelwinch_routing::{CrashReport, DesiredStateDelta};
use cornelwinch_types::Name;
use serde::{Deserialize, Deserializer, Serialize};

use crate::dialect::{ObjectKind, ObjectValue, StoreObject};

/// Object kinds that a source sends to the hosts that it feeds.
pub(crate) const FED_KINDS: [ObjectKind; 5] = [
    ObjectKind::DesiredState,
    ObjectKind::Upstreams,
    ObjectKind::Evacuations,
    ObjectKind::Hosts,
    ObjectKind::Rollouts,
];

/// A message between a source and a host that it feeds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum FeedMessage {
    /// The first message on a feed, sent by the source.
    Hello {
        /// Name of the source.
        host: Name,
        /// True if the sender follows the store itself.
        is_source: bool,
    },
    /// Revisions of the kinds that the subscribing host already holds.
    Known { revisions: Vec<(ObjectKind, u64)> },
    /// A complete list of the objects of a kind.
    List {
        kind: ObjectKind,
        revision: u64,
        #[serde(deserialize_with = "deserialize_items")]
        items: Vec<StoreObject>,
    },
    /// Changed objects of a kind.
    Changes {
        kind: ObjectKind,
        revision: u64,
        #[serde(deserialize_with = "deserialize_items")]
        items: Vec<StoreObject>,
        /// Remaining time during which removed entries may merely have expired.
        grace_ms: Option<u64>,
    },
    /// Difference between the previous and a new version of the desired state.
    Version {
        revision: u64,
        /// Name of the object that holds the desired state.
        name: Name,
        change: DesiredStateDelta,
    },
    /// Reports of requests that crashed upstreams.
    Crashes { reports: Vec<CrashReport> },
    /// What a host knows of requests that crash upstreams, for one that has just started.
    Marks {
        reports: Vec<CrashReport>,
        /// True if the sender has got the marks of other hosts since it started.
        is_settled: bool,
    },
    /// Heartbeat of the source.
    Beat {
        /// Time since the source last got an answer from the store.
        age_ms: u64,
        /// True if the source's last call to the store failed.
        is_failing: bool,
        /// Time since the source last listed the hosts; older builds do not send it.
        #[serde(default)]
        hosts_age_ms: Option<u64>,
    },
}

/// Deserializes the objects of a message one by one, so that one that cannot be read, such as a
/// value of a newer build, leaves the others as they are.
fn deserialize_items<'de, D: Deserializer<'de>>(items: D) -> Result<Vec<StoreObject>, D::Error> {
    let items = Vec::<Value>::deserialize(items)?;
    Ok(items.iter().filter_map(readable_item).collect())
}

/// Returns an object, or an unreadable value under its name. Returns `None` without a name.
fn readable_item(item: &Value) -> Option<StoreObject> {
    let reason = match item.deserialized() {
        Ok(object) => return Some(object),
        Err(error) => error.to_string(),
    };
    let fields = item.as_map()?;
    let (_, name) = fields
        .iter()
        .find(|(key, _)| key.as_text() == Some("name"))?;
    Some(StoreObject {
        name: name.as_text()?.into(),
        value: Some(ObjectValue::Unreadable(reason)),
    })
}

impl fmt::Display for FeedMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Hello { is_source, .. } => write!(f, "message=hello source={is_source}"),
            Self::Known { revisions } => write!(f, "message=known revisions={revisions:?}"),
            Self::List { kind, items, .. } => {
                write!(f, "message=list kind={kind:?} items={}", items.len())
            }
            Self::Changes { kind, items, .. } => {
                write!(f, "message=changes kind={kind:?} items={}", items.len())
            }
            Self::Version { change, .. } => {
                write!(f, "message=version version={}", change.version())
            }
            Self::Crashes { reports } => write!(f, "message=crashes items={}", reports.len()),
            Self::Marks { reports, .. } => write!(f, "message=marks items={}", reports.len()),
            Self::Beat { age_ms, .. } => write!(f, "message=beat age_ms={age_ms}"),
        }
    }
}

/// Encodes a message as CBOR.
pub(crate) fn encode(message: &FeedMessage) -> Bytes {
    let mut buf = Vec::new();
    ciborium::into_writer(message, &mut buf).expect("writing to a vector does not fail");
    buf.into()
}
