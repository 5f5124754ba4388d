use std::time::{Duration, Instant};

/// Time after the last leg of a priority for which a slot is reserved for it.
const RESERVE_TIME: Duration = Duration::from_secs(1);

/// Reservation of one slot for the most urgent priority in recent use.
///
/// Legs are not preempted. Without a free slot an urgent leg waits until a running
/// leg finishes, and a query waits for the slowest of its many legs. While an urgent
/// priority is in use, legs of lower priorities therefore leave one slot free.
#[derive(Debug, Default)]
pub(crate) struct Reserve {
    urgent: Option<(u8, Instant)>,
}

impl Reserve {
    /// Records the priority of a submitted leg.
    pub(crate) fn on_submit(&mut self, now: Instant, priority: u8) {
        let reserved_above = |(reserved, until): (u8, Instant)| now < until && reserved < priority;
        if !self.urgent.is_some_and(reserved_above) {
            self.urgent = Some((priority, now + RESERVE_TIME));
        }
    }

    /// Returns the maximum number of legs in flight for a leg of this priority, given
    /// the maximum for all priorities.
    pub(crate) fn max_in_flight(&self, now: Instant, priority: u8, max_in_flight: usize) -> usize {
        let reserved_above = |(reserved, until): (u8, Instant)| now < until && reserved < priority;
        if max_in_flight > 1 && self.urgent.is_some_and(reserved_above) {
            max_in_flight - 1
        } else {
            max_in_flight
        }
    }

    /// Ends a reservation that has expired.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.urgent.take_if(|(_, until)| *until <= now);
    }

    /// Returns the time at which the reservation expires.
    pub(crate) fn ends_at(&self) -> Option<Instant> {
        self.urgent.map(|(_, until)| until)
    }
}
