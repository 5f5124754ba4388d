use std::time::{Duration, Instant};

use cornelwinch_types::{AttemptId, LegFailure, LegRequest, LegResult};

use crate::queue::Waiter;

/// Time after its deadline for which a leg without an answer keeps its slot.
/// The upstream counts the budget from when it received the leg, at most a few
/// milliseconds later than the owner does.
pub(crate) const SLOT_GRACE: Duration = Duration::from_millis(5);
/// A leg that was sent and still occupies a slot.
#[derive(Debug)]
pub(crate) struct InFlight {
    pub(crate) attempt: AttemptId,
    pub(crate) req: LegRequest,
    pub(crate) waiters: Vec<Waiter>,
    pub(crate) sent_at: Instant,
    pub(crate) deadline: Instant,
    pub(crate) epoch: u64,
    pub(crate) run: u64,
    pub(crate) cancelled: bool,
}

/// Turns an answer to another request into a failure.
pub(crate) fn checked(leg: &InFlight, result: LegResult) -> LegResult {
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

/// Copies a result for one of the attempts that share it.
pub(crate) fn addressed(result: &LegResult, attempt: AttemptId) -> LegResult {
    let mut result = result.clone();
    if let LegResult::Answer(answer) = &mut result {
        answer.attempt = attempt;
    }
    result
}
