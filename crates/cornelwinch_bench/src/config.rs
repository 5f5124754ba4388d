use std::net::SocketAddr;
use std::time::Duration;

use snafu::Snafu;

/// Load to offer.
#[derive(Debug, Clone)]
pub struct BenchConfig {
    /// Hosts; requests go to them in turn.
    pub targets: Vec<SocketAddr>,
    /// Requests per second over all targets.
    pub rate_per_s: f64,
    /// Time over which requests are planned.
    pub duration: Duration,
    /// Kinds of requests.
    pub mix: Vec<MixItem>,
    /// Seed of arrival times and choices.
    pub seed: u64,
    /// Requests in progress at once; each holds a thread. When all are busy,
    /// requests start late, which the report counts.
    pub connections: usize,
    /// Bodies, chosen at random.
    pub bodies: Vec<String>,
    /// Keys of ticket requests are drawn below this number.
    pub keys: u64,
}

impl Default for BenchConfig {
    fn default() -> Self {
        Self {
            targets: Vec::new(),
            rate_per_s: 100.0,
            duration: Duration::from_secs(10),
            mix: Vec::new(),
            seed: 1,
            connections: 64,
            bodies: vec!["8 atlas".to_owned()],
            keys: 1000,
        }
    }
}

/// One kind of request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct MixItem {
    /// Search.
    pub search: String,
    /// Traffic class.
    pub class: String,
    /// Organisation's name, for the report only.
    pub organisation: String,
    /// Organisation's bearer token.
    pub token: String,
    /// Share of the requests, relative to the other items.
    pub weight: f64,
    /// Deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Whether to send non-idempotent requests with tickets; each body then
    /// gets a suffix that makes it unique.
    pub tickets: bool,
}

/// Load that cannot be offered.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum BenchError {
    /// A setting makes no sense.
    #[snafu(display("setting {name}: {reason}"))]
    Setting {
        /// Name of the setting.
        name: &'static str,
        /// What is wrong with it.
        reason: &'static str,
    },
    /// A thread failed.
    #[snafu(display("a load thread panicked"))]
    Thread,
}

impl BenchConfig {
    pub(crate) fn validate(&self) -> Result<(), BenchError> {
        let positive = |x: f64| x.is_finite() && x > 0.0;
        let checks = [
            ("targets", "empty", self.targets.is_empty()),
            ("mix", "empty", self.mix.is_empty()),
            ("bodies", "empty", self.bodies.is_empty()),
            ("connections", "zero", self.connections == 0),
            ("keys", "zero", self.keys == 0),
            ("rate_per_s", "not positive", !positive(self.rate_per_s)),
            (
                "mix",
                "a weight is not positive",
                !self.mix.iter().all(|item| positive(item.weight)),
            ),
        ];
        match checks.into_iter().find(|check| check.2) {
            Some((name, reason, _)) => SettingSnafu { name, reason }.fail(),
            None => Ok(()),
        }
    }
}
