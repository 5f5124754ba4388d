use std::net::SocketAddr;

use snafu::Snafu;

/// A call to the platform that gave no usable answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PlatformError {
    /// No connection could be made; nothing was done.
    #[snafu(display("{step}: cannot connect to the platform at {peer}: {source}"))]
    Unreachable {
        /// The call.
        step: String,
        /// Address of the platform.
        peer: SocketAddr,
        /// Error of the HTTP client.
        source: Box<ureq::Error>,
    },
    /// The connection broke or the time ran out before the answer was read.
    #[snafu(display("{step}: no answer from the platform at {peer}: {source}"))]
    NoAnswer {
        /// The call.
        step: String,
        /// Address of the platform.
        peer: SocketAddr,
        /// Error of the HTTP client.
        source: Box<ureq::Error>,
    },
    /// The platform refused the call because of its rate; nothing was done.
    #[snafu(display("{step}: the platform at {peer} is over its rate"))]
    OverRate {
        /// The call.
        step: String,
        /// Address of the platform.
        peer: SocketAddr,
    },
    /// The platform reported an outage.
    #[snafu(display("{step}: the platform at {peer} is unavailable"))]
    Unavailable {
        /// The call.
        step: String,
        /// Address of the platform.
        peer: SocketAddr,
    },
    /// The platform answered with an unexpected status.
    #[snafu(display("{step}: the platform at {peer} answered with status {status}"))]
    Status {
        /// The call.
        step: String,
        /// Address of the platform.
        peer: SocketAddr,
        /// HTTP status.
        status: u16,
    },
    /// The answer could not be read as the protocol has it.
    #[snafu(display("{step}: unreadable answer from the platform at {peer}: {problem}"))]
    Malformed {
        /// The call.
        step: String,
        /// Address of the platform.
        peer: SocketAddr,
        /// What is wrong with the answer.
        problem: String,
    },
    /// A kind or name that the platform does not accept; nothing was sent.
    #[snafu(display("{step}: expected a kind and a name of letters, digits or any of \"._~-\""))]
    InvalidName {
        /// The call.
        step: String,
    },
    /// The answer to a write was lost and the object could not be read back,
    /// so the write may or may not have been applied.
    #[snafu(display(
        "{step}: change {change} may or may not have been applied, \
         and reading the object back failed: {source}"
    ))]
    Unresolved {
        /// The call.
        step: String,
        /// Identifier of the change; empty for a deletion.
        change: String,
        /// Error of the last attempt to read the object.
        #[snafu(source(from(PlatformError, Box::new)))]
        source: Box<PlatformError>,
    },
}

impl PlatformError {
    /// Reports whether repeating a read later may succeed.
    pub fn is_transient(&self) -> bool {
        matches!(
            self,
            Self::Unreachable { .. }
                | Self::NoAnswer { .. }
                | Self::OverRate { .. }
                | Self::Unavailable { .. }
        )
    }

    /// Reports whether a write that failed this way surely did nothing.
    pub(crate) fn did_nothing(&self) -> bool {
        matches!(self, Self::Unreachable { .. } | Self::OverRate { .. })
    }
}
