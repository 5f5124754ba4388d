use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use cornelwinch_routing::{PlacementMode, SyncTiming};
use cornelwinch_types::Name;
use serde::Deserialize;
use snafu::ResultExt;

use crate::RelayError;
use crate::error::ReadSettingsSnafu;

/// Share of the process's memory that answers of upstreams may take while they are read.
const ANSWER_MEMORY_RATIO: f64 = 0.2;

/// Memory of the process if the settings state none, in MiB.
const DEFAULT_MEMORY_MB: u64 = 256;

/// Time after which a silent host counts as gone if the settings state none, in seconds. It exceeds
/// repairs and restarts of a machine.
const DEFAULT_HOST_GONE_S: u64 = 1_800;

/// Largest memory that the settings may state, in MiB.
const MAX_MEMORY_MB: u64 = 1 << 20;

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
    /// Listen address for other hosts; the host is registered with it.
    pub peer: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Limits that the hosts of the tier have to keep.
    pub bounds: Bounds,
    /// Memory that the process may use, in MiB.
    #[serde(default = "default_memory")]
    pub memory_mb: u64,
    /// Time after which the entry of a host that answers no other host is removed, in seconds.
    #[serde(default = "default_host_gone")]
    pub host_gone_s: u64,
    /// How the upstream of a leg is chosen.
    #[serde(default)]
    pub placement: PlacementMode,
    /// Lowest level of logged events.
    #[serde(default)]
    pub log: LogLevel,
}

/// Limits that the hosts of the tier have to keep.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time within which a host has to recover from a disturbance, in milliseconds. The other
    /// bounds apply after it.
    pub stable_ms: u64,
    /// Grace period between SIGTERM and SIGKILL, in seconds.
    pub grace_s: f64,
    /// Number of repeats allowed per request within the window.
    pub repeat_ratio: f64,
    /// Length of the sliding window for repeats, in seconds.
    pub repeat_window_s: f64,
    /// Number of repeats that all hosts together may send in addition to the ratio.
    pub repeat_slack: f64,
    /// Factor by which all hosts together may exceed the rate that a cold upstream tolerates.
    pub cold_overshoot: f64,
    /// Requests per second that all hosts together may send in addition.
    pub cold_slack: f64,
    /// Time from the registration that an upstream leaves to its last request, in milliseconds.
    #[serde(default)]
    pub drain_ms: Option<u64>,
    /// Time within which a version of the desired state is in force, in milliseconds.
    #[serde(default)]
    pub config_apply_ms: Option<u64>,
    /// Time within which the upstreams of an evacuated zone get nothing more, in milliseconds.
    #[serde(default)]
    pub evacuation_ms: Option<u64>,
    /// Bounds of the caps of organisations; without them, caps are not enforced.
    #[serde(default)]
    pub cap: Option<CapBounds>,
    /// Bounds of roll-outs; without them, orders are not followed.
    #[serde(default)]
    pub rollout: Option<RolloutBounds>,
}

/// How far the requests of an organisation may exceed its cap.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CapBounds {
    /// Length of the sliding window, in seconds.
    pub window_s: f64,
    /// Share of the cap in a window that may come in addition.
    pub overshoot: f64,
    /// Number of requests in a window that may come in addition.
    pub slack: f64,
}

/// Bounds of the requests that a new version of a service gets before it is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutBounds {
    /// Largest share of the service's requests that a bad version may get.
    pub exposure_ratio: f64,
    /// Number of requests that it may get in addition.
    pub exposure_slack: f64,
    /// Time from the 50th bad answer to the last request, in milliseconds.
    pub rollback_ms: u64,
    /// Whether orders are followed. The default is off, since reports on many orders at a time
    /// exceed the traffic that a host may use for control.
    #[serde(default)]
    pub follow: bool,
}

/// Lowest level of logged events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Logs failures only.
    Warn,
    /// Also logs requests and changes of state.
    #[default]
    Info,
    /// Also logs each leg.
    Debug,
}

fn default_memory() -> u64 {
    DEFAULT_MEMORY_MB
}

fn default_host_gone() -> u64 {
    DEFAULT_HOST_GONE_S
}

impl RelaySettings {
    /// Returns the time after which the entry of a silent host is removed.
    pub(crate) fn host_gone_time(&self) -> Duration {
        Duration::from_secs(self.host_gone_s)
    }

    /// Returns the memory for answers of upstreams in bytes.
    pub(crate) fn answer_memory(&self) -> usize {
        let bytes = (self.memory_mb << 20) as f64 * ANSWER_MEMORY_RATIO;
        bytes as usize
    }

    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or a setting is missing, unknown or invalid.
    pub fn open(file: &Path) -> Result<Self, RelayError> {
        let text = std::fs::read_to_string(file).context(ReadSettingsSnafu { file })?;
        Self::parse(&file.display().to_string(), &text)
    }

    /// Parses and checks settings. `file` is the file name in errors.
    ///
    /// # Errors
    ///
    /// Fails if a setting is missing, unknown or invalid.
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
        if !(1..=MAX_MEMORY_MB).contains(&settings.memory_mb) {
            let memory = settings.memory_mb;
            return Err(fail(format!(
                "memory_mb must be 1 to {MAX_MEMORY_MB}, not {memory}"
            )));
        }
        if settings.host_gone_s == 0 {
            return Err(fail("host_gone_s must be above 0".to_owned()));
        }
        settings.bounds.check().map_err(fail)?;
        Ok(settings)
    }
}

/// Longest time in the settings, in seconds. Times of days are faults and may overflow clocks.
const MAX_TIME_S: f64 = 24.0 * 60.0 * 60.0;

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
        let times = [
            ("stable_ms", self.stable_ms as f64 / 1_000.0),
            ("grace_s", self.grace_s),
            ("repeat_window_s", self.repeat_window_s),
        ];
        for (key, seconds) in times {
            if seconds > MAX_TIME_S {
                return Err(format!("bounds.{key} must be at most a day"));
            }
        }
        let optional = [
            ("cap.window_s", self.cap.map(|cap| cap.window_s)),
            ("cap.overshoot", self.cap.map(|cap| cap.overshoot)),
            ("cap.slack", self.cap.map(|cap| cap.slack)),
            (
                "rollout.exposure_ratio",
                self.rollout.map(|r| r.exposure_ratio),
            ),
            (
                "rollout.exposure_slack",
                self.rollout.map(|r| r.exposure_slack),
            ),
        ];
        for (key, value) in optional {
            if value.is_some_and(|value| !value.is_finite() || value < 0.0) {
                return Err(format!("bounds.{key} must be 0 or more, not {value:?}"));
            }
        }
        if self.cap.is_some_and(|cap| cap.window_s == 0.0) {
            return Err("bounds.cap.window_s must be above 0".to_owned());
        }
        let times = [
            ("drain_ms", self.drain_ms),
            ("config_apply_ms", self.config_apply_ms),
            ("evacuation_ms", self.evacuation_ms),
        ];
        for (key, value) in times {
            if value == Some(0) {
                return Err(format!("bounds.{key} must be above 0"));
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

    /// Returns the longest time that a watch of the store waits for a change. A broken connection
    /// is detected soon after this time, so that missed changes can be read again within the
    /// recovery time.
    pub fn watch_timeout(&self) -> Duration {
        self.sync_timing().watch_wait
    }

    /// Returns the times that follow from the smallest of the bounds within which a change has to
    /// be in force.
    pub fn sync_timing(&self) -> SyncTiming {
        let bounds = [self.drain_ms, self.config_apply_ms, self.evacuation_ms];
        let smallest = bounds.into_iter().flatten().min();
        SyncTiming::new(
            Duration::from_millis(self.stable_ms),
            smallest.map(Duration::from_millis),
        )
    }

    /// Returns true if orders to move a service to another version are followed.
    pub(crate) fn follows_rollouts(&self) -> bool {
        self.rollout.is_some_and(|rollout| rollout.follow)
    }

    /// Returns the grace period between SIGTERM and SIGKILL.
    pub fn grace_period(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }
}
