use std::time::{Duration, Instant};

/// Least share of a priority's requests that is admitted, so that the end of an
/// overload is noticed.
const LEVEL_MIN: f64 = 0.02;

/// Factor on the admitted share after a request that found too much load.
const DECREASE: f64 = 0.7;

/// Step of the admitted share after a request that was served in full.
const INCREASE: f64 = 0.02;

/// Shortest time between two decreases: requests that were admitted before a
/// decrease still show the load of that time.
const DECREASE_PERIOD: Duration = Duration::from_millis(200);

/// Shortest time between two increases.
const INCREASE_PERIOD: Duration = Duration::from_millis(100);

/// Time after its last request for which a priority counts as in use.
const IN_USE_TIME: Duration = Duration::from_secs(2);

#[derive(Debug, Clone)]
struct Level {
    priority: u8,
    /// Share of the requests that is admitted.
    admitted: f64,
    /// Part of a request carried over, so that the share is met exactly.
    credit: f64,
    last_used: Instant,
}

/// Refuses whole requests of the lowest priorities while the upstreams refuse
/// legs because of load.
///
/// A query that loses some of its legs to load has wasted the others. So the
/// share of queries that start is lowered, the lowest priority in use first,
/// until those that start are served in full.
///
/// ```
/// use std::time::Instant;
/// use cornelwinch_admission::Overload;
///
/// let now = Instant::now();
/// let mut overload = Overload::default();
/// assert!(overload.admit(now, 0) && overload.admit(now, 5));
/// overload.on_overloaded(now);
/// assert!(overload.admit(now, 0));
/// assert!(!overload.admit(now, 5));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Overload {
    /// By priority.
    levels: Vec<Level>,
    next_decrease: Option<Instant>,
    next_increase: Option<Instant>,
}

impl Overload {
    /// Decides whether a request of this priority may start.
    pub fn admit(&mut self, now: Instant, priority: u8) -> bool {
        let i = match self.levels.binary_search_by_key(&priority, |l| l.priority) {
            Ok(i) => i,
            Err(i) => {
                let level = Level {
                    priority,
                    admitted: 1.0,
                    credit: 0.0,
                    last_used: now,
                };
                self.levels.insert(i, level);
                i
            }
        };
        let level = &mut self.levels[i];
        level.last_used = now;
        level.credit += level.admitted;
        let admitted = level.credit >= 1.0;
        if admitted {
            level.credit -= 1.0;
        }
        admitted
    }

    /// A request ended incomplete because legs were refused for load.
    pub fn on_overloaded(&mut self, now: Instant) {
        if self.next_decrease.is_some_and(|at| now < at) {
            return;
        }
        let in_use = |l: &&mut Level| now < l.last_used + IN_USE_TIME && l.admitted > LEVEL_MIN;
        if let Some(level) = self.levels.iter_mut().rev().find(in_use) {
            level.admitted = (level.admitted * DECREASE).max(LEVEL_MIN);
            self.next_decrease = Some(now + DECREASE_PERIOD);
        }
    }

    /// A request was served in full.
    pub fn on_served(&mut self, now: Instant) {
        if self.next_increase.is_some_and(|at| now < at) {
            return;
        }
        if let Some(level) = self.levels.iter_mut().find(|l| l.admitted < 1.0) {
            level.admitted = (level.admitted + INCREASE).min(1.0);
            self.next_increase = Some(now + INCREASE_PERIOD);
        }
    }

    /// Share of a priority's requests that is admitted.
    pub fn admitted(&self, priority: u8) -> f64 {
        self.levels
            .binary_search_by_key(&priority, |l| l.priority)
            .map_or(1.0, |i| self.levels[i].admitted)
    }
}
