//! HTTP listener with bounds on connections, body size and idle time.
//!
//! `tiny_http` starts a thread per connection and has no read timeout. A relay
//! in front of it owns the callers' sockets, reads each request whole within
//! the limits, and only then passes it on over a loopback connection. Thus a
//! slow or silent caller costs a socket and a buffer, but no thread.

mod backend;
mod error;
mod exchange;
mod head;
mod pool;
mod relay;
mod request;
mod responder;

pub use error::HttpError;
pub use pool::{HttpLimits, HttpPool, HttpServer, bind};
pub use request::HttpRequest;
pub use responder::Responder;
