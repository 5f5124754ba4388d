use std::time::{Duration, Instant};

/// Longest rest after each request for one.
const MAX_REST: Duration = Duration::from_secs(24 * 60 * 60);

/// Time for which an upstream is held back after its first fault; it doubles with each further
/// one, up to the maximum.
const MIN_FAULT_HOLD: Duration = Duration::from_secs(2);
const MAX_FAULT_HOLD: Duration = Duration::from_secs(60);

/// Rest that an overloaded upstream has asked for in a refusal.
///
/// ```
/// use std::time::{Duration, Instant};
/// use cornelwinch_routing::RestPeriod;
///
/// let now = Instant::now();
/// let mut rest = RestPeriod::default();
/// rest.extend(now, Duration::from_secs(3));
/// rest.extend(now, Duration::from_secs(1)); // a shorter one does not end it
/// assert_eq!(rest.end(now), Some(now + Duration::from_secs(3)));
/// assert_eq!(rest.end(now + Duration::from_secs(3)), None);
/// ```
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct RestPeriod {
    until: Option<Instant>,
}

impl RestPeriod {
    /// Records that the upstream wants nothing for `time`.
    pub fn extend(&mut self, now: Instant, time: Duration) {
        self.until = self.until.max(Some(now + time.min(MAX_REST)));
    }

    /// Returns the end of the rest; `None` if there is none or it has passed.
    pub fn end(&self, now: Instant) -> Option<Instant> {
        self.until.filter(|until| now < *until)
    }
}

/// Holds back an upstream whose answers have no end. Each such answer costs memory and a share of
/// the host's link, so it is tried again after a growing time only.
///
/// ```
/// use std::time::{Duration, Instant};
/// use cornelwinch_routing::FaultHold;
///
/// let now = Instant::now();
/// let mut hold = FaultHold::default();
/// hold.record_fault(now);
/// assert!(hold.is_held(now));
/// assert!(!hold.is_held(now + Duration::from_secs(2)));
/// ```
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct FaultHold {
    until: Option<Instant>,
    time: Duration,
}

impl FaultHold {
    /// Records a fault. Faults of requests that were sent before the hold count as one.
    pub fn record_fault(&mut self, now: Instant) {
        if self.is_held(now) {
            return;
        }
        self.time = (self.time * 2).clamp(MIN_FAULT_HOLD, MAX_FAULT_HOLD);
        self.until = Some(now + self.time);
    }

    /// Records a sound answer, which ends the growth of the time.
    pub fn record_answer(&mut self) {
        self.time = Duration::ZERO;
    }

    /// Reports whether the upstream is held back.
    pub fn is_held(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}

/// What one run of an upstream has said of itself, or shown, that keeps requests away from it.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Withdrawal {
    /// The upstream has said that it leaves, which lasts as long as the run.
    pub(crate) is_leaving: bool,
    pub(crate) rest: RestPeriod,
    pub(crate) faults: FaultHold,
}

impl Withdrawal {
    pub(crate) fn is_withdrawn(&self, now: Instant) -> bool {
        self.is_leaving || self.rest.end(now).is_some() || self.faults.is_held(now)
    }
}
