use std::path::PathBuf;

use snafu::Snafu;

/// Error of a relay's start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RelayError {
    /// The settings file cannot be read.
    #[snafu(display("step=read_settings file={} reason={source:?}", file.display()))]
    ReadSettings {
        /// Settings file.
        file: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The settings are not valid.
    #[snafu(display("step=parse_settings file={file} reason={reason:?}"))]
    ParseSettings {
        /// Settings file.
        file: String,
        /// What is wrong, with its place.
        reason: String,
    },
    /// An address cannot be bound.
    #[snafu(display("step=bind peer={addr} reason={source:?}"))]
    Bind {
        /// Address.
        addr: std::net::SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// A resource of the process cannot be made.
    #[snafu(display("step={step} reason={source:?}"))]
    Process {
        /// What was being made.
        step: &'static str,
        /// Cause.
        source: std::io::Error,
    },
    /// A logger is installed already.
    #[snafu(display("step=open_log reason={reason:?}"))]
    Log {
        /// Cause.
        reason: String,
    },
}
