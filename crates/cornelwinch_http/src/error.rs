use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

/// A listener that could not be started.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum HttpError {
    /// The address could not be bound.
    #[snafu(display("binding {addr}: {source}"))]
    Bind {
        /// Address asked for.
        addr: SocketAddr,
        /// Error of the system.
        source: io::Error,
    },
    /// A thread could not be started.
    #[snafu(display("starting thread {name}: {source}"))]
    Thread {
        /// Name of the thread.
        name: &'static str,
        /// Error of the system.
        source: io::Error,
    },
    /// The thread of the listener has ended.
    #[snafu(display("the thread of the listener has ended"))]
    Closed,
}
