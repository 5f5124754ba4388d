use std::io;
use std::net::SocketAddr;

use cornelwinch_types::Name;
use snafu::Snafu;
use tokio_tungstenite::tungstenite;

/// Failure of the transport between hosts.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PeerError {
    /// The listener could not be opened.
    #[snafu(display("step=bind addr={addr} error={source}"))]
    Bind {
        /// Address that was asked for.
        addr: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The transport's thread or runtime could not be started.
    #[snafu(display("step=start_runtime error={source}"))]
    Runtime {
        /// Cause.
        source: io::Error,
    },
    /// No connection to the peer within the time limit.
    #[snafu(display("step=connect peer={peer} addr={addr} error={reason}"))]
    Connect {
        /// Name of the peer.
        peer: Name,
        /// Address of the peer.
        addr: SocketAddr,
        /// Cause.
        reason: String,
    },
    /// The WebSocket connection failed.
    #[snafu(display("step={step} error={source}"))]
    Socket {
        /// Step of the exchange.
        step: &'static str,
        /// Cause.
        #[snafu(source(from(tungstenite::Error, Box::new)))]
        source: Box<tungstenite::Error>,
    },
    /// The peer closed the connection.
    #[snafu(display("step={step} error=\"connection closed\""))]
    Closed {
        /// Step of the exchange.
        step: &'static str,
    },
    /// The other side did not prove that it belongs to the deployment.
    #[snafu(display("step=handshake error=\"{reason}\""))]
    Handshake {
        /// What did not match.
        reason: &'static str,
    },
    /// A message could not be encoded.
    #[snafu(display("step=encode error=\"{reason}\""))]
    Encode {
        /// Cause.
        reason: String,
    },
    /// A message could not be decoded.
    #[snafu(display("step=decode error=\"{reason}\""))]
    Decode {
        /// Cause.
        reason: String,
    },
    /// The exchange took too long.
    #[snafu(display("step={step} error=timeout"))]
    Timeout {
        /// Step of the exchange.
        step: &'static str,
    },
}
