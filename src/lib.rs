//! A query tier over many shards.
//!
//! The crate re-exports the parts of cornelwinch for embedding. Each part is a
//! plain state machine without sockets, threads or a system clock, except
//! [`peer`], [`http`] and [`daemon`], which are the adapters.

pub use cornelwinch_admission as admission;
pub use cornelwinch_bench as bench;
pub use cornelwinch_cli as cli;
pub use cornelwinch_config as config;
pub use cornelwinch_daemon as daemon;
pub use cornelwinch_gather as gather;
pub use cornelwinch_host as host;
pub use cornelwinch_http as http;
pub use cornelwinch_limiter as limiter;
pub use cornelwinch_membership as membership;
pub use cornelwinch_peer as peer;
pub use cornelwinch_placement as placement;
pub use cornelwinch_platform as platform;
pub use cornelwinch_relay as relay;
pub use cornelwinch_routing as routing;
pub use cornelwinch_tickets as tickets;
pub use cornelwinch_types as types;
