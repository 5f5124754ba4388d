//! The data path of a host on a single thread: accepts requests from callers, sends them to
//! upstreams and keeps its configuration in sync with the platform's store.
//!
//! Decisions that need no I/O are made in `cornelwinch_routing`. The header names and the store API
//! of a platform are passed in as a [`Dialect`].

mod answer;
mod answer_memory;
mod apply;
mod body;
mod callers;
mod caps;
mod coordination;
mod coordination_message;
mod core;
mod crash_check;
mod dialect;
mod error;
mod explain;
mod feed;
mod feed_message;
mod fetch;
mod follow;
mod gather_limits;
mod gone_hosts;
mod handle;
mod headers;
mod ingest;
mod keys;
mod leg;
mod line_limit;
mod logging;
mod marks;
mod metrics;
mod mirror;
mod operator;
mod outcome;
mod pool;
mod registration;
mod relay;
mod report;
mod rollouts;
mod scatter;
mod settings;
mod shared;
mod single;
mod store;
mod store_health;
mod stored_marks;
mod subscribe;
mod sync;
mod thread_lag;
mod verdict;

pub use cornelwinch_routing::PlacementMode;
pub use dialect::{
    Dialect, HeaderNames, ObjectKind, ObjectPage, ObjectProblem, ObjectValue, RegisteredHost,
    StoreApi, StoreObject, WriteRequest,
};
pub use error::RelayError;
pub use logging::{LogHandle, open_log};
pub use relay::{Relay, run_until_signal, spawn};
pub use settings::{Bounds, CapBounds, LogLevel, RelaySettings, RolloutBounds};
