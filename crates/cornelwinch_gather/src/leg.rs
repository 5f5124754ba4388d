use std::time::Instant;

use cornelwinch_types::{AttemptId, LegAnswer, Name, Shard, Snapshot};

/// One shard of the query's snapshot and the attempts at it.
#[derive(Debug, Default)]
pub(crate) struct Leg {
    /// First valid answer.
    pub(crate) answer: Option<LegAnswer>,
    /// Attempts without a result.
    pub(crate) live: Vec<Live>,
    /// Replicas that refused or failed since the last round began.
    pub(crate) tried: Vec<Name>,
    /// Whether any attempt was sent; later ones are retries.
    pub(crate) started: bool,
    /// Rounds in which no replica was left; sets the delay of the next.
    pub(crate) rounds: u32,
    /// Refusals because of load.
    pub(crate) overloads: u32,
    /// Hedges sent for the present attempt.
    pub(crate) hedges: u32,
    /// Next attempt, when none is live.
    pub(crate) retry_at: Option<Instant>,
    /// Next hedge, while an attempt is live.
    pub(crate) hedge_at: Option<Instant>,
    /// No further attempt is made.
    pub(crate) given_up: bool,
}

/// An attempt without a result.
#[derive(Debug)]
pub(crate) struct Live {
    pub(crate) attempt: AttemptId,
    pub(crate) upstream: Name,
    pub(crate) sent: Instant,
    pub(crate) hedge: bool,
}

impl Leg {
    /// Reports whether the leg still needs an attempt.
    pub(crate) fn is_idle(&self) -> bool {
        self.answer.is_none() && self.live.is_empty() && !self.given_up
    }

    /// Returns the time of the next attempt or hedge.
    pub(crate) fn next_wake(&self) -> Option<Instant> {
        if self.is_idle() {
            self.retry_at
        } else if self.live.is_empty() {
            None
        } else {
            self.hedge_at
        }
    }

    /// Reports whether the leg can change the answer no more.
    pub(crate) fn is_settled(&self) -> bool {
        self.answer.is_some() || (self.given_up && self.live.is_empty())
    }

    /// Reports whether the upstream was tried in this round or is being tried.
    pub(crate) fn used(&self, upstream: &Name) -> bool {
        self.tried.contains(upstream) || self.live.iter().any(|live| live.upstream == *upstream)
    }
}

/// Reports whether an answer is the one that was asked for. An answer with
/// another number of documents than the shard's did not search the whole shard,
/// so its coverage could not be stated.
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
