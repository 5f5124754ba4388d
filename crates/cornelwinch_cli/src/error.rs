use std::path::PathBuf;

use cornelwinch_bench::BenchError;
use cornelwinch_config::{Kind, SettingsError};
use cornelwinch_platform::PlatformError;
use snafu::Snafu;

use crate::{FAILED, INVALID};

/// A command that gave no result.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CliError {
    #[snafu(display("{source}"))]
    File { source: SettingsError },
    #[snafu(display("{}: cannot read the file: {source}", file.display()))]
    Read {
        file: PathBuf,
        source: std::io::Error,
    },
    #[snafu(display("{}", problems.join("\n")))]
    Document { problems: Vec<String> },
    #[snafu(display("{source}"))]
    Platform { source: PlatformError },
    #[snafu(display("{kind} \"{name}\" does not exist"))]
    NotFound { kind: Kind, name: String },
    #[snafu(display("no hosts to ask: give --operator or --platform with --operator-port"))]
    NoHosts,
    #[snafu(display("query: no answer from the host at {host}: {source}"))]
    Query {
        host: std::net::SocketAddr,
        source: Box<ureq::Error>,
    },
    #[snafu(display("bench: {source}"))]
    Bench { source: BenchError },
    #[snafu(display("cannot write the output: {source}"))]
    Output { source: std::io::Error },
    #[snafu(display("cannot encode the output: {source}"))]
    Encode { source: serde_json::Error },
}

impl CliError {
    /// Exit code of the command.
    pub(crate) fn code(&self) -> u8 {
        match self {
            Self::File { .. } | Self::Read { .. } | Self::Document { .. } | Self::NoHosts => {
                INVALID
            }
            Self::Platform {
                source: PlatformError::InvalidName { .. },
            } => INVALID,
            Self::Bench {
                source: BenchError::Setting { .. },
            } => INVALID,
            _ => FAILED,
        }
    }
}
