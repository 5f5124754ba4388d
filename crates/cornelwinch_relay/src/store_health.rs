use std::cell::Cell;
use std::time::{Duration, Instant};

use tokio::sync::{Mutex, MutexGuard, Notify};
use tokio::time::sleep;

use crate::dialect::ObjectKind;
use crate::feed_message::FED_KINDS;

/// Time after a store outage within which upstreams register again.
const REREGISTRATION_TIME: Duration = Duration::from_millis(2_300);

/// Shortest store outage during which registrations may have expired.
const MIN_OUTAGE: Duration = Duration::from_millis(700);

const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(700);

/// Turn of one task to call the store while it fails. The turn ends when this is dropped.
#[derive(Debug)]
pub(crate) struct RetryTurn<'a>(MutexGuard<'a, Duration>);

impl RetryTurn<'_> {
    /// Records that the store answered the call of this turn.
    pub(crate) fn succeed(mut self) {
        *self.0 = Duration::ZERO;
    }
}

/// Health of the store, derived from the results of this host's calls.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    failing_since: Cell<Option<Instant>>,
    recovered_at: Cell<Option<Instant>>,
    last_answer: Cell<Option<Instant>>,
    /// Time since which a kind has to be listed, by kind.
    unlisted_since: [Cell<Option<Instant>>; FED_KINDS.len()],
    /// Notified when a probe finds that the store cannot be reached.
    lost: Notify,
    /// Last pause before a call while the store fails; zero before the first one. Locked by the task
    /// whose turn it is.
    retry_pause: Mutex<Duration>,
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
        self.last_answer.set(self.last_answer.get().max(Some(now)));
        if let Some(since) = self.failing_since.take() {
            let outage = now.saturating_duration_since(since);
            log::info!("event=store_regained outage_ms={}", outage.as_millis());
            if outage >= MIN_OUTAGE {
                self.recovered_at.set(Some(now));
            }
        }
    }

    /// Records a failed probe, and ends the watches, which may hang on dead connections.
    pub(crate) fn record_loss(&self, now: Instant) {
        self.record_failure(now);
        self.lost.notify_waiters();
    }

    /// Waits until a probe finds that the store cannot be reached.
    pub(crate) async fn lost(&self) {
        self.lost.notified().await;
    }

    /// Waits after a failed call until the task may call the store again. While the store fails,
    /// only one task at a time pauses and calls, since each call has a cost; the others get their
    /// turn after it. No task relies on the calls of another one, which may all be waiting watches.
    /// Returns `None` if the store has answered meanwhile.
    pub(crate) async fn retry_turn(&self, jitter: f64) -> Option<RetryTurn<'_>> {
        let mut pause = self.retry_pause.lock().await;
        if !self.is_failing() {
            *pause = Duration::ZERO;
            return None;
        }
        *pause = (*pause * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        sleep(pause.mul_f64(jitter)).await;
        Some(RetryTurn(pause))
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

    /// Records that this host's copy of a kind is no longer kept up to date by a watch.
    pub(crate) fn record_unlisted(&self, kind: ObjectKind, now: Instant) {
        let since = &self.unlisted_since[kind as usize];
        since.set(since.get().or(Some(now)));
    }

    /// Records that this host's copy of a kind is complete.
    pub(crate) fn record_listed(&self, kind: ObjectKind) {
        self.unlisted_since[kind as usize].set(None);
    }

    /// Returns the age of this host's copy of the store. Answers about one kind do not renew a kind
    /// that still has to be listed.
    pub(crate) fn knowledge_age(&self, now: Instant) -> Option<Duration> {
        let answered = self.time_since_answer(now)?;
        let unlisted = self.unlisted_since.iter().filter_map(Cell::get).min();
        Some(
            answered
                .max(unlisted.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))),
        )
    }

    /// Returns for how much longer a missing entry may be one that merely expired during an outage.
    /// Returns `None` if a missing entry means that the upstream left.
    pub(crate) fn removal_grace(&self, now: Instant) -> Option<Duration> {
        let end = self.recovered_at.get()? + REREGISTRATION_TIME;
        (end > now).then(|| end - now)
    }
}
