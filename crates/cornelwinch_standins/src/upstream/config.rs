use std::net::SocketAddr;
use std::time::Duration;

use cornelwinch_types::{KeyRange, Name, SnapshotId};
use fastrand::Rng;

/// Settings of an upstream.
#[derive(Debug, Clone)]
pub struct UpstreamConfig {
    /// Name of the upstream.
    pub name: Name,
    /// Address to listen on; port 0 takes a free one.
    pub address: SocketAddr,
    /// Legs that run at once; more are shed.
    pub slots: u32,
    /// Connections at once; more get 503 and are closed.
    pub connections: usize,
    /// Time added to the first request of each connection.
    pub connection_delay: Duration,
    /// Snapshots that the upstream holds.
    pub snapshots: Vec<HeldSnapshot>,
    /// Distribution of the time a leg takes.
    pub service: ServiceTime,
    /// Behaviour in a cold start.
    pub cold: ColdStart,
    /// Seed of the service times.
    pub seed: u64,
}

impl Default for UpstreamConfig {
    fn default() -> Self {
        Self {
            name: "upstream".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            slots: 3,
            connections: 30,
            connection_delay: Duration::ZERO,
            snapshots: Vec::new(),
            service: ServiceTime::default(),
            cold: ColdStart::default(),
            seed: 1,
        }
    }
}

/// One snapshot of one search as an upstream holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldSnapshot {
    /// Search that the snapshot belongs to.
    pub search: Name,
    /// Version of the index.
    pub snapshot: SnapshotId,
    /// Key ranges held; empty for all keys.
    pub ranges: Vec<KeyRange>,
}

impl HeldSnapshot {
    /// Reports whether a leg on `range` can be served.
    pub fn holds(&self, range: KeyRange) -> bool {
        self.ranges.is_empty()
            || self
                .ranges
                .iter()
                .any(|held| held.start <= range.start && range.end <= held.end)
    }
}

/// Log-normal service time with a share of stragglers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceTime {
    /// Median.
    pub median: Duration,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
    /// Share of legs that are stragglers, from 0 to 1.
    pub straggler_share: f64,
    /// Factor on the time of a straggler.
    pub straggler_factor: f64,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self {
            median: Duration::from_millis(2),
            sigma: 0.3,
            straggler_share: 0.0,
            straggler_factor: 10.0,
        }
    }
}

impl ServiceTime {
    /// Draws the time of one leg.
    pub fn draw(&self, rng: &mut Rng) -> Duration {
        // Box-Muller; 1 - f64() is never zero.
        let radius = (-2.0 * (1.0 - rng.f64()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * rng.f64()).cos();
        let mut factor = (self.sigma * normal).exp();
        if rng.f64() < self.straggler_share {
            factor *= self.straggler_factor;
        }
        self.median.mul_f64(factor)
    }
}

/// Behaviour after a start or restart until the upstream is warm.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// Whether the first start is cold too; a restart always is.
    pub from_start: bool,
    /// Legs borne at once; one more makes the upstream fall over.
    pub limit: u32,
    /// Legs served until the upstream is warm; falling over starts anew.
    pub legs: u32,
    /// Factor on the service time.
    pub factor: f64,
    /// Time for which an upstream that fell over sheds every leg.
    pub recovery: Duration,
}

impl Default for ColdStart {
    fn default() -> Self {
        Self {
            from_start: false,
            limit: 1,
            legs: 50,
            factor: 3.0,
            recovery: Duration::from_millis(500),
        }
    }
}
