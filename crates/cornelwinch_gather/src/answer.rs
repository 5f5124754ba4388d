use cornelwinch_types::{Hit, KeyRange, Outcome, QueryId, Snapshot, SnapshotId};

use crate::leg::Leg;

/// Why an answer is not complete, or why a query did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerReason {
    /// The answer covers less than the smallest coverage of its class.
    InsufficientCoverage,
    /// The request has crashed upstreams.
    Quarantined,
    /// The deadline passed before anything was sent.
    DeadlinePassed,
    /// The search has no usable snapshot.
    NoSnapshot,
    /// No upstream in service holds any shard.
    NoReplica,
    /// Every attempt was refused because of load.
    Overloaded,
    /// The merged legs contradicted each other; nothing of them is returned.
    Inconsistent,
}

/// Result of one query.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// Number of the query.
    pub query: QueryId,
    /// `Done` if any leg was merged, `NotRun` only if no attempt can have run.
    pub outcome: Outcome,
    /// Snapshot that every merged leg came from.
    pub snapshot: Option<SnapshotId>,
    /// Share of the snapshot's documents in the covered ranges.
    pub coverage: f64,
    /// Documents in the covered ranges.
    pub documents_covered: u64,
    /// Documents of the snapshot.
    pub documents_total: u64,
    /// Ranges of the merged legs, adjacent ranges joined.
    pub covered: Vec<KeyRange>,
    /// Ranges of the other legs, adjacent ranges joined.
    pub missing: Vec<KeyRange>,
    /// Rows of all merged legs, by ascending key.
    pub hits: Vec<Hit>,
    /// Attempts sent, with hedges.
    pub attempts: u32,
    /// Hedges sent.
    pub hedges: u32,
    /// Why the answer is incomplete, if it is not as its class allows.
    pub reason: Option<AnswerReason>,
}

impl Answer {
    /// Makes an answer without any merged leg.
    pub(crate) fn empty(query: QueryId, outcome: Outcome, reason: AnswerReason) -> Self {
        Self {
            query,
            outcome,
            snapshot: None,
            coverage: 0.0,
            documents_covered: 0,
            documents_total: 0,
            covered: Vec::new(),
            missing: Vec::new(),
            hits: Vec::new(),
            attempts: 0,
            hedges: 0,
            reason: Some(reason),
        }
    }
}

/// Documents, ranges and rows of the merged legs.
#[derive(Debug)]
pub(crate) struct Merge {
    pub(crate) documents: u64,
    pub(crate) covered: Vec<KeyRange>,
    pub(crate) missing: Vec<KeyRange>,
    pub(crate) hits: Vec<Hit>,
}

/// Merges the answered legs of one snapshot and checks the result.
///
/// # Errors
///
/// Returns what contradicts: legs of several snapshots, overlapping ranges,
/// rows outside their leg's range, or documents that do not add up.
pub(crate) fn merge(snapshot: &Snapshot, legs: &mut [Leg]) -> Result<Merge, String> {
    let mut merge = Merge {
        documents: 0,
        covered: Vec::new(),
        missing: Vec::new(),
        hits: Vec::new(),
    };
    let mut missing_documents = 0;
    let mut last: Option<KeyRange> = None;
    for (leg, shard) in legs.iter_mut().zip(&snapshot.shards) {
        let Some(answer) = leg.answer.take() else {
            missing_documents += shard.documents;
            push_joined(&mut merge.missing, shard.range);
            continue;
        };
        if answer.snapshot != snapshot.id {
            return Err(format!(
                "snapshot={} leg_snapshot={}",
                snapshot.id, answer.snapshot
            ));
        }
        if answer.range.is_empty() || last.is_some_and(|r| r.end > answer.range.start) {
            return Err(format!("range={} previous={last:?}", answer.range));
        }
        if let Some(hit) = answer
            .hits
            .iter()
            .find(|hit| !answer.range.contains(hit.key))
        {
            return Err(format!("range={} hit_key={}", answer.range, hit.key));
        }
        last = Some(answer.range);
        merge.documents += answer.documents;
        push_joined(&mut merge.covered, answer.range);
        merge.hits.extend(answer.hits);
    }
    let total = snapshot.documents();
    if merge.documents + missing_documents != total {
        return Err(format!(
            "documents_covered={} documents_missing={missing_documents} documents_total={total}",
            merge.documents
        ));
    }
    let keys = |ranges: &[KeyRange]| ranges.iter().map(|r| r.end - r.start).sum::<u64>();
    let of_shards: u64 = snapshot
        .shards
        .iter()
        .map(|shard| shard.range.end - shard.range.start)
        .sum();
    if keys(&merge.covered) + keys(&merge.missing) != of_shards {
        return Err(format!(
            "covered={:?} missing={:?}",
            merge.covered, merge.missing
        ));
    }
    Ok(merge)
}

/// Share of the documents that is covered; without any document, whether all
/// ranges are.
pub(crate) fn share(covered: u64, total: u64, complete: bool) -> f64 {
    if complete {
        1.0
    } else if total == 0 {
        0.0
    } else {
        covered as f64 / total as f64
    }
}

/// Adds a range that follows all others, joined with the last if adjacent.
fn push_joined(ranges: &mut Vec<KeyRange>, range: KeyRange) {
    match ranges.last_mut() {
        Some(last) if last.end == range.start => last.end = range.end,
        _ => ranges.push(range),
    }
}
