use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use cornelwinch_config::{ConfigState, Kind};
use cornelwinch_platform::{Object, PlatformClient, Timeouts};
use cornelwinch_types::Revision;
use serde::Serialize;
use snafu::ResultExt;

use crate::error::{CliError, EncodeSnafu, OutputSnafu, PlatformSnafu, ReadSnafu};

/// The configuration on the platform.
#[derive(Debug)]
pub(crate) struct Current {
    pub(crate) objects: Vec<Object>,
    pub(crate) state: ConfigState,
}

impl Current {
    /// Reads the configuration.
    pub(crate) fn load(client: &PlatformClient) -> Result<Self, CliError> {
        let kinds = Kind::ALL.map(Kind::as_str);
        let listing = client.list(Revision(0), &kinds).context(PlatformSnafu)?;
        let mut state = ConfigState::default();
        let (entries, _) = listing.entries();
        state.apply(entries, listing.revision);
        Ok(Self {
            objects: listing.objects,
            state,
        })
    }

    /// The object of a kind and name, unless it is deleted.
    pub(crate) fn object(&self, kind: Kind, name: &str) -> Option<&Object> {
        self.objects.iter().find(|object| {
            *object.kind == *kind.as_str() && *object.name == *name && !object.deleted
        })
    }
}

/// Time for one operation on the platform, repetitions included; an operator
/// who waits longer wants to know that the platform is down.
const OPERATION: Duration = Duration::from_secs(5);

/// A client of the platform.
pub(crate) fn client(platform: SocketAddr) -> PlatformClient {
    let timeouts = Timeouts {
        operation: OPERATION,
        ..Timeouts::default()
    };
    PlatformClient::open(platform, timeouts)
}

/// Reads a file as text.
pub(crate) fn read(file: &Path) -> Result<String, CliError> {
    fs::read_to_string(file).context(ReadSnafu { file })
}

/// Writes a text to the output.
pub(crate) fn print(out: &mut impl Write, text: &str) -> Result<(), CliError> {
    out.write_all(text.as_bytes()).context(OutputSnafu)
}

/// Writes a value to the output as JSON.
pub(crate) fn print_json(out: &mut impl Write, value: &impl Serialize) -> Result<(), CliError> {
    let text = serde_json::to_string_pretty(value).context(EncodeSnafu)?;
    print(out, &format!("{text}\n"))
}
