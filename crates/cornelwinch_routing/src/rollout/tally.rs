use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::HealthSignal;

/// Upper edge of the first latency bucket.
const FIRST_BUCKET: Duration = Duration::from_micros(250);

/// Number of latency buckets. Each covers half an octave, the last one all times above 2 s.
const BUCKETS: usize = 28;

/// Versions of a service as an order distinguishes them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum VersionGroup {
    /// Upstreams of the target version.
    Target,
    /// Upstreams of any other version.
    Other,
}

/// Ended legs of one route to the upstreams of one version group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LegTally {
    /// Legs that were answered, failed or timed out.
    #[serde(rename = "n")]
    pub ended: u64,
    /// Legs that failed.
    #[serde(rename = "f")]
    pub failed: u64,
    /// Legs with a known time, by latency bucket, without trailing zeros.
    #[serde(rename = "t")]
    pub times: Vec<u64>,
}

impl LegTally {
    /// Adds the end of a leg. Refused and abandoned legs tell nothing of a version. The time of a
    /// leg to a cold upstream is not recorded, since any version is slow at first.
    pub fn record(&mut self, signal: HealthSignal, time: Duration, is_cold: bool) {
        match signal {
            HealthSignal::Answered { .. } | HealthSignal::TimedOut { .. } => {
                self.ended += 1;
                if !is_cold {
                    let bucket = bucket(time);
                    if self.times.len() <= bucket {
                        self.times.resize(bucket + 1, 0);
                    }
                    self.times[bucket] += 1;
                }
            }
            HealthSignal::Failed | HealthSignal::Oversized => {
                self.ended += 1;
                self.failed += 1;
            }
            HealthSignal::Refused
            | HealthSignal::Misdirected
            | HealthSignal::Dropped
            | HealthSignal::Unreachable
            | HealthSignal::Neutral => {}
        }
    }

    /// Adds another tally.
    pub fn add(&mut self, other: &Self) {
        self.ended += other.ended;
        self.failed += other.failed;
        if self.times.len() < other.times.len() {
            self.times.resize(other.times.len(), 0);
        }
        for (sum, count) in self.times.iter_mut().zip(&other.times) {
            *sum += count;
        }
    }

    /// Returns the legs that an earlier tally of the same host does not contain.
    pub fn since(&self, earlier: &Self) -> Self {
        let earlier_time = |bucket| earlier.times.get(bucket).copied().unwrap_or(0);
        let times = self.times.iter().enumerate();
        Self {
            ended: self.ended.saturating_sub(earlier.ended),
            failed: self.failed.saturating_sub(earlier.failed),
            times: times
                .map(|(bucket, count)| count.saturating_sub(earlier_time(bucket)))
                .collect(),
        }
    }

    /// Returns the number of legs with a known time.
    pub(crate) fn timed(&self) -> u64 {
        self.times.iter().sum()
    }

    /// Returns the number of legs at or above a latency bucket.
    pub(crate) fn at_least(&self, bucket: usize) -> u64 {
        self.times.iter().skip(bucket).sum()
    }

    /// Returns the bucket of the median time.
    pub(crate) fn median_bucket(&self) -> Option<usize> {
        let half = self.timed().div_ceil(2);
        let mut sum = 0;
        self.times.iter().position(|count| {
            sum += count;
            sum >= half && half > 0
        })
    }
}

fn bucket(time: Duration) -> usize {
    let ratio = time.as_secs_f64() / FIRST_BUCKET.as_secs_f64();
    if ratio <= 1.0 {
        return 0;
    }
    ((ratio.log2() * 2.0).ceil() as usize).min(BUCKETS - 1)
}
