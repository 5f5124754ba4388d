use std::cell::Cell;
use std::time::{Duration, Instant};

/// Time after an outage of the store within which upstreams register again.
const REGISTER_AGAIN: Duration = Duration::from_millis(2_300);

/// Length of a disturbance of the store from which entries may have expired.
const OUTAGE: Duration = Duration::from_millis(700);

/// What this host's calls say of the store's condition.
#[derive(Debug, Default)]
pub(crate) struct StoreCondition {
    failing_since: Cell<Option<Instant>>,
    recovered: Cell<Option<Instant>>,
    answered: Cell<Option<Instant>>,
}

impl StoreCondition {
    /// Records a call that failed.
    pub(crate) fn record_failure(&self, now: Instant) {
        if self.failing_since.get().is_none() {
            log::info!("event=store_lost");
            self.failing_since.set(Some(now));
        }
    }

    /// Records an answer.
    pub(crate) fn record_success(&self, now: Instant) {
        self.answered.set(Some(now));
        if let Some(since) = self.failing_since.take() {
            let outage = now.saturating_duration_since(since);
            log::info!("event=store_regained outage_ms={}", outage.as_millis());
            if outage >= OUTAGE {
                self.recovered.set(Some(now));
            }
        }
    }

    /// Reports whether the last call failed.
    pub(crate) fn is_failing(&self) -> bool {
        self.failing_since.get().is_some()
    }

    /// Time since the last answer.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        let answered = self.answered.get()?;
        Some(now.saturating_duration_since(answered))
    }

    /// How much longer entries that disappeared may only have expired.
    pub(crate) fn grace(&self, now: Instant) -> Option<Duration> {
        let end = self.recovered.get()? + REGISTER_AGAIN;
        (end > now).then(|| end - now)
    }
}
