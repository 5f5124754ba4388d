use std::time::{Duration, Instant};

use cornelwinch_types::{AttemptId, LegFailure, LegRequest, LegResult};

use crate::queue::Waiter;

/// Time after its deadline for which an unanswered leg keeps its slot. The budget
/// starts at the upstream when the leg arrives there, up to a few milliseconds
/// later than at the owner.
pub(crate) const SLOT_GRACE: Duration = Duration::from_millis(5);

/// A leg that was sent to the upstream and occupies a slot.
#[derive(Debug)]
pub(crate) struct InFlight {
    pub(crate) attempt: AttemptId,
    pub(crate) req: LegRequest,
    pub(crate) waiters: Vec<Waiter>,
    pub(crate) sent_at: Instant,
    pub(crate) deadline: Instant,
    pub(crate) epoch: u64,
    pub(crate) restart_count: u64,
    pub(crate) cancelled: bool,
}

/// Replaces an answer that does not match the request of the leg by a failure.
pub(crate) fn reject_mismatched(leg: &InFlight, result: LegResult) -> LegResult {
    match result {
        LegResult::Answer(answer)
            if answer.attempt != leg.attempt
                || answer.snapshot != leg.req.snapshot
                || answer.range != leg.req.range =>
        {
            LegResult::Failed(LegFailure::Mismatched)
        }
        result => result,
    }
}

/// Copies the result of a shared execution and sets the attempt it answers.
pub(crate) fn with_attempt(result: &LegResult, attempt: AttemptId) -> LegResult {
    let mut result = result.clone();
    if let LegResult::Answer(answer) = &mut result {
        answer.attempt = attempt;
    }
    result
}
