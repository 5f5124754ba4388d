use std::time::{Duration, Instant};

use cornelwinch_types::{Name, SortedMap};

use crate::Route;

/// Half of the time for which the longest time budget of a route's callers is remembered.
const BUDGET_PERIOD: Duration = Duration::from_secs(10);

/// Number of routes whose time budgets are remembered.
const MAX_ROUTES: usize = 256;

#[derive(Debug, Clone, Copy)]
struct Budget {
    /// Longest budget in the current period and in the one before it.
    current: Duration,
    previous: Duration,
    period_end: Instant,
}

/// Estimates how long the callers of a route have waited already, in earlier attempts.
///
/// A caller states the time that it still waits. The longest one that was stated of late is the
/// budget of a first attempt, so what is missing to it has passed. The estimate answers a shortage:
/// callers that were refused return, and an answer that is late for them is worth little, while
/// others could still be answered in time.
///
/// ```
/// use std::time::{Duration, Instant};
/// use cornelwinch_routing::TimeBudgets;
///
/// let now = Instant::now();
/// let mut budgets = TimeBudgets::default();
/// let ms = Duration::from_millis;
/// assert_eq!(budgets.record(now, &"titles".into(), ms(400)), ms(0));
/// assert_eq!(budgets.record(now, &"titles".into(), ms(300)), ms(100));
/// ```
#[derive(Debug, Default)]
pub struct TimeBudgets {
    routes: SortedMap<Name, Budget>,
}

impl TimeBudgets {
    /// Records the time that a caller still waits, and returns the time that it has waited.
    pub fn record(&mut self, now: Instant, route: &Name, left: Duration) -> Duration {
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            return Duration::ZERO;
        }
        let budget = self.routes.get_or_insert_with(route.clone(), || Budget {
            current: left,
            previous: Duration::ZERO,
            period_end: now + BUDGET_PERIOD,
        });
        if now >= budget.period_end {
            let is_recent = now < budget.period_end + BUDGET_PERIOD;
            budget.previous = if is_recent { budget.current } else { left };
            budget.current = left;
            budget.period_end = now + BUDGET_PERIOD;
        }
        budget.current = budget.current.max(left);
        budget.current.max(budget.previous).saturating_sub(left)
    }

    /// Records the time that a caller still waits, and reports whether an answer after `typical`
    /// would be within the goal of the route.
    pub fn can_meet_goal(
        &mut self,
        now: Instant,
        route: &Route,
        left: Duration,
        typical: Duration,
    ) -> bool {
        self.record(now, &route.name, left) + typical <= route.goal
    }
}
