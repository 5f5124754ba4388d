use std::time::{Duration, Instant};

/// Time after its last leg for which a priority keeps a slot free of lower ones.
const RESERVE_TIME: Duration = Duration::from_secs(1);

/// The most urgent priority that has been in use of late.
///
/// Legs are not interrupted, so without a free slot an urgent leg waits for the
/// rest of a running one, and a query waits for the longest of many such waits.
/// While an urgent priority is in use, lower ones leave one slot free.
#[derive(Debug, Default)]
pub(crate) struct Reserve {
    urgent: Option<(u8, Instant)>,
}

impl Reserve {
    /// Notes the priority of a submitted leg.
    pub(crate) fn on_leg(&mut self, now: Instant, priority: u8) {
        let less_urgent = |(held, until): (u8, Instant)| now < until && held < priority;
        if !self.urgent.is_some_and(less_urgent) {
            self.urgent = Some((priority, now + RESERVE_TIME));
        }
    }

    /// Legs of this priority that may be in flight where `cap` may in all.
    pub(crate) fn cap(&self, now: Instant, priority: u8, cap: usize) -> usize {
        let held_back = |(held, until): (u8, Instant)| now < until && held < priority;
        if cap > 1 && self.urgent.is_some_and(held_back) {
            cap - 1
        } else {
            cap
        }
    }

    /// Forgets a priority that is no longer in use.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.urgent.take_if(|(_, until)| *until <= now);
    }

    /// Time at which the free slot may be used by any leg.
    pub(crate) fn ends_at(&self) -> Option<Instant> {
        self.urgent.map(|(_, until)| until)
    }
}
