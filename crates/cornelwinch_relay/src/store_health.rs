use std::cell::Cell;
use std::time::{Duration, Instant};

/// Time after a store outage within which upstreams register again.
const REREGISTRATION_TIME: Duration = Duration::from_millis(2_300);

/// Shortest store outage during which registrations may have expired.
const MIN_OUTAGE: Duration = Duration::from_millis(700);

/// Health of the store, derived from the results of this host's calls.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    failing_since: Cell<Option<Instant>>,
    recovered_at: Cell<Option<Instant>>,
    last_answer: Cell<Option<Instant>>,
}

impl StoreHealth {
    /// Records a failed call.
    pub(crate) fn record_failure(&self, now: Instant) {
        if self.failing_since.get().is_none() {
            log::info!("event=store_lost");
            self.failing_since.set(Some(now));
        }
    }

    /// Records a successful call.
    pub(crate) fn record_success(&self, now: Instant) {
        self.last_answer.set(Some(now));
        if let Some(since) = self.failing_since.take() {
            let outage = now.saturating_duration_since(since);
            log::info!("event=store_regained outage_ms={}", outage.as_millis());
            if outage >= MIN_OUTAGE {
                self.recovered_at.set(Some(now));
            }
        }
    }

    /// Returns true if the last call failed.
    pub(crate) fn is_failing(&self) -> bool {
        self.failing_since.get().is_some()
    }

    /// Returns the time since the last successful call.
    pub(crate) fn time_since_answer(&self, now: Instant) -> Option<Duration> {
        let answered = self.last_answer.get()?;
        Some(now.saturating_duration_since(answered))
    }

    /// Returns for how much longer a missing entry may be one that merely expired during an outage.
    /// Returns `None` if a missing entry means that the upstream left.
    pub(crate) fn removal_grace(&self, now: Instant) -> Option<Duration> {
        let end = self.recovered_at.get()? + REREGISTRATION_TIME;
        (end > now).then(|| end - now)
    }
}
