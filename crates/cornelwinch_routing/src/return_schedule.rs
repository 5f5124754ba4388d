use std::time::{Duration, Instant};

/// Time constant of the estimated rate at which requests are answered.
const RATE_TIME: Duration = Duration::from_millis(500);

/// Share of the answered requests whose room is offered to callers that return.
const RETURN_RATIO: f64 = 0.5;

/// Shortest time after which a caller returns.
const MIN_RETURN_TIME: Duration = Duration::from_millis(50);

/// Times at which refused callers are told to return.
///
/// It answers bursts and callers that repeat at once: if all of them returned after the same time,
/// they would arrive together and be refused again. Returns are spaced by the rate at which
/// requests are answered, in the order of the refusals. Callers that cannot wait until their turn
/// are spread over the time that they have.
///
/// ```
/// use std::time::{Duration, Instant};
/// use cornelwinch_routing::ReturnSchedule;
///
/// let now = Instant::now();
/// let mut schedule = ReturnSchedule::default();
/// let longest = Duration::from_secs(1);
/// let first = schedule.next_return(now, longest);
/// assert_ne!(schedule.next_return(now, longest), first);
/// ```
#[derive(Debug, Default)]
pub struct ReturnSchedule {
    /// Answered requests per second, as of `updated_at`.
    rate: f64,
    updated_at: Option<Instant>,
    /// Time of the last promised return.
    last_return: Option<Instant>,
}

impl ReturnSchedule {
    /// Records that a request was answered.
    pub fn record_answer(&mut self, now: Instant) {
        self.rate = self.rate_at(now) + 1.0 / RATE_TIME.as_secs_f64();
        self.updated_at = Some(now);
    }

    /// Returns the time after which the next refused caller returns, which is at most `longest`
    /// unless that is less than the shortest time.
    pub fn next_return(&mut self, now: Instant, longest: Duration) -> Duration {
        let first = now + MIN_RETURN_TIME;
        let last = now + longest.max(MIN_RETURN_TIME);
        let offered = self.rate_at(now) * RETURN_RATIO;
        let gap = Duration::from_secs_f64(1.0 / offered.max(1.0 / RATE_TIME.as_secs_f64()));
        let next = self.last_return.map_or(first, |at| (at + gap).max(first));
        let next = if next <= last {
            next
        } else {
            // All turns are taken: the callers share them, starting again with the first.
            let span = (last - first).as_secs_f64().max(f64::MIN_POSITIVE);
            first + Duration::from_secs_f64((next - first).as_secs_f64() % span)
        };
        self.last_return = Some(next);
        next - now
    }

    fn rate_at(&self, now: Instant) -> f64 {
        let age = self
            .updated_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.rate * (-age.as_secs_f64() / RATE_TIME.as_secs_f64()).exp()
    }
}
