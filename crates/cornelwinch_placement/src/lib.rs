//! Assignment of upstreams to owner hosts by bounded rendezvous hashing.
//!
//! Hosts with the same view of upstreams and members compute the same owners,
//! whatever changes led to that view.

mod placement;
mod rank;
mod zone;

pub use placement::{GROUP_SHARDS, Placement, UpstreamSite, shard_group};
pub use rank::top_hosts;

/// Largest share of a zone's upstreams that one host owns, in percent of the
/// mean share.
///
/// The bound is rounded up to a whole group, so that every group fits. A lower
/// percentage moves more upstreams when a host leaves: `examples/balance.rs`.
pub const SHARE_BOUND_PERCENT: u32 = 125;
