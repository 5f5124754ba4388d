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
    /// The loopback listener behind the relay could not be started.
    #[snafu(display("starting the loopback listener: {message}"))]
    Backend {
        /// Error as text.
        message: String,
    },
    /// A thread could not be started.
    #[snafu(display("starting thread {name}: {source}"))]
    Thread {
        /// Name of the thread.
        name: String,
        /// Error of the system.
        source: io::Error,
    },
    /// The pool's relay has ended.
    #[snafu(display("the relay has ended"))]
    Closed,
}
