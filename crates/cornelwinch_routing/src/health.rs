use std::time::{Duration, Instant};

/// Time constant with which a bad impression of an upstream fades, so that it is
/// tried again.
const FADE: Duration = Duration::from_millis(1_500);

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.3;

/// Largest sample of an answered leg. A pause of an upstream delays an answer
/// without making the next one slow.
const ANSWER_SAMPLE_LIMIT: f64 = 8.0;

/// Sample of a leg that the upstream refused.
const REFUSED_SAMPLE: f64 = 4.0;

/// Sample of a leg that failed.
const FAILED_SAMPLE: f64 = 8.0;

/// Weight of each leg in flight on the score.
const IN_FLIGHT_WEIGHT: f64 = 0.5;

/// Legs without any answer in a row from which an upstream counts as lost.
const SILENT_LEGS: u32 = 2;

/// Time for which the end of a leg tells whether a zone is reachable.
const RECENT: Duration = Duration::from_secs(2);

/// Pauses between two probes of a lost upstream.
const PROBE_FIRST: Duration = Duration::from_millis(250);
const PROBE_LONGEST: Duration = Duration::from_millis(1_000);

/// How a leg ended, as far as it says something about the upstream. Ratios are
/// times divided by the usual time of such a leg.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum HealthSignal {
    /// A complete answer came.
    Answered {
        /// Time from sending to the complete answer.
        ratio: f64,
    },
    /// The upstream refused the request unstarted.
    Refused,
    /// Another upstream has the address now.
    Misdirected,
    /// The answer was broken, a failure or a disconnect.
    Failed,
    /// No connection could be made.
    Unreachable,
    /// No answer came for so long that the leg was given up.
    TimedOut {
        /// Time from sending to giving up.
        ratio: f64,
    },
    /// The leg ended for a reason of the caller's or the host's.
    Neutral,
}

#[derive(Debug, Clone, Copy)]
struct InFlight {
    token: u64,
    sent: Instant,
    typical: Duration,
}

/// What this host has seen of one upstream.
#[derive(Debug)]
pub struct UpstreamHealth {
    slowness: f64,
    sampled: Instant,
    in_flight: Vec<InFlight>,
    lost_in_a_row: u32,
    /// End of the last leg that said something of the upstream.
    ended: Option<Instant>,
    /// Time of the next probe while the upstream counts as lost.
    probe_at: Option<Instant>,
}

impl UpstreamHealth {
    /// Makes the view of an upstream that was not used yet.
    pub fn new(now: Instant) -> Self {
        Self {
            slowness: 1.0,
            sampled: now,
            in_flight: Vec::new(),
            lost_in_a_row: 0,
            ended: None,
            probe_at: None,
        }
    }

    /// Records that a leg was sent; `typical` is the usual time of such a leg.
    pub fn leg_sent(&mut self, now: Instant, token: u64, typical: Duration) {
        self.in_flight.push(InFlight {
            token,
            sent: now,
            typical,
        });
    }

    /// Records the end of a leg.
    pub fn leg_ended(&mut self, now: Instant, token: u64, sign: HealthSignal) {
        self.in_flight.retain(|leg| leg.token != token);
        if sign != HealthSignal::Neutral {
            self.ended = Some(now);
        }
        match sign {
            HealthSignal::Answered { ratio } => {
                self.mark_reachable();
                self.sample(now, ratio.min(ANSWER_SAMPLE_LIMIT), SAMPLE_WEIGHT);
            }
            HealthSignal::Refused => {
                self.mark_reachable();
                self.sample(now, REFUSED_SAMPLE, SAMPLE_WEIGHT);
            }
            HealthSignal::Failed => {
                self.sample(now, FAILED_SAMPLE, SAMPLE_WEIGHT);
            }
            HealthSignal::Unreachable => {
                self.lost_in_a_row = self.lost_in_a_row.max(SILENT_LEGS - 1);
                self.lose(now);
            }
            HealthSignal::TimedOut { ratio } => {
                if ratio > self.faded(now) {
                    self.sample(now, ratio, 1.0);
                }
                self.lose(now);
            }
            // The fleet stops its use.
            HealthSignal::Misdirected | HealthSignal::Neutral => {}
        }
    }

    /// Reports whether some leg has ended within the last seconds.
    pub fn was_used_recently(&self, now: Instant) -> bool {
        self.ended
            .is_some_and(|at| now.saturating_duration_since(at) < RECENT)
    }

    /// Legs that this host has in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Expected time of the next leg as a multiple of the usual one.
    pub fn score(&self, now: Instant) -> f64 {
        let waiting = self
            .in_flight
            .iter()
            .map(|leg| latency_ratio(now.saturating_duration_since(leg.sent), leg.typical))
            .fold(0.0, f64::max);
        self.faded(now).max(waiting) * (1.0 + IN_FLIGHT_WEIGHT * self.in_flight.len() as f64)
    }

    /// Reports whether the upstream did not answer its last legs, so that only a
    /// request without another choice goes there.
    pub fn is_lost(&self) -> bool {
        self.probe_at.is_some()
    }

    /// Reports whether a lost upstream is to be probed, and sets the time of the
    /// next probe.
    pub fn take_due_probe(&mut self, now: Instant) -> bool {
        let is_due = self.probe_at.is_some_and(|at| at <= now);
        if is_due {
            self.lose(now);
        }
        is_due
    }

    /// Records that the upstream takes connections again.
    pub fn mark_reachable(&mut self) {
        self.lost_in_a_row = 0;
        self.probe_at = None;
    }

    /// Slowness that remains of the last samples.
    fn faded(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.sampled).as_secs_f64();
        1.0 + (self.slowness - 1.0) * (-age / FADE.as_secs_f64()).exp()
    }

    fn sample(&mut self, now: Instant, value: f64, weight: f64) {
        self.slowness = self.faded(now) * (1.0 - weight) + value * weight;
        self.sampled = now;
    }

    fn lose(&mut self, now: Instant) {
        self.lost_in_a_row += 1;
        if self.lost_in_a_row >= SILENT_LEGS {
            let doublings = (self.lost_in_a_row - SILENT_LEGS).min(8);
            let pause = (PROBE_FIRST * 2_u32.pow(doublings)).min(PROBE_LONGEST);
            self.probe_at = Some(now + pause);
        }
    }
}

/// Divides a time by the usual one.
pub(crate) fn latency_ratio(time: Duration, typical: Duration) -> f64 {
    time.as_secs_f64() / typical.as_secs_f64().max(0.000_1)
}
