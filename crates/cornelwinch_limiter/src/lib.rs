//! Concurrency limit, queue, cold start and circuit breaker of one upstream.

mod circuit;
mod concurrency_limit;
mod config;
mod dispatch;
mod handover;
mod in_flight;
mod limiter;
mod observation;
mod queue;
mod reserve;

pub use config::{HandoverState, LimiterAction, LimiterConfig, OwnershipStart};
pub use limiter::Limiter;
