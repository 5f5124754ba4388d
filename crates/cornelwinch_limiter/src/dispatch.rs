use std::time::Instant;

use cornelwinch_types::{LegFailure, LegRequest, LegResult, Refusal};

use crate::config::LimiterAction;
use crate::in_flight::{InFlight, SLOT_GRACE};
use crate::limiter::Limiter;
use crate::queue::Waiter;

impl Limiter {
    /// Fails legs in flight whose deadline has passed. Frees the slots of legs
    /// that have not been answered [`SLOT_GRACE`] after their deadline.
    pub(crate) fn expire_in_flight(&mut self, now: Instant, out: &mut Vec<LimiterAction>) {
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

    /// Sends queued legs while the concurrency limit allows it.
    pub(crate) fn dispatch(&mut self, now: Instant, out: &mut Vec<LimiterAction>) {
        self.expire_timers(now);
        while let Some(priority) = self.queue.next_priority()
            && self.in_flight.len()
                < self
                    .reserve
                    .max_in_flight(now, priority, self.max_in_flight(now))
            && let Some(mut execution) = self.queue.pop()
        {
            let service_time = self.concurrency.service_time();
            let idle = self.in_flight.is_empty();
            let waiters = &mut execution.waiters;
            let expired = waiters
                .extract_if(.., |w| w.deadline <= now)
                .collect::<Vec<_>>();
            let late = |w: &mut Waiter| !idle && now + service_time > w.deadline;
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
                epoch: self.concurrency.epoch(),
                restart_count: self.restart_count,
                cancelled: false,
            });
            out.push(LimiterAction::Send(req));
        }
    }

    /// Refuses queued legs that cannot finish before their deadline, on the
    /// assumption that the upstream completes `limit` legs per service time. If
    /// nothing is in flight, the first leg is kept, because an overestimated
    /// service time would otherwise never be corrected by a new sample.
    pub(crate) fn refuse_late(&mut self, now: Instant, out: &mut Vec<LimiterAction>) {
        let service_time = self.concurrency.service_time();
        let limit = self.limit().max(1) as f64;
        let idle = self.in_flight.is_empty();
        let delays = [self.takeover_delay_until, self.concurrency.pause_until()];
        let start = delays.into_iter().flatten().fold(now, Instant::max);
        let finish = |position: usize| {
            start + service_time + service_time.mul_f64((position + 1) as f64 / limit)
        };
        let late = self
            .queue
            .remove_late(|i, deadline| !(idle && i == 0) && finish(i) > deadline);
        self.refuse(late, &Refusal::Overloaded, out);
    }
}
