use std::time::{Duration, Instant};

/// Gap between two turns from which messages may have waited longer than their
/// deadlines allow. It is shorter than the deadline of a query.
pub(crate) const PAUSE_GAP: Duration = Duration::from_millis(250);

/// Time after a pause in which requests from before its end still arrive: they
/// were in the buffers of sockets.
const BACKLOG_TIME: Duration = Duration::from_secs(1);

/// Age that requests may have because the process was paused.
///
/// A caller's request gives the time left when it was sent, and the host that
/// receives it cannot tell how long it waited. Unlike a peer, a caller cannot be
/// asked. After a pause a non-idempotent request therefore counts as old as the
/// pause: it may be refused although it is in time, but it never starts after
/// its deadline.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    age: Duration,
    until: Option<Instant>,
}

impl Backlog {
    /// Notes the time since the last turn.
    pub(crate) fn on_turn(&mut self, now: Instant, gap: Duration) {
        if gap > PAUSE_GAP {
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
