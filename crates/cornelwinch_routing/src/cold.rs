use std::collections::VecDeque;
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

/// Limits the requests that this host sends to one cold upstream within any second.
///
/// ```
/// use std::time::Instant;
/// use cornelwinch_routing::ColdRateLimiter;
///
/// let now = Instant::now();
/// let mut rate = ColdRateLimiter::default();
/// assert!(rate.take(now, 1));
/// assert!(!rate.take(now, 1));
/// ```
#[derive(Debug, Default, Clone)]
pub struct ColdRateLimiter {
    sent: VecDeque<Instant>,
}

impl ColdRateLimiter {
    /// Counts a request if fewer than `limit` were sent within the last second, and
    /// reports whether it was counted.
    pub fn take(&mut self, now: Instant, limit: usize) -> bool {
        let has_capacity = self.has_capacity(now, limit);
        if has_capacity {
            self.sent.push_back(now);
        }
        has_capacity
    }

    /// Reports whether [`take`](Self::take) would return true.
    pub fn has_capacity(&mut self, now: Instant, limit: usize) -> bool {
        while self
            .sent
            .front()
            .is_some_and(|at| now.saturating_duration_since(*at) > SECOND)
        {
            self.sent.pop_front();
        }
        self.sent.len() < limit
    }
}
