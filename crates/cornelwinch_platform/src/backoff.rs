use std::thread;
use std::time::{Duration, Instant};

/// First upper bound of a pause between two attempts.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
/// Highest upper bound of a pause between two attempts.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Pauses between attempts, bounded by a deadline.
///
/// A pause is uniform between zero and a bound that doubles, so that clients
/// that failed together do not return together.
#[derive(Debug)]
pub(crate) struct Backoff {
    deadline: Instant,
    bound: Duration,
}

impl Backoff {
    pub(crate) fn until(deadline: Instant) -> Self {
        Self {
            deadline,
            bound: FIRST_PAUSE,
        }
    }

    /// Time left until the deadline.
    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Sleeps before the next attempt; returns false, without a pause, if the
    /// deadline would pass meanwhile.
    pub(crate) fn pause(&mut self) -> bool {
        let pause = self.bound.mul_f64(fastrand::f64());
        self.bound = (self.bound * 2).min(LONGEST_PAUSE);
        if pause >= self.left() {
            return false;
        }
        thread::sleep(pause);
        true
    }
}
