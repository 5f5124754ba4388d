//! Data types shared by the cornelwinch crates: identifiers, shard maps, members
//! and leg messages.

mod fingerprint;
mod id;
mod json;
mod leg;
mod member;
mod outcome;
mod range;
mod snapshot;
mod sorted_map;

pub use fingerprint::Fingerprint;
pub use id::{AttemptId, Incarnation, Name, QueryId, Revision, SnapshotId};
pub use json::JsonText;
pub use leg::{Hit, LegAnswer, LegFailure, LegRequest, LegResult, Refusal, UpstreamObservation};
pub use member::{Member, MemberState};
pub use outcome::Outcome;
pub use range::KeyRange;
pub use snapshot::{Shard, Snapshot, SnapshotError};
pub use sorted_map::SortedMap;
