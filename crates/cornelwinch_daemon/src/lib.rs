//! Adapters and the event loop that drive a host with sockets.

mod actor;
mod callers;
mod claims;
mod daemon;
mod error;
mod gossip;
mod leg_body;
mod logging;
mod metrics;
mod platform;
mod process;
mod upstream;

pub use daemon::{Daemon, spawn};
pub use error::DaemonError;
pub use logging::open_log;
pub use process::run_until_signal;
pub use upstream::{LegThread, UpstreamClient, UpstreamEvent};
