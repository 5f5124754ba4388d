//! Assignment of upstreams to owner hosts by bounded rendezvous hashing.
//!
//! Hosts with the same upstreams and members compute the same owners, regardless
//! of the changes that led to them.

mod placement;
mod rank;
mod zone;

pub use placement::{Placement, SHARDS_PER_GROUP, UpstreamSite, shard_group};
pub use rank::top_hosts;

/// Upper bound on the upstreams of an availability zone that one host owns, in
/// percent of the mean per host.
///
/// The bound is rounded up to a whole number of groups, so that every group
/// fits on some host. With a lower percentage, more upstreams change their owner
/// when a host leaves; `examples/balance.rs` compares several percentages.
pub const SHARE_BOUND_PERCENT: u32 = 125;
