use std::time::Instant;

use cornelwinch_types::{LegFailure, LegRequest, LegResult, Refusal};

use crate::config::LimiterAction;
use crate::in_flight::{InFlight, SLOT_GRACE};
use crate::limiter::Limiter;
use crate::queue::Waiter;

impl Limiter {
    /// Fails legs in flight whose deadline has passed and frees their slots
    /// when no answer came.
    pub(crate) fn time_out(&mut self, now: Instant, out: &mut Vec<LimiterAction>) {
        let mut i = 0;
        while i < self.in_flight.len() {
            let leg = &mut self.in_flight[i];
            let late = leg
                .waiters
                .extract_if(.., |w| w.deadline <= now)
                .collect::<Vec<_>>();
            let unanswered = !late.is_empty() && leg.waiters.is_empty() && !leg.cancelled;
            if unanswered {
                leg.cancelled = true;
                out.push(LimiterAction::Cancel {
                    attempt: leg.attempt,
                });
            }
            if leg.deadline + SLOT_GRACE <= now {
                self.in_flight.remove(i);
            } else {
                i += 1;
            }
            for waiter in late {
                self.reply(waiter, LegResult::Failed(LegFailure::TimedOut), out);
            }
            if unanswered {
                self.on_connection_failure(now, out);
            }
        }
    }

    /// Sends waiting legs while the limit allows it.
    pub(crate) fn pump(&mut self, now: Instant, out: &mut Vec<LimiterAction>) {
        self.end_holds(now);
        while let Some(priority) = self.queue.next_priority()
            && self.in_flight.len() < self.reserve.cap(now, priority, self.cap(now))
            && let Some(mut execution) = self.queue.pop()
        {
            let service = self.ramp.service();
            let idle = self.in_flight.is_empty();
            let waiters = &mut execution.waiters;
            let expired = waiters
                .extract_if(.., |w| w.deadline <= now)
                .collect::<Vec<_>>();
            let late = |w: &mut Waiter| !idle && now + service > w.deadline;
            let late = waiters.extract_if(.., late).collect::<Vec<_>>();
            self.refuse(expired, &Refusal::DeadlinePassed, out);
            self.refuse(late, &Refusal::Overloaded, out);
            let Some(first) = execution.waiters.first() else {
                continue;
            };
            let deadline = execution.waiters.iter().map(|w| w.deadline).max();
            let deadline = deadline.unwrap_or(first.deadline);
            let req = LegRequest {
                budget: deadline - now,
                ..first.req.clone()
            };
            self.in_flight.push(InFlight {
                attempt: req.attempt,
                req: req.clone(),
                waiters: execution.waiters,
                sent_at: now,
                deadline,
                epoch: self.ramp.epoch(),
                run: self.run,
                cancelled: false,
            });
            out.push(LimiterAction::Send(req));
        }
    }

    /// Refuses waiting legs that cannot finish in time. The upstream ends
    /// `limit` legs per service time. With nothing in flight the first leg is
    /// kept: otherwise a wrong service time would never be corrected.
    pub(crate) fn refuse_late(&mut self, now: Instant, out: &mut Vec<LimiterAction>) {
        let service = self.ramp.service();
        let limit = self.limit().max(1) as f64;
        let idle = self.in_flight.is_empty();
        let holds = [self.settle_until, self.ramp.pause_until()];
        let start = holds.into_iter().flatten().fold(now, Instant::max);
        let finish =
            |position: usize| start + service + service.mul_f64((position + 1) as f64 / limit);
        let late = self
            .queue
            .remove_late(|i, deadline| !(idle && i == 0) && finish(i) > deadline);
        self.refuse(late, &Refusal::Overloaded, out);
    }
}
