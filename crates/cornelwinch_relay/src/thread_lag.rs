use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use tokio::time::sleep_until;

use crate::shared::Shared;

/// Interval between two checks while legs are in flight.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Lag that is due to the resolution of timers.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);

/// Time by which the thread was late, from timers that run while legs are in flight.
#[derive(Debug, Default)]
pub(crate) struct ThreadLag {
    legs: Cell<usize>,
    /// Time at which the current timer is due.
    due: Cell<Option<Instant>>,
    /// Sum of all lags.
    total: Cell<Duration>,
    started: Notify,
}

/// Lag of the thread at the start of a leg.
#[derive(Debug)]
pub(crate) struct LegLag {
    total: Duration,
}

impl ThreadLag {
    /// Counts a leg that starts.
    pub(crate) fn start_leg(&self) -> LegLag {
        if self.legs.replace(self.legs.get() + 1) == 0 {
            self.started.notify_one();
        }
        LegLag {
            total: self.total.get(),
        }
    }

    /// Counts a leg that ends, and returns the time by which the thread was late in between.
    pub(crate) fn end_leg(&self, now: Instant, leg: &LegLag) -> Duration {
        self.legs.set(self.legs.get() - 1);
        self.total.get() - leg.total + self.current(now)
    }

    fn current(&self, now: Instant) -> Duration {
        self.due
            .get()
            .map_or(Duration::ZERO, |due| now.saturating_duration_since(due))
            .saturating_sub(TIMER_RESOLUTION)
    }
}

/// Measures the lag of the thread while legs are in flight.
pub(crate) async fn measure_lag(shared: Rc<Shared>) {
    let lag = &shared.thread_lag;
    loop {
        if lag.legs.get() == 0 {
            lag.due.set(None);
            lag.started.notified().await;
        }
        let due = Instant::now() + CHECK_INTERVAL;
        lag.due.set(Some(due));
        sleep_until(due.into()).await;
        lag.total.set(lag.total.get() + lag.current(Instant::now()));
    }
}
