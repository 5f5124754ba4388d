use cornelwinch_types::{
    AttemptId, Hit, KeyRange, LegAnswer, LegFailure, LegRequest, LegResult, Refusal, SnapshotId,
    UpstreamObservation,
};
use serde::{Deserialize, Serialize};

#[derive(Debug, Deserialize)]
struct Health {
    state: String,
}

#[derive(Debug, Serialize)]
struct LegBody<'a> {
    attempt: AttemptId,
    search: &'a str,
    snapshot: SnapshotId,
    range: KeyRange,
    body: &'a str,
    deadline_ms: u64,
    idempotent: bool,
}

#[derive(Debug, Deserialize)]
struct ErrorBody {
    attempt: Option<AttemptId>,
    restart: Option<u64>,
    error: Option<String>,
    #[serde(default)]
    held: Vec<SnapshotId>,
    started: Option<bool>,
}

#[derive(Debug, Deserialize)]
struct AnswerBody {
    attempt: AttemptId,
    restart: Option<u64>,
    snapshot: SnapshotId,
    range: KeyRange,
    documents: u64,
    hits: Vec<Hit>,
}

/// Encodes a leg for an upstream that is given this much time.
pub(crate) fn encode_leg(leg: &LegRequest, left: std::time::Duration) -> Vec<u8> {
    let body = LegBody {
        attempt: leg.attempt,
        search: &leg.search,
        snapshot: leg.snapshot,
        range: leg.range,
        body: &leg.body,
        deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1),
        idempotent: leg.idempotent,
    };
    serde_json::to_vec(&body).expect("legs can be encoded")
}

/// Reports whether an upstream says that it is leaving; `None` if its answer
/// cannot be read.
pub(crate) fn read_leaving(text: &[u8]) -> Option<bool> {
    let health: Health = serde_json::from_slice(text).ok()?;
    Some(health.state == "draining")
}

/// Reads the answer to a leg.
pub(crate) fn read_result(
    leg: &LegRequest,
    status: u16,
    text: &[u8],
    signs: &mut UpstreamObservation,
) -> LegResult {
    if status == 200 {
        read_answer(leg, text, signs)
    } else {
        read_error(leg, status, text, signs)
    }
}

fn read_answer(leg: &LegRequest, text: &[u8], signs: &mut UpstreamObservation) -> LegResult {
    let Ok(body) = serde_json::from_slice::<AnswerBody>(text) else {
        return LegResult::Failed(LegFailure::Upstream);
    };
    signs.restart_id = body.restart;
    let answer = LegAnswer {
        attempt: body.attempt,
        snapshot: body.snapshot,
        range: body.range,
        documents: body.documents,
        hits: body.hits,
    };
    let matches = answer.attempt == leg.attempt
        && answer.snapshot == leg.snapshot
        && answer.range == leg.range
        && answer.hits.iter().all(|hit| leg.range.contains(hit.key));
    if matches {
        LegResult::Answer(answer)
    } else {
        LegResult::Failed(LegFailure::Mismatched)
    }
}

fn read_error(
    leg: &LegRequest,
    status: u16,
    text: &[u8],
    signs: &mut UpstreamObservation,
) -> LegResult {
    let Ok(body) = serde_json::from_slice::<ErrorBody>(text) else {
        return LegResult::Failed(LegFailure::Upstream);
    };
    signs.restart_id = body.restart;
    if body.attempt != Some(leg.attempt) {
        return LegResult::Failed(LegFailure::Mismatched);
    }
    match (status, body.error.as_deref()) {
        (409, Some("snapshot_missing")) => {
            LegResult::Refused(Refusal::SnapshotMissing { held: body.held })
        }
        (429, Some("shed")) => LegResult::Refused(Refusal::Shed),
        (503, Some("draining")) => {
            signs.leaving = true;
            LegResult::Refused(Refusal::Leaving)
        }
        (504, _) if body.started == Some(false) => LegResult::Refused(Refusal::DeadlinePassed),
        (504, _) => LegResult::Failed(LegFailure::TimedOut),
        _ => LegResult::Failed(LegFailure::Upstream),
    }
}
