use std::io;
use std::path::PathBuf;

use snafu::Snafu;

/// Failure to start a deployment.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LabError {
    /// A file could not be written.
    #[snafu(display("cannot write {}: {source}", path.display()))]
    Write {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// No free port could be found.
    #[snafu(display("cannot find a free port: {source}"))]
    Port {
        /// Cause.
        source: io::Error,
    },
    /// A host's process could not be started.
    #[snafu(display("cannot start host {host}: {source}"))]
    Start {
        /// Name of the host.
        host: String,
        /// Cause.
        source: io::Error,
    },
    /// A stand-in could not be started.
    #[snafu(display("cannot start the stand-in {name}: {reason}"))]
    StandIn {
        /// Name of the stand-in.
        name: String,
        /// Cause.
        reason: String,
    },
    /// A host did not become ready in time.
    #[snafu(display("host {host} is not ready after {waited_ms} ms"))]
    NotReady {
        /// Name of the host.
        host: String,
        /// Time waited.
        waited_ms: u128,
    },
    /// A configuration value has no JSON form.
    #[snafu(display("cannot encode {kind} {name}: {source}"))]
    Encode {
        /// Kind of the entry.
        kind: &'static str,
        /// Name of the entry.
        name: String,
        /// Cause.
        source: serde_json::Error,
    },
}
