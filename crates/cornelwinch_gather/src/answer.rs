use cornelwinch_types::{Hit, KeyRange, Outcome, QueryId, Snapshot, SnapshotId};

use crate::leg::Leg;

/// Why an answer is not complete, or why a query did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerReason {
    /// The answer covers less than the smallest coverage of its class.
    InsufficientCoverage,
    /// The request is quarantined because it has crashed upstreams.
    Quarantined,
    /// The deadline passed before anything was sent.
    DeadlinePassed,
    /// The search has no usable snapshot.
    NoSnapshot,
    /// No upstream in service holds any shard.
    NoReplica,
    /// Every attempt was refused because of load.
    Overloaded,
    /// The merged legs contradicted each other; none of their hits are returned.
    Inconsistent,
}

/// Result of one query.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// Id of the query.
    pub query: QueryId,
    /// `Done` if any leg was merged, `NotRun` only if no attempt can have run.
    pub outcome: Outcome,
    /// Snapshot that every merged leg came from.
    pub snapshot: Option<SnapshotId>,
    /// Share of the snapshot's documents in the covered ranges, from 0 to 1.
    pub coverage: f64,
    /// Number of documents in the covered ranges.
    pub documents_covered: u64,
    /// Number of documents in the snapshot.
    pub documents_total: u64,
    /// Key ranges of the merged legs, with adjacent ranges joined.
    pub covered: Vec<KeyRange>,
    /// Key ranges of the other legs, with adjacent ranges joined.
    pub missing: Vec<KeyRange>,
    /// Hits of all merged legs, by ascending key.
    pub hits: Vec<Hit>,
    /// Number of attempts sent, including hedges.
    pub attempts: u32,
    /// Number of hedges sent.
    pub hedges: u32,
    /// Why the answer covers less than its class requires, or `None` if it covers enough.
    pub reason: Option<AnswerReason>,
}

impl Answer {
    /// Creates an answer without any merged leg.
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

/// Documents, key ranges and hits of the merged legs.
#[derive(Debug)]
pub(crate) struct MergedLegs {
    pub(crate) documents: u64,
    pub(crate) covered: Vec<KeyRange>,
    pub(crate) missing: Vec<KeyRange>,
    pub(crate) hits: Vec<Hit>,
}

/// Merges the answered legs of one snapshot and checks the result.
///
/// # Errors
///
/// Describes the contradiction: legs of several snapshots, overlapping ranges, hits outside the
/// range of their leg, or document counts that do not add up.
pub(crate) fn merge(snapshot: &Snapshot, legs: &mut [Leg]) -> Result<MergedLegs, String> {
    let mut merge = MergedLegs {
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
    let key_count = |ranges: &[KeyRange]| ranges.iter().map(|r| r.end - r.start).sum::<u64>();
    let shard_keys: u64 = snapshot
        .shards
        .iter()
        .map(|shard| shard.range.end - shard.range.start)
        .sum();
    if key_count(&merge.covered) + key_count(&merge.missing) != shard_keys {
        return Err(format!(
            "covered={:?} missing={:?}",
            merge.covered, merge.missing
        ));
    }
    Ok(merge)
}

/// Returns the share of the documents that is covered. A snapshot without documents counts as
/// covered only if it is complete.
pub(crate) fn coverage_ratio(covered: u64, total: u64, complete: bool) -> f64 {
    if complete {
        1.0
    } else if total == 0 {
        0.0
    } else {
        covered as f64 / total as f64
    }
}

/// Appends a range that follows all others, joined with the last one if adjacent.
fn push_joined(ranges: &mut Vec<KeyRange>, range: KeyRange) {
    match ranges.last_mut() {
        Some(last) if last.end == range.start => last.end = range.end,
        _ => ranges.push(range),
    }
}
