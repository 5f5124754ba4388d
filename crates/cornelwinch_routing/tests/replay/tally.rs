//! What a simulated run gave its callers.

use super::MS;

/// Outcome of a run, of the requests after the first quarter.
#[derive(Debug, Default, Clone, PartialEq)]
pub(crate) struct Tally {
    pub(crate) times: Vec<u64>,
    pub(crate) value: f64,
    pub(crate) offered: usize,
    pub(crate) refused: usize,
    pub(crate) work: f64,
    pub(crate) used: f64,
    /// Legs of requests by upstream.
    pub(crate) legs: Vec<usize>,
}

impl Tally {
    pub(crate) fn mean(&self) -> f64 {
        self.times.iter().sum::<u64>() as f64 / self.times.len() as f64 / MS
    }

    pub(crate) fn p99(&self) -> f64 {
        let mut times = self.times.clone();
        times.sort_unstable();
        times[times.len() * 99 / 100] as f64 / MS
    }

    pub(crate) fn mean_value(&self) -> f64 {
        self.value / self.offered as f64
    }

    pub(crate) fn wasted(&self) -> f64 {
        1.0 - self.used / self.work
    }
}
