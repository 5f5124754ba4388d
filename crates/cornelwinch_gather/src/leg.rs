use std::time::Instant;

use cornelwinch_types::{AttemptId, LegAnswer, Name, Shard, Snapshot};

/// Part of a query that runs on one shard, with its attempts.
#[derive(Debug, Default)]
pub(crate) struct Leg {
    /// First valid answer.
    pub(crate) answer: Option<LegAnswer>,
    /// Attempts whose result is outstanding.
    pub(crate) in_flight: Vec<InFlightAttempt>,
    /// Replicas that refused or failed in the current round.
    pub(crate) tried: Vec<Name>,
    /// Whether an attempt was sent; further ones are retries.
    pub(crate) started: bool,
    /// Number of delayed rounds; it sets the delay of the next one.
    pub(crate) rounds: u32,
    /// Number of refusals because of load.
    pub(crate) overload_refusals: u32,
    /// Number of hedges sent for the current attempt.
    pub(crate) hedges: u32,
    /// Time of the next attempt, when none is in flight.
    pub(crate) retry_at: Option<Instant>,
    /// Time of the next hedge, while an attempt is in flight.
    pub(crate) hedge_at: Option<Instant>,
    /// Whether the leg has failed for good and gets no further attempt.
    pub(crate) failed: bool,
}

/// An attempt whose result is outstanding.
#[derive(Debug)]
pub(crate) struct InFlightAttempt {
    pub(crate) attempt: AttemptId,
    pub(crate) upstream: Name,
    pub(crate) sent: Instant,
    pub(crate) hedge: bool,
}

impl Leg {
    /// Reports whether the leg still needs an attempt.
    pub(crate) fn is_idle(&self) -> bool {
        self.answer.is_none() && self.in_flight.is_empty() && !self.failed
    }

    /// Returns the time of the next attempt or hedge.
    pub(crate) fn next_wake(&self) -> Option<Instant> {
        if self.is_idle() {
            self.retry_at
        } else if self.in_flight.is_empty() {
            None
        } else {
            self.hedge_at
        }
    }

    /// Reports whether the leg can no longer change the answer of the query.
    pub(crate) fn is_settled(&self) -> bool {
        self.answer.is_some() || (self.failed && self.in_flight.is_empty())
    }

    /// Reports whether the upstream was tried in this round or is being tried.
    pub(crate) fn has_tried(&self, upstream: &Name) -> bool {
        self.tried.contains(upstream)
            || self
                .in_flight
                .iter()
                .any(|pending| pending.upstream == *upstream)
    }
}

/// Reports whether an answer matches its attempt, snapshot and shard. An answer whose document
/// count differs from the shard's did not search the whole shard, so its coverage is unknown.
pub(crate) fn is_valid(
    snapshot: &Snapshot,
    shard: &Shard,
    attempt: AttemptId,
    answer: &LegAnswer,
) -> bool {
    answer.attempt == attempt
        && answer.snapshot == snapshot.id
        && answer.range == shard.range
        && answer.documents == shard.documents
        && answer.hits.iter().all(|hit| shard.range.contains(hit.key))
        && answer.hits.is_sorted_by_key(|hit| hit.key)
}
