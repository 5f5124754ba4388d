//! The data path of a host in one thread: it takes requests of callers, sends
//! them to upstreams and follows the platform's store.
//!
//! What may be decided without sockets is in `cornelwinch_routing`; names and
//! formats of a platform come in as a [`Dialect`].

mod answer;
mod callers;
mod core;
mod dialect;
mod error;
mod fetch;
mod handle;
mod headers;
mod leg;
mod logging;
mod metrics;
mod operator;
mod pool;
mod relay;
mod scatter;
mod settings;
mod single;
mod store;
mod sync;

pub use dialect::{Dialect, Headers, Item, Kind, Page, StoreCalls, Value, WriteCall};
pub use error::RelayError;
pub use logging::{LogHandle, open_log};
pub use relay::{Relay, run_until_signal, spawn};
pub use settings::{Bounds, RelaySettings};
