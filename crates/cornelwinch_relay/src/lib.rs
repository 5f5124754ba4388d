//! The data path of a host in one thread: it takes requests of callers, sends
//! them to upstreams and follows the platform's store.
//!
//! What may be decided without sockets is in `cornelwinch_routing`; names and
//! formats of a platform come in as a [`Dialect`].

mod answer;
mod apply;
mod callers;
mod condition;
mod core;
mod dialect;
mod error;
mod feed;
mod fetch;
mod follow;
mod gathers;
mod handle;
mod headers;
mod leg;
mod line_limit;
mod logging;
mod metrics;
mod mirror;
mod operator;
mod pool;
mod relay;
mod report;
mod scatter;
mod settings;
mod single;
mod store;
mod subscribe;
mod sync;

pub use dialect::{Dialect, Headers, Item, Kind, Page, StoreCalls, Value, WriteCall};
pub use error::RelayError;
pub use logging::{LogHandle, open_log};
pub use relay::{Relay, run_until_signal, spawn};
pub use settings::{Bounds, LogLevel, RelaySettings};
