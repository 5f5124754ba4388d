use std::time::{Duration, Instant};

use crate::host::TURN_PERIOD;

/// Delay of a turn that is not taken for a pause.
const TURN_DELAY: Duration = Duration::from_millis(50);

/// Time after a pause in which requests from before its end still arrive: they
/// were in the buffers of sockets.
const BACKLOG_TIME: Duration = Duration::from_secs(1);

/// Age that requests may have because the process was paused.
///
/// A request gives the time left when it was sent, and the host that receives
/// it cannot tell how long it waited. After a pause a non-idempotent request
/// therefore counts as old as the pause: it may be refused although it is in
/// time, but it never starts after its deadline.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    age: Duration,
    until: Option<Instant>,
}

impl Backlog {
    /// Notes the time since the last turn.
    pub(crate) fn on_turn(&mut self, now: Instant, gap: Duration) {
        if gap > TURN_PERIOD + TURN_DELAY {
            self.age = self.age(now) + gap;
            self.until = Some(now + BACKLOG_TIME);
        }
    }

    /// Longest age of a request that arrives now.
    pub(crate) fn age(&self, now: Instant) -> Duration {
        match self.until {
            Some(until) if now < until => self.age,
            _ => Duration::ZERO,
        }
    }

    /// Time left for a request that had `budget` left when it was sent.
    pub(crate) fn left(&self, now: Instant, budget: Duration) -> Duration {
        budget.saturating_sub(self.age(now))
    }
}
