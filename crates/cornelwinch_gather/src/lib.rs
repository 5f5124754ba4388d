//! Gathers the answer to a query from the shards of one snapshot.
//!
//! [`Gather`] runs one query: it selects a snapshot, sends one leg per shard,
//! retries and hedges legs, and merges their answers. [`GatherStats`] holds
//! the state shared by all queries of a host, [`Quarantine`] the requests that
//! crash upstreams.

mod answer;
mod budget;
mod dispatch;
mod gather;
mod latency;
mod leg;
mod quarantine;
mod select;
mod spec;
mod stats;
mod suspect;
mod upstream;

pub use answer::{Answer, AnswerReason};
pub use gather::Gather;
pub use quarantine::{Quarantine, QuarantineConfig};
pub use spec::{GatherAction, QuerySpec};
pub use stats::{GatherConfig, GatherCounters, GatherStats};
