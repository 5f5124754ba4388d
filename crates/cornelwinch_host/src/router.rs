use std::time::Instant;

use cornelwinch_types::{
    AttemptId, LegFailure, LegRequest, LegResult, Name, QueryId, Refusal, SortedMap,
};

use crate::silence::OwnerActivity;
use crate::{LegBatch, LegRef, PeerMessage};

/// Legs that may be outstanding at one owner. More are refused here: the owner
/// is frozen or far behind, and its queue would only hold expired work.
const OUTSTANDING_PER_OWNER: usize = 4_096;

/// What a leg was sent for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LegOrigin {
    /// A query of this host.
    Query(QueryId),
    /// The run of a non-idempotent request of this host.
    Run(u64),
}

#[derive(Debug)]
struct Routed {
    leg: LegRequest,
    deadline: Instant,
    owner: Name,
    origin: LegOrigin,
    redirected: bool,
}

/// A result on its way to the query or ticket that asked for it.
#[derive(Debug)]
pub(crate) struct Delivery {
    pub(crate) origin: LegOrigin,
    pub(crate) attempt: AttemptId,
    pub(crate) result: LegResult,
}

/// What to do with a result that arrived.
#[derive(Debug)]
pub(crate) enum ResultRoute {
    /// The attempt is not outstanding: a late or repeated result.
    Drop(LegResult),
    /// Hand the result over.
    Deliver(Delivery),
    /// Send the leg to the owner that the refusing host named.
    Redirect {
        leg: LegRequest,
        origin: LegOrigin,
        owner: Name,
    },
}

/// Legs that this host sent to owners, and the messages that carry them.
#[derive(Debug, Default)]
pub(crate) struct LegRouter {
    routed: SortedMap<AttemptId, Routed>,
    activity: OwnerActivity,
    outbox: Vec<(Name, PeerMessage)>,
}

impl LegRouter {
    /// Number of legs without a result.
    pub(crate) fn outstanding(&self) -> usize {
        self.routed.len()
    }

    /// Records a leg for an owner, or tells why it cannot be sent.
    pub(crate) fn record(
        &mut self,
        now: Instant,
        leg: &LegRequest,
        origin: LegOrigin,
        owner: &Name,
        redirected: bool,
    ) -> Result<(), Refusal> {
        if self.activity.outstanding(owner) >= OUTSTANDING_PER_OWNER {
            return Err(Refusal::Overloaded);
        }
        if !self.activity.may_send(now, owner) {
            return Err(Refusal::Unreachable);
        }
        self.activity.on_sent(now, owner);
        let routed = Routed {
            leg: leg.clone(),
            deadline: now + leg.budget,
            owner: owner.clone(),
            origin,
            redirected,
        };
        self.routed.insert(leg.attempt, routed);
        Ok(())
    }

    /// Puts a leg into the next message for its owner.
    pub(crate) fn push_leg(&mut self, owner: &Name, leg: LegRequest) {
        let same_owner = self.outbox.iter_mut().rev().find(|(to, _)| to == owner);
        if let Some((_, PeerMessage::Legs(batch))) = same_owner
            && batch.accepts(&leg)
        {
            batch.push(leg);
            return;
        }
        let batch = LegBatch::new(leg);
        self.outbox.push((owner.clone(), PeerMessage::Legs(batch)));
    }

    /// Puts a message into the outbox, and joins lists for the same host.
    pub(crate) fn push(&mut self, to: &Name, msg: PeerMessage) {
        let last = self.outbox.iter_mut().rev().find(|(name, _)| name == to);
        match (last, msg) {
            (Some((_, PeerMessage::LegsDone(list))), PeerMessage::LegsDone(more)) => {
                list.extend(more);
            }
            (Some((_, PeerMessage::CancelLegs(list))), PeerMessage::CancelLegs(more)) => {
                list.extend(more);
            }
            (_, msg) => self.outbox.push((to.clone(), msg)),
        }
    }

    /// Messages to send, in order.
    pub(crate) fn take_outbox(&mut self) -> Vec<(Name, PeerMessage)> {
        std::mem::take(&mut self.outbox)
    }

    fn forget(&mut self, attempt: AttemptId) -> Option<Routed> {
        let routed = self.routed.remove(&attempt)?;
        self.activity.on_ended(&routed.owner);
        Some(routed)
    }

    /// Decides what to do with a result from `from`. Only the owner that the
    /// leg was sent to may answer it.
    pub(crate) fn on_result(
        &mut self,
        now: Instant,
        from: &Name,
        attempt: AttemptId,
        result: LegResult,
    ) -> ResultRoute {
        match self.routed.get(&attempt) {
            Some(routed) if routed.owner == *from => {}
            _ => return ResultRoute::Drop(result),
        }
        // This host's own results come from here only, not from a message.
        self.activity.on_heard(now, from);
        let Some(routed) = self.forget(attempt) else {
            return ResultRoute::Drop(result);
        };
        if let LegResult::Refused(Refusal::NotOwner { owner: Some(owner) }) = &result
            && !routed.redirected
            && *owner != routed.owner
            && now < routed.deadline
        {
            let mut leg = routed.leg;
            leg.budget = routed.deadline - now;
            return ResultRoute::Redirect {
                leg,
                origin: routed.origin,
                owner: owner.clone(),
            };
        }
        ResultRoute::Deliver(Delivery {
            origin: routed.origin,
            attempt,
            result,
        })
    }

    /// Forgets a leg whose result is no longer wanted and returns its owner.
    pub(crate) fn cancel(&mut self, attempt: AttemptId) -> Option<(Name, LegRef)> {
        let routed = self.forget(attempt)?;
        let leg = LegRef {
            attempt,
            upstream: routed.leg.upstream,
        };
        Some((routed.owner, leg))
    }

    /// Ends all legs at an owner whose connection failed. Those in `unsent`
    /// never left; the others may have run.
    pub(crate) fn on_owner_down(&mut self, owner: &Name, unsent: &[PeerMessage]) -> Vec<Delivery> {
        self.activity.forget(owner);
        let mut unsent: Vec<AttemptId> = unsent
            .iter()
            .filter_map(|msg| match msg {
                PeerMessage::Legs(batch) => Some(batch.legs.iter().map(|leg| leg.attempt)),
                _ => None,
            })
            .flatten()
            .collect();
        unsent.sort_unstable();
        let lost = self.attempts_at(owner, |_| true);
        self.end_lost(lost, &unsent)
    }

    /// Notes that an owner sent something.
    pub(crate) fn on_heard(&mut self, now: Instant, owner: &str) {
        self.activity.on_heard(now, owner);
    }

    /// Ends the idempotent legs at owners that have become silent, so that they
    /// can run elsewhere. Others must wait: they may not run twice.
    pub(crate) fn on_wake(&mut self, now: Instant) -> Vec<Delivery> {
        let mut lost = Vec::new();
        for owner in self.activity.take_silent(now) {
            let attempts = self.attempts_at(&owner, |leg| leg.idempotent);
            log::warn!("event=owner_silent owner={owner} legs={}", attempts.len());
            lost.extend(attempts);
        }
        self.end_lost(lost, &[])
    }

    /// Time of the next call of [`LegRouter::on_wake`].
    pub(crate) fn next_wake(&self) -> Option<Instant> {
        self.activity.next_wake()
    }

    fn attempts_at(&self, owner: &str, wanted: impl Fn(&LegRequest) -> bool) -> Vec<AttemptId> {
        self.routed
            .iter()
            .filter(|(_, routed)| *routed.owner == *owner && wanted(&routed.leg))
            .map(|(attempt, _)| *attempt)
            .collect()
    }

    /// Ends attempts; those in `unsent`, which is sorted, certainly never ran.
    fn end_lost(&mut self, attempts: Vec<AttemptId>, unsent: &[AttemptId]) -> Vec<Delivery> {
        attempts
            .into_iter()
            .filter_map(|attempt| {
                let routed = self.forget(attempt)?;
                let result = if unsent.binary_search(&attempt).is_ok() {
                    LegResult::Refused(Refusal::Unreachable)
                } else {
                    LegResult::Failed(LegFailure::OwnerLost)
                };
                Some(Delivery {
                    origin: routed.origin,
                    attempt,
                    result,
                })
            })
            .collect()
    }
}
