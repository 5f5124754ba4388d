//! Slots, queue, cold start and circuit of one upstream.

mod circuit;
mod config;
mod dispatch;
mod handover;
mod in_flight;
mod limiter;
mod queue;
mod ramp;
mod reserve;
mod signs;

pub use config::{HandoverState, LimiterAction, LimiterConfig, OwnershipStart};
pub use limiter::Limiter;
