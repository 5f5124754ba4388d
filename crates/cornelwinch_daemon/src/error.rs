use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use cornelwinch_http::HttpError;
use cornelwinch_peer::PeerError;
use snafu::Snafu;

/// Failure to start a host; the text is one line of key=value pairs.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DaemonError {
    /// A socket could not be bound.
    #[snafu(display("step={step} addr={addr} error=\"{source}\""))]
    Bind {
        /// Step of the start.
        step: &'static str,
        /// Address that was asked for.
        addr: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// An HTTP listener could not be opened.
    #[snafu(display("step={step} addr={addr} error=\"{source}\""))]
    Listen {
        /// Step of the start.
        step: &'static str,
        /// Address that was asked for.
        addr: SocketAddr,
        /// Cause.
        source: HttpError,
    },
    /// The transport between hosts could not be opened.
    #[snafu(display("step=bind_peer {source}"))]
    Peer {
        /// Cause.
        source: PeerError,
    },
    /// A thread could not be started.
    #[snafu(display("step=start_thread name={name} error=\"{source}\""))]
    Thread {
        /// Name of the thread.
        name: &'static str,
        /// Cause.
        source: io::Error,
    },
    /// A file could not be read or opened.
    #[snafu(display("step={step} file=\"{}\" error=\"{source}\"", file.display()))]
    File {
        /// Step of the start.
        step: &'static str,
        /// The file.
        file: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The metrics client could not be opened.
    #[snafu(display("step=open_metrics error=\"{reason}\""))]
    Metrics {
        /// Cause.
        reason: String,
    },
    /// Another logger is installed already.
    #[snafu(display("step=open_log error=\"{reason}\""))]
    Log {
        /// Cause.
        reason: String,
    },
}
