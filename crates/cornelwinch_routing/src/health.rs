use std::time::{Duration, Instant};

use crate::failures::FailureRate;

/// Time constant with which the slowness of an upstream decays, so that it is tried
/// again.
const SLOWNESS_DECAY: Duration = Duration::from_millis(1_500);

/// Weight of a new sample in the moving average of slowness.
const SAMPLE_WEIGHT: f64 = 0.3;

/// Maximum sample of an answered leg. A pause of an upstream delays one answer without
/// slowing the next ones.
const ANSWER_SAMPLE_LIMIT: f64 = 8.0;

/// Sample of a leg that the upstream refused.
const REFUSED_SAMPLE: f64 = 4.0;

/// Sample of a leg that failed.
const FAILED_SAMPLE: f64 = 8.0;

/// Increase of the score factor if all legs are refused or fail.
const FAILURE_WEIGHT: f64 = 4.0;

/// Increase of the score factor for each leg in flight.
const IN_FLIGHT_WEIGHT: f64 = 0.5;

/// Consecutive unanswered legs after which an upstream counts as lost.
const UNANSWERED_LEGS_TO_LOST: u32 = 2;

/// Time for which the end of a leg is evidence of whether a zone is reachable.
const RECENT_USE: Duration = Duration::from_secs(2);

/// Initial and maximum interval between probes of a lost upstream; it doubles.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(250);
const MAX_PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Result of a leg with regard to the health of its upstream. Ratios are times divided
/// by the typical time of such a leg.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum HealthSignal {
    /// A complete answer arrived.
    Answered {
        /// Time from sending to the complete answer.
        ratio: f64,
    },
    /// The upstream refused the request before starting it.
    Refused,
    /// Another upstream now uses the address.
    Misdirected,
    /// The answer was malformed or an error, or the connection broke.
    Failed,
    /// A reused connection ended before an answer. The upstream may have closed it because it was
    /// idle for too long.
    Dropped,
    /// The answer was larger than it may be.
    Oversized,
    /// No connection could be made.
    Unreachable,
    /// No answer arrived before the leg was abandoned.
    TimedOut {
        /// Time from sending to abandoning the leg.
        ratio: f64,
    },
    /// The leg ended for a reason unrelated to the upstream.
    Neutral,
}

#[derive(Debug, Clone, Copy)]
struct InFlight {
    token: u64,
    sent: Instant,
    typical: Duration,
}

/// Health of one upstream as observed by this host.
#[derive(Debug)]
pub struct UpstreamHealth {
    slowness: f64,
    sampled: Instant,
    in_flight: Vec<InFlight>,
    consecutive_unanswered: u32,
    /// End of the last leg whose signal was not neutral.
    last_signal: Option<Instant>,
    failures: FailureRate,
    /// Time of the next probe while the upstream counts as lost.
    probe_at: Option<Instant>,
}

impl UpstreamHealth {
    /// Creates the health of an upstream without any legs yet.
    pub fn new(now: Instant) -> Self {
        Self {
            slowness: 1.0,
            sampled: now,
            in_flight: Vec::new(),
            consecutive_unanswered: 0,
            last_signal: None,
            failures: FailureRate::default(),
            probe_at: None,
        }
    }

    /// Records that a leg was sent; `typical` is the typical time of such a leg.
    pub fn leg_sent(&mut self, now: Instant, token: u64, typical: Duration) {
        self.in_flight.push(InFlight {
            token,
            sent: now,
            typical,
        });
    }

    /// Records the end of a leg.
    pub fn leg_ended(&mut self, now: Instant, token: u64, signal: HealthSignal) {
        self.in_flight.retain(|leg| leg.token != token);
        if signal != HealthSignal::Neutral {
            self.last_signal = Some(now);
        }
        match signal {
            HealthSignal::Answered { ratio } => {
                self.mark_reachable();
                self.failures.record(now, false);
                self.sample(now, ratio.min(ANSWER_SAMPLE_LIMIT), SAMPLE_WEIGHT);
            }
            HealthSignal::Refused => {
                self.mark_reachable();
                self.failures.record(now, true);
                self.sample(now, REFUSED_SAMPLE, SAMPLE_WEIGHT);
            }
            HealthSignal::Dropped => self.failures.record(now, true),
            HealthSignal::Failed | HealthSignal::Oversized => {
                self.failures.record(now, true);
                self.sample(now, FAILED_SAMPLE, SAMPLE_WEIGHT);
            }
            HealthSignal::Unreachable => {
                self.consecutive_unanswered =
                    self.consecutive_unanswered.max(UNANSWERED_LEGS_TO_LOST - 1);
                self.record_unanswered(now);
            }
            HealthSignal::TimedOut { ratio } => {
                if ratio > self.decayed_slowness(now) {
                    self.sample(now, ratio, 1.0);
                }
                self.record_unanswered(now);
            }
            // The fleet stops using a misdirected upstream.
            HealthSignal::Misdirected | HealthSignal::Neutral => {}
        }
    }

    /// Reports whether a leg ended recently with a signal that was not neutral.
    pub fn was_used_recently(&self, now: Instant) -> bool {
        self.last_signal
            .is_some_and(|at| now.saturating_duration_since(at) < RECENT_USE)
    }

    /// Returns the number of legs that this host has in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the expected time of the next leg as a multiple of the typical one.
    pub fn score(&self, now: Instant) -> f64 {
        let waiting = self
            .in_flight
            .iter()
            .map(|leg| latency_ratio(now.saturating_duration_since(leg.sent), leg.typical))
            .fold(0.0, f64::max);
        self.decayed_slowness(now).max(waiting)
            * (1.0 + IN_FLIGHT_WEIGHT * self.in_flight.len() as f64)
    }

    /// Returns the factor by which the expected time of the next leg grows with the share of recent
    /// legs that were refused or failed, since such a leg has to be repeated.
    pub fn failure_factor(&self, now: Instant) -> f64 {
        1.0 + FAILURE_WEIGHT * self.failures.share(now)
    }

    /// Reports whether the upstream left its last legs unanswered. A lost upstream is
    /// picked only if there is no other.
    pub fn is_lost(&self) -> bool {
        self.probe_at.is_some()
    }

    /// Reports whether a probe of a lost upstream is due, and schedules the next one.
    pub fn take_due_probe(&mut self, now: Instant) -> bool {
        let is_due = self.probe_at.is_some_and(|at| at <= now);
        if is_due {
            self.record_unanswered(now);
        }
        is_due
    }

    /// Records that the upstream accepts connections.
    pub fn mark_reachable(&mut self) {
        self.consecutive_unanswered = 0;
        self.probe_at = None;
    }

    /// Returns the slowness, decayed since the last sample.
    fn decayed_slowness(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.sampled).as_secs_f64();
        1.0 + (self.slowness - 1.0) * (-age / SLOWNESS_DECAY.as_secs_f64()).exp()
    }

    fn sample(&mut self, now: Instant, value: f64, weight: f64) {
        self.slowness = self.decayed_slowness(now) * (1.0 - weight) + value * weight;
        self.sampled = now;
    }

    fn record_unanswered(&mut self, now: Instant) {
        self.consecutive_unanswered += 1;
        if self.consecutive_unanswered >= UNANSWERED_LEGS_TO_LOST {
            let doublings = (self.consecutive_unanswered - UNANSWERED_LEGS_TO_LOST).min(8);
            let interval = (MIN_PROBE_INTERVAL * 2_u32.pow(doublings)).min(MAX_PROBE_INTERVAL);
            self.probe_at = Some(now + interval);
        }
    }
}

/// Returns a time as a multiple of the typical one.
pub(crate) fn latency_ratio(time: Duration, typical: Duration) -> f64 {
    time.as_secs_f64() / typical.as_secs_f64().max(0.000_1)
}
