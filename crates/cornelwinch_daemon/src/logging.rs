use std::time::{SystemTime, UNIX_EPOCH};

use cornelwinch_config::LogSettings;
use snafu::ResultExt;

use crate::DaemonError;
use crate::error::FileSnafu;

/// Installs the logger of the process: one line of key=value pairs an event.
///
/// # Errors
///
/// Fails if the log file cannot be opened or a logger is installed already.
pub fn open_log(settings: &LogSettings, host: &str) -> Result<(), DaemonError> {
    let host = host.to_owned();
    let dispatch = fern::Dispatch::new()
        .level(settings.level)
        .level_for("tungstenite", log::LevelFilter::Warn)
        .level_for("tokio_tungstenite", log::LevelFilter::Warn)
        .level_for("ureq", log::LevelFilter::Warn)
        .level_for("ureq_proto", log::LevelFilter::Warn)
        .format(move |out, message, record| {
            let at = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            out.finish(format_args!(
                "ts={}.{:03} level={} host={host} {message}",
                at.as_secs(),
                at.subsec_millis(),
                record.level().as_str().to_ascii_lowercase(),
            ));
        });
    let dispatch = match &settings.file {
        Some(file) => dispatch.chain(fern::log_file(file).context(FileSnafu {
            step: "open_log",
            file,
        })?),
        None => dispatch.chain(std::io::stderr()),
    };
    dispatch.apply().map_err(|error| DaemonError::Log {
        reason: error.to_string(),
    })
}
