use std::path::PathBuf;

use snafu::Snafu;

/// Error that prevents a relay from starting.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RelayError {
    /// The settings file could not be read.
    #[snafu(display("step=read_settings file={} reason={source:?}", file.display()))]
    ReadSettings {
        /// Path of the settings file.
        file: PathBuf,
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// The settings are invalid.
    #[snafu(display("step=parse_settings file={file} reason={reason:?}"))]
    ParseSettings {
        /// Path of the settings file.
        file: String,
        /// Description of the problem, with its location in the file.
        reason: String,
    },
    /// A listen address could not be bound.
    #[snafu(display("step=bind peer={addr} reason={source:?}"))]
    Bind {
        /// The listen address.
        addr: std::net::SocketAddr,
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// A resource of the process, such as a thread or a signal handler, could not be created.
    #[snafu(display("step={step} reason={source:?}"))]
    Process {
        /// Start-up step that failed.
        step: &'static str,
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// The logger could not be installed because the process already has one.
    #[snafu(display("step=open_log reason={reason:?}"))]
    Log {
        /// Message of the logging library.
        reason: String,
    },
}
