use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use cornelwinch_types::Name;
use serde::Deserialize;
use snafu::ResultExt;

use crate::RelayError;
use crate::error::ReadSettingsSnafu;

/// Share of the time to recover for which a watch waits.
const WATCH_SHARE: f64 = 0.7;

/// Settings of a relay, in JSON with comments.
///
/// ```
/// use cornelwinch_relay::RelaySettings;
///
/// let settings = RelaySettings::parse("relay.jsonc", r#"{
///     "host": "a-1", "zone": "a",
///     "caller": "127.0.0.1:8080", "readiness": "127.0.0.1:8081",
///     "metrics": "127.0.0.1:8082", // text for operators
///     "peer": "127.0.0.1:8083",
///     "store": "127.0.0.1:7000",
///     "bounds": {
///         "stable_ms": 4000, "grace_s": 6,
///         "repeat_ratio": 0.2, "repeat_window_s": 10, "repeat_slack": 56,
///         "cold_overshoot": 1.5, "cold_slack": 5
///     }
/// }"#)?;
/// assert_eq!(&*settings.zone, "a");
/// # Ok::<(), cornelwinch_relay::RelayError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Name of the host.
    pub host: Name,
    /// Availability zone of the host.
    pub zone: Name,
    /// Listen address for callers.
    pub caller: SocketAddr,
    /// Listen address for the balancer's readiness checks.
    pub readiness: SocketAddr,
    /// Listen address for metrics and the state of the host.
    pub metrics: SocketAddr,
    /// Listen address for other hosts, under which this one is registered.
    pub peer: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Bounds that all hosts keep together.
    pub bounds: Bounds,
    /// Lowest level of logged events.
    #[serde(default)]
    pub log: LogLevel,
}

/// Bounds that all hosts keep together.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time that a host has to recover from a disturbance before the other bounds
    /// count, in milliseconds.
    pub stable_ms: u64,
    /// Time from the request to stop until the process is killed, in seconds.
    pub grace_s: f64,
    /// Repeats allowed for each request of the window.
    pub repeat_ratio: f64,
    /// Length of the sliding window for repeats, in seconds.
    pub repeat_window_s: f64,
    /// Repeats that all hosts together may send beyond the ratio.
    pub repeat_slack: f64,
    /// Factor on the rate that a cold upstream tolerates.
    pub cold_overshoot: f64,
    /// Requests in a second beyond that rate.
    pub cold_slack: f64,
}

/// Lowest level of logged events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Failures only.
    Warn,
    /// Decisions on requests and changes of state.
    #[default]
    Info,
    /// Each leg too.
    Debug,
}

impl RelaySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or a setting is missing, unknown or not
    /// valid.
    pub fn open(file: &Path) -> Result<Self, RelayError> {
        let text = std::fs::read_to_string(file).context(ReadSettingsSnafu { file })?;
        Self::parse(&file.display().to_string(), &text)
    }

    /// Parses and checks settings; `file` stands in errors.
    ///
    /// # Errors
    ///
    /// Fails if a setting is missing, unknown or not valid.
    pub fn parse(file: &str, text: &str) -> Result<Self, RelayError> {
        let fail = |reason: String| RelayError::ParseSettings {
            file: file.to_owned(),
            reason,
        };
        let value: serde_json::Value =
            jsonc_parser::parse_to_serde_value(text, &cornelwinch_config::SYNTAX)
                .map_err(|error| fail(error.to_string()))?;
        let settings: Self =
            serde_json::from_value(value).map_err(|error| fail(error.to_string()))?;
        settings.bounds.check().map_err(fail)?;
        Ok(settings)
    }
}

impl Bounds {
    fn check(&self) -> Result<(), String> {
        let numbers = [
            ("grace_s", self.grace_s),
            ("repeat_ratio", self.repeat_ratio),
            ("repeat_window_s", self.repeat_window_s),
            ("repeat_slack", self.repeat_slack),
            ("cold_overshoot", self.cold_overshoot),
            ("cold_slack", self.cold_slack),
        ];
        for (key, value) in numbers {
            if !value.is_finite() || value < 0.0 {
                return Err(format!("bounds.{key} must be 0 or more, not {value}"));
            }
        }
        if self.stable_ms == 0 {
            return Err("bounds.stable_ms must be above 0".to_owned());
        }
        if self.repeat_window_s == 0.0 {
            return Err("bounds.repeat_window_s must be above 0".to_owned());
        }
        Ok(())
    }

    /// Longest time that a watch of the store waits. A connection that went silent
    /// is noticed soon after it, and what it missed is read again while the host
    /// may still recover.
    pub fn watch_wait(&self) -> Duration {
        Duration::from_millis(self.stable_ms).mul_f64(WATCH_SHARE)
    }

    /// Time from the request to stop until the process is killed.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }
}
