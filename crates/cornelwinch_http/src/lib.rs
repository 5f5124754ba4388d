//! HTTP listener with bounds on connections, body size and idle time, and
//! connections to servers.
//!
//! One thread owns the callers' sockets, reads each request whole within the
//! limits and runs the handler. A slow or silent caller costs a socket and a
//! buffer, but no thread.

mod client;
mod connection;
mod error;
mod exchange;
mod head;
mod read_limit;
mod request;
mod responder;
mod seconds;
mod thread;

pub use client::{HttpConnection, HttpSender, connect};
pub use error::HttpError;
pub use read_limit::ReadLimit;
pub use request::HttpRequest;
pub use responder::Responder;
pub use seconds::format_seconds;
pub use thread::{HttpLimits, HttpServer, HttpThread, bind};
